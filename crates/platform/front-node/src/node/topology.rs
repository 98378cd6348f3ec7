//! Updates of the endpoint list, and the end of incarnations.

use beechloft::api::{self, Event, Outcome, ServerId, UpdateKind};
use beechloft_protocol::Cause;
use beechloft_protocol::bus::Topology;
use beechloft_protocol::viewer::ToViewer;

use super::{EXPIRY_INTERVAL, Node};
use crate::directory::NewIncarnation;
use crate::io::{Output, ServerIncarnation};
use crate::timers::Timer;

impl Node {
    /// Applies the endpoint list that results from the events of the configuration. It may be stale.
    pub(super) fn apply_initial_topologies(&mut self, topologies: &[Topology]) {
        let mut entries: Vec<api::Endpoint> = Vec::new();
        for topology in topologies {
            let changed = self.apply_endpoints(topology);
            if topology.snapshot && !changed.is_empty() {
                self.remove_listed(|server| changed.iter().all(|entry| entry.server != server));
            }
            entries.retain(|entry| changed.iter().all(|newer| newer.server != entry.server));
            entries.extend(changed);
        }
        let listed = self.directory.listed();
        entries.retain(|entry| listed.contains(&entry.server));
        self.queue_event(Event::EndpointsUpdated { kind: UpdateKind::Cached, endpoints: entries });
        if !self.has_endpoint_list {
            self.has_endpoint_list = true;
            self.timers.set(self.now + EXPIRY_INTERVAL, Timer::Expiry);
        }
    }

    /// Applies a complete endpoint list or an update to it.
    pub(super) fn apply_topology(&mut self, topology: &Topology) {
        let entries = self.apply_endpoints(topology);
        let kind = if topology.snapshot { UpdateKind::Full } else { UpdateKind::Delta };
        self.queue_event(Event::EndpointsUpdated { kind, endpoints: entries });
        self.has_endpoint_list = true;
        if topology.snapshot {
            // The policy decides whether media servers that a complete list omits are removed. It ignores an empty
            // list.
            self.run_policy();
            let listed = self.directory.listed();
            let retained: Vec<ServerId> =
                listed.into_iter().filter(|server| self.policy.lists(*server)).collect();
            self.remove_listed(|server| !retained.contains(&server));
        }
    }

    /// Removes listed media servers for which `is_absent` returns true.
    fn remove_listed(&mut self, is_absent: impl Fn(ServerId) -> bool) {
        let absent: Vec<ServerId> =
            self.directory.listed().into_iter().filter(|server| is_absent(*server)).collect();
        for server in absent {
            if let Some(incarnation) = self.directory.incarnation(server) {
                self.directory.mark_removed(incarnation);
                self.incarnation_removed(incarnation);
            }
        }
    }

    /// Applies the endpoints of a list, and ends the sessions of incarnations that it replaces.
    ///
    /// Returns the valid endpoints in the form that the policy takes.
    fn apply_endpoints(&mut self, topology: &Topology) -> Vec<api::Endpoint> {
        let mut entries = Vec::with_capacity(topology.endpoints.len());
        for endpoint in &topology.endpoints {
            let Some(applied) = self.directory.apply(endpoint, &self.names) else { continue };
            entries.push(applied.endpoint);
            if let Some(added) = applied.added {
                self.incarnation_added(&added);
            }
            if let Some(replaced) = applied.replaced {
                self.incarnation_down(replaced);
            }
            if let Some(removed) = applied.removed {
                self.incarnation_removed(removed);
            }
        }
        entries
    }

    /// Adds an incarnation, and ends earlier ones with the same address.
    fn incarnation_added(&mut self, added: &NewIncarnation) {
        // Earlier incarnations with the same address are down, even if the list has not removed them.
        let earlier: Vec<ServerIncarnation> = self
            .directory
            .incarnations_at(added.address)
            .filter(|incarnation| *incarnation != added.incarnation)
            .collect();
        for incarnation in earlier {
            self.incarnation_down(incarnation);
        }
        self.outputs.push(Output::AddIncarnation(added.incarnation, added.address));
    }

    /// Handles the removal of an incarnation from the endpoint list. Its sessions may continue, so it is checked first.
    fn incarnation_removed(&mut self, incarnation: ServerIncarnation) {
        self.outputs.push(Output::CheckReachability(incarnation));
        self.maybe_unused.insert(incarnation);
    }

    /// Handles the end of an incarnation's process, and ends its sessions.
    pub(super) fn incarnation_down(&mut self, incarnation: ServerIncarnation) {
        let state = self.directory.incarnations.get(&incarnation);
        for id in state.map(|state| state.established.clone()).unwrap_or_default() {
            if let Some(ended) = self.end_by_front_node(id, Outcome::Reset) {
                self.release_to_viewer(&ended, ToViewer::Release(id, Cause::TemporaryFailure));
            }
        }
        self.maybe_unused.insert(incarnation);
    }

    /// Removes incarnations that have lost their last session or attempt.
    ///
    /// This runs after all other outputs of an input, because those may still need the connections.
    pub(super) fn remove_unused_incarnations(&mut self) {
        for incarnation in std::mem::take(&mut self.maybe_unused) {
            if self.directory.remove_unused(incarnation) {
                self.outputs.push(Output::RemoveIncarnation(incarnation));
            }
        }
    }
}

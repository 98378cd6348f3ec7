//! Endpoint updates: decides which updates of the endpoint list are applied, which servers are forgotten, and
//! what capacity each resource is assumed to have.

use std::collections::BTreeMap;

use super::{BASE_EJECTION_TIME, MAX_EJECTION_LEVEL, Policy};
use crate::api::{Discovery, Endpoint, EndpointState, Micros, UpdateKind, WeightMeaning};
use crate::state::{ResourceGauge, Server};

impl Policy {
    /// Applies an update of the endpoint list.
    ///
    /// A full list without entries counts as a failed update while any server is known to be ready, because
    /// it means a directory that lost its state rather than a service without servers. Servers that really
    /// are gone are found by their failures. A list that is merely shorter is applied.
    pub(super) fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        let is_empty_list = kind != UpdateKind::Delta && endpoints.is_empty();
        let lost_state = is_empty_list && self.servers.values().any(Server::is_ready);
        if kind == UpdateKind::Failed || lost_state {
            self.must_subscribe = self.settings.discovery == Discovery::Subscribe;
            return;
        }
        if kind != UpdateKind::Delta {
            for server in self.servers.values_mut() {
                server.endpoint.state = EndpointState::Removed;
            }
        }
        // A front that has just started can't know which servers restarted while it was down. It treats each
        // server of its cached list as possibly cold until an adopted session shows that the servers were
        // running before.
        let suspect_for =
            if kind == UpdateKind::Cached { self.settings.slow_start.warm_up } else { Micros(0) };
        let suspect_until = self.now + suspect_for;
        for endpoint in endpoints {
            let known = self.servers.entry(endpoint.server);
            let server = known.or_insert_with(|| Server { suspect_until, ..Server::default() });
            server.update(endpoint, self.settings.racks);
        }
        self.forget_removed();
        self.apply_announced_capacities();
        self.accounting.recompute(&self.settings, &mut self.servers, &mut self.racks, &self.sessions);
        self.assumed_is_stale = true;
    }

    /// Forgets unused servers that have been off the list for longer than any ejection or slow-start window.
    ///
    /// This keeps memory from growing with each replaced server. A server that leaves the list only briefly
    /// keeps its record.
    fn forget_removed(&mut self) {
        let longest_ejection = Micros(BASE_EJECTION_TIME.0 << MAX_EJECTION_LEVEL);
        let keep_for = longest_ejection.max(self.settings.slow_start.overload_window);
        self.servers.retain(|_, server| !server.is_unused_since(keep_for, self.now));
    }

    /// Sets the capacity of each server's streams and link, and of each new rack's uplink.
    ///
    /// Where the list does not tell link capacities, the total is shared out in proportion to the streams of
    /// the server types. The settings give only the mean capacity of uplinks: each uplink is assumed to
    /// follow the links of its rack as first listed.
    fn apply_announced_capacities(&mut self) {
        let settings = &self.settings;
        let server_count = self.listed_servers().count().max(1) as f64;
        let max_streams = |server: &Server| settings.max_streams(server.endpoint.server_type);
        let mean_streams = self.listed_servers().map(max_streams).sum::<f64>() / server_count;
        let mean_link_kb = settings.total_link_kb.map(|total| total / server_count);
        let link_kb_per_weight = settings.link_kb_per_weight.or(mean_link_kb);
        let mut link_kb_by_rack: BTreeMap<u32, f64> = BTreeMap::new();
        for server in self.servers.values_mut() {
            server.streams.capacity = settings.max_streams(server.endpoint.server_type);
            let weight = match settings.weight_meaning {
                WeightMeaning::Capacity if server.endpoint.weight > 0.0 => server.endpoint.weight,
                _ if mean_streams > 0.0 => server.streams.capacity / mean_streams,
                _ => 1.0,
            };
            server.link.capacity = link_kb_per_weight.map_or(f64::INFINITY, |unit| unit * weight);
            *link_kb_by_rack.entry(server.rack).or_default() += server.link.capacity;
        }
        let rack_count = link_kb_by_rack.len().max(1) as f64;
        let mean_links_kb = link_kb_by_rack.values().sum::<f64>() / rack_count;
        for (rack, links_kb) in link_kb_by_rack {
            let is_known = links_kb > 0.0 && links_kb.is_finite();
            let relative_size = if is_known { links_kb / mean_links_kb } else { 1.0 };
            let capacity = settings.mean_uplink_kb.map_or(f64::INFINITY, |mean| mean * relative_size);
            let uplink = self.racks.entry(rack);
            uplink.or_insert_with(|| ResourceGauge { capacity, ..ResourceGauge::default() });
        }
    }
}

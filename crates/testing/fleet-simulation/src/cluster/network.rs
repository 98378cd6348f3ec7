//! The network between front nodes, media servers and viewers, which executes the outputs of the front nodes.

use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_front_node::{AttemptFailure, Input, Output, ServerIncarnation};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::ToViewer;
use beechloft_protocol::{CallId, Cause};
use rand::RngExt;
use serde_json::Value;

use super::{Cluster, Event, NETWORK_DELAY};
use crate::media_server::{ConnectionOpened, SetUpReceived};

impl Cluster {
    pub(super) fn carry_out(&mut self, front_node: usize, output: Output) {
        match output {
            Output::AddIncarnation(incarnation, address) => {
                self.add_incarnation(front_node, incarnation, address);
            }
            Output::RemoveIncarnation(incarnation) => {
                self.front_nodes[front_node].servers.remove(&incarnation);
                self.front_nodes[front_node].connections.remove(&incarnation);
            }
            Output::KeepConnected(incarnation, true) | Output::CheckReachability(incarnation) => {
                if self.connect(front_node, incarnation).is_none() {
                    self.schedule_input(NETWORK_DELAY, front_node, Input::ServerDown(incarnation));
                }
            }
            Output::SendSetUp { incarnation, id, .. } => self.send_set_up(front_node, incarnation, id),
            Output::AbandonAttempt { incarnation, id, .. } => {
                if let Some(server) = self.front_nodes[front_node].servers.get(&incarnation) {
                    self.servers[*server].sessions.remove(&id);
                }
            }
            Output::SendToServer(incarnation, id, line) => {
                self.send_line(front_node, incarnation, id, &line);
            }
            Output::SendToViewer(_, message) => self.count_answer(&message),
            Output::DiscardUnsent(..)
            | Output::KeepConnected(_, false)
            | Output::CloseViewerConnection(_)
            | Output::Log(_) => {}
        }
    }

    fn add_incarnation(&mut self, front_node: usize, incarnation: ServerIncarnation, address: SocketAddr) {
        // If several servers have the same address, the newest one listens there.
        if let Some(server) = self.servers.iter().rposition(|server| server.address() == address) {
            self.front_nodes[front_node].servers.insert(incarnation, server);
        }
    }

    /// Connects to an incarnation unless it is connected, and returns the server. Returns `None` if the server refuses
    /// connections.
    fn connect(&mut self, front_node: usize, incarnation: ServerIncarnation) -> Option<usize> {
        let server = *self.front_nodes[front_node].servers.get(&incarnation)?;
        if !self.servers[server].is_running {
            return None;
        }
        if !self.front_nodes[front_node].connections.contains_key(&incarnation) {
            let established_at = self.now + self.connect_delay();
            self.front_nodes[front_node].connections.insert(incarnation, established_at);
            self.servers[server].connections.push(ConnectionOpened { at: self.now, front_node });
        }
        Some(server)
    }

    /// Returns the time until a connection is established: zero, or at random nearly the connect timeout.
    fn connect_delay(&mut self) -> Micros {
        let one_in = self.settings.late_one_in;
        if one_in == 0 || self.rng.random_range(0..one_in) != 0 {
            return Micros(0);
        }
        let timeout_us = self.settings.connect_timeout_us;
        Micros(self.rng.random_range(timeout_us / 10 * 9..timeout_us))
    }

    fn send_set_up(&mut self, front_node: usize, incarnation: ServerIncarnation, id: CallId) {
        let Some(server) = self.connect(front_node, incarnation) else {
            let failure = Input::AttemptFailed(incarnation, id, AttemptFailure::NoConnection);
            return self.schedule_input(NETWORK_DELAY, front_node, failure);
        };
        // The message waits until the connection is established.
        let connected_at = self.front_nodes[front_node].connections.get(&incarnation);
        let received_at = connected_at.map_or(self.now, |at| self.now.max(*at));
        let target = &mut self.servers[server];
        target.set_ups.push(SetUpReceived { at: received_at, front_node, sent_at: self.now });
        target.sessions.insert(id, front_node);
        let delay = received_at - self.now + Micros(self.rng.random_range(5_000..40_000));
        let description = format!("answer-{id}");
        self.send_to_front_node(front_node, server, FromServer::Accept(id, description), delay);
        if let Some(length) = self.pending.get(&id) {
            self.schedule(delay + *length, Event::SessionEnd { server, id });
        }
    }

    fn send_line(&mut self, front_node: usize, incarnation: ServerIncarnation, id: CallId, line: &[u8]) {
        let Some(server) = self.connect(front_node, incarnation) else { return };
        let message: Value = serde_json::from_slice(line).unwrap_or_default();
        match message["op"].as_str() {
            Some("test") => {
                self.servers[server].health_checks.push(self.now);
                self.send_to_front_node(front_node, server, FromServer::TestResult(id, true), NETWORK_DELAY);
            }
            Some("end") => {
                self.servers[server].sessions.remove(&id);
            }
            _ => {}
        }
    }

    /// Sends a message from a media server, with its load, to a front node.
    pub(super) fn send_to_front_node(
        &mut self,
        front_node: usize,
        server: usize,
        event: FromServer,
        delay: Micros,
    ) {
        let Some(incarnation) = self.front_nodes[front_node].incarnation_of(server) else { return };
        let utilization = self.servers[server].utilization(&self.settings);
        let load = Some(format!("utilization:{utilization:.3};x1:0.1"));
        let input = Input::ServerMessage(incarnation, ServerMessage { event, load });
        self.schedule_input(delay, front_node, input);
    }

    fn count_answer(&mut self, message: &ToViewer) {
        match message {
            ToViewer::Answer(id, _) => {
                self.pending.remove(id);
                self.totals.established += 1;
            }
            ToViewer::Release(id, cause) | ToViewer::ReleaseWithRetryAfter(id, cause, _)
                if self.pending.remove(id).is_some() =>
            {
                match cause {
                    Cause::NoCircuit | Cause::Congestion | Cause::TimerExpiry => self.totals.refused += 1,
                    _ => self.totals.failed += 1,
                }
            }
            _ => {}
        }
    }
}

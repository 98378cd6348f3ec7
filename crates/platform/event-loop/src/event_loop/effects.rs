//! Passes inputs to the state machine and executes its outputs.

use beechloft::api::Micros;
use beechloft_front_node::{Input, Output};
use tracing::info;

use super::EventLoop;
use crate::servers::SetUp;
use crate::tokens::viewer_token;

impl EventLoop {
    /// Passes all queued inputs to the state machine, and executes the outputs that it returns.
    pub(super) fn process_inputs(&mut self, now: Micros) {
        if !self.inputs.is_empty() {
            self.update_slot();
        }
        while let Some(input) = self.inputs.pop_front() {
            for output in self.node.handle(now, input) {
                self.execute_output(output, now);
            }
        }
    }

    /// Queues a change of the front node's slot before all other inputs.
    ///
    /// The lease of the slot may have expired since the last input, for example while this process was stopped.
    pub(super) fn update_slot(&mut self) {
        if let Some(slot) = self.fleet.take_slot_change() {
            self.inputs.push_front(Input::SlotAssigned(slot));
        }
    }

    fn execute_output(&mut self, output: Output, now: Micros) {
        match output {
            Output::SendToViewer(conn, message) => {
                let (viewers, mut context) = self.viewers_with_context(now);
                viewers.send(viewer_token(conn), &message, &mut context);
            }
            Output::CloseViewerConnection(conn) => {
                let (viewers, mut context) = self.viewers_with_context(now);
                viewers.close(viewer_token(conn), &mut context);
            }
            Output::Log(text) => info!("{text}"),
            to_server => self.execute_server_output(to_server, now),
        }
    }

    fn execute_server_output(&mut self, output: Output, now: Micros) {
        let (servers, mut context) = self.servers_with_context(now);
        match output {
            Output::AddIncarnation(incarnation, addr) => servers.add_incarnation(incarnation, addr, now),
            Output::RemoveIncarnation(incarnation) => servers.remove_incarnation(incarnation, &mut context),
            Output::KeepConnected(incarnation, keep) => {
                servers.set_keep_connected(incarnation, keep, &mut context)
            }
            Output::CheckReachability(incarnation) => servers.suspect(incarnation, &mut context),
            Output::SendSetUp { incarnation, id, connection, line, send_by } => {
                servers.send_set_up(
                    incarnation,
                    SetUp { id, viewer: connection, line, send_by },
                    &mut context,
                );
            }
            Output::DiscardUnsent(incarnation, id) => {
                servers.discard_queued_set_up(incarnation, id, &mut context)
            }
            Output::AbandonAttempt { incarnation, id, line, timed_out } => {
                servers.abandon_attempt(incarnation, id, &line, timed_out, &mut context)
            }
            Output::SendToServer(incarnation, id, line) => {
                servers.send_line(incarnation, id, line, &mut context)
            }
            Output::SendToViewer(..) | Output::CloseViewerConnection(_) | Output::Log(_) => {}
        }
    }
}

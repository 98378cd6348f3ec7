//! Passes inputs to the state machine and carries out its outputs.

use beechloft::api::Micros;
use beechloft_front_node::{Input, Output};
use tracing::info;

use super::EventLoop;
use crate::servers::SetUp;
use crate::tokens::viewer_token;

impl EventLoop {
    /// Has the state machine handle all inputs, and carries out its outputs.
    pub(super) fn process_inputs(&mut self, now: Micros) {
        if !self.inputs.is_empty() {
            self.update_slot();
        }
        while let Some(input) = self.inputs.pop_front() {
            for output in self.node.handle(now, input) {
                self.carry_out(output, now);
            }
        }
    }

    /// Passes on a change of the front node's slot, before any other input: its lease may have expired since, for
    /// example while this process was stopped.
    pub(super) fn update_slot(&mut self) {
        if let Some(slot) = self.fleet.take_slot_change() {
            self.inputs.push_front(Input::SlotAssigned(slot));
        }
    }

    fn carry_out(&mut self, output: Output, now: Micros) {
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
            to_server => self.carry_out_at_server(to_server, now),
        }
    }

    fn carry_out_at_server(&mut self, output: Output, now: Micros) {
        let (servers, mut context) = self.servers_with_context(now);
        match output {
            Output::AddIncarnation(incarnation, addr) => servers.add_incarnation(incarnation, addr, now),
            Output::RemoveIncarnation(incarnation) => servers.forget(incarnation, &mut context),
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
            Output::DiscardUnsent(incarnation, id) => servers.withdraw_unsent(incarnation, id, &mut context),
            Output::AbandonAttempt { incarnation, id, line, timed_out } => {
                servers.give_up(incarnation, id, &line, timed_out, &mut context)
            }
            Output::SendToServer(incarnation, id, line) => {
                servers.send_line(incarnation, id, line, &mut context)
            }
            Output::SendToViewer(..) | Output::CloseViewerConnection(_) | Output::Log(_) => {}
        }
    }
}

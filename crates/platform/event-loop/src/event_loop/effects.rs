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
            self.update_number();
        }
        while let Some(input) = self.inputs.pop_front() {
            for output in self.node.handle(now, input) {
                self.carry_out(output, now);
            }
        }
    }

    /// Passes on a change of the front node's number, before any other input: its lease may have expired since, for
    /// example while this process was stopped.
    pub(super) fn update_number(&mut self) {
        if let Some(numbered) = self.fleet.take_number_change() {
            self.inputs.push_front(Input::Numbered(numbered));
        }
    }

    fn carry_out(&mut self, output: Output, now: Micros) {
        match output {
            Output::ToViewer(conn, message) => {
                let (viewers, mut context) = self.viewers_with_context(now);
                viewers.send(viewer_token(conn), &message, &mut context);
            }
            Output::CloseViewer(conn) => {
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
            Output::Lane(lane, addr) => servers.add_incarnation(lane, addr, now),
            Output::Forget(lane) => servers.forget(lane, &mut context),
            Output::Hold(lane, hold) => servers.set_held(lane, hold, &mut context),
            Output::Check(lane) => servers.suspect(lane, &mut context),
            Output::SetUp { lane, id, conn, line, leave_by } => {
                servers.send_set_up(lane, SetUp { id, viewer: conn, line, send_by: leave_by }, &mut context);
            }
            Output::Unwanted(lane, id) => servers.withdraw_unsent(lane, id, &mut context),
            Output::GiveUp { lane, id, line, silent } => {
                servers.give_up(lane, id, &line, silent, &mut context)
            }
            Output::Send(lane, id, line) => servers.send_line(lane, id, line, &mut context),
            Output::ToViewer(..) | Output::CloseViewer(_) | Output::Log(_) => {}
        }
    }
}

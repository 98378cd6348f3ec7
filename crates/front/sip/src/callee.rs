//! The call leg to a media server: the attempt to set up a call there, and the established call.
//!
//! No call is left behind at a media server. An abandoned attempt is cancelled as soon as that is allowed (section 9.1). A
//! 2xx that arrives nonetheless, however late, is acknowledged and followed by a BYE. [`Output::AttemptEnded`] reports that an attempt
//! has **certainly ended**, so that another may be sent: a final response has arrived, or the connection of the attempt is
//! closed. Each attempt has a connection of its own. It is closed [`GRACE`] after the attempt was abandoned, which bounds
//! the cost of a media server that doesn't respond.

use beechloft_session::api::Micros;
use beechloft_session::session::GRACE;

use crate::dialog::{Dialog, IdGenerator, LocalEndpoint};
use crate::established::{CallStatus, EstablishedCall};
use crate::message::{Method, Request, Response};
use crate::timer::TRANSACTION_TIMEOUT;
use crate::transaction::{Key, Layer};

/// Input of the leg.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// A response to the INVITE.
    Response(&'a Response),
    /// The INVITE got no final response, or its connection is closed.
    NoFinalResponse,
    /// The attempt is to be abandoned, or the call ended.
    End,
    /// A BYE arrived from the media server in this dialog.
    Bye,
    /// The BYE was answered or has timed out.
    ByeCompleted,
    /// The rung is to be changed by this offer.
    ChangeOffer(&'a str),
    /// The final response to the UPDATE with this key, or `None` if it has timed out.
    UpdateAnswered(&'a Key, Option<&'a Response>),
    /// The connection of an established call is closed.
    ConnectionLost,
    /// Timers may have expired.
    Tick,
}

/// Output of the leg.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// Send an ACK of a 2xx.
    Ack(Box<Request>),
    /// The media server sent a provisional response with this status.
    Provisional(u16),
    /// The call is established. Carries the media server's SDP answer.
    Established(Vec<u8>),
    /// The attempt ended without a call. Carries the final status, or `None` if the attempt was abandoned or timed out.
    AttemptEnded(Option<u16>),
    /// Close the connection of the attempt.
    CloseConnection,
    /// The media server ended the call.
    RemoteBye,
    /// The leg has ended.
    Terminated,
}

#[derive(Debug)]
enum State {
    /// The INVITE was sent.
    Calling { provisional_received: bool, abandoned_at: Option<Micros> },
    /// The call is established.
    Established(Box<EstablishedCall>),
    /// A BYE was sent in the transaction with this key.
    Terminating(Box<Dialog>, Key),
    /// The attempt was abandoned without a final response. A late 2xx is still ended until this time.
    Abandoned { until: Micros },
    /// The leg has ended.
    Terminated,
}

/// Call leg to a media server.
#[derive(Debug)]
pub struct CalleeLeg {
    invite: Request,
    local: LocalEndpoint,
    state: State,
}

impl CalleeLeg {
    /// Creates a leg for an INVITE that was sent.
    pub fn new(invite: Request, local: LocalEndpoint) -> Self {
        CalleeLeg { invite, local, state: State::Calling { provisional_received: false, abandoned_at: None } }
    }

    /// Returns the INVITE of the leg.
    pub fn invite(&self) -> &Request {
        &self.invite
    }

    /// Returns the dialog, or `None` if the call is not established.
    pub fn dialog(&mut self) -> Option<&mut Dialog> {
        if let State::Established(call) = &mut self.state { Some(call.dialog()) } else { None }
    }

    /// Returns the key of the outstanding BYE, if any.
    pub fn bye_key(&self) -> Option<Key> {
        if let State::Terminating(_, bye) = &self.state { Some(bye.clone()) } else { None }
    }

    /// Returns the key of the outstanding UPDATE, if any.
    pub fn update_key(&self) -> Option<&Key> {
        if let State::Established(call) = &self.state { call.pending_key() } else { None }
    }

    /// Returns whether the leg has ended.
    pub fn is_terminated(&self) -> bool {
        matches!(self.state, State::Terminated)
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(
        &mut self,
        now: Micros,
        input: Input<'_>,
        id_generator: &mut IdGenerator,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Response(response) if response.status < 200 => self.provisional(response.status, out),
            Input::Response(response) if response.status < 300 => {
                self.accepted(now, response, id_generator, out)
            }
            Input::Response(response) => self.rejected(response.status, out),
            Input::NoFinalResponse => self.no_final_response(now, out),
            Input::End => self.end(now, id_generator, out),
            Input::Bye => self.remote_bye(out),
            Input::ByeCompleted => {
                if let State::Terminating(..) = self.state {
                    self.terminate(out);
                }
            }
            Input::ChangeOffer(_) | Input::UpdateAnswered(..) | Input::ConnectionLost => {
                self.on_established(now, input, id_generator, out)
            }
            Input::Tick => self.run_timers(now, id_generator, out),
        }
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        match &self.state {
            State::Calling { abandoned_at: Some(at), .. } => Some(*at + GRACE),
            State::Abandoned { until } => Some(*until),
            State::Established(call) => call.next_due(),
            _ => None,
        }
    }

    fn terminate(&mut self, out: &mut Vec<Output>) {
        self.state = State::Terminated;
        out.push(Output::Terminated);
    }

    fn cancel(&self, out: &mut Vec<Output>) {
        out.push(Output::Send(Box::new(self.invite.cancel())));
    }

    fn provisional(&mut self, status: u16, out: &mut Vec<Output>) {
        let State::Calling { provisional_received, abandoned_at } = &mut self.state else { return };
        let first = !std::mem::replace(provisional_received, true);
        if abandoned_at.is_some() {
            if first {
                self.cancel(out); // no CANCEL was allowed before the provisional response
            }
        } else {
            out.push(Output::Provisional(status));
        }
    }

    /// Acknowledges every 2xx, including retransmissions, and ends a call that is no longer wanted.
    fn accepted(
        &mut self,
        now: Micros,
        response: &Response,
        id_generator: &mut IdGenerator,
        out: &mut Vec<Output>,
    ) {
        let seq = self.invite.ids.seq;
        let build_ack = |dialog: &Dialog, branch: String| {
            dialog.ack(seq, &self.local, &branch).map(|ack| Output::Ack(Box::new(ack)))
        };
        match &mut self.state {
            State::Established(call) => return out.extend(build_ack(call.dialog(), id_generator.branch())),
            State::Terminating(dialog, _) => return out.extend(build_ack(dialog, id_generator.branch())),
            State::Terminated => {
                // The 2xx is retransmitted although the BYE was answered, so the ACK was lost.
                if let Ok(dialog) = Dialog::as_client(&self.invite, response) {
                    out.extend(build_ack(&dialog, id_generator.branch()));
                }
                return;
            }
            State::Calling { .. } | State::Abandoned { .. } => {}
        }
        let is_wanted = matches!(self.state, State::Calling { abandoned_at: None, .. });
        let is_pending = matches!(self.state, State::Calling { .. });
        let Ok(dialog) = Dialog::as_client(&self.invite, response) else {
            // Without a valid contact the call can't be ended by a BYE. Closing the connection is all that remains.
            out.push(Output::CloseConnection);
            if is_pending {
                out.push(Output::AttemptEnded(Some(500)));
            }
            return self.terminate(out);
        };
        out.extend(build_ack(&dialog, id_generator.branch()));
        if is_wanted {
            self.state = State::Established(Box::new(EstablishedCall::new(now, dialog, response)));
            out.push(Output::Established(response.raw.body.clone()));
            return;
        }
        self.send_bye(dialog, id_generator, out);
        if is_pending {
            out.push(Output::AttemptEnded(None));
        }
    }

    fn rejected(&mut self, status: u16, out: &mut Vec<Output>) {
        match self.state {
            State::Calling { abandoned_at, .. } => {
                out.push(Output::AttemptEnded(abandoned_at.is_none().then_some(status)));
                self.terminate(out);
            }
            State::Abandoned { .. } => self.terminate(out),
            _ => {}
        }
    }

    fn no_final_response(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let State::Calling { .. } = self.state {
            self.abandon(now, out);
        }
    }

    /// Abandons the attempt because its connection will bring no final response.
    ///
    /// The media server may still accept and send its 2xx on another connection.
    fn abandon(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.state = State::Abandoned { until: now + TRANSACTION_TIMEOUT };
        out.push(Output::AttemptEnded(None));
    }

    fn end(&mut self, now: Micros, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        match &mut self.state {
            State::Calling { provisional_received, abandoned_at: abandoned_at @ None } => {
                *abandoned_at = Some(now);
                if *provisional_received {
                    self.cancel(out);
                }
            }
            State::Established(_) => self.bye(id_generator, out),
            _ => {}
        }
    }

    /// Ends an established call.
    fn bye(&mut self, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        if let State::Established(call) = std::mem::replace(&mut self.state, State::Terminated) {
            self.send_bye(call.into_dialog(), id_generator, out);
        }
    }

    /// Sends a BYE in a dialog. If the remote target makes no valid request, the leg ends without one.
    fn send_bye(&mut self, mut dialog: Dialog, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        match dialog.request(Method::Bye, &self.local, &id_generator.branch(), None) {
            Some(bye) => {
                self.state = State::Terminating(Box::new(dialog), Layer::key_of(&bye));
                out.push(Output::Send(Box::new(bye)));
            }
            None => self.terminate(out),
        }
    }

    /// Handles an input for an established call.
    ///
    /// If the media server doesn't have the call any more, the call ends, and a BYE makes sure of it.
    fn on_established(
        &mut self,
        now: Micros,
        input: Input<'_>,
        id_generator: &mut IdGenerator,
        out: &mut Vec<Output>,
    ) {
        let State::Established(call) = &mut self.state else { return };
        match input {
            Input::ChangeOffer(offer) => call.change_offer(now, offer),
            Input::ConnectionLost => call.connection_lost(now, id_generator),
            Input::UpdateAnswered(key, answer)
                if call.update_answered(now, key, answer, id_generator) == CallStatus::Terminated =>
            {
                out.push(Output::RemoteBye);
                return self.bye(id_generator, out);
            }
            _ => {}
        }
        out.extend(call.next_update(now, &self.local, id_generator).map(|u| Output::Send(Box::new(u))));
    }

    fn remote_bye(&mut self, out: &mut Vec<Output>) {
        if let State::Established(_) = self.state {
            out.push(Output::RemoteBye);
            self.terminate(out);
        }
    }

    fn run_timers(&mut self, now: Micros, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        match &mut self.state {
            State::Calling { abandoned_at: Some(at), .. } if *at + GRACE <= now => {
                out.push(Output::CloseConnection);
                self.abandon(now, out);
            }
            State::Abandoned { until } if *until <= now => self.terminate(out),
            State::Established(call) => {
                out.extend(
                    call.next_update(now, &self.local, id_generator).map(|u| Output::Send(Box::new(u))),
                );
            }
            _ => {}
        }
    }
}

//! The call leg to a media server: the attempt to set up a call there, and the established call.
//!
//! No call is left behind at a media server. An abandoned attempt is cancelled as soon as that is allowed (section 9.1). A
//! 2xx that arrives nonetheless, however late, is acknowledged and followed by a BYE. [`Out::Over`] reports that an attempt
//! has **certainly ended**, so that another may be sent: a final response has arrived, or the connection of the attempt is
//! closed. Each attempt has a connection of its own. It is closed [`GRACE`] after the attempt was abandoned, which bounds
//! the cost of a media server that doesn't respond.

use beechloft_session::api::Micros;
use beechloft_session::session::GRACE;

use crate::dialog::{Dialog, Local, Mint};
use crate::message::{Method, Request, Response};
use crate::standing::{Means, Standing};
use crate::timer::TRIES;
use crate::transaction::{Key, Layer};

/// Input of the leg.
#[derive(Debug, Clone, Copy)]
pub enum In<'a> {
    /// A response to the INVITE.
    Response(&'a Response),
    /// The INVITE got no final response, or its connection is closed.
    Lost,
    /// The attempt is to be abandoned, or the call ended.
    End,
    /// A BYE arrived from the media server in this dialog.
    Bye,
    /// The BYE was answered or has timed out.
    ByeDone,
    /// The rung is to be changed by this offer.
    Change(&'a str),
    /// The final response to the UPDATE with this key, or `None` if it has timed out.
    Updated(&'a Key, Option<&'a Response>),
    /// The connection of an established call is closed.
    Broken,
    /// Timers may have expired.
    Tick,
}

/// Output of the leg.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// Send an ACK of a 2xx.
    Ack(Box<Request>),
    /// The media server sent a provisional response with this status.
    Rings(u16),
    /// The call is established. Carries the media server's SDP answer.
    Up(Vec<u8>),
    /// The attempt ended without a call. Carries the final status, or `None` if the attempt was abandoned or timed out.
    Over(Option<u16>),
    /// Close the connection of the attempt.
    Close,
    /// The media server ended the call.
    HungUp,
    /// The leg has ended.
    Gone,
}

#[derive(Debug)]
enum State {
    /// The INVITE was sent.
    Calling { tried: bool, given_up: Option<Micros> },
    /// The call is established.
    Up(Box<Standing>),
    /// A BYE was sent in the transaction with this key.
    Ending(Box<Dialog>, Key),
    /// The attempt was abandoned without a final response. A late 2xx is still ended until this time.
    Abandoned { until: Micros },
    /// The leg has ended.
    Gone,
}

/// Call leg to a media server.
#[derive(Debug)]
pub struct BoxLeg {
    invite: Request,
    at: Local,
    state: State,
}

impl BoxLeg {
    /// Creates a leg for an INVITE that was sent.
    pub fn new(invite: Request, at: Local) -> Self {
        BoxLeg { invite, at, state: State::Calling { tried: false, given_up: None } }
    }

    /// Returns the INVITE of the leg.
    pub fn invite(&self) -> &Request {
        &self.invite
    }

    /// Returns the dialog, or `None` if the call is not established.
    pub fn dialog(&mut self) -> Option<&mut Dialog> {
        if let State::Up(standing) = &mut self.state { Some(standing.dialog()) } else { None }
    }

    /// Returns the key of the outstanding BYE, if any.
    pub fn bye_key(&self) -> Option<Key> {
        if let State::Ending(_, bye) = &self.state { Some(bye.clone()) } else { None }
    }

    /// Returns the key of the outstanding UPDATE, if any.
    pub fn update_key(&self) -> Option<&Key> {
        if let State::Up(standing) = &self.state { standing.key() } else { None }
    }

    /// Returns whether the leg has ended.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, State::Gone)
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: In<'_>, mint: &mut Mint, out: &mut Vec<Out>) {
        match input {
            In::Response(response) if response.status < 200 => self.provisional(response.status, out),
            In::Response(response) if response.status < 300 => self.accepted(now, response, mint, out),
            In::Response(response) => self.refused(response.status, out),
            In::Lost => self.lost(now, out),
            In::End => self.end(now, mint, out),
            In::Bye => self.box_hung_up(out),
            In::ByeDone => {
                if let State::Ending(..) = self.state {
                    self.gone(out);
                }
            }
            In::Change(_) | In::Updated(..) | In::Broken => self.standing(now, input, mint, out),
            In::Tick => self.due(now, mint, out),
        }
    }

    /// Returns the time at which [`In::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        match &self.state {
            State::Calling { given_up: Some(at), .. } => Some(*at + GRACE),
            State::Abandoned { until } => Some(*until),
            State::Up(standing) => standing.next_due(),
            _ => None,
        }
    }

    fn gone(&mut self, out: &mut Vec<Out>) {
        self.state = State::Gone;
        out.push(Out::Gone);
    }

    fn cancel(&self, out: &mut Vec<Out>) {
        out.push(Out::Send(Box::new(self.invite.cancel())));
    }

    fn provisional(&mut self, status: u16, out: &mut Vec<Out>) {
        let State::Calling { tried, given_up } = &mut self.state else { return };
        let first = !std::mem::replace(tried, true);
        if given_up.is_some() {
            if first {
                self.cancel(out); // no CANCEL was allowed before the provisional response
            }
        } else {
            out.push(Out::Rings(status));
        }
    }

    /// Acknowledges every 2xx, including retransmissions, and ends a call that is no longer wanted.
    fn accepted(&mut self, now: Micros, response: &Response, mint: &mut Mint, out: &mut Vec<Out>) {
        let seq = self.invite.names.seq;
        let ack = |dialog: &Dialog, mint: &mut Mint, out: &mut Vec<Out>| {
            let ack = dialog.ack(seq, &self.at, &mint.branch());
            out.extend(ack.map(|a| Out::Ack(Box::new(a))));
        };
        match &mut self.state {
            State::Up(standing) => return ack(standing.dialog(), mint, out),
            State::Ending(dialog, _) => return ack(dialog, mint, out),
            State::Gone => {
                // The 2xx is retransmitted although the BYE was answered, so the ACK was lost.
                if let Ok(dialog) = Dialog::as_client(&self.invite, response) {
                    ack(&dialog, mint, out);
                }
                return;
            }
            State::Calling { .. } | State::Abandoned { .. } => {}
        }
        let wanted = matches!(self.state, State::Calling { given_up: None, .. });
        let counts = matches!(self.state, State::Calling { .. });
        let Ok(dialog) = Dialog::as_client(&self.invite, response) else {
            // Without a valid contact the call can't be ended by a BYE. Closing the connection is all that remains.
            out.push(Out::Close);
            if counts {
                out.push(Out::Over(Some(500)));
            }
            return self.gone(out);
        };
        ack(&dialog, mint, out);
        if wanted {
            self.state = State::Up(Box::new(Standing::new(now, dialog, response)));
            out.push(Out::Up(response.raw.body.clone()));
            return;
        }
        self.hang_up(dialog, mint, out);
        if counts {
            out.push(Out::Over(None));
        }
    }

    fn refused(&mut self, status: u16, out: &mut Vec<Out>) {
        match self.state {
            State::Calling { given_up, .. } => {
                out.push(Out::Over(given_up.is_none().then_some(status)));
                self.gone(out);
            }
            State::Abandoned { .. } => self.gone(out),
            _ => {}
        }
    }

    fn lost(&mut self, now: Micros, out: &mut Vec<Out>) {
        if let State::Calling { .. } = self.state {
            self.abandon(now, out);
        }
    }

    /// Abandons the attempt because its connection will bring no final response.
    ///
    /// The media server may still accept and send its 2xx on another connection.
    fn abandon(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.state = State::Abandoned { until: now + TRIES };
        out.push(Out::Over(None));
    }

    fn end(&mut self, now: Micros, mint: &mut Mint, out: &mut Vec<Out>) {
        match &mut self.state {
            State::Calling { tried, given_up: given_up @ None } => {
                *given_up = Some(now);
                if *tried {
                    self.cancel(out);
                }
            }
            State::Up(_) => self.bye(mint, out),
            _ => {}
        }
    }

    /// Ends an established call.
    fn bye(&mut self, mint: &mut Mint, out: &mut Vec<Out>) {
        if let State::Up(standing) = std::mem::replace(&mut self.state, State::Gone) {
            self.hang_up(standing.into_dialog(), mint, out);
        }
    }

    /// Sends a BYE in a dialog. If the remote target makes no valid request, the leg ends without one.
    fn hang_up(&mut self, mut dialog: Dialog, mint: &mut Mint, out: &mut Vec<Out>) {
        match dialog.request(Method::Bye, &self.at, &mint.branch(), None) {
            Some(bye) => {
                self.state = State::Ending(Box::new(dialog), Layer::key_of(&bye));
                out.push(Out::Send(Box::new(bye)));
            }
            None => self.gone(out),
        }
    }

    /// Handles an input for an established call.
    ///
    /// If the media server doesn't have the call any more, the call ends, and a BYE makes sure of it.
    fn standing(&mut self, now: Micros, input: In<'_>, mint: &mut Mint, out: &mut Vec<Out>) {
        let State::Up(standing) = &mut self.state else { return };
        match input {
            In::Change(offer) => standing.change(now, offer),
            In::Broken => standing.broken(now, mint),
            In::Updated(key, answer) if standing.answered(now, key, answer, mint) == Means::Gone => {
                out.push(Out::HungUp);
                return self.bye(mint, out);
            }
            _ => {}
        }
        out.extend(standing.due(now, &self.at, mint).map(|u| Out::Send(Box::new(u))));
    }

    fn box_hung_up(&mut self, out: &mut Vec<Out>) {
        if let State::Up(_) = self.state {
            out.push(Out::HungUp);
            self.gone(out);
        }
    }

    fn due(&mut self, now: Micros, mint: &mut Mint, out: &mut Vec<Out>) {
        match &mut self.state {
            State::Calling { given_up: Some(at), .. } if *at + GRACE <= now => {
                out.push(Out::Close);
                self.abandon(now, out);
            }
            State::Abandoned { until } if *until <= now => self.gone(out),
            State::Up(standing) => {
                out.extend(standing.due(now, &self.at, mint).map(|u| Out::Send(Box::new(u))));
            }
            _ => {}
        }
    }
}

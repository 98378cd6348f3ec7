//! The leg towards a media server: an attempt to set a call up there, and the call while it stands.
//!
//! A media server that has a call is never left with it. An attempt that is given up is cancelled as soon as that is allowed
//! (section 9.1); a 2xx that comes all the same, however late, is acknowledged and ended by a BYE. When an attempt is
//! **certainly over**, so that another may go out, is said by [`Out::Over`]: a final response has come, or the
//! connection that it went out on is closed. The connection is the attempt's own; it is closed [`GRACE`] after the
//! attempt was given up, so that a media server that stands still costs no more than that.

use beechloft_session::api::Micros;
use beechloft_session::session::GRACE;

use crate::dialog::{Dialog, Local, Mint};
use crate::message::{Method, Request, Response};
use crate::standing::{Means, Standing};
use crate::timer::TRIES;
use crate::transaction::{Key, Layer};

/// What happens to the leg.
#[derive(Debug, Clone, Copy)]
pub enum In<'a> {
    /// A response to its INVITE.
    Response(&'a Response),
    /// Its INVITE got no final response, or its connection is gone.
    Lost,
    /// The attempt is given up, or the call is to be ended.
    End,
    /// A BYE came from the media server, in this dialog.
    Bye,
    /// A response to its BYE, or none in time.
    ByeDone,
    /// Another rung: the offer that says so.
    Change(&'a str),
    /// The final answer to its UPDATE of this key, or none in time.
    Updated(&'a Key, Option<&'a Response>),
    /// The connection of a call that stands is gone.
    Broken,
    /// Time passes.
    Tick,
}

/// What the leg wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// Send an ACK of a 2xx.
    Ack(Box<Request>),
    /// The media server works on it.
    Rings(u16),
    /// The call stands; the media server's answer.
    Up(Vec<u8>),
    /// The attempt ended without a call: the media server's final status; none: it was given up, or nothing came.
    Over(Option<u16>),
    /// Close the attempt's own connection.
    Close,
    /// The media server ended the call.
    HungUp,
    /// Nothing is left of the leg at the media server.
    Gone,
}

#[derive(Debug)]
enum State {
    /// The INVITE is out. Whether a provisional response has come, and whether it was given up and when.
    Calling { tried: bool, given_up: Option<Micros> },
    /// The call stands.
    Up(Box<Standing>),
    /// A BYE is out, under this key.
    Ending(Box<Dialog>, Key),
    /// Given up without a final response; a late 2xx is still ended until this time.
    Abandoned { until: Micros },
    /// Nothing is left.
    Gone,
}

/// A leg towards a media server.
#[derive(Debug)]
pub struct BoxLeg {
    invite: Request,
    at: Local,
    state: State,
}

impl BoxLeg {
    /// Begins with the INVITE that was sent.
    pub fn new(invite: Request, at: Local) -> Self {
        BoxLeg { invite, at, state: State::Calling { tried: false, given_up: None } }
    }

    /// The INVITE that it began with.
    pub fn invite(&self) -> &Request {
        &self.invite
    }

    /// The dialog, while the call stands.
    pub fn dialog(&mut self) -> Option<&mut Dialog> {
        if let State::Up(standing) = &mut self.state { Some(standing.dialog()) } else { None }
    }

    /// The key of its BYE, while one is out.
    pub fn bye_key(&self) -> Option<Key> {
        if let State::Ending(_, bye) = &self.state { Some(bye.clone()) } else { None }
    }

    /// The key of its UPDATE, while one is out.
    pub fn update_key(&self) -> Option<&Key> {
        if let State::Up(standing) = &self.state { standing.key() } else { None }
    }

    /// Whether nothing is left of it.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, State::Gone)
    }

    /// Takes one input and appends what is to be done.
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

    /// When [`In::Tick`] is next needed.
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
                self.cancel(out); // it could not be sent before
            }
        } else {
            out.push(Out::Rings(status));
        }
    }

    /// Every 2xx is acknowledged, also a repeated one; what nobody wants any more is ended.
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
                // Its BYE was answered, and yet the 2xx comes again: the ACK was lost.
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
            // No address to end it at: the connection's end is all that is left to say.
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

    /// No final response will come on the attempt's connection. The media server may still accept and say so on another.
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

    /// Ends a call that stands.
    fn bye(&mut self, mint: &mut Mint, out: &mut Vec<Out>) {
        if let State::Up(standing) = std::mem::replace(&mut self.state, State::Gone) {
            self.hang_up(standing.into_dialog(), mint, out);
        }
    }

    /// Sends a BYE in a dialog; one that makes no request has nothing left to be ended by.
    fn hang_up(&mut self, mut dialog: Dialog, mint: &mut Mint, out: &mut Vec<Out>) {
        match dialog.request(Method::Bye, &self.at, &mint.branch(), None) {
            Some(bye) => {
                self.state = State::Ending(Box::new(dialog), Layer::key_of(&bye));
                out.push(Out::Send(Box::new(bye)));
            }
            None => self.gone(out),
        }
    }

    /// What concerns a call that stands; what the media server does not have any more is over, and a BYE makes it certain.
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

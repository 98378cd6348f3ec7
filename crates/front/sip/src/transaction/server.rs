//! Server transactions: figures 7 and 8 of RFC 3261, the first with RFC 6026's Accepted state.
//!
//! Over datagrams they are kept for T4 longer than the figures say. A client repeats its request for 64 T1, and the
//! last copy may be on the way for T4 more; a transaction that ends before would take it for a new request, and a
//! session would be set up twice.

use beechloft_session::api::Micros;

use super::Transport;
use crate::message::{Method, Request, Response};
use crate::timer::{Backoff, T4, TRIES, TRYING};

/// Where a server transaction is.
#[derive(Debug)]
enum State {
    /// Nothing has been answered. An INVITE gets a 100 at this time, if its user stays silent.
    Trying(Option<Micros>),
    /// A provisional response has gone out last.
    Proceeding(Box<Response>),
    /// A final response other than 2xx to INVITE has gone out and is repeated until its ACK (timers G and H).
    Completed { response: Box<Response>, repeat: Option<(Micros, Backoff)>, until: Micros },
    /// The final response of a request other than INVITE has gone out (timer J).
    Answered { response: Box<Response>, until: Micros },
    /// A 2xx to INVITE has gone out; its user repeats it (timer L).
    Accepted { until: Micros },
    /// The ACK has come; further ones are absorbed (timer I).
    Confirmed { until: Micros },
    /// Over.
    Terminated,
}

/// What a server transaction wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send a response.
    Send(Box<Response>),
    /// The ACK of a final response other than 2xx never came.
    NoAck,
}

/// One server transaction.
#[derive(Debug)]
pub struct Server {
    method: Method,
    /// What was asked, until something was answered: the transaction outlives that by half a minute.
    request: Option<Box<Request>>,
    transport: Transport,
    state: State,
}

impl Server {
    /// Begins with a request that was not seen before.
    pub fn new(now: Micros, request: Request, transport: Transport) -> Self {
        let method = request.method();
        let trying = (method == Method::Invite).then_some(now + TRYING);
        Server { method, request: Some(Box::new(request)), transport, state: State::Trying(trying) }
    }

    fn is_invite(&self) -> bool {
        self.method == Method::Invite
    }

    /// The same request came again, or the ACK of its failure.
    pub fn received(&mut self, now: Micros, method: Method, out: &mut Vec<Step>) {
        if method == Method::Ack {
            if let State::Completed { .. } = self.state {
                let wait = self.transport.wait(T4);
                self.state = State::Confirmed { until: now + wait };
                self.end_if(wait == Micros(0));
            }
            return;
        }
        match &self.state {
            State::Proceeding(response)
            | State::Completed { response, .. }
            | State::Answered { response, .. } => {
                out.push(Step::Send(response.clone()));
            }
            State::Trying(_) | State::Accepted { .. } | State::Confirmed { .. } | State::Terminated => {}
        }
    }

    /// The user answers. A response after the final one is dropped, but for repeated 2xx to INVITE.
    pub fn respond(&mut self, now: Micros, response: Response, out: &mut Vec<Step>) -> bool {
        let response = Box::new(response);
        match (&self.state, response.status) {
            (State::Trying(_) | State::Proceeding(_), 100..=199) => {
                self.state = State::Proceeding(response.clone());
            }
            (State::Trying(_) | State::Proceeding(_), 200..=299) if self.is_invite() => {
                self.state = State::Accepted { until: now + TRIES + self.transport.wait(T4) };
            }
            (State::Accepted { .. }, 200..=299) => {}
            (State::Trying(_) | State::Proceeding(_), _) if self.is_invite() => {
                let mut backoff = Backoff::bounded();
                let repeat = (self.transport == Transport::Udp).then(|| (now + backoff.take(), backoff));
                self.state = State::Completed { response: response.clone(), repeat, until: now + TRIES };
            }
            (State::Trying(_) | State::Proceeding(_), _) => {
                let wait = self.transport.wait(TRIES + T4);
                self.state = State::Answered { response: response.clone(), until: now + wait };
                self.end_if(wait == Micros(0));
            }
            _ => return false,
        }
        self.request = None;
        out.push(Step::Send(response));
        true
    }

    fn end_if(&mut self, over: bool) {
        if over {
            self.state = State::Terminated;
        }
    }

    /// What is due by now.
    pub fn due(&mut self, now: Micros, out: &mut Vec<Step>) {
        match &mut self.state {
            State::Trying(Some(at)) if *at <= now => {
                let Some(trying) = self.request.take().map(|r| Box::new(r.answer(100, ""))) else { return };
                out.push(Step::Send(trying.clone()));
                self.state = State::Proceeding(trying);
            }
            State::Completed { until, .. } if *until <= now => {
                out.push(Step::NoAck);
                let wait = self.transport.wait(T4);
                self.state = State::Confirmed { until: now + wait };
                self.end_if(wait == Micros(0));
            }
            State::Completed { response, repeat: Some((at, backoff)), .. } if *at <= now => {
                out.push(Step::Send(response.clone()));
                *at = now + backoff.take();
            }
            State::Answered { until, .. } | State::Accepted { until } | State::Confirmed { until }
                if *until <= now =>
            {
                self.state = State::Terminated;
            }
            _ => {}
        }
    }

    /// When [`Server::due`] is next needed.
    pub fn next_due(&self) -> Option<Micros> {
        match &self.state {
            State::Trying(at) => *at,
            State::Completed { repeat, until, .. } => Some(repeat.map_or(*until, |r| r.0.min(*until))),
            State::Answered { until, .. } | State::Accepted { until } | State::Confirmed { until } => {
                Some(*until)
            }
            State::Proceeding(_) | State::Terminated => None,
        }
    }

    /// Whether a final response has been given.
    pub fn is_answered(&self) -> bool {
        !matches!(self.state, State::Trying(_) | State::Proceeding(_))
    }

    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Terminated)
    }
}

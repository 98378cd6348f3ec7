//! Server transactions: figures 7 and 8 of RFC 3261, with RFC 6026's Accepted state for INVITE.
//!
//! Over UDP they are kept for T4 longer than the figures say. A client retransmits its request for 64 T1, and the last
//! copy may be in the network for T4 more. A transaction that ended before would take this copy for a new request, and
//! the session would be set up twice.

use beechloft_session::api::Micros;

use super::Transport;
use crate::message::{Method, Request, Response};
use crate::timer::{Backoff, T4, TRANSACTION_TIMEOUT, TRYING_DELAY};

/// State of a server transaction.
#[derive(Debug)]
enum State {
    /// No response has been sent. For an INVITE, a 100 is sent at the given time.
    Trying(Option<Micros>),
    /// The last response sent was provisional.
    Proceeding(Box<Response>),
    /// A final response other than 2xx to an INVITE has been sent. It is retransmitted until its ACK (timers G and H).
    InviteCompleted { response: Box<Response>, retransmit: Option<(Micros, Backoff)>, until: Micros },
    /// The final response to a non-INVITE request has been sent (timer J).
    Completed { response: Box<Response>, until: Micros },
    /// A 2xx to an INVITE has been sent. Its user retransmits it (timer L).
    Accepted { until: Micros },
    /// The ACK has arrived. Further ones are absorbed (timer I).
    Confirmed { until: Micros },
    /// The transaction has ended.
    Terminated,
}

/// Action requested by a server transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send a response.
    Send(Box<Response>),
    /// Report that no ACK arrived for a final response other than 2xx.
    NoAck,
}

/// Server transaction.
#[derive(Debug)]
pub struct Server {
    method: Method,
    /// The request, kept only until the first response because the transaction lives on for half a minute.
    request: Option<Box<Request>>,
    transport: Transport,
    state: State,
}

impl Server {
    /// Starts a transaction for a new request.
    pub fn new(now: Micros, request: Request, transport: Transport) -> Self {
        let method = request.method();
        let trying = (method == Method::Invite).then_some(now + TRYING_DELAY);
        Server { method, request: Some(Box::new(request)), transport, state: State::Trying(trying) }
    }

    fn is_invite(&self) -> bool {
        self.method == Method::Invite
    }

    /// Handles a retransmission of the request, or the ACK of its failure.
    pub fn received(&mut self, now: Micros, method: Method, out: &mut Vec<Step>) {
        if method == Method::Ack {
            if let State::InviteCompleted { .. } = self.state {
                let wait = self.transport.unreliable_delay(T4);
                self.state = State::Confirmed { until: now + wait };
                self.end_if(wait == Micros(0));
            }
            return;
        }
        match &self.state {
            State::Proceeding(response)
            | State::InviteCompleted { response, .. }
            | State::Completed { response, .. } => {
                out.push(Step::Send(response.clone()));
            }
            State::Trying(_) | State::Accepted { .. } | State::Confirmed { .. } | State::Terminated => {}
        }
    }

    /// Sends a response of the user and returns whether it was sent.
    ///
    /// A response after the final one is dropped, except for a retransmitted 2xx to an INVITE.
    pub fn respond(&mut self, now: Micros, response: Response, out: &mut Vec<Step>) -> bool {
        let response = Box::new(response);
        match (&self.state, response.status) {
            (State::Trying(_) | State::Proceeding(_), 100..=199) => {
                self.state = State::Proceeding(response.clone());
            }
            (State::Trying(_) | State::Proceeding(_), 200..=299) if self.is_invite() => {
                self.state = State::Accepted {
                    until: now + TRANSACTION_TIMEOUT + self.transport.unreliable_delay(T4),
                };
            }
            (State::Accepted { .. }, 200..=299) => {}
            (State::Trying(_) | State::Proceeding(_), _) if self.is_invite() => {
                let mut backoff = Backoff::bounded();
                let retransmit =
                    (self.transport == Transport::Udp).then(|| (now + backoff.next_interval(), backoff));
                self.state = State::InviteCompleted {
                    response: response.clone(),
                    retransmit,
                    until: now + TRANSACTION_TIMEOUT,
                };
            }
            (State::Trying(_) | State::Proceeding(_), _) => {
                let wait = self.transport.unreliable_delay(TRANSACTION_TIMEOUT + T4);
                self.state = State::Completed { response: response.clone(), until: now + wait };
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

    /// Runs the timers that have expired.
    pub fn run_timers(&mut self, now: Micros, out: &mut Vec<Step>) {
        match &mut self.state {
            State::Trying(Some(at)) if *at <= now => {
                let Some(trying) = self.request.take().map(|r| Box::new(r.response(100, ""))) else { return };
                out.push(Step::Send(trying.clone()));
                self.state = State::Proceeding(trying);
            }
            State::InviteCompleted { until, .. } if *until <= now => {
                out.push(Step::NoAck);
                let wait = self.transport.unreliable_delay(T4);
                self.state = State::Confirmed { until: now + wait };
                self.end_if(wait == Micros(0));
            }
            State::InviteCompleted { response, retransmit: Some((at, backoff)), .. } if *at <= now => {
                out.push(Step::Send(response.clone()));
                *at = now + backoff.next_interval();
            }
            State::Completed { until, .. } | State::Accepted { until } | State::Confirmed { until }
                if *until <= now =>
            {
                self.state = State::Terminated;
            }
            _ => {}
        }
    }

    /// Returns the time at which [`Server::run_timers`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        match &self.state {
            State::Trying(at) => *at,
            State::InviteCompleted { retransmit, until, .. } => {
                Some(retransmit.map_or(*until, |r| r.0.min(*until)))
            }
            State::Completed { until, .. } | State::Accepted { until } | State::Confirmed { until } => {
                Some(*until)
            }
            State::Proceeding(_) | State::Terminated => None,
        }
    }

    /// Returns whether a final response has been sent.
    pub fn is_completed(&self) -> bool {
        !matches!(self.state, State::Trying(_) | State::Proceeding(_))
    }

    /// Returns whether the transaction has ended.
    pub fn is_terminated(&self) -> bool {
        matches!(self.state, State::Terminated)
    }
}

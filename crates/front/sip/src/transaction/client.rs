//! Client transactions: figures 5 and 6 of RFC 3261, with RFC 6026's Accepted state for INVITE.

use beechloft_session::api::Micros;

use super::Transport;
use crate::message::{Identifiers, Method, Request, Response};
use crate::timer::{Backoff, T4, TIMER_D, TRANSACTION_TIMEOUT};

/// State of a client transaction.
#[derive(Debug)]
enum State {
    /// No response has arrived. The request is retransmitted (timers A and E) until the timeout (timers B and F).
    Calling { retransmit: Option<(Micros, Backoff)>, until: Micros },
    /// A provisional response has arrived. An INVITE then waits for as long as its user does.
    Proceeding { retransmit: Option<(Micros, Backoff)>, until: Option<Micros> },
    /// A final response other than 2xx to an INVITE has arrived. Retransmitted ones are acknowledged again (timer D).
    InviteCompleted { ack: Box<Request>, until: Micros },
    /// The final response to a non-INVITE request has arrived. Retransmitted ones are absorbed (timer K).
    Completed { until: Micros },
    /// A 2xx to an INVITE has arrived. Further ones are delivered (timer M).
    Accepted { until: Micros },
    /// The transaction has ended.
    Terminated,
}

/// Action requested by a client transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Send the request or an ACK.
    Send(Box<Request>),
    /// Deliver a response to the user.
    Deliver(Box<Response>),
    /// Report to the user that no final response arrived.
    TimedOut,
}

/// Client transaction.
#[derive(Debug)]
pub struct Client {
    ids: Identifiers,
    method: Method,
    /// The request, kept only until a final response arrives because the transaction lives on for half a minute.
    request: Option<Box<Request>>,
    transport: Transport,
    state: State,
}

impl Client {
    /// Starts a transaction by sending its request.
    pub fn new(now: Micros, request: Request, transport: Transport, out: &mut Vec<Step>) -> Self {
        let mut backoff =
            if request.method() == Method::Invite { Backoff::invite() } else { Backoff::bounded() };
        let retransmit = (transport == Transport::Udp).then(|| (now + backoff.next_interval(), backoff));
        out.push(Step::Send(Box::new(request.clone())));
        let (ids, method) = (request.ids.clone(), request.method());
        Client {
            ids,
            method,
            request: Some(Box::new(request)),
            transport,
            state: State::Calling { retransmit, until: now + TRANSACTION_TIMEOUT },
        }
    }

    /// Returns the identifiers of the request.
    pub fn identifiers(&self) -> &Identifiers {
        &self.ids
    }

    fn is_invite(&self) -> bool {
        self.method == Method::Invite
    }

    /// Handles a response to the request.
    pub fn received(&mut self, now: Micros, response: Response, out: &mut Vec<Step>) {
        let (response, invite) = (Box::new(response), self.is_invite());
        let request = if response.is_final() { self.request.take() } else { None };
        match (&mut self.state, response.status) {
            (State::Calling { until, .. }, 100..=199) => {
                let until = *until;
                let retransmit = (!invite && self.transport == Transport::Udp).then(|| {
                    let mut backoff = Backoff::slow();
                    (now + backoff.next_interval(), backoff)
                });
                self.state = State::Proceeding { retransmit, until: (!invite).then_some(until) };
                out.push(Step::Deliver(response));
            }
            (State::Proceeding { .. }, 100..=199) => out.push(Step::Deliver(response)),
            (State::Calling { .. } | State::Proceeding { .. }, 200..=299) if invite => {
                self.state = State::Accepted { until: now + TRANSACTION_TIMEOUT };
                out.push(Step::Deliver(response));
            }
            (State::Accepted { .. }, 200..=299) => out.push(Step::Deliver(response)),
            (State::Calling { .. } | State::Proceeding { .. }, _) if invite => {
                let Some(ack) = request.map(|r| Box::new(r.ack_for(&response))) else { return };
                out.push(Step::Send(ack.clone()));
                let wait = self.transport.unreliable_delay(TIMER_D);
                self.state = State::InviteCompleted { ack, until: now + wait };
                self.end_if(wait == Micros(0));
                out.push(Step::Deliver(response));
            }
            (State::Calling { .. } | State::Proceeding { .. }, _) => {
                let wait = self.transport.unreliable_delay(T4);
                self.state = State::Completed { until: now + wait };
                self.end_if(wait == Micros(0));
                out.push(Step::Deliver(response));
            }
            // A retransmitted failure means that the ACK was lost. One with another tag belongs to another dialog and gets no ACK.
            (State::InviteCompleted { ack, .. }, 300..) if ack.ids.to_tag == response.ids.to_tag => {
                out.push(Step::Send(ack.clone()));
            }
            _ => {}
        }
    }

    fn end_if(&mut self, over: bool) {
        if over {
            self.state = State::Terminated;
        }
    }

    /// Runs the timers that have expired.
    pub fn run_timers(&mut self, now: Micros, out: &mut Vec<Step>) {
        match &mut self.state {
            State::Calling { until, .. } | State::Proceeding { until: Some(until), .. } if *until <= now => {
                out.push(Step::TimedOut);
                self.state = State::Terminated;
            }
            State::Calling { retransmit: Some((at, backoff)), .. }
            | State::Proceeding { retransmit: Some((at, backoff)), .. }
                if *at <= now =>
            {
                out.extend(self.request.clone().map(Step::Send));
                *at = now + backoff.next_interval();
            }
            State::InviteCompleted { until, .. } | State::Completed { until } | State::Accepted { until }
                if *until <= now =>
            {
                self.state = State::Terminated;
            }
            _ => {}
        }
    }

    /// Returns the time at which [`Client::run_timers`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        match &self.state {
            State::Calling { retransmit, until } => Some(retransmit.map_or(*until, |r| r.0.min(*until))),
            State::Proceeding { retransmit, until } => {
                retransmit.map(|r| r.0).into_iter().chain(*until).min()
            }
            State::InviteCompleted { until, .. } | State::Completed { until } | State::Accepted { until } => {
                Some(*until)
            }
            State::Terminated => None,
        }
    }

    /// Returns whether a CANCEL may be sent: a provisional response has arrived and no final one (section 9.1).
    pub fn may_cancel(&self) -> bool {
        self.is_invite() && matches!(self.state, State::Proceeding { .. })
    }

    /// Returns whether a final response has arrived or the transaction has timed out.
    pub fn is_completed(&self) -> bool {
        !matches!(self.state, State::Calling { .. } | State::Proceeding { .. })
    }

    /// Returns whether the transaction has ended.
    pub fn is_terminated(&self) -> bool {
        matches!(self.state, State::Terminated)
    }
}

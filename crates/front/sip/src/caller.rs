//! The call leg to a caller: its INVITE gets exactly one final response, and its call lasts until one side ends it.
//!
//! A 2xx is retransmitted until its ACK arrives (section 13.3.1.4), and a caller that never sends one is disconnected. A
//! caller that disappears without a BYE is detected by the session timer (RFC 4028): the front requires refreshes by the
//! caller and ends the call if they stop, which frees its capacity.

use beechloft_session::api::Micros;
use rsip::{Header, Headers};

use crate::dialog::{Dialog, IdGenerator, LocalEndpoint};
use crate::message::{MessageError, Method, Request, Response};
use crate::timer::{Backoff, TRANSACTION_TIMEOUT};

/// Minimum session interval that is accepted, in seconds (RFC 4028, section 4).
pub const MIN_SE_SECONDS: u32 = 90;
/// Session interval if the caller names none, in seconds.
pub const DEFAULT_SESSION_SECONDS: u32 = 180;

/// Input of the leg.
#[derive(Debug, Clone, Copy)]
pub enum Input<'a> {
    /// The callee is ringing.
    Ringing,
    /// The call is accepted with this SDP answer.
    Accept(&'a str),
    /// The call is rejected with this status and perhaps the seconds of `Retry-After`.
    Reject(u16, Option<u64>),
    /// The caller cancelled its INVITE.
    Cancel,
    /// An ACK arrived in this dialog.
    Ack(&'a Request),
    /// Another request arrived in this dialog.
    Request(&'a Request),
    /// The call ended on the callee's side.
    End,
    /// Timers may have expired.
    Tick,
}

/// Output of the leg.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Respond to the INVITE.
    RespondInvite(Box<Response>),
    /// Respond to the request that is being handled.
    Respond(Box<Response>),
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// The caller cancelled before the final response. The 487 was sent.
    Cancelled,
    /// The caller acknowledged the 2xx.
    Confirmed,
    /// The call ended on the caller's side.
    Ended(EndReason),
}

/// Reason why a call ended on the caller's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The caller sent a BYE.
    Bye,
    /// The 2xx was never acknowledged.
    NoAck,
    /// The session interval expired without a refresh.
    Expired,
}

#[derive(Debug)]
enum State {
    /// No final response has been sent.
    Pending,
    /// The 2xx was sent and is not acknowledged. It is retransmitted until the timeout.
    Accepted { answer: Box<Response>, retransmit_at: Micros, backoff: Backoff, until: Micros },
    /// The call is established.
    Confirmed,
    /// The leg has ended.
    Ended,
}

/// Call leg to a caller.
#[derive(Debug)]
pub struct CallerLeg {
    invite: Request,
    dialog: Dialog,
    local: LocalEndpoint,
    state: State,
    /// Session interval in seconds, and the time at which it expires.
    session: Option<(u32, Micros)>,
}

/// Returns the value of a header field that the parser doesn't know.
fn unknown_field<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find_map(|h| match h {
        Header::Other(key, value) if key.eq_ignore_ascii_case(name) => Some(value.as_str()),
        _ => None,
    })
}

/// Returns the interval of `Session-Expires` in seconds, if the field is present and valid.
pub(crate) fn session_expires(headers: &Headers) -> Option<u32> {
    unknown_field(headers, "Session-Expires")?.split(';').next()?.trim().parse().ok()
}

impl CallerLeg {
    /// Creates a leg for an INVITE outside any dialog.
    ///
    /// # Errors
    /// Returns an error if the INVITE has no valid dialog fields.
    pub fn new(
        invite: Request,
        local: LocalEndpoint,
        id_generator: &mut IdGenerator,
    ) -> Result<CallerLeg, MessageError> {
        let dialog = Dialog::as_server(&invite, &id_generator.tag())?;
        Ok(CallerLeg { invite, dialog, local, state: State::Pending, session: None })
    }

    /// Returns the local tag of the dialog.
    pub fn tag(&self) -> &str {
        self.dialog.local_tag()
    }

    /// Returns the 422 that rejects a session interval that is too short, if any (RFC 4028, section 9).
    pub fn session_interval_error(&self) -> Option<Response> {
        let short = session_expires(&self.invite.raw.headers).is_some_and(|s| s < MIN_SE_SECONDS);
        short.then(|| {
            let mut rejection = self.invite.response(422, self.tag());
            rejection.raw.headers.push(Header::Other("Min-SE".into(), MIN_SE_SECONDS.to_string()));
            rejection
        })
    }

    /// Returns whether the leg has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    /// Returns whether no final response has been sent.
    pub fn is_pending(&self) -> bool {
        matches!(self.state, State::Pending)
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
            Input::Ringing if self.is_pending() => {
                out.push(Output::RespondInvite(Box::new(self.invite.response(180, self.tag()))))
            }
            Input::Ringing => {}
            Input::Accept(sdp) => self.accept(now, sdp, out),
            Input::Reject(status, retry_after_seconds) => self.reject(status, retry_after_seconds, out),
            Input::Cancel => {
                if self.is_pending() {
                    self.reject(487, None, out);
                    out.push(Output::Cancelled);
                }
            }
            Input::Ack(ack) => self.acknowledged(ack, out),
            Input::Request(request) => self.request(now, request, out),
            Input::End => self.end(id_generator, out),
            Input::Tick => self.run_timers(now, id_generator, out),
        }
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        let expires = self.session.map(|s| s.1);
        match &self.state {
            State::Accepted { retransmit_at, until, .. } => Some((*retransmit_at).min(*until)),
            State::Confirmed => expires,
            State::Pending | State::Ended => None,
        }
    }

    fn accept(&mut self, now: Micros, sdp: &str, out: &mut Vec<Output>) {
        if !self.is_pending() {
            return;
        }
        let interval = session_expires(&self.invite.raw.headers)
            .map_or(DEFAULT_SESSION_SECONDS, |s| s.max(MIN_SE_SECONDS));
        let answer = Box::new(self.ok(&self.invite, Some(sdp), interval));
        self.session = Some((interval, now + Micros(u64::from(interval) * 1_000_000)));
        let mut backoff = Backoff::bounded();
        let retransmit_at = now + backoff.next_interval();
        out.push(Output::RespondInvite(answer.clone()));
        self.state = State::Accepted { answer, retransmit_at, backoff, until: now + TRANSACTION_TIMEOUT };
    }

    /// Builds a 200 with the header fields of a 2xx to an INVITE or UPDATE.
    fn ok(&self, request: &Request, sdp: Option<&str>, interval: u32) -> Response {
        let mut ok = request.response(200, self.tag());
        let headers = &mut ok.raw.headers;
        headers.retain(|h| !matches!(h, Header::ContentLength(_)));
        headers.push(Header::Contact(format!("<sip:{}>", self.local.sent_by).into()));
        headers.push(Header::Other("Session-Expires".into(), format!("{interval};refresher=uac")));
        headers.push(Header::Require("timer".into()));
        if sdp.is_some() {
            headers.push(Header::ContentType("application/sdp".into()));
        }
        let body = sdp.unwrap_or_default();
        headers.push(Header::ContentLength(body.len().to_string().into()));
        ok.raw.body = body.as_bytes().to_vec();
        ok
    }

    fn reject(&mut self, status: u16, retry_after_seconds: Option<u64>, out: &mut Vec<Output>) {
        if !self.is_pending() {
            return;
        }
        let mut rejection = self.invite.response(status, self.tag());
        if let Some(seconds) = retry_after_seconds {
            rejection.raw.headers.push(Header::RetryAfter(seconds.to_string().into()));
        }
        self.state = State::Ended;
        out.push(Output::RespondInvite(Box::new(rejection)));
    }

    fn acknowledged(&mut self, ack: &Request, out: &mut Vec<Output>) {
        let ours = self.dialog.accept_request(ack).is_ok() && ack.ids.seq == self.invite.ids.seq;
        if ours && let State::Accepted { .. } = self.state {
            self.state = State::Confirmed;
            out.push(Output::Confirmed);
        }
    }

    /// Handles a request within the dialog.
    ///
    /// A session change by the caller is rejected with 488, because the policy chooses the rung. A refresh is an UPDATE without
    /// an offer.
    fn request(&mut self, now: Micros, request: &Request, out: &mut Vec<Output>) {
        if matches!(self.state, State::Pending | State::Ended) {
            return out.push(Output::Respond(Box::new(request.response(481, self.tag()))));
        }
        if let Err(status) = self.dialog.accept_request(request) {
            return out.push(Output::Respond(Box::new(request.response(status, self.tag()))));
        }
        let respond = |status| Output::Respond(Box::new(request.response(status, self.dialog.local_tag())));
        match request.method() {
            Method::Bye => {
                out.push(respond(200));
                self.end_with(EndReason::Bye, out);
            }
            // The transaction of the first INVITE has not ended yet (section 14.2).
            Method::Invite if matches!(self.state, State::Accepted { .. }) => out.push(respond(491)),
            Method::Invite => out.push(respond(488)),
            Method::Update if request.raw.body.is_empty() => {
                let interval = session_expires(&request.raw.headers)
                    .map_or(DEFAULT_SESSION_SECONDS, |s| s.max(MIN_SE_SECONDS));
                self.session = Some((interval, now + Micros(u64::from(interval) * 1_000_000)));
                out.push(Output::Respond(Box::new(self.ok(request, None, interval))));
            }
            Method::Update => out.push(respond(488)),
            Method::Options => out.push(respond(200)),
            _ => out.push(respond(405)),
        }
    }

    fn end_with(&mut self, reason: EndReason, out: &mut Vec<Output>) {
        self.state = State::Ended;
        out.push(Output::Ended(reason));
    }

    /// Sends a BYE to the caller.
    fn send_bye(&mut self, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        let bye = self.dialog.request(Method::Bye, &self.local, &id_generator.branch(), None);
        out.extend(bye.map(|b| Output::Send(Box::new(b))));
    }

    fn end(&mut self, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        if matches!(self.state, State::Accepted { .. } | State::Confirmed) {
            self.send_bye(id_generator, out);
            self.state = State::Ended;
        }
    }

    fn run_timers(&mut self, now: Micros, id_generator: &mut IdGenerator, out: &mut Vec<Output>) {
        match &mut self.state {
            State::Accepted { until, .. } if *until <= now => {
                self.send_bye(id_generator, out);
                self.end_with(EndReason::NoAck, out);
            }
            State::Accepted { answer, retransmit_at, backoff, .. } if *retransmit_at <= now => {
                out.push(Output::RespondInvite(answer.clone()));
                *retransmit_at = now + backoff.next_interval();
            }
            State::Confirmed if self.session.is_some_and(|s| s.1 <= now) => {
                self.send_bye(id_generator, out);
                self.end_with(EndReason::Expired, out);
            }
            _ => {}
        }
    }
}

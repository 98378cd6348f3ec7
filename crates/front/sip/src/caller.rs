//! The call leg to a caller: its INVITE gets exactly one final response, and its call lasts until one side ends it.
//!
//! A 2xx is retransmitted until its ACK arrives (section 13.3.1.4), and a caller that never sends one is disconnected. A
//! caller that disappears without a BYE is detected by the session timer (RFC 4028): the front requires refreshes by the
//! caller and ends the call if they stop, which frees its capacity.

use beechloft_session::api::Micros;
use rsip::{Header, Headers};

use crate::dialog::{Dialog, Local, Mint};
use crate::message::{MessageError, Method, Request, Response};
use crate::timer::{Backoff, TRIES};

/// Minimum session interval that is accepted, in seconds (RFC 4028, section 4).
pub const MIN_SE: u32 = 90;
/// Session interval if the caller names none, in seconds.
pub const SESSION: u32 = 180;

/// Input of the leg.
#[derive(Debug, Clone, Copy)]
pub enum In<'a> {
    /// The callee is ringing.
    Ring,
    /// The call is accepted with this SDP answer.
    Accept(&'a str),
    /// The call is rejected with this status and perhaps the seconds of `Retry-After`.
    Refuse(u16, Option<u64>),
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
pub enum Out {
    /// Respond to the INVITE.
    AnswerInvite(Box<Response>),
    /// Respond to the request that is being handled.
    Answer(Box<Response>),
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// The caller cancelled before the final response. The 487 was sent.
    Cancelled,
    /// The caller acknowledged the 2xx.
    Confirmed,
    /// The call ended on the caller's side.
    Over(Why),
}

/// Reason why a call ended on the caller's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
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
    Owed,
    /// The 2xx was sent and is not acknowledged. It is retransmitted until the timeout.
    Accepted { answer: Box<Response>, repeat: Micros, backoff: Backoff, until: Micros },
    /// The call is established.
    Confirmed,
    /// The leg has ended.
    Over,
}

/// Call leg to a caller.
#[derive(Debug)]
pub struct CallerLeg {
    invite: Request,
    dialog: Dialog,
    at: Local,
    state: State,
    /// Session interval in seconds, and the time at which it expires.
    session: Option<(u32, Micros)>,
}

/// Returns the value of a header field that the parser doesn't know.
fn other<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find_map(|h| match h {
        Header::Other(key, value) if key.eq_ignore_ascii_case(name) => Some(value.as_str()),
        _ => None,
    })
}

/// Returns the interval of `Session-Expires` in seconds, if the field is present and valid.
pub(crate) fn session_expires(headers: &Headers) -> Option<u32> {
    other(headers, "Session-Expires")?.split(';').next()?.trim().parse().ok()
}

impl CallerLeg {
    /// Creates a leg for an INVITE outside any dialog.
    ///
    /// # Errors
    /// Returns an error if the INVITE has no valid dialog fields.
    pub fn new(invite: Request, at: Local, mint: &mut Mint) -> Result<CallerLeg, MessageError> {
        let dialog = Dialog::as_server(&invite, &mint.name())?;
        Ok(CallerLeg { invite, dialog, at, state: State::Owed, session: None })
    }

    /// Returns the local tag of the dialog.
    pub fn tag(&self) -> &str {
        self.dialog.local_tag()
    }

    /// Returns the 422 that rejects a session interval that is too short, if any (RFC 4028, section 9).
    pub fn session_fault(&self) -> Option<Response> {
        let short = session_expires(&self.invite.raw.headers).is_some_and(|s| s < MIN_SE);
        short.then(|| {
            let mut refusal = self.invite.answer(422, self.tag());
            refusal.raw.headers.push(Header::Other("Min-SE".into(), MIN_SE.to_string()));
            refusal
        })
    }

    /// Returns whether the leg has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Returns whether no final response has been sent.
    pub fn is_owed(&self) -> bool {
        matches!(self.state, State::Owed)
    }

    /// Handles one input and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: In<'_>, mint: &mut Mint, out: &mut Vec<Out>) {
        match input {
            In::Ring if self.is_owed() => {
                out.push(Out::AnswerInvite(Box::new(self.invite.answer(180, self.tag()))))
            }
            In::Ring => {}
            In::Accept(sdp) => self.accept(now, sdp, out),
            In::Refuse(status, wait) => self.refuse(status, wait, out),
            In::Cancel => {
                if self.is_owed() {
                    self.refuse(487, None, out);
                    out.push(Out::Cancelled);
                }
            }
            In::Ack(ack) => self.acknowledged(ack, out),
            In::Request(request) => self.request(now, request, out),
            In::End => self.end(mint, out),
            In::Tick => self.due(now, mint, out),
        }
    }

    /// Returns the time at which [`In::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        let expires = self.session.map(|s| s.1);
        match &self.state {
            State::Accepted { repeat, until, .. } => Some((*repeat).min(*until)),
            State::Confirmed => expires,
            State::Owed | State::Over => None,
        }
    }

    fn accept(&mut self, now: Micros, sdp: &str, out: &mut Vec<Out>) {
        if !self.is_owed() {
            return;
        }
        let interval = session_expires(&self.invite.raw.headers).map_or(SESSION, |s| s.max(MIN_SE));
        let answer = Box::new(self.ok(&self.invite, Some(sdp), interval));
        self.session = Some((interval, now + Micros(u64::from(interval) * 1_000_000)));
        let mut backoff = Backoff::bounded();
        let repeat = now + backoff.take();
        out.push(Out::AnswerInvite(answer.clone()));
        self.state = State::Accepted { answer, repeat, backoff, until: now + TRIES };
    }

    /// Builds a 200 with the header fields of a 2xx to an INVITE or UPDATE.
    fn ok(&self, request: &Request, sdp: Option<&str>, interval: u32) -> Response {
        let mut ok = request.answer(200, self.tag());
        let headers = &mut ok.raw.headers;
        headers.retain(|h| !matches!(h, Header::ContentLength(_)));
        headers.push(Header::Contact(format!("<sip:{}>", self.at.sent_by).into()));
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

    fn refuse(&mut self, status: u16, wait: Option<u64>, out: &mut Vec<Out>) {
        if !self.is_owed() {
            return;
        }
        let mut refusal = self.invite.answer(status, self.tag());
        if let Some(wait) = wait {
            refusal.raw.headers.push(Header::RetryAfter(wait.to_string().into()));
        }
        self.state = State::Over;
        out.push(Out::AnswerInvite(Box::new(refusal)));
    }

    fn acknowledged(&mut self, ack: &Request, out: &mut Vec<Out>) {
        let ours = self.dialog.takes(ack).is_ok() && ack.names.seq == self.invite.names.seq;
        if ours && let State::Accepted { .. } = self.state {
            self.state = State::Confirmed;
            out.push(Out::Confirmed);
        }
    }

    /// Handles a request within the dialog.
    ///
    /// A session change by the caller is rejected with 488, because the policy chooses the rung. A refresh is an UPDATE without
    /// an offer.
    fn request(&mut self, now: Micros, request: &Request, out: &mut Vec<Out>) {
        if matches!(self.state, State::Owed | State::Over) {
            return out.push(Out::Answer(Box::new(request.answer(481, self.tag()))));
        }
        if let Err(status) = self.dialog.takes(request) {
            return out.push(Out::Answer(Box::new(request.answer(status, self.tag()))));
        }
        let plain = |status| Out::Answer(Box::new(request.answer(status, self.dialog.local_tag())));
        match request.method() {
            Method::Bye => {
                out.push(plain(200));
                self.over(Why::Bye, out);
            }
            // The transaction of the first INVITE has not ended yet (section 14.2).
            Method::Invite if matches!(self.state, State::Accepted { .. }) => out.push(plain(491)),
            Method::Invite => out.push(plain(488)),
            Method::Update if request.raw.body.is_empty() => {
                let interval = session_expires(&request.raw.headers).map_or(SESSION, |s| s.max(MIN_SE));
                self.session = Some((interval, now + Micros(u64::from(interval) * 1_000_000)));
                out.push(Out::Answer(Box::new(self.ok(request, None, interval))));
            }
            Method::Update => out.push(plain(488)),
            Method::Options => out.push(plain(200)),
            _ => out.push(plain(405)),
        }
    }

    fn over(&mut self, why: Why, out: &mut Vec<Out>) {
        self.state = State::Over;
        out.push(Out::Over(why));
    }

    /// Sends a BYE to the caller.
    fn bye(&mut self, mint: &mut Mint, out: &mut Vec<Out>) {
        let bye = self.dialog.request(Method::Bye, &self.at, &mint.branch(), None);
        out.extend(bye.map(|b| Out::Send(Box::new(b))));
    }

    fn end(&mut self, mint: &mut Mint, out: &mut Vec<Out>) {
        if matches!(self.state, State::Accepted { .. } | State::Confirmed) {
            self.bye(mint, out);
            self.state = State::Over;
        }
    }

    fn due(&mut self, now: Micros, mint: &mut Mint, out: &mut Vec<Out>) {
        match &mut self.state {
            State::Accepted { until, .. } if *until <= now => {
                self.bye(mint, out);
                self.over(Why::NoAck, out);
            }
            State::Accepted { answer, repeat, backoff, .. } if *repeat <= now => {
                out.push(Out::AnswerInvite(answer.clone()));
                *repeat = now + backoff.take();
            }
            State::Confirmed if self.session.is_some_and(|s| s.1 <= now) => {
                self.bye(mint, out);
                self.over(Why::Expired, out);
            }
            _ => {}
        }
    }
}

//! The leg towards a caller: its INVITE is owed one final answer, and its call stands until one side ends it.
//!
//! A 2xx is repeated by us until its ACK comes (section 13.3.1.4); a caller that never sends one is disconnected. A caller
//! that vanishes without a BYE is noticed by the session timer (RFC 4028): we ask for refreshes by the caller and end
//! the call when they stay out, so that its room is free again.

use beechloft_session::api::Micros;
use rsip::{Header, Headers};

use crate::dialog::{Dialog, Local, Mint};
use crate::message::{MessageError, Method, Request, Response};
use crate::timer::{Backoff, TRIES};

/// Shortest interval between two refreshes that we take (RFC 4028, section 4).
pub const MIN_SE: u32 = 90;
/// The interval that we ask for where the caller names none.
pub const SESSION: u32 = 180;

/// What happens to the leg.
#[derive(Debug, Clone, Copy)]
pub enum In<'a> {
    /// It rings at the other end.
    Ring,
    /// It plays: the answer to its offer.
    Accept(&'a str),
    /// It is rejected or failed, perhaps with seconds to come back after.
    Refuse(u16, Option<u64>),
    /// The caller cancelled its INVITE.
    Cancel,
    /// An ACK of this dialog.
    Ack(&'a Request),
    /// Another request of this dialog.
    Request(&'a Request),
    /// The call is over at the other end.
    End,
    /// Time passes.
    Tick,
}

/// What the leg wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Answer the INVITE.
    AnswerInvite(Box<Response>),
    /// Answer the request at hand.
    Answer(Box<Response>),
    /// Send a request in a transaction of its own.
    Send(Box<Request>),
    /// The caller gave up before its answer; none is owed any more but the 487 that was sent.
    Cancelled,
    /// The caller has the answer.
    Confirmed,
    /// The call is over on the caller's side.
    Over(Why),
}

/// Why a call is over on the caller's side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It disconnected.
    Bye,
    /// Its answer was never acknowledged.
    NoAck,
    /// It stopped refreshing.
    Expired,
}

#[derive(Debug)]
enum State {
    /// An answer is owed.
    Owed,
    /// The 2xx is out and not acknowledged: next repetition, and when to give up.
    Accepted { answer: Box<Response>, repeat: Micros, backoff: Backoff, until: Micros },
    /// The call stands.
    Confirmed,
    /// Over.
    Over,
}

/// A leg towards a caller.
#[derive(Debug)]
pub struct CallerLeg {
    invite: Request,
    dialog: Dialog,
    at: Local,
    state: State,
    /// The interval of refreshes, seconds, and when the next must have come.
    session: Option<(u32, Micros)>,
}

/// A value among the fields that the parser does not know.
fn other<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find_map(|h| match h {
        Header::Other(key, value) if key.eq_ignore_ascii_case(name) => Some(value.as_str()),
        _ => None,
    })
}

/// The seconds of a `Session-Expires`, if there is one.
pub(crate) fn session_expires(headers: &Headers) -> Option<u32> {
    other(headers, "Session-Expires")?.split(';').next()?.trim().parse().ok()
}

impl CallerLeg {
    /// Begins with an INVITE outside any dialog. An interval of refreshes that is too short is refused with 422.
    pub fn new(invite: Request, at: Local, mint: &mut Mint) -> Result<CallerLeg, MessageError> {
        let dialog = Dialog::as_server(&invite, &mint.name())?;
        Ok(CallerLeg { invite, dialog, at, state: State::Owed, session: None })
    }

    /// The dialog's tag on our side.
    pub fn tag(&self) -> &str {
        self.dialog.local_tag()
    }

    /// The refusal that the caller's wish for refreshes calls for, if any (RFC 4028, section 9).
    pub fn session_fault(&self) -> Option<Response> {
        let short = session_expires(&self.invite.raw.headers).is_some_and(|s| s < MIN_SE);
        short.then(|| {
            let mut refusal = self.invite.answer(422, self.tag());
            refusal.raw.headers.push(Header::Other("Min-SE".into(), MIN_SE.to_string()));
            refusal
        })
    }

    /// Whether nothing is left of it.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Over)
    }

    /// Whether a final answer is still owed.
    pub fn is_owed(&self) -> bool {
        matches!(self.state, State::Owed)
    }

    /// Takes one input and appends what is to be done.
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

    /// When [`In::Tick`] is next needed.
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

    /// A 200 with what a 2xx to INVITE or UPDATE carries.
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

    /// A request within the dialog. A change of the session from the caller's side is not taken (488): the policy
    /// chooses the rung; a refresh is an offer-less UPDATE or the same offer again.
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
            // The first INVITE's transaction has not ended yet (section 14.2).
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

    /// Hangs up on the caller.
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

//! A box's SIP side: calls over streams, with the same faults as its HTTP side and some that only SIP can have.
//!
//! Calls are kept by `Call-ID`, whatever stream a request comes on. One that nobody refreshes is ended by its session
//! timer (RFC 4028), and one whose stream ended, a while after, if nothing comes for it on another.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::What;
use beechloft_http::wait;
use beechloft_sip::agent;
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_whep::sdp;

use super::{Inner, closed};
use crate::fault::Fault;
use crate::offer;
use crate::sessions::Session;

/// The interval of a call whose INVITE names none.
const INTERVAL: Duration = Duration::from_secs(180);
/// A call is kept for so long after its stream has ended.
const STREAMLESS: Duration = Duration::from_secs(5);
/// How often a stream is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How often the listener looks whether it is to end, and at the calls.
const ACCEPT: Duration = Duration::from_millis(50);

/// A call that stands.
#[derive(Debug)]
pub(super) struct Call {
    /// Its path among the box's sessions.
    path: String,
    /// Which run of the box took it.
    boot: u64,
    /// When it ends if nobody refreshes it.
    expires: Instant,
    /// When it ends because its stream did.
    streamless: Option<Instant>,
}

/// The calls of a box by `Call-ID`.
pub(super) type Calls = BTreeMap<String, Call>;

/// Takes calls until the box is dropped.
pub(super) fn start(inner: &Arc<Inner>, listener: TcpListener) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let inner = inner.clone();
    thread::Builder::new().name("box-sip".into()).stack_size(256 * 1024).spawn(move || {
        let mut looked = Instant::now();
        while !inner.end.load(Ordering::SeqCst) {
            match listener.accept() {
                // A process that is not there, or refuses, has nobody to accept.
                Ok((stream, _)) if inner.lock().down || inner.server().is_none() => drop(stream),
                Ok((stream, _)) => {
                    let inner = inner.clone();
                    let thread = thread::Builder::new().name("box-call".into()).stack_size(256 * 1024);
                    let _ = thread.spawn(move || Stream::new(inner, stream).run());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => wait::acceptable(&listener, ACCEPT),
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
            if looked.elapsed() >= ACCEPT {
                looked = Instant::now();
                inner.end_calls();
            }
        }
    })?;
    Ok(address)
}

impl Inner {
    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends calls whose time is up; what a process before this one had is gone with it.
    fn end_calls(&self) {
        let (boot, now) = (self.lock().boot, Instant::now());
        let mut over = Vec::new();
        self.calls().retain(|_, call| {
            let ends = call.expires.min(call.streamless.unwrap_or(call.expires));
            if ends <= now && call.boot == boot {
                over.push(call.path.clone());
            }
            ends > now && call.boot == boot
        });
        for path in over {
            self.free(&path, true);
        }
    }

    /// Breaks the streams that calls came on, and keeps the calls.
    pub(super) fn drop_streams(&self) {
        self.cut.fetch_add(1, Ordering::SeqCst);
    }

    /// Forgets its calls without a word, as a process that started anew.
    pub(super) fn drop_calls(&self) {
        for (_, call) in std::mem::take(&mut *self.calls()) {
            let gone = self.lock().sessions.remove(&call.path);
            if let Some(Session { offer, .. }) = gone {
                self.recorder.note(What::Freed { server: self.spec.id, offer, expired: true });
            }
        }
    }

    /// Whether the box is told to do such a thing to calls.
    fn told(&self, fault: Fault) -> bool {
        self.has(|f| *f == fault)
    }
}

/// An INVITE that is being worked on.
struct Pending {
    invite: Request,
    offer: String,
    answers: Instant,
}

struct Stream {
    inner: Arc<Inner>,
    socket: TcpStream,
    pending: Option<Pending>,
    /// `Call-ID`s of calls that came on this stream.
    own: Vec<String>,
    boot: u64,
    cut: u64,
}

fn interval(request: &Request) -> Duration {
    let text = request.raw.headers.iter().find_map(|h| match h {
        rsip::Header::Other(name, value) if name.eq_ignore_ascii_case("session-expires") => {
            Some(value.as_str())
        }
        _ => None,
    });
    let seconds = text.and_then(|t| t.split(';').next()?.trim().parse().ok());
    seconds.map_or(INTERVAL, Duration::from_secs)
}

impl Stream {
    fn new(inner: Arc<Inner>, socket: TcpStream) -> Self {
        let boot = inner.lock().boot;
        let cut = inner.cut.load(Ordering::SeqCst);
        Stream { inner, socket, pending: None, own: Vec::new(), boot, cut }
    }

    fn send(&self, response: &Response) {
        let _ = (&self.socket).write_all(&response.encode());
    }

    fn run(mut self) {
        let _ = self.socket.set_nonblocking(false);
        let _ = self.socket.set_nodelay(true);
        let _ = self.socket.set_read_timeout(Some(LOOK));
        let (mut framer, mut framed, mut buf) = (Framer::default(), Vec::new(), [0; 4096]);
        while !self.inner.end.load(Ordering::SeqCst) {
            {
                let state = self.inner.lock();
                if state.down || state.boot != self.boot {
                    return;
                }
            }
            if self.inner.cut.load(Ordering::SeqCst) != self.cut {
                break;
            }
            // What has arrived comes before what is due: a thread that runs late must not accept what was given up long ago.
            match self.socket.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => {
                    if framer.push(&buf[..n], &mut framed).is_err() {
                        break;
                    }
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            for part in framed.drain(..) {
                if let Framed::Message(message) = part
                    && let Message::Request(request) = *message
                {
                    self.request(request);
                }
            }
            if !self.inner.stands_still() {
                self.due();
            }
        }
        // The front closed the stream of its attempt: what was not answered is given up.
        if let Some(pending) = self.pending.take() {
            self.inner.recorder.note(What::Dropped { server: self.inner.spec.id, offer: pending.offer });
        }
        let streamless = Some(Instant::now() + STREAMLESS);
        let mut calls = self.inner.calls();
        for own in &self.own {
            if let Some(call) = calls.get_mut(own) {
                call.streamless = streamless;
            }
        }
    }

    fn request(&mut self, request: Request) {
        let method = request.method();
        if !matches!(method, Method::Invite | Method::Cancel) {
            // Whatever comes for a call shows that somebody has it, wherever it comes.
            if let Some(call) = self.inner.calls().get_mut(&request.ids.call_id) {
                call.streamless = None;
                if !self.own.contains(&request.ids.call_id) {
                    self.own.push(request.ids.call_id.clone());
                }
            }
        }
        match method {
            Method::Invite => self.invite(request),
            Method::Cancel => self.cancel(&request),
            Method::Bye => self.bye(&request),
            Method::Update => self.update(&request),
            Method::Ack => {}
            _ => self.send(&request.response(405, "tb")),
        }
    }

    fn cancel(&mut self, request: &Request) {
        if self.inner.stands_still() || self.inner.told(Fault::Stuck) {
            return;
        }
        self.send(&request.response(200, "tb"));
        // Its acceptance crosses the CANCEL on the way.
        if self.inner.told(Fault::AnswerCancelled) {
            if let Some(pending) = self.pending.take() {
                self.accept(&pending);
            }
        } else if let Some(pending) = self.pending.take() {
            self.answered(&pending, 487);
            self.send(&pending.invite.response(487, "tb"));
        }
    }

    fn bye(&mut self, request: &Request) {
        if self.inner.told(Fault::LoseBye) {
            return;
        }
        let call = self.inner.calls().remove(&request.ids.call_id);
        self.send(&request.response(if call.is_some() { 200 } else { 481 }, "tb"));
        if let Some(call) = call {
            self.inner.free(&call.path, false);
        }
    }

    fn update(&mut self, request: &Request) {
        let path = self.inner.calls().get_mut(&request.ids.call_id).map(|call| {
            call.expires = Instant::now() + interval(request);
            call.path.clone()
        });
        let Some(path) = path else { return self.send(&request.response(481, "tb")) };
        if let Some(rate) = sdp::rate_limit_kb(&request.raw.body) {
            let set = self.inner.lock().sessions.set_rate(&path, rate);
            if let Some(offer) = set {
                self.inner.recorder.note(What::Rate { server: self.inner.spec.id, offer, rate_kb: rate });
            }
        }
        self.send(&request.response(200, "tb"));
    }

    fn answered(&self, pending: &Pending, status: u16) {
        let (server, offer) = (self.inner.spec.id, pending.offer.clone());
        self.inner.recorder.note(What::Answered { server, offer, status });
    }

    fn invite(&mut self, invite: Request) {
        let offer = offer::origin(&invite.raw.body).unwrap_or_default();
        let title = invite.raw.uri.user().unwrap_or_default().to_owned();
        let offered = What::Offered {
            server: self.inner.spec.id,
            offer: offer.clone(),
            front: agent::front_of(&invite).unwrap_or(u32::MAX),
            title,
            rate_kb: sdp::rate_limit_kb(&invite.raw.body).unwrap_or(f64::MAX),
        };
        self.inner.recorder.offered(offered, closed(&self.socket));
        if self.inner.topples() {
            return;
        }
        let inner = &self.inner;
        let warmth = inner.lock().warmth.now().max(0.05);
        let delay = inner.spec.set_up.div_f64(warmth) + inner.delay();
        if !inner.stands_still() && !inner.has(|f| *f == Fault::NeverAnswer) {
            self.send(&invite.response(100, ""));
            if inner.has(|f| matches!(f, Fault::Ring | Fault::AnswerCancelled)) {
                self.send(&invite.response(180, "tb"));
            }
        }
        if inner.told(Fault::HalfClose) {
            let _ = self.socket.shutdown(Shutdown::Write);
        }
        self.pending = Some(Pending { invite, offer, answers: Instant::now() + delay });
    }

    fn due(&mut self) {
        let now = Instant::now();
        let never = [Fault::NeverAnswer, Fault::Stuck, Fault::Ring, Fault::AnswerCancelled, Fault::HalfClose];
        if self.inner.has(|f| never.contains(f)) {
            return;
        }
        let Some(pending) = self.pending.take_if(|p| p.answers <= now) else { return };
        let title = pending.invite.raw.uri.user().unwrap_or_default();
        let refuse = |status: u16| {
            self.answered(&pending, status);
            self.send(&pending.invite.response(status, "tb"));
        };
        if self.inner.has(|f| *f == Fault::Reset) {
            self.answered(&pending, 0);
            let _ = self.socket.shutdown(Shutdown::Both);
            return;
        }
        if self.inner.strikes(|f| if let Fault::Fail { share } = f { Some(*share) } else { None }) {
            return refuse(500);
        }
        if !self.inner.spec.titles.contains_key(title) {
            return refuse(404);
        }
        if self.inner.is_full() {
            return refuse(486);
        }
        self.accept(&pending);
    }

    /// Sets a call up and says so.
    fn accept(&mut self, pending: &Pending) {
        let invite = &pending.invite;
        let rates =
            invite.raw.uri.user().and_then(|t| self.inner.spec.titles.get(t)).cloned().unwrap_or_default();
        let limit = sdp::rate_limit_kb(&invite.raw.body);
        let fitting = rates.iter().copied().take_while(|r| limit.is_none_or(|l| *r <= l * 1.0001)).last();
        let expires = Instant::now() + interval(invite);
        let call = invite.ids.call_id.clone();
        let (path, boot) = {
            let mut state = self.inner.lock();
            let session = Session {
                offer: pending.offer.clone(),
                name: call.clone(),
                version: 1,
                rate_kb: fitting.or(rates.first().copied()).unwrap_or(0.0),
                rates_kb: rates,
                expires: expires + STREAMLESS,
                tag: None,
            };
            let boot = state.boot;
            (state.sessions.add(boot, session), boot)
        };
        self.inner.calls().insert(call.clone(), Call { path, boot, expires, streamless: None });
        self.own.push(call);
        self.inner.recorder.note(What::Began { server: self.inner.spec.id, offer: pending.offer.clone() });
        self.answered(pending, 201);
        let mut ok = invite.response(200, "tb");
        let local = self.socket.local_addr().unwrap_or(self.inner.address);
        ok.raw.headers.push(rsip::Header::Contact(format!("<sip:box@{local}>").into()));
        let seconds = interval(invite).as_secs();
        ok.raw
            .headers
            .push(rsip::Header::Other("Session-Expires".into(), format!("{seconds};refresher=uac")));
        let body = offer::plain("answer", None);
        ok.raw.headers.retain(|h| !matches!(h, rsip::Header::ContentLength(_)));
        ok.raw.headers.push(rsip::Header::ContentType("application/sdp".into()));
        ok.raw.headers.push(rsip::Header::ContentLength(body.len().to_string().into()));
        ok.raw.body = body.into_bytes();
        if self.inner.told(Fault::OtherPort) {
            // On a stream of its own to where the front's `Via` says that it listens (RFC 3261, section 18.2.2).
            let to: Option<SocketAddr> = invite.ids.sent_by.parse().ok();
            if let Some(stream) =
                to.and_then(|to| TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok())
            {
                let _ = (&stream).write_all(&ok.encode());
                // It stays open until the front has read it.
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs(1));
                    drop(stream);
                });
            }
        } else {
            self.send(&ok);
        }
    }
}

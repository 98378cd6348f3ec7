//! A box's SIP side: calls over streams, with the same faults as its HTTP side.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::What;
use beechloft_http::wait;
use beechloft_sip::agent;
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_whep::sdp;

use super::Inner;
use crate::fault::Fault;
use crate::offer;
use crate::sessions::Session;

/// A call that nobody ends is ended by the box after so long; the front's session timer ends it before.
const LONGEST: Duration = Duration::from_secs(600);
/// How often a stream is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How often the listener looks whether it is to end.
const ACCEPT: Duration = Duration::from_millis(50);

/// Takes calls until the box is dropped.
pub(super) fn start(inner: &Arc<Inner>, listener: TcpListener) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let inner = inner.clone();
    thread::Builder::new().name("box-sip".into()).stack_size(256 * 1024).spawn(move || {
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
        }
    })?;
    Ok(address)
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
    /// The call that stands on this stream: its path among the box's sessions, and the answer.
    call: Option<(String, Response)>,
    boot: u64,
}

impl Stream {
    fn new(inner: Arc<Inner>, socket: TcpStream) -> Self {
        let boot = inner.lock().boot;
        Stream { inner, socket, pending: None, call: None, boot }
    }

    fn send(&self, response: &Response) {
        let _ = (&self.socket).write_all(&response.encode());
    }

    fn run(mut self) {
        let _ = self.socket.set_nonblocking(false);
        let _ = self.socket.set_read_timeout(Some(LOOK));
        let (mut framer, mut framed, mut buf) = (Framer::default(), Vec::new(), [0; 4096]);
        while !self.inner.end.load(Ordering::SeqCst) {
            {
                let state = self.inner.lock();
                if state.down || state.boot != self.boot {
                    return;
                }
            }
            if !self.inner.stands_still() {
                self.due();
            }
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
        }
        // The front closed the stream of its attempt: what was not answered is given up.
        if let Some(pending) = self.pending.take() {
            self.inner.recorder.note(What::Dropped { server: self.inner.spec.id, offer: pending.offer });
        }
        // A call that stands outlives its stream for a while; nobody comes back to it here.
        if let Some((path, _)) = self.call.take() {
            thread::sleep(Duration::from_millis(200));
            self.inner.free(&path, false);
        }
    }

    fn request(&mut self, request: Request) {
        match request.method() {
            Method::Invite => self.invite(request),
            Method::Cancel => {
                if self.inner.stands_still() {
                    return;
                }
                self.send(&request.answer(200, "tb"));
                if let Some(pending) = self.pending.take() {
                    self.answered(&pending, 487);
                    self.send(&pending.invite.answer(487, "tb"));
                }
            }
            Method::Bye => {
                self.send(&request.answer(200, "tb"));
                if let Some((path, _)) = self.call.take() {
                    self.inner.free(&path, false);
                }
            }
            Method::Update => {
                if let (Some((path, _)), Some(rate)) = (&self.call, sdp::limit_of(&request.raw.body)) {
                    let set = self.inner.lock().sessions.set_rate(path, rate);
                    if let Some(offer) = set {
                        self.inner.recorder.note(What::Rate {
                            server: self.inner.spec.id,
                            offer,
                            rate_kb: rate,
                        });
                    }
                }
                self.send(&request.answer(200, "tb"));
            }
            Method::Ack => {}
            _ => self.send(&request.answer(405, "tb")),
        }
    }

    fn answered(&self, pending: &Pending, status: u16) {
        let (server, offer) = (self.inner.spec.id, pending.offer.clone());
        self.inner.recorder.note(What::Answered { server, offer, status });
    }

    fn invite(&mut self, invite: Request) {
        let offer = offer::origin(&invite.raw.body).unwrap_or_default();
        let title = invite.raw.uri.user().unwrap_or_default().to_owned();
        self.inner.recorder.note(What::Offered {
            server: self.inner.spec.id,
            offer: offer.clone(),
            front: agent::front_of(&invite).unwrap_or(u32::MAX),
            title,
            rate_kb: sdp::limit_of(&invite.raw.body).unwrap_or(f64::MAX),
        });
        let delay = self.inner.spec.set_up + self.inner.delay();
        if !self.inner.stands_still() && !self.inner.has(|f| *f == Fault::NeverAnswer) {
            self.send(&invite.answer(100, ""));
        }
        self.pending = Some(Pending { invite, offer, answers: Instant::now() + delay });
    }

    fn due(&mut self) {
        let now = Instant::now();
        if self.inner.has(|f| *f == Fault::NeverAnswer) {
            return;
        }
        let Some(pending) = self.pending.take_if(|p| p.answers <= now) else { return };
        let title = pending.invite.raw.uri.user().unwrap_or_default().to_owned();
        let refuse = |status: u16| {
            self.answered(&pending, status);
            self.send(&pending.invite.answer(status, "tb"));
        };
        if self.inner.has(|f| *f == Fault::Reset) {
            self.answered(&pending, 0);
            let _ = self.socket.shutdown(std::net::Shutdown::Both);
            return;
        }
        if self.inner.strikes(|f| if let Fault::Fail { share } = f { Some(*share) } else { None }) {
            return refuse(500);
        }
        let Some(rates) = self.inner.spec.titles.get(&title).cloned() else { return refuse(404) };
        let limit = sdp::limit_of(&pending.invite.raw.body);
        let fitting = rates.iter().copied().take_while(|r| limit.is_none_or(|l| *r <= l * 1.0001)).last();
        let path = {
            let mut state = self.inner.lock();
            if state.sessions.len() >= self.inner.spec.streams {
                drop(state);
                return refuse(486);
            }
            let session = Session {
                offer: pending.offer.clone(),
                name: pending.invite.names.call.clone(),
                version: 1,
                rate_kb: fitting.or(rates.first().copied()).unwrap_or(0.0),
                rates_kb: rates,
                expires: now + LONGEST,
            };
            let boot = state.boot;
            state.sessions.add(boot, session)
        };
        self.inner.recorder.note(What::Began { server: self.inner.spec.id, offer: pending.offer.clone() });
        self.answered(&pending, 201);
        let mut ok = pending.invite.answer(200, "tb");
        let local = self.socket.local_addr().unwrap_or(self.inner.address);
        ok.raw.headers.push(rsip::Header::Contact(format!("<sip:box@{local}>").into()));
        let body = offer::plain("answer", None);
        ok.raw.headers.retain(|h| !matches!(h, rsip::Header::ContentLength(_)));
        ok.raw.headers.push(rsip::Header::ContentType("application/sdp".into()));
        ok.raw.headers.push(rsip::Header::ContentLength(body.len().to_string().into()));
        ok.raw.body = body.into_bytes();
        self.send(&ok);
        self.call = Some((path, ok));
    }
}

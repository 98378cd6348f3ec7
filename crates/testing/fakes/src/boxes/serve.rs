//! What a box answers on its sockets.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::What;
use beechloft_http::server::{Handler, Link, Reply};
use beechloft_http::{Method, Request, Response, StatusCode, header, sse, wait};
use beechloft_session::io::MediaServerEvent;
use beechloft_whep::route::{self, Route};
use beechloft_whep::{EVENTS, FRAG, SDP, is_type, layers, load, media_server, sdp, server_events};
use crossbeam_channel::{Receiver, Sender, bounded};

use super::load::Gone;
use super::{Inner, closed};
use crate::fault::Fault;
use crate::media;
use crate::offer::{self, Credentials};
use crate::sessions::Session;

impl Inner {
    fn load_field(&self) -> String {
        format!("JSON {}", load::encode(&self.lock().reported))
    }

    fn set_up(self: &Arc<Self>, request: &Request, title: &str, publishes: bool, link: &Link<'_>) -> Reply {
        let server = self.spec.id;
        let Some(offer) = sdp::user_fragment(&request.body) else {
            return Reply::Complete(Response::text(StatusCode::BAD_REQUEST, "no offer"));
        };
        let limit = sdp::rate_limit_kb(&request.body);
        let offered = What::Offered {
            server,
            offer: offer.clone(),
            front: media_server::front_slot(request.field(header::VIA)).unwrap_or(u32::MAX),
            title: title.to_owned(),
            rate_kb: limit.unwrap_or(f64::MAX),
        };
        self.recorder.offered(offered, closed(link.socket));
        if self.topples() {
            return Reply::Disconnect;
        }
        let tag = request.field(header::HeaderName::from_static(media_server::TAG));
        match self.serve(title, publishes, limit, &offer, tag, link.socket) {
            Ok(reply) => reply,
            Err(Gone) => {
                self.recorder.note(What::Dropped { server, offer });
                Reply::Disconnect
            }
        }
    }

    fn serve(
        self: &Arc<Self>,
        title: &str,
        publishes: bool,
        limit: Option<f64>,
        offer: &str,
        tag: Option<&str>,
        socket: &TcpStream,
    ) -> Result<Reply, Gone> {
        let server = self.spec.id;
        let answered = |status| What::Answered { server, offer: offer.to_owned(), status };
        let plain = |status: StatusCode, text: &str| {
            self.recorder.note(answered(status.as_u16()));
            Ok(Reply::Complete(Response::text(status, text).with(load::FIELD, self.load_field())))
        };
        self.hold(socket)?;
        if self.has(|f| *f == Fault::Reset) {
            self.recorder.note(answered(0));
            let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
            return Ok(Reply::Disconnect);
        }
        let declines = |f: &Fault| if let Fault::Decline { status } = f { Some(*status) } else { None };
        let declined = self.lock().faults.iter().find_map(|f| declines(&f.0));
        if let Some(status) = declined.and_then(|s| StatusCode::from_u16(s).ok()) {
            return plain(status, "declined");
        }
        if self.strikes(|f| if let Fault::Fail { share } = f { Some(*share) } else { None }) {
            return plain(StatusCode::INTERNAL_SERVER_ERROR, "told to fail");
        }
        let Some(rates) = self.spec.titles.get(title) else {
            return plain(StatusCode::NOT_FOUND, "not held here");
        };
        if self.is_full() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "full");
        }
        let deaf = self
            .lock()
            .faults
            .iter()
            .find_map(|f| if let Fault::Deaf { ms } = f.0 { Some(ms) } else { None });
        match deaf {
            Some(ms) => self.deaf(socket, offer, Instant::now() + Duration::from_millis(ms)),
            None => {
                self.work(socket)?;
                self.pause(socket, Instant::now() + self.delay())?;
            }
        }
        self.hold(socket)?;
        let (path, credentials) = {
            let mut state = self.lock();
            if state.down {
                return Err(Gone);
            }
            let credentials = Credentials::draw(&mut state.dice);
            let fitting = rates.iter().copied().take_while(|r| limit.is_none_or(|l| *r <= l * 1.0001)).last();
            let session = Session {
                offer: offer.to_owned(),
                name: credentials.name.clone(),
                version: 1,
                rates_kb: rates.clone(),
                rate_kb: fitting.or(rates.first().copied()).unwrap_or(0.0),
                expires: Instant::now() + Duration::from_millis(media::EXPIRES_MS + 1000),
                tag: tag.map(str::to_owned),
            };
            let boot = state.boot;
            (state.sessions.add(boot, session), credentials)
        };
        self.recorder.note(What::Began { server, offer: offer.to_owned() });
        if self.strikes(|f| if let Fault::LoseAnswers { share } = f { Some(*share) } else { None }) {
            self.recorder.note(answered(0));
            return Ok(Reply::Disconnect);
        }
        self.recorder.note(answered(201));
        let media = self.media.local_addr().unwrap_or(self.address);
        let text = if self.has(|f| *f == Fault::BadAnswer) {
            "v=0\r\nnothing that makes sense to anybody who reads it at all\r\n".to_owned()
        } else {
            offer::answer(&credentials, publishes, media)
        };
        let response = Response::new(StatusCode::CREATED)
            .body(SDP, text)
            .with(header::LOCATION, &path)
            .with(header::ETAG, "\"1\"")
            .with(header::LINK, format!("<{path}/layer>; rel=\"{}\"", layers::REL))
            .with(header::LINK, "<stun:127.0.0.1:3478>; rel=\"ice-server\"")
            .with(load::FIELD, self.load_field());
        if deaf.is_some() {
            let text = response.body.clone();
            let mut head = response;
            head.body.clear();
            return Ok(Reply::Stream(head, Box::new(move |mut s| drop(s.write_all(&text)))));
        }
        let this = self.clone();
        let tell = move |written: bool| {
            if !written {
                this.free(&path, false);
            }
        };
        Ok(Reply::CompleteThen(response, Box::new(tell)))
    }

    /// Does not listen until then, and goes on as if nothing had been said. What the socket tells meanwhile is noted all the
    /// same: a set-up that the front has given up is out no more, whatever the box does.
    fn deaf(&self, socket: &TcpStream, offer: &str, until: Instant) {
        let mut dropped = false;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            if !dropped && wait::hung_up(socket) {
                dropped = true;
                self.recorder.note(What::Dropped { server: self.spec.id, offer: offer.to_owned() });
            }
        }
    }

    fn patch(&self, path: &str, request: &Request) -> Response {
        if !is_type(request.field(header::CONTENT_TYPE), FRAG) {
            return Response::text(StatusCode::UNSUPPORTED_MEDIA_TYPE, "no fragment");
        }
        let mut state = self.lock();
        let Some(session) = state.sessions.get_mut(path) else {
            return Response::text(StatusCode::NOT_FOUND, "no such session");
        };
        let tag = format!("\"{}\"", session.version);
        match request.field(header::IF_MATCH) {
            Some("*") => {
                // An ICE restart (RFC 9725, section 4.3.3): new credentials and a new version.
                session.version += 1;
                let tag = format!("\"{}\"", session.version);
                Response::new(StatusCode::OK).body(FRAG, request.body.clone()).with(header::ETAG, tag)
            }
            Some(given) if given == tag => Response::new(StatusCode::NO_CONTENT),
            Some(_) => Response::text(StatusCode::PRECONDITION_FAILED, "another version"),
            None => Response::text(StatusCode::PRECONDITION_REQUIRED, "If-Match is needed"),
        }
    }

    fn select(&self, path: &str, request: &Request) -> Response {
        let Some(rung) = layers::selected(&request.body) else {
            return Response::text(StatusCode::BAD_REQUEST, "no layer");
        };
        let set = self.lock().sessions.set_rung(path, usize::from(rung.0));
        match set {
            Some((offer, rate_kb)) => {
                self.recorder.note(What::Rate { server: self.spec.id, offer, rate_kb });
                Response::new(StatusCode::OK)
            }
            None => Response::text(StatusCode::NOT_FOUND, "no such session or layer"),
        }
    }

    fn events(self: &Arc<Self>) -> Reply {
        let response_time = self.lock().events_response_time;
        thread::sleep(response_time);
        let (sender, receiver): (Sender<MediaServerEvent>, Receiver<MediaServerEvent>) = bounded(65_536);
        let boot = {
            let mut state = self.lock();
            state.streams.push(sender);
            state.boot
        };
        // The boot's number alone would be the same for a stand-in of another run on the same port.
        let boot = boot ^ self.spec.seed.rotate_left(17);
        let this = self.clone();
        let write = move |stream: &TcpStream| {
            let mut stream = stream;
            let hello = MediaServerEvent::Connected { boot };
            let mut news = Some(hello);
            loop {
                let bytes = news
                    .as_ref()
                    .and_then(server_events::encode)
                    .map_or(sse::KEEP_ALIVE.to_vec(), |e| e.encode());
                while this.stands_still() {
                    thread::sleep(Duration::from_millis(20));
                }
                if stream.write_all(&bytes).is_err() || wait::hung_up(stream) {
                    return;
                }
                news = match receiver.recv_timeout(Duration::from_micros(server_events::HEARTBEAT.0)) {
                    Ok(news) => Some(news),
                    Err(crossbeam_channel::RecvTimeoutError::Timeout) => None,
                    Err(crossbeam_channel::RecvTimeoutError::Disconnected) => return,
                };
            }
        };
        Reply::Stream(Response::new(StatusCode::OK).with(header::CONTENT_TYPE, EVENTS), Box::new(write))
    }
}

/// A box's door: what comes in on its sockets.
pub(super) struct Door(pub(super) Arc<Inner>);

impl Handler for Door {
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply {
        let this = &self.0;
        let path = request.path();
        if let (Route::Endpoint { title, publishes }, &Method::POST) = (route::parse(path), &request.method) {
            return this.set_up(&request, &title, publishes, link);
        }
        if this.stands_still() && this.hold(link.socket).is_err() {
            return Reply::Disconnect;
        }
        Reply::Complete(match (&request.method, path) {
            (&Method::GET, server_events::PATH) => return this.events(),
            (&Method::GET, server_events::LOAD_PATH) => {
                this.probes.fetch_add(1, Ordering::SeqCst);
                let report = this.lock().reported;
                Response::new(StatusCode::OK).body(load::BODY, load::encode(&report))
            }
            (&Method::GET, media_server::TAGS_PATH) => {
                let tags = serde_json::to_vec(&this.lock().sessions.tags()).unwrap_or_default();
                Response::new(StatusCode::OK).body("application/json", tags)
            }
            (&Method::DELETE, path) => {
                if this.free(path, false) {
                    Response::new(StatusCode::OK)
                } else {
                    Response::text(StatusCode::NOT_FOUND, "no such session")
                }
            }
            (&Method::PATCH, path) => this.patch(path, &request),
            (&Method::POST, path) => match path.strip_suffix("/layer") {
                Some(session) => this.select(session, &request),
                None => Response::text(StatusCode::NOT_FOUND, "nothing here"),
            },
            _ => Response::text(StatusCode::NOT_FOUND, "nothing here"),
        })
    }
}

//! Players and publishers: WHEP and WHIP requests in, one answer each out.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use beechloft_http::message::HeadError;
use beechloft_http::server::{Handler, Link, Reply};
use beechloft_http::{Method, Request, Response, StatusCode, header, sse, wait};
use beechloft_quotas::{Key, No};
use beechloft_session::api::{Micros, SessionId};
use beechloft_session::io::{Answer, Input, Protocol, Secret, SessionRequest};
use beechloft_whep::answer::{self, SessionCall};
use beechloft_whep::events::{self, PlayerEvent};
use beechloft_whep::route::{self, Place};
use beechloft_whep::sdp::Offer;
use beechloft_whep::{EVENTS, boxes};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use rand_chacha::ChaCha20Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tracing::{Level, info, span};

use crate::Shared;
use crate::attempt;
use crate::limits;
use crate::told::{SetUp, Told};

/// How far past the viewer's patience a thread waits for the core. The core answers long before.
const PAST: Duration = Duration::from_secs(5);

/// A player's stream is sent a comment this often.
const BEAT: Duration = Duration::from_secs(5);

/// What became of a viewer's request.
enum Served {
    /// The core's answer.
    Answer(Answer),
    /// A limit of the fleet has no room.
    Limited(No),
    /// The viewer has left.
    Left,
}

/// Who a viewer is, by the token that it shows: the same at each front, and not to be read back out of logs.
fn viewer(token: &str) -> Key {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    Key::of(&format!("{:016x}", token.bytes().fold(0xcbf2_9ce4_8422_2325, hash)))
}

/// A refusal that names the limit (RFC 9457).
fn limited(no: &No) -> Response {
    let problem = serde_json::json!({
        "type": "about:blank", "title": "a limit is reached", "status": 503,
        "limit": no.limit.to_string(), "key": no.key.as_str(), "retry_after_ms": no.again.as_millis() as u64,
    });
    answer::response(&Answer::Rejected(Some(limits::advice(no))))
        .body("application/problem+json", format!("{problem}\n"))
}

/// Answers the front's clients.
pub struct Player {
    shared: Shared,
    names: Mutex<ChaCha20Rng>,
}

impl Player {
    /// Session names follow from the seed and the time of the start.
    pub fn new(shared: Shared, seed: u64) -> Self {
        let seed = shared.of_this_start(seed) ^ 0x6e61_6d65;
        Player { shared, names: Mutex::new(ChaCha20Rng::seed_from_u64(seed)) }
    }

    fn name(&self) -> (SessionId, Secret) {
        let mut names = self.names.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        (SessionId(names.next_u64()), Secret(names.next_u64()))
    }

    fn endpoint(&self, request: &Request, title: String, publishes: bool, link: &Link<'_>) -> Reply {
        if let Some(response) = answer::endpoint_call(request) {
            return Reply::Whole(response);
        }
        let offer = match Offer::parse(&request.body, publishes) {
            Ok(offer) => offer,
            Err(e) => {
                let status = StatusCode::from_u16(e.status()).unwrap_or(StatusCode::BAD_REQUEST);
                return Reply::Whole(Response::text(status, e));
            }
        };
        let token = request.field(header::AUTHORIZATION);
        let (session, secret) = self.name();
        let span = span!(target: "http", Level::INFO, "session", id = format_args!("{:016x}", session.0));
        let _entered = span.enter();
        let began = Instant::now();
        let ask = SessionRequest {
            request: self.shared.handle.request(),
            session,
            secret,
            title: title.clone(),
            protocol: if publishes { Protocol::Whip } else { Protocol::Whep },
            max_rate_kb: offer.max_rate_kb,
            idempotency_key: Some(offer.key(&title, token)),
        };
        let told = self.shared.handle.ask(ask, token.map(viewer));
        let answer = self.serve(session, &told, link, |set_up| {
            let number = self.shared.settings.settings.slot;
            let offer = offer.limited(set_up.rate_kb);
            boxes::tagged(boxes::set_up(&title, publishes, offer, token, number), set_up.tag.as_deref())
        });
        let answer = match answer {
            Served::Answer(answer) => answer,
            Served::Limited(no) => return Reply::Whole(limited(&no)),
            Served::Left => return Reply::HangUp,
        };
        let response = answer::response(&answer);
        info!(
            target: "http", peer = %link.peer, title, status = response.status.as_u16(),
            took_us = began.elapsed().as_micros() as u64, "answered"
        );
        let Answer::Playing { session: plays, .. } = answer else { return Reply::Whole(response) };
        let handle = self.shared.handle.clone();
        let tell = move |written: bool| {
            // The answer to an offer sent again belongs to the first request as well.
            if !written && plays == session {
                handle.input(Input::AnswerUndelivered(session));
            }
        };
        Reply::Told(response, Box::new(tell))
    }

    /// Makes the attempts that the core asks for until it has an answer.
    fn serve(
        &self,
        session: SessionId,
        told: &Receiver<Told>,
        link: &Link<'_>,
        request: impl Fn(&SetUp) -> Request,
    ) -> Served {
        let patience =
            self.shared.settings.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(Micros(0));
        let until = Instant::now() + Duration::from_micros(patience.0) + PAST;
        loop {
            match told.recv_deadline(until) {
                Ok(Told::Answer(answer)) => return Served::Answer(answer),
                Ok(Told::Limited(no)) => return Served::Limited(no),
                Ok(Told::SetUp(set_up)) => {
                    let sent = self.shared.clock.now();
                    let handle = &self.shared.handle;
                    let tell = || handle.input(Input::ClientDisconnected(session));
                    let ended = attempt::run(&self.shared, &set_up, &request(&set_up), link, tell);
                    let (attempt, server) = (set_up.attempt, set_up.server);
                    handle.input(Input::AttemptEnded {
                        attempt,
                        server,
                        result: ended.verdict,
                        sent_at: sent,
                        load: ended.load,
                    });
                    if ended.hung_up {
                        return Served::Left;
                    }
                }
                Err(_) => return Served::Answer(Answer::Failed),
            }
        }
    }

    fn session(&self, request: &Request, session: SessionId, secret: Secret) -> Response {
        let span = span!(target: "http", Level::INFO, "session", id = format_args!("{:016x}", session.0));
        let _entered = span.enter();
        match answer::session_call(request) {
            SessionCall::Answer(response) => response,
            SessionCall::Delete => {
                let answer = self.shared.handle.call(|request| Input::Delete { request, session, secret });
                answer::response(&answer)
            }
            SessionCall::Patch => {
                match self.shared.handle.call(|request| Input::Locate { request, session, secret }) {
                    Answer::Located { server, resource } => {
                        self.patch(&boxes::patch(&resource, request), server, &resource)
                    }
                    other => answer::response(&other),
                }
            }
        }
    }

    fn patch(&self, request: &Request, server: beechloft_session::api::ServerId, resource: &str) -> Response {
        let Some(address) = self.shared.handle.address(server) else {
            return Response::text(StatusCode::NOT_FOUND, "no such session");
        };
        let until = Instant::now() + self.shared.settings.call_time;
        match self.shared.pool.call(address, request, until) {
            Ok(response) => answer::passed_on(&response),
            Err(error) => {
                info!(target: "http", server = server.0, resource, %error, "change not passed on");
                Response::text(StatusCode::BAD_GATEWAY, "the streaming server did not take the change")
            }
        }
    }

    /// A player asks for its session's events, or reads them.
    fn events(&self, request: &Request, session: SessionId, secret: Secret, names: Option<&str>) -> Reply {
        let find = || self.shared.handle.call(|request| Input::Locate { request, session, secret });
        let here = |response| {
            if matches!(find(), Answer::Located { .. }) {
                response
            } else {
                answer::response(&Answer::UnknownSession)
            }
        };
        match (names, &request.method) {
            (None, &Method::POST) => {
                Reply::Whole(here(events::subscribe(request, &route::events_path(session, secret))))
            }
            (Some(names), &Method::GET) => {
                let Some(wanted) = events::wanted(names).filter(|_| matches!(find(), Answer::Located { .. }))
                else {
                    return Reply::Whole(answer::response(&Answer::UnknownSession));
                };
                let told = self.shared.handle.follow(session, secret);
                let head =
                    answer::for_browsers(Response::new(StatusCode::OK).with(header::CONTENT_TYPE, EVENTS));
                Reply::Open(head, Box::new(move |socket| follow(socket, &told, &wanted)))
            }
            (Some(_), &Method::DELETE) => Reply::Whole(Response::new(StatusCode::OK)),
            _ => Reply::Whole(
                Response::text(StatusCode::METHOD_NOT_ALLOWED, "POST a list of events, GET their stream")
                    .with(header::ALLOW, if names.is_some() { "DELETE, GET" } else { "POST" }),
            ),
        }
    }

    fn ready(&self) -> Response {
        let s = self.shared.handle.status();
        let body = serde_json::json!({
            "listed": s.listed, "boxes": s.boxes, "titles": s.titles, "playing": s.playing, "releasing": s.releasing,
        });
        let status = if s.listed { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::new(status).body("application/json", format!("{body}\n"))
    }
}

/// Writes a session's events until it is over or the player has gone.
fn follow(mut socket: &TcpStream, told: &Receiver<PlayerEvent>, wanted: &[&str]) {
    loop {
        let bytes = match told.recv_timeout(BEAT) {
            Ok(event) if wanted.contains(&event.name()) => event.encode(),
            Ok(_) => continue,
            Err(RecvTimeoutError::Timeout) => sse::BEAT.to_vec(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if socket.write_all(&bytes).is_err() || wait::hung_up(socket) {
            return;
        }
    }
}

impl Handler for Player {
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply {
        let reply = match route::place(request.path()) {
            Place::Endpoint { title, publishes } => self.endpoint(&request, title, publishes, link),
            Place::Session(session, secret) => Reply::Whole(self.session(&request, session, secret)),
            Place::Events(session, secret, names) => self.events(&request, session, secret, names.as_deref()),
            Place::Ready => Reply::Whole(self.ready()),
            Place::Nowhere => Reply::Whole(Response::text(StatusCode::NOT_FOUND, "nothing here")),
        };
        match reply {
            Reply::Whole(response) => Reply::Whole(answer::for_browsers(response)),
            Reply::Told(response, tell) => Reply::Told(answer::for_browsers(response), tell),
            other => other,
        }
    }

    fn refuse(&self) -> Response {
        let advice = self.shared.settings.settings.capabilities.max_retry_after;
        answer::for_browsers(answer::response(&Answer::Rejected(Some(advice.unwrap_or(Micros(1_000_000))))))
    }

    fn bad(&self, error: &HeadError) -> Response {
        answer::for_browsers(Response::text(error.status(), error))
    }
}

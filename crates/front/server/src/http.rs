//! The HTTP side of the front, which answers WHEP and WHIP requests of clients.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use beechloft_http::message::HeadError;
use beechloft_http::server::{Handler, Link, Reply};
use beechloft_http::{Method, Request, Response, StatusCode, header, sse, wait};
use beechloft_quotas::{Key, Refusal};
use beechloft_session::api::{Micros, ServerId, SessionId};
use beechloft_session::io::{Answer, Input, Protocol, Secret, SessionRequest};
use beechloft_whep::answer::{self, SessionCall};
use beechloft_whep::events::{self, PlayerEvent};
use beechloft_whep::route::{self, Route};
use beechloft_whep::sdp::Offer;
use beechloft_whep::{EVENTS, media_server};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use rand_chacha::ChaCha20Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use tracing::{Level, info, span};

use crate::Shared;
use crate::admission;
use crate::attempt;
use crate::messages::{EngineReply, SetUp};

/// Time beyond the longest deadline that a thread waits for the engine, which normally answers long before.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);

/// Interval at which a comment is sent on an event stream without events.
const HEARTBEAT: Duration = Duration::from_secs(5);

/// Time after which a rejected client is to retry if the settings do not contain one.
const DEFAULT_RETRY_AFTER: Micros = Micros(1_000_000);
/// Makes session ids differ from other random numbers that are derived from the same seed.
const SEED_SALT: u64 = 0x6e61_6d65;

/// The end of a client's request.
enum Served {
    /// The session controller answered.
    Answer(Answer),
    /// A quota of the fleet is exhausted.
    QuotaExceeded(Refusal),
    /// The client disconnected.
    ClientDisconnected,
}

/// Derives a client's key from its token by FNV-1a. The key is the same at each front, and logs do not reveal the token.
fn client_key(token: &str) -> Key {
    let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    Key::of(&format!("{:016x}", token.bytes().fold(0xcbf2_9ce4_8422_2325, hash)))
}

/// Returns a rejection with details of the exhausted quota (RFC 9457).
fn quota_exceeded(refusal: &Refusal) -> Response {
    let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    let problem = serde_json::json!({
        "type": "about:blank", "title": "a limit is reached", "status": 503,
        "limit": refusal.limit.to_string(), "key": refusal.key.as_str(), "retry_after_ms": retry_after_ms,
    });
    answer::response(&Answer::Rejected(Some(admission::retry_after(refusal))))
        .body("application/problem+json", format!("{problem}\n"))
}

/// Handles the HTTP requests of clients.
pub struct HttpHandler {
    shared: Shared,
    ids: Mutex<ChaCha20Rng>,
}

impl HttpHandler {
    /// Creates a handler whose session ids are derived from the seed and the time of the start.
    pub fn new(shared: Shared, seed: u64) -> Self {
        let seed = shared.seed_for_this_start(seed) ^ SEED_SALT;
        HttpHandler { shared, ids: Mutex::new(ChaCha20Rng::seed_from_u64(seed)) }
    }

    fn new_session(&self) -> (SessionId, Secret) {
        let mut ids = self.ids.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        (SessionId(ids.next_u64()), Secret(ids.next_u64()))
    }

    fn endpoint(&self, request: &Request, title: String, publishes: bool, link: &Link<'_>) -> Reply {
        if let Some(response) = answer::endpoint_call(request) {
            return Reply::Complete(response);
        }
        let offer = match Offer::parse(&request.body, publishes) {
            Ok(offer) => offer,
            Err(error) => {
                let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
                return Reply::Complete(Response::text(status, error));
            }
        };
        let token = request.field(header::AUTHORIZATION);
        let (session, secret) = self.new_session();
        let span = span!(target: "http", Level::INFO, "session", id = format_args!("{:016x}", session.0));
        let _entered = span.enter();
        let received_at = Instant::now();
        let session_request = SessionRequest {
            request: self.shared.handle.next_request(),
            session,
            secret,
            title: title.clone(),
            protocol: if publishes { Protocol::Whip } else { Protocol::Whep },
            max_rate_kb: offer.max_rate_kb,
            idempotency_key: Some(offer.idempotency_key(&title, token)),
        };
        let replies = self.shared.handle.request_session(session_request, token.map(client_key));
        let served = self.serve(session, &replies, link, |set_up| {
            let slot = self.shared.settings.settings.slot;
            let offer = offer.with_rate_limit(set_up.rate_kb);
            media_server::tagged(
                media_server::set_up(&title, publishes, offer, token, slot),
                set_up.tag.as_deref(),
            )
        });
        let answer = match served {
            Served::Answer(answer) => answer,
            Served::QuotaExceeded(refusal) => return Reply::Complete(quota_exceeded(&refusal)),
            Served::ClientDisconnected => return Reply::Disconnect,
        };
        let response = answer::response(&answer);
        let took_us = u64::try_from(received_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        info!(
            target: "http", peer = %link.peer, title, status = response.status.as_u16(), took_us, "answered"
        );
        let Answer::Playing { session: playing, .. } = answer else { return Reply::Complete(response) };
        let handle = self.shared.handle.clone();
        let on_written = move |written: bool| {
            // The answer to a repeated offer names the session of the first request, which is not ended.
            if !written && playing == session {
                handle.input(Input::AnswerUndelivered(session));
            }
        };
        Reply::CompleteThen(response, Box::new(on_written))
    }

    /// Makes the attempts that the session controller requests, until it answers or the client disconnects.
    fn serve(
        &self,
        session: SessionId,
        replies: &Receiver<EngineReply>,
        link: &Link<'_>,
        request: impl Fn(&SetUp) -> Request,
    ) -> Served {
        let classes = &self.shared.settings.settings.classes;
        let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or(Micros(0));
        let until = Instant::now() + Duration::from_micros(longest_deadline.0) + ANSWER_MARGIN;
        loop {
            match replies.recv_deadline(until) {
                Ok(EngineReply::Answer(answer)) => return Served::Answer(answer),
                Ok(EngineReply::QuotaExceeded(refusal)) => return Served::QuotaExceeded(refusal),
                Ok(EngineReply::SetUp(set_up)) => {
                    let sent_at = self.shared.clock.now();
                    let handle = &self.shared.handle;
                    let on_disconnect = || handle.input(Input::ClientDisconnected(session));
                    let end = attempt::run(&self.shared, &set_up, &request(&set_up), link, on_disconnect);
                    handle.input(Input::AttemptEnded {
                        attempt: set_up.attempt,
                        server: set_up.server,
                        result: end.result,
                        sent_at,
                        load: end.load,
                    });
                    if end.client_disconnected {
                        return Served::ClientDisconnected;
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
                let answer = self.shared.handle.call(|id| Input::Delete { request: id, session, secret });
                answer::response(&answer)
            }
            SessionCall::Patch => {
                match self.shared.handle.call(|id| Input::Locate { request: id, session, secret }) {
                    Answer::Located { server, resource } => {
                        self.patch(&media_server::patch(&resource, request), server, &resource)
                    }
                    other => answer::response(&other),
                }
            }
        }
    }

    fn patch(&self, request: &Request, server: ServerId, resource: &str) -> Response {
        let Some(address) = self.shared.handle.address(server) else {
            return Response::text(StatusCode::NOT_FOUND, "no such session");
        };
        let until = Instant::now() + self.shared.settings.call_timeout;
        match self.shared.pool.call(address, request, until) {
            Ok(response) => answer::forwarded(&response),
            Err(error) => {
                info!(target: "http", server = server.0, resource, %error, "failed to forward a PATCH request");
                Response::text(StatusCode::BAD_GATEWAY, "the streaming server did not take the change")
            }
        }
    }

    /// Handles requests for a session's events: subscribing to them, reading them and unsubscribing.
    fn events(&self, request: &Request, session: SessionId, secret: Secret, names: Option<&str>) -> Reply {
        let locate = || self.shared.handle.call(|id| Input::Locate { request: id, session, secret });
        let if_playing = |response| {
            if matches!(locate(), Answer::Located { .. }) {
                response
            } else {
                answer::response(&Answer::UnknownSession)
            }
        };
        match (names, &request.method) {
            (None, &Method::POST) => {
                Reply::Complete(if_playing(events::subscribe(request, &route::events_path(session, secret))))
            }
            (Some(names), &Method::GET) => {
                let Some(wanted) =
                    events::parse_names(names).filter(|_| matches!(locate(), Answer::Located { .. }))
                else {
                    return Reply::Complete(answer::response(&Answer::UnknownSession));
                };
                let session_events = self.shared.handle.follow(session, secret);
                let head = answer::with_cors_headers(
                    Response::new(StatusCode::OK).with(header::CONTENT_TYPE, EVENTS),
                );
                Reply::Stream(head, Box::new(move |socket| follow(socket, &session_events, &wanted)))
            }
            (Some(_), &Method::DELETE) => Reply::Complete(Response::new(StatusCode::OK)),
            _ => Reply::Complete(
                Response::text(StatusCode::METHOD_NOT_ALLOWED, "POST a list of events, GET their stream")
                    .with(header::ALLOW, if names.is_some() { "DELETE, GET" } else { "POST" }),
            ),
        }
    }

    fn ready(&self) -> Response {
        let status = self.shared.handle.status();
        let body = serde_json::json!({
            "listed": status.has_endpoint_list, "boxes": status.media_servers, "titles": status.titles,
            "playing": status.playing, "releasing": status.releasing,
        });
        let code = if status.has_endpoint_list { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::new(code).body("application/json", format!("{body}\n"))
    }
}

/// Writes a session's events until the session ends or the player disconnects.
fn follow(mut socket: &TcpStream, session_events: &Receiver<PlayerEvent>, wanted: &[&str]) {
    loop {
        let bytes = match session_events.recv_timeout(HEARTBEAT) {
            Ok(event) if wanted.contains(&event.name()) => event.encode(),
            Ok(_) => continue,
            Err(RecvTimeoutError::Timeout) => sse::KEEP_ALIVE.to_vec(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if socket.write_all(&bytes).is_err() || wait::hung_up(socket) {
            return;
        }
    }
}

impl Handler for HttpHandler {
    fn handle(&self, request: Request, link: &Link<'_>) -> Reply {
        let reply = match route::parse(request.path()) {
            Route::Endpoint { title, publishes } => self.endpoint(&request, title, publishes, link),
            Route::Session(session, secret) => Reply::Complete(self.session(&request, session, secret)),
            Route::Events(session, secret, names) => self.events(&request, session, secret, names.as_deref()),
            Route::Ready => Reply::Complete(self.ready()),
            Route::NotFound => Reply::Complete(Response::text(StatusCode::NOT_FOUND, "nothing here")),
        };
        match reply {
            Reply::Complete(response) => Reply::Complete(answer::with_cors_headers(response)),
            Reply::CompleteThen(response, on_written) => {
                Reply::CompleteThen(answer::with_cors_headers(response), on_written)
            }
            other => other,
        }
    }

    fn connection_refusal(&self) -> Response {
        let retry_after =
            self.shared.settings.settings.capabilities.max_retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        answer::with_cors_headers(answer::response(&Answer::Rejected(Some(retry_after))))
    }

    fn invalid_request(&self, error: &HeadError) -> Response {
        answer::with_cors_headers(Response::text(error.status(), error))
    }
}

//! A single attempt, run on the thread of its client's connection.
//!
//! The offer is sent to the media server, and the sockets of the media server and of the client are polled together. An
//! attempt ends in one of four ways:
//!
//! - The media server answers, and its answer is the result.
//! - The deadline passes or the client disconnects. The sending side of the connection is closed, which tells the media
//!   server to abandon the set-up. Its answer or its own close is awaited for [`GRACE`], and a late answer is undone.
//! - The connection breaks.
//! - The connection can't be established.
//!
//! The result is reported only when the attempt can have no further effect, so that a session never has two attempts in
//! flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Conn, Exchange};
use beechloft_http::server::Link;
use beechloft_http::{Request, wait};
use beechloft_session::api::{LoadReport, Outcome};
use beechloft_session::io::{AttemptResult, Input, MediaServerEvent};
use beechloft_session::session::GRACE;
use beechloft_whep::media_server;
use tracing::debug;

use crate::Shared;
use crate::messages::SetUp;

/// The end of an attempt.
pub struct AttemptEnd {
    /// Result to be reported to the session controller.
    pub result: AttemptResult,
    /// The load that the media server reported.
    pub load: LoadReport,
    /// Whether the client disconnected during the attempt. The session controller was already notified.
    pub client_disconnected: bool,
}

fn ended(outcome: Outcome) -> AttemptEnd {
    let result = AttemptResult::Ended(outcome);
    AttemptEnd { result, load: LoadReport::default(), client_disconnected: false }
}

/// Runs an attempt until it ends. Calls `on_disconnect` at most once, as soon as the client disconnects.
pub fn run(
    shared: &Shared,
    set_up: &SetUp,
    request: &Request,
    link: &Link<'_>,
    on_disconnect: impl FnOnce(),
) -> AttemptEnd {
    let deadline = shared.clock.instant(set_up.deadline);
    let Some(address) = set_up.address else { return ended(Outcome::NotSent) };
    let connection = match connect(shared, address, deadline) {
        Ok(connection) => connection,
        Err(error) => return ended(outcome_of(shared, set_up, &error)),
    };
    // The client may have left while its request waited to be read, or during the connect.
    if wait::hung_up(link.socket) {
        on_disconnect();
        return AttemptEnd { client_disconnected: true, ..ended(Outcome::NotSent) };
    }
    let mut exchange = match connection.send(request, deadline) {
        Ok(exchange) => exchange,
        Err(error) => return ended(outcome_of(shared, set_up, &error)),
    };
    let mut client_socket = Some(link.socket);
    let mut on_disconnect = Some(on_disconnect);
    while Instant::now() < deadline {
        let sockets = [Some(exchange.socket()), client_socket];
        let Ok([answered, client_readable]) = wait::readable(sockets, deadline) else { break };
        if answered {
            match exchange.advance() {
                Ok(Some(response)) => {
                    let (result, load) = media_server::attempt_result(&response);
                    shared.pool.put(exchange, &response);
                    return AttemptEnd { result, load, client_disconnected: false };
                }
                Ok(None) => {}
                Err(error) => return ended(outcome_of(shared, set_up, &error)),
            }
        }
        if client_readable {
            if wait::hung_up(link.socket) {
                if let Some(on_disconnect) = on_disconnect.take() {
                    on_disconnect();
                }
                break;
            }
            // The client sent further data, which is read after this request was answered.
            client_socket = None;
        }
    }
    AttemptEnd { client_disconnected: on_disconnect.is_none(), ..abandon(exchange) }
}

fn connect(shared: &Shared, address: SocketAddr, deadline: Instant) -> Result<Conn, CallError> {
    let connect_until = deadline.min(Instant::now() + shared.settings.connect_timeout);
    shared.pool.get(address, connect_until)
}

/// Returns the outcome of a call that failed. A refused connection is also reported as an event of the media server.
fn outcome_of(shared: &Shared, set_up: &SetUp, error: &CallError) -> Outcome {
    debug!(target: "boxes", server = set_up.server.0, %error, "set-up failed");
    match error {
        CallError::Refused => {
            shared.handle.input(Input::MediaServer(set_up.server, MediaServerEvent::ConnectionRefused));
            Outcome::ConnectFailed
        }
        CallError::Connect(_) => Outcome::ConnectFailed,
        CallError::TimedOut => Outcome::Timeout,
        CallError::Broken(_) => Outcome::Reset,
        CallError::InvalidResponse(_) => Outcome::Error,
    }
}

/// Cancels an attempt and waits for its end. A session that was still set up is reported as unusable, to be released.
fn abandon(mut exchange: Exchange) -> AttemptEnd {
    exchange.abandon();
    let until = Instant::now() + Duration::from_micros(GRACE.0);
    let result = match exchange.wait(until).map(|response| media_server::attempt_result(&response).0) {
        Ok(AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. }) => {
            AttemptResult::Unusable { resource, outcome: Outcome::Timeout }
        }
        Ok(_) | Err(_) => AttemptResult::Ended(Outcome::Timeout),
    };
    AttemptEnd { result, load: LoadReport::default(), client_disconnected: false }
}

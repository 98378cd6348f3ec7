//! One attempt, on the thread of its client: the offer goes to the media server, and both are watched until one acts.
//!
//! An attempt ends in one of four ways. The media server answers: its answer is the result. The time is up, or the
//! client disconnects: the sending side of the connection is closed, which tells the media server to give the set-up
//! up, and for [`GRACE`] its answer or its own close is waited for; an answer that still comes is undone. The
//! connection breaks. No connection comes about. In each case the result is reported only when nothing more can come
//! of the attempt here, so that a session never has two attempts in flight.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Exchange};
use beechloft_http::server::Link;
use beechloft_http::{Request, wait};
use beechloft_session::api::{LoadReport, Outcome};
use beechloft_session::io::{AttemptResult, Input, MediaServerEvent};
use beechloft_session::session::GRACE;
use beechloft_whep::media_server;
use tracing::debug;

use crate::Shared;
use crate::messages::SetUp;

/// How an attempt went.
pub struct AttemptEnd {
    /// For the session controller.
    pub result: AttemptResult,
    /// What the media server reported of its load.
    pub load: LoadReport,
    /// The client disconnected meanwhile, and the session controller has been told.
    pub client_disconnected: bool,
}

fn ended(outcome: Outcome) -> AttemptEnd {
    let result = AttemptResult::Ended(outcome);
    AttemptEnd { result, load: LoadReport::default(), client_disconnected: false }
}

/// Makes an attempt. `on_disconnect` is called at most once, as soon as the client is seen to have left.
pub fn run(
    shared: &Shared,
    set_up: &SetUp,
    request: &Request,
    link: &Link<'_>,
    on_disconnect: impl FnOnce(),
) -> AttemptEnd {
    let deadline = shared.clock.instant(set_up.deadline);
    let Some(address) = set_up.address else { return ended(Outcome::NotSent) };
    let mut exchange = match send(shared, address, request, deadline) {
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
            // The client has sent something else meanwhile; it is read after this answer.
            client_socket = None;
        }
    }
    AttemptEnd { client_disconnected: on_disconnect.is_none(), ..abandon(exchange) }
}

fn send(
    shared: &Shared,
    address: SocketAddr,
    request: &Request,
    deadline: Instant,
) -> Result<Exchange, CallError> {
    let connect_until = deadline.min(Instant::now() + shared.settings.connect_time);
    shared.pool.get(address, connect_until)?.send(request, deadline)
}

/// What a call that failed counts as; a process that is not there ends what played there.
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

/// Ends an attempt that is given up, and undoes what it may still have set up.
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

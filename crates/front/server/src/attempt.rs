//! One attempt, on the thread of its viewer: the offer goes to the box, and both are watched until one has spoken.
//!
//! An attempt ends in one of four ways. The box answers: the verdict is its answer. The time is up, or the viewer
//! hangs up: the sending side of the connection is closed, which tells the box to give the set-up up, and for
//! [`GRACE`] its answer or its own close is waited for; an answer that still comes is undone. The connection breaks.
//! No connection comes about. In each case the verdict is told only when nothing more can come of the attempt here,
//! so that the core never has two of a session out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Exchange};
use beechloft_http::server::Link;
use beechloft_http::{Request, wait};
use beechloft_session::api::{LoadReport, Outcome};
use beechloft_session::io::{AttemptResult, Input, MediaServerEvent};
use beechloft_session::session::GRACE;
use beechloft_whep::boxes;
use tracing::debug;

use crate::Shared;
use crate::told::SetUp;

/// How an attempt went.
pub struct Ended {
    /// For the core.
    pub verdict: AttemptResult,
    /// What the box said of its load.
    pub load: LoadReport,
    /// The viewer hung up meanwhile, and the core has been told so.
    pub hung_up: bool,
}

fn without(outcome: Outcome) -> Ended {
    Ended { verdict: AttemptResult::Ended(outcome), load: LoadReport::default(), hung_up: false }
}

/// Makes an attempt. `tell_hung_up` is called at most once, as soon as the viewer is seen to have left.
pub fn run(
    shared: &Shared,
    set_up: &SetUp,
    request: &Request,
    link: &Link<'_>,
    tell_hung_up: impl FnOnce(),
) -> Ended {
    let until = shared.clock.instant(set_up.until);
    let Some(address) = set_up.address else { return without(Outcome::NotSent) };
    let mut exchange = match send(shared, address, request, until) {
        Ok(exchange) => exchange,
        Err(e) => return without(failed(shared, set_up, &e)),
    };
    let mut watched = Some(link.socket);
    let mut tell = Some(tell_hung_up);
    while Instant::now() < until {
        let Ok([answered, viewer]) = wait::readable([Some(exchange.socket()), watched], until) else { break };
        if answered {
            match exchange.advance() {
                Ok(Some(response)) => {
                    let (verdict, load) = boxes::verdict(&response);
                    shared.pool.put(exchange, &response);
                    return Ended { verdict, load, hung_up: false };
                }
                Ok(None) => {}
                Err(e) => return without(failed(shared, set_up, &e)),
            }
        }
        if viewer {
            if wait::hung_up(link.socket) {
                if let Some(tell) = tell.take() {
                    tell();
                }
                break;
            }
            // The viewer has sent something else meanwhile; it is read after this answer.
            watched = None;
        }
    }
    let mut ended = drop_it(exchange);
    ended.hung_up = tell.is_none();
    ended
}

fn send(
    shared: &Shared,
    address: SocketAddr,
    request: &Request,
    until: Instant,
) -> Result<Exchange, CallError> {
    let connect_until = until.min(Instant::now() + shared.settings.connect_time);
    shared.pool.get(address, connect_until)?.send(request, until)
}

/// What a call that failed counts as; a process that is not there ends what played there.
fn failed(shared: &Shared, set_up: &SetUp, error: &CallError) -> Outcome {
    debug!(target: "boxes", server = set_up.server.0, %error, "set-up failed");
    match error {
        CallError::Refused => {
            shared.handle.input(Input::MediaServer(set_up.server, MediaServerEvent::ConnectionRefused));
            Outcome::ConnectFailed
        }
        CallError::Connect(_) => Outcome::ConnectFailed,
        CallError::TimedOut => Outcome::Timeout,
        CallError::Broken(_) => Outcome::Reset,
        CallError::Bad(_) => Outcome::Error,
    }
}

/// Ends an attempt that is given up, and undoes what it may still have brought.
fn drop_it(mut exchange: Exchange) -> Ended {
    exchange.give_up();
    let until = Instant::now() + Duration::from_micros(GRACE.0);
    let verdict = match exchange.wait(until) {
        Ok(response) => match boxes::verdict(&response).0 {
            AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. } => {
                AttemptResult::Unusable { resource, outcome: Outcome::Timeout }
            }
            _ => AttemptResult::Ended(Outcome::Timeout),
        },
        Err(_) => AttemptResult::Ended(Outcome::Timeout),
    };
    Ended { verdict, load: LoadReport::default(), hung_up: false }
}

//! A call by which a fleet is told what to do wrong, for trying things by hand and for tools.
//!
//! `POST /boxes/N/fault` with a fault as JSON, `DELETE /boxes/N/fault` to end all of them, `POST /boxes/N/state` with
//! `{"state":"draining"}`, and `POST /list` with one of `{"lag_ms":N}`, `{"reach":false}`, `{"flap":true}`.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use beechloft_http::server::{Handler, Link, Reply, Server, Sizes};
use beechloft_http::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use crate::fault::Fault;
use crate::fleet::Fleet;

/// The control call of a fleet, until it is dropped.
pub struct Control(Server);

impl Control {
    /// Serves it on a free port.
    pub fn start(fleet: Arc<Fleet>) -> io::Result<Control> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        Ok(Control(Server::start(listener, Sizes::default(), Arc::new(Door(fleet)))?))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateBody {
    state: String,
}

#[derive(Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
struct ListBody {
    lag_ms: Option<u64>,
    reach: Option<bool>,
    flap: bool,
}

struct Door(Arc<Fleet>);

/// Why a call is not carried out.
type Refusal = (StatusCode, String);

fn read<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Refusal> {
    serde_json::from_slice(&request.body).map_err(|e| (StatusCode::BAD_REQUEST, e.to_string()))
}

impl Door {
    fn carry_out(&self, request: &Request) -> Result<(), Refusal> {
        let fleet = &self.0;
        let parts: Vec<&str> = request.path().split('/').skip(1).collect();
        if let (&["list"], &Method::POST) = (parts.as_slice(), &request.method) {
            let body: ListBody = read(request)?;
            if let Some(ms) = body.lag_ms {
                fleet.list.lag(Duration::from_millis(ms.min(600_000)));
            }
            if let Some(reach) = body.reach {
                fleet.list.reach(reach);
            }
            if body.flap {
                fleet.list.flap();
            }
            return Ok(());
        }
        let nothing = || (StatusCode::NOT_FOUND, "nothing here".to_owned());
        let &["boxes", id, what] = parts.as_slice() else { return Err(nothing()) };
        let id = id.parse().ok().filter(|id| fleet.get(*id).is_some()).ok_or_else(nothing)?;
        match (what, &request.method) {
            ("fault", &Method::POST) => fleet.fault(id, read::<Fault>(request)?),
            ("fault", &Method::DELETE) => fleet.mend(id),
            ("state", &Method::POST) => {
                let body: StateBody = read(request)?;
                if !matches!(body.state.as_str(), "ready" | "draining" | "gone") {
                    return Err((StatusCode::BAD_REQUEST, "ready, draining or gone".into()));
                }
                fleet.list_as(id, &body.state);
            }
            _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "POST, or DELETE of a fault".into())),
        }
        Ok(())
    }
}

impl Handler for Door {
    fn handle(&self, request: Request, _: &Link<'_>) -> Reply {
        Reply::Complete(match self.carry_out(&request) {
            Ok(()) => Response::new(StatusCode::NO_CONTENT),
            Err((status, why)) => Response::text(status, why),
        })
    }
}

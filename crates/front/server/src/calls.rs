//! Short calls to boxes: releases, rungs, probes. A few workers, and a bound for each box, so that one that stands
//! still holds up only its own.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::client::{CallError, Pool};
use beechloft_http::{Request, Response};
use beechloft_session::api::{LoadReport, Outcome, Rung, ServerId};
use beechloft_session::io::{Input, MediaServerEvent};
use beechloft_session::release::ReleaseId;
use beechloft_whep::{boxes, load};
use tracing::debug;

use crate::handle::Handle;

const WORKERS: usize = 16;
/// Calls at one box at once.
const AT_ONCE: usize = 2;
/// Calls that wait for one box; past it the oldest rung or probe is dropped.
const WAITING: usize = 4096;

/// A call to be made.
#[derive(Debug)]
pub enum Job {
    /// End a session.
    Release {
        /// For the core.
        ticket: ReleaseId,
        /// Its path.
        resource: String,
    },
    /// Set a rung.
    SetRung {
        /// Where.
        path: String,
        /// The rung.
        rung: Rung,
    },
    /// Ask for load.
    Probe,
}

#[derive(Default)]
struct PerBox {
    address: Option<SocketAddr>,
    waiting: VecDeque<Job>,
    running: usize,
}

#[derive(Default)]
struct State {
    boxes: BTreeMap<ServerId, PerBox>,
    /// Boxes that have a call to be made and room for it, each at most once for each such call.
    ready: VecDeque<ServerId>,
    stop: bool,
}

struct Inner {
    state: Mutex<State>,
    work: Condvar,
    handle: Handle,
    pool: Arc<Pool>,
    call_time: Duration,
}

/// The workers.
pub struct Calls(Arc<Inner>);

impl Calls {
    /// Starts them.
    pub fn start(handle: Handle, pool: Arc<Pool>, call_time: Duration) -> io::Result<Calls> {
        let (state, work) = Default::default();
        let inner = Arc::new(Inner { state, work, handle, pool, call_time });
        for _ in 0..WORKERS {
            let inner = inner.clone();
            thread::Builder::new().name("calls".into()).stack_size(256 * 1024).spawn(move || inner.work())?;
        }
        Ok(Calls(inner))
    }

    /// Learns a box's address.
    pub fn know(&self, server: ServerId, address: SocketAddr) {
        self.0.handle.know(server, Some(address));
        self.0.lock().boxes.entry(server).or_default().address = Some(address);
    }

    /// Forgets a box. Calls that run end by themselves.
    pub fn forget(&self, server: ServerId) {
        self.0.handle.know(server, None);
        let gone = self.0.lock().boxes.remove(&server);
        for job in gone.into_iter().flat_map(|b| b.waiting) {
            self.0.fail(job);
        }
    }

    /// Has a call made.
    pub fn push(&self, server: ServerId, job: Job) {
        let mut state = self.0.lock();
        let b = state.boxes.entry(server).or_default();
        let dropped = if b.waiting.len() >= WAITING { b.waiting.pop_front() } else { None };
        b.waiting.push_back(job);
        if dropped.is_none() {
            state.ready.push_back(server);
        }
        drop(state);
        self.0.work.notify_one();
        if let Some(job) = dropped {
            self.0.fail(job);
        }
    }

    /// Ends the workers.
    pub fn stop(&self) {
        self.0.lock().stop = true;
        self.0.work.notify_all();
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self) {
        loop {
            let mut state = self.lock();
            let (server, address, job) = loop {
                if state.stop {
                    return;
                }
                match next(&mut state) {
                    Some(next) => break next,
                    None => state = self.work.wait(state).unwrap_or_else(PoisonError::into_inner),
                }
            };
            drop(state);
            match address {
                Some(address) => self.make(server, address, job),
                None => self.fail(job),
            }
            let mut state = self.lock();
            if let Some(b) = state.boxes.get_mut(&server) {
                b.running = b.running.saturating_sub(1);
                // A call that found its box full was passed over; now it has its turn.
                if b.waiting.len() > b.running {
                    state.ready.push_back(server);
                    drop(state);
                    self.work.notify_one();
                }
            }
        }
    }

    /// A call that was never made.
    fn fail(&self, job: Job) {
        if let Job::Release { ticket, .. } = job {
            self.handle.input(Input::Released { id: ticket, gone: false });
        }
    }

    fn make(&self, server: ServerId, address: SocketAddr, job: Job) {
        let call = |request: &Request| {
            let result = self.pool.call(address, request, Instant::now() + self.call_time);
            if matches!(result, Err(CallError::Refused)) {
                self.handle.input(Input::MediaServer(server, MediaServerEvent::ConnectionRefused));
            }
            result
        };
        match job {
            Job::Release { ticket, resource } => {
                let result = call(&boxes::release(&resource));
                debug!(target: "boxes", server = server.0, resource, ok = result.is_ok(), "release");
                self.handle
                    .input(Input::Released { id: ticket, gone: result.is_ok_and(|r| boxes::is_gone(&r)) });
            }
            Job::SetRung { path, rung } => {
                if let Err(error) = call(&boxes::set_rung(&path, rung)) {
                    debug!(target: "boxes", server = server.0, path, %error, "rung not set");
                }
            }
            Job::Probe => {
                let (outcome, load) = probed(call(&boxes::probe()));
                self.handle.input(Input::Probed { server, outcome, load });
            }
        }
    }
}

fn next(state: &mut State) -> Option<(ServerId, Option<SocketAddr>, Job)> {
    while let Some(server) = state.ready.pop_front() {
        let Some(b) = state.boxes.get_mut(&server) else { continue };
        if b.running >= AT_ONCE {
            continue; // put back when one of its calls ends
        }
        if let Some(job) = b.waiting.pop_front() {
            b.running += 1;
            return Some((server, b.address, job));
        }
    }
    None
}

fn probed(result: Result<Response, CallError>) -> (Outcome, LoadReport) {
    match result {
        Ok(response) if response.status.is_success() => (Outcome::Ok, load::body(&response.body)),
        Ok(_) | Err(CallError::Bad(_)) => (Outcome::Error, LoadReport::default()),
        Err(CallError::Refused | CallError::Connect(_)) => (Outcome::ConnectFailed, LoadReport::default()),
        Err(CallError::TimedOut) => (Outcome::Timeout, LoadReport::default()),
        Err(CallError::Broken(_)) => (Outcome::Reset, LoadReport::default()),
    }
}

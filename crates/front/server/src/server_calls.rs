//! Short calls to media servers: releases, rungs, health checks. They run on a few workers, with a bound for each media
//! server, so that one that hangs holds up only its own.

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
use beechloft_whep::{load, media_server};
use tracing::debug;

use crate::handle::EngineHandle;

const WORKERS: usize = 16;
/// The stack of a worker, bytes.
const WORKER_STACK: usize = 256 * 1024;
/// Calls that run at one media server at once.
const MAX_RUNNING_PER_SERVER: usize = 2;
/// Calls that wait for one media server; past it the oldest one is dropped.
const MAX_WAITING_PER_SERVER: usize = 4096;

/// A call to be made.
#[derive(Debug)]
pub enum Job {
    /// End a session.
    Release {
        /// For the result.
        id: ReleaseId,
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
    /// Read the load.
    HealthCheck,
}

#[derive(Default)]
struct ServerQueue {
    address: Option<SocketAddr>,
    waiting: VecDeque<Job>,
    running: usize,
}

#[derive(Default)]
struct Queues {
    servers: BTreeMap<ServerId, ServerQueue>,
    /// Media servers that have a call to be made and may run one more, each at most once for each such call.
    ready: VecDeque<ServerId>,
    stopped: bool,
}

/// A call that a worker takes.
struct NextCall {
    server: ServerId,
    address: Option<SocketAddr>,
    job: Job,
}

impl Queues {
    fn next(&mut self) -> Option<NextCall> {
        while let Some(server) = self.ready.pop_front() {
            let Some(queue) = self.servers.get_mut(&server) else { continue };
            if queue.running >= MAX_RUNNING_PER_SERVER {
                continue; // it is ready again when one of its calls ends
            }
            if let Some(job) = queue.waiting.pop_front() {
                queue.running += 1;
                return Some(NextCall { server, address: queue.address, job });
            }
        }
        None
    }
}

struct Shared {
    queues: Mutex<Queues>,
    work: Condvar,
    handle: EngineHandle,
    pool: Arc<Pool>,
    call_time: Duration,
}

/// The workers.
pub struct ServerCalls(Arc<Shared>);

impl ServerCalls {
    /// Starts them.
    ///
    /// # Errors
    /// No thread.
    pub fn start(handle: EngineHandle, pool: Arc<Pool>, call_time: Duration) -> io::Result<ServerCalls> {
        let (queues, work) = Default::default();
        let shared = Arc::new(Shared { queues, work, handle, pool, call_time });
        for _ in 0..WORKERS {
            let of_worker = shared.clone();
            let thread = thread::Builder::new().name("calls".into()).stack_size(WORKER_STACK);
            thread.spawn(move || of_worker.work())?;
        }
        Ok(ServerCalls(shared))
    }

    /// Sets a media server's address.
    pub fn set_address(&self, server: ServerId, address: SocketAddr) {
        self.0.handle.set_address(server, Some(address));
        self.0.lock().servers.entry(server).or_default().address = Some(address);
    }

    /// Forgets a media server. Calls that run end by themselves.
    pub fn forget(&self, server: ServerId) {
        self.0.handle.set_address(server, None);
        let removed = self.0.lock().servers.remove(&server);
        for job in removed.into_iter().flat_map(|queue| queue.waiting) {
            self.0.fail(&job);
        }
    }

    /// Queues a call.
    pub fn push(&self, server: ServerId, job: Job) {
        let mut queues = self.0.lock();
        let queue = queues.servers.entry(server).or_default();
        let is_full = queue.waiting.len() >= MAX_WAITING_PER_SERVER;
        let dropped = if is_full { queue.waiting.pop_front() } else { None };
        queue.waiting.push_back(job);
        if dropped.is_none() {
            queues.ready.push_back(server);
        }
        drop(queues);
        self.0.work.notify_one();
        if let Some(oldest) = dropped {
            self.0.fail(&oldest);
        }
    }

    /// Ends the workers; calls that run end by themselves.
    pub fn stop(&self) {
        self.0.lock().stopped = true;
        self.0.work.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self) {
        while let Some(NextCall { server, address, job }) = self.wait_for_call() {
            match address {
                Some(address) => self.make(server, address, job),
                None => self.fail(&job),
            }
            self.finish(server);
        }
    }

    /// The next call; none: the workers are to end.
    fn wait_for_call(&self) -> Option<NextCall> {
        let mut queues = self.lock();
        loop {
            if queues.stopped {
                return None;
            }
            if let Some(call) = queues.next() {
                return Some(call);
            }
            queues = self.work.wait(queues).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn finish(&self, server: ServerId) {
        let mut queues = self.lock();
        let Some(queue) = queues.servers.get_mut(&server) else { return };
        queue.running = queue.running.saturating_sub(1);
        // A call that found its media server busy was passed over; now it has its turn.
        if queue.waiting.len() > queue.running {
            queues.ready.push_back(server);
            drop(queues);
            self.work.notify_one();
        }
    }

    /// Reports a call that was never made.
    fn fail(&self, job: &Job) {
        if let Job::Release { id, .. } = job {
            self.handle.input(Input::Released { id: *id, gone: false });
        }
    }

    fn make(&self, server: ServerId, address: SocketAddr, job: Job) {
        match job {
            Job::Release { id, resource } => {
                let result = self.call(server, address, &media_server::release(&resource));
                debug!(target: "boxes", server = server.0, resource, ok = result.is_ok(), "release");
                let gone = result.is_ok_and(|response| media_server::is_released(&response));
                self.handle.input(Input::Released { id, gone });
            }
            Job::SetRung { path, rung } => {
                if let Err(error) = self.call(server, address, &media_server::set_rung(&path, rung)) {
                    debug!(target: "boxes", server = server.0, path, %error, "rung not set");
                }
            }
            Job::HealthCheck => {
                let (outcome, load) = health(self.call(server, address, &media_server::health_check()));
                self.handle.input(Input::HealthChecked { server, outcome, load });
            }
        }
    }

    fn call(&self, server: ServerId, address: SocketAddr, request: &Request) -> Result<Response, CallError> {
        let result = self.pool.call(address, request, Instant::now() + self.call_time);
        if matches!(result, Err(CallError::Refused)) {
            self.handle.input(Input::MediaServer(server, MediaServerEvent::ConnectionRefused));
        }
        result
    }
}

fn health(result: Result<Response, CallError>) -> (Outcome, LoadReport) {
    match result {
        Ok(response) if response.status.is_success() => (Outcome::Ok, load::parse_body(&response.body)),
        Ok(_) | Err(CallError::InvalidResponse(_)) => (Outcome::Error, LoadReport::default()),
        Err(CallError::Refused | CallError::Connect(_)) => (Outcome::ConnectFailed, LoadReport::default()),
        Err(CallError::TimedOut) => (Outcome::Timeout, LoadReport::default()),
        Err(CallError::Broken(_)) => (Outcome::Reset, LoadReport::default()),
    }
}

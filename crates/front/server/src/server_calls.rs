//! Short calls to media servers: releases, changes of rungs and health checks.
//!
//! The calls run on a pool of workers. The number of concurrent calls per media server is limited, so that a media server
//! that hangs delays only its own calls.

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
/// Stack size of a worker thread.
const WORKER_STACK_BYTES: usize = 256 * 1024;
/// Maximum number of concurrent calls to one media server.
const MAX_RUNNING_PER_SERVER: usize = 2;
/// Maximum number of queued calls to one media server. The oldest call is dropped when the queue is full.
const MAX_WAITING_PER_SERVER: usize = 4096;

/// A call to a media server.
#[derive(Debug)]
pub enum Job {
    /// Ends a session.
    Release {
        /// The release, to be named in its result.
        id: ReleaseId,
        /// Path of the session at the media server.
        resource: String,
    },
    /// Changes the rung of a session.
    SetRung {
        /// Path at the media server that selects the session's layers.
        path: String,
        /// The new rung.
        rung: Rung,
    },
    /// Reads the media server's health and load.
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
    /// Media servers with a waiting call, each listed at most once per waiting call.
    ready: VecDeque<ServerId>,
    stopped: bool,
}

/// A call taken off the queue by a worker.
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
                continue; // the media server becomes ready again when one of its calls ends
            }
            if let Some(job) = queue.waiting.pop_front() {
                queue.running += 1;
                return Some(NextCall { server, address: queue.address, job });
            }
        }
        None
    }
}

/// State shared by all workers.
struct WorkerPool {
    queues: Mutex<Queues>,
    call_queued: Condvar,
    handle: EngineHandle,
    pool: Arc<Pool>,
    call_timeout: Duration,
}

/// The queues of calls to media servers, with the workers that make them.
pub struct ServerCalls(Arc<WorkerPool>);

impl ServerCalls {
    /// Starts the workers.
    ///
    /// # Errors
    /// Fails if a thread can't be started.
    pub fn start(handle: EngineHandle, pool: Arc<Pool>, call_timeout: Duration) -> io::Result<ServerCalls> {
        let (queues, call_queued) = Default::default();
        let workers = Arc::new(WorkerPool { queues, call_queued, handle, pool, call_timeout });
        for _ in 0..WORKERS {
            let worker = workers.clone();
            let thread = thread::Builder::new().name("calls".into()).stack_size(WORKER_STACK_BYTES);
            thread.spawn(move || worker.run_calls())?;
        }
        Ok(ServerCalls(workers))
    }

    /// Sets a media server's address.
    pub fn set_address(&self, server: ServerId, address: SocketAddr) {
        self.0.handle.set_address(server, Some(address));
        self.0.lock().servers.entry(server).or_default().address = Some(address);
    }

    /// Forgets a media server and fails its queued calls. Calls in progress are completed.
    pub fn forget(&self, server: ServerId) {
        self.0.handle.set_address(server, None);
        let removed = self.0.lock().servers.remove(&server);
        for job in removed.into_iter().flat_map(|queue| queue.waiting) {
            self.0.fail(&job);
        }
    }

    /// Queues a call to a media server.
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
        self.0.call_queued.notify_one();
        if let Some(oldest) = dropped {
            self.0.fail(&oldest);
        }
    }

    /// Stops the workers. Calls in progress are completed.
    pub fn stop(&self) {
        self.0.lock().stopped = true;
        self.0.call_queued.notify_all();
    }
}

impl WorkerPool {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_calls(&self) {
        while let Some(NextCall { server, address, job }) = self.wait_for_call() {
            match address {
                Some(address) => self.run(server, address, job),
                None => self.fail(&job),
            }
            self.finish(server);
        }
    }

    /// Waits for the next call. Returns `None` if the workers were stopped.
    fn wait_for_call(&self) -> Option<NextCall> {
        let mut queues = self.lock();
        loop {
            if queues.stopped {
                return None;
            }
            if let Some(call) = queues.next() {
                return Some(call);
            }
            queues = self.call_queued.wait(queues).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn finish(&self, server: ServerId) {
        let mut queues = self.lock();
        let Some(queue) = queues.servers.get_mut(&server) else { return };
        queue.running = queue.running.saturating_sub(1);
        // Calls were skipped while the media server had the maximum number of calls running, so it is made ready again.
        if queue.waiting.len() > queue.running {
            queues.ready.push_back(server);
            drop(queues);
            self.call_queued.notify_one();
        }
    }

    /// Reports the failure of a call that was not made.
    fn fail(&self, job: &Job) {
        if let Job::Release { id, .. } = job {
            self.handle.input(Input::Released { id: *id, ended: false });
        }
    }

    fn run(&self, server: ServerId, address: SocketAddr, job: Job) {
        match job {
            Job::Release { id, resource } => {
                let result = self.call(server, address, &media_server::release(&resource));
                debug!(target: "boxes", server = server.0, resource, ok = result.is_ok(), "release");
                let ended = result.is_ok_and(|response| media_server::is_released(&response));
                self.handle.input(Input::Released { id, ended });
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
        let result = self.pool.call(address, request, Instant::now() + self.call_timeout);
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

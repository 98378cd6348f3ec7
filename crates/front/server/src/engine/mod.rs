//! The engine: the thread that owns the session controller and carries out its outputs.

mod event_loop;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};

use beechloft_config::FrontSettings;
use beechloft_http::client::Pool;
use beechloft_session::SessionController;
use crossbeam_channel::{Sender, unbounded};

use self::event_loop::EventLoop;
use crate::admission::Admission;
use crate::clock::Clock;
use crate::event_streams::EventStreams;
use crate::evidence::EvidenceCollector;
use crate::handle::EngineHandle;
use crate::messages::{EngineMessage, FleetHooks, Recording};
use crate::server_calls::ServerCalls;

/// The engine's thread.
pub struct Engine {
    sender: Sender<EngineMessage>,
    thread: JoinHandle<Recording>,
}

impl Engine {
    /// Starts the engine and its workers, and returns it with a handle for the other threads.
    ///
    /// # Errors
    /// Fails if a thread can't be started.
    pub fn start(
        controller: SessionController,
        clock: Clock,
        settings: &Arc<FrontSettings>,
        pool: Arc<Pool>,
        record: bool,
        hooks: FleetHooks,
    ) -> io::Result<(Engine, EngineHandle)> {
        let (sender, receiver) = unbounded();
        let handle = EngineHandle::new(sender.clone());
        let ended = handle.ended.clone();
        let FleetHooks { slots, observer, admission_controller } = hooks;
        let event_loop = EventLoop {
            controller,
            clock,
            calls: ServerCalls::start(handle.clone(), pool, settings.call_timeout)?,
            event_streams: EventStreams::new(handle.clone(), settings.connect_timeout),
            waiting: BTreeMap::new(),
            followers: BTreeMap::new(),
            outputs: Vec::new(),
            recording: record.then(Recording::default),
            sip: None,
            slots,
            slot: None,
            evidence: observer.map(EvidenceCollector::new),
            admission: admission_controller
                .map(|admission_controller| Admission::new(admission_controller, settings.service.clone())),
            denied: VecDeque::new(),
        };
        let thread = thread::Builder::new().name("core".into()).spawn(move || {
            let recording = event_loop.run(&receiver);
            ended.store(true, Ordering::SeqCst);
            recording
        })?;
        Ok((Engine { sender, thread }, handle))
    }

    /// Stops the engine and returns its recording, which is empty if nothing was recorded.
    pub fn stop(self) -> Recording {
        let _ = self.sender.send(EngineMessage::Stop);
        self.thread.join().unwrap_or_default()
    }
}

//! The thread that owns the session controller: inputs in, outputs carried to those who wait.

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

/// The engine's thread and its helpers.
pub struct Engine {
    sender: Sender<EngineMessage>,
    thread: JoinHandle<Recording>,
}

impl Engine {
    /// Starts it.
    ///
    /// # Errors
    /// No thread.
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
        let FleetHooks { slots, observer, gate } = hooks;
        let event_loop = EventLoop {
            controller,
            clock,
            calls: ServerCalls::start(handle.clone(), pool, settings.call_time)?,
            event_streams: EventStreams::new(handle.clone(), settings.connect_time),
            waiting: BTreeMap::new(),
            followers: BTreeMap::new(),
            outputs: Vec::new(),
            recording: record.then(Recording::default),
            sip: None,
            slots,
            slot: None,
            evidence: observer.map(EvidenceCollector::new),
            admission: gate.map(|gate| Admission::new(gate, settings.service.clone())),
            denied: VecDeque::new(),
        };
        let thread = thread::Builder::new().name("core".into()).spawn(move || {
            let recording = event_loop.run(&receiver);
            ended.store(true, Ordering::SeqCst);
            recording
        })?;
        Ok((Engine { sender, thread }, handle))
    }

    /// Ends the thread; what it recorded, if it did.
    pub fn stop(self) -> Recording {
        let _ = self.sender.send(EngineMessage::Stop);
        self.thread.join().unwrap_or_default()
    }
}

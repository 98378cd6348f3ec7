//! The thread that owns the core: inputs in, outputs carried to those who wait.

mod run;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};

use beechloft_config::FrontSettings;
use beechloft_http::client::Pool;
use beechloft_session::SessionController;
use crossbeam_channel::{Sender, unbounded};

use self::run::Run;
use crate::calls::Calls;
use crate::clock::Clock;
use crate::handle::{Handle, Message};
use crate::limits::Limited;
use crate::observe::Observing;
use crate::told::{Hooks, Recording};
use crate::watch::Watchers;

/// The engine's thread and its helpers.
pub struct Engine {
    sender: Sender<Message>,
    thread: JoinHandle<Recording>,
}

impl Engine {
    /// Starts it.
    pub fn start(
        core: SessionController,
        clock: Clock,
        settings: Arc<FrontSettings>,
        pool: Arc<Pool>,
        record: bool,
        hooks: Hooks,
    ) -> io::Result<(Engine, Handle)> {
        let (sender, receiver) = unbounded();
        let handle = Handle::new(sender.clone());
        let calls = Calls::start(handle.clone(), pool.clone(), settings.call_time)?;
        let watchers = Watchers::new(handle.clone(), settings.connect_time);
        let recording = record.then(Recording::default);
        let (waiting, followers) = (BTreeMap::new(), BTreeMap::new());
        let ended = handle.ended.clone();
        let (out, sip, numbered) = (Vec::new(), None, None);
        let Hooks { numbers, observer, gate } = hooks;
        let limited = gate.map(|gate| Limited::new(gate, settings.service.clone()));
        let observing = observer.map(Observing::new);
        let run = Run {
            core,
            clock,
            calls,
            watchers,
            waiting,
            followers,
            out,
            recording,
            sip,
            numbers,
            numbered,
            observing,
            limited,
            stopped: VecDeque::new(),
        };
        let thread = thread::Builder::new().name("core".into()).spawn(move || {
            let recording = run.run(&receiver);
            ended.store(true, Ordering::SeqCst);
            recording
        })?;
        Ok((Engine { sender, thread }, handle))
    }

    /// Ends the thread; what it recorded, if it did.
    pub fn stop(self) -> Recording {
        let _ = self.sender.send(Message::End);
        self.thread.join().unwrap_or_default()
    }
}

//! The way to the engine, for all other threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::{self};
use std::time::{Duration, Instant};

use beechloft_quotas::Key;
use beechloft_session::api::{ServerId, SessionId};
use beechloft_session::io::{Answer, Input, RequestId, Secret, SessionRequest};
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};

use crate::told::{Status, Told};

/// Events that a stream may be behind.
const FOLLOW_BEHIND: usize = 64;

/// What the engine is told.
pub(crate) enum Message {
    Input(Input),
    SessionRequest(Box<SessionRequest>, Option<Key>, Sender<Told>),
    Call(Input, RequestId, Sender<Told>),
    Status(Sender<Status>),
    Follow(SessionId, Secret, Sender<PlayerEvent>),
    Sip(Sender<agent::Input>),
    End,
}

/// The way to the core.
#[derive(Clone)]
pub struct Handle {
    sender: Sender<Message>,
    next: Arc<AtomicU64>,
    addresses: Arc<RwLock<BTreeMap<ServerId, SocketAddr>>>,
    pub(crate) ended: Arc<AtomicBool>,
}

impl Handle {
    /// The way to an engine that hears these messages.
    pub(crate) fn new(sender: Sender<Message>) -> Handle {
        Handle { sender, next: Arc::default(), addresses: Arc::default(), ended: Arc::default() }
    }

    /// Tells the core something.
    pub fn input(&self, input: Input) {
        // The engine ends last; what comes after is nobody's any more.
        let _ = self.sender.send(Message::Input(input));
    }

    /// Whether the front has ended: nobody listens any more.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// A name for a client's call.
    pub fn request(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Asks for a session, for a viewer if it is known who; what is to be done for it comes out of the receiver.
    pub fn ask(&self, ask: SessionRequest, viewer: Option<Key>) -> Receiver<Told> {
        let (sender, receiver) = unbounded();
        let _ = self.sender.send(Message::SessionRequest(Box::new(ask), viewer, sender));
        receiver
    }

    /// A call that is answered at once.
    pub fn call(&self, make: impl FnOnce(RequestId) -> Input) -> Answer {
        let (sender, receiver) = bounded(1);
        let request = self.request();
        let _ = self.sender.send(Message::Call(make(request), request, sender));
        match receiver.recv_timeout(Duration::from_secs(5)) {
            Ok(Told::Answer(answer)) => answer,
            _ => Answer::Failed,
        }
    }

    /// Learns a box's address, or that it has none any more.
    pub fn know(&self, server: ServerId, address: Option<SocketAddr>) {
        let mut known = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        match address {
            Some(address) => known.insert(server, address),
            None => known.remove(&server),
        };
    }

    /// Where a box listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).get(&server).copied()
    }

    /// Where all boxes listen that are known.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).values().copied().collect()
    }

    /// What concerns SIP goes to its agent from now on.
    pub fn sip(&self, agent: Sender<agent::Input>) {
        let _ = self.sender.send(Message::Sip(agent));
    }

    /// A playing session's events, until it is over; nothing comes if there is no such session.
    pub fn follow(&self, session: SessionId, secret: Secret) -> Receiver<PlayerEvent> {
        let (sender, receiver) = bounded(FOLLOW_BEHIND);
        let _ = self.sender.send(Message::Follow(session, secret, sender));
        receiver
    }

    /// What the front knows and holds.
    pub fn status(&self) -> Status {
        let (sender, receiver) = bounded(1);
        let _ = self.sender.send(Message::Status(sender));
        receiver.recv_timeout(Duration::from_secs(5)).unwrap_or_default()
    }

    /// Waits until no client waits and nothing is left to be ended at boxes.
    pub fn wait_idle(&self, until: Instant) {
        while !self.status().idle && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

//! The way to the engine's thread, for all other threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_quotas::Key;
use beechloft_session::api::{ServerId, SessionId};
use beechloft_session::io::{Answer, Input, RequestId, Secret, SessionRequest};
use beechloft_sip::agent;
use beechloft_whep::events::PlayerEvent;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};

use crate::messages::{EngineMessage, EngineReply, Status};

/// Events that a stream may be behind.
const MAX_UNREAD_EVENTS: usize = 64;
/// How long a call that is answered at once may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a wait for the front to become idle polls.
const IDLE_POLL: Duration = Duration::from_millis(5);

/// The way to the engine.
#[derive(Clone)]
pub struct EngineHandle {
    sender: Sender<EngineMessage>,
    next_request: Arc<AtomicU64>,
    addresses: Arc<RwLock<BTreeMap<ServerId, SocketAddr>>>,
    pub(crate) ended: Arc<AtomicBool>,
}

impl EngineHandle {
    /// The way to an engine that receives these messages.
    pub(crate) fn new(sender: Sender<EngineMessage>) -> EngineHandle {
        let (next_request, addresses, ended) = Default::default();
        EngineHandle { sender, next_request, addresses, ended }
    }

    /// Sends a message. The engine ends last; what comes after concerns nobody any more.
    fn send(&self, message: EngineMessage) {
        let _ = self.sender.send(message);
    }

    /// Hands the session controller an input.
    pub fn input(&self, input: Input) {
        self.send(EngineMessage::Input(input));
    }

    /// Whether the front has ended: nobody receives any more.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// A new id for a client's call.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Requests a session, for a client if it is known which; what is to be done for it comes out of the receiver.
    pub fn request_session(&self, request: SessionRequest, client: Option<Key>) -> Receiver<EngineReply> {
        let (sender, receiver) = unbounded();
        self.send(EngineMessage::Request(Box::new(request), client, sender));
        receiver
    }

    /// A call that is answered at once.
    pub fn call(&self, make: impl FnOnce(RequestId) -> Input) -> Answer {
        let (sender, receiver) = bounded(1);
        let request = self.next_request();
        self.send(EngineMessage::Call(make(request), request, sender));
        match receiver.recv_timeout(CALL_TIMEOUT) {
            Ok(EngineReply::Answer(answer)) => answer,
            _ => Answer::Failed,
        }
    }

    /// Sets a media server's address, or removes it.
    pub fn set_address(&self, server: ServerId, address: Option<SocketAddr>) {
        let mut known = self.addresses.write().unwrap_or_else(PoisonError::into_inner);
        match address {
            Some(address) => known.insert(server, address),
            None => known.remove(&server),
        };
    }

    /// Where a media server listens.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).get(&server).copied()
    }

    /// Where all known media servers listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).values().copied().collect()
    }

    /// What concerns SIP goes to its agent from now on.
    pub fn attach_sip(&self, agent: Sender<agent::Input>) {
        self.send(EngineMessage::AttachSip(agent));
    }

    /// A playing session's events, until it is over; nothing comes if there is no such session.
    pub fn follow(&self, session: SessionId, secret: Secret) -> Receiver<PlayerEvent> {
        let (sender, receiver) = bounded(MAX_UNREAD_EVENTS);
        self.send(EngineMessage::Follow(session, secret, sender));
        receiver
    }

    /// What the front knows and holds.
    pub fn status(&self) -> Status {
        let (sender, receiver) = bounded(1);
        self.send(EngineMessage::Status(sender));
        receiver.recv_timeout(CALL_TIMEOUT).unwrap_or_default()
    }

    /// Waits until no client waits and nothing is left to be ended at media servers.
    pub fn wait_idle(&self, until: Instant) {
        while !self.status().idle && Instant::now() < until {
            thread::sleep(IDLE_POLL);
        }
    }
}

//! The handle by which all other threads reach the engine's thread.

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

/// Maximum number of events that are buffered for a subscriber.
const MAX_UNREAD_EVENTS: usize = 64;
/// Time within which the engine answers a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a wait for the front to become idle polls its status.
const IDLE_POLL: Duration = Duration::from_millis(5);

/// A handle to the engine.
#[derive(Clone)]
pub struct EngineHandle {
    sender: Sender<EngineMessage>,
    next_request: Arc<AtomicU64>,
    addresses: Arc<RwLock<BTreeMap<ServerId, SocketAddr>>>,
    pub(crate) ended: Arc<AtomicBool>,
}

impl EngineHandle {
    /// Creates a handle that sends messages to the engine through `sender`.
    pub(crate) fn new(sender: Sender<EngineMessage>) -> EngineHandle {
        let (next_request, addresses, ended) = Default::default();
        EngineHandle { sender, next_request, addresses, ended }
    }

    /// Sends a message. It is lost if the engine has ended, which happens only after everything else.
    fn send(&self, message: EngineMessage) {
        let _ = self.sender.send(message);
    }

    /// Passes an input to the session controller.
    pub fn input(&self, input: Input) {
        self.send(EngineMessage::Input(input));
    }

    /// Returns whether the engine has ended.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Returns a new id for a client's call.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Requests a session, on behalf of `client` if it is known. The engine's replies arrive at the receiver.
    pub fn request_session(&self, request: SessionRequest, client: Option<Key>) -> Receiver<EngineReply> {
        let (sender, receiver) = unbounded();
        self.send(EngineMessage::Request(Box::new(request), client, sender));
        receiver
    }

    /// Makes a call that the engine answers immediately. Returns [`Answer::Failed`] if there is no answer in time.
    pub fn call(&self, input: impl FnOnce(RequestId) -> Input) -> Answer {
        let (sender, receiver) = bounded(1);
        let request = self.next_request();
        self.send(EngineMessage::Call(input(request), request, sender));
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

    /// Returns the address of a media server, or `None` if it is unknown.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).get(&server).copied()
    }

    /// Returns the addresses of all known media servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).values().copied().collect()
    }

    /// Attaches the SIP agent, which takes over all outputs that concern SIP.
    pub fn attach_sip(&self, agent: Sender<agent::Input>) {
        self.send(EngineMessage::AttachSip(agent));
    }

    /// Subscribes to the events of a playing session. The receiver is disconnected when the session ends, or at once if
    /// there is no such session.
    pub fn follow(&self, session: SessionId, secret: Secret) -> Receiver<PlayerEvent> {
        let (sender, receiver) = bounded(MAX_UNREAD_EVENTS);
        self.send(EngineMessage::Follow(session, secret, sender));
        receiver
    }

    /// Returns the status of the front.
    pub fn status(&self) -> Status {
        let (sender, receiver) = bounded(1);
        self.send(EngineMessage::Status(sender));
        receiver.recv_timeout(CALL_TIMEOUT).unwrap_or_default()
    }

    /// Waits until the front is idle, but not longer than `until`.
    pub fn wait_idle(&self, until: Instant) {
        while !self.status().idle && Instant::now() < until {
            thread::sleep(IDLE_POLL);
        }
    }
}

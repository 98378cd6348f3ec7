//! A follower of a topic. Any replica can serve it. When that replica is silent, lags behind or is partitioned from the leader,
//! the follower switches to another one.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_leases::Name;
use beechloft_topic::{
    Delivery, Key, Message, Offset, ProtocolViolation, Subscriber, SubscriberInput, SubscriberOutput,
    SubscriberSettings,
};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::{info, warn};

use super::{Connection, Inbound, MAX_WAIT, STACK_BYTES};
use crate::settings::FleetSettings;
use crate::wire;

/// Maximum number of received messages that are queued for the thread. The credit bounds their size.
const INBOUND_CAPACITY: usize = 16;
/// Maximum interval between two messages to the replica, which closes a connection after a minute without one.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// An event of a followed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A key was added or its value has changed.
    Updated(Message),
    /// A key was deleted, as of this offset.
    Deleted(Key, Offset),
    /// The follower knows the latest message of each key below this offset.
    CaughtUp(Offset),
    /// The follower may lack messages until the next [`FollowerEvent::CaughtUp`].
    Behind,
    /// A replica violated the protocol. Its message was ignored, and the follower switches to another replica.
    ProtocolViolation(ProtocolViolation),
}

#[derive(Debug, Clone, Copy)]
struct LastDelivery {
    at: Instant,
    /// Time for which the replica may have missed committed entries when it sent the delivery.
    staleness: Duration,
}

struct Shared {
    subscriber: Mutex<Subscriber>,
    last_delivery: Mutex<Option<LastDelivery>>,
    /// The offset below which all events have been passed to the handler.
    reported_to: Mutex<Option<Offset>>,
    stop: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A follower of one topic. Its thread ends soon after the follower is dropped, and the drop does not wait for it.
pub struct Follower {
    shared: Arc<Shared>,
}

impl Follower {
    /// Starts to follow a topic. `handle` is called with each event in order, on the follower's thread. A slow handler delays
    /// only this follower.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        fleet: &FleetSettings,
        topic: Name,
        settings: SubscriberSettings,
        handle: impl FnMut(FollowerEvent) + Send + 'static,
    ) -> io::Result<Follower> {
        let subscriber = Mutex::new(Subscriber::new(topic.clone(), settings, rand::random()));
        let shared = Arc::new(Shared {
            subscriber,
            last_delivery: Mutex::new(None),
            reported_to: Mutex::new(None),
            stop: AtomicBool::new(false),
        });
        let (sender, inbound) = bounded(INBOUND_CAPACITY);
        let worker = Worker {
            shared: Arc::clone(&shared),
            clock: Box::new(fleet.clock()),
            replica: rand::random_range(0..fleet.replicas.len().max(1)),
            fleet: fleet.clone(),
            topic,
            connection: None,
            credit_bytes: 0,
            sent_at: Instant::now(),
            sender,
            inbound,
            handle: Box::new(handle),
        };
        thread::Builder::new().name("follows".into()).stack_size(STACK_BYTES).spawn(move || worker.run())?;
        Ok(Follower { shared })
    }

    /// Calls `read` with the known state of the topic, which is locked during the call.
    pub fn read<T>(&self, read: impl FnOnce(&Subscriber) -> T) -> T {
        read(&lock(&self.shared.subscriber))
    }

    /// Returns the offset below which the topic is completely known and all events have been passed to the handler.
    /// [`Follower::read`] may know more. Returns `None` if the follower is not complete up to any offset.
    pub fn reported_to(&self) -> Option<Offset> {
        *lock(&self.shared.reported_to)
    }

    /// Returns the time for which the known state may be out of date, which is the time since the serving replica last heard
    /// from a leader. Returns `None` before the first delivery.
    pub fn staleness(&self) -> Option<Duration> {
        let last = *lock(&self.shared.last_delivery);
        last.map(|delivery| delivery.at.elapsed() + delivery.staleness)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// The state of the follower's thread.
struct Worker {
    shared: Arc<Shared>,
    clock: Box<dyn Fn() -> Duration + Send>,
    fleet: FleetSettings,
    topic: Name,
    /// The index in the settings of the current replica, or of the last one.
    replica: usize,
    connection: Option<Connection>,
    /// The number of bytes that may be delivered on the current subscription, counted since it began.
    credit_bytes: u64,
    /// Time of the last message to the replica.
    sent_at: Instant,
    sender: Sender<Inbound>,
    inbound: Receiver<Inbound>,
    handle: Box<dyn FnMut(FollowerEvent) + Send>,
}

impl Worker {
    fn run(mut self) {
        self.handle_input(SubscriberInput::Start);
        while !self.shared.stop.load(Ordering::Relaxed) {
            let due = lock(&self.shared.subscriber).next_due().unwrap_or(Duration::MAX);
            match self.inbound.recv_timeout(due.saturating_sub((self.clock)()).min(MAX_WAIT)) {
                Ok(Inbound { message: Some(wire::Message::Delivery(delivery)), .. }) => {
                    self.receive(delivery)
                }
                // The replica rejected the subscription or closed the connection.
                Ok(Inbound { connection, .. }) => {
                    self.handle_input(SubscriberInput::Disconnected(connection))
                }
                Err(RecvTimeoutError::Timeout) => self.handle_input(SubscriberInput::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.sent_at.elapsed() >= KEEP_ALIVE_INTERVAL {
                self.send_credit();
            }
        }
    }

    fn receive(&mut self, delivery: Delivery) {
        let staleness = Duration::from_millis(u64::from(delivery.staleness_ms));
        if self.connection.as_ref().is_some_and(|connection| connection.id == delivery.subscription) {
            *lock(&self.shared.last_delivery) = Some(LastDelivery { at: Instant::now(), staleness });
        }
        self.handle_input(SubscriberInput::Delivery(delivery));
    }

    fn handle_input(&mut self, input: SubscriberInput) {
        let mut inputs = vec![input];
        while let Some(next) = inputs.pop() {
            let outputs = lock(&self.shared.subscriber).handle((self.clock)(), next);
            // Handled after the lock is released, as the handler may call `Follower::read`.
            for output in outputs {
                inputs.extend(self.handle_output(output));
            }
        }
        let complete = lock(&self.shared.subscriber).complete_to();
        *lock(&self.shared.reported_to) = complete;
    }

    /// Carries out an output of the subscriber. Returns the input that results from it, if any.
    fn handle_output(&mut self, output: SubscriberOutput) -> Option<SubscriberInput> {
        let event = match output {
            SubscriberOutput::Subscribe { subscription, topic, position, credit_bytes } => {
                let message = wire::Message::Subscribe { subscription, topic, position, credit_bytes };
                self.credit_bytes = credit_bytes;
                return self
                    .open(subscription, &message)
                    .is_none()
                    .then_some(SubscriberInput::Disconnected(subscription));
            }
            SubscriberOutput::Credit { total_bytes, .. } => {
                self.credit_bytes = total_bytes;
                self.send_credit();
                return None;
            }
            SubscriberOutput::Unsubscribe(subscription) => {
                info!(topic = %self.topic, subscription, "follower leaves its replica");
                self.connection = None;
                return None;
            }
            SubscriberOutput::Updated(message) => FollowerEvent::Updated(message),
            SubscriberOutput::Deleted(key, offset) => FollowerEvent::Deleted(key, offset),
            SubscriberOutput::CaughtUp(offset) => {
                info!(topic = %self.topic, offset = offset.0, "follower caught up");
                FollowerEvent::CaughtUp(offset)
            }
            SubscriberOutput::Behind => FollowerEvent::Behind,
            SubscriberOutput::ProtocolViolation(violation) => {
                warn!(topic = %self.topic, "replica violated the topic protocol: {violation}");
                FollowerEvent::ProtocolViolation(violation)
            }
        };
        (self.handle)(event);
        None
    }

    /// Subscribes at the next replica. Returns `None` if the connection fails. The subscription's id is also the connection's.
    fn open(&mut self, subscription: u64, message: &wire::Message) -> Option<()> {
        self.replica = (self.replica + 1) % self.fleet.replicas.len().max(1);
        // Deliveries that are still in transit belong to the abandoned subscription.
        self.connection = None;
        let mut connection = Connection::open(&self.fleet, self.replica, subscription, self.sender.clone())?;
        self.sent_at = Instant::now();
        connection.send([message]).then(|| self.connection = Some(connection))
    }

    /// Sends the credit. It is a total, so a repetition has no effect.
    fn send_credit(&mut self) {
        self.sent_at = Instant::now();
        if let Some(connection) = &mut self.connection {
            let credit =
                wire::Message::Credit { subscription: connection.id, total_bytes: self.credit_bytes };
            // The result is ignored, as the reader thread also detects a failed connection.
            let _ = connection.send([&credit]);
        }
    }
}

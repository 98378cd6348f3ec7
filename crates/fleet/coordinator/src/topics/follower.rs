//! A follower of a topic: any replica serves it, and when that one is silent, behind or cut off itself, another does.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_leases::Name;
use beechloft_topic::{
    Key, Message, Offset, ProtocolViolation, Subscriber, SubscriberInput, SubscriberOutput,
    SubscriberSettings, Told,
};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use tracing::{info, warn};

use super::{Connection, Inbound, MAX_WAIT, STACK_BYTES};
use crate::settings::FleetSettings;
use crate::wire;

/// Messages that have come and are not taken yet, at most; the credit bounds their bytes besides.
const INBOUND_CAPACITY: usize = 16;
/// A replica closes a connection on which nothing comes for a minute: a follower sends its credit at least this often.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);

/// What a follower reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A key has a value, or another one.
    Updated(Message),
    /// A key has no value any more, as of this offset.
    Deleted(Key, Offset),
    /// The latest of each key below this offset is known.
    CaughtUp(Offset),
    /// It may be incomplete until it is caught up again.
    Behind,
    /// A replica sent what can't be; nothing of it was taken, and another replica is used.
    ProtocolViolation(ProtocolViolation),
}

#[derive(Debug, Clone, Copy)]
struct LastDelivery {
    at: Instant,
    /// For how long the replica may have lacked committed entries then.
    silent: Duration,
}

struct Shared {
    subscriber: Mutex<Subscriber>,
    last_delivery: Mutex<Option<LastDelivery>>,
    /// Up to where it is complete and reported.
    reported_to: Mutex<Option<Offset>>,
    stop: AtomicBool,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A follower of one topic. Its thread ends soon after it is dropped, without being waited for.
pub struct Follower {
    shared: Arc<Shared>,
}

impl Follower {
    /// Starts to follow. `handle` is called on the follower's thread, in order; while it runs nothing more is taken, which holds
    /// up nobody else.
    ///
    /// # Errors
    /// There is no thread.
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
            credit: 0,
            sent_at: Instant::now(),
            sender,
            inbound,
            handle: Box::new(handle),
        };
        thread::Builder::new().name("follows".into()).stack_size(STACK_BYTES).spawn(move || worker.run())?;
        Ok(Follower { shared })
    }

    /// Reads what is known of the topic. The follower waits meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&Subscriber) -> T) -> T {
        read(&locked(&self.shared.subscriber))
    }

    /// Up to where it is complete, with all of that reported; [`Follower::read`] may know more.
    pub fn reported_to(&self) -> Option<Offset> {
        *locked(&self.shared.reported_to)
    }

    /// For how long what is known may be out of date: the time since the serving replica last heard from a leader. None before
    /// the first delivery.
    pub fn staleness(&self) -> Option<Duration> {
        let last = *locked(&self.shared.last_delivery);
        last.map(|delivery| delivery.at.elapsed() + delivery.silent)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// The follower's thread.
struct Worker {
    shared: Arc<Shared>,
    clock: Box<dyn Fn() -> Duration + Send>,
    fleet: FleetSettings,
    topic: Name,
    /// Index of the replica in use, or of the last one.
    replica: usize,
    connection: Option<Connection>,
    credit: u64,
    sent_at: Instant,
    sender: Sender<Inbound>,
    inbound: Receiver<Inbound>,
    handle: Box<dyn FnMut(FollowerEvent) + Send>,
}

impl Worker {
    fn run(mut self) {
        self.handle_input(SubscriberInput::Start);
        while !self.shared.stop.load(Ordering::Relaxed) {
            let due = locked(&self.shared.subscriber).next_due().unwrap_or(Duration::MAX);
            match self.inbound.recv_timeout(due.saturating_sub((self.clock)()).min(MAX_WAIT)) {
                Ok(Inbound { message: Some(wire::Message::Delivery(delivery)), .. }) => {
                    self.receive(delivery)
                }
                // The replica does not serve, or it closed the connection.
                Ok(Inbound { connection, .. }) => self.handle_input(SubscriberInput::Broken(connection)),
                Err(RecvTimeoutError::Timeout) => self.handle_input(SubscriberInput::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.sent_at.elapsed() >= KEEP_ALIVE_INTERVAL {
                self.send_credit();
            }
        }
    }

    fn receive(&mut self, delivery: Told) {
        let silent = Duration::from_millis(u64::from(delivery.silent_ms));
        if self.connection.as_ref().is_some_and(|c| c.number == delivery.feed) {
            *locked(&self.shared.last_delivery) = Some(LastDelivery { at: Instant::now(), silent });
        }
        self.handle_input(SubscriberInput::Told(delivery));
    }

    fn handle_input(&mut self, input: SubscriberInput) {
        let mut inputs = vec![input];
        while let Some(next) = inputs.pop() {
            let outputs = locked(&self.shared.subscriber).handle((self.clock)(), next);
            // After the lock is released: the handler may read what is known.
            for output in outputs {
                inputs.extend(self.handle_output(output));
            }
        }
        let complete = locked(&self.shared.subscriber).complete_to();
        *locked(&self.shared.reported_to) = complete;
    }

    /// Carries out an output of the subscriber; the input that follows from it, if any.
    fn handle_output(&mut self, output: SubscriberOutput) -> Option<SubscriberInput> {
        let event = match output {
            SubscriberOutput::Subscribe { feed, topic, from, allow } => {
                let message = wire::Message::Subscribe { feed, topic, from, allow };
                self.credit = allow;
                return self.open(feed, &message).is_none().then_some(SubscriberInput::Broken(feed));
            }
            SubscriberOutput::Allow { total, .. } => {
                self.credit = total;
                self.send_credit();
                return None;
            }
            SubscriberOutput::Leave(feed) => {
                info!(topic = %self.topic, feed, "leaves its replica");
                self.connection = None;
                return None;
            }
            SubscriberOutput::Changed(message) => FollowerEvent::Updated(message),
            SubscriberOutput::Gone(key, offset) => FollowerEvent::Deleted(key, offset),
            SubscriberOutput::CaughtUp(offset) => {
                info!(topic = %self.topic, offset = offset.0, "caught up");
                FollowerEvent::CaughtUp(offset)
            }
            SubscriberOutput::Behind => FollowerEvent::Behind,
            SubscriberOutput::ProtocolViolation(violation) => {
                warn!(topic = %self.topic, "a replica violated the protocol: {violation}");
                FollowerEvent::ProtocolViolation(violation)
            }
        };
        (self.handle)(event);
        None
    }

    /// Subscribes at the replica after the last one.
    fn open(&mut self, feed: u64, message: &wire::Message) -> Option<()> {
        self.replica = (self.replica + 1) % self.fleet.replicas.len().max(1);
        // What the last one still sends is for a subscription that was given up.
        self.connection = None;
        let mut connection = Connection::open(&self.fleet, self.replica, feed, self.sender.clone())?;
        self.sent_at = Instant::now();
        connection.send([message]).then(|| self.connection = Some(connection))
    }

    /// Sends the credit; repeated it changes nothing.
    fn send_credit(&mut self) {
        self.sent_at = Instant::now();
        if let Some(connection) = &mut self.connection {
            // A failed write is noticed by the reading thread as well.
            let _ = connection.send([&wire::Message::Credit { feed: connection.number, total: self.credit }]);
        }
    }
}

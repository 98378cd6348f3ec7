//! One who follows a topic: any keeper serves it, and when that one is silent, behind or cut off itself, another does.

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

use super::{Conn, Inbound, LOOK, STACK};
use crate::settings::FleetSettings;
use crate::wire;

/// Words that have come and are not taken yet, at most; what a keeper may send is bounded in bytes besides.
const QUEUE: usize = 16;
/// A keeper closes a connection on which nothing comes for a minute: it hears from a follower at least so often.
const ALIVE: Duration = Duration::from_secs(15);

/// What one who follows hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A key has a value, or another one.
    Updated(Message),
    /// A key has none any more, for all that is known at this offset.
    Deleted(Key, Offset),
    /// It has the latest of each key as of this offset, without it.
    CaughtUp(Offset),
    /// It is not known to be complete any more, until it is caught up again.
    Behind,
    /// A keeper said what can't be; nothing of it was taken, and another keeper is asked.
    ProtocolViolation(ProtocolViolation),
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    silent: Duration,
}

struct Shared {
    subscriber: Mutex<Subscriber>,
    heard: Mutex<Option<Heard>>,
    /// Up to where it is complete, and whoever hears has heard of.
    told_to: Mutex<Option<Offset>>,
    end: AtomicBool,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A follower of one topic. It ends when it is dropped.
pub struct Follower {
    shared: Arc<Shared>,
}

impl Follower {
    /// Begins to follow. `hear` is called on the follower's thread, in order; while it takes its time nothing more comes, and the
    /// keeper holds nothing back for anybody else.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        topic: Name,
        settings: SubscriberSettings,
        hear: impl FnMut(FollowerEvent) + Send + 'static,
    ) -> io::Result<Follower> {
        let subscriber = Mutex::new(Subscriber::new(topic.clone(), settings, rand::random()));
        let shared = Arc::new(Shared {
            subscriber,
            heard: Mutex::new(None),
            told_to: Mutex::new(None),
            end: AtomicBool::new(false),
        });
        let (hears, came) = bounded(QUEUE);
        let follows = Follows {
            shared: Arc::clone(&shared),
            clock: Box::new(set.clock()),
            keeper: rand::random_range(0..set.keepers.len().max(1)),
            set: set.clone(),
            topic,
            conn: None,
            allowed: 0,
            said_at: Instant::now(),
            hears,
            came,
            hear: Box::new(hear),
        };
        thread::Builder::new().name("follows".into()).stack_size(STACK).spawn(move || follows.run())?;
        Ok(Follower { shared })
    }

    /// What is known of the topic, now. Whoever looks holds up the follower meanwhile.
    pub fn look<T>(&self, look: impl FnOnce(&Subscriber) -> T) -> T {
        look(&locked(&self.shared.subscriber))
    }

    /// Up to where it is complete, with all of that heard; [`Follower::look`] may know more than whoever hears was told yet.
    pub fn told_to(&self) -> Option<Offset> {
        *locked(&self.shared.told_to)
    }

    /// For how long what is known may have been overtaken: since a leader was last heard of, by way of the keeper that serves. None:
    /// nothing was heard yet.
    pub fn staleness(&self) -> Option<Duration> {
        let heard = *locked(&self.shared.heard);
        heard.map(|h| h.at.elapsed() + h.silent)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

/// The follower's thread.
struct Follows {
    shared: Arc<Shared>,
    clock: Box<dyn Fn() -> Duration + Send>,
    set: FleetSettings,
    topic: Name,
    /// The keeper that it asks, or asked last.
    keeper: usize,
    conn: Option<Conn>,
    allowed: u64,
    said_at: Instant,
    hears: Sender<Inbound>,
    came: Receiver<Inbound>,
    hear: Box<dyn FnMut(FollowerEvent) + Send>,
}

impl Follows {
    fn run(mut self) {
        self.take(SubscriberInput::Start);
        while !self.shared.end.load(Ordering::Relaxed) {
            let due = locked(&self.shared.subscriber).next_due().unwrap_or(Duration::MAX);
            match self.came.recv_timeout(due.saturating_sub((self.clock)()).min(LOOK)) {
                Ok((_, Some(wire::Message::Delivery(told)))) => self.told(told),
                // It does not serve, or it ended the connection.
                Ok((number, _)) => self.take(SubscriberInput::Broken(number)),
                Err(RecvTimeoutError::Timeout) => self.take(SubscriberInput::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.said_at.elapsed() >= ALIVE {
                self.allow();
            }
        }
    }

    fn told(&mut self, told: Told) {
        let silent = Duration::from_millis(u64::from(told.silent_ms));
        if self.conn.as_ref().is_some_and(|c| c.number == told.feed) {
            *locked(&self.shared.heard) = Some(Heard { at: Instant::now(), silent });
        }
        self.take(SubscriberInput::Told(told));
    }

    fn take(&mut self, input: SubscriberInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = locked(&self.shared.subscriber).handle((self.clock)(), input);
            // After the lock is let go: whoever hears may look at what is known.
            for output in outputs {
                inputs.extend(self.does(output));
            }
        }
        let complete = locked(&self.shared.subscriber).complete_to();
        *locked(&self.shared.told_to) = complete;
    }

    /// Does what the machine wants; what is to be said to it about that.
    fn does(&mut self, output: SubscriberOutput) -> Option<SubscriberInput> {
        let followed = match output {
            SubscriberOutput::Subscribe { feed, topic, from, allow } => {
                let word = wire::Message::Subscribe { feed, topic, from, allow };
                self.allowed = allow;
                return self.open(feed, &word).is_none().then_some(SubscriberInput::Broken(feed));
            }
            SubscriberOutput::Allow { total, .. } => {
                self.allowed = total;
                self.allow();
                return None;
            }
            SubscriberOutput::Leave(feed) => {
                info!(topic = %self.topic, feed, "leaves its keeper");
                self.conn = None;
                return None;
            }
            SubscriberOutput::Changed(message) => FollowerEvent::Updated(message),
            SubscriberOutput::Gone(key, offset) => FollowerEvent::Deleted(key, offset),
            SubscriberOutput::CaughtUp(offset) => {
                info!(topic = %self.topic, offset = offset.0, "caught up");
                FollowerEvent::CaughtUp(offset)
            }
            SubscriberOutput::Behind => FollowerEvent::Behind,
            SubscriberOutput::ProtocolViolation(why) => {
                warn!(topic = %self.topic, "a keeper's word can't be: {why}");
                FollowerEvent::ProtocolViolation(why)
            }
        };
        (self.hear)(followed);
        None
    }

    /// Subscribes at another keeper than the last one.
    fn open(&mut self, feed: u64, word: &wire::Message) -> Option<()> {
        self.keeper = (self.keeper + 1) % self.set.keepers.len().max(1);
        // What the one before still sends is of a subscription that was given up.
        self.conn = None;
        let mut conn = Conn::open(&self.set, self.keeper, feed, self.hears.clone())?;
        self.said_at = Instant::now();
        conn.say([word]).then(|| self.conn = Some(conn))
    }

    /// Says how much may come; said again it changes nothing.
    fn allow(&mut self) {
        self.said_at = Instant::now();
        if let Some(conn) = &mut self.conn {
            // One that can't be told of it any more is seen to be gone by who reads.
            let _ = conn.say([&wire::Message::Credit { feed: conn.number, total: self.allowed }]);
        }
    }
}

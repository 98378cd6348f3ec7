//! Client's side of a subscription. It keeps the latest message of each key and its position, and switches to another replica
//! when the current one fails or lags.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use beechloft_leases::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault_injection::Fault;
use crate::feed::{Batch, Delivery, FeedItem, MAX_BATCH_MESSAGES, Position};
use crate::message::{Body, Message};
use crate::messages::Offset;
use crate::record::Key;

mod interface;

pub use interface::{ProtocolViolation, SubscriberInput, SubscriberOutput, SubscriberSettings};

/// Latest message of a key, as known to the subscriber.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CachedMessage {
    /// Offset of the message.
    pub offset: Offset,
    /// Key and value.
    pub body: Body,
    /// Value of [`Subscriber::generation`] when the message was last received.
    generation: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    Idle,
    /// The next subscription starts at this time.
    Waiting(Duration),
    /// A replica serves the subscription.
    Subscribed {
        subscription: u64,
        last_delivery_at: Duration,
        /// Time since which the replica has been behind or stale.
        unusable_since: Option<Duration>,
        received_bytes: u64,
        credit_bytes: u64,
    },
}

/// Subscriber of one topic.
#[derive(Debug, Clone)]
pub struct Subscriber {
    topic: Name,
    settings: SubscriberSettings,
    position: Option<Position>,
    keys: BTreeMap<Key, CachedMessage>,
    /// Number of resynchronizations.
    generation: u32,
    /// Whether there may be keys that were not received since the last resynchronization.
    has_unconfirmed_keys: bool,
    /// End of the offsets for which the keys exactly match the topic.
    complete_to: Option<Offset>,
    state: State,
    last_subscription: u64,
    attempts: u32,
    rng: ChaCha8Rng,
    now: Duration,
    fault: Option<Fault>,
}

/// Hashes all state that affects the next decision, except for the random number generator and the retry counter.
impl std::hash::Hash for Subscriber {
    fn hash<H: std::hash::Hasher>(&self, into: &mut H) {
        (
            self.position,
            &self.keys,
            self.generation,
            self.has_unconfirmed_keys,
            self.complete_to,
            &self.state,
            self.last_subscription,
        )
            .hash(into);
    }
}

impl Subscriber {
    /// Creates a subscriber without messages.
    pub fn new(topic: Name, settings: SubscriberSettings, seed: u64) -> Subscriber {
        Subscriber {
            topic,
            settings,
            position: None,
            keys: BTreeMap::new(),
            generation: 0,
            has_unconfirmed_keys: false,
            complete_to: None,
            state: State::Idle,
            last_subscription: 0,
            attempts: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            fault: None,
        }
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// Returns the latest message of a key.
    pub fn get(&self, key: &[u8]) -> Option<&CachedMessage> {
        self.keys.get(key)
    }

    /// Returns the latest messages of all keys.
    pub fn keys(&self) -> impl Iterator<Item = (&Key, &CachedMessage)> {
        self.keys.iter()
    }

    /// Returns the offset below which the keys exactly match the topic. Returns `None` while the subscriber catches up, as
    /// some keys may then be older than others.
    pub fn complete_to(&self) -> Option<Offset> {
        self.complete_to
    }

    /// Returns the current position, or `None` before the first resynchronization.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns when the subscriber needs the next tick, or `None` if it needs none.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.state {
            State::Idle => None,
            State::Waiting(at) => Some(*at),
            State::Subscribed { last_delivery_at, unusable_since, .. } => Some(
                unusable_since.unwrap_or(*last_delivery_at).min(*last_delivery_at)
                    + self.settings.unresponsive_timeout,
            ),
        }
    }

    /// Handles an input. `now` is the reading of a monotonic clock.
    pub fn handle(&mut self, now: Duration, input: SubscriberInput) -> Vec<SubscriberOutput> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            SubscriberInput::Tick => self.tick(&mut out),
            SubscriberInput::Start if self.state == State::Idle => self.subscribe(&mut out),
            SubscriberInput::Start => {}
            SubscriberInput::Delivery(delivery) => self.receive(delivery, &mut out),
            SubscriberInput::Disconnected(subscription) => {
                if matches!(self.state, State::Subscribed { subscription: id, .. } if id == subscription) {
                    self.schedule_retry();
                }
            }
        }
        out
    }

    fn tick(&mut self, out: &mut Vec<SubscriberOutput>) {
        match self.state {
            State::Waiting(at) if self.now >= at => self.subscribe(out),
            State::Subscribed { subscription, last_delivery_at, unusable_since, .. } => {
                let since = unusable_since.unwrap_or(last_delivery_at).min(last_delivery_at);
                // The replica hangs or is partitioned from the subscriber or from the other replicas, which may still work.
                if self.now >= since + self.settings.unresponsive_timeout {
                    self.unsubscribe(subscription, out);
                }
            }
            _ => {}
        }
    }

    fn subscribe(&mut self, out: &mut Vec<SubscriberOutput>) {
        self.last_subscription += 1;
        let (subscription, credit_bytes) = (self.last_subscription, self.settings.window_bytes);
        self.state = State::Subscribed {
            subscription,
            last_delivery_at: self.now,
            unusable_since: None,
            received_bytes: 0,
            credit_bytes,
        };
        let topic = self.topic.clone();
        out.push(SubscriberOutput::Subscribe { subscription, topic, position: self.position, credit_bytes });
    }

    fn unsubscribe(&mut self, subscription: u64, out: &mut Vec<SubscriberOutput>) {
        out.push(SubscriberOutput::Unsubscribe(subscription));
        self.schedule_retry();
    }

    /// Schedules the next subscription with exponential backoff. Half of the delay is random, so that the subscribers of a
    /// failed replica do not reconnect at the same time.
    fn schedule_retry(&mut self) {
        let (initial, max) = self.settings.retry_backoff;
        let max_wait = (initial * 2u32.saturating_pow(self.attempts.min(16))).min(max);
        self.attempts = self.attempts.saturating_add(1);
        let micros = max_wait.as_micros() as u64;
        let wait = Duration::from_micros(self.rng.random_range(micros / 2..=micros));
        self.state = State::Waiting(self.now + wait);
    }

    fn receive(&mut self, delivery: Delivery, out: &mut Vec<SubscriberOutput>) {
        let now = self.now;
        let State::Subscribed { subscription, last_delivery_at, unusable_since, .. } = &mut self.state else {
            return;
        };
        // The delivery belongs to an earlier subscription.
        if *subscription != delivery.subscription {
            return;
        }
        let subscription = *subscription;
        *last_delivery_at = now;
        let is_stale = Duration::from_millis(u64::from(delivery.staleness_ms)) > self.settings.max_staleness;
        // A replica reports only once that it is behind, and a heartbeat does not mean that it has caught up.
        let is_unusable = match delivery.item {
            FeedItem::Behind { .. } => true,
            FeedItem::Heartbeat => is_stale || unusable_since.is_some(),
            FeedItem::Resync { .. } | FeedItem::Batch(_) => is_stale,
        };
        let since = unusable_since.unwrap_or(now);
        *unusable_since = is_unusable.then_some(since);
        let result = match delivery.item {
            FeedItem::Resync { incarnation, base } => self.resync(incarnation, base, out),
            FeedItem::Behind { .. } | FeedItem::Heartbeat => Ok(0),
            FeedItem::Batch(batch) => self.apply_batch(batch, out),
        };
        match result {
            Err(violation) => {
                out.push(SubscriberOutput::ProtocolViolation(violation));
                self.unsubscribe(subscription, out);
            }
            Ok(cost_bytes) if cost_bytes > 0 => self.replenish_credit(cost_bytes, out),
            Ok(_) => {}
        }
    }

    /// Counts received bytes, and extends the credit when half of the window is used.
    fn replenish_credit(&mut self, cost_bytes: u64, out: &mut Vec<SubscriberOutput>) {
        self.attempts = 0;
        let window_bytes = self.settings.window_bytes;
        let State::Subscribed { subscription, received_bytes, credit_bytes, .. } = &mut self.state else {
            return;
        };
        *received_bytes += cost_bytes;
        if *received_bytes + window_bytes >= *credit_bytes + window_bytes / 2 {
            *credit_bytes = *received_bytes + window_bytes;
            out.push(SubscriberOutput::Credit { subscription: *subscription, total_bytes: *credit_bytes });
        }
    }

    /// Reports that the subscriber may be incomplete, if it was complete.
    fn mark_incomplete(&mut self, out: &mut Vec<SubscriberOutput>) {
        if self.complete_to.take().is_some() {
            out.push(SubscriberOutput::Behind);
        }
    }

    /// Starts to receive all messages again.
    fn resync(
        &mut self,
        incarnation: u64,
        base: Offset,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<u64, ProtocolViolation> {
        if let Some(position) = self
            .position
            .filter(|position| position.incarnation == incarnation && base < position.required_head())
        {
            // The resynchronization would lead back to an older state.
            return Err(ProtocolViolation::LaggingReplica { head: base, required: position.required_head() });
        }
        if self.position.is_some_and(|position| position.incarnation != incarnation) {
            // The offsets of another incarnation are unrelated to the known ones.
            self.keys.values_mut().for_each(|cached| cached.offset = Offset(0));
        }
        self.position = Some(Position { incarnation, next: Offset(0), base, min_head: base });
        self.generation = self.generation.wrapping_add(1);
        self.has_unconfirmed_keys = !self.keys.is_empty();
        self.mark_incomplete(out);
        Ok(0)
    }

    /// Validates the whole batch before any of it is applied.
    fn validate(&self, batch: &Batch) -> Result<(), ProtocolViolation> {
        let position = self.position.ok_or(ProtocolViolation::BatchBeforeResync)?;
        if batch.from != position.next {
            return Err(ProtocolViolation::NotContiguous { from: batch.from, expected: position.next });
        }
        if batch.head < position.required_head() && !self.has_fault(Fault::LaggingReplicaServes) {
            return Err(ProtocolViolation::LaggingReplica {
                head: batch.head,
                required: position.required_head(),
            });
        }
        if batch.to < batch.from || batch.to > batch.head || batch.messages.len() > MAX_BATCH_MESSAGES {
            return Err(ProtocolViolation::InvalidOffsets);
        }
        let mut next = batch.from;
        for message in &batch.messages {
            if message.offset < next || message.offset >= batch.to {
                return Err(ProtocolViolation::InvalidOffsets);
            }
            next = message.offset.next();
            let cached = self.keys.get(message.key());
            if let Some(cached) = cached.filter(|cached| cached.offset > message.offset) {
                return Err(ProtocolViolation::StaleMessage {
                    known: cached.offset,
                    received: message.offset,
                });
            }
        }
        Ok(())
    }

    /// Applies a batch. Returns the number of bytes that it consumes from the credit.
    fn apply_batch(
        &mut self,
        batch: Batch,
        out: &mut Vec<SubscriberOutput>,
    ) -> Result<u64, ProtocolViolation> {
        self.validate(&batch)?;
        let cost_bytes = batch.cost_bytes();
        let (is_contiguous, is_caught_up) = (batch.is_contiguous(), batch.is_caught_up());
        if !is_contiguous {
            self.mark_incomplete(out);
        }
        let Batch { to, head, messages, .. } = batch;
        if let Some(position) = &mut self.position {
            position.next = to;
            if !is_contiguous {
                position.min_head = position.min_head.max(head);
            }
        }
        for message in messages {
            self.apply_message(message, out);
        }
        if is_caught_up && self.has_unconfirmed_keys {
            self.delete_missing(to, out);
        }
        let previous = self.complete_to;
        if is_caught_up || previous.is_some() {
            self.complete_to = Some(to);
        }
        if is_caught_up && previous.is_none() {
            self.attempts = 0;
            out.push(SubscriberOutput::CaughtUp(to));
        }
        Ok(cost_bytes)
    }

    fn apply_message(&mut self, message: Message, out: &mut Vec<SubscriberOutput>) {
        let Ok(key) = Key::new(message.key()) else { return };
        let cached =
            CachedMessage { offset: message.offset, body: message.body.clone(), generation: self.generation };
        if message.body.is_tombstone() {
            if self.keys.remove(&key).is_some() {
                out.push(SubscriberOutput::Deleted(key, message.offset));
            }
            return;
        }
        match self.keys.entry(key) {
            // The message was received again during a resynchronization and is unchanged.
            Entry::Occupied(mut known)
                if known.get().offset == cached.offset && known.get().body == cached.body =>
            {
                known.insert(cached);
            }
            Entry::Occupied(mut known) => {
                known.insert(cached);
                out.push(SubscriberOutput::Updated(message));
            }
            Entry::Vacant(entry) => {
                entry.insert(cached);
                out.push(SubscriberOutput::Updated(message));
            }
        }
    }

    /// Deletes the keys that were not received during the resynchronization, as they were deleted in the meantime.
    fn delete_missing(&mut self, to: Offset, out: &mut Vec<SubscriberOutput>) {
        self.has_unconfirmed_keys = false;
        if self.has_fault(Fault::DeletedKeysKept) {
            return;
        }
        let (generation, offset) = (self.generation, Offset(to.0.saturating_sub(1)));
        for (key, _) in self.keys.extract_if(.., |_, cached| cached.generation != generation) {
            out.push(SubscriberOutput::Deleted(key, offset));
        }
    }
}

//! Repetition of proposals and orders. The first one is sent at once, and repetitions follow after randomized delays
//! that double. Lost messages are thereby replaced, and what can't be done yet does not fill the log.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::protocol::commands::Step;
use crate::protocol::names::{OrderId, ServerId};

/// A message that is repeated until it has taken effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    Step(Step),
    Order(ServerId, OrderId),
}

#[derive(Debug, Clone, Copy, Hash)]
struct Retry {
    at: Duration,
    attempts: u32,
    sweep: u64,
}

/// The messages that were sent, with the times of their next repetition. An entry that one sweep does not ask for is
/// dropped by the next.
#[derive(Debug, Clone, Default, Hash)]
pub(super) struct RetrySchedule {
    all: BTreeMap<Message, Retry>,
    sweep: u64,
}

impl RetrySchedule {
    pub(super) fn begin_sweep(&mut self) {
        self.sweep += 1;
        let sweep = self.sweep;
        self.all.retain(|_, a| a.sweep + 1 >= sweep);
    }

    /// Returns whether a message is due. If so, it counts as sent.
    pub(super) fn is_due(
        &mut self,
        now: Duration,
        base: Duration,
        message: Message,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let sweep = self.sweep;
        let retry = self.all.entry(message).or_insert(Retry { at: now, attempts: 0, sweep });
        retry.sweep = sweep;
        if now < retry.at {
            return false;
        }
        let max_delay = base * 2u32.pow(retry.attempts.min(5));
        let max_delay_us = u64::try_from(max_delay.as_micros()).unwrap_or(u64::MAX);
        retry.at = now + Duration::from_micros(rng.random_range(max_delay_us / 2..=max_delay_us.max(1)));
        retry.attempts += 1;
        true
    }
}

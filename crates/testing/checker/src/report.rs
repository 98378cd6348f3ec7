//! What a check comes to.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::topic::Verdict;
use crate::trace::Speaks;

/// Times from asking to the answer, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Times {
    /// Half took at most so long.
    pub p50: f64,
    /// 99 in 100 did.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// Counts of those who speak one protocol.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Part {
    /// Requests that a running front took.
    pub sessions: u64,
    /// Those that came to play.
    pub playing: u64,
    /// Those turned away.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// From asking to the answer.
    pub answer_ms: Times,
}

/// Counts of a run.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// Requests that a running front took.
    pub sessions: u64,
    /// Those that came to play.
    pub playing: u64,
    /// Those turned away.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those answered otherwise: the request itself was at fault.
    pub declined: u64,
    /// Those whose player left before an answer.
    pub hung_up: u64,
    /// Those held by a front that was killed.
    pub lost_with_front: u64,
    /// Requests that no front took.
    pub not_taken: u64,
    /// Rule 1: no answer in the viewer's time.
    pub unanswered: u64,
    /// Rule 1: more than one answer.
    pub duplicate_answers: u64,
    /// Rule 2: two attempts of a session out at once, or a set-up repeated that must not be.
    pub overlapping_attempts: u64,
    /// Rule 3: set-ups sent to a box after its drain was known for longer than the grace.
    pub drain_breaks: u64,
    /// Rule 4: cold boxes sent more than they bear.
    pub cold_breaks: u64,
    /// Rule 5: rates under the floor.
    pub floor_breaks: u64,
    /// Rule 5: more sessions of a title and class than seats.
    pub seat_breaks: u64,
    /// Rule 6: further attempts past the budget.
    pub budget_breaks: u64,
    /// Sessions left at a box at the end that no player plays.
    pub phantom_sessions: u64,
    /// Sessions that a box freed by itself, as their player never came or went without a word.
    pub expired_sessions: u64,
    /// Attempts beyond the first.
    pub further_attempts: u64,
    /// Grants by which somebody acted at what a lease guards.
    pub leases_granted: u64,
    /// Leases: acts by a token under one that had been seen, by a process that was not stopped before.
    pub lease_overlaps: u64,
    /// Leases: acts by such a token that were done.
    pub stale_acts: u64,
    /// Acts by such a token that were refused where it was checked, whoever they were of.
    pub refused_acts: u64,
    /// The longest time between two acts that were done, milliseconds.
    pub longest_without_holder_ms: u64,
    /// Topics: messages that were acknowledged.
    pub topic_acknowledged: u64,
    /// Messages that a subscriber saw, over all of them.
    pub topic_seen: u64,
    /// How often a subscriber was caught up.
    pub topic_caught_up: u64,
    /// Messages that a subscriber missed while it was caught up.
    pub topic_gaps: u64,
    /// What was deleted or overtaken and came back.
    pub topic_revived: u64,
    /// Acknowledged messages that a subscriber does not have.
    pub topic_lost: u64,
    /// Messages at two offsets, and offsets with two messages.
    pub topic_twice: u64,
    /// From asking to the answer.
    pub answer_ms: Times,
    /// The same by protocol.
    pub by: BTreeMap<Speaks, Part>,
    /// The first few breaks of each rule, for people.
    pub breaks: BTreeMap<&'static str, Vec<String>>,
}

/// How many breaks of a rule are described.
const DESCRIBED: usize = 5;

impl Report {
    /// Breaks by rule, each with its name.
    pub fn broken(&self) -> [(&'static str, u64); 15] {
        [
            ("unanswered", self.unanswered),
            ("answered twice", self.duplicate_answers),
            ("overlapping", self.overlapping_attempts),
            ("drains", self.drain_breaks),
            ("cold", self.cold_breaks),
            ("floors", self.floor_breaks),
            ("seats", self.seat_breaks),
            ("budget", self.budget_breaks),
            ("left at boxes", self.phantom_sessions),
            ("two holders", self.lease_overlaps),
            ("stale acts", self.stale_acts),
            ("topic gaps", self.topic_gaps),
            ("topic revived", self.topic_revived),
            ("topic lost", self.topic_lost),
            ("topic twice", self.topic_twice),
        ]
    }

    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.broken().iter().all(|(_, n)| *n == 0)
    }

    /// Takes what the judge of a topic found.
    pub fn topic(&mut self, verdict: &Verdict) {
        self.topic_acknowledged += verdict.acknowledged;
        self.topic_seen += verdict.seen;
        self.topic_caught_up += verdict.caught_up;
        self.topic_gaps += verdict.gaps.len() as u64;
        self.topic_revived += verdict.revived.len() as u64;
        self.topic_lost += verdict.lost.len() as u64;
        self.topic_twice += verdict.twice.len() as u64;
        let lists = [
            ("topic gaps", &verdict.gaps),
            ("topic revived", &verdict.revived),
            ("topic lost", &verdict.lost),
            ("topic twice", &verdict.twice),
        ];
        for (rule, list) in lists {
            list.iter().for_each(|text| self.describe(rule, text.clone()));
        }
    }

    /// Describes a break.
    pub(crate) fn describe(&mut self, rule: &'static str, text: String) {
        let list = self.breaks.entry(rule).or_default();
        if list.len() < DESCRIBED {
            list.push(text);
        }
    }
}

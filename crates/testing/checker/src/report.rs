//! Counts and rule violations that a check finds in a trace.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::topic::Verdict;
use crate::trace::Speaks;

/// Quantiles of the time from a request to its answer, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct LatencyQuantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Counts of the players that use one signalling protocol.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct ProtocolCounts {
    /// Number of requests that a running front took.
    pub sessions: u64,
    /// Number of requests that were answered with 201.
    pub playing: u64,
    /// Number of requests that were answered with 503.
    pub refused: u64,
    /// Number of requests that were answered with 504.
    pub failed: u64,
    /// Time from a request to its answer.
    pub answer_ms: LatencyQuantiles,
}

/// Counts and rule violations of a run.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Report {
    /// Number of requests that a running front took.
    pub sessions: u64,
    /// Number of requests that were answered with 201.
    pub playing: u64,
    /// Number of requests that were answered with 503.
    pub refused: u64,
    /// Number of requests that were answered with 504.
    pub failed: u64,
    /// Number of requests that were answered with another status because the request itself was invalid.
    pub declined: u64,
    /// Number of requests whose player left before the answer.
    pub hung_up: u64,
    /// Number of requests that were pending at a front when it was killed.
    pub lost_with_front: u64,
    /// Number of requests that no front took.
    pub not_taken: u64,
    /// Rule 1: requests without an answer before the viewer's timeout.
    pub unanswered: u64,
    /// Rule 1: requests with more than one answer.
    pub duplicate_answers: u64,
    /// Rule 2: attempts made while another one of the session was outstanding, and repeats of a set-up that must run only once.
    pub overlapping_attempts: u64,
    /// Rule 3: set-ups sent to a media server after the front had known of its drain for longer than the grace period.
    pub drain_breaks: u64,
    /// Rule 4: media servers that were sent more set-ups during their warm-up than they can take.
    pub cold_breaks: u64,
    /// Rule 5: rates below the floor of the class.
    pub floor_breaks: u64,
    /// Rule 5: set-ups by which a front exceeded its seats for a title.
    pub seat_breaks: u64,
    /// Rule 6: retries beyond the retry budget.
    pub budget_breaks: u64,
    /// Number of sessions that a media server still holds at the end although no player plays them.
    pub phantom_sessions: u64,
    /// Number of sessions that expired at a media server because their player never arrived or left without ending them.
    pub expired_sessions: u64,
    /// Number of attempts beyond the first of each session.
    pub further_attempts: u64,
    /// Number of lease grants under which a process operated on the guarded resource.
    pub leases_granted: u64,
    /// Leases: operations with a superseded token by a process that had not been suspended shortly before.
    pub lease_overlaps: u64,
    /// Leases: operations with a superseded token that were carried out.
    pub stale_acts: u64,
    /// Number of operations with a superseded token that the resource refused, from any process.
    pub refused_acts: u64,
    /// Longest time between two operations that were carried out, in milliseconds.
    pub longest_without_holder_ms: u64,
    /// Number of acknowledged topic messages.
    pub topic_acknowledged: u64,
    /// Number of events that the subscribers of topics observed, over all subscribers.
    pub topic_seen: u64,
    /// Number of times that a subscriber caught up with a topic.
    pub topic_caught_up: u64,
    /// Topics: messages that a subscriber missed while it was caught up.
    pub topic_gaps: u64,
    /// Topics: deleted or superseded values that a subscriber received again.
    pub topic_revived: u64,
    /// Topics: acknowledged messages that a subscriber does not have.
    pub topic_lost: u64,
    /// Topics: messages at two offsets and offsets with two messages.
    pub topic_twice: u64,
    /// Time from a request to its answer.
    pub answer_ms: LatencyQuantiles,
    /// Counts by signalling protocol.
    pub by: BTreeMap<Speaks, ProtocolCounts>,
    /// Descriptions of the first few violations of each rule.
    pub breaks: BTreeMap<&'static str, Vec<String>>,
}

/// Number of violations of a rule that are described.
const MAX_DESCRIPTIONS_PER_RULE: usize = 5;

impl Report {
    /// Returns the name of each rule with its number of violations.
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

    /// Returns whether no rule was violated.
    pub fn kept(&self) -> bool {
        self.broken().iter().all(|(_, count)| *count == 0)
    }

    /// Adds the result of checking a topic.
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
        for (rule, descriptions) in lists {
            descriptions.iter().for_each(|text| self.describe(rule, text.clone()));
        }
    }

    /// Adds the description of a violation, up to the limit for its rule.
    pub(crate) fn describe(&mut self, rule: &'static str, text: String) {
        let descriptions = self.breaks.entry(rule).or_default();
        if descriptions.len() < MAX_DESCRIPTIONS_PER_RULE {
            descriptions.push(text);
        }
    }
}

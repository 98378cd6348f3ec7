//! Histories of set-ups and of terminations of front nodes, derived from the recorded events.

use std::collections::BTreeMap;

use crate::behavior::node_of;
use crate::invariants::{CROSSING_WINDOW_US, NEW_CONNECTIONS_FOR_US, SET_UPS_FOR_US};
use crate::recorder::{Event, EventKind, RestartStyle};

/// SIGTERM to a front node.
#[derive(Debug, Clone, Copy)]
pub struct Termination {
    pub at: u64,
    /// Time of the exit, `u64::MAX` while the process runs.
    pub exited_at: u64,
    pub style: RestartStyle,
}

/// Terminations of each front node in order of time.
pub struct Terminations(BTreeMap<usize, Vec<Termination>>);

impl Terminations {
    pub fn of(events: &[Event]) -> Terminations {
        let mut by_node: BTreeMap<usize, Vec<Termination>> = BTreeMap::new();
        for event in events {
            match event.kind {
                EventKind::Terminated { node, style } => {
                    let termination = Termination { at: event.at, exited_at: u64::MAX, style };
                    by_node.entry(node).or_default().push(termination);
                }
                EventKind::ProcessExited { node, .. } => {
                    if let Some(last) = by_node.get_mut(&node).and_then(|all| all.last_mut()) {
                        last.exited_at = event.at;
                    }
                }
                _ => {}
            }
        }
        Terminations(by_node)
    }

    /// Returns the termination that is in progress at this time, or else the next one.
    pub fn at(&self, node: usize, at: u64) -> Option<Termination> {
        let all = self.0.get(&node)?;
        all.iter().copied().find(|termination| at <= termination.exited_at.saturating_add(CROSSING_WINDOW_US))
    }

    /// Returns the last termination before this time.
    pub fn last_before(&self, node: usize, at: u64) -> Option<Termination> {
        self.0.get(&node)?.iter().rev().copied().find(|termination| termination.at <= at)
    }
}

/// Answer that a client received.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub served: bool,
    pub correct: bool,
}

/// History of a set-up.
#[derive(Debug, Default)]
pub struct SetUpHistory {
    pub connection: u64,
    /// Time at which a client sent the set-up, 0 if no client did.
    pub sent_at: u64,
    pub retry_of: Option<u64>,
    pub answers: Vec<Answer>,
    pub departed: bool,
    pub attempts: usize,
}

impl SetUpHistory {
    /// Whether the set-up was sent later than clients may send at a planned restart, so that no answer is required.
    pub fn is_late_for(&self, termination: Termination, opened_at: Option<u64>) -> bool {
        let on_late_connection = opened_at.is_some_and(|at| at > termination.at + NEW_CONNECTIONS_FOR_US);
        self.sent_at > termination.at + SET_UPS_FOR_US || on_late_connection
    }
}

/// Returns the histories of all set-ups by id.
pub fn histories(events: &[Event]) -> BTreeMap<u64, SetUpHistory> {
    let mut by_id: BTreeMap<u64, SetUpHistory> = BTreeMap::new();
    for event in events {
        match event.kind {
            EventKind::SetUpSent { connection, id, retry_of } => {
                let history = by_id.entry(id).or_default();
                history.connection = connection;
                history.sent_at = event.at;
                history.retry_of = retry_of;
            }
            EventKind::AnswerReceived { id, served, correct } => {
                by_id.entry(id).or_default().answers.push(Answer { served, correct });
            }
            EventKind::ClientDeparted { id } => by_id.entry(id).or_default().departed = true,
            EventKind::AttemptReceived { id, .. } => by_id.entry(id).or_default().attempts += 1,
            _ => {}
        }
    }
    by_id
}

/// Returns the number of set-ups that coincided with a termination of this style: they were sent at most half a second before
/// SIGTERM, and not later than clients may send after it.
pub fn count_at_terminations(events: &[Event], style: RestartStyle) -> usize {
    const BEFORE_US: u64 = 500_000;
    let terminations = Terminations::of(events);
    let coincides = |(id, history): &(&u64, &SetUpHistory)| {
        let termination =
            terminations.at(node_of(**id), history.sent_at).filter(|termination| termination.style == style);
        termination.is_some_and(|termination| {
            let (earliest, latest) = (termination.at, termination.at + SET_UPS_FOR_US);
            history.sent_at + BEFORE_US >= earliest && history.sent_at <= latest
        })
    };
    histories(events).iter().filter(coincides).count()
}

/// Number of served set-ups among those whose clients did not depart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedCount {
    pub served: usize,
    pub total: usize,
}

/// Counts the set-ups that were sent at or after this time.
pub fn count_served(events: &[Event], from: u64) -> ServedCount {
    let histories = histories(events);
    let stayed = histories.values().filter(|history| history.sent_at >= from.max(1) && !history.departed);
    let is_served =
        |history: &&SetUpHistory| history.answers.iter().any(|answer| answer.served && answer.correct);
    ServedCount { served: stayed.clone().filter(is_served).count(), total: stayed.count() }
}

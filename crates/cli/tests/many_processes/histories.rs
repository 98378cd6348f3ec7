//! What the events tell of each set-up and of each termination of a front node.

use std::collections::BTreeMap;

use crate::behavior::node_of;
use crate::invariants::{CROSSING_WINDOW_US, NEW_CONNECTIONS_FOR_US, SET_UPS_FOR_US};
use crate::recorder::{Event, EventKind, RestartStyle};

/// A front node was sent SIGTERM.
#[derive(Debug, Clone, Copy)]
pub struct Termination {
    pub at: u64,
    /// The largest number while it has not exited.
    pub exited_at: u64,
    pub style: RestartStyle,
}

/// The terminations of each front node, in order.
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

    /// The termination that this moment falls into, or that comes next.
    pub fn at(&self, node: usize, at: u64) -> Option<Termination> {
        let all = self.0.get(&node)?;
        all.iter().copied().find(|t| at <= t.exited_at.saturating_add(CROSSING_WINDOW_US))
    }

    /// The last termination before this moment.
    pub fn last_before(&self, node: usize, at: u64) -> Option<Termination> {
        self.0.get(&node)?.iter().rev().copied().find(|t| t.at <= at)
    }
}

/// An answer that a client received.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub served: bool,
    pub correct: bool,
}

/// What became of a set-up.
#[derive(Debug, Default)]
pub struct SetUpHistory {
    pub connection: u64,
    /// 0: no client sent it.
    pub sent_at: u64,
    pub retry_of: Option<u64>,
    pub answers: Vec<Answer>,
    pub departed: bool,
    pub attempts: usize,
}

impl SetUpHistory {
    /// Whether it was sent later than clients send at a planned restart, and so is owed nothing.
    pub fn is_late_for(&self, termination: Termination, opened_at: Option<u64>) -> bool {
        let on_late_connection = opened_at.is_some_and(|at| at > termination.at + NEW_CONNECTIONS_FOR_US);
        self.sent_at > termination.at + SET_UPS_FOR_US || on_late_connection
    }
}

/// The histories of all set-ups by id.
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

/// How many set-ups met the termination of a process that was restarted so: sent after SIGTERM or up to half a second
/// before it, and not later than clients send.
pub fn count_at_terminations(events: &[Event], style: RestartStyle) -> usize {
    const BEFORE_US: u64 = 500_000;
    let terminations = Terminations::of(events);
    let met = |(id, history): &(&u64, &SetUpHistory)| {
        let termination = terminations.at(node_of(**id), history.sent_at).filter(|t| t.style == style);
        termination
            .is_some_and(|t| history.sent_at + BEFORE_US >= t.at && history.sent_at <= t.at + SET_UPS_FOR_US)
    };
    histories(events).iter().filter(met).count()
}

/// How many set-ups of clients that stayed were served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedCount {
    pub served: usize,
    pub total: usize,
}

/// Counts the set-ups that were sent from a moment on.
pub fn count_served(events: &[Event], from: u64) -> ServedCount {
    let histories = histories(events);
    let stayed = histories.values().filter(|history| history.sent_at >= from.max(1) && !history.departed);
    let is_served = |history: &&SetUpHistory| history.answers.iter().any(|a| a.served && a.correct);
    ServedCount { served: stayed.clone().filter(is_served).count(), total: stayed.count() }
}

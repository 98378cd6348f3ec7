//! Invariants: each function checks the events and returns descriptions of the violations.

use std::collections::{BTreeMap, BTreeSet};

use crate::attempts::Attempts;
use crate::behavior::node_of;
use crate::histories::{SetUpHistory, Termination, Terminations, count_served, histories};
use crate::recorder::{CloseKind, Event, EventKind, RestartStyle};

/// Microseconds per millisecond.
const MS: u64 = 1_000;
/// Time between a set-up and a close within which the client sends the set-up once more: 50 ms by the protocol's rules, and the
/// time that a busy machine needs to notice the close.
pub const CROSSING_WINDOW_US: u64 = (50 + 150) * MS;
/// Time after a client's departure within which an attempt may begin: 0.1 s, 50 ms for sockets and 0.1 s for a busy machine. In
/// scenarios that force the order, the cause of an attempt follows the departure by 0.3 s, or 0.5 s with a stopped process.
pub const DEPARTURE_GRACE_US: u64 = (100 + 50 + 100) * MS;
/// Maximum extension of `DEPARTURE_GRACE_US` by the measured scheduling delay of the fakes' threads.
const MAX_SCHEDULING_ALLOWANCE_US: u64 = 250 * MS;
/// Time after SIGTERM during which clients open new connections.
pub const NEW_CONNECTIONS_FOR_US: u64 = 400 * MS;
/// Time after SIGTERM during which clients send set-ups on open connections.
pub const SET_UPS_FOR_US: u64 = 600 * MS;
/// Time within which a restarted process must be ready.
pub const READY_WITHIN_US: u64 = 10_000 * MS;
/// Minimum time that a process has to exit after SIGTERM. The time is the longest deadline if that is longer, plus
/// `EXIT_MARGIN_US`.
const MIN_EXIT_TIME_US: u64 = 3_000 * MS;
/// Time that a process has to exit in addition to `MIN_EXIT_TIME_US` or the longest deadline.
const EXIT_MARGIN_US: u64 = 700 * MS;
/// Number of steps of an exit, each of which may be late by the scheduling delay.
const EXIT_STEPS: u64 = 10;

fn earliest(events: &[Event], mut wanted: impl FnMut(&EventKind) -> bool) -> Option<u64> {
    events.iter().filter(|event| wanted(&event.kind)).map(|event| event.at).min()
}

/// Close of a client's connection by the front node.
#[derive(Debug, Clone, Copy)]
struct Close {
    at: u64,
    kind: CloseKind,
}

/// Times at which clients' connections were opened and closed.
#[derive(Default)]
struct ClientConnections {
    opened_at: BTreeMap<u64, u64>,
    closed: BTreeMap<u64, Close>,
}

impl ClientConnections {
    fn of(events: &[Event]) -> ClientConnections {
        let mut all = ClientConnections::default();
        for event in events {
            match event.kind {
                EventKind::ClientConnected { connection, .. } => {
                    all.opened_at.insert(connection, event.at);
                }
                EventKind::ConnectionClosed { connection, kind } => {
                    all.closed.insert(connection, Close { at: event.at, kind });
                }
                _ => {}
            }
        }
        all
    }
}

/// Checks that every set-up whose client stayed has one answer, or crossed a close and was sent once more. Considers set-ups whose
/// front node was next restarted in this style, or those whose front node kept running if `style` is `None`.
pub fn unanswered(events: &[Event], style: Option<RestartStyle>) -> Vec<String> {
    let terminations = Terminations::of(events);
    let connections = ClientConnections::of(events);
    let histories = histories(events);
    let mut retries: BTreeMap<u64, usize> = BTreeMap::new();
    for id in histories.values().filter_map(|history| history.retry_of) {
        *retries.entry(id).or_default() += 1;
    }
    let mut violations = Vec::new();
    for (id, history) in &histories {
        let termination = terminations.at(node_of(*id), history.sent_at);
        if termination.map(|termination| termination.style) != style {
            continue;
        }
        let retries = retries.get(id).copied().unwrap_or(0);
        for violation in violations_of(history, termination, &connections, retries) {
            violations.push(format!("{id:016x} sent at {}: {violation}", history.sent_at));
        }
    }
    violations
}

fn violations_of(
    history: &SetUpHistory,
    termination: Option<Termination>,
    connections: &ClientConnections,
    retries: usize,
) -> Vec<String> {
    let mut violations = Vec::new();
    if history.sent_at == 0 {
        if history.attempts > 0 && !history.departed {
            violations.push("received by a media server, but sent by no client".into());
        }
        return violations;
    }
    if history.answers.len() > 1 {
        violations.push(format!("{} answers", history.answers.len()));
    }
    if history.answers.iter().any(|answer| !answer.correct) {
        violations.push("served with an answer that no media server gave for it".into());
    }
    let opened_at = connections.opened_at.get(&history.connection).copied();
    let is_late = termination.is_some_and(|termination| history.is_late_for(termination, opened_at));
    if !history.answers.is_empty() || history.departed || is_late {
        return violations;
    }
    let Some(close) = connections.closed.get(&history.connection) else {
        violations.push("no answer".into());
        return violations;
    };
    let crossed = close.at <= history.sent_at + CROSSING_WINDOW_US;
    let is_retry = history.retry_of.is_some();
    if !crossed || history.attempts > 0 || is_retry || retries != 1 {
        violations.push(format!(
            "no answer but {:?} at {}, with {} attempts, {retries} retries, itself a retry: {is_retry}",
            close.kind, close.at, history.attempts
        ));
    }
    violations
}

/// Returns the set-up that an event of a media server refers to.
fn attempted_id(kind: &EventKind) -> Option<u64> {
    match kind {
        EventKind::AttemptReceived { id, .. }
        | EventKind::AttemptEnded { id, .. }
        | EventKind::AttemptAbandoned { id, .. } => Some(*id),
        _ => None,
    }
}

/// Checks that no two attempts of one session overlap.
pub fn overlapping_attempts(attempts: &Attempts, events: &[Event]) -> Vec<String> {
    let mut violations = Vec::new();
    for (id, of_session) in attempts {
        let pairs = of_session
            .iter()
            .enumerate()
            .flat_map(|(index, one)| of_session[..index].iter().map(move |other| (other, one)));
        for (one, other) in pairs.filter(|(one, other)| one.overlaps(other)) {
            let of_id: Vec<&Event> =
                events.iter().filter(|event| attempted_id(&event.kind) == Some(*id)).collect();
            violations.push(format!("{id:016x}: overlapping attempts: {one:?} and {other:?} of {of_id:?}"));
        }
    }
    violations
}

/// Checks that no attempt begins after its client departed. `max_delay` is the maximum scheduling delay of the fakes' threads.
pub fn attempts_after_departure(events: &[Event], max_delay: u64) -> Vec<String> {
    let departures: BTreeMap<u64, u64> = events
        .iter()
        .filter_map(|event| match event.kind {
            EventKind::ClientDeparted { id } => Some((id, event.at)),
            _ => None,
        })
        .collect();
    let grace = DEPARTURE_GRACE_US + max_delay.min(MAX_SCHEDULING_ALLOWANCE_US);
    let late = events.iter().filter_map(|event| {
        let EventKind::AttemptReceived { server, id } = event.kind else { return None };
        let after = event.at.saturating_sub(*departures.get(&id)?);
        (after > grace)
            .then(|| format!("{id:016x}: an attempt at {server} {after} us after its client departed"))
    });
    late.collect()
}

/// Returns the maximum number of set-ups that a media server may get within a window while it warms up: its allowance plus a
/// margin for random variation.
pub fn slow_start_bound(allowance: f64) -> usize {
    let bound = allowance + 2.0 * allowance.sqrt() + 2.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "allowances are small and positive"
    )]
    let bound = bound as usize;
    bound
}

/// Returns the maximum number of set-ups that a media server got within any window after its start was published.
pub fn max_within(events: &[Event], server: usize, published_at: u64, window: u64) -> usize {
    let at_server =
        |kind: &EventKind| matches!(kind, EventKind::AttemptReceived { server: s, .. } if *s == server);
    let mut times: Vec<u64> = events
        .iter()
        .filter(|event| event.at >= published_at && at_server(&event.kind))
        .map(|event| event.at)
        .collect();
    times.sort_unstable();
    let within_from =
        |first: usize| times[first..].iter().take_while(|time| **time - times[first] <= window).count();
    (0..times.len()).map(within_from).max().unwrap_or(0)
}

/// Checks that a media server that warms up gets no more than its allowance from all front nodes together.
pub fn slow_start_exceeded(
    events: &[Event],
    server: usize,
    published_at: u64,
    window: u64,
    allowance: f64,
) -> Vec<String> {
    let max = max_within(events, server, published_at, window);
    let bound = slow_start_bound(allowance);
    if max > bound {
        return vec![format!("{max} set-ups within {window} us, {bound} at most")];
    }
    Vec::new()
}

/// Checks that each process exits with code 0 in time after SIGTERM. `max_delay` is the maximum scheduling delay of the fakes'
/// threads.
pub fn failed_exits(events: &[Event], max_deadline: u64, max_delay: u64) -> Vec<String> {
    let within = max_deadline.max(MIN_EXIT_TIME_US) + EXIT_MARGIN_US + EXIT_STEPS * max_delay;
    let mut violations = Vec::new();
    for (index, event) in events.iter().enumerate() {
        let EventKind::Terminated { node, style } = event.kind else { continue };
        let exit = events[index..].iter().find_map(|later| match later.kind {
            EventKind::ProcessExited { node: of, code } if of == node => Some((later.at - event.at, code)),
            _ => None,
        });
        match exit {
            Some((after, Some(0))) if after < within => {}
            other => violations.push(format!("node {node}, {style:?}: exit (after us, code): {other:?}")),
        }
    }
    violations
}

/// Checks that nine in ten processes pass a test in time after their start.
pub fn late_ready(events: &[Event]) -> Vec<String> {
    let mut times = Vec::new();
    for (index, event) in events.iter().enumerate() {
        let EventKind::ProcessStarted { node } = event.kind else { continue };
        let passed_at = earliest(&events[index..], |kind| *kind == EventKind::TestPassed { node });
        times.push((passed_at.map_or(u64::MAX, |at| at - event.at), node));
    }
    let slow: Vec<_> = times.iter().filter(|(after, _)| *after > READY_WITHIN_US).collect();
    if slow.len() * 10 > times.len() { vec![format!("not ready in time: {slow:?}")] } else { Vec::new() }
}

/// Last use of a client's connection.
struct LastUse {
    node: usize,
    at: u64,
}

/// Checks that no connection is reset unless its client has just sent something. A reset discards data that was not read yet.
pub fn connection_resets(events: &[Event], style: Option<RestartStyle>) -> Vec<String> {
    let terminations = Terminations::of(events);
    let mut last_uses: BTreeMap<u64, LastUse> = BTreeMap::new();
    let mut used_late: BTreeSet<u64> = BTreeSet::new();
    let mut violations = Vec::new();
    let mut by_time: Vec<&Event> = events.iter().collect();
    by_time.sort_by_key(|event| event.at);
    for event in by_time {
        match event.kind {
            EventKind::ClientConnected { node, connection } => {
                last_uses.insert(connection, LastUse { node, at: event.at });
            }
            EventKind::SetUpSent { connection, id, .. } => {
                let node = node_of(id);
                last_uses.insert(connection, LastUse { node, at: event.at });
                if terminations
                    .at(node, event.at)
                    .is_some_and(|termination| event.at > termination.at + SET_UPS_FOR_US)
                {
                    used_late.insert(connection);
                }
            }
            EventKind::ConnectionClosed { connection, kind: CloseKind::Rst } => {
                let Some(LastUse { node, at }) = last_uses.get(&connection) else { continue };
                let is_of_style = terminations.at(*node, *at).map(|termination| termination.style) == style;
                if is_of_style && event.at > at + CROSSING_WINDOW_US && !used_late.contains(&connection) {
                    let reset_at = event.at;
                    violations.push(format!(
                        "connection {connection} to {node}: reset at {reset_at}, last used at {at}"
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that a front node refuses no connection shortly after SIGTERM.
pub fn refused_connections(events: &[Event]) -> Vec<String> {
    let terminations = Terminations::of(events);
    let refused = events.iter().filter_map(|event| {
        let EventKind::ConnectionRefused { node } = event.kind else { return None };
        let after = event.at.saturating_sub(terminations.last_before(node, event.at)?.at);
        (after <= NEW_CONNECTIONS_FOR_US).then(|| format!("node {node}: refused {after} us after SIGTERM"))
    });
    refused.collect()
}

/// Checks that nine in ten of the set-ups that were sent at or after a time are served.
pub fn outage(events: &[Event], from: u64) -> Vec<String> {
    let count = count_served(events, from);
    if count.total > 0 && count.served * 10 >= count.total * 9 {
        return Vec::new();
    }
    vec![format!("{} of {} served", count.served, count.total)]
}

//! The invariants: each function reads the events and gives its violations, in words.

use std::collections::{BTreeMap, BTreeSet};

use crate::attempts::Attempts;
use crate::behavior::node_of;
use crate::histories::{SetUpHistory, Termination, Terminations, count_served, histories};
use crate::recorder::{CloseKind, Event, EventKind, RestartStyle};

const MS: u64 = 1_000;
/// A set-up that crosses a close within this is sent once more: 50 ms by the page, and what a busy machine needs to see
/// the close.
pub const CROSSING_WINDOW_US: u64 = (50 + 150) * MS;
/// An attempt may begin this long after its client departed: 0.1 s, 50 ms for sockets, 0.1 s for a busy machine. Where the
/// order is forced, what could bring the attempt comes 0.3 s after the departure, and 0.5 s where the process is stopped.
pub const DEPARTURE_GRACE_US: u64 = (100 + 50 + 100) * MS;
/// ... and so much longer at most, where the fakes' threads are seen to run late.
const MAX_LATENESS_US: u64 = 250 * MS;
/// For so long after SIGTERM clients open new connections.
pub const NEW_CONNECTIONS_FOR_US: u64 = 400 * MS;
/// For so long after SIGTERM clients send set-ups on open connections.
pub const SET_UPS_FOR_US: u64 = 600 * MS;
/// A restarted process is ready within this.
pub const READY_WITHIN_US: u64 = 10_000 * MS;
/// A process is killed if it has not exited this long after SIGTERM, or after the longest deadline if that is longer ...
const MIN_EXIT_TIME_US: u64 = 3_000 * MS;
/// ... and this margin.
const EXIT_MARGIN_US: u64 = 700 * MS;
/// The program may be late at each of so many steps to its end.
const EXIT_STEPS: u64 = 10;

fn earliest(events: &[Event], mut wanted: impl FnMut(&EventKind) -> bool) -> Option<u64> {
    events.iter().filter(|event| wanted(&event.kind)).map(|event| event.at).min()
}

/// How a client's connection was closed by the front node.
#[derive(Debug, Clone, Copy)]
struct Close {
    at: u64,
    kind: CloseKind,
}

/// When clients' connections were opened and closed.
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

/// Every set-up sent, whose client stays, has one answer, or crossed a close and was sent once more. `style`: those alone
/// whose front node was next restarted so; none: those of processes that ran on.
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
        if termination.map(|t| t.style) != style {
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
            violations.push("no client sent it, and a media server got it".into());
        }
        return violations;
    }
    if history.answers.len() > 1 {
        violations.push(format!("{} answers", history.answers.len()));
    }
    if history.answers.iter().any(|answer| !answer.correct) {
        violations.push("served with what no media server made for it".into());
    }
    let opened_at = connections.opened_at.get(&history.connection).copied();
    let is_late = termination.is_some_and(|t| history.is_late_for(t, opened_at));
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

/// The set-up that an event of a media server is about.
fn attempted_id(kind: &EventKind) -> Option<u64> {
    match kind {
        EventKind::AttemptReceived { id, .. }
        | EventKind::AttemptEnded { id, .. }
        | EventKind::AttemptAbandoned { id, .. } => Some(*id),
        _ => None,
    }
}

/// Never two attempts out at once for one session.
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
            violations.push(format!("{id:016x}: two attempts out: {one:?} and {other:?} of {of_id:?}"));
        }
    }
    violations
}

/// No attempt begins after its client departed. `max_delay`: the longest that a thread of the fakes waited to be scheduled.
pub fn attempts_after_departure(events: &[Event], max_delay: u64) -> Vec<String> {
    let departures: BTreeMap<u64, u64> = events
        .iter()
        .filter_map(|event| match event.kind {
            EventKind::ClientDeparted { id } => Some((id, event.at)),
            _ => None,
        })
        .collect();
    let grace = DEPARTURE_GRACE_US + max_delay.min(MAX_LATENESS_US);
    let late = events.iter().filter_map(|event| {
        let EventKind::AttemptReceived { server, id } = event.kind else { return None };
        let after = event.at.saturating_sub(*departures.get(&id)?);
        (after > grace)
            .then(|| format!("{id:016x}: an attempt at {server} {after} us after its client departed"))
    });
    late.collect()
}

/// How many set-ups a media server may get within a window while it warms up: its allowance, and what is put down to
/// chance.
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

/// The most set-ups that a media server got within any window, from the moment on at which its start was published.
pub fn max_within(events: &[Event], server: usize, published_at: u64, window: u64) -> usize {
    let at_server =
        |kind: &EventKind| matches!(kind, EventKind::AttemptReceived { server: s, .. } if *s == server);
    let mut times: Vec<u64> = events
        .iter()
        .filter(|event| event.at >= published_at && at_server(&event.kind))
        .map(|event| event.at)
        .collect();
    times.sort_unstable();
    let within_from = |i: usize| times[i..].iter().take_while(|time| **time - times[i] <= window).count();
    (0..times.len()).map(within_from).max().unwrap_or(0)
}

/// A media server that warms up gets no more than its allowance from all front nodes together.
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

/// Each process that is sent SIGTERM exits by itself, with code 0, before it would be killed. `max_delay`: the longest that
/// a thread of the fakes waited to be scheduled.
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

/// Nine in ten processes pass a test in time after their start.
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

/// What a client's connection was last used for.
struct LastUse {
    node: usize,
    at: u64,
}

/// A connection of a client that has sent nothing just now is never reset: a reset destroys what was not read yet.
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
                if terminations.at(node, event.at).is_some_and(|t| event.at > t.at + SET_UPS_FOR_US) {
                    used_late.insert(connection);
                }
            }
            EventKind::ConnectionClosed { connection, kind: CloseKind::Rst } => {
                let Some(LastUse { node, at }) = last_uses.get(&connection) else { continue };
                let is_of_style = terminations.at(*node, *at).map(|t| t.style) == style;
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

/// A front node that runs, or was sent SIGTERM a moment ago, refuses no connection.
pub fn refused_connections(events: &[Event]) -> Vec<String> {
    let terminations = Terminations::of(events);
    let refused = events.iter().filter_map(|event| {
        let EventKind::ConnectionRefused { node } = event.kind else { return None };
        let after = event.at.saturating_sub(terminations.last_before(node, event.at)?.at);
        (after <= NEW_CONNECTIONS_FOR_US).then(|| format!("node {node}: refused {after} us after SIGTERM"))
    });
    refused.collect()
}

/// Of the set-ups sent from a moment on, nine in ten are served.
pub fn outage(events: &[Event], from: u64) -> Vec<String> {
    let count = count_served(events, from);
    if count.total > 0 && count.served * 10 >= count.total * 9 {
        return Vec::new();
    }
    vec![format!("{} of {} served", count.served, count.total)]
}

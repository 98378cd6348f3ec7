//! Twenty front node processes between fakes: rolling restarts with set-ups in flight, moved discovery, closed connections,
//! departing clients, a media server that warms up, and an empty endpoint list. Invariants are checked only on what crossed the
//! sockets. Scenarios run one after another. Several tests check the events of the first one.

#[path = "../support/mod.rs"]
mod support;

mod attempts;
mod behavior;
mod clients;
mod event_bus;
mod fleet;
mod histories;
mod invariant_tests;
mod invariants;
mod load;
mod media_server;
mod overlap_tests;
mod recorder;
mod scenarios;
mod sockets;

use std::sync::OnceLock;

use behavior::{Behavior, behavior_of};
use fleet::SlowStart;
use histories::{count_at_terminations, count_served};
use recorder::{Event, EventKind, RestartStyle};
use scenarios::{DepartureRun, LONG_SLOW_START, RestartRun, SLOW_START};

fn restarts() -> &'static RestartRun {
    static RUN: OnceLock<RestartRun> = OnceLock::new();
    RUN.get_or_init(scenarios::run_restarts)
}

#[track_caller]
fn assert_none(violations: Vec<String>) {
    let logs = &restarts().logs;
    assert!(violations.is_empty(), "{} violations:\n{}\n{logs}", violations.len(), violations.join("\n"));
}

fn count(events: &[Event], wanted: impl Fn(&EventKind) -> bool) -> usize {
    events.iter().filter(|event| wanted(&event.kind)).count()
}

/// Asserts that enough set-ups coincided with restarts of this style, and that none of them is lost.
#[track_caller]
fn assert_none_lost_at(style: RestartStyle, restart_count: usize) {
    let events = &restarts().events;
    let is_of_style =
        |kind: &EventKind| matches!(kind, EventKind::Terminated { style: s, .. } if *s == style);
    assert_eq!(count(events, is_of_style), restart_count);
    let coinciding = count_at_terminations(events, style);
    assert!(coinciding >= 7 * restart_count, "only {coinciding} set-ups coincided with a termination");
    assert_none(invariants::unanswered(events, Some(style)));
}

#[test]
fn set_ups_at_plain_restart_have_one_answer() {
    assert_none_lost_at(RestartStyle::Plain, 10);
}

#[test]
fn set_ups_in_backlog_at_sigterm_have_one_answer() {
    assert_none_lost_at(RestartStyle::StoppedBeforeTerm, 5);
}

#[test]
fn set_ups_in_backlog_at_end_of_drain_have_one_answer() {
    assert_none_lost_at(RestartStyle::StoppedWhileDraining, 5);
}

#[test]
fn set_ups_without_restart_have_one_answer() {
    let events = &restarts().events;
    let count = count_served(events, 0);
    assert!(count.total > 1_000 && count.served * 2 > count.total, "{count:?}");
    assert_none(invariants::unanswered(events, None));
}

#[test]
fn attempts_of_one_session_never_overlap() {
    let run = restarts();
    let with_retries = run.attempts.values().filter(|of_session| of_session.len() > 1).count();
    assert!(with_retries >= 100, "only {with_retries} sessions had a second attempt, too few for the check");
    assert_none(invariants::overlapping_attempts(&run.attempts, &run.events));
}

#[test]
fn no_attempt_begins_after_client_departed() {
    let run = restarts();
    let is_departure_attempt = |kind: &EventKind| match kind {
        EventKind::AttemptReceived { id, .. } => behavior_of(*id) == Behavior::ErrorAfterDeparture,
        _ => false,
    };
    let received = count(&run.events, is_departure_attempt);
    assert!(received >= 40, "only {received} set-ups reached a media server");
    assert_none(invariants::attempts_after_departure(&run.events, run.max_delay));
}

#[test]
fn exiting_process_resets_no_connection() {
    let events = &restarts().events;
    let styles = [None, Some(RestartStyle::Plain), Some(RestartStyle::StoppedBeforeTerm)];
    assert_none(styles.iter().flat_map(|style| invariants::connection_resets(events, *style)).collect());
}

#[test]
fn end_of_drain_resets_no_connection() {
    assert_none(invariants::connection_resets(&restarts().events, Some(RestartStyle::StoppedWhileDraining)));
}

#[test]
fn process_keeps_listening_after_sigterm() {
    assert_none(invariants::refused_connections(&restarts().events));
}

#[test]
fn processes_exit_with_success_in_time_after_sigterm() {
    let run = restarts();
    assert_none(invariants::failed_exits(&run.events, fleet::MAX_DEADLINE_US, run.max_delay));
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_in_time() {
    let events = &restarts().events;
    let started = count(events, |kind| matches!(kind, EventKind::ProcessStarted { .. }));
    assert_eq!(started, 2 * fleet::NODES);
    assert_none(invariants::late_ready(events));
}

#[test]
fn front_nodes_follow_discovery_to_another_bus() {
    let run = restarts();
    let requests = run.moved_requests;
    assert!(requests >= fleet::NODES, "{requests} requests at the second event bus\n{}", run.logs);
    let late = run.late_server;
    let is_at_late_server =
        |kind: &EventKind| matches!(kind, EventKind::AttemptReceived { server, .. } if *server == late);
    let attempts = count(&run.events, is_at_late_server);
    assert!(attempts > 0, "the media server that only this bus lists got no attempt\n{}", run.logs);
}

/// Returns the events of set-ups with this behavior in the scenario with stopped processes.
fn departures_while_stopped(behavior: Behavior) -> DepartureRun {
    static RUN: OnceLock<DepartureRun> = OnceLock::new();
    let run = RUN.get_or_init(scenarios::run_departures_while_stopped);
    let is_wanted = |event: &&Event| match event.kind {
        EventKind::SetUpSent { id, .. }
        | EventKind::ClientDeparted { id }
        | EventKind::AttemptReceived { id, .. } => behavior_of(id) == behavior,
        _ => false,
    };
    DepartureRun { events: run.events.iter().filter(is_wanted).cloned().collect(), max_delay: run.max_delay }
}

#[test]
fn set_up_read_after_departure_is_not_forwarded() {
    let run = departures_while_stopped(Behavior::Accept);
    let departed = count(&run.events, |kind| matches!(kind, EventKind::ClientDeparted { .. }));
    assert!(departed >= 100, "{departed} departed");
    let violations = invariants::attempts_after_departure(&run.events, run.max_delay);
    let (number, list) = (violations.len(), violations.join("\n"));
    assert!(violations.is_empty(), "{number} violations of {departed}:\n{list}");
}

#[test]
fn error_read_with_departure_causes_no_retry() {
    let run = departures_while_stopped(Behavior::ErrorAfterDeparture);
    let received = count(&run.events, |kind| matches!(kind, EventKind::AttemptReceived { .. }));
    assert!(received >= 60, "only {received} reached a media server");
    let violations = invariants::attempts_after_departure(&run.events, run.max_delay);
    let (number, list) = (violations.len(), violations.join("\n"));
    assert!(violations.is_empty(), "{number} violations of {received}:\n{list}");
}

fn assert_slow_start_holds(slow_start: SlowStart, restarted: bool) {
    let run = scenarios::run_slow_start(slow_start, restarted);
    let (window, allowance) = (slow_start.window_us, slow_start.allowance());
    let sent = count(&run.events, |kind| matches!(kind, EventKind::SetUpSent { .. }));
    assert!(sent as f64 > 8.0 * allowance, "only {sent} were sent");
    let max = invariants::max_within(&run.events, run.server, run.published_at, window);
    assert!(max > 20, "only {max} reached the media server, too few for the check");
    let violations =
        invariants::slow_start_exceeded(&run.events, run.server, run.published_at, window, allowance);
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn warming_media_server_gets_no_more_than_allowance() {
    assert_slow_start_holds(SLOW_START, false);
}

#[test]
fn warming_media_server_gets_no_more_than_allowance_during_restart() {
    assert_slow_start_holds(LONG_SLOW_START, true);
}

#[test]
fn empty_snapshot_does_not_stop_front_nodes() {
    const SETTLED_US: u64 = 500_000;
    let run = scenarios::run_empty_snapshot();
    let before: Vec<Event> = run.events.iter().filter(|event| event.at < run.published_at).cloned().collect();
    let count = count_served(&before, 0);
    assert!(count.served > 100 && count.served * 10 >= count.total * 8, "{count:?} before");
    let violations = invariants::outage(&run.events, run.published_at + SETTLED_US);
    assert!(violations.is_empty(), "{violations:?}");
}

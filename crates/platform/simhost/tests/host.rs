//! Tests of the host: server lists are resolved in order, and instances are kept apart and forgotten when they stop.

use beechloft_simhost::host::Host;
use beechloft_simhost::wire::{
    Action, Batch, Event, InstanceAction, InstanceEvent, ListEntry, SessionRequest,
};

const SETTINGS: &str = r#"{
    "caps": {"cancel": true, "max_attempts": 3, "probes": false, "retry_after": false},
    "classes": [{"aim_us": 800000, "deadline_us": 4000000, "effect": "repeatable", "points": 1.0}],
    "discovery": "push", "group_size": 2, "my_number": 0,
    "family_info": {"all_links_kb": 20000.0, "link_unit_kb": 10000.0, "rack_link_kb": 20000.0,
        "floor_by_class": [0], "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 0,
        "kind_streams": [20], "places": 2, "shelves": 1, "rates_kb": [200.0, 400.0],
        "worth_by_rung": [0.4, 1.0]},
    "reporting": {"how": "piggyback", "names": ["x0"]},
    "rules": {"cold_from": 0.4, "cold_us": 12000000, "fall_multiple": 3.0, "fall_us": 2000000},
    "weights": "silent"
}"#;

fn instance_started() -> Event {
    Event::InstanceStarted { seed: 9, settings: SETTINGS.into() }
}

/// Returns list 0 with one ready server.
fn server_list(server: u32) -> Event {
    let entry =
        ListEntry { state: 2, cell: 0, started_at_us: 0, server_type: 0, zone: 0, server, weight: 1.0 };
    Event::ServerList { list: 0, entries: vec![entry] }
}

/// Returns an update with list 0 as the cached list.
fn cached_list() -> Event {
    Event::EndpointsUpdated { kind: 2, list: 0 }
}

fn session_requested(session: u64) -> Event {
    let request = SessionRequest {
        session,
        cell_count: 2.0,
        title: 5,
        class: 0,
        first_cell: 0.0,
        viewer: 6,
        expected_duration_us: 0,
        max_rung: 1.0,
        deadline_us: 54_000_000,
        tenant: 0,
        flags: 0,
    };
    Event::SessionRequested { request }
}

fn handle(host: &mut Host, now_us: u64, events: Vec<(u16, Event)>) -> Vec<InstanceAction> {
    let events = events.into_iter().map(|(instance, event)| InstanceEvent { instance, event }).collect();
    host.handle(Batch { now_us, events }).expect("a batch that can be handled")
}

/// Returns the instance, session and server of each started attempt.
fn started_attempts(reply: &[InstanceAction]) -> Vec<(u16, u64, u32)> {
    let attempt = |record: &InstanceAction| match record.action {
        Action::StartAttempt { session, server, .. } => Some((record.instance, session, server)),
        _ => None,
    };
    reply.iter().filter_map(attempt).collect()
}

#[test]
fn resolves_reused_list_numbers_in_order() {
    let mut host = Host::default();
    handle(
        &mut host,
        50_000_000,
        vec![
            (0, server_list(1)),
            (3, instance_started()),
            (3, cached_list()),
            (0, server_list(2)),
            (4, instance_started()),
            (4, cached_list()),
        ],
    );
    let reply = handle(&mut host, 50_010_000, vec![(3, session_requested(10)), (4, session_requested(11))]);
    assert_eq!(started_attempts(&reply), [(3, 10, 1), (4, 11, 2)]);
}

#[test]
fn restarted_instance_has_no_earlier_state() {
    let mut host = Host::default();
    let before = handle(
        &mut host,
        50_000_000,
        vec![(0, server_list(1)), (3, instance_started()), (3, cached_list()), (3, session_requested(10))],
    );
    assert_eq!(started_attempts(&before).len(), 1);
    let after = handle(
        &mut host,
        50_010_000,
        vec![
            (3, Event::InstanceStopped),
            (0, server_list(2)),
            (3, instance_started()),
            (3, cached_list()),
            (3, session_requested(20)),
        ],
    );
    assert_eq!(started_attempts(&after), [(3, 20, 2)], "only the new list is used");
    let late = Event::AttemptEnded {
        session: 10,
        server: 1,
        outcome: 1,
        attempt: 0,
        is_final: false,
        elapsed_us: 5,
        load: vec![],
    };
    let reply = handle(&mut host, 50_020_000, vec![(3, late)]);
    assert!(reply.is_empty(), "the session of the stopped instance is unknown: {reply:?}");
}

#[test]
fn ignores_events_for_stopped_instances() {
    let mut host = Host::default();
    let reply = handle(&mut host, 1, vec![(7, session_requested(1)), (7, Event::InstanceStopped)]);
    assert!(reply.is_empty());
}

#[test]
fn ignores_invalid_feedback_values() {
    let mut host = Host::default();
    let feedback = |value| (3, Event::Feedback { session: 1, server: 1, kind: 3, value });
    let mut events = vec![(0, server_list(1)), (3, instance_started()), (3, cached_list())];
    events.extend([f32::NAN, f32::INFINITY, -1.0].map(feedback));
    events.push((3, session_requested(10)));
    let reply = handle(&mut host, 50_000_000, events);
    assert_eq!(started_attempts(&reply), [(3, 10, 1)]);
}

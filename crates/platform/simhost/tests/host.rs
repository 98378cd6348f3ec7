//! Hosting: lists resolved in order, killed instances forgotten, instances kept apart.

use beechloft_simhost::host::Host;
use beechloft_simhost::wire::{Action, Batch, Entry, Event, Visit};

const SETUP: &str = r#"{
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

fn born() -> Event {
    Event::Born { prng: 9, setup: SETUP.into() }
}

fn table(server: u32) -> Event {
    let entry = Entry { status: 2, place: 0, up_since_us: 0, flavor: 0, site: 0, server, size: 1.0 };
    Event::Table { roster_id: 0, records: vec![entry] }
}

fn list(form: u8) -> Event {
    Event::BackendsChanged { form, roster_id: 0 }
}

fn knock(txn: u64) -> Event {
    Event::Knock {
        visit: Visit {
            txn,
            holders: 2.0,
            show: 5,
            qos: 0,
            home: 0.0,
            item: 6,
            hint_us: 0,
            top: 1.0,
            drop_dead_us: 54_000_000,
            user_group: 0,
            flags: 0,
        },
    }
}

fn handle(host: &mut Host, now: u64, events: Vec<(u16, Event)>) -> Vec<(u16, Action)> {
    host.handle(Batch { now, events }).expect("a batch that can be handled")
}

fn relays(reply: &[(u16, Action)]) -> Vec<(u16, u64, u32)> {
    let relay = |(who, a): &(u16, Action)| match a {
        Action::Relay { txn, server, .. } => Some((*who, *txn, *server)),
        _ => None,
    };
    reply.iter().filter_map(relay).collect()
}

#[test]
fn a_list_number_taken_over_within_a_batch_is_resolved_in_order() {
    let mut host = Host::default();
    handle(
        &mut host,
        50_000_000,
        vec![(0, table(1)), (3, born()), (3, list(2)), (0, table(2)), (4, born()), (4, list(2))],
    );
    let reply = handle(&mut host, 50_010_000, vec![(3, knock(10)), (4, knock(11))]);
    assert_eq!(relays(&reply), [(3, 10, 1), (4, 11, 2)]);
}

#[test]
fn an_instance_killed_and_born_in_one_batch_knows_nothing_of_before() {
    let mut host = Host::default();
    let before =
        handle(&mut host, 50_000_000, vec![(0, table(1)), (3, born()), (3, list(2)), (3, knock(10))]);
    assert_eq!(relays(&before).len(), 1);
    let after = handle(
        &mut host,
        50_010_000,
        vec![(3, Event::Shutdown), (0, table(2)), (3, born()), (3, list(2)), (3, knock(20))],
    );
    assert_eq!(relays(&after), [(3, 20, 2)], "only the new list counts");
    let late = Event::Outcome {
        txn: 10,
        server: 1,
        reason: 1,
        round_no: 0,
        complete: false,
        spent_us: 5,
        pressure: vec![],
    };
    let reply = handle(&mut host, 50_020_000, vec![(3, late)]);
    assert!(reply.is_empty(), "a request of the killed instance is nobody's: {reply:?}");
}

#[test]
fn events_for_an_instance_that_is_gone_are_ignored() {
    let mut host = Host::default();
    let reply = handle(&mut host, 1, vec![(7, knock(1)), (7, Event::Shutdown)]);
    assert!(reply.is_empty());
}

#[test]
fn figures_that_are_no_numbers_are_left_out() {
    let mut host = Host::default();
    let note = |level| (3, Event::Note { txn: 1, server: 1, kind: 3, level });
    let mut events = vec![(0, table(1)), (3, born()), (3, list(2))];
    events.extend([f32::NAN, f32::INFINITY, -1.0].map(note));
    events.push((3, knock(10)));
    let reply = handle(&mut host, 50_000_000, events);
    assert_eq!(relays(&reply), [(3, 10, 1)]);
}

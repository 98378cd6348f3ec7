//! Tests of shortfalls where servers report no load: a shortfall of some servers says nothing about others.
// Counts in these tests are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{CellId, Endpoint, EndpointState, Feedback, LoadReporting, Outcome, Settings};
use support::{Front, endpoint, set_up, settings};

/// Returns one of 300 fronts without load reports. There are 60 servers in 20 racks, and 12 of them play one
/// session of this front each.
fn front_without_reports() -> Front {
    let settings = Settings {
        load_reporting: LoadReporting::Disabled,
        cells: 1,
        racks: 20,
        total_link_kb: None,
        front_count: 300,
        max_streams_by_type: vec![200],
        mean_uplink_kb: Some(30_000.0),
        ..settings()
    };
    let list = (0..60)
        .map(|n| Endpoint { cell: CellId(n as u16), ..endpoint(n, EndpointState::Ready, 0) })
        .collect();
    let mut front = Front::with_list(settings, list);
    (0..12).for_each(|n| front.adopt(1_000 + u64::from(n), n));
    front.tick();
    front
}

/// Requests 40 sessions with ids from `first_id` and returns how many are set up. Each of them ends at once.
fn count_served(front: &mut Front, first_id: u64) -> usize {
    let mut served = 0;
    for id in first_id..first_id + 40 {
        if let Some((server, _)) = set_up(&front.request(id)) {
            front.started(id, server);
            front.ended(id, server, Outcome::Ok, true);
            served += 1;
        }
    }
    served
}

/// Guards against few servers with a shortfall that make all servers without a report count as full. Nearly
/// all sessions would be rejected then, and no set-up would show that the servers have capacity.
#[test]
fn shortfalls_do_not_affect_servers_without_reports() {
    let mut front = front_without_reports();
    let before = count_served(&mut front, 1);
    for n in 0..12 {
        front.feedback(n, Feedback::DeliveredFraction(0.4));
    }
    front.tick();
    assert_eq!((before, count_served(&mut front, 100)), (40, 40));
}

/// Feedback of full delivery takes back an earlier shortfall.
#[test]
fn full_delivery_clears_shortfall() {
    let mut front = front_without_reports();
    for n in 1..60 {
        front.update_endpoint(n, EndpointState::Removed, 0);
    }
    assert_eq!(count_served(&mut front, 1), 40);
    front.feedback(0, Feedback::DeliveredFraction(0.4));
    front.tick();
    assert_eq!(count_served(&mut front, 100), 0, "the server has a shortfall");
    front.feedback(0, Feedback::DeliveredFraction(1.0));
    front.tick();
    assert_eq!(count_served(&mut front, 200), 40);
}

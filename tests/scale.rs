//! A front of a large service: what a decision costs, counted in steps of work, and how many act on one figure.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{
    Action, CellId, Endpoint, EndpointState, Event, Feedback, Outcome, Request, Rung, ServerId, SessionId,
    Settings,
};
use support::{Front, MILLIS, SECONDS, entry, request, set_up, set_ups, settings};

const SERVERS: u32 = 300;
const SESSIONS: u64 = 3_000;

/// A front with 300 servers in 30 racks, all of which hold the title, and thousands of sessions.
fn large_service(fronts: u32) -> Front {
    let set = Settings { cells: SERVERS, racks: 30, front_count: fronts, total_link_kb: None, ..settings() };
    let place = |n: u32| Endpoint { cell: CellId(n as u16), ..entry(n, EndpointState::Ready, 0) };
    let mut front = Front::with_list(set, (0..SERVERS).map(place).collect());
    for id in 0..SESSIONS {
        front.adopt(1_000_000 + id, id as u32 % SERVERS);
    }
    front
}

fn request_held_everywhere(id: u64, now: u64) -> Event {
    Event::Request(Request { cell_count: SERVERS, ..request(id, now) })
}

/// Steps of work that something takes.
fn cost(front: &mut Front, act: impl FnOnce(&mut Front) -> Vec<Action>) -> u64 {
    let before = front.policy.work();
    act(front);
    front.policy.work() - before
}

/// Found on the grown deployments: what a holder costs grew with the number of servers, an outcome with sessions.
#[test]
fn the_work_of_a_decision_is_bounded() {
    for utilization in [0.3, 2.0] {
        let mut front = large_service(250);
        for server in 0..SERVERS {
            front.feedback(server, Feedback::LinkUtilization(utilization));
        }
        front.tick();
        for id in 0..50 {
            let steps = cost(&mut front, |front| front.send(request_held_everywhere(id, front.now)));
            assert!(steps > 0 && steps <= 20 * u64::from(SERVERS), "{steps} steps for a request");
        }
        for id in 0..50 {
            let steps = cost(&mut front, |front| front.ended(1_000_000 + id, id as u32, Outcome::Ok, true));
            assert!((1..=3).contains(&steps), "{steps} steps for an outcome");
        }
    }
}

/// Found on the grown deployments: with 250 fronts a raise came up less often than a session lasts.
#[test]
fn sessions_step_up_at_any_number_of_fronts() {
    for fronts in [2, 250] {
        let mut front = Front::new(Settings { front_count: fronts, ..settings() });
        front.adopt(1, 0);
        let mut ups = 0;
        for _ in 0..60 {
            front.advance(500 * MILLIS);
            front.feedback(0, Feedback::LinkUtilization(0.2));
            front.feedback(0, Feedback::UplinkUtilization(0.2));
            ups += front.tick().iter().filter(|a| matches!(a, Action::SetRung { .. })).count();
        }
        assert!(ups > 0, "{fronts} fronts");
    }
}

/// Found on sockets: one step in a tick takes a minute where a server has a hundred sessions.
#[test]
fn many_small_sessions_of_a_server_step_up_within_seconds() {
    let big = Settings {
        max_streams_by_type: vec![250],
        link_kb_per_weight: Some(200_000.0),
        total_link_kb: Some(800_000.0),
        mean_uplink_kb: Some(500_000.0),
        front_count: 1,
        ..settings()
    };
    let mut front = Front::new(big);
    (1..=100).for_each(|id| front.adopt(id, 0));
    front.advance(10 * SECONDS);
    front.feedback(0, Feedback::LinkUtilization(0.1));
    front.feedback(0, Feedback::UplinkUtilization(0.1));
    let mut most = 0;
    let ups: usize = (0..20)
        .map(|_| {
            front.advance(500 * MILLIS);
            let ups = front.tick().iter().filter(|a| matches!(a, Action::SetRung { .. })).count();
            most = most.max(ups);
            ups
        })
        .sum();
    assert!(ups >= 90, "{ups}");
    assert!(most < 90, "not all at once: {most}");
}

/// Found on the grown deployments: a small part of a relief rounded to nothing at each of many fronts.
#[test]
fn many_fronts_together_relieve_a_full_link_by_about_the_excess() {
    let mut steps = 0;
    for seed in 0..200 {
        let mut front = Front::seeded(Settings { front_count: 200, ..settings() }, seed);
        front.adopt(1, 0);
        front.send(Event::FeedbackReceived {
            session: SessionId(1),
            server: ServerId(0),
            feedback: Feedback::Rung(Rung(3)),
        });
        front.feedback(0, Feedback::LinkUtilization(1.5));
        steps += front.tick().iter().filter(|a| matches!(a, Action::SetRung { .. })).count();
    }
    // Each has 2,000 of 15,000 kB a second and takes its part of 5,500 too many, in steps of 1,000 kB.
    assert!((60..=195).contains(&steps), "{steps} of 200 fronts stepped");
}

/// A front that has hardly a session of its own must neither think the fleet empty nor full.
#[test]
fn reports_weigh_more_than_own_sessions_of_one_front_in_many() {
    let sent = |reported: f64| {
        let mut front = large_service(250);
        for id in 0..SESSIONS {
            front.ended(1_000_000 + id, id as u32 % SERVERS, Outcome::Ok, true);
        }
        for server in 0..60 {
            front.feedback(server, Feedback::LinkUtilization(reported));
            front.feedback(server, Feedback::UplinkUtilization(reported));
        }
        front.tick();
        let event = request_held_everywhere(1, front.now);
        set_up(&front.send(event)).is_some()
    };
    assert!(sent(0.3), "there is room");
    assert!(!sent(1.2), "all that is reported is full");
}

/// Odd but possible input at this size: nothing crashes, and each request gets a set-up or one answer at once.
#[test]
fn unusual_lists_reports_and_front_counts_are_handled() {
    for fronts in [0, 1, 250] {
        let set = Settings { cells: 40, racks: 30, front_count: fronts, ..settings() };
        // Out of order, with gaps, and every third server named twice, the second time as gone.
        let mut list = Vec::new();
        for n in (0..900u32).rev().filter(|n| n % 5 != 0) {
            list.push(Endpoint { cell: CellId((n % 40) as u16), ..entry(n, EndpointState::Ready, 0) });
            if n % 3 == 0 {
                list.push(Endpoint { cell: CellId((n % 40) as u16), ..entry(n, EndpointState::Removed, 0) });
            }
        }
        let mut front = Front::with_list(set, list);
        front.advance(20 * SECONDS);
        front.feedback(5, Feedback::LinkUtilization(0.9));
        front.feedback(100_000, Feedback::UplinkUtilization(9e9));
        for (id, holders, home) in [(1, 40, 7), (2, 0, 7), (3, 4_000_000, 3), (4, 3, u32::MAX)] {
            let now = front.now;
            let actions = front.send(Event::Request(Request {
                cell_count: holders,
                first_cell: home,
                ..request(id, now)
            }));
            let answers =
                actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count();
            assert_eq!(set_ups(&actions) + answers, 1, "holders {holders}, fronts {fronts}: {actions:?}");
            assert!(holders > 0 || answers == 1, "no server holds the title");
            if let Some((server, _)) = set_up(&actions) {
                assert!(server % 5 != 0 && server % 3 != 0, "server {server} is not there");
                let again = front.ended(id, server, Outcome::Reset, false);
                assert_ne!(set_up(&again).map(|s| s.0), Some(server));
            }
        }
        front.tick();
    }
}

//! Tests of a front in a large service: the work of its decisions, and how many fronts and sessions react to
//! one report.
// Counts in these tests are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{
    Action, CellId, Endpoint, EndpointState, Event, Feedback, Outcome, Request, Rung, ServerId, SessionId,
    Settings,
};
use support::{Front, MILLIS, SECONDS, endpoint, request, set_up, set_ups, settings};

/// Number of servers of the large service.
const SERVERS: u32 = 300;

/// Number of sessions that a front of the large service adopts.
const SESSIONS: u64 = 3_000;

/// Id of the first adopted session.
const FIRST_ADOPTED: u64 = 1_000_000;

/// Returns a front with 300 servers in 30 racks, all of which hold the title, and with 3,000 adopted
/// sessions.
fn large_service(front_count: u32) -> Front {
    let settings = Settings { cells: SERVERS, racks: 30, front_count, total_link_kb: None, ..settings() };
    let listed = |n: u32| Endpoint { cell: CellId(n as u16), ..endpoint(n, EndpointState::Ready, 0) };
    let mut front = Front::with_list(settings, (0..SERVERS).map(listed).collect());
    for id in 0..SESSIONS {
        front.adopt(FIRST_ADOPTED + id, id as u32 % SERVERS);
    }
    front
}

fn request_at_all_servers(id: u64, now: u64) -> Event {
    Event::Request(Request { cell_count: SERVERS, ..request(id, now) })
}

/// Returns the number of steps of work that an operation takes.
fn work_of(front: &mut Front, operation: impl FnOnce(&mut Front) -> Vec<Action>) -> u64 {
    let before = front.policy.work();
    operation(front);
    front.policy.work() - before
}

/// Guards against work that grows with the square of the servers for a request, or with the sessions for an
/// outcome.
#[test]
fn work_of_decisions_is_bounded() {
    for utilization in [0.3, 2.0] {
        let mut front = large_service(250);
        for server in 0..SERVERS {
            front.feedback(server, Feedback::LinkUtilization(utilization));
        }
        front.tick();
        for id in 0..50 {
            let steps = work_of(&mut front, |front| front.send(request_at_all_servers(id, front.now)));
            assert!(steps > 0 && steps <= 20 * u64::from(SERVERS), "{steps} steps for a request");
        }
        for id in 0..50 {
            let steps =
                work_of(&mut front, |front| front.ended(FIRST_ADOPTED + id, id as u32, Outcome::Ok, true));
            assert!((1..=3).contains(&steps), "{steps} steps for an outcome");
        }
    }
}

/// Guards against steps up that are rarer than the duration of a session if there are many fronts.
#[test]
fn sessions_step_up_with_few_and_many_fronts() {
    for front_count in [2, 250] {
        let mut front = Front::new(Settings { front_count, ..settings() });
        front.adopt(1, 0);
        let mut steps_up = 0;
        for _ in 0..60 {
            front.advance(500 * MILLIS);
            front.feedback(0, Feedback::LinkUtilization(0.2));
            front.feedback(0, Feedback::UplinkUtilization(0.2));
            steps_up += front.tick().iter().filter(|action| matches!(action, Action::SetRung { .. })).count();
        }
        assert!(steps_up > 0, "{front_count} fronts");
    }
}

/// Guards against single steps per tick, with which a hundred sessions of a server would need a minute.
#[test]
fn many_small_sessions_step_up_within_seconds() {
    let large_servers = Settings {
        max_streams_by_type: vec![250],
        link_kb_per_weight: Some(200_000.0),
        total_link_kb: Some(800_000.0),
        mean_uplink_kb: Some(500_000.0),
        front_count: 1,
        ..settings()
    };
    let mut front = Front::new(large_servers);
    (1..=100).for_each(|id| front.adopt(id, 0));
    front.advance(10 * SECONDS);
    front.feedback(0, Feedback::LinkUtilization(0.1));
    front.feedback(0, Feedback::UplinkUtilization(0.1));
    let mut steps_up = 0;
    let mut max_in_tick = 0;
    for _ in 0..20 {
        front.advance(500 * MILLIS);
        let in_tick = front.tick().iter().filter(|action| matches!(action, Action::SetRung { .. })).count();
        steps_up += in_tick;
        max_in_tick = max_in_tick.max(in_tick);
    }
    assert!(steps_up >= 90, "{steps_up} steps up");
    assert!(max_in_tick < 90, "{max_in_tick} steps up in one tick");
}

/// Guards against a small fraction of the excess that each of many fronts rounds to nothing.
#[test]
fn many_fronts_relieve_link_by_about_the_excess() {
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
        steps += front.tick().iter().filter(|action| matches!(action, Action::SetRung { .. })).count();
    }
    // Each front has 2,000 of 15,000 kB/s and takes its fraction of an excess of 5,500 kB/s, in steps of
    // 1,000 kB/s.
    assert!((60..=195).contains(&steps), "{steps} steps of 200 fronts");
}

/// A front without sessions must assume neither an idle nor a full service, but go by the reports.
#[test]
fn reports_outweigh_own_sessions_of_one_front_in_many() {
    let is_placed = |utilization: f64| {
        let mut front = large_service(250);
        for id in 0..SESSIONS {
            front.ended(FIRST_ADOPTED + id, id as u32 % SERVERS, Outcome::Ok, true);
        }
        for server in 0..60 {
            front.feedback(server, Feedback::LinkUtilization(utilization));
            front.feedback(server, Feedback::UplinkUtilization(utilization));
        }
        front.tick();
        let event = request_at_all_servers(1, front.now);
        set_up(&front.send(event)).is_some()
    };
    assert!(is_placed(0.3), "reports show free capacity");
    assert!(!is_placed(1.2), "reports show full servers");
}

/// Unusual but valid input causes no panic, and each request gets an attempt or one answer at once.
#[test]
fn handles_unusual_lists_reports_and_front_counts() {
    for front_count in [0, 1, 250] {
        let settings = Settings { cells: 40, racks: 30, front_count, ..settings() };
        // The list is out of order, has gaps, and has each third server twice, the second time as removed.
        let mut list = Vec::new();
        for n in (0..900u32).rev().filter(|n| n % 5 != 0) {
            list.push(Endpoint { cell: CellId((n % 40) as u16), ..endpoint(n, EndpointState::Ready, 0) });
            if n % 3 == 0 {
                list.push(Endpoint {
                    cell: CellId((n % 40) as u16),
                    ..endpoint(n, EndpointState::Removed, 0)
                });
            }
        }
        let mut front = Front::with_list(settings, list);
        front.advance(20 * SECONDS);
        front.feedback(5, Feedback::LinkUtilization(0.9));
        front.feedback(100_000, Feedback::UplinkUtilization(9e9));
        for (id, cell_count, first_cell) in [(1, 40, 7), (2, 0, 7), (3, 4_000_000, 3), (4, 3, u32::MAX)] {
            let now = front.now;
            let actions = front.send(Event::Request(Request { cell_count, first_cell, ..request(id, now) }));
            let answers = actions
                .iter()
                .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail(_)))
                .count();
            assert_eq!(
                set_ups(&actions) + answers,
                1,
                "{cell_count} cells, {front_count} fronts: {actions:?}"
            );
            assert!(cell_count > 0 || answers == 1, "no server holds the title");
            if let Some((server, _)) = set_up(&actions) {
                assert!(server % 5 != 0 && server % 3 != 0, "server {server} is not listed");
                let after_reset = front.ended(id, server, Outcome::Reset, false);
                let retry = set_up(&after_reset).map(|(retried_at, _)| retried_at);
                assert_ne!(retry, Some(server));
            }
        }
        front.tick();
    }
}

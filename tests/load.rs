//! Load reports, health checks and playback feedback: one test for each failure found on the way.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{
    Action, Capabilities, Class, EndpointState, Feedback, Idempotency, LoadReporting, SessionId, Settings,
};
use support::{Front, MILLIS, SECONDS, class, is_rejected, play, set_up, settings};

/// Found on linz-main: a front that refuses hears nothing more and must not refuse for good.
#[test]
fn full_utilization_fades_without_new_reports() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for server in 0..4 {
        front.feedback(server, Feedback::LinkUtilization(1.1));
    }
    assert!(is_rejected(&front.request(1)));
    front.advance(9 * SECONDS);
    assert!(set_up(&front.request(2)).is_some(), "the figures are old");
}

/// Found on linz-main: without probes on a timer nothing is reported while all is rejected.
#[test]
fn racks_without_reports_are_checked_where_only_health_checks_report_load() {
    let limits = Capabilities { health_checks: true, ..settings().capabilities };
    let mut front = Front::new(Settings {
        load_reporting: LoadReporting::InHealthChecks,
        capabilities: limits,
        ..settings()
    });
    let mut racks = std::collections::BTreeSet::new();
    for id in 0..10 {
        front.advance(SECONDS);
        front.request(id);
        for a in front.tick() {
            if let Action::HealthCheck(server) = a {
                racks.insert(server.0 % 2);
            }
        }
    }
    assert_eq!(racks.len(), 2);
}

/// Found on linz-main-later: each of 230 fronts probed all racks every 2 s, at up to half the result.
#[test]
fn health_checks_cost_at_most_a_part_of_the_result_at_any_size() {
    let limits = Capabilities { health_checks: true, ..settings().capabilities };
    let set = Settings {
        load_reporting: LoadReporting::InHealthChecks,
        capabilities: limits,
        front_count: 230,
        health_check_price: 0.05,
        ..settings()
    };
    let mut front = Front::new(set);
    let mut probes = 0;
    for id in 0..40 {
        front.request(id);
        front.advance(4 * SECONDS);
        probes += front.tick().iter().filter(|a| matches!(a, Action::HealthCheck(_))).count();
    }
    assert!((4..=8).contains(&probes), "{probes} probes for 40 sessions at 0.01 of the result");
}

#[test]
fn no_health_checks_where_responses_report_load_or_they_are_not_permitted() {
    let limits = Capabilities { health_checks: true, ..settings().capabilities };
    let in_responses = Settings { capabilities: limits, ..settings() };
    let not_permitted = Settings { load_reporting: LoadReporting::InHealthChecks, ..settings() };
    for set in [in_responses, not_permitted] {
        let mut front = Front::new(set);
        for _ in 0..20 {
            front.advance(SECONDS);
            assert!(!front.tick().iter().any(|a| matches!(a, Action::HealthCheck(_))));
        }
    }
}

/// Found on linz-main: all fronts took the same free uplink between two reports of it.
#[test]
fn free_uplinks_are_not_taken_by_all_fronts_at_once() {
    let load = |fronts| {
        let mut front = Front::new(Settings { front_count: fronts, ..settings() });
        front.advance(20 * SECONDS);
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(0.0));
            front.feedback(server, Feedback::UplinkUtilization(0.0));
        }
        let rates = settings().ladder.rates_kb;
        (0..60).filter_map(|id| play(&mut front, id)).map(|(_, r)| rates[usize::from(r)]).sum::<f64>()
    };
    let (alone, one_of_four) = (load(1), load(4));
    assert!(alone > 20_000.0, "{alone}");
    assert!(one_of_four < 0.4 * alone, "{one_of_four} of {alone}");
}

/// Found in an incident on trznice-brno: links that swung made rungs swing with them.
#[test]
fn a_link_of_varying_capacity_does_not_make_rungs_oscillate() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for id in 0..8 {
        play(&mut front, id);
    }
    let mut steps = 0;
    for half in 0..120 {
        front.advance(500 * MILLIS);
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(if half / 8 % 2 == 0 { 0.2 } else { 1.3 }));
            front.feedback(server, Feedback::UplinkUtilization(0.3));
        }
        steps += front.tick().iter().filter(|a| matches!(a, Action::SetRung { .. })).count();
    }
    assert!(steps > 0, "sessions are relieved");
    assert!(steps < 3 * 8, "{steps} steps of 8 sessions in a minute");
}

/// A server that starts sessions and delivers nothing gets no more of them while that is reported.
#[test]
fn a_server_that_delivers_nothing_gets_no_new_sessions() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for id in 0..20 {
        front.advance(500 * MILLIS);
        front.feedback(3, Feedback::DeliveredFraction(0.05));
        if let Some((server, _)) = play(&mut front, id) {
            assert_ne!(server, 3);
        }
    }
}

/// Found in the same incident: links short alike were laid to their uplink, which reports showed to be free.
#[test]
fn a_saturated_link_does_not_close_its_rack_where_uplinks_are_reported() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for server in 0..4 {
        front.feedback(server, Feedback::LinkUtilization(if server == 2 { 1.6 } else { 0.3 }));
        front.feedback(server, Feedback::UplinkUtilization(0.3));
    }
    front.update_endpoint(1, EndpointState::Removed, 0);
    front.update_endpoint(3, EndpointState::Removed, 0);
    front.feedback(2, Feedback::DeliveredFraction(0.6));
    front.feedback(2, Feedback::DeliveredFraction(0.62));
    assert_eq!(set_up(&front.request(1)).map(|s| s.0), Some(0), "the rack's other server is free");
}

/// Found on head-office-media: links that were short by themselves were laid to an uplink of which nothing is told.
#[test]
fn saturated_links_are_not_attributed_to_their_uplink() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    front.update_endpoint(4, EndpointState::Ready, 0);
    for server in 0..5 {
        front.feedback(server, Feedback::LinkUtilization(if server == 2 { 0.2 } else { 1.1 }));
    }
    front.feedback(0, Feedback::DeliveredFraction(0.91));
    front.feedback(4, Feedback::DeliveredFraction(0.92));
    assert_eq!(set_up(&front.request(1)).map(|s| s.0), Some(2), "its uplink is not the cause");
}

/// The same share missing on two servers of a rack is the uplink's doing, whatever their links say.
#[test]
fn a_saturated_uplink_is_distinguished_from_a_link_without_uplink_reports() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for server in 0..4 {
        front.feedback(server, Feedback::LinkUtilization(0.2));
    }
    front.feedback(0, Feedback::DeliveredFraction(0.6));
    front.feedback(2, Feedback::DeliveredFraction(0.62));
    for id in 0..6 {
        if let Some((server, _)) = play(&mut front, id) {
            assert_eq!(server % 2, 1, "servers 0 and 2 share the sagging uplink");
        }
    }
}

#[test]
fn invalid_utilization_neither_panics_nor_persists() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for value in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(value));
            front.feedback(server, Feedback::UplinkUtilization(value));
            front.feedback(server, Feedback::DeliveredFraction(value));
        }
        front.tick();
        front.request((value.to_bits() >> 20) & 0xffff);
    }
    front.advance(12 * SECONDS);
    assert!(set_up(&front.request(1)).is_some());
}

/// A live title's further viewers add a part of the rate, so that many fit where few would.
#[test]
fn viewers_of_a_live_title_share_its_stream() {
    let count = |join| {
        let live = Class { shared_rate_fraction: join, ..class(Idempotency::Idempotent) };
        let mut front =
            Front::new(Settings { classes: vec![live], max_streams_by_type: vec![1_000], ..settings() });
        front.advance(20 * SECONDS);
        (0..600).filter(|id| play(&mut front, *id).is_some()).count()
    };
    let (alone, shared) = (count(1.0), count(0.1));
    assert!(shared > 2 * alone, "{shared} shared, {alone} alone");
}

/// Figures frozen at nearly nothing: what this front itself has on a link still bounds it.
#[test]
fn stale_low_utilization_does_not_hide_own_demand() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    let rates = settings().ladder.rates_kb;
    let mut at = std::collections::BTreeMap::new();
    let mut rungs = std::collections::BTreeMap::new();
    for id in 0..400 {
        front.advance(20 * MILLIS);
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(0.01));
            front.feedback(server, Feedback::UplinkUtilization(0.01));
        }
        for action in front.request(id) {
            match action {
                Action::SetRung { session: s, rung: r } => drop(rungs.insert(s, r)),
                Action::StartAttempt { session: s, server, .. } => drop(at.insert(s, server.0)),
                _ => {}
            }
        }
        if let Some(server) = at.get(&SessionId(id)) {
            front.started(id, *server);
        }
    }
    let mut asked = [0.0; 4];
    for (session, server) in at {
        asked[server as usize] += rates[usize::from(rungs[&session].0)];
    }
    for own in asked {
        assert!((4_000.0..=8_500.0).contains(&own), "{asked:?}");
    }
}

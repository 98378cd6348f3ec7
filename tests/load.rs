//! Tests of load reports, health checks and playback feedback.
// Counts in these tests are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft::api::{
    Action, Capabilities, Class, EndpointState, Feedback, Idempotency, LoadReporting, SessionId, Settings,
};
use support::{Front, MILLIS, SECONDS, class, is_rejected, play, set_up, settings};

/// A front that rejects all sessions gets no new reports. Guards against rejecting for ever.
#[test]
fn full_utilization_fades_without_new_reports() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for server in 0..4 {
        front.feedback(server, Feedback::LinkUtilization(1.1));
    }
    assert!(is_rejected(&front.request(1)));
    front.advance(9 * SECONDS);
    assert!(set_up(&front.request(2)).is_some(), "the reports are old");
}

/// Guards against a front that rejects all sessions and gets no report that would end this.
#[test]
fn checks_racks_without_reports_where_only_health_checks_report_load() {
    let capabilities = Capabilities { health_checks: true, ..settings().capabilities };
    let mut front =
        Front::new(Settings { load_reporting: LoadReporting::InHealthChecks, capabilities, ..settings() });
    let mut racks = std::collections::BTreeSet::new();
    for id in 0..10 {
        front.advance(SECONDS);
        front.request(id);
        for action in front.tick() {
            if let Action::HealthCheck(server) = action {
                racks.insert(server.0 % 2);
            }
        }
    }
    assert_eq!(racks.len(), 2);
}

/// Guards against many fronts that each check all racks every two seconds, which can cost half of the result.
#[test]
fn limits_price_of_health_checks_at_any_number_of_fronts() {
    let capabilities = Capabilities { health_checks: true, ..settings().capabilities };
    let settings = Settings {
        load_reporting: LoadReporting::InHealthChecks,
        capabilities,
        front_count: 230,
        health_check_price: 0.05,
        ..settings()
    };
    let mut front = Front::new(settings);
    let mut checks = 0;
    for id in 0..40 {
        front.request(id);
        front.advance(4 * SECONDS);
        checks += front.tick().iter().filter(|action| matches!(action, Action::HealthCheck(_))).count();
    }
    assert!((4..=8).contains(&checks), "{checks} checks for 40 sessions at 0.01 of the result");
}

#[test]
fn sends_no_health_checks_if_not_needed_or_not_permitted() {
    let capabilities = Capabilities { health_checks: true, ..settings().capabilities };
    let in_responses = Settings { capabilities, ..settings() };
    let not_permitted = Settings { load_reporting: LoadReporting::InHealthChecks, ..settings() };
    for settings in [in_responses, not_permitted] {
        let mut front = Front::new(settings);
        for _ in 0..20 {
            front.advance(SECONDS);
            assert!(!front.tick().iter().any(|action| matches!(action, Action::HealthCheck(_))));
        }
    }
}

/// Guards against fronts that all use the same free uplink capacity between two reports of it.
#[test]
fn fronts_share_free_uplink_capacity() {
    let placed_rate = |front_count| {
        let mut front = Front::new(Settings { front_count, ..settings() });
        front.advance(20 * SECONDS);
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(0.0));
            front.feedback(server, Feedback::UplinkUtilization(0.0));
        }
        let rates = settings().ladder.rates_kb;
        (0..60).filter_map(|id| play(&mut front, id)).map(|(_, rung)| rates[usize::from(rung)]).sum::<f64>()
    };
    let (alone, one_of_four) = (placed_rate(1), placed_rate(4));
    assert!(alone > 20_000.0, "{alone}");
    assert!(one_of_four < 0.4 * alone, "{one_of_four} of {alone}");
}

/// Guards against rungs that follow each swing of a link's capacity.
#[test]
fn rungs_do_not_oscillate_with_link_capacity() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for id in 0..8 {
        play(&mut front, id);
    }
    let mut steps = 0;
    for half_second in 0..120 {
        front.advance(500 * MILLIS);
        for server in 0..4 {
            let utilization = if half_second / 8 % 2 == 0 { 0.2 } else { 1.3 };
            front.feedback(server, Feedback::LinkUtilization(utilization));
            front.feedback(server, Feedback::UplinkUtilization(0.3));
        }
        steps += front.tick().iter().filter(|action| matches!(action, Action::SetRung { .. })).count();
    }
    assert!(steps > 0, "sessions step down");
    assert!(steps < 3 * 8, "{steps} steps of 8 sessions in a minute");
}

/// A server that starts sessions but delivers almost nothing gets no more of them while feedback reports
/// that.
#[test]
fn server_without_delivery_gets_no_sessions() {
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

/// Guards against shortfalls of links that are attributed to an uplink which reports show to be free.
#[test]
fn saturated_link_does_not_close_rack_with_reported_uplink() {
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
    let server = set_up(&front.request(1)).map(|(server, _)| server);
    assert_eq!(server, Some(0), "the other server of the rack is free");
}

/// Guards against shortfalls of full links that are attributed to an uplink without reports.
#[test]
fn saturated_links_are_not_attributed_to_uplink() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    front.update_endpoint(4, EndpointState::Ready, 0);
    for server in 0..5 {
        front.feedback(server, Feedback::LinkUtilization(if server == 2 { 0.2 } else { 1.1 }));
    }
    front.feedback(0, Feedback::DeliveredFraction(0.91));
    front.feedback(4, Feedback::DeliveredFraction(0.92));
    let server = set_up(&front.request(1)).map(|(server, _)| server);
    assert_eq!(server, Some(2), "the uplink is not the cause");
}

/// Similar shortfalls of two servers in a rack are attributed to the uplink if their links are not full.
#[test]
fn similar_shortfalls_are_attributed_to_uplink_without_uplink_reports() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    for server in 0..4 {
        front.feedback(server, Feedback::LinkUtilization(0.2));
    }
    front.feedback(0, Feedback::DeliveredFraction(0.6));
    front.feedback(2, Feedback::DeliveredFraction(0.62));
    for id in 0..6 {
        if let Some((server, _)) = play(&mut front, id) {
            assert_eq!(server % 2, 1, "servers 0 and 2 share the saturated uplink");
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

/// Further viewers of a live title add only a fraction of its rate, so that more of them fit.
#[test]
fn viewers_of_live_title_use_one_stream() {
    let count_sessions = |shared_rate_fraction| {
        let live = Class { shared_rate_fraction, ..class(Idempotency::Idempotent) };
        let mut front =
            Front::new(Settings { classes: vec![live], max_streams_by_type: vec![1_000], ..settings() });
        front.advance(20 * SECONDS);
        (0..600).filter(|id| play(&mut front, *id).is_some()).count()
    };
    let (separate, shared) = (count_sessions(1.0), count_sessions(0.1));
    assert!(shared > 2 * separate, "{shared} shared, {separate} separate");
}

/// Own demand limits a link even if reports wrongly stay at a very low utilization.
#[test]
fn low_reported_utilization_does_not_hide_own_demand() {
    let mut front = Front::new(settings());
    front.advance(20 * SECONDS);
    let rates = settings().ladder.rates_kb;
    let mut servers = std::collections::BTreeMap::new();
    let mut rungs = std::collections::BTreeMap::new();
    for id in 0..400 {
        front.advance(20 * MILLIS);
        for server in 0..4 {
            front.feedback(server, Feedback::LinkUtilization(0.01));
            front.feedback(server, Feedback::UplinkUtilization(0.01));
        }
        for action in front.request(id) {
            match action {
                Action::SetRung { session, rung } => drop(rungs.insert(session, rung)),
                Action::StartAttempt { session, server, .. } => drop(servers.insert(session, server.0)),
                _ => {}
            }
        }
        if let Some(server) = servers.get(&SessionId(id)) {
            front.started(id, *server);
        }
    }
    let mut own_demand = [0.0; 4];
    for (session, server) in servers {
        own_demand[server as usize] += rates[usize::from(rungs[&session].0)];
    }
    for demand in own_demand {
        assert!((4_000.0..=8_500.0).contains(&demand), "{own_demand:?}");
    }
}

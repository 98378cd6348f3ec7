//! Tests of cold media servers under the load of the whole cluster.
//!
//! N is the number of set-ups that the settings allow a cold server within an overload window. The front nodes that know
//! of its start send no more than N + 2 √N + 2, regardless of restarts of front nodes, uneven load and late connections.

use beechloft::api::Micros;
use beechloft_fleet_simulation::Cluster;
use beechloft_fleet_simulation::settings::{ClusterSettings, SessionClass};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const SERVERS: u16 = 12;
const RESTARTED_SERVERS: usize = 8;

/// Restarts of front nodes after the restart of the media servers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Restart {
    Never,
    /// The front nodes restart a tenth at a time, all within a window.
    InTurn,
    /// Seven in ten front nodes restart at the same instant, after most have sent their part of the set-ups.
    SevenInTen,
    /// The same front nodes restart twice within a window.
    Twice,
}

fn settings(fronts: u32, streams: u32) -> ClusterSettings {
    let classes: &[SessionClass] = &[
        SessionClass { name: "stall-video", rate_scale: 1.0 },
        SessionClass { name: "price-tag", rate_scale: 0.05 },
        SessionClass { name: "banner", rate_scale: 6.0 },
    ];
    ClusterSettings { front_nodes: fronts, streams, cells: 4, classes, ..ClusterSettings::default() }
}

/// Returns the maximum number of set-ups that front nodes which knew of a start sent to one server within a window. The list
/// informs them of the start within `spread`.
fn max_informed_set_ups(settings: ClusterSettings, restart: Restart, spread: Micros, seed: u64) -> usize {
    let mut cluster = Cluster::start(settings, SERVERS, seed);
    cluster.run_for(settings.cold_period_us + S);
    cluster.request_sessions(50.0, S, Micros(200 * MS));
    cluster.run_for(2 * S);
    for server in 0..RESTARTED_SERVERS {
        cluster.restart_server(server, spread);
    }
    // The load is ten times the allowed rate, and one front node in ten receives eight times the load of the others.
    let allowed_per_second =
        settings.allowed_set_ups() * 1e6 / settings.overload_window_us as f64 * RESTARTED_SERVERS as f64;
    cluster.request_sessions_weighted(10.0 * allowed_per_second + 100.0, 5 * S, Micros(100 * MS), |at| {
        if at % 10 == 3 { 8 } else { 1 }
    });
    cluster.run_for(300 * MS);
    let all = cluster.front_node_count();
    match restart {
        Restart::Never => {}
        Restart::InTurn => {
            for tenth in 0..10 {
                cluster.restart_front_nodes((0..all).filter(|n| n % 10 == tenth));
                cluster.run_for(120 * MS);
            }
        }
        Restart::SevenInTen => {
            cluster.run_for(500 * MS);
            cluster.restart_front_nodes((0..all).filter(|n| n % 10 < 7));
        }
        Restart::Twice => {
            for _ in 0..2 {
                cluster.run_for(400 * MS);
                cluster.restart_front_nodes((0..all).filter(|n| n % 10 < 7));
            }
        }
    }
    cluster.run_for(7 * S);
    let totals = cluster.totals;
    assert!(
        totals.established > 0 && totals.requested >= totals.established + totals.refused + totals.failed,
        "{totals:?}"
    );
    let spans = cluster.servers[..RESTARTED_SERVERS].iter().flat_map(|m| m.cold_windows(&settings));
    spans.map(|window| window.informed).max().unwrap_or(0)
}

fn assert_within_bound(settings: ClusterSettings, restart: Restart, spread: Micros, bound: f64) {
    for seed in [1, 2] {
        let sent = max_informed_set_ups(settings, restart, spread, seed);
        let (fronts, streams, n) = (settings.front_nodes, settings.streams, settings.allowed_set_ups());
        println!(
            "{fronts} front nodes, {streams} streams, {restart:?}, seed {seed}: {sent} of {n}, {bound:.1} at most"
        );
        assert!(
            sent > 0 && sent as f64 <= bound,
            "{restart:?}, {fronts} front nodes, {streams} streams: {sent}"
        );
    }
}

const CLUSTERS: [(u32, u32); 8] =
    [(20, 20), (20, 100), (20, 350), (20, 400), (30, 20), (30, 400), (300, 20), (300, 400)];

fn assert_each_cluster_within_bound(restart: Restart) {
    for (fronts, streams) in CLUSTERS {
        let settings = settings(fronts, streams);
        assert_within_bound(settings, restart, Micros(100 * MS), settings.chance_bound());
    }
}

#[test]
fn cold_servers_are_not_overloaded_without_restarts_of_front_nodes() {
    assert_each_cluster_within_bound(Restart::Never);
}

#[test]
fn cold_servers_are_not_overloaded_when_front_nodes_restart_in_turn() {
    assert_each_cluster_within_bound(Restart::InTurn);
}

#[test]
fn cold_servers_are_not_overloaded_when_seven_in_ten_front_nodes_restart_at_once() {
    assert_each_cluster_within_bound(Restart::SevenInTen);
}

#[test]
fn cold_servers_are_not_overloaded_when_front_nodes_restart_twice_within_a_window() {
    assert_each_cluster_within_bound(Restart::Twice);
}

/// Guards against set-ups that wait for a late connection and arrive in the next window.
#[test]
fn cold_servers_are_not_overloaded_when_connections_are_established_late() {
    let late = |t: ClusterSettings| ClusterSettings { late_one_in: 1, connect_timeout_us: 300 * MS, ..t };
    // All front nodes know of the start at once, so that the parts of the front nodes bound the arrivals without chance.
    for (fronts, streams) in CLUSTERS {
        let settings = late(settings(fronts, streams));
        assert_within_bound(settings, Restart::Never, Micros(1), settings.allowed_set_ups());
    }
}

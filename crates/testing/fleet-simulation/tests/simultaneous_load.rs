//! Tests of load that is harmless from one front node, summed over three hundred front nodes at the same instant.
// The casts lose nothing, since the counts are small.
#![allow(clippy::cast_possible_truncation)]

use beechloft::api::Micros;
use beechloft_fleet_simulation::media_server::{ColdWindow, MediaServer, OpenedConnections};
use beechloft_fleet_simulation::settings::ClusterSettings;
use beechloft_fleet_simulation::{Cluster, Totals};
use beechloft_front_node::ExponentialBackoff;
use beechloft_protocol::bus::Status;

const SEEDS: [u64; 3] = [1, 2, 3];
const S: u64 = 1_000_000;
/// Duration of sessions.
const SESSION_LENGTH: Micros = Micros(20 * S);

fn settings() -> ClusterSettings {
    ClusterSettings::default()
}

/// Returns a cluster with sessions, after the period at its start in which all servers count as cold.
fn in_service(seed: u64, servers: u16) -> Cluster {
    let mut cluster = Cluster::start(settings(), servers, seed);
    cluster.run_for(settings().cold_period_us + S);
    cluster.request_sessions(300.0, 10 * S, SESSION_LENGTH);
    // Waits for the last answers.
    cluster.run_for(11 * S);
    cluster
}

/// Asserts that no cold media server received more set-ups from all front nodes together than the rule allows.
fn assert_no_cold_server_is_overloaded(cluster: &Cluster, since: Micros) {
    let most =
        cluster.servers.iter().map(|m| (m.max_set_ups_while_cold(since, &cluster.settings), m.number)).max();
    let bound = cluster.settings.max_cold_set_ups();
    assert!(most.is_some_and(|m| m.0 <= bound), "{most:?} set-ups in a span, {bound} at most");
    assert!(most.is_some_and(|m| m.0 > 0), "nothing came, so nothing was checked");
}

fn assert_all_answered(totals: Totals) {
    assert_eq!(totals.requested, totals.established + totals.refused + totals.failed, "{totals:?}");
}

#[test]
fn a_cluster_that_starts_at_once_overloads_no_server_and_serves() {
    for seed in SEEDS {
        let mut cluster = Cluster::start(settings(), 100, seed);
        let since = cluster.now();
        // The load is high from the first second on.
        cluster.request_sessions(2_000.0, 4 * S, SESSION_LENGTH);
        cluster.run_for(10 * S);
        assert_no_cold_server_is_overloaded(&cluster, since);
        assert_all_answered(cluster.totals);
        assert!(cluster.totals.established * 10 >= cluster.totals.requested * 3, "{:?}", cluster.totals);
        // There are no health checks if answers report the load.
        assert_eq!(cluster.servers.iter().map(|m| m.health_checks.len()).sum::<usize>(), 0);
    }
}

#[test]
fn servers_replaced_at_once_receive_neither_too_many_set_ups_nor_connections() {
    for seed in SEEDS {
        let mut cluster = in_service(seed, 100);
        let now = cluster.now();
        let mut changed = Vec::new();
        let count = cluster.servers.len();
        for server in 0..60 {
            cluster.servers[server].status = Status::Gone;
            changed.push(server);
            cluster.kill_server(server);
            cluster.servers.push(MediaServer::cold(200 + server as u16, now));
            changed.push(cluster.servers.len() - 1);
        }
        cluster.publish_endpoints(&changed);
        cluster.request_sessions(600.0, 4 * S, SESSION_LENGTH);
        cluster.run_for(6 * S);
        assert_no_cold_server_is_overloaded(&cluster, Micros(0));
        assert_all_answered(cluster.totals);
        // Connections to a new server are opened for its rate-limited set-ups. The number of front nodes that open one within
        // a window is at most the allowed number of set-ups, and none opens a second connection.
        let bound = cluster.settings.max_cold_set_ups();
        for m in &cluster.servers[count..] {
            let OpenedConnections { front_nodes, connections } =
                m.connections_opened(now, now + Micros(cluster.settings.overload_window_us));
            assert!(
                front_nodes <= bound && connections == front_nodes,
                "{front_nodes} front nodes opened {connections} at {}",
                m.number
            );
        }
    }
}

/// A cold server fails above N + 3 √N + 3 set-ups within a window. The first failure of a server violates the rule if more
/// than two thirds of the set-ups came from front nodes that knew of the start.
#[test]
fn restarted_servers_are_not_overloaded_by_front_nodes_that_know_of_the_start() {
    for seed in SEEDS {
        // With small servers the part of a front node is less than one set-up.
        for streams in [20, 200] {
            let settings = ClusterSettings { streams, ..settings() };
            let mut cluster = Cluster::start(settings, 100, seed);
            cluster.run_for(settings.cold_period_us + S);
            cluster.request_sessions(100.0, 4 * S, SESSION_LENGTH);
            cluster.run_for(5 * S);
            for server in 0..30 {
                cluster.restart_server(server, Micros(2 * S));
            }
            // Sessions are short, so that no server becomes full.
            cluster.request_sessions(1_500.0, 4 * S, Micros(200_000));
            cluster.run_for(5 * S);
            assert_all_answered(cluster.totals);
            let bound = settings.overload_threshold();
            let windows: Vec<Vec<ColdWindow>> =
                cluster.servers[..30].iter().map(|m| m.cold_windows(&settings)).collect();
            let all = || windows.iter().flatten();
            let informed = all().map(|s| s.informed).max();
            println!(
                "seed {seed}, {streams} streams: falls above {bound:.1}; most {:?}, informed {informed:?}",
                all().max()
            );
            assert!(
                informed.is_some_and(|n| n > 0 && n as f64 <= bound),
                "{informed:?} of those that knew, {bound} at most"
            );
            assert!(
                all().any(|s| s.total > s.informed),
                "all that sent knew of the start, so the list came at once"
            );
            // A failure is caused by the set-ups before it, which are those of the first window above the bound.
            for failure in windows.iter().filter_map(|m| m.iter().find(|s| s.total as f64 > bound)) {
                assert!(
                    failure.informed * 3 <= failure.total * 2,
                    "{failure:?} of {bound}, {streams} streams"
                );
            }
        }
    }
}

#[test]
fn the_loss_of_a_server_causes_no_connections_health_checks_or_set_ups() {
    for seed in SEEDS {
        let mut cluster = in_service(seed, 100);
        let (now, before) =
            (cluster.now(), cluster.servers.iter().map(|m| m.connections.len()).sum::<usize>());
        cluster.kill_server(7);
        let interrupted = cluster.totals.interrupted;
        assert!(interrupted > 0, "it had sessions");
        cluster.run_for(2 * S);
        // Without requests the loss of a server causes no connections, health checks or set-ups.
        let after = cluster.servers.iter().map(|m| m.connections.len()).sum::<usize>();
        assert_eq!(after, before);
        assert_eq!(cluster.servers.iter().map(|m| m.health_checks.len()).sum::<usize>(), 0);
        // Viewers of interrupted sessions retry, and are served elsewhere without an attempt at the failed server.
        cluster.request_sessions(interrupted as f64, S, SESSION_LENGTH);
        cluster.run_for(3 * S);
        assert_all_answered(cluster.totals);
        let later_set_ups = |m: &MediaServer| m.set_ups.iter().filter(|s| s.at > now).count();
        assert_eq!(later_set_ups(&cluster.servers[7]), 0);
        assert!(cluster.totals.failed == 0, "{:?}", cluster.totals);
    }
}

#[test]
fn front_nodes_restarted_at_once_open_only_the_connections_of_their_sessions() {
    for seed in SEEDS {
        let mut cluster = in_service(seed, 100);
        let established = cluster.established_sessions();
        let (now, all) = (cluster.now(), cluster.front_node_count());
        cluster.restart_front_nodes((0..all).filter(|n| n % 10 < 7));
        cluster.run_for(S);
        // All playing sessions are known again, and there is one connection for each pair of front node and server.
        assert_eq!(cluster.established_sessions(), established);
        for m in &cluster.servers {
            let OpenedConnections { front_nodes, connections } = m.connections_opened(now, cluster.now());
            let holders: std::collections::BTreeSet<usize> = m.sessions.values().copied().collect();
            assert!(
                connections == front_nodes && front_nodes <= holders.len(),
                "{connections} opened, {} hold",
                holders.len()
            );
        }
        cluster.request_sessions(1_000.0, 4 * S, SESSION_LENGTH);
        cluster.run_for(6 * S);
        assert_all_answered(cluster.totals);
    }
}

#[test]
fn health_checks_stay_within_budget() {
    for seed in SEEDS {
        let settings = ClusterSettings { reporting: "pull", ..settings() };
        let mut cluster = Cluster::start(settings, 100, seed);
        cluster.run_for(settings.cold_period_us + S);
        cluster.request_sessions(300.0, 20 * S, SESSION_LENGTH);
        cluster.run_for(25 * S);
        let health_checks = cluster.servers.iter().map(|m| m.health_checks.len()).sum::<usize>();
        // A health check costs 0.08 of the value of a session. A budget of 0.01 allows one health check for eight sessions.
        assert!(
            health_checks * 8 <= cluster.totals.requested,
            "{health_checks} health checks for {} sessions",
            cluster.totals.requested
        );
        assert!(health_checks > 0, "no health check was sent");
    }
}

/// Returns the times at which front nodes try to reconnect to an event bus that fails for all of them at the same instant.
fn reconnections(fronts: u64, seed: u64, back_after: u64) -> Vec<u64> {
    let mut all = Vec::new();
    for front in 0..fronts {
        let mut backoff = ExponentialBackoff::new(Micros(50_000), Micros(500_000), seed * 1_000 + front);
        let mut at = 0;
        while at < back_after {
            at += backoff.next_delay().0;
            all.push(at);
        }
    }
    all.sort_unstable();
    all
}

#[test]
fn event_bus_reconnections_are_spread_out() {
    for seed in SEEDS {
        let all = reconnections(300, seed, 5 * S);
        // At the maximum backoff, attempts are 250 to 500 ms apart: at most 20 per front node, and some at shorter backoffs.
        assert!(all.len() <= 300 * 24, "{} calls", all.len());
        // The first attempts fall into 25 ms. At the maximum backoff no 10 ms have more than a tenth of all attempts.
        let top = all.iter().filter(|at| **at > 2 * S).copied().collect::<Vec<_>>();
        let most =
            top.iter().map(|from| top.iter().filter(|t| (*from..from + 10_000).contains(*t)).count()).max();
        assert!(most.is_some_and(|n| n <= 30), "{most:?} calls within 10 ms");
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = |seed| {
        let cluster = in_service(seed, 40);
        (cluster.totals, cluster.servers.iter().map(|m| m.set_ups.clone()).collect::<Vec<_>>())
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

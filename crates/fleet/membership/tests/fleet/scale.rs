//! Convergence and traffic of fleets of different sizes.

use std::time::Duration;

use super::cluster::{Cluster, MINUTE, Traffic};

/// Mean numbers of packets and bytes that a member sends per second.
#[derive(Debug, Clone, Copy)]
struct Rate {
    packets: f64,
    bytes: f64,
}

impl Rate {
    fn measured(cluster: &Cluster, seconds: f64) -> Rate {
        let add = |sum: Traffic, member: &Traffic| Traffic {
            packets: sum.packets + member.packets,
            bytes: sum.bytes + member.bytes,
        };
        let sum = cluster.traffic.iter().fold(Traffic::default(), add);
        let member_seconds = cluster.traffic.len() as f64 * seconds;
        Rate { packets: sum.packets as f64 / member_seconds, bytes: sum.bytes as f64 / member_seconds }
    }
}

/// Returns the traffic of a fleet whose members do not change.
fn idle_rate(members: usize) -> Rate {
    let mut cluster = Cluster::all_started(members, 7);
    assert!(cluster.run_until_converged(2 * MINUTE).is_some(), "{members} members do not converge");
    // Waits until the updates of the start are no longer transmitted.
    cluster.run_for(6 * MINUTE);
    cluster.counts_traffic = true;
    cluster.run_for(MINUTE);
    Rate::measured(&cluster, 60.0)
}

#[test]
fn three_hundred_members_converge_after_simultaneous_start() {
    let mut cluster = Cluster::all_started(300, 1);
    let took = cluster.run_until_converged(MINUTE).expect("the fleet converges");
    println!("300 members converge within {took:?}");
    assert!(took <= Duration::from_secs(30) && cluster.deaths.is_empty());
    let digest = cluster.members[0].as_ref().expect("the member runs").members().digest();
    assert!(cluster.running().all(|member| member.members().digest() == digest));
}

#[test]
fn traffic_per_member_does_not_grow_with_the_fleet() {
    let rates: Vec<Rate> = [10, 100, 300].into_iter().map(idle_rate).collect();
    println!("packets and bytes per second at 10, 100, 300 members: {rates:?}");
    for rate in &rates {
        assert!(rate.packets < 2.3 && rate.bytes < 250.0, "{rates:?}");
        assert!(rate.packets > 1.5, "no probes: {rates:?}");
    }
    assert!(rates[2].bytes <= rates[0].bytes * 1.2, "{rates:?}");
}

/// Runs outside CI with `cargo test --release -p beechloft-membership --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes with five thousand members"]
fn five_thousand_members_detect_a_killed_member() {
    let mut cluster = Cluster::all_started(5_000, 1);
    cluster.preload_members();
    assert!(cluster.has_converged());
    cluster.run_for(MINUTE / 2);
    cluster.counts_traffic = true;
    cluster.run_for(MINUTE / 2);
    cluster.counts_traffic = false;
    let rate = Rate::measured(&cluster, 30.0);
    println!("{} packets, {} bytes per second", rate.packets, rate.bytes);
    let killed = cluster.kill(77);
    let first = cluster.run_until(2 * MINUTE, |cluster| cluster.count_believing_active(killed) < 4_999);
    let last = cluster.run_until(2 * MINUTE, |cluster| cluster.count_believing_active(killed) == 0);
    println!(
        "killed member: the first declares it dead after {first:?}, all others {last:?} later; longest packet {} bytes",
        cluster.max_packet_len()
    );
    assert!(first.is_some() && last.is_some() && cluster.deaths_of_others(killed).is_empty());
}

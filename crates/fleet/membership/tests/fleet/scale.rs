//! Convergence and traffic of fleets of different sizes.

use std::time::Duration;

use super::cluster::{Cluster, MINUTE, Traffic};

/// Mean packets and bytes of a member per second.
#[derive(Debug, Clone, Copy)]
struct Rate {
    packets: f64,
    bytes: f64,
}

impl Rate {
    fn of(cluster: &Cluster, seconds: f64) -> Rate {
        let add = |sum: Traffic, of: &Traffic| Traffic {
            packets: sum.packets + of.packets,
            bytes: sum.bytes + of.bytes,
        };
        let sum = cluster.traffic.iter().fold(Traffic::default(), add);
        let member_seconds = cluster.traffic.len() as f64 * seconds;
        Rate { packets: sum.packets as f64 / member_seconds, bytes: sum.bytes as f64 / member_seconds }
    }
}

/// The traffic of a fleet in which nothing changes.
fn idle_rate(members: usize) -> Rate {
    let mut cluster = Cluster::all_started(members, 7);
    assert!(cluster.run_until_converged(2 * MINUTE).is_some(), "{members} members do not converge");
    // Until all updates of the start have been transmitted often enough.
    cluster.run_for(6 * MINUTE);
    cluster.counts_traffic = true;
    cluster.run_for(MINUTE);
    Rate::of(&cluster, 60.0)
}

#[test]
fn three_hundred_members_that_start_together_converge_soon() {
    let mut cluster = Cluster::all_started(300, 1);
    let took = cluster.run_until_converged(MINUTE).expect("they converge");
    println!("300 members converge within {took:?}");
    assert!(took <= Duration::from_secs(30) && cluster.deaths.is_empty());
    let digest = cluster.members[0].as_ref().expect("it runs").members().digest();
    assert!(cluster.running().all(|member| member.members().digest() == digest));
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let rates: Vec<Rate> = [10, 100, 300].into_iter().map(idle_rate).collect();
    println!("packets and bytes per second at 10, 100, 300 members: {rates:?}");
    for rate in &rates {
        assert!(rate.packets < 2.3 && rate.bytes < 250.0, "{rates:?}");
        assert!(rate.packets > 1.5, "no probes: {rates:?}");
    }
    assert!(rates[2].bytes <= rates[0].bytes * 1.2, "{rates:?}");
}

/// Outside CI: `cargo test --release -p beechloft-membership --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "five thousand members, minutes"]
fn five_thousand_members() {
    let mut cluster = Cluster::all_started(5_000, 1);
    cluster.preload_members();
    assert!(cluster.has_converged());
    cluster.run_for(MINUTE / 2);
    cluster.counts_traffic = true;
    cluster.run_for(MINUTE / 2);
    cluster.counts_traffic = false;
    let rate = Rate::of(&cluster, 30.0);
    println!("{} packets, {} bytes per second", rate.packets, rate.bytes);
    let killed = cluster.kill(77);
    let first = cluster.run_until(2 * MINUTE, |cluster| cluster.believers(killed) < 4_999);
    let last = cluster.run_until(2 * MINUTE, |cluster| cluster.believers(killed) == 0);
    println!(
        "one killed: the first declares it dead after {first:?}, all {last:?} later; longest packet {}",
        cluster.max_packet_len()
    );
    assert!(first.is_some() && last.is_some() && cluster.deaths_besides(killed).is_empty());
}

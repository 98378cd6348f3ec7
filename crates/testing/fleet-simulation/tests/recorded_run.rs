//! Compares a seeded run of the simulation with recorded results of media servers and viewers, which detects changes of the
//! order of events and of the random numbers.

use beechloft::api::Micros;
use beechloft_fleet_simulation::Cluster;
use beechloft_fleet_simulation::settings::{ClusterSettings, SessionClass};
use beechloft_protocol::bus::Status;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn hash_of_run(settings: ClusterSettings, seed: u64) -> u64 {
    let mut cluster = Cluster::start(settings, 12, seed);
    cluster.run_for(9 * S);
    cluster.request_sessions(200.0, 2 * S, Micros(5 * S));
    cluster.run_for(3 * S);
    cluster.kill_server(3);
    cluster.restart_server(4, Micros(300 * MS));
    cluster.servers[5].status = Status::Terminating;
    cluster.servers[6].status = Status::Gone;
    cluster.publish_endpoints(&[5, 6]);
    cluster.request_sessions_weighted(400.0, 2 * S, Micros(300 * MS), |at| if at % 3 == 0 { 4 } else { 1 });
    cluster.run_for(S);
    cluster.restart_front_nodes((0..cluster.front_node_count()).filter(|number| number % 2 == 0));
    cluster.run_for(4 * S);
    let totals = cluster.totals;
    let totals = [
        cluster.established_sessions(),
        totals.requested,
        totals.established,
        totals.refused,
        totals.failed,
        totals.interrupted,
    ];
    let mut numbers: Vec<u64> = totals.map(|number| number as u64).to_vec();
    for media in &cluster.servers {
        numbers.extend(media.set_ups.iter().flat_map(|s| [s.at.0, s.front_node as u64, s.sent_at.0]));
        numbers.extend(media.connections.iter().flat_map(|c| [c.at.0, c.front_node as u64]));
        numbers.extend(media.health_checks.iter().map(|at| at.0));
        numbers.extend(media.start_known_since.iter().flat_map(|(front, at)| [*front as u64, at.0]));
        numbers.extend(media.sessions.iter().flat_map(|(id, front)| [id.0, *front as u64]));
    }
    assert!(cluster.totals.established > 100 && cluster.totals.interrupted > 0, "{:?}", cluster.totals);
    let bytes = numbers.iter().flat_map(|number| number.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn seeded_runs_give_the_recorded_figures() {
    let settings = ClusterSettings {
        front_nodes: 20,
        cells: 4,
        streams: 60,
        classes: &[
            SessionClass { name: "stall-video", rate_scale: 1.0 },
            SessionClass { name: "banner", rate_scale: 6.0 },
        ],
        ..ClusterSettings::default()
    };
    let pull = ClusterSettings { reporting: "pull", ..settings };
    let late = ClusterSettings { late_one_in: 3, ..settings };
    let hashes = [hash_of_run(settings, 1), hash_of_run(pull, 2), hash_of_run(late, 3)];
    assert_eq!(hashes, [0xdc89_b10e_61e1_18ac, 0x1629_ad9d_5661_c851, 0x2f04_b071_a587_fb40], "{hashes:#x?}");
}

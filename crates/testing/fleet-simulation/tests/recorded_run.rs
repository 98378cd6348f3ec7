//! The simulation itself, run by a seed: what media servers received and viewers got is as recorded, so that a change of
//! the simulation's order of events or of its random draws is noticed.

use beechloft::api::Micros;
use beechloft_fleet_simulation::Fleet;
use beechloft_fleet_simulation::settings::Terms;
use beechloft_protocol::bus::Status;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn hash_of_run(terms: Terms, seed: u64) -> u64 {
    let mut fleet = Fleet::start(terms, 12, seed);
    fleet.pass(9 * S);
    fleet.ask(200.0, 2 * S, Micros(5 * S));
    fleet.pass(3 * S);
    fleet.kill(3);
    fleet.begin_anew(4, Micros(300 * MS));
    fleet.media[5].status = Status::Terminating;
    fleet.media[6].status = Status::Gone;
    fleet.tell(&[5, 6]);
    fleet.ask_unevenly(400.0, 2 * S, Micros(300 * MS), |at| if at % 3 == 0 { 4 } else { 1 });
    fleet.pass(S);
    fleet.restart((0..fleet.len()).filter(|number| number % 2 == 0));
    fleet.pass(4 * S);
    let sum = fleet.sum;
    let totals = [fleet.standing(), sum.asked, sum.played, sum.refused, sum.failed, sum.cut];
    let mut numbers: Vec<u64> = totals.map(|number| number as u64).to_vec();
    for media in &fleet.media {
        numbers.extend(media.set_ups.iter().flat_map(|s| [s.0.0, s.1 as u64, s.2.0]));
        numbers.extend(media.connections.iter().flat_map(|c| [c.0.0, c.1 as u64]));
        numbers.extend(media.probes.iter().map(|at| at.0));
        numbers.extend(media.told.iter().flat_map(|(front, at)| [*front as u64, at.0]));
        numbers.extend(media.playing.iter().flat_map(|(id, front)| [id.0, *front as u64]));
    }
    assert!(fleet.sum.played > 100 && fleet.sum.cut > 0, "{:?}", fleet.sum);
    let bytes = numbers.iter().flat_map(|number| number.to_le_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn seeded_runs_give_the_recorded_figures() {
    let terms = Terms {
        fronts: 20,
        cells: 4,
        streams: 60,
        classes: &[("stall-video", 1.0), ("banner", 6.0)],
        ..Terms::default()
    };
    let pull = Terms { reporting: "pull", ..terms };
    let late = Terms { late_one_in: 3, ..terms };
    let hashes = [hash_of_run(terms, 1), hash_of_run(pull, 2), hash_of_run(late, 3)];
    assert_eq!(hashes, [0xdc89_b10e_61e1_18ac, 0x1629_ad9d_5661_c851, 0x2f04_b071_a587_fb40], "{hashes:#x?}");
}

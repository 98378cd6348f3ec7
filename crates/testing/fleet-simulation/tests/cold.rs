//! Cold media servers under the sum of the fleet: of N set-ups that the settings let one stand within a span, those who were
//! told of its start send no more than N + 2 x root of N + 2, whatever restarts, whoever asks, and however late connections are.

use beechloft::api::Micros;
use beechloft_fleet_simulation::Fleet;
use beechloft_fleet_simulation::settings::Terms;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const SERVERS: u16 = 12;
const BEGUN: usize = 8;

/// What happens to the front nodes after the media servers have begun anew.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Restart {
    Never,
    /// A tenth at a time, all within a span.
    InTurn,
    /// Seven in ten at one instant, as soon as most have sent their part.
    SevenInTen,
    /// The same ones twice within a span.
    Twice,
}

fn terms(fronts: u32, streams: u32) -> Terms {
    let classes: &[(&str, f64)] = &[("stall-video", 1.0), ("price-tag", 0.05), ("banner", 6.0)];
    Terms { fronts, streams, cells: 4, classes, ..Terms::default() }
}

/// The most that front nodes who knew of a start sent to one server within a span; the list tells of it within `spread`.
fn most(terms: Terms, restart: Restart, spread: Micros, seed: u64) -> usize {
    let mut fleet = Fleet::start(terms, SERVERS, seed);
    fleet.pass(terms.cold_us + S);
    fleet.ask(50.0, S, Micros(200 * MS));
    fleet.pass(2 * S);
    for place in 0..BEGUN {
        fleet.begin_anew(place, spread);
    }
    // Ten times what the cold ones stand, and a front node in ten gets eight times what the others do.
    let stand = terms.allowed() * 1e6 / terms.fall_us as f64 * BEGUN as f64;
    fleet.ask_unevenly(10.0 * stand + 100.0, 5 * S, Micros(100 * MS), |at| if at % 10 == 3 { 8 } else { 1 });
    fleet.pass(300 * MS);
    let all = fleet.len();
    match restart {
        Restart::Never => {}
        Restart::InTurn => {
            for tenth in 0..10 {
                fleet.restart((0..all).filter(|n| n % 10 == tenth));
                fleet.pass(120 * MS);
            }
        }
        Restart::SevenInTen => {
            fleet.pass(500 * MS);
            fleet.restart((0..all).filter(|n| n % 10 < 7));
        }
        Restart::Twice => {
            for _ in 0..2 {
                fleet.pass(400 * MS);
                fleet.restart((0..all).filter(|n| n % 10 < 7));
            }
        }
    }
    fleet.pass(7 * S);
    let sum = fleet.sum;
    assert!(sum.played > 0 && sum.asked >= sum.played + sum.refused + sum.failed, "{sum:?}");
    let spans = fleet.media[..BEGUN].iter().flat_map(|m| m.cold_spans(&terms));
    spans.map(|s| s.told).max().unwrap_or(0)
}

fn stays_under(terms: Terms, restart: Restart, spread: Micros, bound: f64) {
    for seed in [1, 2] {
        let sent = most(terms, restart, spread, seed);
        let (fronts, streams, n) = (terms.fronts, terms.streams, terms.allowed());
        println!(
            "{fronts} front nodes, {streams} streams, {restart:?}, seed {seed}: {sent} of {n}, {bound:.1} at most"
        );
        assert!(
            sent > 0 && sent as f64 <= bound,
            "{restart:?}, {fronts} front nodes, {streams} streams: {sent}"
        );
    }
}

const FLEETS: [(u32, u32); 8] =
    [(20, 20), (20, 100), (20, 350), (20, 400), (30, 20), (30, 400), (300, 20), (300, 400)];

fn each_fleet(restart: Restart) {
    for (fronts, streams) in FLEETS {
        let terms = terms(fronts, streams);
        stays_under(terms, restart, Micros(100 * MS), terms.by_chance());
    }
}

#[test]
fn no_cold_server_gets_more_than_its_part_without_restarts() {
    each_fleet(Restart::Never);
}

#[test]
fn no_cold_server_gets_more_where_front_nodes_restart_in_turn() {
    each_fleet(Restart::InTurn);
}

#[test]
fn no_cold_server_gets_more_where_seven_in_ten_front_nodes_restart_at_one_instant() {
    each_fleet(Restart::SevenInTen);
}

#[test]
fn no_cold_server_gets_more_where_front_nodes_restart_twice_within_a_span() {
    each_fleet(Restart::Twice);
}

/// A set-up that waits for its connection arrives with those of the next span.
#[test]
fn no_cold_server_gets_more_where_connections_come_up_late() {
    let late = |t: Terms| Terms { late_one_in: 1, dial_us: 300 * MS, ..t };
    // All are told at once, and nothing is put down to chance: each front node's part holds for what arrives.
    for (fronts, streams) in FLEETS {
        let terms = late(terms(fronts, streams));
        stays_under(terms, Restart::Never, Micros(1), terms.allowed());
    }
}

//! What is harmless in one front node, summed over three hundred of them that all do it at the same instant. Each bound
//! is stated where it is checked.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

use beechloft::api::Micros;
use beechloft_fleet_simulation::media::{Media, Span};
use beechloft_fleet_simulation::settings::Terms;
use beechloft_fleet_simulation::{Fleet, Sum};
use beechloft_front_node::ExponentialBackoff;
use beechloft_protocol::bus::Status;

const SEEDS: [u64; 3] = [1, 2, 3];
const S: u64 = 1_000_000;
/// How long sessions last.
const LASTING: Micros = Micros(20 * S);

fn terms() -> Terms {
    Terms::default()
}

/// A fleet in service: started, past the doubt of its start, with sessions.
fn in_service(seed: u64, servers: u16) -> Fleet {
    let mut fleet = Fleet::start(terms(), servers, seed);
    fleet.pass(terms().cold_us + S);
    fleet.ask(300.0, 10 * S, LASTING);
    // The last have their answers.
    fleet.pass(11 * S);
    fleet
}

/// No media server got more while it was cold, from all front nodes together, than the rule lets it stand.
fn no_cold_one_is_pushed_over(fleet: &Fleet, since: Micros) {
    let most = fleet.media.iter().map(|m| (m.most_while_cold(since, &fleet.terms), m.number)).max();
    let bound = fleet.terms.cold_bound();
    assert!(most.is_some_and(|m| m.0 <= bound), "{most:?} set-ups in a span, {bound} at most");
    assert!(most.is_some_and(|m| m.0 > 0), "nothing came, so nothing was checked");
}

fn all_answered(sum: Sum) {
    assert_eq!(sum.asked, sum.played + sum.refused + sum.failed, "{sum:?}");
}

#[test]
fn a_fleet_started_at_once_pushes_no_server_over_and_still_serves() {
    for seed in SEEDS {
        let mut fleet = Fleet::start(terms(), 100, seed);
        let since = fleet.now();
        // A crowd in the first second of all.
        fleet.ask(2_000.0, 4 * S, LASTING);
        fleet.pass(10 * S);
        no_cold_one_is_pushed_over(&fleet, since);
        all_answered(fleet.sum);
        assert!(fleet.sum.played * 10 >= fleet.sum.asked * 3, "{:?}", fleet.sum);
        // Where answers tell load, nobody probes.
        assert_eq!(fleet.media.iter().map(|m| m.probes.len()).sum::<usize>(), 0);
    }
}

#[test]
fn servers_replaced_at_one_instant_are_neither_pushed_over_nor_swamped_with_connections() {
    for seed in SEEDS {
        let mut fleet = in_service(seed, 100);
        let now = fleet.now();
        let (mut told, count) = (Vec::new(), fleet.media.len());
        for place in 0..60 {
            fleet.media[place].status = Status::Gone;
            told.push(place);
            fleet.kill(place);
            fleet.media.push(Media::cold(200 + place as u16, now));
            told.push(fleet.media.len() - 1);
        }
        fleet.tell(&told);
        fleet.ask(600.0, 4 * S, LASTING);
        fleet.pass(6 * S);
        no_cold_one_is_pushed_over(&fleet, Micros(0));
        all_answered(fleet.sum);
        // A new server's connections come with its set-ups, which are paced: no more front nodes open one within a span
        // than the rule lets set-ups come, and none opens a second.
        let bound = fleet.terms.cold_bound();
        for m in &fleet.media[count..] {
            let (fronts, opened) = m.opened(now, now + Micros(fleet.terms.fall_us));
            assert!(
                fronts <= bound && opened == fronts,
                "{fronts} front nodes opened {opened} at {}",
                m.number
            );
        }
    }
}

/// The rule as the users state it: a cold server falls above N + 3 x root of N + 3 set-ups in a span, and the rule is broken
/// at a first fall of which over two thirds came from front nodes that knew of the start.
#[test]
fn servers_begun_anew_under_their_names_are_pushed_over_by_nobody_who_was_told() {
    for seed in SEEDS {
        // Small servers, where a front node's part is under one set-up, and large ones.
        for streams in [20, 200] {
            let terms = Terms { streams, ..terms() };
            let mut fleet = Fleet::start(terms, 100, seed);
            fleet.pass(terms.cold_us + S);
            fleet.ask(100.0, 4 * S, LASTING);
            fleet.pass(5 * S);
            for place in 0..30 {
                fleet.begin_anew(place, Micros(2 * S));
            }
            // Sessions end soon, so that servers are full for none of it.
            fleet.ask(1_500.0, 4 * S, Micros(200_000));
            fleet.pass(5 * S);
            all_answered(fleet.sum);
            let bound = terms.falls_above();
            let spans: Vec<Vec<Span>> = fleet.media[..30].iter().map(|m| m.cold_spans(&terms)).collect();
            let all = || spans.iter().flatten();
            let told = all().map(|s| s.told).max();
            println!(
                "seed {seed}, {streams} streams: falls above {bound:.1}; most {:?}, told {told:?}",
                all().max()
            );
            assert!(
                told.is_some_and(|n| n > 0 && n as f64 <= bound),
                "{told:?} of those told, {bound} at most"
            );
            assert!(all().any(|s| s.sent > s.told), "nobody sent who was not told, so the list came at once");
            // A fall has its cause in what came before it: the first span that is over.
            for fall in spans.iter().filter_map(|m| m.iter().find(|s| s.sent as f64 > bound)) {
                assert!(fall.told * 3 <= fall.sent * 2, "{fall:?} of {bound}, {streams} streams");
            }
        }
    }
}

#[test]
fn the_loss_of_one_server_is_carried_by_the_others_without_a_word_more_than_needed() {
    for seed in SEEDS {
        let mut fleet = in_service(seed, 100);
        let (now, before) = (fleet.now(), fleet.media.iter().map(|m| m.connections.len()).sum::<usize>());
        fleet.kill(7);
        let cut = fleet.sum.cut;
        assert!(cut > 0, "it had sessions");
        fleet.pass(2 * S);
        // Nobody asks for anything: the loss alone brings no connection, probe or set-up anywhere.
        let after = fleet.media.iter().map(|m| m.connections.len()).sum::<usize>();
        assert_eq!(after, before);
        assert_eq!(fleet.media.iter().map(|m| m.probes.len()).sum::<usize>(), 0);
        // Those who were cut come again, and go elsewhere without a further attempt at the dead one.
        fleet.ask(cut as f64, S, LASTING);
        fleet.pass(3 * S);
        all_answered(fleet.sum);
        let late = |m: &Media| m.set_ups.iter().filter(|s| s.0 > now).count();
        assert_eq!(late(&fleet.media[7]), 0);
        assert!(fleet.sum.failed == 0, "{:?}", fleet.sum);
    }
}

#[test]
fn front_nodes_restarted_at_one_instant_open_no_more_than_what_they_hold_and_push_nobody_over() {
    for seed in SEEDS {
        let mut fleet = in_service(seed, 100);
        let standing = fleet.standing();
        let (now, all) = (fleet.now(), fleet.len());
        fleet.restart((0..all).filter(|n| n % 10 < 7));
        fleet.pass(S);
        // Every session that plays is known again, and for each pair of front node and server there is one connection.
        assert_eq!(fleet.standing(), standing);
        for m in &fleet.media {
            let (fronts, opened) = m.opened(now, fleet.now());
            let holders: std::collections::BTreeSet<usize> = m.playing.values().copied().collect();
            assert!(opened == fronts && fronts <= holders.len(), "{opened} opened, {} hold", holders.len());
        }
        fleet.ask(1_000.0, 4 * S, LASTING);
        fleet.pass(6 * S);
        all_answered(fleet.sum);
    }
}

#[test]
fn probes_of_the_whole_fleet_stay_within_their_price() {
    for seed in SEEDS {
        let terms = Terms { reporting: "pull", ..terms() };
        let mut fleet = Fleet::start(terms, 100, seed);
        fleet.pass(terms.cold_us + S);
        fleet.ask(300.0, 20 * S, LASTING);
        fleet.pass(25 * S);
        let probes = fleet.media.iter().map(|m| m.probes.len()).sum::<usize>();
        // A probe costs 0.08 of the result a session: at 0.01 of it for probes, one for eight sessions.
        assert!(probes * 8 <= fleet.sum.asked, "{probes} probes for {} sessions", fleet.sum.asked);
        assert!(probes > 0, "nothing was probed, so nothing was checked");
    }
}

/// Calls for the list, by all front nodes whose event bus breaks off at the same instant and is back after so long.
fn calls(fronts: u64, seed: u64, back_after: u64) -> Vec<u64> {
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
fn calls_for_lists_after_a_break_are_few_and_spread() {
    for seed in SEEDS {
        let all = calls(300, seed, 5 * S);
        // Between a quarter and half of a second apart once the ladder is climbed: 20 each at most, and some at its foot.
        assert!(all.len() <= 300 * 24, "{} calls", all.len());
        // At the foot of the ladder they fall into 25 ms; from its top on no 10 ms have more than a tenth of them all.
        let top = all.iter().filter(|at| **at > 2 * S).copied().collect::<Vec<_>>();
        let most =
            top.iter().map(|from| top.iter().filter(|t| (*from..from + 10_000).contains(*t)).count()).max();
        assert!(most.is_some_and(|n| n <= 30), "{most:?} calls within 10 ms");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let fleet = in_service(seed, 40);
        (fleet.sum, fleet.media.iter().map(|m| m.set_ups.clone()).collect::<Vec<_>>())
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

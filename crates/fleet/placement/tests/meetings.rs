//! Words of boxes and to boxes that come late, after the box was lost or started again.
// Counts of a test are small.
#![allow(clippy::cast_possible_truncation)]

mod support;

use beechloft_leases::Token;
use beechloft_placement::names::*;
use beechloft_placement::state::Presence;
use beechloft_placement::words::commands::Source;
use beechloft_placement::words::orders::{Do, News, Said, Tell};
use beechloft_placement::{Answer, Command, Disk, Placements, Rules, Step};
use support::*;

const AT: BoxId = BoxId(1);

fn step(state: &mut Placements, step: Step) -> Answer {
    let answer = state.apply(&Command::Step(Token(1), step)).0;
    state.audit().expect("all sums hold");
    answer
}

/// The step that a box's answer to a look gives.
fn met(state: &Placements, disk: &mut Disk) -> Step {
    let (Said::Here { life, disk, told, .. }, None) = disk.handle(&Tell::Look(state.told(AT))) else {
        panic!("it says who it is")
    };
    Step::Met { id: AT, life, disk, told }
}

#[test]
fn a_late_word_of_a_life_that_is_over_does_not_bring_it_back() {
    let mut s = fleet(1, 1, 1_000, Rules::default());
    let mut old = Disk::new(Life(11), DiskId(1), []);
    let first = met(&s, &mut old);
    assert_eq!(step(&mut s, first), Answer::Done);
    // On its way while the box starts again with an empty disk.
    let late = met(&s, &mut old);
    let mut new = Disk::new(Life(12), DiskId(2), []);
    let second = met(&s, &mut new);
    assert_eq!(step(&mut s, second), Answer::Done);
    assert_eq!(step(&mut s, late), Answer::Nothing);
    assert_eq!(s.presence(AT), Some(Presence::Up { life: Life(12), disk: DiskId(2) }));
}

#[test]
fn an_order_from_before_a_box_was_lost_is_not_taken_once_it_is_met_again() {
    let mut s = fleet(1, 1, 1_000, Rules::default());
    let mut disk = Disk::new(Life(11), DiskId(1), []);
    let first = met(&s, &mut disk);
    step(&mut s, first);
    let a = shard("ann", "a");
    s.apply(&put(&a, "1", None, request(&a, 10, &[("r0", 1)])));
    let begin = Step::Begin { shard: a.clone(), at: AT, from: Source::Origin };
    assert_eq!(step(&mut s, begin), Answer::Done);
    let beechloft_placement::state::CopyState::Copying { order, .. } = s.pins()[&a].copies[&AT].state else {
        panic!("it is copied")
    };
    let what = Do::Copy { from: Source::Origin, bytes: 10, kb_s: 1 };
    let late = Tell::Do { life: Life(11), order, shard: a.clone(), what };
    step(&mut s, Step::Lost { id: AT, life: Life(11) });
    let again = met(&s, &mut disk);
    assert_eq!(step(&mut s, again), Answer::Done);
    let (said, job) = disk.handle(&late);
    assert_eq!((said, job), (Said::Of { shard: a, order, news: News::Old }, None));
}

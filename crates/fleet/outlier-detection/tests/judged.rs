//! The verdict on all small cases, and what is held of it over time.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::time::Duration;

use beechloft_outlier_detection::{
    BoxKey, BoxLine, Change, Evidence, Fault, FrontLife, Ledger, MOST_REPORT, Outcome, Place, Places, Report,
    Rules, Seen, TitleLine, Tried, Verdicts, ViewerLine, Witness, judge, judge_titles, judge_viewers,
    title_key,
};

const SECOND: Duration = Duration::from_secs(1);
const BOX: BoxKey = BoxKey { server: 7, life: 70 };

/// What a front says of the box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    Silent,
    Accuses,
    Absolves,
}

use Word::{Absolves, Accuses, Silent};

fn places() -> Places {
    (0..9).map(|server| (server, Place { zone: (server % 3) as u16, size: 1.0 })).collect()
}

fn seen(word: Word) -> Option<Seen> {
    match word {
        Silent => None,
        // It found the others of the box's zone well.
        Accuses => Some(Seen { tries: 3, errors: 3, beside_well: 5, beside_bad: 1, ..Seen::default() }),
        Absolves => Some(Seen { tries: 3, ..Seen::default() }),
    }
}

fn witness(zone: u16, word: Word) -> Witness {
    let boxes = seen(word).map(|seen| BoxLine { key: BOX, seen }).into_iter().collect();
    Witness { version: 1, zone, report: Report { boxes, ..Report::default() } }
}

fn evidence(rules: &Rules, words: &[(u16, Word)]) -> Evidence {
    let mut e = Evidence::default();
    for (n, (zone, word)) in words.iter().enumerate() {
        e.put(rules, FrontLife(n as u64), witness(*zone, *word));
    }
    e
}

fn bad(rules: &Rules, words: &[(u16, Word)]) -> bool {
    !judge(rules, &places(), &evidence(rules, words)).is_empty()
}

fn zones(accusers: &[(u16, Word)]) -> usize {
    let mut zones: Vec<u16> = accusers.iter().filter(|w| w.1 == Accuses).map(|w| w.0).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.len()
}

/// Six fronts in all ways over three zones, each silent, an accuser or an absolver; one of them lies.
fn one_liar(rules: &Rules) -> Result<usize, String> {
    let mut condemned = 0;
    for spread in
        [[0, 0, 0, 0, 0, 0], [0, 0, 0, 1, 1, 1], [0, 0, 0, 0, 0, 1], [0, 0, 1, 1, 2, 2], [0, 0, 0, 0, 1, 2]]
    {
        for ways in 0..3u32.pow(6) {
            let word = |n: usize| [Silent, Accuses, Absolves][(ways / 3u32.pow(n as u32) % 3) as usize];
            let words: Vec<(u16, Word)> = (0..6).map(|n| (spread[n], word(n))).collect();
            let verdict = bad(rules, &words);
            condemned += usize::from(verdict);
            for liar in 0..6 {
                let honest: Vec<(u16, Word)> = (0..6).filter(|n| *n != liar).map(|n| words[n]).collect();
                let accusers = honest.iter().filter(|w| w.1 == Accuses).count();
                if verdict && (accusers < 2 || zones(&honest) < 2) {
                    return Err(format!("condemned by {words:?}, of whom {liar} may lie"));
                }
                // Nobody honest finds it well: what the one says changes nothing against its silence.
                let silent = |n: usize| if n == liar { (words[n].0, Silent) } else { words[n] };
                let without: Vec<(u16, Word)> = (0..6).map(silent).collect();
                let absolved = words[liar].1 == Absolves && honest.iter().all(|w| w.1 != Absolves);
                if absolved && bad(rules, &without) && !verdict {
                    return Err(format!("absolved by {liar} alone: {words:?}"));
                }
            }
        }
    }
    Ok(condemned)
}

#[test]
fn one_front_condemns_nobody_and_absolves_nobody() {
    let condemned = one_liar(&Rules::default()).expect("no law is broken");
    assert!(condemned > 100, "{condemned}");
}

#[test]
fn who_fails_everywhere_weighs_nothing() {
    let rules = Rules::default();
    let words: Vec<(u16, Word)> = (0..6).map(|n| (n % 3, Accuses)).collect();
    assert!(bad(&rules, &words));
    let judged_with = |well: u8, bad: u8| {
        let mut e = Evidence::default();
        for (n, (zone, word)) in words.iter().enumerate() {
            let mut w = witness(*zone, *word);
            let seen = &mut w.report.boxes[0].seen;
            (seen.beside_well, seen.beside_bad) = (well, bad);
            e.put(&rules, FrontLife(n as u64), w);
        }
        !judge(&rules, &places(), &e).is_empty()
    };
    // All others of the box's zone failed meanwhile, or most, or none was tried: it may be the way there.
    assert!(
        !judged_with(0, 0)
            && !judged_with(0, 4)
            && !judged_with(3, 4)
            && judged_with(4, 4)
            && judged_with(1, 0)
    );
}

#[test]
fn what_went_well_before_or_after_shows_nothing_of_the_time_between() {
    let rules = Rules::default();
    // Attempts at boxes 1, 4 and 7 of one zone, at these tenths of a second.
    let beside = |tries: &[(u64, u32, Outcome)]| {
        let mut l = Ledger::new(rules.window, 0);
        for (at, server, outcome) in tries {
            let tried = Tried {
                key: BoxKey { server: *server, life: 1 },
                zone: if *server == 2 { 2 } else { 1 },
                title: 0,
                viewer: None,
                outcome: *outcome,
                trial: false,
            };
            l.note(SECOND + SECOND / 10 * *at as u32, tried);
        }
        let report = l.report(9 * SECOND, &[].into());
        let seen = report.of(BoxKey { server: 7, life: 1 }).copied().expect("tried");
        (seen.beside_well, seen.beside_bad)
    };
    let (well, bad) = (Outcome::Well, Outcome::Error);
    assert_eq!(beside(&[(0, 4, well), (1, 7, bad), (2, 4, well), (3, 7, bad), (4, 4, well)]), (1, 0));
    // A cut: well before, all fails, well after.
    assert_eq!(
        beside(&[(0, 4, well), (1, 7, bad), (2, 4, bad), (3, 1, bad), (4, 7, bad), (5, 1, well)]),
        (0, 2)
    );
    // Another zone shows nothing of this one.
    assert_eq!(beside(&[(1, 7, bad), (2, 2, well), (3, 7, bad)]), (0, 0));
    assert_eq!(beside(&[(0, 4, well), (1, 7, bad), (2, 4, well)]), (0, 0), "one bad attempt");
}

#[test]
fn another_life_is_another_box_and_reports_are_replaced_not_added() {
    let rules = Rules::default();
    let words: Vec<(u16, Word)> = (0..6).map(|n| (n % 3, Accuses)).collect();
    let mut e = evidence(&rules, &words);
    let again = e.clone();
    e.merge(&rules, FrontLife(99), &again);
    assert_eq!(e, again);
    // Three say it of the life before, three of this one: neither is enough in two zones without one of them.
    for n in 0..3 {
        let mut w = witness(n, Accuses);
        w.version = 2;
        w.report.boxes[0].key.life += 1;
        w.report.boxes[0].seen.errors = 1;
        w.report.boxes[0].seen.tries = 1;
        e.put(&rules, FrontLife(u64::from(n)), w);
    }
    assert!(judge(&rules, &places(), &e).iter().all(|j| j.key == BOX));
    let young = e.fresh(&rules, |f| Some(if f.0 < 3 { SECOND } else { 7 * SECOND }));
    assert_eq!((young.iter().count(), judge(&rules, &places(), &young).len()), (3, 0));
}

#[test]
fn a_title_that_a_box_cannot_play_and_a_viewer_that_misbehaves_are_told_apart() {
    let rules = Rules::default();
    let title = title_key("title-3");
    let mut e = Evidence::default();
    for n in 0..6u64 {
        let mut w = witness((n % 3) as u16, Silent);
        let seen = Seen { tries: 9, errors: 2, ..Seen::default() };
        w.report.boxes = vec![BoxLine { key: BOX, seen }];
        w.report.titles = vec![TitleLine { key: BOX, title, tries: 2, bad: 2 }];
        w.report.viewers =
            vec![ViewerLine { viewer: 5, tries: 4, bad: 3 }, ViewerLine { viewer: 6, tries: 3, bad: 3 }];
        e.put(&rules, FrontLife(n), w);
    }
    assert!(judge(&rules, &places(), &e).is_empty());
    assert_eq!(judge_titles(&rules, &e), [(BOX, title)]);
    assert_eq!(judge_viewers(&rules, &e), [5]);
}

/// Looks each tenth of a second for a while; all that changed, and when.
struct Watch {
    v: Verdicts,
    now: Duration,
    changes: Vec<(Duration, Change)>,
    shares: Vec<(Duration, u16)>,
    trials: usize,
}

impl Watch {
    fn new(rules: Rules) -> Watch {
        Watch { v: Verdicts::new(rules), now: SECOND, changes: Vec::new(), shares: Vec::new(), trials: 0 }
    }

    fn pass(&mut self, span: Duration, e: &Evidence, life: u32, leased: bool) {
        let until = self.now + span;
        while self.now < until {
            let lives = |server: u32| {
                if server == BOX.server { BoxKey { server, life } } else { BoxKey { server, life: 1 } }
            };
            let out = self.v.look(self.now, e, &places(), lives, leased);
            self.changes.extend(out.changes.iter().map(|c| (self.now, *c)));
            let share = out.avoid.iter().find(|s| s.key.server == BOX.server).map_or(1_000, |s| s.share);
            if self.shares.last().is_none_or(|s| s.1 != share) {
                self.shares.push((self.now, share));
            }
            self.trials += usize::from(out.trial.is_some() && !leased);
            self.now += SECOND / 10;
        }
    }
}

/// What is held, from a verdict to its end without trials, after a restart, after good trials of two fronts and of one.
fn held(rules: Rules) -> Result<(), String> {
    let words: Vec<(u16, Word)> = (0..6).map(|n| (n % 3, Accuses)).collect();
    let (bad, none) = (evidence(&rules, &words), Evidence::default());
    let mut w = Watch::new(rules);
    w.pass(5 * SECOND, &bad, 70, false);
    w.pass(rules.hold + 2 * SECOND, &none, 70, false);
    if w.trials > 0 {
        return Err("tried without the lease".into());
    }
    w.pass(20 * SECOND, &none, 70, false);
    let kinds = |w: &Watch| -> Vec<&str> {
        let kind = |c: &Change| match c {
            Change::Condemned(_) => "condemned",
            Change::Spared(_) => "spared",
            Change::Restored(_) => "restored",
            Change::Lapsed(_) => "lapsed",
            Change::Back(_) => "back",
            Change::Replaced(_) => "replaced",
        };
        w.changes.iter().map(|(_, c)| kind(c)).collect()
    };
    if kinds(&w) != ["condemned", "lapsed", "back"] {
        return Err(format!("without trials: {:?}", w.changes));
    }
    let shares: Vec<u16> = w.shares.iter().map(|s| s.1).collect();
    if shares != [0, 125, 250, 500, 1_000] {
        return Err(format!("it comes back as {shares:?}"));
    }
    // Another process at its address.
    let mut w = Watch::new(rules);
    w.pass(SECOND, &bad, 70, false);
    w.pass(SECOND, &bad, 71, false);
    if kinds(&w) != ["condemned", "replaced"] {
        return Err(format!("a new process does not start clean: {:?}", w.changes));
    }
    // Good trials, of one front and of two.
    let mut w = Watch::new(rules);
    w.pass(SECOND, &bad, 70, false);
    w.pass(rules.quiet, &none, 70, false);
    let tried = |fronts: u64| {
        let mut e = Evidence::default();
        for n in 0..fronts {
            let mut w = witness(n as u16, Absolves);
            w.report.boxes[0].seen.trials_well = 1;
            e.put(&rules, FrontLife(n), w);
        }
        e
    };
    w.pass(5 * SECOND, &tried(1), 70, false);
    if kinds(&w) != ["condemned"] {
        return Err(format!("one good trial: {:?}", w.changes));
    }
    w.pass(SECOND, &tried(2), 70, false);
    if kinds(&w) != ["condemned", "restored"] {
        return Err(format!("two good trials: {:?}", w.changes));
    }
    // Of a zone's three boxes one may be held, of half a zone's part.
    let mut two = bad.clone();
    for (n, (_, witness)) in bad.iter().enumerate() {
        let mut more = witness.clone();
        more.version = 2;
        let key = BoxKey { server: 4, life: 1 };
        more.report.boxes.push(BoxLine { key, seen: more.report.boxes[0].seen });
        two.put(&rules, FrontLife(n as u64), more);
    }
    let mut w = Watch::new(rules);
    w.pass(5 * SECOND, &two, 70, false);
    if kinds(&w) != ["condemned", "spared"] {
        return Err(format!("two of three boxes of a zone: {:?}", w.changes));
    }
    Ok(())
}

#[test]
fn what_is_held_ages_comes_back_in_steps_and_never_takes_a_zone() {
    assert_eq!(held(Rules::default()), Ok(()));
}

#[test]
fn a_trial_is_one_attempt_and_whoever_made_it_leaves_the_next_to_others() {
    let rules = Rules::default();
    let words: Vec<(u16, Word)> = (0..6).map(|n| (n % 3, Accuses)).collect();
    let (bad, none) = (evidence(&rules, &words), Evidence::default());
    let lives = |server: u32| if server == BOX.server { BOX } else { BoxKey { server, life: 1 } };
    let mut v = Verdicts::new(rules);
    v.look(SECOND, &bad, &places(), lives, false);
    let early = v.look(10 * SECOND, &none, &places(), lives, true);
    assert!(!early.wants_trial && early.trial.is_none() && early.avoid[0].share == 0);
    let due = v.look(18 * SECOND, &none, &places(), lives, false);
    assert!(due.wants_trial && due.trial.is_none());
    let on = v.look(19 * SECOND, &none, &places(), lives, true);
    assert!(on.trial == Some(BOX) && on.avoid.is_empty());
    v.tried(19 * SECOND, BOX, false);
    let after = v.look(20 * SECOND, &none, &places(), lives, true);
    assert!(
        after.wants_trial && after.trial.is_none() && after.avoid[0].share == 0,
        "it keeps the lease for a while"
    );
    let given = v.look(30 * SECOND, &none, &places(), lives, true);
    assert!(!given.wants_trial && given.trial.is_none());
}

#[test]
fn the_ledger_slides_and_its_report_is_bounded() {
    let mut l = Ledger::new(10 * SECOND, 0);
    for server in 0..100u32 {
        for n in 0..=server {
            let outcome = if n % 2 == 0 && server < 50 { Outcome::Error } else { Outcome::Well };
            let (key, title) = (BoxKey { server, life: 1 }, n % 60);
            let viewer = Some(u64::from(n));
            l.note(
                5 * SECOND,
                Tried { key, zone: (server % 3) as u16, title, viewer, outcome, trial: n == 0 },
            );
        }
    }
    let asked = [80].into();
    let report = l.report(6 * SECOND, &asked);
    assert!(report.of(BoxKey { server: 80, life: 1 }).is_some(), "asked for");
    let bytes = report.encode();
    assert!(bytes.len() <= MOST_REPORT, "{}", bytes.len());
    assert!(Report::decode(&bytes).expect("sound").boxes.len() >= 20);
    assert!(Report::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Report::decode(&vec![0xff; MOST_REPORT]).is_err());
    let empty = l.report(15 * SECOND, &asked);
    assert_eq!(empty, Report::default());
}

#[cfg(feature = "planted")]
#[test]
fn planted_faults_are_found() {
    let with = |fault| {
        let mut rules = Rules::default();
        rules.plant(fault);
        rules
    };
    for fault in [Fault::OneZone, Fault::OneFront, Fault::OneAbsolves] {
        let found = one_liar(&with(fault)).expect_err("found");
        println!("{fault:?}: {found}");
    }
    for fault in
        [Fault::NoAge, Fault::NoLife, Fault::TrialsByAll, Fault::Herd, Fault::OneTrial, Fault::NoBound]
    {
        let found = held(with(fault)).expect_err("found");
        println!("{fault:?}: {found}");
    }
}

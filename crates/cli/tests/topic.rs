//! A topic on keepers as real processes with faults between them and to them. Publishers and subscribers are stand-ins; what they
//! are told and see is judged: no message that was acknowledged is lost, none is there twice, no subscriber misses one, and nothing
//! that was deleted or overtaken comes back.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use beechloft_checker::topic::{Recorded, Verdict};
use beechloft_coordinator::FleetSettings;
use beechloft_fakes::topic::{Pace, Reader, Writer};
use beechloft_fault_proxy::{DirectionFault, LinkFault};
use beechloft_topic::Name;
use rustix::process::Signal;
use support::keepers::{Fleet, error_text};
use support::{PATIENCE, wait_until};

const KEEPERS: usize = 5;
const TOPIC: &str = "test/topic";
const PACE: Pace = Pace { every: Duration::from_millis(2), keys: 40, bytes: 100, deletes: 30 };

/// Keepers with a topic, and those who write and follow it, each by relays of its own.
struct Trial {
    fleet: Fleet,
    name: Name,
    record: Recorded,
    writers: Vec<Writer>,
    readers: Vec<Reader>,
    places: usize,
}

impl Trial {
    /// With relays for so many writers and readers.
    fn new(places: usize, retention_ms: u32) -> Trial {
        let more = format!("  topics: [{{name: {TOPIC}, retention_ms: {retention_ms}, keys: 10000}}]\n");
        let fleet = Fleet::with_options(KEEPERS, places, &more);
        fleet.leader(KEEPERS);
        let name = Name::try_from(TOPIC.to_owned()).expect("a name");
        let record = Recorded::default();
        Trial { fleet, name, record, writers: Vec::new(), readers: Vec::new(), places: 0 }
    }

    fn settings(&mut self) -> FleetSettings {
        let file = self.fleet.settings_of(None, Some(KEEPERS + self.places));
        self.places += 1;
        FleetSettings::read(&std::fs::read_to_string(file).expect("read")).expect("sound")
    }

    fn writer(&mut self, pace: Pace) -> &mut Trial {
        let (set, name) = (self.settings(), format!("w{}", self.writers.len()));
        let writer = Writer::start(&set, &self.name, &name, pace, &self.record);
        self.writers.push(writer.expect("it starts"));
        self
    }

    fn reader(&mut self, takes: Duration) -> &mut Trial {
        let (set, name) = (self.settings(), format!("r{}", self.readers.len()));
        let reader = Reader::start(&set, &self.name, &name, takes, &self.record);
        self.readers.push(reader.expect("it starts"));
        self
    }

    /// Waits until more messages are acknowledged, and every subscriber has them.
    fn goes_on(&self, what: &str) {
        let before = self.record.lock().acknowledged();
        let began = Instant::now();
        while self.record.lock().acknowledged() < before + 50 {
            assert!(
                began.elapsed() < PATIENCE,
                "nothing is acknowledged after {what}: {:?}",
                self.fleet.status()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        let highest = self.record.lock().highest();
        for (n, reader) in self.readers.iter().enumerate() {
            wait_until(|| match reader.complete_to() {
                complete if complete > highest => Ok(()),
                complete => Err(format!("r{n} has {complete:?} of {highest:?} after {what}")),
            });
        }
    }

    /// Ends the writers, waits until all subscribers have all, and judges.
    fn ends(&mut self) -> Verdict {
        self.writers.drain(..).for_each(Writer::finish);
        let needs = self.record.lock().highest().map_or(0, |h| h + 1);
        for reader in &self.readers {
            assert!(reader.ends(needs, PATIENCE), "not all is seen: {:?} of {needs}", reader.complete_to());
        }
        let verdict = self.record.lock().judge();
        assert!(verdict.is_clean(), "{verdict:#?}");
        assert_eq!(verdict.unsure, 0, "{verdict:?}");
        println!("{verdict:?}");
        verdict
    }
}

#[test]
fn nothing_is_lost_missed_or_revived_whatever_becomes_of_keepers() {
    let mut trial = Trial::new(5, 2_000);
    for _ in 0..2 {
        trial.writer(PACE);
    }
    for _ in 0..2 {
        trial.reader(Duration::ZERO);
    }
    trial.goes_on("the start");

    // The leader is killed.
    let leader = trial.fleet.leader(KEEPERS);
    trial.fleet.kill(leader);
    trial.goes_on("the leader's death");
    trial.fleet.start(leader);

    // It is stopped for long and goes on.
    let leader = trial.fleet.leader(KEEPERS);
    trial.fleet.replicas[leader].as_ref().expect("it runs").signal(Signal::STOP);
    std::thread::sleep(Duration::from_secs(3));
    trial.goes_on("the leader's stop");
    trial.fleet.replicas[leader].as_ref().expect("it runs").signal(Signal::CONT);
    trial.goes_on("the leader's going on");

    // All are killed at once and start again on their disks.
    (0..KEEPERS).for_each(|n| trial.fleet.kill(n));
    std::thread::sleep(Duration::from_millis(500));
    (0..KEEPERS).for_each(|n| trial.fleet.start(n));
    trial.goes_on("the end of all keepers");

    // A disk is emptied, and its keeper replaced, while messages go on.
    let lost = (trial.fleet.leader(KEEPERS) + 1) % KEEPERS;
    trial.fleet.restart_with_empty_store(lost);
    trial.goes_on("a disk that was emptied");
    let out = trial.fleet.replace(lost, None);
    assert_eq!(out.status.code(), Some(0), "{}", error_text(&out));
    trial.goes_on("a keeper that was replaced");
    // It counts now, and has all: the topic's head is there, and two others may go.
    trial.fleet.leader(KEEPERS);
    (0..KEEPERS).filter(|n| *n != lost).take(2).for_each(|n| trial.fleet.kill(n));
    trial.goes_on("the end of two others");

    // One that comes late gets the latest of each.
    trial.reader(Duration::ZERO);
    trial.goes_on("a late joiner");
    let verdict = trial.ends();
    assert!(verdict.acknowledged > 500 && verdict.caught_up >= 3, "{verdict:?}");
}

#[test]
fn nothing_is_lost_missed_or_revived_whatever_links_do() {
    let mut trial = Trial::new(5, 2_000);
    for _ in 0..2 {
        trial.writer(PACE);
    }
    for _ in 0..3 {
        trial.reader(Duration::ZERO);
    }
    trial.goes_on("the start");

    // The leader is heard and hears nobody of the other keepers, then the reverse; all who write and follow reach it.
    let cut = DirectionFault { blocked: true, ..DirectionFault::default() };
    for way in [
        LinkFault { reverse: cut, ..LinkFault::default() },
        LinkFault { forward: cut, ..LinkFault::default() },
    ] {
        let leader = trial.fleet.leader(KEEPERS);
        (0..KEEPERS).filter(|n| *n != leader).for_each(|n| trial.fleet.set_link_fault(leader, n, way));
        trial.goes_on("a cut one way");
        trial.fleet.clear_link_faults();
        trial.goes_on("its healing");
    }

    // A keeper that does not lead is cut off from the others, and still reached by those who follow: it tells of its silence, and
    // they leave it for another.
    let behind = (trial.fleet.leader(KEEPERS) + 1) % KEEPERS;
    (0..KEEPERS)
        .filter(|n| *n != behind)
        .for_each(|n| trial.fleet.set_link_fault(behind, n, LinkFault::partition()));
    trial.goes_on("a keeper cut off from the others");
    trial.fleet.clear_link_faults();

    // All links are late and break again and again.
    let late = DirectionFault { delay: Duration::from_millis(30), ..DirectionFault::default() };
    trial.fleet.proxies.values().for_each(|r| r.set_fault(LinkFault { forward: late, reverse: late }));
    for _ in 0..4 {
        trial.fleet.proxies.values().for_each(|r| r.close_connections());
        std::thread::sleep(Duration::from_millis(500));
    }
    trial.goes_on("links that are late and break");
    trial.fleet.clear_link_faults();
    trial.goes_on("their healing");
    trial.ends();
}

#[test]
fn who_is_slow_holds_up_nobody_and_who_slept_beyond_the_tombstones_is_told_anew() {
    let mut trial = Trial::new(5, 1_000);
    trial.writer(PACE);
    // Its keys are seldom written again: deletions that nothing has overtaken are left when the retention is over. Those of the
    // first writer are overtaken within a tenth of a second, if the machine keeps up, and then there is nothing to forget.
    trial.writer(Pace { every: Duration::from_millis(10), keys: 400, ..PACE });
    trial.reader(Duration::ZERO);
    // It takes longer for each than they come: it is put back to what is not overtaken, and gets there.
    trial.reader(Duration::from_millis(8));
    // It sleeps: it reaches no keeper.
    trial.reader(Duration::ZERO);
    trial.goes_on("the start");
    // After two writers and two readers.
    let sleeper = KEEPERS + 4;
    (0..KEEPERS).for_each(|n| trial.fleet.set_link_fault(sleeper, n, LinkFault::partition()));
    let asleep = trial.readers[2].complete_to();
    let before = trial.record.lock().caught_up("r2");
    let horizons = |trial: &Trial| -> BTreeSet<u64> {
        let all = trial.fleet.status();
        all.iter().filter_map(|s| s["status"]["topics"][0]["horizon"].as_u64()).collect()
    };
    // Until deletions that came after its sleep began are remembered by no keeper.
    wait_until(|| match horizons(&trial).first() {
        Some(least) if Some(*least) > asleep => Ok(()),
        least => Err(format!("{least:?}, asleep at {asleep:?}")),
    });
    // And for longer than a subscriber stands silence: it has left its keeper, and comes back with its offset.
    std::thread::sleep(Duration::from_secs(8));
    trial.fleet.clear_link_faults();
    trial.goes_on("the sleeper's waking");
    let told = trial.fleet.status();
    let line = &told[0]["status"]["topics"][0];
    assert!(line["subscribers"].as_u64().is_some() && line["head"].as_u64() > Some(50), "{line}");
    let verdict = trial.ends();
    let after = trial.record.lock().caught_up("r2");
    assert!(after > before, "the sleeper was told anew, and is caught up again: {verdict:?}");
}

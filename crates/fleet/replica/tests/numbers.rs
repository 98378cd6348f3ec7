//! Simulation of fronts that share the limits of media servers by leased slots, under random faults.
//!
//! All fronts together never exceed the limit of a media server within its window, whatever each of them believes about its share.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use beechloft_consensus::NodeId;
use beechloft_leases::{
    Answer, Command, DriftBound, Fault, Handoff, HolderId, Name, Op, Request, SlotAssignment, SlotShare,
    Succession, Table, Token,
};
use rand::RngExt;
use rand::seq::IndexedRandom;
use support::SimulatedFleet;

const STEP: Duration = Duration::from_millis(25);
/// Time in which the actions at a media server are counted.
const WINDOW: Duration = Duration::from_millis(700);
const FRONTS: usize = 14;
/// Media servers, each with the number of actions that all fronts together may perform there within the window.
const SERVER_LIMITS: [(u32, usize); 6] = [(0, 1), (1, 2), (2, 3), (3, 6), (7, 11), (8, 40)];

/// The planned restart of a front, in true time.
#[derive(Debug, Clone, Copy)]
struct PlannedRestart {
    /// Time at which the front hands off its slot. It performs no actions from the plan on.
    hands_off_at: Duration,
    /// Time at which the next process starts.
    starts_at: Duration,
    handed_off: bool,
}

struct Front {
    holder: HolderId,
    planned_restart: Option<PlannedRestart>,
    slot_assignment: SlotAssignment,
    /// Times of the front's actions within the window by its own clock, by media server.
    actions: BTreeMap<u32, VecDeque<Duration>>,
}

struct Fronts {
    fronts: Vec<Front>,
    /// True times of the actions of all fronts, each with the index of the front, by media server.
    actions: BTreeMap<u32, VecDeque<(Duration, usize)>>,
    action_count: u64,
    /// Number of times at which a front had a share.
    share_observations: u64,
    /// Tokens of slots that were inherited from an earlier process of the instance.
    inherited_slots: BTreeSet<Token>,
    violation: Option<String>,
    fault: Option<Fault>,
}

/// Returns the number of actions that a front with this share may perform at a media server within the window.
///
/// It mirrors the rule that the policy applies during slow start.
fn allowed_actions(server: u32, limit: usize, share: SlotShare) -> usize {
    let SlotShare::Of { slot, slot_count } = share else { return 0 };
    match limit / slot_count as usize {
        0 => usize::from(((server + slot) % slot_count) < limit as u32),
        per_front => per_front,
    }
}

impl Fronts {
    fn front(&self, holder: HolderId) -> Front {
        #[allow(unused_mut)]
        let mut slot_assignment =
            SlotAssignment::new(DriftBound::ppm(50_000).expect("within bounds"), WINDOW);
        if let Some(fault) = self.fault {
            slot_assignment.inject(fault);
        }
        Front { holder, planned_restart: None, slot_assignment, actions: BTreeMap::new() }
    }

    /// Lets each front perform all actions that its share allows now.
    fn perform_actions(&mut self, fleet: &SimulatedFleet) {
        // True duration of the window by the fastest clock within the drift bound.
        let min_window = WINDOW.div_f64(1.05);
        for index in 0..FRONTS {
            let Some(now) = fleet.clock(index) else { continue };
            if self.fronts[index].holder != fleet.candidates[index].id {
                // A new process does not know the actions of its predecessor.
                self.fronts[index] = self.front(fleet.candidates[index].id);
            }
            let front = &mut self.fronts[index];
            let permit = fleet.candidates[index].holder.permit(now);
            if let Some(permit) = permit.as_ref().filter(|permit| permit.succession().is_some()) {
                self.inherited_slots.extend(permit.token_at(now));
            }
            front.slot_assignment.update(now, permit.as_ref());
            let share = front.slot_assignment.share(now);
            self.share_observations += u64::from(share != SlotShare::None);
            for (server, limit) in SERVER_LIMITS {
                let actions = front.actions.entry(server).or_default();
                while actions.front().is_some_and(|at| now - *at > WINDOW) {
                    actions.pop_front();
                }
                while actions.len() < allowed_actions(server, limit, share) {
                    actions.push_back(now);
                    self.action_count += 1;
                    let recent = self.actions.entry(server).or_default();
                    recent.push_back((fleet.now, index));
                    while recent.front().is_some_and(|(at, _)| fleet.now - *at >= min_window) {
                        recent.pop_front();
                    }
                    if recent.len() > limit {
                        let why = format!(
                            "{} actions at server {server} with limit {limit}: {:?} at {:?}",
                            recent.len(),
                            recent,
                            fleet.now
                        );
                        self.violation.get_or_insert(why);
                    }
                }
            }
        }
    }
}

impl Fronts {
    fn new(fleet: &SimulatedFleet, fault: Option<Fault>) -> Fronts {
        let mut fronts = Fronts {
            fronts: Vec::new(),
            actions: BTreeMap::new(),
            action_count: 0,
            share_observations: 0,
            inherited_slots: BTreeSet::new(),
            violation: None,
            fault,
        };
        fronts.fronts = (0..FRONTS).map(|index| fronts.front(fleet.candidates[index].id)).collect();
        fronts
    }

    /// Plans the restart of a front, which performs no more actions.
    ///
    /// It hands off its slot some time later, and the next process starts some time after that. Another process of the instance may
    /// start in between.
    fn begin_restart(&mut self, fleet: &mut SimulatedFleet, index: usize) {
        let Some(now) = fleet.clock(index).filter(|_| self.fronts[index].planned_restart.is_none()) else {
            return;
        };
        let hands_off_at = fleet.now + WINDOW.mul_f64(fleet.rng.random_range(0.0..1.3));
        let starts_at = hands_off_at + Duration::from_millis(fleet.rng.random_range(0..1_500));
        self.fronts[index].slot_assignment.stop(now);
        self.fronts[index].planned_restart =
            Some(PlannedRestart { hands_off_at, starts_at, handed_off: false });
    }

    /// Hands off slots and starts processes as planned.
    fn continue_restarts(&mut self, fleet: &mut SimulatedFleet) {
        for index in 0..FRONTS {
            let front = &mut self.fronts[index];
            let (Some(now), Some(planned_restart)) = (fleet.clock(index), &mut front.planned_restart) else {
                continue;
            };
            if fleet.now >= planned_restart.hands_off_at && !planned_restart.handed_off {
                planned_restart.handed_off = true;
                if let Some(handoff) = front.slot_assignment.handoff_offer(now, 1_500) {
                    fleet.hand_off(index, handoff);
                }
            } else if fleet.now >= planned_restart.starts_at {
                fleet.restart_candidate(index);
            }
        }
    }
}

fn run(seed: u64, fault: Option<Fault>) -> (Fronts, usize) {
    let mut fleet = SimulatedFleet::new(3, FRONTS, 64, seed, fault);
    fleet.assign_instances();
    let mut fronts = Fronts::new(&fleet, fault);
    fleet.loss_per_mille = fleet.rng.random_range(0..60);
    fleet.duplicate_per_mille = fleet.rng.random_range(0..60);
    fleet.delay_per_mille = fleet.rng.random_range(0..30);
    let replicas = fleet.replica_ids();
    (0..FRONTS / 2).for_each(|index| fleet.acquire(index));
    for _ in 0..500 {
        for _ in 0..8 {
            fleet.advance(STEP);
            fronts.perform_actions(&fleet);
            fronts.continue_restarts(&mut fleet);
        }
        if fleet.violation.is_some() || fronts.violation.is_some() {
            break;
        }
        let index = fleet.rng.random_range(0..FRONTS);
        let span = Duration::from_millis(fleet.rng.random_range(100..4_000));
        let random_replica: NodeId = *replicas.choose(&mut fleet.rng).expect("replicas");
        match fleet.rng.random_range(0..22) {
            0..5 => fleet.acquire(index),
            5 => fleet.release(index),
            6 => fleet.kill(index),
            7 => fleet.pause(index, span),
            8 => fleet.pause_replica(fleet.leader().unwrap_or(random_replica), span),
            9 => drop(fleet.cut_client_links.insert((index, random_replica))),
            // Most fronts release their slots, so the fleet shrinks.
            10 => (0..FRONTS).filter(|other| other % 4 != index % 4).for_each(|other| fleet.release(other)),
            11 => (0..FRONTS).for_each(|other| fleet.acquire(other)),
            12 => fleet.stop_replica(fleet.leader().unwrap_or(random_replica)),
            13 | 14 => replicas.iter().for_each(|id| fleet.restart_replica(*id)),
            15 => fleet.cut_client_links.clear(),
            16..19 => fronts.begin_restart(&mut fleet, index),
            // Several fronts restart in the same period, as in a rolling update.
            19 => (index..FRONTS).take(4).for_each(|other| fronts.begin_restart(&mut fleet, other)),
            _ => {}
        }
    }
    (fronts, fleet.granted)
}

#[test]
fn fronts_together_never_exceed_limits_under_faults() {
    let (mut action_count, mut share_observations, mut granted, mut inherited_slots) = (0, 0, 0, 0);
    for seed in 0..60 {
        let (fronts, grants) = run(seed, None);
        assert_eq!(fronts.violation, None, "seed {seed}");
        action_count += fronts.action_count;
        share_observations += fronts.share_observations;
        granted += grants;
        inherited_slots += fronts.inherited_slots.len();
    }
    println!(
        "{action_count} actions, {share_observations} observations of a share, {granted} grants, {inherited_slots} slots inherited"
    );
    // Guards against a simulation in which no front may act.
    assert!(action_count > 40_000 && granted > 1_000, "{action_count} {granted}");
    assert!(inherited_slots > 300, "{inherited_slots} slots inherited");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        Fault::SlotUsedAtOnce,
        Fault::SmallerCountAtOnce,
        Fault::SlotGrantedTwice,
        Fault::RemainderIgnored,
        Fault::UsedAfterHandoff,
        Fault::SlotCountNotInherited,
        Fault::HandoffRepeated,
    ] {
        // This fault shows only in a fleet that shrinks while a slot is inherited. Seed 436 is the first that produces one.
        let first_seed = if fault == Fault::SlotCountNotInherited { 400 } else { 0 };
        let detected = (first_seed..first_seed + 100)
            .find_map(|seed| run(seed, Some(fault)).0.violation.map(|why| (seed, why)));
        println!("{fault:?}: {detected:?}");
        assert!(detected.is_some(), "{fault:?} is not detected");
    }
}

#[test]
fn fronts_get_and_keep_shares_without_faults() {
    let mut fleet = SimulatedFleet::new(3, FRONTS, 64, 5, None);
    let mut fronts = Fronts::new(&fleet, None);
    (0..FRONTS).for_each(|index| fleet.acquire(index));
    for step in 0..300 {
        fleet.advance(STEP);
        fronts.perform_actions(&fleet);
        // The TTL of the lease, the window, and two seconds for an election and the requests.
        if step * STEP.as_millis() > 1_000 + 700 + 2_000 {
            for (index, front) in fronts.fronts.iter().enumerate() {
                let share = front.slot_assignment.share(fleet.clock(index).expect("the candidate runs"));
                assert!(
                    matches!(share, SlotShare::Of { slot_count: 16, .. }),
                    "{index}: {share:?} at step {step}"
                );
            }
        }
    }
    let slots: BTreeSet<_> = fronts.fronts.iter().map(|front| front.slot_assignment.slot()).collect();
    assert_eq!(slots.len(), FRONTS);
}

/// Returns what the second process of an instance inherits after another front's grant was made and ended unnoticed.
///
/// The first process hands its slot off with a slot count of one and does not know the later grant. Actions of that front with a
/// share of more than one slot may still be in the window.
fn succession_after_unreported_grant_ended(fault: Option<Fault>) -> Option<Succession> {
    let mut table = Table::default();
    if let Some(fault) = fault {
        table.inject(fault);
    }
    let name = |text: &str| Name::try_from(text.to_owned()).expect("a name");
    let mut request = |holder, seq, op| {
        let request = Request { holder: HolderId(holder), seq, op };
        table.apply(&Command::Request(request)).answer.expect("an answer")
    };
    let acquire_as =
        |instance| Op::AcquireAs { name: name("task"), slots: 9, ttl_ms: 3_000, instance: name(instance) };
    request(1, 1, acquire_as("a"));
    request(2, 1, acquire_as("b"));
    let handoff = Handoff { slot_count: 1, remaining_ms: 700, newest_token: Token(1), reserve_ms: 5_000 };
    assert_eq!(
        request(1, 2, Op::HandOff { name: name("task"), token: Token(1), handoff }),
        Answer::HandedOff
    );
    request(2, 2, Op::Release { name: name("task"), token: Token(2) });
    match request(3, 1, acquire_as("a")) {
        Answer::HeldByInstance(Token(3), position, grant) if position.slot == 0 => grant.succession,
        other => panic!("{other:?}"),
    }
}

#[test]
fn does_not_inherit_slot_count_after_unreported_grant_ended() {
    assert_eq!(succession_after_unreported_grant_ended(None), None);
    assert!(
        succession_after_unreported_grant_ended(Some(Fault::EndedGrantIgnored)).is_some(),
        "the fault is not detected"
    );
}

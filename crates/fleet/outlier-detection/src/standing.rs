//! What is held of boxes: since when, until when, and how they come back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::evidence::Evidence;
use crate::judge::{Judged, Places, judge, judge_titles};
use crate::planted::Fault;
use crate::report::BoxKey;
use crate::rules::Rules;

/// Of a thousand sessions, those that are offered a box that comes back, step by step.
const STEPS: [u16; 3] = [125, 250, 500];

/// A box to be avoided, but for a share of a thousand sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shy {
    /// Which process.
    pub key: BoxKey,
    /// Of a thousand sessions.
    pub share: u16,
}

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It is held bad from now on.
    Condemned(Judged),
    /// It would be, but too much of its zone is already.
    Spared(Judged),
    /// It comes back, as fronts tried it and it was well.
    Restored(BoxKey),
    /// It comes back, as the verdict is old.
    Lapsed(BoxKey),
    /// It is back for all sessions.
    Back(BoxKey),
    /// Another process runs in its place.
    Replaced(BoxKey),
}

/// What is to be done now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outlook {
    /// Boxes to be avoided, the surest first.
    pub avoid: Vec<Shy>,
    /// Titles to be avoided at boxes.
    pub titles: Vec<(BoxKey, u32)>,
    /// The lease of trials is wanted.
    pub wants_trial: bool,
    /// This box is on trial here, now.
    pub trial: Option<BoxKey>,
    /// What changed.
    pub changes: Vec<Change>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum State {
    /// Held since, judged so last.
    Held { since: Duration, judged: Duration },
    /// It comes back, since.
    Returning { since: Duration },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    state: State,
    accusers: u32,
    /// This front's own trial: its last end, and how it ended.
    tried: Option<(Duration, bool)>,
}

/// What this front holds of boxes.
#[derive(Debug, Clone)]
pub struct Verdicts {
    rules: Rules,
    held: BTreeMap<BoxKey, Held>,
    spared: BTreeMap<BoxKey, Duration>,
    titles: BTreeMap<(BoxKey, u32), Duration>,
    /// The box on trial here, and since when.
    trial: Option<(BoxKey, Duration)>,
    /// After a trial that went badly the lease is kept until then, so that the next one in the fleet waits.
    rest_until: Duration,
    /// After a trial that nobody came to the lease is left to others until then.
    pause_until: Duration,
}

impl Verdicts {
    /// Nothing is held.
    pub fn new(rules: Rules) -> Verdicts {
        Verdicts {
            rules,
            held: BTreeMap::new(),
            spared: BTreeMap::new(),
            titles: BTreeMap::new(),
            trial: None,
            rest_until: Duration::ZERO,
            pause_until: Duration::ZERO,
        }
    }

    /// What it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Boxes that are held bad or come back.
    pub fn held(&self) -> impl Iterator<Item = BoxKey> {
        self.held.keys().copied()
    }

    /// The box on trial here.
    pub fn on_trial(&self) -> Option<BoxKey> {
        self.trial.map(|t| t.0)
    }

    /// An attempt on trial has ended: whether it went well.
    pub fn tried(&mut self, now: Duration, key: BoxKey, well: bool) {
        if self.trial.is_some_and(|t| t.0 == key) {
            self.trial = None;
            if let Some(held) = self.held.get_mut(&key) {
                held.tried = Some((now, well));
                if let State::Held { judged, .. } = &mut held.state
                    && !well
                {
                    // What this front has seen itself it goes by, for itself.
                    *judged = now;
                }
            }
            if !well {
                self.rest_until = now + self.rules.trial_gap;
            }
        }
    }

    /// Looks at what is so now. `evidence` is fresh: see [`Evidence::fresh`]. `lives` tells which process runs at a box, as far as this
    /// front knows; `leased` is whether it has the lease of trials at this moment.
    pub fn look(
        &mut self,
        now: Duration,
        evidence: &Evidence,
        places: &Places,
        lives: impl Fn(u32) -> BoxKey,
        leased: bool,
    ) -> Outlook {
        let rules = self.rules;
        let mut out = Outlook::default();
        let current = |key: &BoxKey| lives(key.server) == *key || rules.planted(Fault::NoLife);
        // A new process starts clean.
        self.held.retain(|key, _| {
            let same = current(key) && places.contains_key(&key.server);
            if !same {
                out.changes.push(Change::Replaced(*key));
            }
            same
        });
        let judged = judge(&rules, places, evidence);
        for one in judged.into_iter().filter(|j| current(&j.key)) {
            self.judged(now, one, places, &mut out);
        }
        self.spared.retain(|_, at| now.saturating_sub(*at) < rules.hold);
        for key in judge_titles(&rules, evidence).into_iter().filter(|(key, _)| current(key)) {
            self.titles.insert(key, now);
        }
        let held_for = |at: &Duration| now.saturating_sub(*at) < rules.quiet || rules.planted(Fault::NoAge);
        self.titles.retain(|(key, _), at| current(key) && held_for(at));
        self.come_back(now, evidence, &mut out);
        self.trials(now, leased, &mut out);
        let mut avoid: Vec<(u32, Shy)> =
            self.held.iter().map(|(key, h)| (h.accusers, self.shy(now, *key, h))).collect();
        avoid.retain(|(_, s)| s.share < 1_000);
        avoid.sort_by_key(|(accusers, s)| (u32::MAX - accusers, s.key));
        out.avoid = avoid.into_iter().map(|(_, s)| s).collect();
        out.titles = self.titles.keys().copied().collect();
        out.trial = self.on_trial();
        out
    }

    fn shy(&self, now: Duration, key: BoxKey, held: &Held) -> Shy {
        let share = match held.state {
            _ if self.on_trial() == Some(key) => 1_000,
            State::Held { .. } => 0,
            State::Returning { since } => {
                let step = now.saturating_sub(since).as_nanos() / self.rules.step.as_nanos().max(1);
                let herd = self.rules.planted(Fault::Herd);
                STEPS.get(step as usize).copied().filter(|_| !herd).unwrap_or(1_000)
            }
        };
        Shy { key, share }
    }

    fn judged(&mut self, now: Duration, one: Judged, places: &Places, out: &mut Outlook) {
        let anew =
            Held { state: State::Held { since: now, judged: now }, accusers: one.accusers, tried: None };
        let room = self.room(one.key, places);
        match self.held.get_mut(&one.key) {
            Some(Held { state: State::Held { judged, .. }, accusers, .. }) => {
                (*judged, *accusers) = (now, one.accusers);
            }
            Some(held) => {
                *held = anew;
                out.changes.push(Change::Condemned(one));
            }
            None if room => {
                self.held.insert(one.key, anew);
                self.spared.remove(&one.key);
                out.changes.push(Change::Condemned(one));
            }
            None => {
                if self.spared.insert(one.key, now).is_none() {
                    out.changes.push(Change::Spared(one));
                }
            }
        }
    }

    /// Whether a zone's bound has room for another: by size, with all that are held or come back.
    fn room(&self, key: BoxKey, places: &Places) -> bool {
        let Some(place) = places.get(&key.server) else { return false };
        let of_zone = |p: &&crate::judge::Place| p.zone == place.zone;
        let all: f64 = places.values().filter(of_zone).map(|p| p.size).sum();
        let held: f64 =
            self.held.keys().filter_map(|k| places.get(&k.server)).filter(of_zone).map(|p| p.size).sum();
        held + place.size <= all * f64::from(self.rules.part) / 1_000.0 + 1e-9
            || self.rules.planted(Fault::NoBound)
    }

    fn come_back(&mut self, now: Duration, evidence: &Evidence, out: &mut Outlook) {
        let rules = self.rules;
        let mut back = Vec::new();
        for (key, held) in &mut self.held {
            match held.state {
                State::Held { since, judged } => {
                    let trials = |f: fn(&crate::report::Seen) -> u8| {
                        evidence.iter().filter(|(_, w)| w.report.of(*key).is_some_and(|s| f(s) > 0)).count()
                    };
                    // What was tried in an earlier round is out of all windows by then.
                    let counts = now.saturating_sub(since) >= rules.quiet;
                    let (well, badly) = (trials(|s| s.trials_well), trials(|s| s.trials_badly));
                    let needed = if rules.planted(Fault::OneTrial) { 1 } else { rules.trials };
                    let old = now.saturating_sub(judged) >= rules.hold && !rules.planted(Fault::NoAge);
                    if counts && well >= needed && well > badly {
                        held.state = State::Returning { since: now };
                        out.changes.push(Change::Restored(*key));
                    } else if old {
                        held.state = State::Returning { since: now };
                        out.changes.push(Change::Lapsed(*key));
                    }
                }
                State::Returning { since }
                    if now.saturating_sub(since) >= rules.step * STEPS.len() as u32 =>
                {
                    back.push(*key);
                }
                State::Returning { .. } => {}
            }
        }
        for key in back {
            self.held.remove(&key);
            out.changes.push(Change::Back(key));
        }
    }

    /// Which box this front may try, and whether it wants to.
    fn trials(&mut self, now: Duration, leased: bool, out: &mut Outlook) {
        let rules = self.rules;
        let leased = leased || rules.planted(Fault::TrialsByAll);
        let due = |held: &Held| {
            let State::Held { judged, .. } = held.state else { return false };
            // Whoever tried it leaves the next trial to others.
            let own = held.tried.is_none_or(|(at, _)| now.saturating_sub(at) >= rules.quiet);
            own && (now.saturating_sub(judged) >= rules.quiet || rules.planted(Fault::TrialsByAll))
        };
        if let Some((key, since)) = self.trial {
            let there = self.held.get(&key).is_some_and(|h| matches!(h.state, State::Held { .. }));
            let nobody_came = now.saturating_sub(since) >= rules.trial_for;
            if !leased || !there || nobody_came {
                self.trial = None;
            }
            if nobody_came {
                // Others may have more luck.
                self.pause_until = now + rules.trial_for * 2;
            }
        }
        let next =
            self.held.iter().filter(|(_, h)| due(h)).min_by_key(|(k, h)| (h.tried, **k)).map(|(k, _)| *k);
        let (rests, pauses) = (now < self.rest_until, now < self.pause_until);
        out.wants_trial = (self.trial.is_some() || next.is_some() || rests) && !pauses;
        if self.trial.is_none() && leased && !rests && !pauses {
            self.trial = next.map(|key| (key, now));
        }
    }
}

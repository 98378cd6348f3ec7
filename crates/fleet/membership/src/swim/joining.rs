//! How a member finds others, learns what gossip missed, and leaves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Output, Swim};
use crate::planted::Fault;
use crate::roster::{Life, Member};
use crate::sync;
use crate::words::{Digests, MemberId, PARTS, Packet, Rumour, Said};

/// From one comparison to the next.
const COMPARE: Duration = Duration::from_secs(10);
/// The same while the last brought something: whoever is new learns of all within seconds.
pub(super) const MORE: Duration = Duration::from_millis(500);
/// Comparisons that are answered in a second, at most.
pub(super) const ANSWERS: f64 = 20.0;
/// From one try to reach a seed to the next, alone: at first and at most.
const JOIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));
/// The same while others are there: guards against a fleet that was parted and stays so, each part for itself.
const REJOIN: Duration = Duration::from_secs(20);
/// Whom a member tells that it leaves.
const FAREWELLS: usize = 8;
/// Rosters that differ for so long are compared, as gossip is over by then.
const DIFFERS_FOR: Duration = Duration::from_secs(6);

impl Swim {
    /// Looks for others at the seeds, and for whoever is gone and may only have been parted.
    pub(super) fn join(&mut self, out: &mut Vec<Output>) {
        let alone = self.roster.there() <= 1;
        let wait = if alone { (JOIN.0 * 2u32.pow(self.joins.min(6))).min(JOIN.1) } else { REJOIN };
        self.joins = if alone { self.joins.saturating_add(1) } else { 0 };
        self.join_at = self.now + self.about(wait);
        let there = |m: &&Member| m.life.is_there();
        let known: BTreeSet<SocketAddr> =
            self.roster.iter().map(|(_, m)| m).filter(there).map(|m| m.about.address).collect();
        let gone = self.roster.iter().filter(|(_, m)| m.life == Life::Gone).map(|(_, m)| m.about.address);
        let places: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(gone).filter(|at| !known.contains(at)).collect();
        if !places.is_empty() {
            let at = places[self.rng.random_range(0..places.len())];
            self.compare(at, None, out);
        }
    }

    pub(super) fn differs(&mut self, digest: u64, at: SocketAddr, from: MemberId, out: &mut Vec<Output>) {
        if digest == self.roster.digest() {
            (self.differs_since, self.newcomer) = (None, false);
            return;
        }
        let since = *self.differs_since.get_or_insert(self.now);
        if self.now - since >= DIFFERS_FOR && self.now >= self.compare_at {
            self.differs_since = None;
            self.compare(at, Some(from), out);
        }
    }

    pub(super) fn compare(&mut self, at: SocketAddr, to: Option<MemberId>, out: &mut Vec<Output>) {
        if self.planted(Fault::NoComparing) && self.roster.there() > 1 {
            return;
        }
        self.counts.compared += 1;
        self.compare_at = self.now + self.about(COMPARE);
        self.compared = Some((at, to));
        // Who is asked learns of this one, which may be new.
        let (own, digests) = (self.alive(), self.roster.digests());
        self.send(at, to, Said::Compare { digests, answers: false }, vec![own], out);
    }

    pub(super) fn answer(
        &mut self,
        at: SocketAddr,
        to: MemberId,
        theirs: &Digests,
        answers: bool,
        out: &mut Vec<Output>,
    ) {
        if answers {
            // Only to who was asked.
            if self.compared.is_none_or(|(asked, _)| asked != at) {
                return;
            }
        } else {
            let passed = (self.now - self.answers_at).as_secs_f64();
            self.answers = (self.answers + passed * ANSWERS).min(ANSWERS);
            self.answers_at = self.now;
            // Guards against a fleet that starts at once at one seed, and against whoever asks without end.
            if self.answers < 1.0 {
                self.counts.unanswered += 1;
                return;
            }
            self.answers -= 1.0;
        }
        let first = self.rng.random_range(0..PARTS);
        for rumours in sync::entries(&self.roster, theirs, first, self.id) {
            out.push(Output::Send(at, Packet { from: self.id, to: Some(to), said: Said::Entries, rumours }));
        }
        if !answers {
            let digests = self.roster.digests();
            self.send(at, Some(to), Said::Compare { digests, answers: true }, Vec::new(), out);
        }
    }

    pub(super) fn leave(&mut self) -> Vec<Output> {
        let (id, incarnation) = (self.id, self.incarnation);
        let farewell = Rumour::Gone { id, incarnation, by: id };
        let mut out = Vec::new();
        let mut told: Vec<(MemberId, SocketAddr)> = self
            .roster
            .iter()
            .filter(|(to, m)| *to != id && m.life.is_there())
            .map(|(to, m)| (to, m.about.address))
            .collect();
        told.shuffle(&mut self.rng);
        for (to, at) in told.into_iter().take(FAREWELLS) {
            out.push(Output::Send(
                at,
                Packet { from: id, to: Some(to), said: Said::Entries, rumours: vec![farewell.clone()] },
            ));
        }
        self.left = true;
        out
    }
}

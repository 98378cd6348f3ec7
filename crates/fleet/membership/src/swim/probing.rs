//! Probes, help with those of others, and who is asked for help (SWIM, sections 3.1 and 4.3; Lifeguard, section IV-A).

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Output, PERIOD, Swim};
use crate::planted::Fault;
use crate::roster::Life;
use crate::words::{Incarnation, MemberId, Rumour, Said};

/// For an answer, before others are asked to ask.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Others that are asked to ask (SWIM's k).
const HELPERS: usize = 3;
/// When a helper says that it heard nothing, in parts of its time-out (Lifeguard, section IV-A).
const NACK_AT: f64 = 0.8;
/// Help that is given at once, at most.
const MOST_HELP: usize = 64;

/// A probe that is out.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: MemberId,
    pub(super) seq: u64,
    /// When others are asked.
    pub(super) ask_at: Option<Duration>,
    pub(super) answered: bool,
    pub(super) helpers: u32,
    pub(super) nacks: u32,
}

/// A probe made for another.
#[derive(Debug, Clone)]
pub(super) struct Help {
    pub(super) whose: MemberId,
    pub(super) at: SocketAddr,
    pub(super) seq: u64,
    pub(super) nack_at: Option<Duration>,
    pub(super) until: Duration,
}

impl Swim {
    pub(super) fn period(&mut self, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            self.silent(&probe, out);
        }
        self.period_at = self.now + self.slower(PERIOD);
        self.periods += 1;
        if self.periods.is_multiple_of(64) {
            self.roster.forget(self.now);
        }
        let Some(target) = self.next_target() else { return };
        let Some((address, life, incarnation)) = self.whereabouts(target) else { return };
        let seq = self.next_seq();
        self.counts.probes += 1;
        let ask_at = Some(self.now + self.slower(TIMEOUT));
        self.probe = Some(Probe { target, seq, ask_at, answered: false, helpers: 0, nacks: 0 });
        // Who is suspected hears it first of all, so that it can refute it (Lifeguard's buddy system).
        let by = self.id;
        let warning = Rumour::Suspected { id: target, incarnation, by };
        let first = if life == Life::Suspected { vec![warning] } else { Vec::new() };
        let digest = self.roster.digest();
        self.send(address, Some(target), Said::Ping { seq, digest }, first, out);
    }

    pub(super) fn whereabouts(&self, id: MemberId) -> Option<(SocketAddr, Life, Incarnation)> {
        let member = self.roster.get(id)?;
        Some((member.about.address, member.life, member.incarnation))
    }

    /// Each in turn, in an order that is drawn anew each round: so that none waits longer than two rounds (SWIM, section 4.3).
    fn next_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(id) = self.order.get(self.place).copied() {
                self.place += 1;
                if self.roster.get(id).is_some_and(|m| m.life.is_there()) {
                    return Some(id);
                }
            }
            let own = self.id;
            self.order =
                self.roster.iter().filter(|(id, m)| *id != own && m.life.is_there()).map(|m| m.0).collect();
            self.order.shuffle(&mut self.rng);
            self.place = 0;
        }
        None
    }

    /// Any that are there, but for this one; at most one of them from this member's own zone if others are known: what parts
    /// two zones must not look like a member's end to a helper on the same side.
    pub(super) fn helpers(&mut self, not: MemberId) -> Vec<MemberId> {
        let mut found: Vec<MemberId> = Vec::new();
        let mut near: Vec<MemberId> = Vec::new();
        for _ in 0..8 * HELPERS {
            let Some(id) = self.order.get(self.rng.random_range(0..self.order.len().max(1))).copied() else {
                break;
            };
            let Some(member) = self.roster.get(id).filter(|m| m.life == Life::Alive) else { continue };
            if id == not || id == self.id || found.contains(&id) || near.contains(&id) {
                continue;
            }
            let own_zone = member.about.zone == self.about.zone;
            if !own_zone || near.is_empty() {
                found.push(id);
            }
            if own_zone {
                near.push(id);
            }
            if found.len() == HELPERS {
                return found;
            }
        }
        let more: Vec<MemberId> = near.into_iter().filter(|id| !found.contains(id)).collect();
        found.extend(more);
        found.truncate(HELPERS);
        found
    }

    pub(super) fn ask_others(&mut self, out: &mut Vec<Output>) {
        let Some(probe) = &mut self.probe else { return };
        probe.ask_at = None;
        let (target, seq, answered) = (probe.target, probe.seq, probe.answered);
        if answered || self.planted(Fault::NoHelpers) {
            return;
        }
        let Some((address, ..)) = self.whereabouts(target) else { return };
        let helpers = self.helpers(target);
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len() as u32;
        }
        for helper in helpers {
            if let Some((at, ..)) = self.whereabouts(helper) {
                self.send(at, Some(helper), Said::PingFor { seq, target, address }, Vec::new(), out);
            }
        }
    }

    /// Nothing came, from it or from any helper.
    fn silent(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        self.counts.failed += 1;
        // Helpers that say so are there: then it is not this member's own fault (Lifeguard, section IV-A).
        let unheard = if probe.helpers == 0 { 1 } else { probe.helpers.saturating_sub(probe.nacks) };
        self.worse(unheard);
        if let Some((_, life, incarnation)) = self.whereabouts(probe.target)
            && life.is_there()
        {
            self.learn(Rumour::Suspected { id: probe.target, incarnation, by: self.id }, out);
        }
    }

    pub(super) fn help(
        &mut self,
        whose: MemberId,
        at: SocketAddr,
        seq: u64,
        target: (MemberId, SocketAddr),
        out: &mut Vec<Output>,
    ) {
        if self.helps.len() >= MOST_HELP {
            return;
        }
        let own = self.next_seq();
        let span = self.slower(TIMEOUT);
        let nack_at = Some(self.now + span.mul_f64(NACK_AT));
        self.helps.insert(own, Help { whose, at, seq, nack_at, until: self.now + self.slower(PERIOD) });
        let digest = self.roster.digest();
        self.send(target.1, Some(target.0), Said::Ping { seq: own, digest }, Vec::new(), out);
    }

    pub(super) fn nack(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        self.helps.retain(|_, h| now < h.until);
        let due: Vec<u64> =
            self.helps.iter().filter(|(_, h)| h.nack_at.is_some_and(|at| now >= at)).map(|h| *h.0).collect();
        for own in due {
            let Some(help) = self.helps.get_mut(&own) else { continue };
            help.nack_at = None;
            let (at, to, seq) = (help.at, help.whose, help.seq);
            self.send(at, Some(to), Said::Nack { seq }, Vec::new(), out);
        }
    }

    pub(super) fn acked(&mut self, seq: u64, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.answered) {
            probe.answered = true;
            probe.ask_at = None;
            self.health = self.health.saturating_sub(1);
        } else if let Some(help) = self.helps.remove(&seq) {
            let digest = self.roster.digest();
            self.send(help.at, Some(help.whose), Said::Ack { seq: help.seq, digest }, Vec::new(), out);
        }
    }
}

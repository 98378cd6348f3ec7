//! Rungs of sessions that play: down for relief or a newcomer, up where there is room.

use super::*;

const RELIEVE_ABOVE: f64 = 1.0; // a resource used above this is relieved by stepping down...
const RELIEVE_TO: f64 = 0.95; // ...to here
const SPARE: f64 = 0.2; // left on top of the margin by a step that earns nothing for its rate
const RAISE_GAP: Micros = Micros(6_000_000); // from a change of rung to a step up, doubled by each relief...
const MAX_HOLDS: u32 = 4; // ...up to this many times
const RAISE_PART: f64 = 0.1; // of a link is raised in one tick, or else a single step

impl Gauge {
    /// No raise here for a while: twice as long if the last one ended lately, so that a link whose size
    /// swings settles at what it gives when it is worst. It hurts when it was short for once only.
    fn hold(&mut self, now: Micros) {
        if now >= self.held_until {
            let lately = now <= self.held_until + Micros(RAISE_GAP.0 << self.holds);
            self.holds = if lately { (self.holds + 1).min(MAX_HOLDS) } else { 1 };
            self.held_until = now + Micros(RAISE_GAP.0 << (self.holds - 1));
        }
    }
}

impl Policy {
    /// Steps own sessions down where a link or uplink is asked for more than it gives; each front takes
    /// its own part of the excess off. A part of a step is rounded by chance, once for each figure heard:
    /// of many fronts with a small part each, none would step otherwise, or all would.
    pub(super) fn relieve(&mut self) {
        let links = self.servers.iter().filter(|(_, s)| s.strikes == 0).map(|(&id, s)| (s.rack, Some(id)));
        let all: Vec<(u32, Option<ServerId>)> = links.chain(self.racks.keys().map(|&r| (r, None))).collect();
        for (rack, only) in all {
            let server = only.and_then(|id| self.servers.get(&id));
            let Some(gauge) = server.map(|s| &s.link).or(self.racks.get(&rack)) else { continue };
            let (own, news) = (gauge.own, gauge.heard_at().is_some_and(|t| self.now - t <= TICK));
            let (size, load) = server.map_or_else(|| self.uplink(rack), |s| self.link(s));
            if load <= RELIEVE_ABOVE * size {
                continue;
            }
            let link = only.and_then(|id| self.servers.get_mut(&id)).map(|s| &mut s.link);
            link.or(self.racks.get_mut(&rack)).into_iter().for_each(|g| g.hold(self.now));
            let mut need = (load - RELIEVE_TO * size) * (own / load).min(1.0);
            for (_, sid, at, freed) in self.steps_down(rack) {
                if need > 0.0 && only.is_none_or(|o| o == at) {
                    if need >= freed || (news && self.rng.chance(need / freed)) {
                        self.step(sid, -1);
                    }
                    need -= freed;
                }
            }
        }
    }

    /// Steps sessions up where there is room, those first that gain most for the rate. Each front waits its
    /// turn by chance, so that all of them do not take the same room. By a part of the link at a time: with a
    /// single step, servers of hundreds of sessions stayed at low rungs for most of their lives.
    pub(super) fn raise(&mut self) {
        let mut list = Vec::new();
        for (&id, s) in &self.sessions {
            let (Some(at), Phase::Playing) = (s.at, s.phase) else { continue };
            let rested = self.now - s.changed >= Micros(RAISE_GAP.0 << s.downs.min(MAX_HOLDS));
            if rested && s.rung < self.set.top(&s.req) {
                list.push((
                    self.set.earns(s.req.class, Rung(s.rung.0 + 1)),
                    id,
                    at,
                    s.req.class,
                    s.rung.0 + 1,
                ));
            }
        }
        list.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut done: BTreeMap<ServerId, f64> = BTreeMap::new();
        for (_, id, at, class, up) in list {
            let Some(s) = self.servers.get(&at) else { continue };
            let held = self.racks.get(&s.rack).into_iter().chain([&s.link]).any(|g| self.now < g.held_until);
            let (more, ceiling) = (self.set.stair(class, Rung(up)).1, self.ceiling(class, Rung(up)));
            let turn = self.rng.chance(s.link.own / self.link(s).1.max(1e-9));
            let given = done.get(&at).map_or(0.0, |given| given + more);
            if turn && !held && given <= RAISE_PART * s.link.size && self.fits(at, more, ceiling) {
                *done.entry(at).or_default() += more;
                self.step(id, 1);
            }
        }
    }

    /// Own sessions of a rack above their base, cheapest for the rate freed first: loss, id, server, rate.
    pub(super) fn steps_down(&self, rack: u32) -> Vec<(f64, SessionId, ServerId, f64)> {
        let mut list = Vec::new();
        for &id in self.books.at_rack.get(&rack).into_iter().flatten() {
            let Some(s) = self.sessions.get(&id).filter(|s| s.phase == Phase::Playing) else { continue };
            let Some(at) = s.at else { continue };
            if s.rung > self.base(s.req.class) {
                let (loss, freed) = self.set.stair(s.req.class, s.rung);
                list.push((loss, id, at, freed));
            }
        }
        list.sort_by(|a, b| (a.0 / a.3).total_cmp(&(b.0 / b.3)).then(a.1.cmp(&b.1)));
        list
    }

    pub(super) fn step(&mut self, id: SessionId, by: i8) {
        self.book(id, false);
        if let Some(s) = self.sessions.get_mut(&id) {
            (s.rung, s.changed) = (Rung(s.rung.0.saturating_add_signed(by)), self.now);
            s.downs += u32::from(by < 0);
            self.out.push(Action::SetRung { session: id, rung: s.rung });
        }
        self.book(id, true);
    }

    /// How full a link or uplink may be for a step to this rung: the less the step earns for its rate,
    /// against the best step of any class, the more is left spare.
    pub(super) fn ceiling(&self, class: ClassId, rung: Rung) -> f64 {
        let part = self.set.earns(class, rung) / self.best_step;
        1.0 - MARGIN - SPARE * (1.0 - part.clamp(0.0, 1.0))
    }

    /// The rung from the class's floor up that earns most for its rate.
    pub(super) fn base(&self, class: ClassId) -> Rung {
        let floor = self.set.class(class).min_rung;
        let per_kb = |r: &u8| self.set.worth(class, Rung(*r)) / self.set.rate(class, Rung(*r)).max(1e-9);
        let better = |a: &u8, b: &u8| per_kb(a).total_cmp(&per_kb(b)).then(b.cmp(a));
        (floor.0..=self.set.ladder_top().0).max_by(better).map_or(floor, Rung)
    }
}

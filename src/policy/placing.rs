//! Where a session goes: IS-C-SS of DIAR, the holders by rising load factor and the first that covers all.

use super::*;

const SETUPS_OUT: f64 = 4.0; // set-ups out at one server at most; the fourth resource of the load factor
const TIE: f64 = 0.05; // load factors are equal within this; then link, streams and uplink alone decide...
const ALIKE: f64 = 0.4; // ...by the logarithm, in steps of this times the root of other fronts; then the zone

impl Policy {
    /// Tries holders by rising load factor and sends to the first whose every resource covers the rung's
    /// rate; none: an answer at once.
    pub(super) fn place(&mut self, id: SessionId) {
        if std::mem::take(&mut self.stale) {
            self.think();
        }
        let Some(s) = self.sessions.get(&id) else { return };
        let (class, top) = (s.req.class, self.set.top(&s.req));
        let floor = self.set.class(class).min_rung;
        if top < floor || !self.may_try(s) || self.seats_taken(&s.req) {
            return self.give_up(id);
        }
        let base = self.base(class).min(top);
        let holders = self.holders(s);
        let first = self.first_covering(&holders, self.set.rate(class, base));
        let mut to = first.or_else(|| self.make_room(id, &holders, base)).map(|h| (h, base));
        for rung in (floor.0..base.0).rev().map(Rung) {
            to = to.or_else(|| Some((self.first_covering(&holders, self.set.rate(class, rung))?, rung)));
        }
        let Some((server, base)) = to else { return self.give_up(id) };
        // The highest rung that leaves the margin spare.
        let spare =
            |up: &u8| self.fits(server, self.set.rate(class, Rung(*up)), self.ceiling(class, Rung(*up)));
        let rung = (base.0 + 1..=top.0).rev().find(spare).map_or(base, Rung);
        self.send(id, server, rung);
    }

    /// Servers that hold the title and may take this session now.
    fn holders(&self, session: &Session) -> Vec<ServerId> {
        let req = &session.req;
        let cells = self.set.cells.max(1);
        let group = match self.set.class(req.class).idempotency {
            Idempotency::Deduplicated { scope: group, .. } => group,
            _ => DedupScope::All,
        };
        let ran: Vec<_> = session.ran.iter().filter_map(|r| Some(&self.servers.get(&r.0)?.entry)).collect();
        let open = |s: &&Server| {
            let place = (u32::from(s.entry.cell.0) + cells - req.first_cell % cells) % cells;
            let in_row = || place < req.cell_count.min(cells);
            let holds = req.eligible_servers.as_ref().map_or_else(in_row, |on| on.contains(&s.entry.server));
            let kin = ran.iter().all(|r| group.joins(r, &s.entry));
            let untried = !session.tried.contains(&s.entry.server);
            let ready = s.entry.state == EndpointState::Ready && holds;
            ready && kin && untried && self.pace_allows(s)
        };
        let open: Vec<&Server> = self.servers.values().filter(open).collect();
        let trial = session.tried.is_empty() && self.trials >= 1.0;
        let trusted = |s: &&&Server| self.now >= s.shut_until && (s.strikes == 0 || (trial && s.out == 0));
        let mut list: Vec<ServerId> = open.iter().filter(trusted).map(|s| s.entry.server).collect();
        if list.is_empty() {
            // All holders distrusted at once: the one whose rest ends first is tried, one set-up at a time.
            let least = open.iter().filter(|s| s.out == 0).min_by_key(|s| s.shut_until);
            list.extend(least.map(|s| s.entry.server));
        }
        list
    }

    /// The first holder by rising factor that covers the rate. Where a session is small against its server,
    /// set-ups out are the largest part at each, and the rest decides: guards against links filled in the own
    /// zone while others stay empty. Its steps are wider the more fronts see and take the same room.
    fn first_covering(&mut self, holders: &[ServerId], rate: f64) -> Option<ServerId> {
        let mut best: Option<((i64, i64, bool, u64), ServerId)> = None;
        let step = ALIKE * self.set.others().max(1.0).sqrt();
        for &id in holders {
            let Some(s) = self.servers.get(&id) else { continue };
            let (rest, away) = (self.load_factor(s, rate), s.entry.zone != self.set.zone);
            let factor = rest.max(1.0 / (SETUPS_OUT - f64::from(s.out)).max(1e-9));
            let key = ((factor / TIE) as i64, (rest.ln() / step) as i64, away, self.rng.next());
            if factor <= 1.0 && best.is_none_or(|(b, _)| key < b) {
                best = Some((key, id));
            }
        }
        best.map(|b| b.1)
    }

    /// The maximum over link, streams and uplink of need over available.
    fn load_factor(&self, s: &Server, rate: f64) -> f64 {
        let part = |need: f64, (size, load): (f64, f64)| match (1.0 - MARGIN) * size - load {
            _ if size.is_infinite() => 0.0,
            left if left > 0.0 => need / left,
            _ => f64::INFINITY,
        };
        let (link, uplink) = (self.link(s), self.uplink(s.rack));
        part(rate, link).max(part(rate, uplink)).max(part(1.0, self.streams(s)))
    }

    /// Whether the link and the uplink of a server stay under this part of their sizes with so much more.
    pub(super) fn fits(&self, id: ServerId, more: f64, part: f64) -> bool {
        let under = |(size, load): (f64, f64)| load + more <= part * size;
        self.servers.get(&id).is_some_and(|s| under(self.link(s)) && under(self.uplink(s.rack)))
    }

    /// Departure: before a viewer gets less than the base rung, own sessions above theirs step down where
    /// that costs less worth than the new session earns. Guards against full links that carry few sessions at
    /// high rungs, whatever filled them. It hurts when another front takes the room first.
    fn make_room(&mut self, id: SessionId, holders: &[ServerId], base: Rung) -> Option<ServerId> {
        let class = self.sessions.get(&id)?.req.class;
        let (rate, gain) = (self.set.rate(class, base), self.set.worth(class, base));
        let lacks = |(size, load): (f64, f64), need: f64| load + need - (1.0 - MARGIN) * size;
        let mut lists = BTreeMap::new();
        for &h in holders {
            let s = self.servers.get(&h)?;
            if lacks(self.streams(s), 1.0) > 0.0 || f64::from(s.out) + 1.0 > SETUPS_OUT {
                continue;
            }
            let (mut link, mut uplink) = (lacks(self.link(s), rate), lacks(self.uplink(s.rack), rate));
            let (mut loss, mut steps) = (0.0, Vec::new());
            let list = lists.entry(s.rack).or_insert_with(|| self.steps_down(s.rack));
            for &mut (cost, sid, at, freed) in list {
                if (link > 0.0 && at == h) || (link <= 0.0 && uplink > 0.0) {
                    loss += cost;
                    uplink -= freed;
                    link -= if at == h { freed } else { 0.0 };
                    steps.push(sid);
                }
            }
            if link <= 0.0 && uplink <= 0.0 && loss < gain {
                steps.into_iter().for_each(|sid| self.step(sid, -1));
                return Some(h);
            }
        }
        None
    }
}

//! Every decision of beechloft: who plays, on which server, at what rung, and what happens when things fail.
//! The types it is fed and answers with are in `src/interface.rs`; `docs/design.md` gives the reasons.
//!
//! In order: tuned values, events, placing (IS-C-SS of DIAR), trust and pace, rungs while playing, estimates.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::*;

const MARGIN: f64 = 0.15; // part of an announced size never promised, and left spare by a rung above the base
const REPORT_WINDOW: Micros = Micros(10_000_000); // a report fades over this into what is thought unheard
const FRESH: Micros = Micros(500_000); // within this, the highest report counts; past it, the newest
const TICK: Micros = Micros(500_000); // how often rungs, overdue answers and stale figures are looked at
const RELIEVE_ABOVE: f64 = 1.0; // a resource used above this is relieved by stepping down...
const RELIEVE_TO: f64 = 0.95; // ...to here
const SPARE: f64 = 0.2; // left on top of the margin by a step that earns nothing for its rate
const RAISE_GAP: Micros = Micros(6_000_000); // from a change of rung to a step up, doubled by each relief...
const RAISE_PART: f64 = 0.1; // of a link is raised in one tick, or else a single step
const MAX_HOLDS: u32 = 4; // ...up to this many times
const FIRST_SHARE: f64 = 0.45; // part of the time left to the aim for an attempt that another may follow
const LEAST_TRY: Micros = Micros(100_000); // with less time than this left to the aim, no further attempt
const SHUT: Micros = Micros(500_000); // a server's rest after a first failure, doubled by each further one...
const MAX_STRIKES: u32 = 5; // ...up to this many
const FULL_FOR: Micros = Micros(1_000_000); // a server that turned a set-up away counts as full so long
const SETUPS_OUT: f64 = 4.0; // set-ups out at one server at most; the fourth resource of the load factor
const TRIALS: f64 = 0.25; // part of the sessions taken that may be risked on distrusted servers
const COLD_SAFETY: f64 = 0.75; // part of the set-ups that would topple a cold server, for all fronts
const TIE: f64 = 0.05; // load factors are equal within this; then link, streams and uplink alone decide...
const ALIKE: f64 = 0.4; // ...by the logarithm, in steps of this times the root of other fronts; then the zone
const SHORT: f64 = 0.98; // delivered under this share, a server is short
const SAME: f64 = 0.03; // shares delivered that differ by less are taken for the doing of one uplink
const PROBE_AGE: Micros = Micros(2_000_000); // where only probes tell load, a rack unheard so long is probed
const PROBE_SPEND: f64 = 0.01; // part of the result that probes may cost, at one for each session at most
const PRIOR: f64 = 2.0; // what is thought of unheard resources without a figure weighs as so many reports

const TICK_TOKEN: TimerToken = TimerToken(1);

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

    /// Own load plus what others have: as the highest fresh report or the newest one says, fading with its
    /// age into `unheard`, what they are thought to have for the size without any. Each of `alike` others is
    /// thought to have grown since as own sessions did, so that not all of them take the same room.
    fn load(&self, now: Micros, size: f64, unheard: f64, alike: f64) -> f64 {
        if size.is_infinite() {
            return self.own;
        }
        let unheard = unheard * size;
        let others = |h: &(Micros, f64, f64)| {
            let weight = fading(now, h.0, REPORT_WINDOW);
            let then = (h.1 * size - h.2).max(0.0) + alike * (self.own - h.2).max(0.0);
            then * weight + unheard * (1.0 - weight)
        };
        let newest = self.newest().map_or(unheard, others);
        let fresh = self.heard.iter().filter(|h| now - h.0 <= FRESH).map(others);
        self.own + fresh.fold(newest, f64::max)
    }
}

/// The controller of one front.
#[derive(Debug, Default)]
pub struct Choice {
    pub(crate) set: Settings,
    best_step: f64, // the most that any step of any class earns for its rate
    rng: Random,
    now: Micros,
    out: Vec<Action>,
    born: bool,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) racks: BTreeMap<u32, Gauge>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) books: Books,
    unheard: [f64; 3],  // what others have of an unheard link, server's streams and uplink
    stale: bool,        // which is to be worked out anew
    subscribe: bool,    // the list is to be asked for at the next tick
    uplinks_told: bool, // reports have told of uplinks
    trials: f64,        // set-ups that may be risked on distrusted servers now
    probes: f64,        // probes that the sessions so far have paid for
    taken: Recent,
    extra: Recent,
    turn: Option<(u32, u32)>, // this front's number, of so many, where cold servers are paced
}

impl Choice {
    /// A controller that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let turn = Some((set.number, set.fronts.max(1)));
        Choice { best_step: set.best_step(), turn, set, rng: Random(seed), ..Choice::default() }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !std::mem::replace(&mut self.born, true) {
            self.subscribe = self.set.discovery == Discovery::Ask;
            self.tick();
        }
        match event {
            Event::Servers(form, entries) => self.list(form, entries),
            Event::Request(req) => self.request(req),
            Event::HandedOver(req, server) => self.handed_over(req, server),
            Event::Started { session, server, .. } => self.started(session, server),
            Event::Ended { session, server, outcome, closed, report, .. } => {
                self.report(server, report);
                self.ended(session, server, outcome, closed);
            }
            Event::Withdrawn(id) => self.withdrawn(id),
            Event::Noted { session, server, note } => self.noted(session, server, note),
            Event::Probed { server, outcome, report } => {
                self.report(server, report);
                if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
                    self.strike(server, now, outcome);
                }
            }
            Event::Numbered(n) => {
                self.turn = (n.number < n.of).then_some((n.number, n.of));
                self.set.fronts = n.fronts;
            }
            Event::Timer(TICK_TOKEN) => self.tick(),
            Event::Timer(_) | Event::Peer(..) => {}
        }
        out.append(&mut self.out);
    }

    fn list(&mut self, form: ListForm, entries: Vec<ServerEntry>) {
        if form == ListForm::Failed {
            self.subscribe = self.set.discovery == Discovery::Ask;
            return;
        }
        if form != ListForm::Delta {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        for entry in entries {
            // A front that starts anew can't tell which server restarted meanwhile: each counts as perhaps
            // cold, until sessions handed over show that this is the start of service.
            let known = self.servers.entry(entry.server).or_insert_with(|| {
                let doubt = if form == ListForm::Cached { self.set.cold.warm_after } else { Micros(0) };
                Server { doubt_until: self.now + doubt, ..Server::default() }
            });
            if entry.started > known.entry.started {
                // A new start ends old distrust; the cold time is known now.
                (known.strikes, known.shut_until, known.witnessed) = (0, Micros(0), false);
                known.link.heard.clear();
                known.cold_since = Some(entry.started);
            }
            known.rack = u32::from(entry.cell.0) % self.set.racks.max(1);
            known.entry = entry;
        }
        self.forget();
        self.announced();
        self.books.anew(&self.set, &mut self.servers, &mut self.racks, &self.sessions);
        self.stale = true;
    }

    /// Lets go of servers off the list, with nothing of this front's there, for longer than any rest. Guards
    /// against memory that grows by each server that is replaced; a list that flaps keeps what is known.
    fn forget(&mut self) {
        let (now, rest) = (self.now, Micros(SHUT.0 << MAX_STRIKES));
        self.servers.retain(|_, s| {
            let gone = s.entry.state == ServerState::Gone;
            s.gone_at = gone.then(|| s.gone_at.unwrap_or(now));
            s.out > 0 || s.streams.own > 0.0 || s.gone_at.is_none_or(|t| now - t <= rest)
        });
    }

    /// Announced sizes. Where the list tells none, links are shared out by the kinds' streams. The settings
    /// tell the mean uplink; each is thought to follow its rack's links, as first listed.
    fn announced(&mut self) {
        let set = &self.set;
        let count = self.listed().count().max(1) as f64;
        let mean_places = self.listed().map(|s| set.places(s.entry.kind)).sum::<f64>() / count;
        let unit = set.link_unit_kb.or(set.all_links_kb.map(|all| all / count));
        let mut links: BTreeMap<u32, f64> = BTreeMap::new();
        for s in self.servers.values_mut() {
            s.streams.size = set.places(s.entry.kind);
            let weight = match set.sizes {
                Sizes::Size if s.entry.size > 0.0 => s.entry.size,
                _ if mean_places > 0.0 => s.streams.size / mean_places,
                _ => 1.0,
            };
            s.link.size = unit.map_or(f64::INFINITY, |u| u * weight);
            *links.entry(s.rack).or_default() += s.link.size;
        }
        let mean = links.values().sum::<f64>() / links.len().max(1) as f64;
        for (rack, sum) in links {
            let part = if sum > 0.0 && sum.is_finite() { sum / mean } else { 1.0 };
            let size = set.uplink_kb.map_or(f64::INFINITY, |u| u * part);
            self.racks.entry(rack).or_insert_with(|| Gauge { size, ..Gauge::default() });
        }
    }

    fn request(&mut self, req: Request) {
        self.taken.note(self.now, self.set.budget_window());
        self.trials = (self.trials + TRIALS).min(1.0);
        self.probes += (PROBE_SPEND / self.set.probe_price.max(1e-9)).min(1.0);
        let id = req.session;
        let Some(class) = self.set.classes.get(usize::from(req.class.0)) else {
            self.out.push(Action::Fail(id));
            return;
        };
        let aim = (self.now + class.aim).min(req.gives_up);
        self.sessions.insert(id, Session { req, aim, ..Session::default() });
        self.place(id);
    }

    fn handed_over(&mut self, req: Request, server: ServerId) {
        self.servers.values_mut().for_each(|s| s.doubt_until = Micros(0));
        let Some(class) = self.set.classes.get(usize::from(req.class.0)) else { return };
        let (phase, at, rung) = (Phase::Playing, Some(server), class.floor);
        let session = Session { phase, at, rung, req, ..Session::default() };
        let id = session.req.session;
        self.sessions.insert(id, session);
        self.book(id, true);
        self.stale = true;
    }

    fn started(&mut self, id: SessionId, server: ServerId) {
        self.alive(server);
        let owed = |s: &&mut Session| s.at == Some(server) && s.phase == Phase::Owed;
        if let Some(s) = self.sessions.get_mut(&id).filter(owed) {
            (s.phase, s.changed) = (Phase::Playing, self.now);
            // What plays here was sound: the errors before were the servers'.
            let erred = std::mem::take(&mut s.erred);
            self.servers.entry(server).and_modify(|s| s.out = s.out.saturating_sub(1));
            erred.into_iter().for_each(|(at, sent)| self.strike(at, sent, Outcome::Error));
        }
    }

    /// A session is over that never played. An error that followed it from server to server is its own: a
    /// client's rubbish that reads well must not cost sound servers their trust. An error of one server alone
    /// counts against it. It hurts where all holders of a title err: none of them rests.
    fn blame(&mut self, s: &Session) {
        if let [(server, sent)] = s.erred[..] {
            self.strike(server, sent, Outcome::Error);
        }
    }

    fn ended(&mut self, id: SessionId, server: ServerId, outcome: Outcome, closed: bool) {
        let sent = self.sessions.get(&id).and_then(|s| s.ran.last()).map_or(self.now, |r| r.1);
        match outcome {
            Outcome::Ok => self.alive(server),
            Outcome::Cancelled | Outcome::Moot => {}
            // Whose fault it was shows in what becomes of the session.
            Outcome::Error if self.sessions.get(&id).is_some_and(|s| s.phase != Phase::Playing) => {}
            failure => self.strike(server, sent, failure),
        }
        self.book(id, false);
        let Some(mut s) = self.sessions.remove(&id) else { return };
        if s.phase != Phase::Playing {
            self.servers.entry(server).and_modify(|s| s.out = s.out.saturating_sub(1));
        }
        s.at = None;
        if outcome.never_ran() {
            s.ran.pop();
        }
        if outcome == Outcome::Error && s.phase != Phase::Playing {
            s.erred.push((server, sent));
        }
        if !closed && s.phase == Phase::Owed {
            self.sessions.insert(id, s);
            self.place(id);
        } else {
            self.blame(&s);
        }
    }

    fn withdrawn(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| s.phase == Phase::Owed) else { return };
        s.phase = Phase::Over;
        if s.at.is_none() {
            self.sessions.remove(&id).into_iter().for_each(|s| self.blame(&s));
        } else if self.set.limits.cancel {
            self.out.push(Action::Cancel(id, Attempt(s.tried.len().saturating_sub(1) as u16)));
        }
    }

    /// Tries holders by rising load factor and sends to the first whose every resource covers the rung's
    /// rate; none: an answer at once.
    fn place(&mut self, id: SessionId) {
        if std::mem::take(&mut self.stale) {
            self.think();
        }
        let Some(s) = self.sessions.get(&id) else { return };
        let (class, top) = (s.req.class, self.set.top(&s.req));
        let floor = self.set.class(class).floor;
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
    fn fits(&self, id: ServerId, more: f64, part: f64) -> bool {
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

    fn send(&mut self, id: SessionId, server: ServerId, rung: Rung) {
        if self.sessions.get(&id).is_some_and(|s| !s.tried.is_empty()) {
            self.extra.note(self.now, self.set.budget_window());
        }
        let more = self.budget_left();
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.tried.push(server);
        let last = !more || s.tried.len() >= self.set.limits.max_attempts as usize;
        let left = s.aim - self.now;
        let wait = if last { left } else { Micros::from_secs(left.secs() * FIRST_SHARE) };
        (s.at, s.rung) = (Some(server), rung);
        s.ran.push((server, self.now));
        self.out.push(Action::SetRung(id, rung));
        self.out.push(Action::SetUp(id, server, self.now + wait));
        if let Some(t) = self.servers.get_mut(&server) {
            t.out += 1;
            self.trials -= if t.strikes > 0 { self.trials.min(1.0) } else { 0.0 };
            t.sent.note(self.now, self.set.cold.span);
        }
        self.book(id, true);
    }

    /// One prompt final answer, the mildest that the class's effect allows.
    fn give_up(&mut self, id: SessionId) {
        let Some(s) = self.sessions.remove(&id) else { return };
        self.blame(&s);
        let lasting = match self.set.class(s.req.class).effect {
            Effect::Repeatable => false,
            Effect::Keyed { group, .. } => group != Group::All,
            Effect::Once => true,
        };
        let refusal = Action::Refuse(id, self.set.limits.retry_after);
        self.out.push(if lasting && !s.ran.is_empty() { Action::Fail(id) } else { refusal });
    }

    /// Whether one more attempt is allowed by time, count, budget and the class's effect.
    fn may_try(&self, s: &Session) -> bool {
        let safe = match self.set.class(s.req.class).effect {
            Effect::Repeatable => true,
            Effect::Keyed { window, .. } => s.ran.iter().all(|r| self.now - r.1 < window),
            Effect::Once => s.ran.is_empty(),
        };
        let further = s.aim - self.now > LEAST_TRY && s.tried.len() < self.set.limits.max_attempts as usize;
        if s.tried.is_empty() { self.now < s.aim } else { safe && further && self.budget_left() }
    }

    /// Whether one further attempt stays inside the budget.
    fn budget_left(&self) -> bool {
        let Some(b) = self.set.budget else { return true };
        let taken = self.taken.inside(self.now, b.window) as f64;
        let extra = self.extra.within(self.now, b.window) as f64;
        extra + 1.0 <= b.free + b.share * taken
    }

    fn seats_taken(&self, req: &Request) -> bool {
        self.set.class(req.class).seats.is_some_and(|n| self.books.seats(req) >= n as usize)
    }

    /// Servers that hold the title and may take this session now.
    fn holders(&self, session: &Session) -> Vec<ServerId> {
        let req = &session.req;
        let cells = self.set.cells.max(1);
        let group = match self.set.class(req.class).effect {
            Effect::Keyed { group, .. } => group,
            _ => Group::All,
        };
        let ran: Vec<_> = session.ran.iter().filter_map(|r| Some(&self.servers.get(&r.0)?.entry)).collect();
        let open = |s: &&Server| {
            let place = (u32::from(s.entry.cell.0) + cells - req.home % cells) % cells;
            let in_row = || place < req.holders.min(cells);
            let holds = req.on.as_ref().map_or_else(in_row, |on| on.contains(&s.entry.server));
            let kin = ran.iter().all(|r| group.joins(r, &s.entry));
            let untried = !session.tried.contains(&s.entry.server);
            let ready = s.entry.state == ServerState::Ready && holds;
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

    /// A failure: the server rests, longer each time, and then takes one set-up at a time. Holds against
    /// silent, erring, dead and unreachable servers alike, whatever the list says; it hurts when a lossy
    /// network shuts out a sound one. Set-ups sent before the last strike add none, nor a late answer of one
    /// that has answered others since: it is slow. One that turns set-ups away is full for a while.
    fn strike(&mut self, id: ServerId, sent: Micros, outcome: Outcome) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        if outcome == Outcome::Full {
            s.shut_until = s.shut_until.max(self.now + FULL_FOR);
            return s.link.hear(self.now, REPORT_WINDOW, self.set.guard.unwrap_or(1.0));
        }
        if outcome == Outcome::Timeout && s.alive_at > sent {
            return;
        }
        s.witnessed |= outcome != Outcome::Error;
        if s.strikes > 0 && sent <= s.struck_at {
            return;
        }
        s.strikes = (s.strikes + 1).min(MAX_STRIKES);
        s.struck_at = self.now;
        s.shut_until = self.now + Micros(SHUT.0 << (s.strikes - 1));
        if s.strikes == 1 {
            self.out.push(Action::Log(format!("server {} distrusted: {outcome:?}", id.0)));
        }
    }

    fn alive(&mut self, id: ServerId) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        self.trials += if s.strikes > 0 { 1.0 } else { 0.0 };
        s.strikes = s.strikes.saturating_sub(1);
        (s.shut_until, s.alive_at) = (Micros(0), self.now);
        let (seen, struck_at, rack) = (std::mem::take(&mut s.witnessed), s.struck_at, s.rack);
        if seen && !self.survived(id, rack, struck_at) {
            self.servers.entry(id).and_modify(|s| s.cold_since = Some(self.now));
        }
    }

    /// Whether own sessions that played on a server before its last strike still do: a start cuts them all.
    /// Guards against a lost answer or a broken connection that makes a sound server look cold; it hurts
    /// when a start is told before the ends of the sessions that it cut.
    fn survived(&self, id: ServerId, rack: u32, struck_at: Micros) -> bool {
        let there = self.books.at_rack.get(&rack).into_iter().flatten().filter_map(|s| self.sessions.get(s));
        let before = |s: &Session| s.ran.last().is_none_or(|r| r.1 < struck_at);
        there.into_iter().any(|s| s.at == Some(id) && s.phase == Phase::Playing && before(s))
    }

    /// How much of its capacity a server has for certain: less than 1 while it warms up.
    fn warmth(&self, s: &Server) -> f64 {
        let c = &self.set.cold;
        let age = s.cold_since.map_or(c.warm_after, |t| self.now - t).min(c.warm_after);
        if age == c.warm_after { 1.0 } else { c.from + (1.0 - c.from) * age.secs() / c.warm_after.secs() }
    }

    /// The pace of a server that started lately, or may have: this front's part of what all fronts may send
    /// within the rule's span if each does the same. Where a part is under one set-up, only some fronts send,
    /// chosen by the server's id and the front's number.
    fn pace_allows(&self, s: &Server) -> bool {
        let c = &self.set.cold;
        if c.multiple <= 0.0 || (!s.witnessed && self.warmth(s) >= 1.0 && self.now >= s.doubt_until) {
            return true;
        }
        let spans = c.span.secs() / c.warm_after.secs().max(1e-6);
        let all = COLD_SAFETY * c.multiple * c.from * s.streams.size * spans;
        let Some((number, fronts)) = self.turn else { return false };
        let part = (all / f64::from(fronts)) as usize;
        let turn = (u64::from(s.entry.server.0) + u64::from(number)) % u64::from(fronts);
        let mine = if part == 0 && (turn as f64) < all.floor() { 1 } else { part };
        s.sent.within(self.now, c.span) < mine
    }

    fn tick(&mut self) {
        self.out.push(Action::SetTimer(TICK, TICK_TOKEN));
        if std::mem::take(&mut self.subscribe) {
            self.out.push(Action::Subscribe);
        }
        // An answer is owed even if a driver forgets the outcome of an attempt cut to the viewer's time.
        for (&id, s) in &mut self.sessions {
            if s.phase == Phase::Owed && self.now >= s.req.gives_up {
                s.phase = Phase::Over;
                self.out.push(Action::Fail(id));
            }
        }
        self.think();
        self.relieve();
        self.raise();
        self.probe();
    }

    /// Steps own sessions down where a link or uplink is asked for more than it gives; each front takes
    /// its own part of the excess off. A part of a step is rounded by chance, once for each figure heard:
    /// of many fronts with a small part each, none would step otherwise, or all would.
    fn relieve(&mut self) {
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
    fn raise(&mut self) {
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
    fn steps_down(&self, rack: u32) -> Vec<(f64, SessionId, ServerId, f64)> {
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

    fn step(&mut self, id: SessionId, by: i8) {
        self.book(id, false);
        if let Some(s) = self.sessions.get_mut(&id) {
            (s.rung, s.changed) = (Rung(s.rung.0.saturating_add_signed(by)), self.now);
            s.downs += u32::from(by < 0);
            self.out.push(Action::SetRung(id, s.rung));
        }
        self.book(id, true);
    }

    /// Enters a session in the sums of its server and rack, or takes it out.
    fn book(&mut self, id: SessionId, entered: bool) {
        if let Some(s) = self.sessions.get(&id) {
            self.books.enter(&self.set, &mut self.servers, &mut self.racks, s, entered);
        }
    }

    fn report(&mut self, id: ServerId, report: LoadReport) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.link.hear(self.now, REPORT_WINDOW, report.link);
        s.streams.hear(self.now, REPORT_WINDOW, report.streams.map(|n| n / s.streams.size.max(1.0)));
        if let Some(g) = self.racks.get_mut(&s.rack) {
            g.hear(self.now, REPORT_WINDOW, report.uplink);
        }
        self.uplinks_told |= report.uplink.is_some();
    }

    fn noted(&mut self, id: SessionId, server: ServerId, note: Note) {
        match note {
            Note::Rung(rung) => {
                self.book(id, false);
                self.sessions.entry(id).and_modify(|s| s.rung = rung);
                self.book(id, true);
            }
            Note::LinkUse(x) => self.report(server, LoadReport { link: Some(x), ..Default::default() }),
            Note::UplinkUse(x) => self.report(server, LoadReport { uplink: Some(x), ..Default::default() }),
            Note::Delivered(share) => self.delivered(server, share),
        }
    }

    /// A note of short delivery counts as a report that the resource is asked for 1 / share of what it gives:
    /// the link if it is known to be full; else the uplink, if reports show it full or, where none tell of
    /// uplinks, if another server of the rack falls short alike. In all other cases it is the link.
    fn delivered(&mut self, id: ServerId, share: f64) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.short = (share < SHORT).then_some((self.now, share));
        if share >= SHORT {
            return;
        }
        let full = |g: &Gauge| g.last(self.now, REPORT_WINDOW).is_some_and(|x| x > SHORT);
        let (rack, link_full) = (s.rack, full(&s.link));
        let alike = |s: &Server| {
            let same = s.short.is_some_and(|(t, x)| self.now - t < FRESH && (x - share).abs() < SAME);
            s.entry.server != id && s.rack == rack && same
        };
        let up_full = self.racks.get(&rack).is_some_and(full);
        let at_uplink =
            !link_full && if self.uplinks_told { up_full } else { self.servers.values().any(alike) };
        let (uplink, link) = (self.racks.get_mut(&rack), self.servers.get_mut(&id).map(|s| &mut s.link));
        if let Some(g) = if at_uplink { uplink } else { link } {
            g.hear(self.now, REPORT_WINDOW, 1.0 / share.max(0.2));
        }
    }

    /// Where only probes tell load, a server of each rack unheard for a while is probed, the stalest
    /// first, own before others. Each session taken pays for a part of a probe, so that their price
    /// stays the same however many fronts and racks there are. Guards against stepping up blind; it hurts
    /// when few sessions come and the little that is heard grows old.
    fn probe(&mut self) {
        if !self.set.limits.probes || self.set.reporting != Reporting::InProbes {
            return;
        }
        let stale = |t: Option<Micros>| t.is_none_or(|t| self.now - t > PROBE_AGE);
        let mut order = Vec::new();
        for (&id, s) in &self.servers {
            let Some(rack) = self.racks.get(&s.rack).filter(|g| stale(g.heard_at())) else { continue };
            if s.entry.state == ServerState::Ready && s.strikes == 0 && stale(s.probed_at) {
                let rank = (rack.own <= 0.0, rack.heard_at(), s.link.own <= 0.0, s.link.heard_at());
                order.push((rank, id, s.rack));
            }
        }
        order.sort();
        let mut asked = BTreeSet::new();
        for (_, id, rack) in order {
            if self.probes >= 1.0 && asked.insert(rack) {
                self.probes -= 1.0;
                self.servers.entry(id).and_modify(|s| s.probed_at = Some(self.now));
                self.out.push(Action::Probe(id));
            }
        }
    }

    /// Size and load of a link; a cold server's is smaller.
    fn link(&self, s: &Server) -> (f64, f64) {
        let size = s.link.size * self.warmth(s);
        (size, s.link.load(self.now, size, self.unheard[0], 0.0))
    }

    fn streams(&self, s: &Server) -> (f64, f64) {
        (s.streams.size, s.streams.load(self.now, s.streams.size, self.unheard[1], 0.0))
    }

    /// Size and load of a rack's uplink.
    fn uplink(&self, rack: u32) -> (f64, f64) {
        let Some(g) = self.racks.get(&rack) else { return (f64::INFINITY, 0.0) };
        (g.size, g.load(self.now, g.size, self.unheard[2], self.set.others().sqrt()))
    }

    fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.listed())
    }

    /// Works out what others have of unheard resources, for their size; once in a tick, as it moves slowly.
    /// The sums of own sessions show a part of one in the number of fronts; each report shows what others
    /// have of one resource. Each weighs as much as it shows, a report less as it ages, and half use (for
    /// uplinks: what the links are thought to carry) as much as two reports.
    fn think(&mut self) {
        // Past the guard nothing more is taken, so that a higher figure is brief, or absurd.
        let cap = self.set.guard.unwrap_or(1.0);
        let mean = |like: &mut dyn Iterator<Item = &Gauge>, prior: f64| {
            let (mut own, mut size, mut heard, mut n, mut total) = (0.0, 0.0, PRIOR * prior, PRIOR, 0.0);
            for g in like {
                (own, size, total) = (own + g.own, size + g.size, total + 1.0);
                if let Some(h) = g.newest() {
                    let weight = fading(self.now, h.0, REPORT_WINDOW);
                    heard += weight * (h.1.min(cap) - h.2 / g.size.max(1e-9)).max(0.0);
                    n += weight;
                }
            }
            let alike = self.set.others() * own / f64::max(size, 1e-9);
            let part = total / f64::from(self.set.fronts.max(1));
            ((heard + alike * part) / (n + part), size)
        };
        let (link, links) = mean(&mut self.listed().map(|s| &s.link), 0.5);
        let (streams, _) = mean(&mut self.listed().map(|s| &s.streams), 0.5);
        let all = self.racks.values().map(|g| g.size).sum::<f64>().max(1e-9);
        let thin = links.is_finite() && all.is_finite();
        let (uplink, _) =
            mean(&mut self.racks.values(), if thin { (link * links / all).min(1.0) } else { 0.5 });
        self.unheard = [link, streams, uplink];
    }

    /// How full a link or uplink may be for a step to this rung: the less the step earns for its rate,
    /// against the best step of any class, the more is left spare.
    fn ceiling(&self, class: ClassId, rung: Rung) -> f64 {
        let part = self.set.earns(class, rung) / self.best_step;
        1.0 - MARGIN - SPARE * (1.0 - part.clamp(0.0, 1.0))
    }

    /// The rung from the class's floor up that earns most for its rate.
    fn base(&self, class: ClassId) -> Rung {
        let floor = self.set.class(class).floor;
        let per_kb = |r: &u8| self.set.worth(class, Rung(*r)) / self.set.rate(class, Rung(*r)).max(1e-9);
        let better = |a: &u8, b: &u8| per_kb(a).total_cmp(&per_kb(b)).then(b.cmp(a));
        (floor.0..=self.set.ladder_top().0).max_by(better).map_or(floor, Rung)
    }
}

//! Every decision of beechloft: who plays, on which server, at what rung, and what happens when things fail.
//! The types it is fed and answers with are in `src/interface.rs`; `docs/design.md` gives the reasons.
//!
//! Parts, in order: tuned values; what is known of a resource, a server, a session; events; placing (IS-C-SS of
//! DIAR); answers; trust and pace; rungs while playing; estimates.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

/// Part of an announced size that is never promised, and that a rung above the base leaves spare on top.
const MARGIN: f64 = 0.15;
/// A resource unheard for this long is estimated from others.
const REPORT_WINDOW: Micros = Micros(10_000_000);
/// Within this, the highest report counts; past it, the newest.
const FRESH: Micros = Micros(1_500_000);
/// How often rungs, overdue answers and stale figures are looked at.
const TICK: Micros = Micros(500_000);
/// A resource used above this is relieved by stepping own sessions down...
const RELIEVE_ABOVE: f64 = 0.95;
/// ...to here.
const RELIEVE_TO: f64 = 0.88;
/// Sessions that play step up while use stays under this.
const RAISE_TO: f64 = 0.80;
/// A session steps up again no sooner than this after a change.
const RAISE_GAP: Micros = Micros(6_000_000);
/// An attempt that may be followed by another gets this part of the time left to the aim.
const FIRST_SHARE: f64 = 0.45;
/// With less time than this left to the aim, no further attempt is made.
const LEAST_TRY: Micros = Micros(100_000);
/// A server is left alone so long after its first failure, twice as long after each further one...
const SHUT: Micros = Micros(500_000);
/// ...up to this many doublings.
const MAX_STRIKES: u32 = 5;
/// Part of the set-ups that would topple a cold server that all fronts together may use.
const COLD_SAFETY: f64 = 0.75;
/// Load factors are equal within this step; then the own zone and chance decide.
const TIE: f64 = 0.05;
/// Delivered under this share, a server is short.
const SHORT: f64 = 0.98;
/// A probe refreshes figures older than this, where only probes report.
const PROBE_AGE: Micros = Micros(2_000_000);

const TICK_TOKEN: TimerToken = TimerToken(1);

/// What is known of one resource: its size, what own sessions ask, and what was heard of its use.
#[derive(Debug, Default)]
struct Gauge {
    size: f64,
    own: f64,
    /// When, use over size, and what own sessions asked then.
    heard: VecDeque<(Micros, f64, f64)>,
}

impl Gauge {
    fn hear(&mut self, now: Micros, ratio: f64) {
        if ratio.is_finite() && ratio >= 0.0 {
            self.heard.push_back((now, ratio.min(5.0), self.own));
            while self.heard.len() > 16 || self.heard.front().is_some_and(|h| now - h.0 > REPORT_WINDOW) {
                self.heard.pop_front();
            }
        }
    }
    /// The use over size last heard within the window.
    fn last(&self, now: Micros) -> Option<f64> {
        self.heard.back().filter(|h| now - h.0 <= REPORT_WINDOW).map(|h| h.1)
    }
    /// The estimated load if anything was heard: each report moved on by what own sessions changed since.
    fn load(&self, now: Micros) -> Option<f64> {
        self.last(now)?;
        let moved = |h: &(Micros, f64, f64)| h.1 * self.size + self.own - h.2;
        let newest = self.heard.back().map(moved)?;
        let fresh = self.heard.iter().filter(|h| now - h.0 <= FRESH).map(moved);
        Some(fresh.fold(newest, f64::max).max(self.own))
    }
}

#[derive(Debug)]
struct Server {
    entry: ServerEntry,
    link: Gauge,
    streams: Gauge,
    /// Attempts out, and when set-ups went out lately.
    out: u32,
    sent: VecDeque<Micros>,
    strikes: u32,
    struck_at: Micros,
    shut_until: Micros,
    /// It may have restarted unseen; the first answer starts its cold time.
    witnessed: bool,
    cold_since: Option<Micros>,
    short: Option<(Micros, f64)>,
    probing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// An answer is owed.
    Owed,
    /// The viewer watches.
    Playing,
    /// Answered, but an attempt is still out.
    Over,
}

#[derive(Debug)]
struct Session {
    req: Request,
    phase: Phase,
    aim: Micros,
    at: Option<ServerId>,
    rung: Rung,
    changed: Micros,
    attempts: u32,
    tried: Vec<ServerId>,
    /// Attempts that may have run.
    ran: Vec<(ServerId, Micros)>,
    cheap: bool,
}

/// The controller of one front.
#[derive(Debug)]
pub struct Choice {
    set: Settings,
    rng: u64,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<u32, Gauge>,
    sessions: BTreeMap<SessionId, Session>,
    taken: VecDeque<Micros>,
    extra: VecDeque<Micros>,
    tenants: BTreeMap<TenantId, VecDeque<Micros>>,
    ticking: bool,
}

impl Choice {
    /// A controller that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Choice {
            set: settings,
            rng: seed,
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            sessions: BTreeMap::new(),
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            tenants: BTreeMap::new(),
            ticking: false,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.ticking {
            self.ticking = true;
            out.push(Action::SetTimer(TICK, TICK_TOKEN));
            if self.set.discovery == Discovery::Ask {
                out.push(Action::Subscribe);
            }
        }
        match event {
            Event::Servers(form, entries) => self.list(now, form, entries, out),
            Event::Request(req) => self.request(now, req, out),
            Event::HandedOver(req, server) => self.handed_over(now, req, server),
            Event::Started { session, server, .. } => self.started(now, session, server),
            Event::Ended { session, server, outcome, closed, report, .. } => {
                self.report(now, server, report);
                self.ended(now, session, server, outcome, closed, out);
            }
            Event::Withdrawn(id) => self.withdrawn(id, out),
            Event::Noted { session, server, note } => self.noted(now, session, server, note),
            Event::Probed { server, outcome, report } => {
                self.report(now, server, report);
                if let Some(s) = self.servers.get_mut(&server) {
                    s.probing = false;
                }
                match outcome {
                    Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                        self.strike(now, server, now, true, out);
                    }
                    Outcome::Ok => self.alive(now, server),
                    _ => {}
                }
            }
            Event::Timer(TICK_TOKEN) => self.tick(now, out),
            Event::Timer(_) | Event::Peer(..) => {}
        }
    }

    fn list(&mut self, now: Micros, form: ListForm, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            if self.set.discovery == Discovery::Ask {
                out.push(Action::Subscribe);
            }
            return;
        }
        if form != ListForm::Delta {
            for s in self.servers.values_mut() {
                s.entry.state = ServerState::Gone;
            }
        }
        for entry in entries {
            let warm_after = self.set.cold.warm_after;
            let cold = entry.started > Micros(0) && now - entry.started < warm_after;
            let known = self.servers.entry(entry.server).or_insert_with(|| Server {
                entry: ServerEntry { started: Micros(0), ..entry.clone() },
                link: Gauge::default(),
                streams: Gauge::default(),
                out: 0,
                sent: VecDeque::new(),
                strikes: 0,
                struck_at: Micros(0),
                shut_until: Micros(0),
                // A front that starts anew can't tell which server restarted meanwhile: each counts as perhaps
                // cold, until sessions handed over show that this is the start of service.
                witnessed: form == ListForm::Cached,
                cold_since: None,
                short: None,
                probing: false,
            });
            if entry.started > known.entry.started {
                // A new start ends old distrust; the cold time is known now.
                (known.strikes, known.shut_until, known.witnessed) = (0, Micros(0), false);
                known.link.heard.clear();
                known.cold_since = cold.then_some(entry.started);
            }
            known.entry = entry;
        }
        self.sizes();
    }

    /// Announced sizes. Where the list tells none, links are shared out by the kinds' streams.
    fn sizes(&mut self) {
        let places = |s: &Server| {
            let kind = usize::from(s.entry.kind.0);
            self.set.kind_streams.get(kind).copied().unwrap_or(u32::MAX)
        };
        let listed = || self.servers.values().filter(|s| s.entry.state != ServerState::Gone);
        let all_places: f64 = listed().map(|s| f64::from(places(s))).sum();
        let mean_places = all_places / listed().count().max(1) as f64;
        let unit =
            self.set.link_unit_kb.or(self.set.all_links_kb.map(|all| all / listed().count().max(1) as f64));
        let mut rack_links: BTreeMap<u32, f64> = BTreeMap::new();
        let mut found = Vec::new();
        for s in self.servers.values() {
            let weight = match self.set.sizes {
                Sizes::Size if s.entry.size > 0.0 => s.entry.size,
                _ if mean_places > 0.0 => f64::from(places(s)) / mean_places,
                _ => 1.0,
            };
            let link = unit.map_or(f64::INFINITY, |u| u * weight);
            if s.entry.state != ServerState::Gone {
                *rack_links.entry(rack_of(&self.set, s)).or_default() += link;
            }
            found.push((link, f64::from(places(s))));
        }
        for (s, (link, places)) in self.servers.values_mut().zip(found) {
            (s.link.size, s.streams.size) = (link, places);
        }
        // The settings tell the mean uplink; it keeps to a rack as its servers come and go.
        for rack in rack_links.into_keys() {
            self.racks.entry(rack).or_default().size = self.set.uplink_kb.unwrap_or(f64::INFINITY);
        }
        self.recount();
    }

    fn request(&mut self, now: Micros, req: Request, out: &mut Vec<Action>) {
        self.taken.push_back(now);
        let id = req.session;
        let class = usize::from(req.class.0);
        let Some(aim) = self.set.classes.get(class).map(|c| c.aim) else {
            out.push(Action::Fail(id));
            return;
        };
        let cheap = self.past_share(now, &req);
        let aim = (now + aim).min(req.gives_up);
        self.sessions.insert(id, new_session(req, Phase::Owed, aim, None, cheap, now));
        self.place(now, id, out);
    }

    fn handed_over(&mut self, now: Micros, req: Request, server: ServerId) {
        for s in self.servers.values_mut() {
            s.witnessed = false;
        }
        let id = req.session;
        let mut session = new_session(req, Phase::Playing, now, Some(server), false, now);
        session.rung = self.floor(session.req.class);
        self.sessions.insert(id, session);
        self.recount();
    }

    fn started(&mut self, now: Micros, id: SessionId, server: ServerId) {
        self.alive(now, server);
        if let Some(s) = self.sessions.get_mut(&id).filter(|s| s.at == Some(server) && s.phase == Phase::Owed)
        {
            s.phase = Phase::Playing;
            s.changed = now;
            if let Some(server) = self.servers.get_mut(&server) {
                server.out = server.out.saturating_sub(1);
            }
        }
    }

    fn ended(
        &mut self,
        now: Micros,
        id: SessionId,
        server: ServerId,
        outcome: Outcome,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let phase = self.sessions.get(&id).map(|s| s.phase);
        let sent = self.sessions.get(&id).and_then(|s| s.ran.last()).map_or(now, |r| r.1);
        let out_no_more = phase.is_some_and(|p| p != Phase::Playing);
        if let Some(s) = self.servers.get_mut(&server).filter(|_| out_no_more) {
            s.out = s.out.saturating_sub(1);
        }
        match outcome {
            Outcome::Error => self.strike(now, server, sent, false, out),
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                self.strike(now, server, sent, true, out);
            }
            Outcome::Full => {
                let guard = self.set.guard.unwrap_or(1.0);
                if let Some(s) = self.servers.get_mut(&server) {
                    s.link.hear(now, guard);
                }
            }
            Outcome::Ok => self.alive(now, server),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.at = None;
        if outcome.never_ran() {
            s.ran.pop();
        }
        if closed || s.phase != Phase::Owed {
            self.sessions.remove(&id);
            self.recount();
            return;
        }
        self.recount();
        self.place(now, id, out);
    }

    fn withdrawn(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let cancel = self.set.limits.cancel;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        match (s.phase, s.at) {
            (Phase::Playing, Some(_)) => {}
            (_, Some(_)) => {
                s.phase = Phase::Over;
                if cancel {
                    out.push(Action::Cancel(id, Attempt(s.attempts.saturating_sub(1) as u16)));
                }
            }
            (_, None) => {
                self.sessions.remove(&id);
            }
        }
    }

    // ---- Placing: IS-C-SS of DIAR ----

    /// Tries holders by rising load factor and sends to the first whose every resource covers the rung's rate;
    /// none: an answer at once.
    fn place(&mut self, now: Micros, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.get(&id) else { return };
        let (class, top, cheap) = (s.req.class, self.top(&s.req), s.cheap);
        let floor = self.floor(class);
        if top < floor || !self.may_try(now, s) || self.seats_taken(&s.req) {
            return self.give_up(id, out);
        }
        let base = if cheap { floor } else { self.base(class).min(top) };
        let holders = self.holders(now, s);
        let mut choice = None;
        for rung in (floor.0..=base.0).rev().map(Rung) {
            choice = self.first_covering(now, &holders, self.rate(class, rung)).map(|h| (h, rung));
            if choice.is_some() {
                break;
            }
        }
        if choice.is_none() && !cheap {
            choice = self.make_room(now, id, &holders, base, out).map(|h| (h, base));
        }
        let Some((server, base)) = choice else { return self.give_up(id, out) };
        // The highest rung that leaves the margin spare.
        let mut rung = base;
        for up in base.0 + 1..=if cheap { base.0 } else { top.0 } {
            if self.fits(now, server, self.rate(class, Rung(up)), 1.0 - 2.0 * MARGIN) {
                rung = Rung(up);
            }
        }
        self.send(now, id, server, rung, out);
    }

    fn first_covering(&mut self, now: Micros, holders: &[ServerId], rate: f64) -> Option<ServerId> {
        let mean = self.mean_use(now, holders);
        let mut best: Option<((i64, bool, u64), ServerId)> = None;
        for &id in holders {
            let factor = self.load_factor(now, id, rate, mean);
            if !(0.0..=1.0).contains(&factor) {
                continue;
            }
            let away = self.servers.get(&id).is_some_and(|s| s.entry.zone != self.set.zone);
            let key = ((factor / TIE) as i64, away, self.random());
            if best.is_none_or(|(b, _)| key < b) {
                best = Some((key, id));
            }
        }
        best.map(|b| b.1)
    }

    /// The maximum over link, streams and uplink of need over available; infinite where nothing is left.
    fn load_factor(&self, now: Micros, id: ServerId, rate: f64, mean: f64) -> f64 {
        let Some(s) = self.servers.get(&id) else { return f64::INFINITY };
        let part = |need: f64, size: f64, load: f64| {
            if size.is_infinite() {
                return 0.0;
            }
            let left = (1.0 - MARGIN) * size - load;
            if left > 0.0 { need / left } else { f64::INFINITY }
        };
        let link = part(rate, self.link_size(now, s), self.link_load(now, s, mean));
        let streams = part(1.0, s.streams.size, s.streams.load(now).unwrap_or(s.streams.own));
        let (size, load) = self.uplink(now, rack_of(&self.set, s), mean);
        link.max(streams).max(part(rate, size, load))
    }

    /// Whether the link and the uplink of a server stay under this part of their sizes with so much more.
    fn fits(&self, now: Micros, id: ServerId, more: f64, part: f64) -> bool {
        let Some(s) = self.servers.get(&id) else { return false };
        let mean = self.mean_use(now, &[]);
        let (size, load) = self.uplink(now, rack_of(&self.set, s), mean);
        self.link_load(now, s, mean) + more <= part * self.link_size(now, s) && load + more <= part * size
    }

    /// Departure: before a viewer is refused, own sessions above the base rung step down where that costs less
    /// worth than the new session earns. Guards against full links that carry few sessions at high rungs, whatever
    /// filled them. It may hurt when the room is taken by another front at once.
    fn make_room(
        &mut self,
        now: Micros,
        id: SessionId,
        holders: &[ServerId],
        base: Rung,
        out: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let class = self.sessions.get(&id)?.req.class;
        let (rate, gain) = (self.rate(class, base), self.worth(class, base));
        let mean = self.mean_use(now, holders);
        for &h in holders {
            let s = self.servers.get(&h)?;
            let rack = rack_of(&self.set, s);
            let full = 1.0 - MARGIN;
            let mut link_need = self.link_load(now, s, mean) + rate - full * self.link_size(now, s);
            let (size, load) = self.uplink(now, rack, mean);
            let mut up_need = load + rate - full * size;
            let streams = s.streams.load(now).unwrap_or(s.streams.own);
            if streams + 1.0 > full * s.streams.size {
                continue;
            }
            let mut loss = 0.0;
            let mut steps = Vec::new();
            for (cost, sid, at, freed) in self.steps_down(rack) {
                if link_need <= 0.0 && up_need <= 0.0 {
                    break;
                }
                if at == h || link_need <= 0.0 {
                    loss += cost;
                    up_need -= freed;
                    link_need -= if at == h { freed } else { 0.0 };
                    steps.push(sid);
                }
            }
            if link_need <= 0.0 && up_need <= 0.0 && loss < gain {
                for sid in steps {
                    self.step(now, sid, -1, out);
                }
                return Some(h);
            }
        }
        None
    }

    fn send(&mut self, now: Micros, id: SessionId, server: ServerId, rung: Rung, out: &mut Vec<Action>) {
        if self.sessions.get(&id).is_some_and(|s| s.attempts > 0) {
            self.extra.push_back(now);
        }
        let more = self.budget_left(now);
        let max_attempts = self.set.limits.max_attempts;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let left = s.aim - now;
        s.attempts += 1;
        let last = !more || s.attempts >= max_attempts;
        let wait = if last { left } else { Micros::from_secs(left.secs() * FIRST_SHARE) };
        s.at = Some(server);
        s.rung = rung;
        s.tried.push(server);
        s.ran.push((server, now));
        out.push(Action::SetRung(id, rung));
        out.push(Action::SetUp(id, server, now + wait));
        if let Some(t) = self.servers.get_mut(&server) {
            t.out += 1;
            t.sent.push_back(now);
            while t.sent.front().is_some_and(|f| now - *f > self.set.cold.span) {
                t.sent.pop_front();
            }
        }
        self.recount();
        self.probe_if_old(now, server, out);
    }

    /// One prompt final answer, the mildest that the class's effect allows.
    fn give_up(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.sessions.remove(&id) else { return };
        let effect = self.set.classes.get(usize::from(s.req.class.0)).map(|c| c.effect);
        let refusable = s.ran.is_empty()
            || matches!(effect, Some(Effect::Repeatable | Effect::Keyed { group: Group::All, .. }));
        out.push(if refusable { Action::Refuse(id, self.set.limits.retry_after) } else { Action::Fail(id) });
    }

    /// Whether one more attempt is allowed by time, count, budget and the class's effect.
    fn may_try(&self, now: Micros, s: &Session) -> bool {
        if s.attempts == 0 {
            return now < s.aim;
        }
        let effect = self.set.classes.get(usize::from(s.req.class.0)).map(|c| c.effect);
        let safe = match effect {
            Some(Effect::Repeatable) => true,
            Some(Effect::Keyed { window, .. }) => s.ran.iter().all(|r| now - r.1 < window),
            _ => s.ran.is_empty(),
        };
        safe && s.aim - now > LEAST_TRY && s.attempts < self.set.limits.max_attempts && self.budget_left(now)
    }

    /// Whether one further attempt stays inside the budget.
    fn budget_left(&self, now: Micros) -> bool {
        let Some(b) = self.set.budget else { return true };
        let taken = self.taken.iter().filter(|t| now - **t < b.window).count() as f64;
        let extra = self.extra.iter().filter(|t| now - **t <= b.window).count() as f64;
        extra + 1.0 <= b.free + b.share * taken
    }

    fn seats_taken(&self, req: &Request) -> bool {
        let Some(Some(seats)) = self.set.classes.get(usize::from(req.class.0)).map(|c| c.seats) else {
            return false;
        };
        let held = |s: &&Session| s.at.is_some() && s.req.title == req.title && s.req.class == req.class;
        self.sessions.values().filter(held).count() >= seats as usize
    }

    /// Servers that hold the title and may take this session now.
    fn holders(&self, now: Micros, session: &Session) -> Vec<ServerId> {
        let req = &session.req;
        let cells = self.set.cells.max(1);
        let holds = |s: &Server| {
            (u32::from(s.entry.cell.0) + cells - req.home % cells) % cells < req.holders.min(cells)
        };
        let effect = self.set.classes.get(usize::from(req.class.0)).map(|c| c.effect);
        let same_group = |s: &Server| match effect {
            Some(Effect::Keyed { group, .. }) => session.ran.iter().all(|r| {
                self.servers.get(&r.0).is_some_and(|first| match group {
                    Group::All => true,
                    Group::Zone => first.entry.zone == s.entry.zone,
                    Group::Cell => first.entry.cell == s.entry.cell,
                })
            }),
            _ => true,
        };
        let open = |s: &Server| {
            s.entry.state == ServerState::Ready && holds(s) && same_group(s) && self.pace_allows(now, s)
        };
        let fits: Vec<&Server> = self.servers.values().filter(|s| open(s)).collect();
        let untried = |s: &&&Server| !session.tried.contains(&s.entry.server);
        let trusted = |s: &&&Server| s.strikes == 0 || (now >= s.shut_until && s.out == 0);
        let mut list: Vec<ServerId> =
            fits.iter().filter(trusted).filter(untried).map(|s| s.entry.server).collect();
        if list.is_empty() {
            // All holders distrusted at once: the one whose rest ends first is tried, one set-up at a time.
            let least = fits.iter().filter(untried).filter(|s| s.out == 0).min_by_key(|s| s.shut_until);
            list.extend(least.map(|s| s.entry.server));
        }
        list
    }

    // ---- Trust and pace ----

    /// A failure: the server rests, longer each time, and then takes one set-up at a time. Holds against silent,
    /// erring, dead and unreachable servers alike, whatever the list says. It hurts when a single slow answer or a
    /// lossy network shuts out a sound server for a moment. Set-ups sent before the last strike add none.
    fn strike(&mut self, now: Micros, id: ServerId, sent: Micros, restart: bool, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.witnessed |= restart;
        if s.strikes > 0 && sent <= s.struck_at {
            return;
        }
        s.strikes = (s.strikes + 1).min(MAX_STRIKES);
        s.struck_at = now;
        s.shut_until = now + Micros(SHUT.0 << (s.strikes - 1));
        if s.strikes == 1 {
            out.push(Action::Log(format!("server {} distrusted", id.0)));
        }
    }

    fn alive(&mut self, now: Micros, id: ServerId) {
        if let Some(s) = self.servers.get_mut(&id) {
            s.strikes = s.strikes.saturating_sub(1);
            s.shut_until = Micros(0);
            if std::mem::take(&mut s.witnessed) {
                s.cold_since = Some(now);
            }
        }
    }

    fn is_cold(&self, now: Micros, s: &Server) -> bool {
        s.cold_since.is_some_and(|t| now - t < self.set.cold.warm_after)
    }

    /// The pace of a server that started lately, or may have: this front's part of what all fronts may send within
    /// the rule's span if each does the same. Where a part is under one set-up, only some fronts send, chosen by
    /// the server's id and the front's number.
    fn pace_allows(&self, now: Micros, s: &Server) -> bool {
        if !s.witnessed && !self.is_cold(now, s) {
            return true;
        }
        let c = &self.set.cold;
        if c.warm_after == Micros(0) || c.multiple <= 0.0 {
            return true;
        }
        let all = COLD_SAFETY * c.multiple * c.from * s.streams.size * c.span.secs() / c.warm_after.secs();
        let fronts = self.set.fronts.max(1);
        let part = (all / f64::from(fronts)) as usize;
        let turn = (u64::from(s.entry.server.0) + u64::from(self.set.number)) % u64::from(fronts);
        let mine = if part == 0 && (turn as f64) < all.floor() { 1 } else { part };
        s.sent.iter().filter(|t| now - **t <= c.span).count() < mine
    }

    // ---- Rungs while playing ----

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(TICK, TICK_TOKEN));
        let window = self.set.budget.map_or(REPORT_WINDOW, |b| b.window.max(REPORT_WINDOW));
        for q in [&mut self.taken, &mut self.extra] {
            while q.front().is_some_and(|t| now - *t > window) {
                q.pop_front();
            }
        }
        // An answer is owed even if a driver forgets the outcome of an attempt cut to the viewer's time.
        for (&id, s) in &mut self.sessions {
            if s.phase == Phase::Owed && now >= s.req.gives_up {
                s.phase = Phase::Over;
                out.push(Action::Fail(id));
            }
        }
        self.relieve(now, out);
        self.raise(now, out);
    }

    /// Steps own sessions down where a link or uplink is asked for more than it gives; each front takes off its own
    /// part of the excess.
    fn relieve(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mean = self.mean_use(now, &[]);
        let excess = |own: f64, size: f64, load: f64| {
            if load > RELIEVE_ABOVE * size && load > 0.0 {
                (load - RELIEVE_TO * size) * (own / load).min(1.0)
            } else {
                0.0
            }
        };
        let mut over: Vec<(u32, Option<ServerId>, f64)> = Vec::new();
        for (&id, s) in &self.servers {
            let e = excess(s.link.own, self.link_size(now, s), self.link_load(now, s, mean));
            over.push((rack_of(&self.set, s), Some(id), e));
        }
        for (&rack, g) in &self.racks {
            let (size, load) = self.uplink(now, rack, mean);
            over.push((rack, None, excess(g.own, size, load)));
        }
        for (rack, only, mut need) in over {
            if need <= 0.0 {
                continue;
            }
            for (_, sid, at, freed) in self.steps_down(rack) {
                if need > freed * 0.5 && only.is_none_or(|o| o == at) {
                    need -= freed;
                    self.step(now, sid, -1, out);
                }
            }
        }
    }

    /// Steps sessions up where there is room, those first that gain most for the rate. Each front waits its turn
    /// by chance, so that all of them do not take the same room.
    fn raise(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut list: Vec<(f64, SessionId, ServerId, f64)> = Vec::new();
        for (&id, s) in &self.sessions {
            let (Some(at), Phase::Playing, false) = (s.at, s.phase, s.cheap) else { continue };
            if s.rung >= self.top(&s.req) || now - s.changed < RAISE_GAP {
                continue;
            }
            let up = Rung(s.rung.0 + 1);
            let more = self.rate(s.req.class, up) - self.rate(s.req.class, s.rung);
            let gain = self.worth(s.req.class, up) - self.worth(s.req.class, s.rung);
            list.push((gain / more.max(1e-9), id, at, more));
        }
        list.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut done: Vec<ServerId> = Vec::new();
        for (_, id, at, more) in list {
            let turn = self.random().is_multiple_of(u64::from(self.set.fronts.max(1)));
            if turn && !done.contains(&at) && self.fits(now, at, more, RAISE_TO) {
                done.push(at);
                self.step(now, id, 1, out);
            }
        }
    }

    /// Own sessions of a rack that can step down to no less than their base, cheapest for the rate freed first:
    /// worth lost a second, session, server, rate freed.
    fn steps_down(&self, rack: u32) -> Vec<(f64, SessionId, ServerId, f64)> {
        let mut list = Vec::new();
        for (&id, s) in &self.sessions {
            let Some(at) = s.at.filter(|_| s.phase == Phase::Playing) else { continue };
            let class = s.req.class;
            if s.rung <= self.base(class)
                || self.servers.get(&at).is_none_or(|v| rack_of(&self.set, v) != rack)
            {
                continue;
            }
            let down = Rung(s.rung.0 - 1);
            let loss = self.worth(class, s.rung) - self.worth(class, down);
            list.push((loss, id, at, self.rate(class, s.rung) - self.rate(class, down)));
        }
        list.sort_by(|a, b| (a.0 / a.3).total_cmp(&(b.0 / b.3)).then(a.1.cmp(&b.1)));
        list
    }

    fn step(&mut self, now: Micros, id: SessionId, by: i8, out: &mut Vec<Action>) {
        if let Some(s) = self.sessions.get_mut(&id) {
            s.rung = Rung(s.rung.0.saturating_add_signed(by));
            s.changed = now;
            out.push(Action::SetRung(id, s.rung));
        }
        self.recount();
    }

    // ---- Estimates ----

    fn report(&mut self, now: Micros, id: ServerId, report: LoadReport) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        let rack = rack_of(&self.set, s);
        if let Some(x) = report.link {
            s.link.hear(now, x);
        }
        if let Some(n) = report.streams {
            s.streams.hear(now, n / s.streams.size.max(1.0));
        }
        if let (Some(x), Some(g)) = (report.uplink, self.racks.get_mut(&rack)) {
            g.hear(now, x);
        }
    }

    fn noted(&mut self, now: Micros, id: SessionId, server: ServerId, note: Note) {
        match note {
            Note::Rung(rung) => {
                if let Some(s) = self.sessions.get_mut(&id) {
                    s.rung = rung;
                }
                self.recount();
            }
            Note::LinkUse(x) => self.report(now, server, LoadReport { link: Some(x), ..Default::default() }),
            Note::UplinkUse(x) => {
                self.report(now, server, LoadReport { uplink: Some(x), ..Default::default() })
            }
            Note::Delivered(share) => self.delivered(now, server, share),
        }
    }

    /// A note of short delivery counts as a report that the resource is asked for 1 / share of what it gives: of the
    /// uplink if that is known to be full or another server of the rack falls short alike, else of the link.
    fn delivered(&mut self, now: Micros, id: ServerId, share: f64) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.short = (share < SHORT).then_some((now, share));
        if share >= SHORT {
            return;
        }
        let rack = rack_of(&self.set, &self.servers[&id]);
        let alike = |s: &Server| {
            s.entry.server != id
                && rack_of(&self.set, s) == rack
                && s.short.is_some_and(|(t, x)| now - t < FRESH && (x - share).abs() < 0.1)
        };
        let up_full = self.racks.get(&rack).and_then(|g| g.last(now)).is_some_and(|x| x > RELIEVE_ABOVE);
        let ratio = 1.0 / share.max(0.2);
        if up_full || self.servers.values().any(alike) {
            if let Some(g) = self.racks.get_mut(&rack) {
                g.hear(now, ratio);
            }
        } else if let Some(s) = self.servers.get_mut(&id) {
            s.link.hear(now, ratio);
        }
    }

    fn link_size(&self, now: Micros, s: &Server) -> f64 {
        match s.cold_since {
            Some(t) if self.is_cold(now, s) => {
                let from = self.set.cold.from;
                s.link.size * (from + (1.0 - from) * (now - t).secs() / self.set.cold.warm_after.secs())
            }
            _ => s.link.size,
        }
    }

    /// An unheard link carries own sessions and the mean use last heard elsewhere.
    fn link_load(&self, now: Micros, s: &Server, mean: f64) -> f64 {
        s.link.load(now).unwrap_or(s.link.own + mean * s.link.size)
    }

    /// Size and load of a rack's uplink. Unheard, it carries what its links are thought to carry.
    fn uplink(&self, now: Micros, rack: u32, mean: f64) -> (f64, f64) {
        let Some(g) = self.racks.get(&rack) else { return (f64::INFINITY, 0.0) };
        let load = g.load(now).unwrap_or_else(|| {
            let on_rack = |s: &&Server| rack_of(&self.set, s) == rack && s.entry.state != ServerState::Gone;
            self.servers.values().filter(on_rack).map(|s| self.link_load(now, s, mean)).sum()
        });
        (g.size, load)
    }

    /// Mean link use last heard, over these servers or over all; half if none was heard.
    fn mean_use(&self, now: Micros, of: &[ServerId]) -> f64 {
        let heard = self.servers.iter().filter(|(id, _)| of.is_empty() || of.contains(id));
        let heard: Vec<f64> = heard.filter_map(|(_, s)| s.link.last(now)).collect();
        if heard.is_empty() { 0.5 } else { heard.iter().sum::<f64>() / heard.len() as f64 }
    }

    /// Counts what own sessions ask of each link, uplink and server anew.
    fn recount(&mut self) {
        for s in self.servers.values_mut() {
            (s.link.own, s.streams.own) = (0.0, 0.0);
        }
        for g in self.racks.values_mut() {
            g.own = 0.0;
        }
        let mut live = std::collections::BTreeSet::new();
        for s in self.sessions.values() {
            let Some(at) = s.at else { continue };
            let join = self.set.classes.get(usize::from(s.req.class.0)).map_or(1.0, |c| c.join);
            let first = join >= 1.0 || live.insert((at, s.req.class, s.req.title, s.rung));
            let part = if first { 1.0 } else { join };
            let rate = part * self.rate(s.req.class, s.rung);
            if let Some(server) = self.servers.get_mut(&at) {
                server.link.own += rate;
                server.streams.own += if first { 1.0 } else { 0.0 };
                if let Some(g) = self.racks.get_mut(&rack_of(&self.set, server)) {
                    g.own += rate;
                }
            }
        }
    }

    /// Where only probes tell load, the server just sent to is probed unless heard of lately.
    fn probe_if_old(&mut self, now: Micros, id: ServerId, out: &mut Vec<Action>) {
        let wanted = self.set.limits.probes && self.set.reporting == Reporting::InProbes;
        let Some(s) = self.servers.get_mut(&id).filter(|_| wanted) else { return };
        if !s.probing && s.link.heard.back().is_none_or(|h| now - h.0 > PROBE_AGE) {
            s.probing = true;
            out.push(Action::Probe(id));
        }
    }

    /// Whether the tenant asks for more than its share: this front's part of the quota over the report window.
    fn past_share(&mut self, now: Micros, req: &Request) -> bool {
        let quota = self.set.tenants.get(usize::from(req.tenant.0)).and_then(|t| t.quota_per_s);
        let Some(quota) = quota.filter(|_| self.set.over_share_worth < 1.0) else { return false };
        let seen = self.tenants.entry(req.tenant).or_default();
        if !req.again {
            seen.push_back(now);
        }
        while seen.front().is_some_and(|t| now - *t > REPORT_WINDOW) {
            seen.pop_front();
        }
        seen.len() as f64 * f64::from(self.set.fronts.max(1)) > 1.2 * quota * REPORT_WINDOW.secs()
    }

    fn floor(&self, class: ClassId) -> Rung {
        self.set.classes.get(usize::from(class.0)).map_or(Rung(0), |c| c.floor)
    }

    fn top(&self, req: &Request) -> Rung {
        let steps = self.set.ladder.rates_kb.len().clamp(1, 256) - 1;
        self.set
            .classes
            .get(usize::from(req.class.0))
            .map_or(Rung(0), |c| c.top)
            .min(req.top)
            .min(Rung(steps as u8))
    }

    /// The rung from the class's floor up that earns most for its rate.
    fn base(&self, class: ClassId) -> Rung {
        let floor = self.floor(class);
        let per_kb = |r: u8| self.worth(class, Rung(r)) / self.rate(class, Rung(r)).max(1e-9);
        let steps = self.set.ladder.rates_kb.len().min(256) as u8;
        (floor.0..steps).max_by(|a, b| per_kb(*a).total_cmp(&per_kb(*b)).then(b.cmp(a))).map_or(floor, Rung)
    }

    fn rate(&self, class: ClassId, rung: Rung) -> f64 {
        let scale = self.set.classes.get(usize::from(class.0)).map_or(1.0, |c| c.scale);
        scale * self.set.ladder.rates_kb.get(usize::from(rung.0)).copied().unwrap_or(0.0)
    }

    fn worth(&self, class: ClassId, rung: Rung) -> f64 {
        let points = self.set.classes.get(usize::from(class.0)).map_or(1.0, |c| c.worth);
        points * self.set.ladder.worth.get(usize::from(rung.0)).copied().unwrap_or(0.0)
    }

    /// Splitmix64: ties and turns only.
    fn random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.rng ^ (self.rng >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

fn rack_of(set: &Settings, s: &Server) -> u32 {
    u32::from(s.entry.cell.0) % set.racks.max(1)
}

fn new_session(
    req: Request,
    phase: Phase,
    aim: Micros,
    at: Option<ServerId>,
    cheap: bool,
    now: Micros,
) -> Session {
    Session {
        req,
        phase,
        aim,
        at,
        rung: Rung(0),
        changed: now,
        attempts: u32::from(at.is_some()),
        tried: Vec::new(),
        ran: Vec::new(),
        cheap,
    }
}

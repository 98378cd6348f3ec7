//! What a front holds in mind: servers, sessions and sums over them. Book-keeping only; nothing is decided here.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

/// One resource: its size, what own sessions ask, and what was heard of its use.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    pub size: f64,
    pub own: f64,
    /// How often it was relieved, and until when it takes no raise.
    pub holds: u32,
    pub held_until: Micros,
    /// When, use over size, and what own sessions asked then.
    pub heard: VecDeque<(Micros, f64, f64)>,
    /// When it was last heard that it falls short, if nothing has told since that it no longer does.
    pub short_at: Option<Micros>,
    /// How often its load was asked for.
    pub reads: Cell<u64>,
}

impl Gauge {
    /// Notes a figure of use over size, if there is a sound one, and forgets those older than the window.
    pub fn hear(&mut self, now: Micros, window: Micros, ratio: impl Into<Option<f64>>) {
        if let Some(ratio) = ratio.into().filter(|x| x.is_finite() && *x >= 0.0) {
            self.heard.push_back((now, ratio.min(5.0), self.own));
            while self.heard.len() > 64 || self.heard.front().is_some_and(|h| now - h.0 > window) {
                self.heard.pop_front();
            }
        }
    }

    /// Takes back the figure of a shortage that is over.
    pub fn no_longer_short(&mut self) {
        if let Some(at) = self.short_at.take() {
            self.heard.retain(|h| h.0 != at);
        }
    }

    /// The figure heard last.
    pub fn newest(&self) -> Option<&(Micros, f64, f64)> {
        self.reads.set(self.reads.get() + 1);
        self.heard.back()
    }

    pub fn heard_at(&self) -> Option<Micros> {
        self.heard.back().map(|h| h.0)
    }

    /// The use over size last heard within the window.
    pub fn last(&self, now: Micros, window: Micros) -> Option<f64> {
        self.heard.back().filter(|h| now - h.0 <= window).map(|h| h.1)
    }
}

/// The weight of a figure: 1 when it was just heard, falling to 0 at the end of the window.
pub(crate) fn fading(now: Micros, heard: Micros, window: Micros) -> f64 {
    (1.0 - (now - heard).secs() / window.secs()).max(0.0)
}

/// Puts a session into a set or takes it out; whether that changed the set.
fn put(set: &mut BTreeSet<SessionId>, id: SessionId, entered: bool) -> bool {
    if entered { set.insert(id) } else { set.remove(&id) }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub entry: Endpoint,
    pub rack: u32,
    pub link: Gauge,
    pub streams: Gauge,
    /// Attempts out, and when others lately came back.
    pub out: u32,
    pub sent: Recent,
    pub strikes: u32,
    pub struck_at: Micros,
    pub shut_until: Micros,
    pub alive_at: Micros,
    /// It may have restarted unseen; the first answer starts its cold time.
    pub witnessed: bool,
    pub cold_since: Option<Micros>,
    /// Until then it may be cold from a start before this front's own.
    pub doubt_until: Micros,
    pub short: Option<(Micros, f64)>,
    pub probed_at: Option<Micros>,
    /// Since when the list has it no more.
    pub gone_at: Option<Micros>,
}

impl Server {
    /// Whether the list has it as ready.
    pub fn ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Whether it is on the list, ready or draining.
    pub fn listed(&self) -> bool {
        self.entry.state != EndpointState::Removed
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Phase {
    /// An answer is owed.
    #[default]
    Owed,
    /// The viewer watches.
    Playing,
    /// Answered, but an attempt is still out.
    Over,
}

#[derive(Debug, Default)]
pub(crate) struct Session {
    pub req: Request,
    pub phase: Phase,
    pub aim: Micros,
    pub at: Option<ServerId>,
    pub rung: Rung,
    pub changed: Micros,
    /// How often it was stepped down.
    pub downs: u32,
    /// Where each attempt so far went.
    pub tried: Vec<ServerId>,
    /// Attempts that may have run.
    pub ran: Vec<(ServerId, Micros)>,
    /// Servers that answered with an error and were not struck for it yet, and when they were asked.
    pub erred: Vec<(ServerId, Micros)>,
}

/// Times of something that happened lately.
#[derive(Debug, Default)]
pub(crate) struct Recent(VecDeque<Micros>);

impl Recent {
    /// Notes one more and forgets those older than the span.
    pub fn note(&mut self, now: Micros, span: Micros) {
        while self.0.front().is_some_and(|t| now - *t > span) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// How many are no older than the span.
    pub fn within(&self, now: Micros, span: Micros) -> usize {
        self.0.iter().filter(|t| now - **t <= span).count()
    }

    /// How many are younger than the span.
    pub fn inside(&self, now: Micros, span: Micros) -> usize {
        self.0.iter().filter(|t| now - **t < span).count()
    }
}

/// Splitmix64, seeded by the driver.
#[derive(Debug, Default)]
pub(crate) struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        ((self.next() >> 11) as f64) < p * (1u64 << 53) as f64
    }
}

impl DedupScope {
    /// Whether two servers recognise each other's copies.
    pub(crate) fn joins(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => a.zone == b.zone,
            DedupScope::Cell => a.cell == b.cell,
        }
    }
}

impl Settings {
    /// How many other fronts there are.
    pub(crate) fn others(&self) -> f64 {
        f64::from(self.front_count.max(1) - 1)
    }

    /// Streams that a server of this kind runs at most.
    pub(crate) fn places(&self, kind: ServerType) -> f64 {
        f64::from(self.max_streams_by_type.get(usize::from(kind.0)).copied().unwrap_or(u32::MAX))
    }

    /// A known class; requests of unknown ones are answered before anything asks for it.
    pub(crate) fn class(&self, class: ClassId) -> &Class {
        &self.classes[usize::from(class.0)]
    }

    /// The ladder's highest rung.
    pub(crate) fn ladder_top(&self) -> Rung {
        Rung((self.ladder.rates_kb.len().clamp(1, 256) - 1) as u8)
    }

    /// The highest rung that class, viewer and ladder allow.
    pub(crate) fn top(&self, req: &Request) -> Rung {
        self.class(req.class).max_rung.min(req.max_rung).min(self.ladder_top())
    }

    pub(crate) fn rate(&self, class: ClassId, rung: Rung) -> f64 {
        self.class(class).rate_scale * rung_of(&self.ladder.rates_kb, rung)
    }

    pub(crate) fn worth(&self, class: ClassId, rung: Rung) -> f64 {
        self.class(class).utility * rung_of(&self.ladder.utility, rung)
    }

    /// What a step to this rung earns for its rate.
    pub(crate) fn earns(&self, class: ClassId, rung: Rung) -> f64 {
        let (gain, more) = self.stair(class, rung);
        gain / more
    }

    /// The most that any step of any class earns for its rate.
    pub(crate) fn best_step(&self) -> f64 {
        let mut best = 1e-9;
        for (n, class) in (0..).zip(&self.classes) {
            let steps = class.min_rung.0 + 1..=class.max_rung.min(self.ladder_top()).0;
            best = steps.map(|r| self.earns(ClassId(n), Rung(r))).fold(best, f64::max);
        }
        best
    }

    /// Until when a further attempt of a session is recognised as a copy; never ends where that is not asked.
    pub(crate) fn repeat_until(&self, s: &Session) -> Micros {
        match self.class(s.req.class).idempotency {
            Idempotency::Deduplicated { window, .. } => {
                s.ran.iter().map(|r| r.1 + window).min().unwrap_or(Micros(u64::MAX))
            }
            _ => Micros(u64::MAX),
        }
    }

    /// The window of the budget for further attempts.
    pub(crate) fn budget_window(&self) -> Micros {
        self.retry_budget.map_or(Micros(0), |b| b.window)
    }

    /// Worth a second and rate that this rung adds to the one below.
    pub(crate) fn stair(&self, class: ClassId, rung: Rung) -> (f64, f64) {
        let below = Rung(rung.0.saturating_sub(1));
        let more = self.rate(class, rung) - self.rate(class, below);
        (self.worth(class, rung) - self.worth(class, below), more.max(1e-9))
    }
}

fn rung_of(list: &[f64], rung: Rung) -> f64 {
    list.get(usize::from(rung.0)).copied().unwrap_or(0.0)
}

/// Sums over own sessions, kept up as they come and go.
#[derive(Debug, Default)]
pub(crate) struct Books {
    /// Own sessions with an attempt at a server of the rack.
    pub at_rack: BTreeMap<u32, BTreeSet<SessionId>>,
    /// Viewers of a live title at one server, class and rung.
    shared: BTreeMap<(ServerId, ClassId, TitleId, Rung), u32>,
    /// Own sessions of one class and title, set-ups included.
    seated: BTreeMap<(ClassId, TitleId), BTreeSet<SessionId>>,
    /// Sessions entered or taken out so far.
    pub entries: u64,
}

impl Books {
    /// Enters what a session asks of its link, uplink and server, or takes it out. A further viewer of a live title
    /// at the same server and rung adds only the class's part of the rate, and no stream.
    pub fn enter(
        &mut self,
        set: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, Gauge>,
        s: &Session,
        entered: bool,
    ) {
        self.entries += 1;
        let Some(at) = s.at else { return };
        let seat = (s.req.class, s.req.title);
        let seated = self.seated.entry(seat).or_default();
        put(seated, s.req.session, entered);
        if seated.is_empty() {
            self.seated.remove(&seat);
        }
        let Some(server) = servers.get_mut(&at) else { return };
        if !put(self.at_rack.entry(server.rack).or_default(), s.req.session, entered) {
            return;
        }
        let join = set.class(s.req.class).shared_rate_fraction;
        let mut first = true;
        if join < 1.0 {
            let key = (at, s.req.class, s.req.title, s.rung);
            let viewers = self.shared.entry(key).or_default();
            *viewers = if entered { *viewers + 1 } else { viewers.saturating_sub(1) };
            first = *viewers == u32::from(entered);
            if *viewers == 0 {
                self.shared.remove(&key);
            }
        }
        let (part, place) = if first { (1.0, 1.0) } else { (join, 0.0) };
        // Whole parts of a power of two add up and cancel without a remainder.
        let sign = if entered { 1.0 } else { -1.0 };
        let rate = sign * (part * set.rate(s.req.class, s.rung) * 1024.0).round() / 1024.0;
        server.link.own += rate;
        server.streams.own += sign * place;
        if let Some(g) = racks.get_mut(&server.rack) {
            g.own += rate;
        }
    }

    /// How many own sessions of this class and title there are, set-ups included.
    pub fn seats(&self, req: &Request) -> usize {
        self.seated.get(&(req.class, req.title)).map_or(0, BTreeSet::len)
    }

    /// Counts all anew, as the list may have moved servers.
    pub fn anew(
        &mut self,
        set: &Settings,
        servers: &mut BTreeMap<ServerId, Server>,
        racks: &mut BTreeMap<u32, Gauge>,
        sessions: &BTreeMap<SessionId, Session>,
    ) {
        *self = Books { entries: self.entries, ..Books::default() };
        for s in servers.values_mut() {
            (s.link.own, s.streams.own) = (0.0, 0.0);
        }
        racks.values_mut().for_each(|g| g.own = 0.0);
        for s in sessions.values() {
            self.enter(set, servers, racks, s, true);
        }
    }
}

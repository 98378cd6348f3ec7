//! Every decision of beechloft: who plays, on which server, at what rung, and what happens when things fail.
//! The types it is fed and answers with are in `src/api.rs`; `docs/design.md` gives the reasons.
//!
//! One struct, a file for each concern: `list` and `request` take what comes in; `placing`, `attempts`,
//! `trust` and `pace` tell where a set-up goes; `rungs` steps sessions that play; `reports`, `estimates` and
//! `probes` tell what is known and thought of load. A tuned value stands in its file, or here if several go
//! by it.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::state::*;

mod attempts;
mod estimates;
mod list;
mod pace;
mod placing;
mod probes;
mod reports;
mod request;
mod rungs;
mod trust;

const MARGIN: f64 = 0.15; // part of an announced size never promised, and left spare by a rung above the base
const REPORT_WINDOW: Micros = Micros(10_000_000); // a report fades over this into what is thought unheard
const FRESH: Micros = Micros(500_000); // within this, the highest report counts; past it, the newest
const TICK: Micros = Micros(500_000); // how often rungs, overdue answers and stale figures are looked at
const SHUT: Micros = Micros(500_000); // a server's rest after a first failure, doubled by each further one...
const MAX_STRIKES: u32 = 5; // ...up to this many

const TICK_TOKEN: TimerToken = TimerToken(1);

/// The controller of one front.
#[derive(Debug, Default)]
pub struct Policy {
    pub(crate) set: Settings,
    best_step: f64, // the most that any step of any class earns for its rate
    rng: Random,
    now: Micros,
    out: Vec<Action>,
    born: Micros, // when its first event came; zero: not yet
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

impl Policy {
    /// A controller that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let turn = Some((set.slot, set.front_count.max(1)));
        Policy { best_step: set.best_step(), turn, set, rng: Random(seed), ..Policy::default() }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.born == Micros(0) {
            self.born = now.max(Micros(1));
            self.subscribe = self.set.discovery == Discovery::Subscribe;
            self.tick();
        }
        match event {
            Event::EndpointsUpdated { kind: form, endpoints: entries } => self.list(form, entries),
            Event::Request(req) => self.request(req),
            Event::SessionAdopted { request: req, server } => self.handed_over(req, server),
            Event::Started { session, server, .. } => self.started(session, server),
            Event::AttemptEnded { session, server, outcome, is_final: closed, report, .. } => {
                self.report(server, report);
                self.ended(session, server, outcome, closed);
            }
            Event::Withdrawn(id) => self.withdrawn(id),
            Event::FeedbackReceived { session, server, feedback: note } => self.noted(session, server, note),
            Event::HealthChecked { server, outcome, report } => {
                self.report(server, report);
                if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
                    self.strike(server, now, outcome);
                }
            }
            Event::SlotAssigned(n) => {
                self.turn = (n.slot < n.slot_count).then_some((n.slot, n.slot_count));
                self.set.front_count = n.live_fronts;
            }
            Event::Timer(TICK_TOKEN) => self.tick(),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
        }
        out.append(&mut self.out);
    }

    fn tick(&mut self) {
        self.out.push(Action::SetTimer { delay: TICK, token: TICK_TOKEN });
        if std::mem::take(&mut self.subscribe) {
            self.out.push(Action::Subscribe);
        }
        // An answer is owed even if a driver forgets the outcome of an attempt cut to the viewer's time.
        for (&id, s) in &mut self.sessions {
            if s.phase == Phase::Owed && self.now >= s.req.deadline {
                s.phase = Phase::Over;
                self.out.push(Action::Fail(id));
            }
        }
        self.think();
        self.relieve();
        self.raise();
        self.probe();
    }

    /// Enters a session in the sums of its server and rack, or takes it out.
    fn book(&mut self, id: SessionId, entered: bool) {
        if let Some(s) = self.sessions.get(&id) {
            self.books.enter(&self.set, &mut self.servers, &mut self.racks, s, entered);
        }
    }
}

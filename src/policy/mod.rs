//! Every decision of beechloft: who plays, on which server, at what rung, and what happens when things fail.
//! The types it is fed and answers with are in `src/api.rs`; `docs/design.md` gives the reasons.
//!
//! One struct, a file for each concern, each opening with what it decides. A tuned value stands in its file,
//! or here if several files use it. `src/bookkeeping.rs` and `src/state/` keep records and decide nothing.

use std::collections::BTreeMap;

use crate::api::{Action, Discovery, Event, Micros, Outcome, ServerId, SessionId, Settings, TimerToken};
use crate::state::{Accounting, AssumedUtilization, RecentEvents, ResourceGauge, Server, Session};
use crate::state::{Slot, SplitMix64};

mod attempts;
mod endpoint_updates;
mod health_checks;
mod load_estimates;
mod load_reports;
mod outlier_detection;
mod rung_changes;
mod server_selection;
mod session_lifecycle;
mod slow_start;

const MARGIN: f64 = 0.15; // fraction of a capacity never promised, left spare by a rung above the base
const SAMPLE_WINDOW: Micros = Micros(10_000_000); // a report fades over this into what is assumed without one
const FRESH: Micros = Micros(500_000); // spread of reports of one thing: the highest within it counts
const TICK: Micros = Micros(500_000); // between looks at rungs and stale figures; under feedback's 1 s
const EJECTION_TIME: Micros = Micros(500_000); // a viewer's patience; doubled by each further failure...
const MAX_EJECTION_LEVEL: u32 = 5; // ...up to this many: the length of a short outage

const TICK_TOKEN: TimerToken = TimerToken(1);

/// The controller of one front.
#[derive(Debug, Default)]
pub struct Policy {
    pub(crate) settings: Settings,
    best_step_efficiency: f64, // of any step of any class
    random: SplitMix64,
    pub(crate) now: Micros,
    pub(crate) actions: Vec<Action>,
    started_at: Micros, // when its first event came; zero: not yet
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) racks: BTreeMap<u32, ResourceGauge>, // their uplinks
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) accounting: Accounting,
    assumed: AssumedUtilization,
    assumed_is_stale: bool,
    must_subscribe: bool,     // at the next tick
    uplinks_reported: bool,   // reports tell of uplinks
    probation_credit: f64,    // set-ups that may be risked on ejected servers now
    health_check_credit: f64, // health checks that the sessions so far have paid for
    pub(crate) recent_requests: RecentEvents,
    pub(crate) recent_retries: RecentEvents,
    slot: Option<Slot>, // this front's part in slow start
}

impl Policy {
    /// A controller that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let slot = Some(Slot { index: settings.slot, count: settings.front_count.max(1) });
        let best_step_efficiency = settings.best_step_efficiency();
        Policy { best_step_efficiency, slot, settings, random: SplitMix64(seed), ..Policy::default() }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.started_at == Micros(0) {
            self.started_at = now.max(Micros(1));
            self.must_subscribe = self.settings.discovery == Discovery::Subscribe;
            self.tick();
        }
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.update_endpoints(kind, endpoints),
            Event::Request(request) => self.request(request),
            Event::SessionAdopted { request, server } => self.adopt(request, server),
            Event::Started { session, server, .. } => self.started(session, server),
            Event::AttemptEnded { session, server, outcome, is_final, report, .. } => {
                self.record_report(server, report);
                self.attempt_ended(session, server, outcome, is_final);
            }
            Event::Withdrawn(session) => self.withdrawn(session),
            Event::FeedbackReceived { session, server, feedback } => self.feedback(session, server, feedback),
            Event::HealthChecked { server, outcome, report } => {
                self.record_report(server, report);
                if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
                    self.record_failure(server, now, outcome);
                }
            }
            Event::SlotAssigned(assigned) => {
                self.slot = Slot::new(assigned.slot, assigned.slot_count);
                self.settings.front_count = assigned.live_fronts;
            }
            Event::Timer(TICK_TOKEN) => self.tick(),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    fn tick(&mut self) {
        self.actions.push(Action::SetTimer { delay: TICK, token: TICK_TOKEN });
        if std::mem::take(&mut self.must_subscribe) {
            self.actions.push(Action::Subscribe);
        }
        // An answer is owed even if a driver forgets the outcome of an attempt cut to the viewer's deadline.
        let overdue = self.answer_overdue();
        self.actions.extend(overdue.into_iter().map(Action::Fail));
        self.assume_utilization();
        self.relieve();
        self.step_up();
        self.check_health();
    }
}

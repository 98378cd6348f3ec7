//! Every decision of beechloft: who plays, on which server, at what rung, and what happens after failures.
//!
//! The event, action and settings types are in `src/api.rs`. `docs/design.md` gives the reasons. Each file
//! decides one concern, which its first line names. A tuned constant is in the file that uses it, or here if
//! several files use it. `src/bookkeeping.rs` and `src/state/` keep records and decide nothing.

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

/// Fraction of a capacity that set-ups and steps above the base rung leave free.
const CAPACITY_MARGIN: f64 = 0.15;

/// Time over which a load report fades into the utilization that is assumed without one.
const SAMPLE_WINDOW: Micros = Micros(10_000_000);

/// Time within which reports of one resource count as simultaneous, so that the highest of them counts.
const RECENT_SAMPLE_WINDOW: Micros = Micros(500_000);

/// Time between two reviews of rungs and load estimates. It is shorter than the usual feedback period of one
/// second.
const TICK_INTERVAL: Micros = Micros(500_000);

/// Duration of an ejection after a first failure, about as long as a viewer waits. It doubles with each
/// further failure.
const BASE_EJECTION_TIME: Micros = Micros(500_000);

/// Maximum ejection level. The longest ejection is about as long as a short outage.
const MAX_EJECTION_LEVEL: u32 = 5;

/// Token of the timer that starts a tick.
const TICK_TOKEN: TimerToken = TimerToken(1);

/// The controller of one front: a state machine that turns events into actions.
#[derive(Debug, Default)]
pub struct Policy {
    pub(crate) settings: Settings,
    /// Highest utility for the rate of any step of any class.
    best_step_efficiency: f64,
    random: SplitMix64,
    /// Time of the event in progress.
    pub(crate) now: Micros,
    /// Actions of the event in progress.
    pub(crate) actions: Vec<Action>,
    /// Time of the first event, or zero before it.
    started_at: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Uplinks of the racks.
    pub(crate) racks: BTreeMap<u32, ResourceGauge>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) accounting: Accounting,
    /// Utilization by other fronts that is assumed of resources without a report.
    assumed: AssumedUtilization,
    /// Whether `assumed` must be updated before the next server selection.
    assumed_is_stale: bool,
    /// Whether the next tick subscribes to the endpoint list.
    must_subscribe: bool,
    /// Whether load reports have covered uplinks so far.
    uplinks_reported: bool,
    /// Number of set-ups that may be sent to ejected servers now.
    probation_credit: f64,
    /// Number of health checks that the sessions so far have paid for.
    health_check_credit: f64,
    pub(crate) recent_requests: RecentEvents,
    pub(crate) recent_retries: RecentEvents,
    /// The front's slot, or `None` if it may send nothing to cold servers.
    slot: Option<Slot>,
}

impl Policy {
    /// Creates a controller that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let slot = Some(Slot { index: settings.slot, count: settings.front_count.max(1) });
        let best_step_efficiency = settings.best_step_efficiency();
        Policy { best_step_efficiency, slot, settings, random: SplitMix64(seed), ..Policy::default() }
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.started_at == Micros(0) {
            self.started_at = now.max(Micros(1));
            self.must_subscribe = self.settings.discovery == Discovery::Subscribe;
            self.tick();
        }
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.update_endpoints(kind, endpoints),
            Event::Request(request) => self.handle_request(request),
            Event::SessionAdopted { request, server } => self.adopt_session(request, server),
            Event::Started { session, server, .. } => self.handle_started(session, server),
            Event::AttemptEnded { session, server, outcome, is_final, report, .. } => {
                self.record_report(server, report);
                self.handle_attempt_ended(session, server, outcome, is_final);
            }
            Event::Withdrawn(session) => self.handle_withdrawn(session),
            Event::FeedbackReceived { session, server, feedback } => {
                self.handle_feedback(session, server, feedback);
            }
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

    /// Does the periodic work and schedules the next tick.
    fn tick(&mut self) {
        self.actions.push(Action::SetTimer { delay: TICK_INTERVAL, token: TICK_TOKEN });
        if std::mem::take(&mut self.must_subscribe) {
            self.actions.push(Action::Subscribe);
        }
        // A viewer gets an answer even if the driver never reports how its last attempt ended.
        let overdue = self.take_overdue_answers();
        self.actions.extend(overdue.into_iter().map(Action::Fail));
        self.update_assumed_utilization();
        self.relieve_overload();
        self.step_up_sessions();
        self.send_health_checks();
    }
}

//! A front's client of the quotas that all fronts share.
//!
//! One thread exchanges messages with the coordinator and gossips the shares of soft quotas with the other fronts. Another
//! thread reconciles the claims of lost fronts with the sessions that media servers still have for them. Admission uses the
//! local [`AdmissionController`] and waits for neither thread.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_gossip::SectionKind;
use beechloft_quotas::{
    AdmissionController, Answer, Claim, Front, FrontId, FrontInput, FrontOutput, FrontSettings, Op, OrphanId,
    Request, Response, tag,
};
use tracing::{debug, info, warn};

use crate::client::LeaderConnection;
use crate::membership::MembershipService;
use crate::settings::{FleetSettings, QuotaSettings};
use crate::wire::Message;

/// Maximum wait of the threads before they check the clock.
const MAX_WAIT: Duration = Duration::from_millis(10);
/// Interval between reads of the other fronts' rows.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request for the reconciliation of orphans.
const RECONCILIATION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Average interval between reconciliations by any of the fronts.
const FLEET_RECONCILIATION_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum average interval between reconciliations by one front.
const MIN_RECONCILIATION_INTERVAL: Duration = Duration::from_millis(1_000);
/// Range of the random factor by which the interval between reconciliations varies.
const RECONCILIATION_JITTER: Range<f64> = 0.5..1.5;
const STACK_BYTES: usize = 256 << 10;

/// Requests the number of sessions for each tag from all media servers. Returns `None` if one of them did not respond.
pub type SessionTags = Box<dyn Fn() -> Option<Vec<BTreeMap<String, u64>>> + Send>;

struct Shared {
    admission: AdmissionController,
    stop: AtomicBool,
    closed: AtomicBool,
}

/// A front's client of the quotas. Its threads end soon after it is dropped, and the drop does not wait for them.
pub struct QuotaClient {
    shared: Arc<Shared>,
    settings: FleetSettings,
    max_fronts: u32,
}

impl QuotaClient {
    /// Starts the thread, which opens an account at the coordinator. `membership` gossips the shares of soft quotas.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        settings: &FleetSettings,
        quotas: &QuotaSettings,
        membership: Option<Arc<MembershipService>>,
    ) -> io::Result<QuotaClient> {
        let clock = settings.clock();
        let id = membership.as_ref().map_or_else(rand::random, |service| service.id().0);
        let front_settings = FrontSettings {
            parameters: quotas.rules,
            drift: settings.drift_bound,
            tagged: quotas.tagged,
            seed: rand::random(),
        };
        let mut front = Front::new(FrontId(id), front_settings);
        for definition in &quotas.definitions {
            front.handle(clock(), FrontInput::Define(definition.clone()));
        }
        let admission = AdmissionController::new(front, clock);
        let shared =
            Arc::new(Shared { admission, stop: AtomicBool::new(false), closed: AtomicBool::new(false) });
        let (worker, connection) = (Arc::clone(&shared), LeaderConnection::new(settings.clone()));
        thread::Builder::new()
            .name("limits".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(connection, membership))?;
        Ok(QuotaClient { shared, settings: settings.clone(), max_fronts: quotas.rules.fronts })
    }

    /// Returns the controller that admits sessions.
    pub fn admission_controller(&self) -> AdmissionController {
        self.shared.admission.clone()
    }

    /// Starts a thread that reconciles orphans: it periodically counts the sessions that lost fronts left at media servers and
    /// reports them to the coordinator.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start_orphan_reconciliation(&self, tags: SessionTags) -> io::Result<()> {
        let (worker, connection) = (Arc::clone(&self.shared), LeaderConnection::new(self.settings.clone()));
        let interval = (FLEET_RECONCILIATION_INTERVAL * self.max_fronts).max(MIN_RECONCILIATION_INTERVAL);
        thread::Builder::new()
            .name("survey".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run_reconciliation(connection, interval, &tags))?;
        Ok(())
    }

    /// Stops admission and reports the sessions that are still playing. Waits until the report is in the coordinator's log, at
    /// most for the timeout.
    pub fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let now = self.shared.admission.now();
        let outputs = self.shared.admission.front().handle(now, FrontInput::Close);
        let mut connection = LeaderConnection::new(self.settings.clone());
        for output in outputs {
            match output {
                FrontOutput::Send(request) => connection.send(&Message::QuotaRequest(request)),
                FrontOutput::Closed => self.shared.closed.store(true, Ordering::Relaxed),
                _ => {}
            }
        }
        while !self.shared.closed.load(Ordering::Relaxed) && Instant::now() < deadline {
            thread::sleep(MAX_WAIT);
        }
    }
}

impl Drop for QuotaClient {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn run(&self, mut connection: LeaderConnection, membership: Option<Arc<MembershipService>>) {
        let (mut input, mut next_gossip) = (FrontInput::Start, Duration::ZERO);
        while !self.stop.load(Ordering::Relaxed) {
            let now = self.admission.now();
            let outputs = self.admission.front().handle(now, input);
            // Handled after the lock is released, as sending may block.
            for output in outputs {
                self.handle_output(output, &mut connection, membership.as_deref());
            }
            if let Some(membership) = membership.as_ref().filter(|_| now >= next_gossip) {
                next_gossip = now + GOSSIP_INTERVAL;
                self.read_rows(now, membership);
            }
            let due = self.admission.front().next_due().unwrap_or(Duration::MAX);
            let wait = due.saturating_sub(self.admission.now()).min(MAX_WAIT);
            input = match connection.receive(wait) {
                Some(Message::QuotaResponse(response)) => FrontInput::Response(response),
                _ => FrontInput::Tick,
            };
        }
    }

    fn handle_output(
        &self,
        output: FrontOutput,
        connection: &mut LeaderConnection,
        membership: Option<&MembershipService>,
    ) {
        match output {
            FrontOutput::Send(request) => connection.send(&Message::QuotaRequest(request)),
            FrontOutput::Opened(account) => info!(account = account.0, "quota account opened"),
            FrontOutput::Lost(account) => {
                warn!(account = account.0, "quota account lost; no session is admitted under hard quotas")
            }
            FrontOutput::Closed => self.closed.store(true, Ordering::Relaxed),
            FrontOutput::SoftShares(row) => {
                let bytes = postcard::to_allocvec(&row).unwrap_or_default();
                if let Some(Err(error)) =
                    membership.map(|service| service.write_section(SectionKind::SOFT_QUOTAS, bytes))
                {
                    warn!("soft quota shares were not gossiped: {error}");
                }
            }
        }
    }

    /// Reads the other fronts' shares of soft quotas.
    fn read_rows(&self, now: Duration, membership: &MembershipService) {
        let own = self.admission.front().id();
        for row in membership.sections(SectionKind::SOFT_QUOTAS) {
            let from = FrontId(row.member.0);
            // A malformed row is ignored, as if its front had not sent any.
            let Ok(shares) = postcard::from_bytes(&row.bytes) else { continue };
            if from != own {
                self.admission.front().handle(now, FrontInput::SoftShares(from, shares, row.age));
            }
        }
    }

    fn run_reconciliation(&self, mut connection: LeaderConnection, interval: Duration, tags: &SessionTags) {
        let (requester, mut seq) = (FrontId(rand::random()), 0);
        while !self.stop.load(Ordering::Relaxed) {
            let wake_at = Instant::now() + interval.mul_f64(rand::random_range(RECONCILIATION_JITTER));
            while Instant::now() < wake_at && !self.stop.load(Ordering::Relaxed) {
                thread::sleep(MAX_WAIT);
            }
            seq += 1;
            let Some(Answer::Orphans(orphans)) =
                call(&mut connection, Request { front: requester, seq, op: Op::ListOrphans })
            else {
                continue;
            };
            if orphans.is_empty() {
                continue;
            }
            // Requested after the coordinator's response: no set-up of a lost front is in transit to a media server by then.
            let Some(tags_by_server) = tags() else {
                debug!("a media server did not report its sessions; claims of lost fronts are kept");
                continue;
            };
            for (orphan, front) in orphans {
                let left = sessions_left(front, &tags_by_server);
                seq += 1;
                let op = Op::ReportSurvey { orphan, remaining: left.clone() };
                let counted = Request { front: requester, seq, op };
                report_left(&mut connection, counted, orphan, &left);
            }
        }
    }
}

/// Reports the remaining sessions of an orphan to the coordinator.
fn report_left(connection: &mut LeaderConnection, request: Request, orphan: OrphanId, left: &[(Claim, u64)]) {
    if let Some(Answer::SurveyApplied) = call(connection, request) {
        let left: Vec<String> = left.iter().map(|(claim, units)| format!("{claim}: {units}")).collect();
        info!(orphan = orphan.0, ?left, "reported the remaining sessions of a lost front");
    }
}

/// Returns the units that sessions of a lost front still use, by claim.
fn sessions_left(front: FrontId, tags_by_server: &[BTreeMap<String, u64>]) -> Vec<(Claim, u64)> {
    let mut left = BTreeMap::new();
    for tags in tags_by_server {
        tag::add_units(front, tags.iter().map(|(text, n)| (text.as_str(), *n)), &mut left);
    }
    left.into_iter().collect()
}

/// Sends a request once and returns its answer, or `None` if none arrives before the timeout. A lost request is not resent, as
/// the next reconciliation starts over.
fn call(connection: &mut LeaderConnection, request: Request) -> Option<Answer> {
    let (front, seq) = (request.front, request.seq);
    connection.send(&Message::QuotaRequest(request));
    let deadline = Instant::now() + RECONCILIATION_TIMEOUT;
    while Instant::now() < deadline {
        match connection.receive(deadline.saturating_duration_since(Instant::now())) {
            Some(Message::QuotaResponse(Response::Answer {
                front: answered_front,
                seq: answered_seq,
                answer,
            })) if (answered_front, answered_seq) == (front, seq) => {
                return Some(answer);
            }
            Some(Message::QuotaResponse(_)) => {}
            _ => return None,
        }
    }
    None
}

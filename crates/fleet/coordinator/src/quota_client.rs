//! A front's part in the quotas of all fronts. One thread exchanges messages with the coordinator and gossips soft quotas with the
//! other fronts; another asks media servers what lost fronts left there. Admission reads the gate and waits for neither.

use std::collections::BTreeMap;
use std::io;
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

/// The threads wait no longer than this before they check the clock.
const MAX_WAIT: Duration = Duration::from_millis(10);
/// Interval of reading the other fronts' rows.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request of the survey.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which all fronts together ask for orphans, on average.
const FLEET_SURVEY_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval at which one front asks.
const MIN_SURVEY_INTERVAL: Duration = Duration::from_millis(1_000);
const STACK_BYTES: usize = 256 << 10;

/// Asks all media servers how many of their sessions have which tag; none if one of them did not answer.
pub type SessionTags = Box<dyn Fn() -> Option<Vec<BTreeMap<String, u64>>> + Send>;

struct Shared {
    gate: AdmissionController,
    stop: AtomicBool,
    closed: AtomicBool,
}

/// A front's client of the quotas. Its threads end soon after it is dropped, without being waited for.
pub struct QuotaClient {
    shared: Arc<Shared>,
    settings: FleetSettings,
    fronts: u32,
}

impl QuotaClient {
    /// Starts the thread and opens an account. `membership` gossips its shares of soft quotas.
    ///
    /// # Errors
    /// There is no thread.
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
        let gate = AdmissionController::new(front, clock);
        let shared = Arc::new(Shared { gate, stop: AtomicBool::new(false), closed: AtomicBool::new(false) });
        let (worker, connection) = (Arc::clone(&shared), LeaderConnection::new(settings.clone()));
        thread::Builder::new()
            .name("limits".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run(connection, membership))?;
        Ok(QuotaClient { shared, settings: settings.clone(), fronts: quotas.rules.fronts })
    }

    /// The gate that admits sessions.
    pub fn gate(&self) -> AdmissionController {
        self.shared.gate.clone()
    }

    /// Starts the survey: asks media servers now and then what lost fronts left there.
    ///
    /// # Errors
    /// There is no thread.
    pub fn survey(&self, tags: SessionTags) -> io::Result<()> {
        let (worker, connection) = (Arc::clone(&self.shared), LeaderConnection::new(self.settings.clone()));
        let interval = (FLEET_SURVEY_INTERVAL * self.fronts).max(MIN_SURVEY_INTERVAL);
        thread::Builder::new()
            .name("survey".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run_survey(connection, interval, &tags))?;
        Ok(())
    }

    /// Admits nobody any more, reports what is left playing, and waits until that is in the log or the time is over.
    pub fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let now = self.shared.gate.now();
        let outputs = self.shared.gate.front().handle(now, FrontInput::Close);
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
            let now = self.gate.now();
            let outputs = self.gate.front().handle(now, input);
            // Sent after the lock is released: a connection may take its time.
            for output in outputs {
                self.handle_output(output, &mut connection, membership.as_deref());
            }
            if let Some(membership) = membership.as_ref().filter(|_| now >= next_gossip) {
                next_gossip = now + GOSSIP_INTERVAL;
                self.read_rows(now, membership);
            }
            let due = self.gate.front().next_due().unwrap_or(Duration::MAX);
            let wait = due.saturating_sub(self.gate.now()).min(MAX_WAIT);
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
                warn!(account = account.0, "quota account lost; hard quotas admit nobody here")
            }
            FrontOutput::Closed => self.closed.store(true, Ordering::Relaxed),
            FrontOutput::SoftShares(row) => {
                let bytes = postcard::to_allocvec(&row).unwrap_or_default();
                if let Some(Err(error)) =
                    membership.map(|service| service.write_section(SectionKind::SOFT_QUOTAS, bytes))
                {
                    warn!("soft quota shares are not gossiped: {error}");
                }
            }
        }
    }

    /// Takes the other fronts' shares of soft quotas.
    fn read_rows(&self, now: Duration, membership: &MembershipService) {
        let own = self.gate.front().id();
        for row in membership.sections(SectionKind::SOFT_QUOTAS) {
            let from = FrontId(row.member.0);
            // A malformed row is ignored: its front counts as one that is silent.
            let Ok(shares) = postcard::from_bytes(&row.bytes) else { continue };
            if from != own {
                self.gate.front().handle(now, FrontInput::SoftShares(from, shares, row.age));
            }
        }
    }

    fn run_survey(&self, mut connection: LeaderConnection, interval: Duration, tags: &SessionTags) {
        let (surveyor, mut seq) = (FrontId(rand::random()), 0);
        while !self.stop.load(Ordering::Relaxed) {
            let wake_at = Instant::now() + interval.mul_f64(rand::random_range(0.5..1.5));
            while Instant::now() < wake_at && !self.stop.load(Ordering::Relaxed) {
                thread::sleep(MAX_WAIT);
            }
            seq += 1;
            let Some(Answer::Orphans(orphans)) =
                call(&mut connection, Request { front: surveyor, seq, op: Op::ListOrphans })
            else {
                continue;
            };
            if orphans.is_empty() {
                continue;
            }
            // Asked after the answer: by then nothing of theirs is on its way to a media server any more.
            let Some(tags_by_server) = tags() else {
                debug!("a media server did not report its sessions; what lost fronts held stays counted");
                continue;
            };
            for (orphan, front) in orphans {
                let left = sessions_left(front, &tags_by_server);
                seq += 1;
                let op = Op::ReportSurvey { orphan, remaining: left.clone() };
                let counted = Request { front: surveyor, seq, op };
                report_left(&mut connection, counted, orphan, &left);
            }
        }
    }
}

/// Reports what is left of an orphan.
fn report_left(connection: &mut LeaderConnection, request: Request, orphan: OrphanId, left: &[(Claim, u64)]) {
    if let Some(Answer::SurveyApplied) = call(connection, request) {
        let left: Vec<String> = left.iter().map(|(claim, units)| format!("{claim}: {units}")).collect();
        info!(orphan = orphan.0, ?left, "media servers reported what a lost front left");
    }
}

/// Units that sessions of a lost front still use, by claim.
fn sessions_left(front: FrontId, tags_by_server: &[BTreeMap<String, u64>]) -> Vec<(Claim, u64)> {
    let mut left = BTreeMap::new();
    for tags in tags_by_server {
        tag::add_units(front, tags.iter().map(|(text, n)| (text.as_str(), *n)), &mut left);
    }
    left.into_iter().collect()
}

/// Sends a request once; its answer, if one comes in time. A survey that is lost is repeated as a new one.
fn call(connection: &mut LeaderConnection, request: Request) -> Option<Answer> {
    let (front, seq) = (request.front, request.seq);
    connection.send(&Message::QuotaRequest(request));
    let deadline = Instant::now() + SURVEY_TIMEOUT;
    while Instant::now() < deadline {
        match connection.receive(deadline.saturating_duration_since(Instant::now())) {
            Some(Message::QuotaResponse(Response::Answer { front: f, seq: s, answer }))
                if (f, s) == (front, seq) =>
            {
                return Some(answer);
            }
            Some(Message::QuotaResponse(_)) => {}
            _ => return None,
        }
    }
    None
}

//! A front's limits on sockets: one thread speaks for its machine with the keepers and by rows with the other fronts, one asks
//! boxes now and then what lost fronts left. Who admits looks at the gate and waits for neither.

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

/// The longest that the thread listens before it looks at the clock: what is urgent waits no longer.
const LOOK: Duration = Duration::from_millis(10);
/// From one look at the rows of others to the next.
const ROWS: Duration = Duration::from_millis(250);
/// A keeper's answer to a survey is waited for so long.
const ANSWER: Duration = Duration::from_millis(1_000);
/// All fronts together ask for orphans about this often.
const SURVEY: Duration = Duration::from_millis(300);
/// One front asks no more often than this.
const SURVEY_LEAST: Duration = Duration::from_millis(1_000);

/// What each box says: how many of its sessions have which tag. None: one of them did not say.
pub type Tags = Box<dyn Fn() -> Option<Vec<BTreeMap<String, u64>>> + Send>;

struct Shared {
    gate: AdmissionController,
    end: AtomicBool,
    closed: AtomicBool,
}

/// A front's limits. Its threads end when it is dropped.
pub struct QuotaClient {
    shared: Arc<Shared>,
    set: FleetSettings,
    fronts: u32,
}

impl QuotaClient {
    /// Begins to ask for an account. `peers` spread its rows, if there are soft limits.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        limits: &QuotaSettings,
        peers: Option<Arc<MembershipService>>,
    ) -> io::Result<QuotaClient> {
        let clock = set.clock();
        let id = peers.as_ref().map_or_else(rand::random, |p| p.id().0);
        let of = FrontSettings {
            rules: limits.rules,
            drift: set.drift,
            tagged: limits.tagged,
            seed: rand::random(),
        };
        let mut front = Front::new(FrontId(id), of);
        for definition in &limits.definitions {
            front.handle(clock(), FrontInput::Define(definition.clone()));
        }
        let gate = AdmissionController::new(front, clock);
        let shared = Arc::new(Shared { gate, end: AtomicBool::new(false), closed: AtomicBool::new(false) });
        let (its, way) = (Arc::clone(&shared), LeaderConnection::new(set.clone()));
        thread::Builder::new()
            .name("limits".into())
            .stack_size(256 << 10)
            .spawn(move || its.run(way, peers))?;
        Ok(QuotaClient { shared, set: set.clone(), fronts: limits.rules.fronts })
    }

    /// What admits.
    pub fn gate(&self) -> AdmissionController {
        self.shared.gate.clone()
    }

    /// Asks boxes now and then what lost fronts left there.
    ///
    /// # Errors
    /// There is no thread.
    pub fn survey(&self, tags: Tags) -> io::Result<()> {
        let (its, way, fronts) =
            (Arc::clone(&self.shared), LeaderConnection::new(self.set.clone()), self.fronts);
        let every = (SURVEY * fronts).max(SURVEY_LEAST);
        thread::Builder::new()
            .name("survey".into())
            .stack_size(256 << 10)
            .spawn(move || its.surveys(way, every, &tags))?;
        Ok(())
    }

    /// Nobody is admitted any more: says what is left playing, and waits until that is in the log, at most so long.
    pub fn close(&self, within: Duration) {
        let until = Instant::now() + within;
        let now = self.shared.gate.now();
        let outputs = self.shared.gate.front().handle(now, FrontInput::Close);
        let mut way = LeaderConnection::new(self.set.clone());
        for output in outputs {
            match output {
                FrontOutput::Send(request) => way.say(&Message::QuotaRequest(request)),
                FrontOutput::Closed => self.shared.closed.store(true, Ordering::Relaxed),
                _ => {}
            }
        }
        while !self.shared.closed.load(Ordering::Relaxed) && Instant::now() < until {
            thread::sleep(LOOK);
        }
    }
}

impl Drop for QuotaClient {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn run(&self, mut way: LeaderConnection, peers: Option<Arc<MembershipService>>) {
        let (mut input, mut rows_at) = (FrontInput::Start, Duration::ZERO);
        while !self.end.load(Ordering::Relaxed) {
            let now = self.gate.now();
            let outputs = self.gate.front().handle(now, input);
            // After the lock is let go: a connection may take its time.
            for output in outputs {
                self.put_out(output, &mut way, peers.as_deref());
            }
            if let Some(peers) = peers.as_ref().filter(|_| now >= rows_at) {
                rows_at = now + ROWS;
                self.rows(now, peers);
            }
            let due = self.gate.front().next_due().unwrap_or(Duration::MAX);
            let wait = due.saturating_sub(self.gate.now()).min(LOOK);
            input = match way.hear_word(wait) {
                Some(Message::QuotaResponse(heard)) => FrontInput::Response(heard),
                _ => FrontInput::Tick,
            };
        }
    }

    fn put_out(&self, output: FrontOutput, way: &mut LeaderConnection, peers: Option<&MembershipService>) {
        match output {
            FrontOutput::Send(request) => way.say(&Message::QuotaRequest(request)),
            FrontOutput::Opened(account) => info!(account = account.0, "an account of the fleet's limits"),
            FrontOutput::Lost(account) => {
                warn!(account = account.0, "no account of the fleet's limits; hard ones admit nobody here")
            }
            FrontOutput::Closed => self.closed.store(true, Ordering::Relaxed),
            FrontOutput::SoftShares(row) => {
                let bytes = postcard::to_allocvec(&row).unwrap_or_default();
                if let Some(Err(why)) = peers.map(|p| p.write_row(SectionKind::SOFT_QUOTAS, bytes)) {
                    warn!("soft limits' parts are not told: {why}");
                }
            }
        }
    }

    /// Takes the other fronts' parts.
    fn rows(&self, now: Duration, peers: &MembershipService) {
        let own = self.gate.front().id();
        for row in peers.rows(SectionKind::SOFT_QUOTAS) {
            let from = FrontId(row.life.0);
            // A row that makes no sense says nothing: its front counts as one that is not heard.
            let Ok(parts) = postcard::from_bytes(&row.bytes) else { continue };
            if from != own {
                self.gate.front().handle(now, FrontInput::SoftShares(from, parts, row.age));
            }
        }
    }

    fn surveys(&self, mut way: LeaderConnection, every: Duration, tags: &Tags) {
        let (me, mut seq) = (FrontId(rand::random()), 0);
        while !self.end.load(Ordering::Relaxed) {
            let rest = Instant::now() + every.mul_f64(rand::random_range(0.5..1.5));
            while Instant::now() < rest && !self.end.load(Ordering::Relaxed) {
                thread::sleep(LOOK);
            }
            seq += 1;
            let Some(Answer::Orphans(orphans)) = ask(&mut way, Request { front: me, seq, op: Op::Orphans })
            else {
                continue;
            };
            if orphans.is_empty() {
                continue;
            }
            // After the answer: by then nothing of theirs is on its way to a box any more.
            let Some(said) = tags() else {
                debug!("a box did not say what it plays; lost fronts' room stays taken");
                continue;
            };
            for (orphan, front) in orphans {
                let left = left_of(front, &said);
                seq += 1;
                self.counted(
                    &mut way,
                    Request { front: me, seq, op: Op::Counted { orphan, left: left.clone() } },
                    orphan,
                    &left,
                );
            }
        }
    }

    fn counted(&self, way: &mut LeaderConnection, request: Request, orphan: OrphanId, left: &[(Claim, u64)]) {
        if let Some(Answer::Counted) = ask(way, request) {
            let left: Vec<String> = left.iter().map(|(claim, units)| format!("{claim}: {units}")).collect();
            info!(orphan = orphan.0, ?left, "boxes said what a lost front left");
        }
    }
}

fn left_of(front: FrontId, said: &[BTreeMap<String, u64>]) -> Vec<(Claim, u64)> {
    let mut left = BTreeMap::new();
    for tags in said {
        tag::count(front, tags.iter().map(|(text, n)| (text.as_str(), *n)), &mut left);
    }
    left.into_iter().collect()
}

/// Asks once, and hears the answer to that if one comes in time. A survey that is lost is made anew.
fn ask(way: &mut LeaderConnection, request: Request) -> Option<Answer> {
    let (front, seq) = (request.front, request.seq);
    way.say(&Message::QuotaRequest(request));
    let until = Instant::now() + ANSWER;
    while Instant::now() < until {
        match way.hear_word(until.saturating_duration_since(Instant::now())) {
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

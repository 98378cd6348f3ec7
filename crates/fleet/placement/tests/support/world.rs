//! Workers, boxes, fronts and a log in one process under one true clock, each process with a clock of its own rate; a network that loses,
//! delays and doubles; crashes, stops, cuts, disks that are old, empty, full, wrong. What is true at each moment is known here alone.
//!
//! The log is a sequence: whatever comes is applied in the order in which it comes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Token};
use beechloft_placement::boxes::{Done, Job};
use beechloft_placement::front::{Offer, ViewInput};
use beechloft_placement::names::*;
use beechloft_placement::state::{CopyState, Presence, Rights, Scope};
use beechloft_placement::words::commands::{Failure, Source};
use beechloft_placement::words::orders::{Said, Tell};
use beechloft_placement::worker::{WorkerOutput, WorkerSettings};
use beechloft_placement::{
    Answer, Command, Disk, Event, Fault, Placements, Record, Renew, Renewed, Rules, Step, View, Worker,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

pub const PPM: u32 = 50_000;
pub const TTL_MS: u32 = 1_000;
const TICK: Duration = Duration::from_millis(40);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn rules() -> Rules {
    Rules {
        grace_ms: 3_000,
        box_copies: 2,
        copy_kb_s: 1_000,
        uplink_percent: 25,
        lend_after_ms: 300,
        back_after_ms: 500,
        replace_after_ms: 3_000,
        tries: 3,
    }
}

pub struct BoxHost {
    pub disk: Disk,
    pub content: BTreeMap<ShardId, Digest>,
    /// What it found when it started, and has not written since.
    pub found: BTreeSet<ShardId>,
    /// What was on its disk some time ago.
    pub old: Option<(DiskId, BTreeMap<ShardId, Digest>)>,
    pub up: bool,
    /// The worker does not reach it.
    pub cut: bool,
    pub full: bool,
    /// Of a thousand copies, so many are wrong, or break off.
    pub wrong: u32,
    pub broken: u32,
    /// It says that it holds everything, and that copies are done that it never made.
    pub liar: bool,
}

pub struct FrontHost {
    pub view: View,
    rate: f64,
    life: u64,
    pub stopped_until: Duration,
    /// It does not reach keepers, or hear records.
    pub cut: bool,
    pub deaf: bool,
    fed: usize,
}

pub struct WorkerHost {
    worker: Worker,
    rate: f64,
    life: u64,
    sees: Rc<Placements>,
    pub stopped_until: Duration,
}

enum Ahead {
    Log(Command),
    Tell(BoxId, Tell),
    Said(usize, u64, BoxId, Said),
    Job(BoxId, Life, ShardId, Order, Done),
    Heard(usize, u64, u64, Renewed),
    Worker(usize),
    Front(usize),
    Leader,
    Ended(BoxId, Life, ShardId),
}

pub struct World {
    pub now: Duration,
    pub state: Rc<Placements>,
    rights: Rights,
    leader_rate: f64,
    topic: Vec<(ShardId, Revision, Option<Record>)>,
    pub boxes: BTreeMap<BoxId, BoxHost>,
    pub fronts: Vec<FrontHost>,
    pub workers: Vec<WorkerHost>,
    pub holder: usize,
    token: u64,
    highest_done: Token,
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    pub dice: ChaCha8Rng,
    fault: Option<Fault>,
    ahead: BTreeMap<(Duration, u64), Ahead>,
    put: u64,
    draining: BTreeMap<(ShardId, BoxId), Duration>,
    begun: BTreeSet<(BoxId, Life, Order)>,
    lives: u64,
    customers: BTreeSet<Customer>,
    pub breach: Option<String>,
    pub sessions: usize,
    pub applied: usize,
    pub copied: usize,
    pub narrowed: usize,
    pub over: usize,
    pub lent: usize,
    pub cut_short: usize,
}

impl World {
    pub fn new(seed: u64, fronts: usize, fault: Option<Fault>) -> World {
        let dice = ChaCha8Rng::seed_from_u64(seed);
        let state = fleet(3, 3, 3_500_000, rules());
        #[allow(unused_mut)]
        let (mut state, drift) = (state, DriftBound::ppm(PPM).expect("within bounds"));
        let mut rights = Rights::new(drift);
        if let Some(fault) = fault {
            state.plant(fault);
            rights.plant(fault);
        }
        let mut world = World {
            now: ms(1_000),
            state: Rc::new(state),
            rights,
            leader_rate: 1.0,
            topic: Vec::new(),
            boxes: BTreeMap::new(),
            fronts: Vec::new(),
            workers: Vec::new(),
            holder: 0,
            token: 1,
            highest_done: Token(0),
            lost: 0,
            doubled: 0,
            late: 0,
            dice,
            fault,
            ahead: BTreeMap::new(),
            put: 0,
            draining: BTreeMap::new(),
            begun: BTreeSet::new(),
            lives: 100,
            customers: ["ann", "ben"].into_iter().map(name).collect(),
            breach: None,
            sessions: 0,
            applied: 0,
            copied: 0,
            narrowed: 0,
            over: 0,
            lent: 0,
            cut_short: 0,
        };
        world.leader_rate = world.rate();
        let ids: Vec<BoxId> = world.state.inventory().boxes.keys().copied().collect();
        for id in ids {
            let (life, disk) = (Life(world.draw()), DiskId(world.draw()));
            let host = BoxHost {
                disk: world.disk(life, disk, []),
                content: BTreeMap::new(),
                found: BTreeSet::new(),
                old: None,
                up: true,
                cut: false,
                full: false,
                wrong: 0,
                broken: 0,
                liar: false,
            };
            world.boxes.insert(id, host);
        }
        for n in 0..3 {
            let rate = world.rate();
            let worker = world.worker();
            let sees = world.state.clone();
            world.workers.push(WorkerHost { worker, rate, life: 0, sees, stopped_until: Duration::ZERO });
            world.put(ms(10), Ahead::Worker(n));
        }
        for n in 0..fronts {
            let rate = world.rate();
            let view = world.view();
            let (life, stopped_until) = (0, Duration::ZERO);
            world.fronts.push(FrontHost { view, rate, life, stopped_until, cut: false, deaf: false, fed: 0 });
            world.put(ms(10), Ahead::Front(n));
        }
        world.put(ms(10), Ahead::Leader);
        world
    }

    fn rate(&mut self) -> f64 {
        let off = f64::from(PPM) / 1e6;
        match self.dice.random_range(0..4) {
            0 => 1.0 - off,
            1 => 1.0 + off,
            _ => self.dice.random_range(1.0 - off..1.0 + off),
        }
    }

    fn draw(&mut self) -> u64 {
        self.lives += 1;
        self.lives
    }

    fn disk(&self, life: Life, disk: DiskId, found: impl IntoIterator<Item = ShardId>) -> Disk {
        #[allow(unused_mut)]
        let mut new = Disk::new(life, disk, found);
        if let Some(fault) = self.fault {
            new.plant(fault);
        }
        new
    }

    fn worker(&mut self) -> Worker {
        let drift = DriftBound::ppm(PPM).expect("within bounds");
        let set = WorkerSettings {
            look: ms(200),
            lost_after: ms(800),
            sweep: ms(40),
            again: ms(150),
            drift,
            ..WorkerSettings::default()
        };
        #[allow(unused_mut)]
        let mut worker = Worker::new(set, self.dice.random());
        if let Some(fault) = self.fault {
            worker.plant(fault);
        }
        worker
    }

    fn view(&mut self) -> View {
        let drift = DriftBound::ppm(PPM).expect("within bounds");
        let id = FrontId(self.draw());
        #[allow(unused_mut)]
        let mut view = View::new(id, self.customers.clone(), TTL_MS, drift, self.dice.random());
        if let Some(fault) = self.fault {
            view.plant(fault);
        }
        view
    }

    fn put(&mut self, after: Duration, what: Ahead) {
        self.put += 1;
        self.ahead.insert((self.now + after, self.put), what);
    }

    pub fn chance(&mut self, in_thousand: u32) -> bool {
        self.dice.random_range(0..1000) < in_thousand
    }

    /// Over the network: lost, doubled, late.
    fn send(&mut self, what: impl Fn() -> Ahead) {
        if self.chance(self.lost) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.doubled)) {
            let most = if self.chance(self.late) { 3_000 } else { 8 };
            let way = Duration::from_micros(self.dice.random_range(200..most * 1_000));
            self.put(way, what());
        }
    }

    pub fn ask(&mut self, command: Command) {
        self.send(|| Ahead::Log(command.clone()));
    }

    /// Lets true time pass.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.ahead.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), what) = entry.remove_entry();
            self.now = at;
            let still = match &what {
                Ahead::Said(n, ..) | Ahead::Worker(n) => self.workers[*n].stopped_until,
                Ahead::Heard(n, ..) | Ahead::Front(n) => self.fronts[*n].stopped_until,
                _ => Duration::ZERO,
            };
            if still > self.now {
                self.put(still - self.now, what);
                continue;
            }
            self.happens(what);
            if self.breach.is_some() {
                return;
            }
        }
        self.now = end;
    }

    fn happens(&mut self, what: Ahead) {
        match what {
            Ahead::Log(command) => self.apply(&command),
            Ahead::Tell(id, tell) => self.tell(id, &tell),
            Ahead::Said(n, life, id, said) => {
                let host = &mut self.workers[n];
                if host.life == life {
                    host.worker.heard(self.now.mul_f64(host.rate), id, said);
                }
            }
            Ahead::Job(id, life, shard, order, done) => self.job_ends(id, life, &shard, order, done),
            Ahead::Heard(n, life, seq, renewed) => {
                if self.fronts[n].life == life {
                    self.front(n, ViewInput::Heard { seq, renewed });
                }
            }
            Ahead::Worker(n) => {
                self.work(n);
                self.put(TICK, Ahead::Worker(n));
            }
            Ahead::Front(n) => {
                // Before it hears anything: it may have been stopped for long.
                self.place(n);
                self.feed(n);
                self.front(n, ViewInput::Tick);
                self.put(TICK / 2, Ahead::Front(n));
            }
            Ahead::Leader => {
                let due = self.rights.due(self.now.mul_f64(self.leader_rate));
                due.iter().for_each(|command| self.apply(command));
                self.put(TICK / 2, Ahead::Leader);
            }
            Ahead::Ended(id, life, shard) => {
                if let Some(host) = self.boxes.get_mut(&id).filter(|b| b.up && b.disk.life() == life) {
                    host.disk.end(&shard);
                }
            }
        }
    }

    fn work(&mut self, n: usize) {
        // What it sees of the log may be behind.
        if !self.chance(150) {
            self.workers[n].sees = self.state.clone();
        }
        let token = (n == self.holder).then_some(Token(self.token));
        let host = &mut self.workers[n];
        let sees = host.sees.clone();
        for output in host.worker.handle(self.now.mul_f64(host.rate), token, &sees) {
            match output {
                WorkerOutput::Propose(command) => self.ask(command),
                WorkerOutput::Tell(id, tell) => self.send(|| Ahead::Tell(id, tell.clone())),
            }
        }
    }

    fn tell(&mut self, id: BoxId, tell: &Tell) {
        let Some(host) = self.boxes.get_mut(&id).filter(|b| b.up && !b.cut) else { return };
        let (mut said, job) = host.disk.handle(tell);
        if let Said::Here { holds, .. } = &mut said
            && host.liar
        {
            holds.extend(self.state.pins().keys().cloned());
        }
        let life = host.disk.life();
        self.say(id, said);
        if let Some(job) = job {
            self.job(id, life, job);
        }
    }

    fn say(&mut self, id: BoxId, said: Said) {
        let (n, of) = (self.holder, self.workers[self.holder].life);
        self.send(|| Ahead::Said(n, of, id, said.clone()));
    }

    fn in_scope(&self, id: BoxId, shard: &ShardId) -> bool {
        let zone = &self.state.inventory().boxes[&id].zone;
        let within =
            |s: &Scope| matches!(s, Scope::Anywhere) || matches!(s, Scope::Zones(z) if z.contains(zone));
        self.state.scopes(shard).iter().any(within)
    }

    /// Whether what the state believes of a box is so.
    fn in_reach(&self, id: BoxId) -> bool {
        let host = &self.boxes[&id];
        let is = Presence::Up { life: host.disk.life(), disk: host.disk.disk() };
        host.up && !host.cut && self.state.presence(id) == Some(is)
    }

    fn job(&mut self, id: BoxId, life: Life, job: Job) {
        let (wrong, broken) = (self.boxes[&id].wrong, self.boxes[&id].broken);
        let (after, shard, order, done) = match job {
            Job::Copy { shard, order, from, bytes, kb_s } => {
                if !self.begun.insert((id, life, order)) {
                    self.breach.get_or_insert(format!("{order:?} is begun twice"));
                }
                self.copied += 1;
                if !self.in_scope(id, &shard) && self.in_reach(id) {
                    self.breach
                        .get_or_insert(format!("(a) {shard} is copied to box {} at {:?}", id.0, self.now));
                }
                let read = match from {
                    Source::Origin => Some(digest_of(&shard)),
                    Source::Box(other) => {
                        self.boxes.get(&other).filter(|b| b.up).and_then(|b| b.content.get(&shard).copied())
                    }
                };
                let whole = ms(bytes / kb_s);
                let bad = self.chance(wrong);
                let breaks = self.chance(broken);
                let host = self.boxes.get_mut(&id).expect("it is there");
                // Half of something, until it is done.
                host.content.insert(shard.clone(), digest(3));
                host.found.remove(&shard);
                match read {
                    _ if host.full => (ms(20), shard, order, Done::Failed(Failure::Full)),
                    _ if breaks => (whole / 2, shard, order, Done::Failed(Failure::Broken)),
                    // It says that it has it, and has not.
                    _ if host.liar => (ms(5), shard, order, Done::Read(digest(5))),
                    None => (ms(20), shard, order, Done::Failed(Failure::Source)),
                    Some(_) if bad => (whole, shard, order, Done::Read(digest(4))),
                    Some(digest) => (whole, shard, order, Done::Read(digest)),
                }
            }
            Job::Read { shard, order } => {
                let is = self.boxes[&id].content.get(&shard).copied();
                (ms(200), shard, order, is.map_or(Done::Failed(Failure::Missing), Done::Read))
            }
            Job::Delete { shard, order } => {
                self.deleted(id, &shard);
                (ms(30), shard, order, Done::Deleted)
            }
        };
        self.put(after, Ahead::Job(id, life, shard, order, done));
    }

    /// (c) What plays may be cut once the grace is over, and not before.
    fn deleted(&mut self, id: BoxId, shard: &ShardId) {
        let sessions = self.boxes[&id].disk.sessions(shard);
        if sessions == 0 {
            return;
        }
        self.cut_short += 1;
        let since = self.draining.get(&(shard.clone(), id));
        if since.is_none_or(|at| self.now - *at < ms(rules().grace_ms)) {
            let why = format!(
                "(c) {sessions} sessions of {shard} at box {} are cut at {:?}, drained {since:?}",
                id.0, self.now
            );
            self.breach.get_or_insert(why);
        }
    }

    fn job_ends(&mut self, id: BoxId, life: Life, shard: &ShardId, order: Order, done: Done) {
        let Some(host) = self.boxes.get_mut(&id).filter(|b| b.up && b.disk.life() == life) else { return };
        let Some(said) = host.disk.done(shard, order, done) else { return };
        match done {
            Done::Read(is) if is != digest(5) && host.content.contains_key(shard) => {
                host.content.insert(shard.clone(), is);
            }
            Done::Deleted => drop(host.content.remove(shard)),
            _ => {}
        }
        if !host.cut {
            self.say(id, said);
        }
    }

    fn feed(&mut self, n: usize) {
        if self.fronts[n].deaf || self.chance(300) {
            return;
        }
        // Told anew by a keeper that is behind, as one that comes to another keeper may be.
        if self.chance(10) {
            let upto = self.topic.len().saturating_sub(self.dice.random_range(0..12));
            let mut all: BTreeMap<ShardId, (Revision, Option<Record>)> = BTreeMap::new();
            for (shard, revision, record) in &self.topic[..upto] {
                all.insert(shard.clone(), (*revision, record.clone()));
            }
            let mut all: Vec<_> = all.into_iter().collect();
            all.sort_by_key(|(_, (revision, _))| *revision);
            self.front(n, ViewInput::Anew);
            for (shard, (revision, record)) in all {
                self.front(n, ViewInput::Record(shard, revision, record));
            }
            self.front(n, ViewInput::Complete);
            self.fronts[n].fed = upto;
            return;
        }
        let from = self.fronts[n].fed;
        for at in from..self.topic.len() {
            let (shard, revision, record) = self.topic[at].clone();
            self.front(n, ViewInput::Record(shard, revision, record));
        }
        self.fronts[n].fed = self.topic.len();
        self.front(n, ViewInput::Complete);
    }

    fn front(&mut self, n: usize, input: ViewInput) {
        let host = &mut self.fronts[n];
        let word: Option<Renew> = host.view.handle(self.now.mul_f64(host.rate), input);
        if let Some(renew) = word
            && !self.fronts[n].cut
        {
            self.ask(Command::Renew(renew));
        }
    }

    /// What a front offers now, looked at as whole, and one session of it.
    fn place(&mut self, n: usize) {
        let shards: Vec<ShardId> = self.state.pins().keys().cloned().collect();
        let lucky = self.dice.random_range(0..shards.len().max(1));
        for (at, shard) in shards.iter().enumerate() {
            let host = &self.fronts[n];
            let now = self.now.mul_f64(host.rate);
            let offer = host.view.offer(now, shard.customer.as_str(), shard.name.as_str());
            let pin = &self.state.pins()[shard];
            match offer {
                Offer::Refuse(_) => {}
                Offer::Free => {
                    if !pin.older.values().any(|s| *s == Scope::Anywhere) {
                        self.breach = Some(format!("(d) front {n} plays {shard} anywhere at {:?}", self.now));
                    }
                }
                Offer::Boxes { all, .. } => {
                    let going = |id: &&BoxId| pin.copies.get(id).is_none_or(|c| c.state.is_going());
                    let bad: Vec<BoxId> =
                        all.iter().filter(|id| going(id) || !self.in_scope(**id, shard)).copied().collect();
                    if !bad.is_empty() {
                        let why =
                            format!("(d) front {n} offers {shard} at {bad:?} at {:?}: {pin:#?}", self.now);
                        self.breach = Some(why);
                        return;
                    }
                    let all: Vec<BoxId> = all.into_iter().collect();
                    let id = all[self.dice.random_range(0..all.len())];
                    if at == lucky && self.chance(200) {
                        self.play(id, shard);
                    }
                }
            }
        }
    }

    fn play(&mut self, id: BoxId, shard: &ShardId) {
        let Some(host) = self.boxes.get_mut(&id).filter(|b| b.up) else { return };
        if !host.disk.begin(shard) {
            return;
        }
        self.sessions += 1;
        let life = host.disk.life();
        if host.content.get(shard) != Some(&digest_of(shard)) {
            let is = host.content.get(shard);
            self.breach = Some(format!("box {} plays {shard} unchecked: {is:?} at {:?}", id.0, self.now));
        }
        let lasts = ms(self.dice.random_range(200..6_000));
        self.put(lasts, Ahead::Ended(id, life, shard.clone()));
    }

    /// Copies that serve, and are there in truth, as far as anybody can have noticed that they are not.
    fn good(&self, shard: &ShardId, state: &Placements) -> usize {
        let Some(pin) = state.pins().get(shard) else { return 0 };
        let good = |id: &BoxId| {
            let host = &self.boxes[id];
            !self.in_reach(*id) && host.content.get(shard) != Some(&digest(4))
                || host.content.get(shard) == Some(&digest_of(shard))
        };
        pin.copies.iter().filter(|(id, c)| c.state == CopyState::Serving && good(id)).count()
    }

    fn apply(&mut self, command: &Command) {
        self.applied += 1;
        let before = self.state.clone();
        let (answer, events) = Rc::make_mut(&mut self.state).apply(command);
        if let (Answer::Done, Command::Step(token, step)) = (&answer, command) {
            if *token < self.highest_done {
                self.breach
                    .get_or_insert(format!("{step:?} is done by {token:?} after {:?}", self.highest_done));
            }
            self.highest_done = self.highest_done.max(*token);
            self.stepped(step, &before);
        }
        let local = self.now.mul_f64(self.leader_rate);
        for event in events {
            self.rights.applied(local, &event, &self.state);
            match event {
                Event::Published { revision, shard, record } => self.topic.push((shard, revision, record)),
                Event::Copy { shard, at, to: Some("draining") } => {
                    self.draining.insert((shard, at), self.now);
                }
                Event::Copy { .. } | Event::Right { .. } | Event::RightOver(_) => {}
                Event::Over(shard, _) => {
                    self.over += 1;
                    let mut left = self.boxes.iter().filter(|(id, b)| {
                        b.content.contains_key(&shard)
                            && !b.found.contains(&shard)
                            && self.in_reach(**id)
                            && !self.in_scope(**id, &shard)
                    });
                    if let Some((id, _)) = left.find(|_| self.state.pins().contains_key(&shard)) {
                        let why = format!(
                            "(a) box {} has {shard} at {:?}, and versions before are over",
                            id.0, self.now
                        );
                        self.breach.get_or_insert(why);
                    }
                }
            }
        }
        if let Answer::Front { front, seq, renewed } = answer
            && let Some(n) = self.fronts.iter().position(|f| f.view.front() == front && !f.cut)
        {
            let life = self.fronts[n].life;
            self.send(|| Ahead::Heard(n, life, seq, renewed));
        }
        if let Err(why) = self.state.audit() {
            self.breach.get_or_insert(format!("{why}, after {command:?} at {:?}", self.now));
        }
        if self.state.clock() > self.now.as_millis() as u64 {
            self.breach.get_or_insert(format!("the log's clock is ahead at {:?}", self.now));
        }
    }

    /// (b) What a step of the work takes away.
    fn stepped(&mut self, step: &Step, before: &Placements) {
        let shard = match step {
            Step::Narrow(shard) | Step::Drain { shard, .. } | Step::Delete { shard, .. } => shard,
            Step::Lend(..) => {
                self.lent += 1;
                return;
            }
            _ => return,
        };
        self.narrowed += usize::from(matches!(step, Step::Narrow(_)));
        let Some(pin) = self.state.pins().get(shard).filter(|p| !p.removing) else { return };
        let wanted = pin.request.copies() as usize;
        let (had, has) = (self.good(shard, before), self.good(shard, &self.state));
        // A lend that has lasted for as long as it may is over, whatever is left.
        let spent = pin.lent.iter().any(|(r, l)| l.ending && pin.spent.contains(r));
        if has < had && has < wanted && !spent {
            let why = format!(
                "(b) {step:?} leaves {has} of {had} copies, {wanted} are asked for, at {:?}: {pin:#?}",
                self.now
            );
            self.breach.get_or_insert(why);
        }
    }

    /// The lease goes to another worker, or to the same process started anew.
    pub fn hand_over(&mut self, to: usize, dies: bool) {
        if dies {
            let worker = self.worker();
            let host = &mut self.workers[self.holder];
            (host.worker, host.life) = (worker, host.life + 1);
        }
        self.holder = to;
        self.token += 1;
    }

    pub fn lead(&mut self) {
        self.leader_rate = self.rate();
        let local = self.now.mul_f64(self.leader_rate);
        self.rights.begin(local, &self.state);
    }

    pub fn restart_front(&mut self, n: usize) {
        let view = self.view();
        let host = &mut self.fronts[n];
        (host.view, host.fed, host.life) = (view, 0, host.life + 1);
    }

    pub fn stop_box(&mut self, id: BoxId) {
        self.boxes.entry(id).and_modify(|b| b.up = false);
    }

    /// It starts again, with the disk it had, one from some time ago, or an empty one.
    pub fn start_box(&mut self, id: BoxId, with: u32) {
        let (life, new) = (Life(self.draw()), DiskId(self.draw()));
        let host = self.boxes.get_mut(&id).expect("it is there");
        let had = (host.disk.disk(), host.content.clone());
        let (disk, content) = match (with, host.old.clone()) {
            (0, _) => (new, BTreeMap::new()),
            // A disk put back from a copy is another: its box draws the id when it finds that it was.
            (1, Some(old)) => (new, old.1),
            _ => had.clone(),
        };
        host.old = Some(had);
        (host.content, host.up) = (content, true);
        let found: Vec<ShardId> = host.content.keys().cloned().collect();
        let disk = self.disk(life, disk, found.clone());
        self.boxes.entry(id).and_modify(|b| b.found = found.into_iter().collect());
        self.boxes.entry(id).and_modify(|b| b.disk = disk);
    }

    pub fn heal(&mut self) {
        (self.lost, self.doubled, self.late) = (0, 0, 0);
        let ids: Vec<BoxId> = self.boxes.keys().copied().collect();
        for id in ids {
            if !self.boxes[&id].up {
                self.start_box(id, 2);
            }
            let host = self.boxes.get_mut(&id).expect("it is there");
            (host.cut, host.full, host.wrong, host.broken, host.liar) = (false, false, 0, 0, false);
        }
        for front in &mut self.fronts {
            (front.cut, front.deaf) = (false, false);
        }
    }

    /// What is not as it is to be once all is well.
    pub fn unsettled(&self) -> Option<String> {
        for (shard, pin) in self.state.pins() {
            if !pin.is_settled() {
                return Some(format!("{shard} is {:?}: {pin:#?}", pin.standing(self.state.rules())));
            }
            for (n, front) in self.fronts.iter().enumerate() {
                let offer = front.view.offer(
                    self.now.mul_f64(front.rate),
                    shard.customer.as_str(),
                    shard.name.as_str(),
                );
                let all: BTreeSet<BoxId> = pin.copies.keys().copied().collect();
                if !matches!(&offer, Offer::Boxes { all: is, .. } if *is == all) {
                    return Some(format!("front {n} offers {offer:?} of {shard}, which is at {all:?}"));
                }
            }
        }
        for (id, host) in &self.boxes {
            let is: BTreeSet<&ShardId> = host.content.keys().collect();
            let wanted: BTreeSet<&ShardId> =
                self.state.pins().iter().filter(|(_, p)| p.copies.contains_key(id)).map(|(s, _)| s).collect();
            if is != wanted {
                return Some(format!("box {} holds {is:?}, and {wanted:?} is wanted", id.0));
            }
        }
        None
    }
}

//! A ledger, fronts and boxes in one process under a simulated clock, with all that goes wrong. What plays is counted at the
//! boxes, never by what fronts say.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use beechloft_quotas::soft::SoftShares;
use beechloft_quotas::{
    Answer, Claim, Command, ExpiryTimers, Fault, Front, FrontId, FrontInput, FrontOutput, FrontSettings, Key,
    Ledger, LimitDefinition, Op, QuotaParameters, Request, Reservation, Resource, Response, Scope, Stage,
    Subject,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const PPM: u32 = 50_000;

pub fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).expect("a name")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A session as boxes have it.
#[derive(Debug, Clone)]
struct Played {
    front: FrontId,
    claims: Vec<(Claim, u64)>,
    /// It comes to its box then; before that it is on its way.
    comes: Duration,
    ends: Duration,
}

pub struct Host {
    pub front: Front,
    pub id: FrontId,
    rate: f64,
    pub stopped_until: Duration,
    pub up: bool,
    /// Newcomers a second.
    pub demand: f64,
    owed: f64,
    sessions: Vec<(u64, Reservation)>,
    pub cut: bool,
    pub admitted: u64,
    pub refused: u64,
    pub sent: u64,
    pub customer: Key,
    wake: Duration,
}

#[derive(Debug, Clone)]
enum Ahead {
    Request(Request),
    Response(usize, FrontId, Response),
    SoftShares(usize, FrontId, SoftShares, Duration),
    Over(usize, FrontId, u64),
}

/// What one who asked saw of one share.
#[derive(Debug, Clone)]
struct Seen {
    invoked: Duration,
    answered: Option<Duration>,
}

pub struct World {
    pub now: Duration,
    rng: ChaCha8Rng,
    pub rules: QuotaParameters,
    drift: DriftBound,
    pub ledger: Ledger,
    times: ExpiryTimers,
    leader_rate: f64,
    pub leads: bool,
    pub hosts: Vec<Host>,
    boxes: BTreeMap<u64, Played>,
    next_session: u64,
    lives: u64,
    ahead: BTreeMap<(Duration, u64), Ahead>,
    puts: u64,
    pub lost: f64,
    pub doubled: f64,
    pub late: Duration,
    pub life: (u64, u64),
    /// Limits as committed, and since when.
    stood: BTreeMap<Name, Vec<(Duration, u64)>>,
    pub definitions: Vec<LimitDefinition>,
    rates: BTreeMap<Claim, VecDeque<Duration>>,
    playing: BTreeMap<Claim, u64>,
    pub breach: Option<String>,
    pub orphans_seen: u64,
    pub surveys: bool,
    survey_seq: u64,
    survey_next: Duration,
    pub fault: Option<Fault>,
    applied: u64,
    history: BTreeMap<(FrontId, u64), Seen>,
    /// Places in the log of what was applied, and when.
    log: Vec<(FrontId, u64, Duration)>,
    pub longest_over: u64,
    pub set_up: Duration,
    /// Shares are looked at as well as what plays.
    pub strict: bool,
}

impl World {
    pub fn new(
        seed: u64,
        fronts: usize,
        rules: QuotaParameters,
        definitions: Vec<LimitDefinition>,
        fault: Option<Fault>,
    ) -> World {
        let drift = DriftBound::ppm(PPM).expect("within bounds");
        #[allow(unused_mut)]
        let mut ledger = Ledger::default();
        let mut times = ExpiryTimers::new(drift);
        if let Some(fault) = fault {
            ledger.inject(fault);
            times.inject(fault);
        }
        let mut w = World {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            rules,
            drift,
            ledger,
            times,
            leader_rate: 1.0,
            leads: true,
            hosts: Vec::new(),
            boxes: BTreeMap::new(),
            next_session: 0,
            lives: 0,
            ahead: BTreeMap::new(),
            puts: 0,
            lost: 0.0,
            doubled: 0.0,
            late: ms(5),
            life: (500, 5_000),
            stood: BTreeMap::new(),
            definitions: Vec::new(),
            rates: BTreeMap::new(),
            playing: BTreeMap::new(),
            breach: None,
            orphans_seen: 0,
            surveys: true,
            survey_seq: 0,
            survey_next: Duration::ZERO,
            fault,
            applied: 0,
            history: BTreeMap::new(),
            log: Vec::new(),
            longest_over: 0,
            set_up: ms(50),
            strict: true,
        };
        w.times.begin(w.now, &w.ledger);
        for definition in definitions {
            w.define(definition);
        }
        for _ in 0..fronts {
            let host = w.host();
            w.hosts.push(host);
        }
        w
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p)
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    fn host(&mut self) -> Host {
        self.lives += 1;
        let id = FrontId(self.lives);
        let set = FrontSettings { rules: self.rules, drift: self.drift, tagged: true, seed: self.lives };
        let mut front = Front::new(id, set);
        if let Some(fault) = self.fault {
            front.inject(fault);
        }
        for d in &self.definitions {
            front.handle(Duration::ZERO, FrontInput::Define(d.clone()));
        }
        let spread = f64::from(PPM) / 1e6;
        let rate = 1.0 + self.rng.random_range(-spread..=spread);
        Host {
            front,
            id,
            rate,
            stopped_until: Duration::ZERO,
            up: true,
            demand: 0.0,
            owed: 0.0,
            sessions: Vec::new(),
            cut: false,
            admitted: 0,
            refused: 0,
            sent: 0,
            customer: Key::of("market"),
            wake: Duration::ZERO,
        }
    }

    pub fn define(&mut self, definition: LimitDefinition) {
        let name = definition.name.clone();
        let at = (self.now, definition.units());
        self.stood.entry(name.clone()).or_default().push(at);
        self.definitions.retain(|d| d.name != name);
        self.definitions.push(definition.clone());
        self.apply(&Command::Define(definition));
    }

    /// The definition reaches a front, as it would through the topic.
    pub fn tell(&mut self, n: usize, definition: LimitDefinition) {
        self.input(n, FrontInput::Define(definition));
    }

    /// What a limit may be taken for now: any value that it had within the time in which a change comes into force.
    fn allowed(&self, limit: &Name) -> u64 {
        let window = self.drift.longer(ms(u64::from(self.rules.ttl_ms)));
        let all = &self.stood[limit];
        let mut most = all.last().map_or(0, |l| l.1);
        for pair in all.windows(2) {
            if self.now.saturating_sub(pair[1].0) <= window {
                most = most.max(pair[0].1);
            }
        }
        most
    }

    fn leader_now(&self) -> Duration {
        self.now.mul_f64(self.leader_rate)
    }

    fn apply(&mut self, command: &Command) -> Option<Answer> {
        let (answer, events) = self.ledger.apply(command);
        self.applied += 1;
        let now = self.leader_now();
        for event in &events {
            if let beechloft_quotas::Event::Ended(_, _, Some(_)) = event {
                self.orphans_seen += 1;
            }
            if self.leads {
                self.times.applied(now, &self.ledger, event);
            }
        }
        answer
    }

    /// Another keeper leads, with a clock of its own.
    pub fn new_leader(&mut self) {
        let spread = f64::from(PPM) / 1e6;
        self.leader_rate = 1.0 + self.rng.random_range(-spread..=spread);
        self.leads = true;
        self.times = ExpiryTimers::new(self.drift);
        if let Some(fault) = self.fault {
            self.times.inject(fault);
        }
        let now = self.leader_now();
        self.times.begin(now, &self.ledger);
        // What is kept in memory alone is had anew from a snapshot.
        let mut read = Ledger::read(&self.ledger.write()).expect("a ledger");
        if let Some(fault) = self.fault {
            read.inject(fault);
        }
        assert_eq!(read, self.ledger, "a ledger reads as it was written");
        self.ledger = read;
    }

    pub fn no_leader(&mut self) {
        self.leads = false;
        self.times.end();
    }

    fn put(&mut self, after: Duration, what: Ahead) {
        self.puts += 1;
        self.ahead.insert((self.now + after, self.puts), what);
    }

    fn way(&mut self) -> Duration {
        let late = u64::try_from(self.late.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.rng.random_range(late / 4..=late))
    }

    fn deliver(&mut self, what: Ahead) {
        if self.chance(self.lost) {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(self.doubled)) {
            let way = self.way();
            self.put(way, what.clone());
        }
    }

    fn local(&self, n: usize) -> Duration {
        self.now.mul_f64(self.hosts[n].rate)
    }

    fn input(&mut self, n: usize, input: FrontInput) {
        if !self.hosts[n].up || self.hosts[n].stopped_until > self.now {
            return;
        }
        let local = self.local(n);
        let outputs = self.hosts[n].front.handle(local, input);
        for output in outputs {
            match output {
                FrontOutput::Send(request) => {
                    self.hosts[n].sent += 1;
                    let key = (request.front, request.seq);
                    let seen = Seen { invoked: self.now, answered: None };
                    self.history.entry(key).or_insert(seen);
                    if !self.hosts[n].cut {
                        self.deliver(Ahead::Request(request));
                    }
                }
                FrontOutput::SoftShares(row) => {
                    let from = self.hosts[n].id;
                    self.rows(n, from, &row);
                }
                _ => {}
            }
        }
        let due = self.hosts[n].front.next_due().unwrap_or(Duration::MAX);
        self.hosts[n].wake = due;
    }

    /// Gossip: a row reaches all that are not cut off, some time later.
    fn rows(&mut self, from: usize, id: FrontId, row: &SoftShares) {
        for to in 0..self.hosts.len() {
            if to != from && self.hosts[to].cut == self.hosts[from].cut {
                let after = ms(self.rng.random_range(20..400));
                let made = self.now;
                self.put(after, Ahead::SoftShares(to, id, row.clone(), made));
            }
        }
    }

    /// Rows again, so that they stay fresh.
    pub fn refresh(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].up {
                let parts =
                    self.hosts[n].front.share_usages().into_iter().map(|s| (s.claim, s.share)).collect();
                let (id, row) = (self.hosts[n].id, SoftShares { parts });
                self.rows(n, id, &row);
            }
        }
    }

    fn subject(&self, n: usize) -> Subject {
        let customer = self.hosts[n].customer.clone();
        Subject {
            title: Key::of("asparagus"),
            class: Key::of("stall"),
            customer,
            kbits: 100,
            ..Subject::default()
        }
    }

    fn claims(&self, n: usize) -> Vec<(Claim, u64)> {
        let of = |d: &LimitDefinition| {
            let key = match d.of {
                Scope::Customer => self.hosts[n].customer.clone(),
                _ => Key::default(),
            };
            let customer = if d.weights.is_empty() { Key::default() } else { self.hosts[n].customer.clone() };
            let units = if d.counts == Resource::Kbits { 100 } else { 1 };
            (Claim { limit: d.name.clone(), key, customer }, units)
        };
        self.definitions.iter().map(of).collect()
    }

    /// A newcomer at a front.
    pub fn come(&mut self, n: usize) -> bool {
        if !self.hosts[n].up || self.hosts[n].stopped_until > self.now {
            return false;
        }
        let (local, subject) = (self.local(n), self.subject(n));
        let taken = self.hosts[n].front.take(local, &subject, Stage::Session);
        let due = self.hosts[n].front.next_due().unwrap_or(Duration::MAX);
        self.hosts[n].wake = due;
        let Ok(taken) = taken else {
            self.hosts[n].refused += 1;
            return false;
        };
        self.hosts[n].admitted += 1;
        self.next_session += 1;
        let id = self.next_session;
        let life = ms(self.rng.random_range(self.life.0..=self.life.1));
        let comes = self.now
            + Duration::from_micros(
                self.rng.random_range(0..=u64::try_from(self.set_up.as_micros()).unwrap_or(u64::MAX)),
            );
        let all = self.claims(n);
        let mut claims = Vec::new();
        for (claim, units) in all {
            let of = self.definitions.iter().find(|d| d.name == claim.limit).expect("defined").clone();
            if of.counts.is_rate() {
                self.minted(&of, &claim);
                continue;
            }
            let sum = self.playing.entry(claim.clone()).or_default();
            *sum += units;
            claims.push((claim, units));
        }
        for (claim, _) in &claims {
            self.look(claim);
        }
        let front = self.hosts[n].id;
        self.boxes.insert(id, Played { front, claims, comes, ends: self.now + life });
        self.hosts[n].sessions.push((id, taken));
        let after = life + ms(2);
        self.put(after, Ahead::Over(n, front, id));
        true
    }

    /// The sum of a counter over all customers, as boxes have or will have it.
    fn plays(&self, claim: &Claim) -> u64 {
        let of = |c: &&Claim| c.limit == claim.limit && c.key == claim.key;
        self.playing.iter().filter(|(c, _)| of(c)).map(|(_, n)| n).sum()
    }

    fn look(&mut self, claim: &Claim) {
        let of = self.definitions.iter().find(|d| d.name == claim.limit).expect("defined");
        let (sum, mut allowed) = (self.plays(claim), self.allowed(&claim.limit));
        if !of.is_hard() {
            self.longest_over = self.longest_over.max(sum.saturating_sub(allowed));
            allowed += beechloft_quotas::bounds::soft_bound(of);
        }
        if sum > allowed {
            let why = format!("{claim}: {sum} play where {allowed} may, at {:?}", self.now);
            self.breach.get_or_insert(why);
        }
    }

    fn minted(&mut self, of: &LimitDefinition, claim: &Claim) {
        let window = Duration::from_secs(1);
        let most = if of.is_hard() {
            beechloft_quotas::bounds::rate_bound(of, self.drift, window)
        } else {
            of.limit + beechloft_quotas::bounds::soft_bound(of) / 1_000 + 1
        };
        let now = self.now;
        let all = self.rates.entry(claim.clone()).or_default();
        all.push_back(now);
        while all.front().is_some_and(|t| now - *t > window) {
            all.pop_front();
        }
        if all.len() as u64 > most {
            let why = format!("{claim}: {} within a second where {most} may be, at {now:?}", all.len());
            self.breach.get_or_insert(why);
        }
    }

    /// A front's process is killed; what plays at boxes plays on. Another comes up in its place.
    pub fn kill(&mut self, n: usize) {
        let (demand, customer) = (self.hosts[n].demand, self.hosts[n].customer.clone());
        let host = self.host();
        self.hosts[n] = Host { demand, customer, ..host };
    }

    /// It closes its account, as one that is told to end does, and another comes up in its place.
    pub fn leave(&mut self, n: usize) {
        self.input(n, FrontInput::Close);
        if self.fault == Some(Fault::AdmitsWhileClosing) {
            for _ in 0..20 {
                self.come(n);
            }
        }
        self.kill(n);
    }

    pub fn stop(&mut self, n: usize, span: Duration) {
        self.hosts[n].stopped_until = self.now + span;
        self.hosts[n].wake = self.hosts[n].wake.min(self.local(n));
    }

    fn survey(&mut self) {
        if !self.surveys || self.now < self.survey_next || !self.leads {
            return;
        }
        self.survey_next = self.now + ms(250);
        let surveyor = FrontId(u64::MAX);
        self.survey_seq += 2;
        let request = |seq, op| Command::Request(Request { front: surveyor, seq, op });
        let Some(Answer::Orphans(orphans)) = self.apply(&request(self.survey_seq - 1, Op::Orphans)) else {
            return;
        };
        for (orphan, front) in orphans {
            let mut left: BTreeMap<Claim, u64> = BTreeMap::new();
            let at_boxes = self.boxes.values().filter(|p| p.front == front && p.comes <= self.now);
            for (claim, units) in at_boxes.flat_map(|p| &p.claims) {
                *left.entry(claim.clone()).or_default() += units;
            }
            self.survey_seq += 1;
            let op = Op::Counted { orphan, left: left.into_iter().collect() };
            self.apply(&request(self.survey_seq, op));
        }
    }

    /// Time goes on; each step all that is due is done.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.breach.is_none() {
            self.now += ms(5);
            while let Some(entry) = self.ahead.first_entry().filter(|e| e.key().0 <= self.now) {
                let what = entry.remove();
                self.happen(what);
            }
            if self.leads {
                for command in self.times.due(self.leader_now()) {
                    self.apply(&command);
                }
            }
            for n in 0..self.hosts.len() {
                if self.hosts[n].wake <= self.local(n) {
                    self.input(n, FrontInput::Tick);
                }
                self.hosts[n].owed += self.hosts[n].demand * 0.005;
                while self.hosts[n].owed >= 1.0 {
                    self.hosts[n].owed -= 1.0;
                    self.come(n);
                }
            }
            self.survey();
            if self.strict && self.now.as_millis().is_multiple_of(20) {
                self.check_shares();
            }
        }
    }

    fn happen(&mut self, what: Ahead) {
        match what {
            Ahead::Request(request) => {
                if !self.leads {
                    return;
                }
                let (front, seq) = (request.front, request.seq);
                let first = !self.log.iter().rev().take(4096).any(|l| (l.0, l.1) == (front, seq));
                let Some(answer) = self.apply(&Command::Request(request)) else { return };
                if first && answer != Answer::Rejected(beechloft_quotas::Rejection::Superseded) {
                    self.log.push((front, seq, self.now));
                }
                self.check_sums();
                let Some(n) = self.hosts.iter().position(|h| h.id == front) else { return };
                if !self.hosts[n].cut {
                    self.deliver(Ahead::Response(n, front, Response::Answer { front, seq, answer }));
                }
            }
            Ahead::Response(n, front, heard) if self.hosts[n].id == front => {
                if self.hosts[n].stopped_until > self.now {
                    // It waits in the stopped process's socket.
                    let after = self.hosts[n].stopped_until - self.now;
                    return self.put(after, Ahead::Response(n, front, heard));
                }
                if let Response::Answer { seq, .. } = &heard
                    && let Some(seen) = self.history.get_mut(&(front, *seq))
                {
                    seen.answered.get_or_insert(self.now);
                }
                self.input(n, FrontInput::Response(heard));
            }
            Ahead::SoftShares(n, from, row, made) => {
                let age = self.now - made;
                self.input(n, FrontInput::SoftShares(from, row, age));
            }
            Ahead::Over(n, front, id) => self.over(n, front, id),
            Ahead::Response(..) => {}
        }
    }

    fn over(&mut self, n: usize, front: FrontId, id: u64) {
        if let Some(played) = self.boxes.remove(&id) {
            for (claim, units) in played.claims {
                if let Some(sum) = self.playing.get_mut(&claim) {
                    *sum -= units;
                }
            }
        }
        if self.hosts[n].id != front || !self.hosts[n].up {
            return;
        }
        if self.hosts[n].stopped_until > self.now {
            // The box's word waits too.
            let after = self.hosts[n].stopped_until - self.now + ms(1);
            return self.put(after, Ahead::Over(n, front, id));
        }
        let at = self.hosts[n].sessions.iter().position(|s| s.0 == id);
        if let Some(at) = at {
            let (_, taken) = self.hosts[n].sessions.swap_remove(at);
            let local = self.local(n);
            self.hosts[n].front.release(local, taken);
            let due = self.hosts[n].front.next_due().unwrap_or(Duration::MAX);
            self.hosts[n].wake = due;
        }
    }

    /// What might be admitted by now, were all shares used: those of fronts whose accounts run by their own clocks, a stopped
    /// process's too, as it may go on at any moment; and what plays for all others.
    fn check_shares(&mut self) {
        for d in self
            .definitions
            .clone()
            .iter()
            .filter(|d| d.of == Scope::All && d.is_hard() && d.weights.is_empty())
        {
            let key = Key::default();
            let claim = Claim { limit: d.name.clone(), key: key.clone(), customer: key };
            let plays = if d.counts.is_rate() { 0 } else { self.plays(&claim) };
            let mut might = plays;
            for n in 0..self.hosts.len() {
                let (host, local) = (&self.hosts[n], self.local(n));
                if host.up && host.front.is_open(local) {
                    might += host.front.room(&claim);
                }
            }
            // More may play than a limit that was lowered; then nobody is to have room.
            let allowed = self.allowed(&d.name).max(plays);
            if might > allowed {
                let why = format!("{claim}: {might} might be where {allowed} may, at {:?}", self.now);
                self.breach.get_or_insert(why);
            }
        }
    }

    /// The ledger's sums are what its shares say, and are over no limit that has not been lowered.
    fn check_sums(&mut self) {
        for d in &self.definitions {
            if d.of != Scope::All || !d.is_hard() {
                continue;
            }
            let (kept, anew) =
                (self.ledger.sum(&d.name, &Key::default()), self.ledger.sum_anew(&d.name, &Key::default()));
            let most = self.stood[&d.name].iter().map(|s| s.1).max().unwrap_or(0);
            if kept != anew || anew > most {
                let why = format!("{}: the ledger has {kept}, its shares are {anew}, of {most}", d.name);
                self.breach.get_or_insert(why);
            }
        }
    }

    /// The history as fronts saw it is that of one ledger: what was answered before another was asked lies before it in the log,
    /// each lies between its asking and its answer, and each number of a front once.
    pub fn check_history(&self) -> Option<String> {
        let mut latest_asked = Duration::ZERO;
        let mut last: BTreeMap<FrontId, u64> = BTreeMap::new();
        for (front, seq, at) in &self.log {
            let seen = self.history.get(&(*front, *seq))?;
            if seen.invoked > *at || seen.answered.is_some_and(|a| a < *at) {
                return Some(format!("{front:?} {seq} was done at {at:?}, outside of {seen:?}"));
            }
            // All before it in the log were asked by then; none of them may have been asked after this one was answered.
            latest_asked = latest_asked.max(seen.invoked);
            if seen.answered.is_some_and(|a| a < latest_asked) {
                return Some(format!("{front:?} {seq} lies after one that was asked after its answer"));
            }
            if last.insert(*front, *seq).is_some_and(|before| before > *seq) {
                return Some(format!("{front:?} {seq} was done after a later one"));
            }
        }
        None
    }

    /// All there is of a limit, for whoever looks for a fault.
    pub fn print(&self, limit: &str) {
        let claim = Claim { limit: name(limit), key: Key::default(), customer: Key::default() };
        println!("{:?} of {:?}", self.ledger.sum(&claim.limit, &claim.key), self.stood[&claim.limit]);
        self.ledger.orphans().for_each(|(id, o)| println!("{id:?}: {o:?}"));
        for (n, host) in self.hosts.iter().enumerate() {
            let open = host.front.is_open(self.local(n));
            let at_boxes = self.boxes.values().filter(|b| b.front == host.id).count();
            println!(
                "{n} {:?} open {open}: {:?} room {} in the ledger {} at boxes {at_boxes} cut {} stopped {:?}",
                host.id,
                host.front.standing(&claim),
                host.front.room(&claim),
                self.ledger.share(host.id, &claim),
                host.cut,
                host.stopped_until,
            );
        }
    }

    pub fn plays_of(&self, limit: &str) -> u64 {
        let key = Key::default();
        self.plays(&Claim { limit: name(limit), key: key.clone(), customer: key })
    }
}

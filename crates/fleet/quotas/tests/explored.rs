//! Every order of deliveries, copies, losses, newcomers, ends, kills, leaders, surveys and steps of clocks of one ledger and three
//! fronts with their real machines, up to a depth. What is never delivered is lost. True time goes on by a part of an account's
//! time at once, each clock as fast or as slow as the drift allows.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use beechloft_leases::{DriftBound, Name};
use beechloft_model_checker::{Counterexample, Exploration, FingerprintHasher, Limits, Model, explore};
use beechloft_quotas::{
    Answer, Claim, Command, ExpiryTimers, Fault, Front, FrontId, FrontInput, FrontOutput, FrontSettings, Key,
    Ledger, LimitDefinition, Op, QuotaParameters, Request, Reservation, Resource, Response, Scope, Stage,
    Subject,
};

const PPM: u32 = 90_000;
const TTL_MS: u32 = 1_000;
const LIMIT: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Left {
    steps: u8,
    copies: u8,
    comes: u8,
    kills: u8,
    leads: u8,
    surveys: u8,
}

#[derive(Debug, Clone)]
struct World {
    steps: u32,
    ledger: Arc<Ledger>,
    times: Arc<ExpiryTimers>,
    fronts: Vec<Arc<Front>>,
    lives: u64,
    asked: Vec<Arc<Request>>,
    told: Vec<Arc<(FrontId, u64, Answer)>>,
    /// Sessions at boxes: whose, and what its front would give back.
    plays: Vec<(FrontId, Reservation)>,
    surveyed: u64,
    left: Left,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Step,
    Tick(usize),
    Apply(Arc<Request>),
    ApplyCopy(Arc<Request>),
    Tell(Arc<(FrontId, u64, Answer)>),
    Come(usize),
    End(usize),
    Kill(usize),
    Lead,
    Look,
    Survey,
}

struct Small {
    fault: Option<Fault>,
    /// Of the leader's clock and of all fronts': by how much of the drift they are fast.
    rates: (f64, f64),
    span: Duration,
    left: Left,
}

fn name() -> Name {
    Name::try_from("plays".to_owned()).expect("a name")
}

fn claim() -> Claim {
    Claim { limit: name(), key: Key::default(), customer: Key::default() }
}

impl Small {
    fn drift(&self) -> DriftBound {
        DriftBound::ppm(PPM).expect("within bounds")
    }

    fn clock(&self, rate: f64, steps: u32) -> Duration {
        Duration::from_secs(1) + self.span.mul_f64(1.0 + rate * f64::from(PPM) / 1e6) * steps
    }

    fn front(&self, id: u64) -> Front {
        let rules = QuotaParameters { fronts: 3, ttl_ms: TTL_MS, settle_ms: 100, horizon_ms: 1_000 };
        let set = FrontSettings { rules, drift: self.drift(), tagged: true, seed: 7 };
        Front::new(FrontId(id), set)
    }

    fn apply(&self, w: &mut World, command: &Command) -> Option<Answer> {
        let now = self.clock(self.rates.0, w.steps);
        let (answer, events) = Arc::make_mut(&mut w.ledger).apply(command);
        let ledger = Arc::clone(&w.ledger);
        events.iter().for_each(|event| Arc::make_mut(&mut w.times).applied(now, &ledger, event));
        answer
    }

    fn input(&self, w: &mut World, n: usize, input: FrontInput) {
        let now = self.clock(self.rates.1, w.steps);
        for output in Arc::make_mut(&mut w.fronts[n]).handle(now, input) {
            if let FrontOutput::Send(request) = output
                && w.asked.iter().all(|a| **a != request)
            {
                w.asked.push(Arc::new(request));
            }
        }
    }

    fn request(&self, w: &mut World, request: &Request) {
        let (front, seq) = (request.front, request.seq);
        if let Some(answer) = self.apply(w, &Command::Request(request.clone())) {
            let told = (front, seq, answer);
            if w.told.iter().all(|t| **t != told) {
                w.told.push(Arc::new(told));
            }
        }
    }

    fn tell(&self, w: &mut World, told: &(FrontId, u64, Answer)) {
        let (front, seq, answer) = told.clone();
        if let Some(n) = w.fronts.iter().position(|f| f.id() == front) {
            self.input(w, n, FrontInput::Response(Response::Answer { front, seq, answer }));
        }
    }

    fn come(&self, w: &mut World, n: usize) -> bool {
        let now = self.clock(self.rates.1, w.steps);
        let front = Arc::make_mut(&mut w.fronts[n]);
        let taken = front.take(now, &Subject::default(), Stage::Session);
        let id = front.id();
        taken.is_ok_and(|taken| {
            w.plays.push((id, taken));
            true
        })
    }

    /// All that is said is done and heard, in order, until nothing is said.
    fn settle(&self, w: &mut World) {
        while !w.asked.is_empty() || !w.told.is_empty() {
            for request in std::mem::take(&mut w.asked) {
                self.request(w, &request);
            }
            for told in std::mem::take(&mut w.told) {
                self.tell(w, &told);
            }
        }
    }

    fn start(&self) -> World {
        let mut ledger = Ledger::default();
        let mut times = ExpiryTimers::new(self.drift());
        let definition = LimitDefinition {
            fronts: 3,
            settle_ms: 100,
            longest_ms: 1_000,
            ..LimitDefinition::hard(name(), Resource::Sessions, Scope::All, LIMIT)
        };
        ledger.apply(&Command::Define(definition));
        times.begin(self.clock(self.rates.0, 0), &ledger);
        let mut w = World {
            steps: 0,
            ledger: Arc::new(ledger),
            times: Arc::new(times),
            fronts: (1..=3).map(|id| Arc::new(self.front(id))).collect(),
            lives: 3,
            asked: Vec::new(),
            told: Vec::new(),
            plays: Vec::new(),
            surveyed: 0,
            left: self.left,
        };
        for n in 0..3 {
            self.input(&mut w, n, FrontInput::Start);
            self.settle(&mut w);
        }
        // Who came first lacks and is given: the first front holds all and uses one.
        for _ in 0..6 {
            self.come(&mut w, 0);
            w.steps += 1;
            self.input(&mut w, 0, FrontInput::Tick);
            self.settle(&mut w);
            (1..3).for_each(|n| self.input(&mut w, n, FrontInput::Tick));
            self.settle(&mut w);
            if !w.plays.is_empty() {
                break;
            }
        }
        assert!(!w.plays.is_empty() && w.ledger.sum(&name(), &Key::default()) <= LIMIT);
        // The second lacks some.
        self.come(&mut w, 1);
        if let Some(fault) = self.fault {
            Arc::make_mut(&mut w.ledger).inject(fault);
            Arc::make_mut(&mut w.times).inject(fault);
            w.fronts.iter_mut().for_each(|f| Arc::make_mut(f).inject(fault));
        }
        w
    }
}

impl Model for Small {
    type State = World;
    type Action = Event;

    fn initial_states(&self) -> Vec<World> {
        vec![self.start()]
    }

    fn actions(&self, w: &World) -> Vec<Event> {
        let mut all: Vec<Event> = w.asked.iter().cloned().map(Event::Apply).collect();
        all.extend(w.told.iter().cloned().map(Event::Tell));
        let more = |left: u8, event: Event| (left > 0).then_some(event);
        all.extend(more(w.left.steps, Event::Step));
        all.extend(more(w.left.leads, Event::Lead));
        all.extend(more(w.left.surveys, Event::Survey).filter(|_| w.ledger.orphans().count() > 0));
        if w.left.copies > 0 {
            all.extend(w.asked.iter().cloned().map(Event::ApplyCopy));
        }
        let (leader, local) = (self.clock(self.rates.0, w.steps), self.clock(self.rates.1, w.steps));
        if w.times.next_due().is_some_and(|due| due <= leader) {
            all.push(Event::Look);
        }
        for (n, front) in w.fronts.iter().enumerate() {
            if front.next_due().is_some_and(|due| due <= local) {
                all.push(Event::Tick(n));
            }
            all.extend(more(w.left.comes, Event::Come(n)));
            all.extend(more(w.left.kills, Event::Kill(n)));
        }
        all.extend((0..w.plays.len()).map(Event::End));
        all
    }

    fn step(&self, w: &mut World, event: &Event) {
        match event {
            Event::Step => {
                w.left.steps -= 1;
                w.steps += 1;
            }
            Event::Tick(n) => self.input(w, *n, FrontInput::Tick),
            Event::Apply(request) => {
                w.asked.retain(|a| a != request);
                self.request(w, request);
            }
            Event::ApplyCopy(request) => {
                w.left.copies -= 1;
                self.request(w, request);
            }
            Event::Tell(told) => {
                w.told.retain(|t| t != told);
                self.tell(w, told);
            }
            Event::Come(n) => {
                w.left.comes -= 1;
                self.come(w, *n);
            }
            Event::End(at) => {
                let (id, taken) = w.plays.remove(*at);
                let now = self.clock(self.rates.1, w.steps);
                if let Some(n) = w.fronts.iter().position(|f| f.id() == id) {
                    Arc::make_mut(&mut w.fronts[n]).release(now, taken);
                }
            }
            Event::Kill(n) => {
                w.left.kills -= 1;
                w.lives += 1;
                w.fronts[*n] = Arc::new(self.front(w.lives));
                self.input(w, *n, FrontInput::Start);
            }
            Event::Lead => {
                w.left.leads -= 1;
                let now = self.clock(self.rates.0, w.steps);
                Arc::make_mut(&mut w.times).begin(now, &w.ledger);
            }
            Event::Look => {
                let now = self.clock(self.rates.0, w.steps);
                for command in Arc::make_mut(&mut w.times).due(now) {
                    self.apply(w, &command);
                }
            }
            Event::Survey => {
                w.left.surveys -= 1;
                let front = FrontId(99);
                w.surveyed += 1;
                let ask = Request { front, seq: w.surveyed, op: Op::Orphans };
                let Some(Answer::Orphans(orphans)) = self.apply(w, &Command::Request(ask)) else { return };
                for (orphan, of) in orphans {
                    let left = w.plays.iter().filter(|p| p.0 == of).count() as u64;
                    w.surveyed += 1;
                    let op = Op::Counted { orphan, left: vec![(claim(), left)] };
                    self.apply(w, &Command::Request(Request { front, seq: w.surveyed, op }));
                }
            }
        }
    }

    fn fingerprint(&self, w: &World, into: &mut FingerprintHasher) {
        (w.left, w.steps, &w.ledger, &w.times, &w.fronts, w.lives, w.surveyed).hash(into);
        fn of(m: &impl Hash) -> u64 {
            let mut one = FingerprintHasher::new();
            m.hash(&mut one);
            one.finish()
        }
        w.asked.iter().map(|m| of(&**m)).collect::<BTreeSet<u64>>().hash(into);
        w.told.iter().map(|m| of(&**m)).collect::<BTreeSet<u64>>().hash(into);
        let mut plays: BTreeMap<FrontId, Vec<&Reservation>> = BTreeMap::new();
        w.plays.iter().for_each(|(id, t)| plays.entry(*id).or_default().push(t));
        plays.values_mut().for_each(|p| p.sort());
        plays.hash(into);
    }

    fn violation(&self, w: &World) -> Option<String> {
        let local = self.clock(self.rates.1, w.steps);
        let open = w.fronts.iter().filter(|f| f.is_open(local));
        let might = w.plays.len() as u64 + open.map(|f| f.room(&claim())).sum::<u64>();
        if might > LIMIT {
            return Some(format!("{} play, {might} might, {LIMIT} may", w.plays.len()));
        }
        let (kept, anew) =
            (w.ledger.sum(&name(), &Key::default()), w.ledger.sum_anew(&name(), &Key::default()));
        (kept != anew || anew > LIMIT).then(|| format!("the ledger has {kept}, its shares are {anew}"))
    }
}

const LEFT: Left = Left { steps: 4, copies: 1, comes: 2, kills: 1, leads: 1, surveys: 1 };

fn explored(
    fault: Option<Fault>,
    rates: (f64, f64),
    span_ms: u64,
    depth: usize,
    states: usize,
) -> Result<Exploration, Counterexample<Event>> {
    let model = Small { fault, rates, span: Duration::from_millis(span_ms), left: LEFT };
    explore(&model, Limits { depth, states, threads: 4 })
}

#[test]
fn no_order_of_events_is_over_the_limit() {
    for rates in [(1.0, -1.0), (-1.0, 1.0), (0.0, 0.0)] {
        let seen =
            explored(None, rates, 500, 6, 400_000).unwrap_or_else(|found| panic!("{rates:?}: {found:#?}"));
        println!("{rates:?}: {seen:?}");
        assert!(seen.states > 2_000, "{seen:?}");
    }
}

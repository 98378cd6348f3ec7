//! Keepers that follow one log, subscribers that go from one to another, publishers, and a way between them that loses, doubles
//! and delays. That the keepers agree on the log is shown elsewhere (`crates/fleet/consensus`); here one of them leads and writes
//! it. What was really written is kept beside, plainly.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use beechloft_topic::{
    DriftBound, Expect, Fault, Feed, Key, Layout, Name, Offset, Outcome, Publisher, PublisherId,
    PublisherInput, PublisherOutput, PublisherSettings, PublisherTicket, Record, Retention, Said, Subscriber,
    SubscriberInput, SubscriberOutput, SubscriberSettings, Terms, Told, TopicAnswer, TopicCommand,
    TopicEvent, TopicOp, TopicRequest, TopicResponse, Topics, Value,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SMALL: Layout = Layout {
    segment_bytes: 160,
    segment_records: 5,
    tail_bytes: 100,
    tail_most: 300,
    tail_messages: 8,
    garbage_percent: 30,
};

/// ... of which more that is overtaken is left lying.
pub const LAZY: Layout = Layout { segment_bytes: 300, segment_records: 9, garbage_percent: 60, ..SMALL };

pub const RETENTION_MS: u32 = 1_000;

pub fn name() -> Name {
    Name::try_from("fleet/test".to_owned()).expect("a name")
}

pub fn key(n: usize) -> Key {
    Key::new(format!("k{n}").as_bytes()).expect("a key")
}

/// What was written, plainly.
#[derive(Debug, Default, Clone)]
pub struct Plain {
    pub messages: Vec<(Key, Option<Vec<u8>>)>,
}

impl Plain {
    pub fn as_of(&self, to: Offset) -> BTreeMap<Key, (Offset, Vec<u8>)> {
        let mut keys = BTreeMap::new();
        for (n, (key, value)) in self.messages.iter().enumerate().take(to.0 as usize) {
            match value {
                Some(value) => drop(keys.insert(key.clone(), (Offset(n as u64), value.clone()))),
                None => drop(keys.remove(key)),
            }
        }
        keys
    }
}

pub struct KeeperHost {
    pub topics: Topics,
    pub applied: usize,
    disk: (usize, Vec<Arc<[u8]>>),
}

/// A subscriber, its connection, and what it has told.
pub struct Sub {
    pub machine: Subscriber,
    on: Option<(usize, u64, Feed)>,
    way: VecDeque<Told>,
    last: BTreeMap<Key, Offset>,
    asleep_until: Duration,
    pub anew: usize,
    pub behind: usize,
}

/// One thing that a publisher did, as it saw it: times are steps of the world.
#[derive(Debug, Clone)]
pub struct Act {
    pub key: Key,
    pub expect: Expect,
    pub delete: bool,
    pub from: u64,
    pub to: Option<u64>,
    pub outcome: Option<Outcome>,
}

pub struct Pub {
    pub machine: Publisher,
    born: u64,
}

pub struct World {
    pub log: Vec<TopicCommand>,
    pub plain: Plain,
    /// Of each value that was written, its offset.
    tags: BTreeMap<Vec<u8>, Offset>,
    pub keepers: Vec<KeeperHost>,
    pub leader: usize,
    retention: Retention,
    pub subs: Vec<Sub>,
    pub pubs: Vec<Pub>,
    asks: Vec<TopicRequest>,
    answers: Vec<(usize, TopicResponse)>,
    pub acts: BTreeMap<u64, Act>,
    tickets: u64,
    pub now: Duration,
    pub steps: u64,
    pub lost: u32,
    pub doubled: u32,
    pub keys: usize,
    pub dice: ChaCha8Rng,
    pub breach: Option<String>,
    pub caught_up: usize,
    pub horizons: usize,
    pub cleaned: usize,
    fault: Option<Fault>,
    layout: Layout,
    /// Only writes that expect something.
    pub contended: bool,
}

impl World {
    pub fn new(keepers: usize, subs: usize, pubs: usize, seed: u64, fault: Option<Fault>) -> World {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let terms = Terms { retention_ms: RETENTION_MS, ..Terms::default() };
        let layout = if seed.is_multiple_of(2) { SMALL } else { LAZY };
        let mut first = Topics::new(layout);
        first.apply(&TopicCommand::Declare { topic: name(), life: 1, terms });
        let chunks: Vec<_> = first.write_chunks().into_iter().map(|c| c.bytes).collect();
        #[allow(unused_mut)]
        let mut retention = Retention::new(DriftBound::ppm(1_000).expect("within bounds"));
        if let Some(fault) = fault {
            retention.plant(fault);
        }
        let mut world = World {
            log: Vec::new(),
            plain: Plain::default(),
            tags: BTreeMap::new(),
            keepers: Vec::new(),
            leader: 0,
            retention,
            subs: Vec::new(),
            pubs: Vec::new(),
            asks: Vec::new(),
            answers: Vec::new(),
            acts: BTreeMap::new(),
            tickets: 0,
            now: Duration::from_secs(1),
            steps: 0,
            lost: 0,
            doubled: 0,
            keys: 6,
            dice: ChaCha8Rng::seed_from_u64(dice.random()),
            breach: None,
            caught_up: 0,
            horizons: 0,
            cleaned: 0,
            fault,
            layout,
            contended: false,
        };
        for _ in 0..keepers {
            let topics = world.read(&chunks);
            world.keepers.push(KeeperHost { topics, applied: 0, disk: (0, chunks.clone()) });
        }
        for n in 0..subs {
            let window = *[60, 400, 4_000].choose(&mut world.dice).expect("some");
            let settings = SubscriberSettings {
                window,
                patience: Duration::from_millis(700),
                again: (Duration::from_millis(20), Duration::from_millis(500)),
                ..SubscriberSettings::default()
            };
            let mut machine = Subscriber::new(name(), settings, seed + n as u64);
            if let Some(fault) = fault {
                machine.plant(fault);
            }
            let (way, last) = (VecDeque::new(), BTreeMap::new());
            let asleep_until = Duration::ZERO;
            world.subs.push(Sub { machine, on: None, way, last, asleep_until, anew: 0, behind: 0 });
            world.subscriber(n, SubscriberInput::Start);
        }
        for n in 0..pubs {
            let machine = world.publisher(n as u64);
            world.pubs.push(Pub { machine, born: n as u64 });
        }
        world
    }

    fn publisher(&mut self, born: u64) -> Publisher {
        let settings = PublisherSettings {
            queue: 40,
            again: (Duration::from_millis(100), Duration::from_millis(800)),
            give_up: Duration::from_secs(3),
            ..PublisherSettings::default()
        };
        Publisher::one_of_many(PublisherId(100 + born), name(), settings, self.dice.random())
    }

    fn read(&self, chunks: &[Arc<[u8]>]) -> Topics {
        let mut topics = Topics::read_chunks(chunks, self.layout).expect("topics");
        if let Some(fault) = self.fault {
            topics.plant(fault);
        }
        topics
    }

    fn chance(&mut self, in_thousand: u32) -> bool {
        self.dice.random_range(0..1000) < in_thousand
    }

    fn breach(&mut self, why: String) {
        let steps = self.steps;
        self.breach.get_or_insert_with(|| format!("step {steps}: {why}"));
    }

    /// A publisher wants something written.
    pub fn publish(&mut self, n: usize) {
        self.tickets += 1;
        self.steps += 1;
        let ticket = self.tickets;
        let key = key(self.dice.random_range(0..self.keys));
        let leader = self.keepers[self.leader].topics.topic(&name()).expect("the topic");
        // What it may know of the key: as of now or as of some time ago.
        let knows = leader.offset_of(key.bytes());
        let kinds = if self.contended { 4..10 } else { 0..10 };
        let kind = self.dice.random_range(kinds);
        let expect = match kind {
            0..6 => Expect::Anything,
            6 => Expect::Absent,
            _ => knows.map_or(Expect::Absent, Expect::At),
        };
        let expect = if self.contended && expect == Expect::Anything { Expect::Absent } else { expect };
        let delete = matches!(kind, 0 | 9);
        let value = (!delete).then(|| {
            let mut value = format!("{ticket}:").into_bytes();
            value.resize(self.dice.random_range(8..30), b'.');
            Value::new(&value).expect("a value")
        });
        let record = Record { key: key.clone(), value };
        let from = self.steps;
        self.acts.insert(ticket, Act { key, expect, delete, from, to: None, outcome: None });
        self.input(n, PublisherInput::Publish { ticket: PublisherTicket(ticket), record, expect });
    }

    fn input(&mut self, n: usize, input: PublisherInput) {
        for output in self.pubs[n].machine.handle(self.now, input) {
            match output {
                PublisherOutput::Send(request) => {
                    let copies = u32::from(!self.chance(self.lost)) + u32::from(self.chance(self.doubled));
                    (0..copies).for_each(|_| self.asks.push(request.clone()));
                }
                PublisherOutput::Settled(PublisherTicket(ticket), outcome) => self.settled(ticket, outcome),
                PublisherOutput::Fenced(epoch) => self.breach(format!("one of many is fenced by {epoch:?}")),
            }
        }
    }

    fn settled(&mut self, ticket: u64, outcome: Outcome) {
        self.steps += 1;
        let steps = self.steps;
        let Some(act) = self.acts.get_mut(&ticket) else { return };
        if act.outcome.is_some() {
            return self.breach(format!("{ticket} has two outcomes"));
        }
        (act.outcome, act.to) = (Some(outcome), Some(steps));
        let (key, delete) = (act.key.clone(), act.delete);
        if let Outcome::Written(offset) = outcome {
            let message = self.plain.messages.get(offset.0 as usize);
            let own = message.is_some_and(|(k, value)| {
                let tagged = value.as_ref().map(|v| v.starts_with(format!("{ticket}:").as_bytes()));
                *k == key && tagged.map_or(delete, |t| t && !delete)
            });
            if !own {
                self.breach(format!("{ticket} is told to be at {offset:?}, where {message:?} is"));
            }
        }
    }

    /// The leader writes it into the log and does it.
    fn command(&mut self, command: TopicCommand) {
        self.log.push(command);
        self.apply(self.leader, usize::MAX);
    }

    /// A keeper does what the log says.
    pub fn apply(&mut self, n: usize, most: usize) {
        for _ in 0..most {
            let at = self.keepers[n].applied;
            let Some(command) = self.log.get(at).cloned() else { break };
            self.keepers[n].applied += 1;
            let (answer, event) = self.keepers[n].topics.apply(&command);
            if n == self.leader {
                self.led(&command, answer, event);
            }
        }
    }

    fn led(&mut self, command: &TopicCommand, answer: Option<TopicAnswer>, event: Option<TopicEvent>) {
        if let Some(TopicEvent::Horizon(..)) = &event {
            self.horizons += 1;
        }
        let TopicCommand::Ask(request) = command else { return };
        if let (TopicOp::Publish { record, .. }, Some(TopicEvent::Appended(_, offset))) = (&request.op, event)
        {
            let value = record.value.as_ref().map(|v| v.bytes().to_vec());
            let next = self.plain.messages.len() as u64;
            if offset.0 > next {
                self.breach(format!("{offset:?} is given, and {next} is to come next"));
            } else if offset.0 == next {
                self.plain.messages.push((record.key.clone(), value.clone()));
                let before = value.and_then(|v| self.tags.insert(v, offset));
                if before.is_some() {
                    self.breach(format!("written twice, at {before:?} and {offset:?}"));
                }
            } else if self.plain.messages.get(offset.0 as usize) != Some(&(record.key.clone(), value)) {
                // A leader that does again what was done before says the same; any other message has another place.
                self.breach(format!("{offset:?} is given twice"));
            }
        }
        if let Some(answer) = answer {
            let heard = TopicResponse::to(request, answer);
            let whose = self.pubs.iter().position(|p| p.machine.id() == request.publisher);
            if let Some(n) = whose {
                let copies = u32::from(!self.chance(self.lost)) + u32::from(self.chance(self.doubled));
                (0..copies).for_each(|_| self.answers.push((n, heard)));
            }
        }
    }

    fn subscriber(&mut self, n: usize, input: SubscriberInput) {
        let sub = &mut self.subs[n];
        if sub.asleep_until > self.now {
            return;
        }
        for output in sub.machine.handle(self.now, input) {
            match output {
                SubscriberOutput::Subscribe { feed: number, from, allow, .. } => {
                    let to = self.dice.random_range(0..self.keepers.len());
                    let mut feed = Feed::open(from);
                    if let Some(fault) = self.fault {
                        feed.plant(fault);
                    }
                    feed.allow(allow);
                    let sub = &mut self.subs[n];
                    sub.way.clear();
                    sub.on = Some((to, number, feed));
                }
                SubscriberOutput::Allow { feed: number, total } => {
                    if let Some((_, has, feed)) = &mut self.subs[n].on
                        && *has == number
                    {
                        feed.allow(total);
                    }
                }
                SubscriberOutput::Leave(_) => self.subs[n].on = None,
                SubscriberOutput::Changed(message) => {
                    let key = Key::new(message.key()).expect("a key");
                    let last = self.subs[n].last.insert(key, message.offset);
                    if last >= Some(message.offset) {
                        self.breach(format!("{n} hears of {message:?} after {last:?}"));
                    }
                }
                SubscriberOutput::Gone(key, offset) => {
                    let last = self.subs[n].last.insert(key.clone(), offset);
                    if last > Some(offset) {
                        self.breach(format!("{n} hears of {key:?} deleted at {offset:?} after {last:?}"));
                    }
                }
                SubscriberOutput::CaughtUp(_) => self.caught_up += 1,
                SubscriberOutput::Behind => self.subs[n].behind += 1,
                SubscriberOutput::ProtocolViolation(why) => self.breach(format!("{n} distrusts: {why}")),
            }
        }
        self.check(n);
    }

    fn check(&mut self, n: usize) {
        let machine = &self.subs[n].machine;
        let Some(to) = machine.complete_to() else { return };
        let held = machine.keys().map(|(key, h)| {
            let value = h.body.value().unwrap_or_default().to_vec();
            (key.clone(), (h.offset, value))
        });
        let has: BTreeMap<_, _> = held.collect();
        let expected = self.plain.as_of(to);
        if has != expected {
            let has: Vec<_> = has.iter().filter(|(k, v)| expected.get(*k) != Some(v)).collect();
            let lacks: BTreeSet<_> = expected.iter().filter(|(k, _)| !machine_has(machine, k)).collect();
            let why = format!("{n} is complete to {to:?}: has {has:?}, lacks {lacks:?}");
            self.breach(why);
        }
    }

    /// A feed says so much, if it has it.
    fn feed(&mut self, n: usize, most: usize) {
        for _ in 0..most {
            let Some((keeper, number, feed)) = &mut self.subs[n].on else { return };
            let number = *number;
            let topic = self.keepers[*keeper].topics.topic(&name()).expect("the topic");
            let Some(said) = feed.next(topic) else { return };
            let applied = self.keepers[*keeper].applied as u64;
            if matches!(said, Said::Anew { .. }) {
                self.subs[n].anew += 1;
            }
            self.subs[n].way.push_back(Told { feed: number, applied, silent_ms: 0, said });
        }
    }

    fn hear(&mut self, n: usize, most: usize) {
        for _ in 0..most {
            if self.subs[n].asleep_until > self.now {
                return;
            }
            let Some(told) = self.subs[n].way.pop_front() else { return };
            // What is carried is bytes.
            let bytes = postcard::to_allocvec(&told).expect("bytes");
            let told = postcard::from_bytes(&bytes).expect("what was written");
            self.subscriber(n, SubscriberInput::Told(told));
        }
    }

    pub fn sleep(&mut self, n: usize, span: Duration) {
        self.subs[n].asleep_until = self.now + span;
        self.cut(n);
    }

    /// The connection breaks; what was on its way is lost.
    pub fn cut(&mut self, n: usize) {
        let sub = &mut self.subs[n];
        sub.way.clear();
        if let Some((_, number, _)) = sub.on.take() {
            // A sleeper finds out when it wakes.
            let asleep = std::mem::take(&mut sub.asleep_until);
            self.subscriber(n, SubscriberInput::Broken(number));
            self.subs[n].asleep_until = asleep;
        }
    }

    fn cut_all_of(&mut self, keeper: usize) {
        for n in 0..self.subs.len() {
            if self.subs[n].on.as_ref().is_some_and(|on| on.0 == keeper) {
                self.cut(n);
            }
        }
    }

    pub fn snapshot(&mut self, n: usize) {
        let host = &mut self.keepers[n];
        host.disk = (host.applied, host.topics.write_chunks().into_iter().map(|c| c.bytes).collect());
    }

    /// It starts again with what its disk has; what it had applied beyond that is in the log. One that leads hands the lead over.
    pub fn restart(&mut self, n: usize) {
        if n == self.leader {
            self.elect();
        }
        let (applied, chunks) = self.keepers[n].disk.clone();
        (self.keepers[n].topics, self.keepers[n].applied) = (self.read(&chunks), applied);
        self.cut_all_of(n);
    }

    /// Its disk is lost, and another's state is sent to the one in its place.
    pub fn replace(&mut self, n: usize) {
        if n == self.leader {
            self.elect();
        }
        let from = &self.keepers[self.leader];
        let (applied, chunks) = (from.applied, from.topics.write_chunks());
        let chunks: Vec<_> = chunks.into_iter().map(|c| c.bytes).collect();
        let topics = self.read(&chunks);
        self.keepers[n] = KeeperHost { topics, applied, disk: (applied, chunks) };
        self.cut_all_of(n);
    }

    /// Another leads; what was asked of the one before is lost with it. It does first all that the log says.
    pub fn elect(&mut self) {
        let others: Vec<usize> = (0..self.keepers.len()).filter(|n| *n != self.leader).collect();
        let Some(next) = others.choose(&mut self.dice) else { return };
        self.asks.clear();
        self.apply(*next, usize::MAX);
        self.leader = *next;
        self.retention.begin(self.now, &self.keepers[*next].topics);
    }

    /// A publisher's process is killed, and another starts in its place.
    pub fn kill(&mut self, n: usize) {
        let born = self.pubs[n].born + 1_000;
        let machine = self.publisher(born);
        self.pubs[n] = Pub { machine, born };
        self.answers.retain(|(whose, _)| *whose != n);
    }

    /// Something that goes on by itself.
    pub fn go_on(&mut self) {
        self.steps += 1;
        self.now += Duration::from_millis(self.dice.random_range(1..20));
        let n = self.dice.random_range(0..self.keepers.len());
        let most = self.dice.random_range(0..6);
        self.apply(n, most);
        let n = self.dice.random_range(0..self.keepers.len());
        let budget = self.dice.random_range(1..400);
        self.cleaned += usize::from(self.keepers[n].topics.clean(budget));
        for _ in 0..2 {
            if !self.asks.is_empty() {
                // In any order, and some much later.
                let at = self.dice.random_range(0..self.asks.len());
                let request = self.asks.swap_remove(at);
                self.command(TopicCommand::Ask(request));
            }
            if !self.answers.is_empty() {
                let at = self.dice.random_range(0..self.answers.len());
                let (n, heard) = self.answers.swap_remove(at);
                self.input(n, PublisherInput::Heard(heard));
            }
        }
        for n in 0..self.subs.len() {
            let (says, hears) = (self.dice.random_range(0..3), self.dice.random_range(0..3));
            self.feed(n, says);
            self.hear(n, hears);
            if self.subs[n].machine.next_due().is_some_and(|due| due <= self.now) {
                self.subscriber(n, SubscriberInput::Tick);
            }
        }
        for n in 0..self.pubs.len() {
            if self.pubs[n].machine.next_due().is_some_and(|due| due <= self.now) {
                self.input(n, PublisherInput::Tick);
            }
        }
        for command in self.retention.look(self.now, &self.keepers[self.leader].topics) {
            if !self.chance(self.lost) {
                self.command(command);
            }
        }
    }

    /// Nothing fails any more; all is said and heard.
    pub fn settle(&mut self) {
        (self.lost, self.doubled) = (0, 0);
        self.subs.iter_mut().for_each(|s| s.asleep_until = Duration::ZERO);
        for _ in 0..600 {
            self.go_on();
            for n in 0..self.keepers.len() {
                self.apply(n, usize::MAX);
            }
        }
    }

    /// What must hold once all has settled.
    pub fn settled_well(&mut self) {
        let head = Offset(self.plain.messages.len() as u64);
        for n in 0..self.subs.len() {
            let to = self.subs[n].machine.complete_to();
            if to != Some(head) {
                self.breach(format!("{n} is complete to {to:?} and not to {head:?}"));
            }
        }
        for n in 1..self.keepers.len() {
            if self.keepers[n].topics != self.keepers[0].topics {
                self.breach(format!("keepers 0 and {n} are not the same"));
            }
        }
        let acts: Vec<(u64, Act)> = self.acts.iter().map(|(t, a)| (*t, a.clone())).collect();
        for (ticket, act) in acts {
            let written = self.tags.range(format!("{ticket}:").into_bytes()..).next();
            let is = written.is_some_and(|(v, _)| v.starts_with(format!("{ticket}:").as_bytes()));
            let wrong = match act.outcome {
                Some(Outcome::Written(_)) => !act.delete && !is,
                Some(Outcome::Refused(_) | Outcome::QueueFull | Outcome::TimedOut) => is,
                Some(Outcome::Unsure) | None => false,
            };
            if wrong {
                self.breach(format!("{ticket} is written: {is}, and its outcome {:?}", act.outcome));
            }
        }
    }

    /// The offset at which what a ticket stands for was written.
    pub fn offset_of(&self, ticket: u64) -> Option<Offset> {
        let tag = format!("{ticket}:").into_bytes();
        self.tags.range(tag.clone()..).next().filter(|(v, _)| v.starts_with(&tag)).map(|(_, o)| *o)
    }
}

fn machine_has(machine: &Subscriber, key: &Key) -> bool {
    machine.get(key.bytes()).is_some()
}

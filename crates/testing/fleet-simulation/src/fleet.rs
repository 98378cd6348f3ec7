//! The fleet: time, the network, viewers.

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_front_node::{
    AttemptFailure, Input, Node, NodeLimits, Output, ServerIncarnation, ViewerConnection,
};
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::bus::{Status, Topology};
use beechloft_protocol::server::{FromServer, ServerMessage};
use beechloft_protocol::viewer::{FromViewer, SetUp, ToViewer};
use beechloft_protocol::{CallId, Cause};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::media::Media;
use crate::settings::Terms;

/// One way, front node to media server.
const WAY: Micros = Micros(500);

struct Member {
    node: Node,
    /// Starts of this front node; what was meant for an earlier one is void.
    start: u32,
    lanes: BTreeMap<ServerIncarnation, usize>,
    /// Its connections, and when each came or comes up.
    linked: BTreeMap<ServerIncarnation, Micros>,
}

/// What is on its way.
enum Ahead {
    /// To a front node's machine.
    Hear(usize, u32, Input),
    /// A viewer asks there, and is told of its end by the media server after so long.
    Ask(usize, Micros),
    /// The session ends at the media server.
    End(usize, CallId),
    /// A front node's timers.
    Due(usize, u32),
}

/// What viewers got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sum {
    /// Sessions asked for.
    pub asked: usize,
    /// Answers that a session stands.
    pub played: usize,
    /// Refusals.
    pub refused: usize,
    /// Failures.
    pub failed: usize,
    /// Sessions that ended without their viewer's or their own doing.
    pub cut: usize,
}

/// The fleet.
pub struct Fleet {
    /// What all are told.
    pub terms: Terms,
    /// The media servers, by place.
    pub media: Vec<Media>,
    /// What viewers got.
    pub sum: Sum,
    members: Vec<Member>,
    now: Micros,
    ahead: BTreeMap<(Micros, u64), Ahead>,
    put: u64,
    calls: u64,
    /// Set-ups that wait for their answer.
    open: BTreeMap<CallId, Micros>,
    dice: ChaCha8Rng,
}

impl Fleet {
    /// All front nodes of the terms, started at the same instant, with a list of warm media servers.
    pub fn start(terms: Terms, servers: u16, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            terms,
            media: (0..servers).map(Media::warm).collect(),
            sum: Sum::default(),
            members: Vec::new(),
            now: Micros(1_700_000_000_000_000),
            ahead: BTreeMap::new(),
            put: 0,
            calls: 0,
            open: BTreeMap::new(),
            dice: ChaCha8Rng::seed_from_u64(seed),
        };
        for number in 0..terms.fronts {
            let node = fleet.fresh(number);
            fleet.members.push(Member { node, start: 0, lanes: BTreeMap::new(), linked: BTreeMap::new() });
        }
        for at in 0..fleet.members.len() {
            fleet.know(at);
        }
        fleet
    }

    fn fresh(&mut self, number: u32) -> Node {
        let parsed =
            beechloft_settings::parse(self.terms.text(number).as_bytes()).expect("settings of our own");
        let bounds = NodeLimits {
            answer_margin: Micros(20_000),
            health_check_timeout: Micros(250_000),
            max_sessions: 8192,
            shutdown_deadline: Micros(3_450_000),
        };
        Node::new(parsed, self.dice.random(), bounds)
    }

    fn know(&mut self, at: usize) {
        let listed = self.media.iter().filter(|m| m.status != Status::Gone);
        let endpoints = listed.map(|m| m.line(&self.terms)).collect();
        self.hear(at, Input::InitialTopologies(vec![Topology { snapshot: true, endpoints }]));
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Front nodes.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Sessions that their front nodes hold to be standing.
    pub fn standing(&self) -> usize {
        self.members.iter().map(|m| m.node.counts().established).sum()
    }

    fn put(&mut self, after: Micros, what: Ahead) {
        self.put += 1;
        self.ahead.insert((self.now + after, self.put), what);
    }

    /// Viewers ask for sessions for a while: so many a second over the whole fleet, front node and moment by chance.
    pub fn ask(&mut self, a_second: f64, for_us: u64, lasting: Micros) {
        self.ask_unevenly(a_second, for_us, lasting, |_| 1);
    }

    /// The same, each front node as often as it weighs.
    pub fn ask_unevenly(
        &mut self,
        a_second: f64,
        for_us: u64,
        lasting: Micros,
        weight: impl Fn(usize) -> usize,
    ) {
        let lots: Vec<usize> =
            (0..self.members.len()).flat_map(|at| std::iter::repeat_n(at, weight(at))).collect();
        let count = (a_second * for_us as f64 / 1e6) as usize;
        for _ in 0..count {
            let (at, after) = (self.dice.random_range(0..lots.len()), self.dice.random_range(0..for_us));
            self.put(Micros(after), Ahead::Ask(lots[at], lasting));
        }
    }

    /// The event bus tells all of them the same, at the same instant.
    pub fn tell(&mut self, places: &[usize]) {
        let endpoints: Vec<_> = places.iter().map(|p| self.media[*p].line(&self.terms)).collect();
        for at in 0..self.members.len() {
            let start = self.members[at].start;
            let topology = Topology { snapshot: false, endpoints: endpoints.clone() };
            self.put(Micros(0), Ahead::Hear(at, start, Input::Topology(topology)));
        }
    }

    /// A media server's process ends and another begins in its place at once, under its name and address. The list tells
    /// each front node at a moment of its own within `spread`; those that had a connection saw the end.
    pub fn begin_anew(&mut self, place: usize, spread: Micros) {
        self.kill(place);
        let now = self.now;
        let lane = |m: &Member| m.lanes.iter().find(|(_, p)| **p == place).map(|(l, _)| *l);
        let saw = |m: &Member| lane(m).is_some_and(|l| m.linked.contains_key(&l));
        let witnesses = (0..self.members.len()).filter(|at| saw(&self.members[*at]));
        let told = witnesses.map(|at| (at, now + WAY)).collect();
        let media = &mut self.media[place];
        (media.up, media.began, media.told) = (true, Some(now), told);
        let line = media.line(&self.terms);
        for at in 0..self.members.len() {
            let after = Micros(self.dice.random_range(0..spread.0));
            self.media[place].told.entry(at).or_insert(now + after);
            let topology = Topology { snapshot: false, endpoints: vec![line.clone()] };
            let start = self.members[at].start;
            self.put(after, Ahead::Hear(at, start, Input::Topology(topology)));
        }
    }

    /// A media server's process dies: all connections to it are reset and new ones refused, and every front node that
    /// had one sees it at the same instant.
    pub fn kill(&mut self, place: usize) {
        self.media[place].up = false;
        let cut = std::mem::take(&mut self.media[place].playing);
        self.sum.cut += cut.len();
        for at in 0..self.members.len() {
            let m = &self.members[at];
            let lane = m.lanes.iter().find(|(_, p)| **p == place).map(|(l, _)| *l);
            if let Some(lane) = lane.filter(|l| m.linked.contains_key(l)) {
                let start = m.start;
                self.put(WAY, Ahead::Hear(at, start, Input::ServerDown(lane)));
            }
        }
    }

    /// Front nodes are killed and start again at the same instant. Their sessions play on and are handed over to them.
    pub fn restart(&mut self, which: impl Iterator<Item = usize>) {
        for at in which {
            let node = self.fresh(at as u32);
            let m = &mut self.members[at];
            m.start += 1;
            (m.node, m.lanes, m.linked) = (node, BTreeMap::new(), BTreeMap::new());
            self.know(at);
            // The list that it starts with tells it every start so far.
            let now = self.now;
            for m in self.media.iter_mut().filter(|m| m.began.is_some()) {
                let told = m.told.entry(at).or_insert(now);
                *told = now.min(*told);
            }
            let mut held = Vec::new();
            for m in &self.media {
                held.extend(m.playing.iter().filter(|p| *p.1 == at).map(|p| (*p.0, m.number)));
            }
            for (id, number) in held {
                let setup = set_up(id, Some(format!("s-{number:08x}")), &self.terms);
                let input = Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(id, Ok(setup)));
                let start = self.members[at].start;
                self.put(WAY, Ahead::Hear(at, start, input));
            }
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, us: u64) {
        let end = self.now + Micros(us);
        while let Some(entry) = self.ahead.first_entry().filter(|e| e.key().0 <= end) {
            let (at, what) = entry.remove_entry();
            self.now = at.0;
            match what {
                Ahead::Hear(at, start, input) if self.members[at].start == start => self.hear(at, input),
                Ahead::Due(at, start) if self.members[at].start == start => {
                    if self.members[at].node.next_due().is_some_and(|d| d <= self.now) {
                        self.hear(at, Input::Tick);
                    }
                }
                Ahead::Hear(..) | Ahead::Due(..) => {}
                Ahead::Ask(at, lasting) => self.asks(at, lasting),
                Ahead::End(place, id) => {
                    if let Some(at) = self.media[place].playing.remove(&id) {
                        self.told_by(at, place, FromServer::End(id, Cause::Normal), WAY);
                    }
                }
            }
        }
        self.now = end;
    }

    fn asks(&mut self, at: usize, lasting: Micros) {
        self.calls += 1;
        self.sum.asked += 1;
        let id = CallId(self.calls);
        self.open.insert(id, lasting);
        let setup = set_up(id, None, &self.terms);
        self.hear(at, Input::ViewerMessage(ViewerConnection(1), FromViewer::SetUp(id, Ok(setup))));
    }

    fn hear(&mut self, at: usize, input: Input) {
        let outputs = self.members[at].node.handle(self.now, input);
        for output in outputs {
            self.put_out(at, output);
        }
        if let Some(due) = self.members[at].node.next_due() {
            let start = self.members[at].start;
            // One of these is enough; a later one finds nothing due and is void.
            self.put(due - self.now, Ahead::Due(at, start));
        }
    }

    fn told_by(&mut self, at: usize, place: usize, event: FromServer, after: Micros) {
        let m = &self.members[at];
        let Some(lane) = m.lanes.iter().find(|(_, p)| **p == place).map(|(l, _)| *l) else { return };
        let start = m.start;
        let used = self.media[place].playing.len() as f64 / f64::from(self.terms.streams);
        let load = Some(format!("utilization:{used:.3};x1:0.1"));
        self.put(after, Ahead::Hear(at, start, Input::ServerMessage(lane, ServerMessage { event, load })));
    }

    /// Has a connection, opened now if there was none; none: nobody answers there.
    fn link(&mut self, at: usize, lane: ServerIncarnation) -> Option<usize> {
        let place = *self.members[at].lanes.get(&lane)?;
        if !self.media[place].up {
            return None;
        }
        if !self.members[at].linked.contains_key(&lane) {
            let late = self.terms.late_one_in > 0 && self.dice.random_range(0..self.terms.late_one_in) == 0;
            let up = self.now
                + Micros(if late {
                    self.dice.random_range(self.terms.dial_us / 10 * 9..self.terms.dial_us)
                } else {
                    0
                });
            self.members[at].linked.insert(lane, up);
            self.media[place].connections.push((self.now, at));
        }
        Some(place)
    }

    fn put_out(&mut self, at: usize, output: Output) {
        let start = self.members[at].start;
        match output {
            Output::AddIncarnation(lane, addr) => {
                // The newest server at an address is the one that listens there.
                if let Some(place) = self.media.iter().rposition(|m| m.address() == addr) {
                    self.members[at].lanes.insert(lane, place);
                }
            }
            Output::RemoveIncarnation(lane) => {
                self.members[at].lanes.remove(&lane);
                self.members[at].linked.remove(&lane);
            }
            Output::KeepConnected(lane, true) | Output::CheckReachability(lane) => {
                if self.link(at, lane).is_none() {
                    self.put(WAY, Ahead::Hear(at, start, Input::ServerDown(lane)));
                }
            }
            Output::SendSetUp { incarnation: lane, id, .. } => match self.link(at, lane) {
                Some(place) => {
                    // It waits for a connection that comes up late.
                    let up = self.members[at].linked.get(&lane).map_or(self.now, |up| self.now.max(*up));
                    self.media[place].set_ups.push((up, at, self.now));
                    let work = up - self.now + Micros(self.dice.random_range(5_000..40_000));
                    self.media[place].playing.insert(id, at);
                    let text = format!("answer-{id}");
                    self.told_by(at, place, FromServer::Accept(id, text), work);
                    if let Some(lasting) = self.open.get(&id) {
                        self.put(work + *lasting, Ahead::End(place, id));
                    }
                }
                None => {
                    let broken = Input::AttemptFailed(lane, id, AttemptFailure::NoConnection);
                    self.put(WAY, Ahead::Hear(at, start, broken));
                }
            },
            Output::AbandonAttempt { incarnation: lane, id, .. } => {
                if let Some(place) = self.members[at].lanes.get(&lane) {
                    self.media[*place].playing.remove(&id);
                }
            }
            Output::SendToServer(lane, id, line) => {
                let Some(place) = self.link(at, lane) else { return };
                let op = serde_json::from_slice::<serde_json::Value>(&line).unwrap_or_default();
                match op["op"].as_str() {
                    Some("test") => {
                        self.media[place].probes.push(self.now);
                        self.told_by(at, place, FromServer::TestResult(id, true), WAY);
                    }
                    Some("end") => {
                        self.media[place].playing.remove(&id);
                    }
                    _ => {}
                }
            }
            Output::SendToViewer(_, message) => self.told(&message),
            Output::DiscardUnsent(..)
            | Output::KeepConnected(_, false)
            | Output::CloseViewerConnection(_)
            | Output::Log(_) => {}
        }
    }

    fn told(&mut self, message: &ToViewer) {
        match message {
            ToViewer::Answer(id, _) => {
                self.open.remove(id);
                self.sum.played += 1;
            }
            ToViewer::Release(id, cause) | ToViewer::ReleaseWithRetryAfter(id, cause, _)
                if self.open.remove(id).is_some() =>
            {
                match cause {
                    Cause::NoCircuit | Cause::Congestion | Cause::TimerExpiry => self.sum.refused += 1,
                    _ => self.sum.failed += 1,
                }
            }
            _ => {}
        }
    }
}

/// A viewer's set-up; title and viewer follow from the id.
fn set_up(id: CallId, at: Option<String>, terms: &Terms) -> Box<SetUp> {
    let spread = id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    let title = spread % 97;
    Box::new(SetUp {
        class: terms.classes[(spread / 97) as usize % terms.classes.len()].0.into(),
        timeout_ms: if at.is_some() { 4_294_967 } else { 4_000 },
        title: format!("{title:016x}"),
        title_id: title,
        attributes: Attributes {
            home_cell: (title % u64::from(terms.cells)) as u32,
            copies: 1 + (title % 2) as u32,
            max_rung: 1,
            viewer: spread,
            is_retry: false,
            playing_at: at,
        },
        description: format!("{id}\r\n"),
    })
}

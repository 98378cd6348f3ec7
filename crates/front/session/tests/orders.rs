//! Any order of inputs, late and twice-told ones included: what the core puts out keeps the rules.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::api::*;
use beechloft_session::io::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::*;

/// What a scripted world does next.
#[derive(Debug, Clone)]
enum Step {
    Ask {
        title: u8,
        repeat: Option<u8>,
    },
    /// The oldest attempt that is out, or one that ended long ago, gets this verdict.
    Verdict {
        which: u8,
        kind: u8,
        again: bool,
    },
    HangUp(u8),
    Delete(u8, bool),
    AnswerLost(u8),
    Box(u8, u8),
    Over(u8),
    List(u8),
    Released(u8, bool),
    Wait(u32),
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u8, prop::option::weighted(0.2, 0..4u8)).prop_map(|(title, repeat)| Step::Ask { title, repeat }),
        8 => (any::<u8>(), 0..9u8, prop::bool::weighted(0.2))
            .prop_map(|(which, kind, again)| Step::Verdict { which, kind, again }),
        2 => any::<u8>().prop_map(Step::HangUp),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(n, right)| Step::Delete(n, right)),
        1 => any::<u8>().prop_map(Step::AnswerLost),
        2 => (0..4u8, 0..6u8).prop_map(|(b, n)| Step::Box(b, n)),
        1 => any::<u8>().prop_map(Step::Over),
        1 => (0..7u8).prop_map(Step::List),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(n, gone)| Step::Released(n, gone)),
        6 => prop_oneof![0..2_000u32, 0..400_000u32, 0..6_000_000u32].prop_map(Step::Wait),
        1 => Just(Step::Stop),
    ]
}

/// Everything that may be checked from outside.
#[derive(Default)]
struct Ledger {
    asked: BTreeMap<RequestId, (SessionId, u64)>,
    answered: BTreeMap<RequestId, u64>,
    hung_up: BTreeSet<RequestId>,
    out: BTreeMap<SessionId, (AttemptId, ServerId, u64)>,
    past: Vec<(AttemptId, ServerId)>,
    at_box: BTreeMap<(ServerId, String), SessionId>,
    releasing: BTreeMap<beechloft_session::release::Ticket, (ServerId, String)>,
    playing: BTreeMap<SessionId, (ServerId, Secret)>,
    boots: BTreeMap<ServerId, u64>,
    stopped: bool,
}

impl Ledger {
    fn take(&mut self, now: u64, outputs: Vec<Output>) -> Result<(), TestCaseError> {
        for output in outputs {
            match output {
                Output::SetUp { attempt, request, server, until, .. } => {
                    prop_assert!(!self.out.contains_key(&attempt.session), "two attempts out: {attempt:?}");
                    prop_assert!(!self.answered.contains_key(&request), "set up after its answer");
                    prop_assert!(!self.hung_up.contains(&request), "set up for nobody");
                    prop_assert!(until.0 > now);
                    self.out.insert(attempt.session, (attempt, server, until.0));
                }
                Output::Reply(request, answer) => {
                    prop_assert!(self.answered.insert(request, now).is_none(), "answered twice: {request:?}");
                    prop_assert!(!self.hung_up.contains(&request), "answered after the hang-up");
                    if let Answer::Playing { session, secret, server, .. } = answer {
                        self.playing.insert(session, (server, secret));
                    }
                }
                Output::Over(session, _) => {
                    prop_assert!(self.playing.remove(&session).is_some(), "over, but never played");
                }
                Output::Release { ticket, server, resource } => {
                    self.releasing.insert(ticket, (server, resource));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn pick<T: Copy>(from: impl Iterator<Item = T>, n: u8) -> Option<T> {
    let all: Vec<T> = from.collect();
    (!all.is_empty()).then(|| all[usize::from(n) % all.len()])
}

fn outcome(kind: u8) -> Outcome {
    match kind {
        2 => Outcome::Overloaded,
        3 => Outcome::Error,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        _ => Outcome::Timeout,
    }
}

struct World {
    front: Front,
    ledger: Ledger,
    next: u64,
}

impl World {
    fn input(&mut self, input: Input) -> Result<(), TestCaseError> {
        let outputs = self.front.input(input);
        self.ledger.take(self.front.now, outputs)
    }

    /// A shell keeps its word: an attempt ends by its time and grace.
    fn wait(&mut self, us: u64) -> Result<(), TestCaseError> {
        let end = self.front.now + us;
        loop {
            let grace = beechloft_session::session::GRACE.0;
            let ends = self.ledger.out.values().map(|o| o.2 + grace).min();
            let due = self.front.core.next_due().map(|t| t.0);
            let next = ends.into_iter().chain(due).min().filter(|t| *t <= end);
            let Some(next) = next else { break };
            self.front.now = self.front.now.max(next);
            let late = self.ledger.out.values().find(|o| o.2 + grace <= self.front.now).copied();
            match late {
                Some((id, server, _)) => self.verdict(id, server, Verdict::Ended(Outcome::Timeout))?,
                None => self.input(Input::Tick)?,
            }
        }
        self.front.now = end;
        Ok(())
    }

    fn verdict(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        verdict: Verdict,
    ) -> Result<(), TestCaseError> {
        if self.ledger.out.get(&attempt.session).is_some_and(|o| o.0 == attempt) {
            self.ledger.out.remove(&attempt.session);
            self.ledger.past.push((attempt, server));
        }
        if let Verdict::Accepted { resource, .. } | Verdict::Undone { resource, .. } = &verdict {
            self.ledger.at_box.insert((server, resource.clone()), attempt.session);
        }
        let sent = Micros(self.front.now.saturating_sub(1000));
        self.input(Input::Verdict { attempt, server, verdict, sent, load: LoadReport::default() })
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let l = &self.ledger;
        match step {
            Step::Ask { title, repeat } => {
                self.next += 1;
                let mut ask = ask(self.next, &format!("title-{title}"));
                ask.repeat = repeat.map(|r| RepeatKey(u64::from(r), 0));
                self.ledger.asked.insert(ask.request, (ask.session, self.front.now));
                self.input(Input::Ask(ask))
            }
            Step::Verdict { which, kind, again } => {
                let past = l.past.iter().copied();
                let live = l.out.values().map(|o| (o.0, o.1));
                let Some((id, server)) = (if again { pick(past, which) } else { pick(live, which) }) else {
                    return Ok(());
                };
                let resource = format!("/r/{}-{}", id.session.0, id.number);
                let verdict = match kind {
                    0 | 1 | 8 => Verdict::Accepted { resource, reply: Default::default() },
                    6 => Verdict::Undone { resource, outcome: Outcome::Timeout },
                    7 => Verdict::Declined(401),
                    kind => Verdict::Ended(outcome(kind)),
                };
                self.verdict(id, server, verdict)
            }
            Step::HangUp(n) => {
                let waiting = |r: &RequestId| !l.answered.contains_key(r) && !l.hung_up.contains(r);
                let Some(request) = pick(l.asked.keys().copied().filter(waiting), n) else { return Ok(()) };
                let session = l.asked[&request].0;
                self.ledger.hung_up.insert(request);
                self.input(Input::HungUp(session))
            }
            Step::Delete(n, right) => {
                let Some((session, secret)) = pick(l.playing.iter().map(|(s, p)| (*s, p.1)), n) else {
                    return Ok(());
                };
                self.next += 1;
                let secret = if right { secret } else { Secret(secret.0 ^ 1) };
                self.input(Input::Delete { request: RequestId(self.next), session, secret })?;
                prop_assert!(self.ledger.answered.contains_key(&RequestId(self.next)));
                prop_assert_eq!(right, !self.ledger.playing.contains_key(&session));
                Ok(())
            }
            Step::AnswerLost(n) => {
                let Some(session) = pick(l.playing.keys().copied(), n) else { return Ok(()) };
                self.input(Input::AnswerLost(session))
            }
            Step::Box(b, n) => {
                let server = ServerId(u32::from(b));
                let news = match n {
                    0 => BoxNews::Hello { boot: 1 },
                    1 => BoxNews::Hello { boot: self.front.now },
                    2 => BoxNews::Broken,
                    3 => BoxNews::Refused,
                    4 => BoxNews::Note(Feedback::LinkUtilization(0.7)),
                    _ => BoxNews::Note(Feedback::DeliveredFraction(0.8)),
                };
                let restarted = match news {
                    BoxNews::Refused => {
                        self.ledger.boots.remove(&server);
                        true
                    }
                    BoxNews::Hello { boot } => {
                        self.ledger.boots.insert(server, boot).is_some_and(|before| before != boot)
                    }
                    _ => false,
                };
                if restarted {
                    self.ledger.at_box.retain(|k, _| k.0 != server);
                }
                self.input(Input::Box(server, news))
            }
            Step::Over(n) => {
                let Some((server, resource)) = pick(l.at_box.keys(), n).cloned() else { return Ok(()) };
                self.ledger.at_box.remove(&(server, resource.clone()));
                self.input(Input::Box(server, BoxNews::Over { resource }))
            }
            Step::List(n) => self.input(Input::List(list_change(n))),
            Step::Released(n, gone) => {
                let Some(ticket) = pick(l.releasing.keys().copied(), n) else { return Ok(()) };
                if gone && let Some(place) = self.ledger.releasing.remove(&ticket) {
                    self.ledger.at_box.remove(&place);
                }
                self.input(Input::Released(ticket, gone))
            }
            Step::Wait(us) => self.wait(u64::from(us)),
            Step::Stop => {
                self.ledger.stopped = true;
                self.input(Input::Stop)
            }
        }
    }

    /// Lets everything run out, and checks what must hold then.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            self.wait(2_000_000)?;
            for (ticket, place) in std::mem::take(&mut self.ledger.releasing) {
                self.ledger.at_box.remove(&place);
                self.input(Input::Released(ticket, true))?;
            }
        }
        let l = &self.ledger;
        for (request, (_, since)) in &l.asked {
            let answered = l.answered.get(request);
            prop_assert!(answered.is_some() != l.hung_up.contains(request), "one answer each: {request:?}");
            prop_assert!(answered.is_none_or(|at| at - since < 4_000_000), "answered too late");
        }
        prop_assert!(l.out.is_empty());
        for ((server, resource), session) in &l.at_box {
            prop_assert!(
                l.playing.get(session).is_some_and(|p| p.0 == *server),
                "left behind: {server:?} {resource}"
            );
        }
        prop_assert_eq!(l.playing.len(), self.front.core.playing());
        prop_assert!(self.front.core.is_idle());
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(10),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_order_of_inputs_keeps_the_rules(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World { front: Front::new(seed), ledger: Ledger::default(), next: 0 };
        for step in steps {
            world.step(step)?;
        }
        world.finish()?;
    }

    #[test]
    fn the_same_inputs_give_the_same_outputs(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..60)) {
        let run = || -> Result<Vec<String>, TestCaseError> {
            let mut world = World { front: Front::new(seed), ledger: Ledger::default(), next: 0 };
            for step in &steps {
                world.step(step.clone())?;
            }
            Ok(world.front.log)
        };
        prop_assert_eq!(run()?, run()?);
    }
}

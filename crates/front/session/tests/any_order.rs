//! Property tests: for any order of inputs, including late and duplicate ones, the outputs keep the invariants.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::api::*;
use beechloft_session::io::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::*;

/// A step of the simulation.
#[derive(Debug, Clone)]
enum Step {
    Request {
        title: u8,
        repeat: Option<u8>,
    },
    /// An attempt in flight, or one that has already ended, receives a result.
    AttemptEnded {
        which: u8,
        kind: u8,
        duplicate: bool,
    },
    Disconnect(u8),
    Delete(u8, bool),
    AnswerUndelivered(u8),
    MediaServer(u8, u8),
    SessionEnded(u8),
    Endpoints(u8),
    Released(u8, bool),
    Wait(u32),
    Shutdown,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4u8, prop::option::weighted(0.2, 0..4u8)).prop_map(|(title, repeat)| Step::Request { title, repeat }),
        8 => (any::<u8>(), 0..9u8, prop::bool::weighted(0.2))
            .prop_map(|(which, kind, duplicate)| Step::AttemptEnded { which, kind, duplicate }),
        2 => any::<u8>().prop_map(Step::Disconnect),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(n, correct_secret)| Step::Delete(n, correct_secret)),
        1 => any::<u8>().prop_map(Step::AnswerUndelivered),
        2 => (0..4u8, 0..6u8).prop_map(|(b, n)| Step::MediaServer(b, n)),
        1 => any::<u8>().prop_map(Step::SessionEnded),
        1 => (0..7u8).prop_map(Step::Endpoints),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(n, ended)| Step::Released(n, ended)),
        6 => prop_oneof![0..2_000u32, 0..400_000u32, 0..6_000_000u32].prop_map(Step::Wait),
        1 => Just(Step::Shutdown),
    ]
}

/// The state of clients and media servers, derived from inputs and outputs.
#[derive(Default)]
struct Observed {
    requests: BTreeMap<RequestId, (SessionId, u64)>,
    answered: BTreeMap<RequestId, u64>,
    disconnected: BTreeSet<RequestId>,
    in_flight: BTreeMap<SessionId, (AttemptId, ServerId, u64)>,
    past: Vec<(AttemptId, ServerId)>,
    at_servers: BTreeMap<(ServerId, String), SessionId>,
    releasing: BTreeMap<beechloft_session::release::ReleaseId, (ServerId, String)>,
    playing: BTreeMap<SessionId, (ServerId, Secret)>,
    boots: BTreeMap<ServerId, u64>,
}

impl Observed {
    fn check_outputs(&mut self, now: u64, outputs: Vec<Output>) -> Result<(), TestCaseError> {
        for output in outputs {
            match output {
                Output::SetUp { attempt, request, server, deadline, .. } => {
                    prop_assert!(
                        !self.in_flight.contains_key(&attempt.session),
                        "two attempts in flight: {attempt:?}"
                    );
                    prop_assert!(!self.answered.contains_key(&request), "set up after the answer");
                    prop_assert!(
                        !self.disconnected.contains(&request),
                        "set up after the client disconnected"
                    );
                    prop_assert!(deadline.0 > now);
                    self.in_flight.insert(attempt.session, (attempt, server, deadline.0));
                }
                Output::Reply(request, answer) => {
                    prop_assert!(self.answered.insert(request, now).is_none(), "answered twice: {request:?}");
                    prop_assert!(
                        !self.disconnected.contains(&request),
                        "answered after the client disconnected"
                    );
                    if let Answer::Playing { session, secret, server, .. } = answer {
                        self.playing.insert(session, (server, secret));
                    }
                }
                Output::SessionEnded(session, _) => {
                    prop_assert!(self.playing.remove(&session).is_some(), "ended without having played");
                }
                Output::Release { id, server, resource } => {
                    self.releasing.insert(id, (server, resource));
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

struct Simulation {
    front: Front,
    observed: Observed,
    next: u64,
}

impl Simulation {
    fn input(&mut self, input: Input) -> Result<(), TestCaseError> {
        let outputs = self.front.input(input);
        self.observed.check_outputs(self.front.now, outputs)
    }

    /// Advances the time. Attempts end by their deadlines plus grace periods, as the controller requires.
    fn wait(&mut self, us: u64) -> Result<(), TestCaseError> {
        let end = self.front.now + us;
        loop {
            let grace = beechloft_session::session::GRACE.0;
            let ends = self.observed.in_flight.values().map(|o| o.2 + grace).min();
            let due = self.front.controller.next_due().map(|t| t.0);
            let next = ends.into_iter().chain(due).min().filter(|t| *t <= end);
            let Some(next) = next else { break };
            self.front.now = self.front.now.max(next);
            let overdue = self.observed.in_flight.values().find(|o| o.2 + grace <= self.front.now).copied();
            match overdue {
                Some((id, server, _)) => {
                    self.attempt_ended(id, server, AttemptResult::Ended(Outcome::Timeout))?
                }
                None => self.input(Input::Tick)?,
            }
        }
        self.front.now = end;
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        result: AttemptResult,
    ) -> Result<(), TestCaseError> {
        if self.observed.in_flight.get(&attempt.session).is_some_and(|o| o.0 == attempt) {
            self.observed.in_flight.remove(&attempt.session);
            self.observed.past.push((attempt, server));
        }
        if let AttemptResult::Accepted { resource, .. } | AttemptResult::Unusable { resource, .. } = &result {
            self.observed.at_servers.insert((server, resource.clone()), attempt.session);
        }
        let sent_at = Micros(self.front.now.saturating_sub(1000));
        self.input(Input::AttemptEnded { attempt, server, result, sent_at, load: LoadReport::default() })
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let observed = &self.observed;
        match step {
            Step::Request { title, repeat } => {
                self.next += 1;
                let mut request = session_request(self.next, &format!("title-{title}"));
                request.idempotency_key = repeat.map(|r| IdempotencyKey(u64::from(r), 0));
                self.observed.requests.insert(request.request, (request.session, self.front.now));
                self.input(Input::Request(request))
            }
            Step::AttemptEnded { which, kind, duplicate } => {
                let past = observed.past.iter().copied();
                let in_flight = observed.in_flight.values().map(|o| (o.0, o.1));
                let Some((id, server)) = (if duplicate { pick(past, which) } else { pick(in_flight, which) })
                else {
                    return Ok(());
                };
                let resource = format!("/r/{}-{}", id.session.0, id.number);
                let result = match kind {
                    0 | 1 | 8 => AttemptResult::Accepted { resource, reply: Default::default() },
                    6 => AttemptResult::Unusable { resource, outcome: Outcome::Timeout },
                    7 => AttemptResult::Declined(401),
                    kind => AttemptResult::Ended(outcome(kind)),
                };
                self.attempt_ended(id, server, result)
            }
            Step::Disconnect(n) => {
                let waiting =
                    |r: &RequestId| !observed.answered.contains_key(r) && !observed.disconnected.contains(r);
                let Some(request) = pick(observed.requests.keys().copied().filter(waiting), n) else {
                    return Ok(());
                };
                let session = observed.requests[&request].0;
                self.observed.disconnected.insert(request);
                self.input(Input::ClientDisconnected(session))
            }
            Step::Delete(n, correct_secret) => {
                let Some((session, secret)) = pick(observed.playing.iter().map(|(s, p)| (*s, p.1)), n) else {
                    return Ok(());
                };
                self.next += 1;
                let secret = if correct_secret { secret } else { Secret(secret.0 ^ 1) };
                self.input(Input::Delete { request: RequestId(self.next), session, secret })?;
                prop_assert!(self.observed.answered.contains_key(&RequestId(self.next)));
                prop_assert_eq!(correct_secret, !self.observed.playing.contains_key(&session));
                Ok(())
            }
            Step::AnswerUndelivered(n) => {
                let Some(session) = pick(observed.playing.keys().copied(), n) else { return Ok(()) };
                self.input(Input::AnswerUndelivered(session))
            }
            Step::MediaServer(b, n) => {
                let server = ServerId(u32::from(b));
                let event = match n {
                    0 => MediaServerEvent::Connected { boot: 1 },
                    1 => MediaServerEvent::Connected { boot: self.front.now },
                    2 => MediaServerEvent::Disconnected,
                    3 => MediaServerEvent::ConnectionRefused,
                    4 => MediaServerEvent::Feedback(Feedback::LinkUtilization(0.7)),
                    _ => MediaServerEvent::Feedback(Feedback::DeliveredFraction(0.8)),
                };
                let restarted = match event {
                    MediaServerEvent::ConnectionRefused => {
                        self.observed.boots.remove(&server);
                        true
                    }
                    MediaServerEvent::Connected { boot } => {
                        self.observed.boots.insert(server, boot).is_some_and(|before| before != boot)
                    }
                    _ => false,
                };
                if restarted {
                    self.observed.at_servers.retain(|k, _| k.0 != server);
                }
                self.input(Input::MediaServer(server, event))
            }
            Step::SessionEnded(n) => {
                let Some((server, resource)) = pick(observed.at_servers.keys(), n).cloned() else {
                    return Ok(());
                };
                self.observed.at_servers.remove(&(server, resource.clone()));
                self.input(Input::MediaServer(server, MediaServerEvent::SessionEnded { resource }))
            }
            Step::Endpoints(n) => self.input(Input::Endpoints(endpoint_update(n))),
            Step::Released(n, ended) => {
                let Some(id) = pick(observed.releasing.keys().copied(), n) else { return Ok(()) };
                if ended && let Some(location) = self.observed.releasing.remove(&id) {
                    self.observed.at_servers.remove(&location);
                }
                self.input(Input::Released { id, ended })
            }
            Step::Wait(us) => self.wait(u64::from(us)),
            Step::Shutdown => self.input(Input::Shutdown),
        }
    }

    /// Runs until all attempts and releases have ended, and checks the final state.
    fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            self.wait(2_000_000)?;
            for (id, location) in std::mem::take(&mut self.observed.releasing) {
                self.observed.at_servers.remove(&location);
                self.input(Input::Released { id, ended: true })?;
            }
        }
        let observed = &self.observed;
        for (request, (_, since)) in &observed.requests {
            let answered = observed.answered.get(request);
            prop_assert!(
                answered.is_some() != observed.disconnected.contains(request),
                "not exactly one answer: {request:?}"
            );
            prop_assert!(answered.is_none_or(|at| at - since < 4_000_000), "answered too late");
        }
        prop_assert!(observed.in_flight.is_empty());
        for ((server, resource), session) in &observed.at_servers {
            prop_assert!(
                observed.playing.get(session).is_some_and(|p| p.0 == *server),
                "orphaned session: {server:?} {resource}"
            );
        }
        prop_assert_eq!(observed.playing.len(), self.front.controller.playing());
        prop_assert!(self.front.controller.is_idle());
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
    fn outputs_keep_invariants_for_any_input_order(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..120)) {
        let mut simulation = Simulation { front: Front::new(seed), observed: Observed::default(), next: 0 };
        for step in steps {
            simulation.step(step)?;
        }
        simulation.finish()?;
    }

    #[test]
    fn same_inputs_give_same_outputs(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..60)) {
        let run = || -> Result<Vec<String>, TestCaseError> {
            let mut simulation = Simulation { front: Front::new(seed), observed: Observed::default(), next: 0 };
            for step in &steps {
                simulation.step(step.clone())?;
            }
            Ok(simulation.front.output_log)
        };
        prop_assert_eq!(run()?, run()?);
    }
}

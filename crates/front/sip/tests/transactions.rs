//! Transactions against the figures of RFC 3261 and RFC 6026, and over a network that loses, repeats and reorders.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::api::Micros;
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_sip::timer::{ABSORB, T1, T2, T4, TRIES};
use beechloft_sip::transaction::layer::Peer;
use beechloft_sip::transaction::{Input, Key, Layer, Output, Transport};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn peer(transport: Transport) -> Peer {
    Peer { address: "127.0.0.1:5070".parse().expect("an address"), transport, conn: 0 }
}

fn text(method: &str, n: u32, to_tag: &str) -> String {
    format!(
        "{method} sip:stall@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKb{n}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=f{n}\r\nTo: <sip:stall@example.org>{to_tag}\r\n\
         Call-ID: c{n}@example.org\r\nCSeq: 7 {method}\r\nContact: <sip:a@127.0.0.1:5070>\r\nContent-Length: 0\r\n\r\n"
    )
}

fn request(method: &str, n: u32) -> Request {
    match Message::parse(text(method, n, "").as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

/// A layer whose time is moved by hand.
struct Driven {
    layer: Layer,
    now: u64,
    transport: Transport,
}

impl Driven {
    fn new(transport: Transport) -> Self {
        Driven { layer: Layer::default(), now: S, transport }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.layer.handle(Micros(self.now), input, &mut out);
        out
    }

    fn receive(&mut self, message: Message) -> Vec<Output> {
        self.input(Input::Received(peer(self.transport), Box::new(message)))
    }

    fn send(&mut self, request: &Request) -> Vec<Output> {
        self.input(Input::Send(peer(self.transport), Box::new(request.clone())))
    }

    fn respond(&mut self, request: &Request, status: u16) -> Vec<Output> {
        let asked = self.receive(Message::Request(request.clone()));
        let key =
            asked.iter().find_map(|o| if let Output::Request(k, ..) = o { Some(k.clone()) } else { None });
        match key {
            Some(key) => self.input(Input::Respond(key, Box::new(request.answer(status, "t")))),
            None => asked,
        }
    }

    /// Times of what is sent while time passes, in milliseconds from now, and what else came out.
    fn wait(&mut self, us: u64) -> (Vec<u64>, Vec<Output>) {
        let (start, end) = (self.now, self.now + us);
        let (mut times, mut rest) = (Vec::new(), Vec::new());
        while let Some(at) = self.layer.next_due().filter(|t| t.0 <= end) {
            self.now = self.now.max(at.0);
            for output in self.input(Input::Tick) {
                match output {
                    Output::Transmit(..) => times.push((self.now - start) / MS),
                    other => rest.push(other),
                }
            }
        }
        self.now = end;
        (times, rest)
    }
}

fn sent(outputs: &[Output]) -> usize {
    outputs.iter().filter(|o| matches!(o, Output::Transmit(..))).count()
}

fn statuses(outputs: &[Output]) -> Vec<u16> {
    outputs
        .iter()
        .filter_map(|o| if let Output::Response(_, r) = o { Some(r.status) } else { None })
        .collect()
}

#[test]
fn an_invite_without_an_answer_is_repeated_as_timer_a_says_and_given_up_by_timer_b() {
    let mut d = Driven::new(Transport::Udp);
    assert_eq!(sent(&d.send(&request("INVITE", 1))), 1);
    let (times, rest) = d.wait(40 * S);
    assert_eq!(times, [500, 1500, 3500, 7500, 15500, 31500]);
    assert!(matches!(rest[..], [Output::TimedOut(_)]));
    assert!(d.layer.is_empty());

    let mut d = Driven::new(Transport::Tcp);
    d.send(&request("INVITE", 1));
    let (times, rest) = d.wait(40 * S);
    assert!(times.is_empty() && matches!(rest[..], [Output::TimedOut(_)]), "a stream repeats by itself");
}

#[test]
fn another_request_is_repeated_as_timer_e_says_and_slower_once_it_is_tried() {
    let mut d = Driven::new(Transport::Udp);
    let options = request("OPTIONS", 1);
    d.send(&options);
    let (times, _) = d.wait(9 * S);
    assert_eq!(times, [500, 1500, 3500, 7500]);
    assert_eq!(statuses(&d.receive(Message::Response(options.answer(100, "")))), [100]);
    let (times, rest) = d.wait(40 * S);
    assert!(times.windows(2).all(|w| w[1] - w[0] == T2.0 / MS), "{times:?}");
    assert!(matches!(rest[..], [Output::TimedOut(_)]), "timer F runs on");
}

#[test]
fn a_failure_is_acknowledged_each_time_it_comes_and_told_once() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    d.send(&invite);
    let failure = Message::Response(invite.answer(486, "t"));
    let out = d.receive(failure.clone());
    assert_eq!((statuses(&out), sent(&out)), (vec![486], 1));
    let Some(Output::Transmit(_, ack)) = out.iter().find(|o| matches!(o, Output::Transmit(..))) else {
        panic!("an ACK")
    };
    let Message::Request(ack) = &**ack else { panic!("a request") };
    assert_eq!(
        (ack.method(), &ack.names.branch, ack.names.to_tag.as_deref()),
        (Method::Ack, &invite.names.branch, Some("t"))
    );
    let out = d.receive(failure.clone());
    assert_eq!((statuses(&out), sent(&out)), (vec![], 1), "the ACK was lost");
    let forged = Message::Response(invite.answer(486, "other"));
    assert!(d.receive(forged).is_empty(), "another's failure");
    d.wait(ABSORB.0);
    assert!(d.layer.is_empty());
    assert!(d.receive(failure).is_empty());
}

#[test]
fn a_2xx_is_told_each_time_and_a_stray_one_too() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    d.send(&invite);
    for _ in 0..3 {
        let out = d.receive(Message::Response(invite.answer(200, "t")));
        assert_eq!((statuses(&out), sent(&out)), (vec![200], 0), "its ACK is the user's");
    }
    d.wait(TRIES.0);
    assert!(d.layer.is_empty());
    let out = d.receive(Message::Response(invite.answer(200, "t")));
    assert!(matches!(out[..], [Output::Stray(..)]));
}

#[test]
fn a_request_is_told_once_however_often_it_comes() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    assert!(matches!(d.receive(Message::Request(invite.clone()))[..], [Output::Request(..)]));
    assert!(d.receive(Message::Request(invite.clone())).is_empty(), "nothing to repeat yet");
    let (times, _) = d.wait(S);
    assert_eq!(times, [200], "a 100 by itself");
    assert_eq!(sent(&d.receive(Message::Request(invite.clone()))), 1, "the 100 again");
}

#[test]
fn a_failure_is_repeated_until_its_ack_as_timers_g_and_h_say() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    assert_eq!(sent(&d.respond(&invite, 503)), 1);
    let (times, _) = d.wait(16 * S);
    assert_eq!(times, [500, 1500, 3500, 7500, 11500, 15500]);
    let ack = invite.ack_for(&invite.answer(503, "t"));
    assert!(d.receive(Message::Request(ack.clone())).is_empty(), "absorbed");
    assert!(d.receive(Message::Request(ack)).is_empty(), "again");
    assert_eq!(d.wait(60 * S), (vec![], vec![]));
    assert!(d.layer.is_empty());

    let mut d = Driven::new(Transport::Udp);
    d.respond(&invite, 503);
    let (_, rest) = d.wait(35 * S);
    assert!(matches!(rest[..], [Output::NoAck(_)]));
    assert!(d.receive(Message::Request(invite)).is_empty(), "a last copy that was on the way long");
    d.wait(5 * S);
    assert!(d.layer.is_empty());
}

#[test]
fn after_a_2xx_a_repeated_invite_is_absorbed_and_a_second_final_answer_dropped() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    d.respond(&invite, 200);
    assert!(d.receive(Message::Request(invite.clone())).is_empty());
    let key = match Message::parse(text("INVITE", 1, "").as_bytes()) {
        Ok(Message::Request(r)) => {
            let mut fresh = Driven::new(Transport::Udp);
            let out = fresh.receive(Message::Request(r));
            out.into_iter()
                .find_map(|o| if let Output::Request(k, ..) = o { Some(k) } else { None })
                .expect("its key")
        }
        other => panic!("{other:?}"),
    };
    assert!(d.input(Input::Respond(key.clone(), Box::new(invite.answer(486, "t")))).is_empty());
    assert_eq!(
        sent(&d.input(Input::Respond(key, Box::new(invite.answer(200, "t"))))),
        1,
        "its user repeats it"
    );
    let ack = match Message::parse(text("ACK", 1, ";tag=t").replace("z9hG4bKb1", "z9hG4bKother").as_bytes()) {
        Ok(message) => message,
        other => panic!("{other:?}"),
    };
    assert!(matches!(d.receive(ack)[..], [Output::Ack(..)]), "it belongs to the dialog");
    d.wait(TRIES.0 + T4.0);
    assert!(d.layer.is_empty());
}

#[test]
fn a_cancel_is_answered_here_and_told_only_while_there_is_something_to_cancel() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    let cancel = || Message::Request(request("INVITE", 1).cancel());
    let early = d.receive(cancel());
    assert!(
        matches!(&early[..], [Output::Transmit(_, m)] if matches!(&**m, Message::Response(r) if r.status == 481))
    );
    let mut d = Driven::new(Transport::Udp);
    d.receive(Message::Request(invite.clone()));
    let out = d.receive(cancel());
    assert!(
        matches!(&out[..], [Output::Transmit(_, m), Output::Cancelled(_)] if matches!(&**m, Message::Response(r) if r.status == 200))
    );
    assert_eq!(sent(&d.receive(cancel())), 1, "answered again, told once");
    let mut d = Driven::new(Transport::Udp);
    d.respond(&invite, 200);
    let out = d.receive(cancel());
    assert!(matches!(&out[..], [Output::Transmit(..)]), "too late to cancel: {out:?}");
}

#[test]
fn a_cancel_may_go_out_only_between_a_provisional_answer_and_the_final_one() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    let key = Layer::key_of(&invite);
    d.send(&invite);
    assert!(!d.layer.may_cancel(&key), "the other side may not know the request yet");
    d.receive(Message::Response(invite.answer(180, "t")));
    assert!(d.layer.may_cancel(&key));
    d.receive(Message::Response(invite.answer(200, "t")));
    assert!(!d.layer.may_cancel(&key));
}

#[test]
fn a_lost_stream_ends_what_waits_on_it() {
    let mut d = Driven::new(Transport::Tcp);
    d.send(&request("INVITE", 1));
    d.send(&request("OPTIONS", 2));
    let out = d.input(Input::Lost(peer(Transport::Tcp)));
    assert_eq!(out.iter().filter(|o| matches!(o, Output::TimedOut(_))).count(), 2);
    assert!(d.layer.is_empty() && d.layer.next_due().is_none());
}

#[test]
fn forged_and_foreign_responses_are_nobodys() {
    let mut d = Driven::new(Transport::Udp);
    let invite = request("INVITE", 1);
    d.send(&invite);
    for (from, to) in
        [("c1@", "x1@"), ("tag=f1", "tag=x1"), ("CSeq: 7", "CSeq: 8"), ("z9hG4bKb1", "z9hG4bKb2")]
    {
        let other = text("INVITE", 1, "").replace(from, to);
        let Ok(Message::Request(other)) = Message::parse(other.as_bytes()) else { panic!("{to}") };
        assert!(d.receive(Message::Response(other.answer(486, "t"))).is_empty(), "{to}");
    }
    assert_eq!(statuses(&d.receive(Message::Response(invite.answer(486, "t")))), [486]);
}

/// A caller and a called side over a network that is told what to do with each datagram.
struct Network {
    caller: Layer,
    called: Layer,
    now: u64,
    /// On the way: arrival, towards the called side, message.
    wire: Vec<(u64, bool, Message)>,
    fates: Vec<u8>,
    at: usize,
    /// What the called side answers each request with, by its branch.
    answers: Vec<u16>,
    told: BTreeMap<String, usize>,
    finals: BTreeMap<Key, Vec<u16>>,
    timed_out: BTreeSet<Key>,
}

impl Network {
    fn fate(&mut self) -> u8 {
        self.at += 1;
        self.fates.get(self.at % self.fates.len().max(1)).copied().unwrap_or(0)
    }

    fn transmit(&mut self, to_called: bool, message: &Message) {
        // Through its bytes, as on the wire.
        let bytes = match message {
            Message::Request(r) => r.encode(),
            Message::Response(r) => r.encode(),
        };
        let message = Message::parse(&bytes).expect("what we write can be read");
        match self.fate() {
            0..=1 => {} // lost
            2 => {
                self.wire.push((self.now + 5 * MS, to_called, message.clone()));
                self.wire.push((self.now + 900 * MS, to_called, message));
            }
            3 => self.wire.push((self.now + 700 * MS, to_called, message)),
            n => self.wire.push((self.now + u64::from(n) * MS, to_called, message)),
        }
    }

    fn caller(&mut self, input: Input) {
        let mut out = Vec::new();
        self.caller.handle(Micros(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Transmit(_, message) => self.transmit(true, &message),
                Output::Response(key, response) if response.is_final() => {
                    self.finals.entry(key).or_default().push(response.status);
                }
                Output::TimedOut(key) => assert!(self.timed_out.insert(key), "timed out twice"),
                _ => {}
            }
        }
    }

    fn called(&mut self, input: Input) {
        let mut out = Vec::new();
        self.called.handle(Micros(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Transmit(_, message) => self.transmit(false, &message),
                Output::Request(key, _, request) => {
                    let n = self.told.entry(request.names.branch.clone()).or_default();
                    *n += 1;
                    let status = self.answers[request.names.branch.len() % self.answers.len()];
                    self.called(Input::Respond(key, Box::new(request.answer(status, "t"))));
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, until: u64) {
        loop {
            let arrival = self.wire.iter().map(|w| w.0).min();
            let due =
                [self.caller.next_due(), self.called.next_due()].into_iter().flatten().map(|t| t.0).min();
            let Some(next) = arrival.into_iter().chain(due).min().filter(|t| *t <= until) else { break };
            self.now = self.now.max(next);
            if let Some(n) = self.wire.iter().position(|w| w.0 <= self.now) {
                let (_, to_called, message) = self.wire.remove(n);
                let input = Input::Received(peer(Transport::Udp), Box::new(message));
                if to_called { self.called(input) } else { self.caller(input) }
            } else {
                self.caller(Input::Tick);
                self.called(Input::Tick);
            }
        }
        self.now = until;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn over_any_network_each_request_is_told_once_and_ends_once(
        fates in prop::collection::vec(0..12u8, 1..40),
        answers in prop::collection::vec(prop::sample::select(vec![200u16, 486, 503, 302, 600]), 1..4),
        kinds in prop::collection::vec(any::<bool>(), 1..8),
    ) {
        let mut net = Network {
            caller: Layer::default(), called: Layer::default(), now: S, wire: Vec::new(), fates, at: 0, answers,
            told: BTreeMap::new(), finals: BTreeMap::new(), timed_out: BTreeSet::new(),
        };
        let mut keys = Vec::new();
        for (n, invite) in (1u32..).zip(kinds) {
            let request = request(if invite { "INVITE" } else { "OPTIONS" }, n * 10u32.pow(n % 3));
            keys.push(Layer::key_of(&request));
            net.caller(Input::Send(peer(Transport::Udp), Box::new(request)));
            net.run(net.now + 50 * MS);
        }
        net.run(net.now + 200 * S);
        for (branch, n) in &net.told {
            prop_assert_eq!(*n, 1, "told more than once: {}", branch);
        }
        for key in &keys {
            let finals = net.finals.get(key).cloned().unwrap_or_default();
            let timed_out = net.timed_out.contains(key);
            prop_assert!(finals.is_empty() == timed_out, "{key:?}: {finals:?}, timed out {timed_out}");
            let once = finals.len() == 1 || finals.iter().all(|s| (200..300).contains(s));
            prop_assert!(timed_out || once, "{key:?}: {finals:?}");
        }
        prop_assert!(net.caller.is_empty() && net.called.is_empty(), "{} and {} left", net.caller.len(), net.called.len());
    }

    #[test]
    fn any_datagrams_in_any_order_neither_panic_nor_stay_for_ever(
        steps in prop::collection::vec((0..8u8, 0..4u32, 0..9_000_000u64), 1..60),
    ) {
        let mut d = Driven::new(Transport::Udp);
        for (kind, n, wait) in steps {
            let invite = request("INVITE", n);
            let message = match kind {
                0 => Message::Request(invite),
                1 => Message::Request(request("BYE", n)),
                2 => Message::Request(invite.cancel()),
                3 => Message::Request(invite.ack_for(&invite.answer(486, "t"))),
                4 => Message::Response(invite.answer(180, "t")),
                5 => Message::Response(invite.answer(200, "t")),
                6 => Message::Response(invite.answer(500, "u")),
                _ => {
                    d.send(&invite);
                    continue;
                }
            };
            for output in d.receive(message) {
                if let Output::Request(key, _, request) = output {
                    let answer: Response = request.answer(if wait % 2 == 0 { 200 } else { 404 }, "t");
                    d.input(Input::Respond(key, Box::new(answer)));
                }
            }
            d.wait(wait);
        }
        d.wait(100 * S);
        d.wait(T1.0);
        // An INVITE that rings is waited for as long as its user likes; everything else is over.
        prop_assert!(d.layer.len() <= 4, "{}", d.layer.len());
    }
}

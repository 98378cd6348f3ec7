//! Tests of transactions against the figures of RFC 3261 and RFC 6026, and over a network that loses, repeats and reorders.

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::api::Micros;
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_sip::timer::{T1, T2, T4, TIMER_D, TRANSACTION_TIMEOUT};
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

/// Transaction layer with a simulated clock.
struct Fixture {
    layer: Layer,
    now: u64,
    transport: Transport,
}

impl Fixture {
    fn new(transport: Transport) -> Self {
        Fixture { layer: Layer::default(), now: S, transport }
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
        let outputs = self.receive(Message::Request(request.clone()));
        let key =
            outputs.iter().find_map(|o| if let Output::Request(k, ..) = o { Some(k.clone()) } else { None });
        match key {
            Some(key) => self.input(Input::Respond(key, Box::new(request.response(status, "t")))),
            None => outputs,
        }
    }

    /// Advances the clock and returns the times of sent messages, in milliseconds from the start, and all other outputs.
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
fn invite_is_retransmitted_by_timer_a_until_timer_b() {
    let mut fixture = Fixture::new(Transport::Udp);
    assert_eq!(sent(&fixture.send(&request("INVITE", 1))), 1);
    let (times, rest) = fixture.wait(40 * S);
    assert_eq!(times, [500, 1500, 3500, 7500, 15500, 31500]);
    assert!(matches!(rest[..], [Output::TimedOut(_)]));
    assert!(fixture.layer.is_empty());

    let mut tcp = Fixture::new(Transport::Tcp);
    tcp.send(&request("INVITE", 1));
    let (tcp_times, tcp_rest) = tcp.wait(40 * S);
    assert!(
        tcp_times.is_empty() && matches!(tcp_rest[..], [Output::TimedOut(_)]),
        "no retransmission on a stream"
    );
}

#[test]
fn non_invite_is_retransmitted_by_timer_e_until_timer_f() {
    let mut fixture = Fixture::new(Transport::Udp);
    let options = request("OPTIONS", 1);
    fixture.send(&options);
    let (times, _) = fixture.wait(9 * S);
    assert_eq!(times, [500, 1500, 3500, 7500]);
    assert_eq!(statuses(&fixture.receive(Message::Response(options.response(100, "")))), [100]);
    let (slow_times, rest) = fixture.wait(40 * S);
    assert!(slow_times.windows(2).all(|w| w[1] - w[0] == T2.0 / MS), "{times:?}");
    assert!(matches!(rest[..], [Output::TimedOut(_)]), "timer F runs on");
}

#[test]
fn failure_is_acknowledged_each_time_and_delivered_once() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    fixture.send(&invite);
    let failure = Message::Response(invite.response(486, "t"));
    let out = fixture.receive(failure.clone());
    assert_eq!((statuses(&out), sent(&out)), (vec![486], 1));
    let Some(Output::Transmit(_, ack)) = out.iter().find(|o| matches!(o, Output::Transmit(..))) else {
        panic!("an ACK")
    };
    let Message::Request(ack) = &**ack else { panic!("a request") };
    assert_eq!(
        (ack.method(), &ack.ids.branch, ack.ids.to_tag.as_deref()),
        (Method::Ack, &invite.ids.branch, Some("t"))
    );
    let repeated = fixture.receive(failure.clone());
    assert_eq!((statuses(&repeated), sent(&repeated)), (vec![], 1), "the ACK was lost");
    let forged = Message::Response(invite.response(486, "other"));
    assert!(fixture.receive(forged).is_empty(), "a failure of another dialog");
    fixture.wait(TIMER_D.0);
    assert!(fixture.layer.is_empty());
    assert!(fixture.receive(failure).is_empty());
}

#[test]
fn success_is_delivered_each_time_even_without_a_transaction() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    fixture.send(&invite);
    for _ in 0..3 {
        let out = fixture.receive(Message::Response(invite.response(200, "t")));
        assert_eq!((statuses(&out), sent(&out)), (vec![200], 0), "its ACK is up to the user");
    }
    fixture.wait(TRANSACTION_TIMEOUT.0);
    assert!(fixture.layer.is_empty());
    let out = fixture.receive(Message::Response(invite.response(200, "t")));
    assert!(matches!(out[..], [Output::UnmatchedSuccess(..)]));
}

#[test]
fn request_is_delivered_once() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    assert!(matches!(fixture.receive(Message::Request(invite.clone()))[..], [Output::Request(..)]));
    assert!(fixture.receive(Message::Request(invite.clone())).is_empty(), "no response to retransmit yet");
    let (times, _) = fixture.wait(S);
    assert_eq!(times, [200], "automatic 100");
    assert_eq!(sent(&fixture.receive(Message::Request(invite.clone()))), 1, "retransmitted 100");
}

#[test]
fn failure_is_retransmitted_by_timer_g_until_ack_or_timer_h() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    assert_eq!(sent(&fixture.respond(&invite, 503)), 1);
    let (times, _) = fixture.wait(16 * S);
    assert_eq!(times, [500, 1500, 3500, 7500, 11500, 15500]);
    let ack = invite.ack_for(&invite.response(503, "t"));
    assert!(fixture.receive(Message::Request(ack.clone())).is_empty(), "absorbed");
    assert!(fixture.receive(Message::Request(ack)).is_empty(), "again");
    assert_eq!(fixture.wait(60 * S), (vec![], vec![]));
    assert!(fixture.layer.is_empty());

    let mut unacknowledged = Fixture::new(Transport::Udp);
    unacknowledged.respond(&invite, 503);
    let (_, rest) = unacknowledged.wait(35 * S);
    assert!(matches!(rest[..], [Output::NoAck(_)]));
    assert!(unacknowledged.receive(Message::Request(invite)).is_empty(), "a late copy is absorbed");
    unacknowledged.wait(5 * S);
    assert!(unacknowledged.layer.is_empty());
}

#[test]
fn retransmitted_invite_and_second_final_response_after_success_are_dropped() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    fixture.respond(&invite, 200);
    assert!(fixture.receive(Message::Request(invite.clone())).is_empty());
    let key = match Message::parse(text("INVITE", 1, "").as_bytes()) {
        Ok(Message::Request(r)) => {
            let mut other = Fixture::new(Transport::Udp);
            let out = other.receive(Message::Request(r));
            out.into_iter()
                .find_map(|o| if let Output::Request(k, ..) = o { Some(k) } else { None })
                .expect("its key")
        }
        other => panic!("{other:?}"),
    };
    assert!(fixture.input(Input::Respond(key.clone(), Box::new(invite.response(486, "t")))).is_empty());
    assert_eq!(
        sent(&fixture.input(Input::Respond(key, Box::new(invite.response(200, "t"))))),
        1,
        "the user retransmits it"
    );
    let ack = match Message::parse(text("ACK", 1, ";tag=t").replace("z9hG4bKb1", "z9hG4bKother").as_bytes()) {
        Ok(message) => message,
        other => panic!("{other:?}"),
    };
    assert!(matches!(fixture.receive(ack)[..], [Output::Ack(..)]), "it belongs to the dialog");
    fixture.wait(TRANSACTION_TIMEOUT.0 + T4.0);
    assert!(fixture.layer.is_empty());
}

#[test]
fn cancel_is_answered_and_reported_only_while_pending() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    let cancel = || Message::Request(request("INVITE", 1).cancel());
    let early = fixture.receive(cancel());
    assert!(
        matches!(&early[..], [Output::Transmit(_, m)] if matches!(&**m, Message::Response(r) if r.status == 481))
    );
    let mut pending = Fixture::new(Transport::Udp);
    pending.receive(Message::Request(invite.clone()));
    let out = pending.receive(cancel());
    assert!(
        matches!(&out[..], [Output::Transmit(_, m), Output::Cancelled(_)] if matches!(&**m, Message::Response(r) if r.status == 200))
    );
    assert_eq!(sent(&pending.receive(cancel())), 1, "answered again, reported once");
    let mut answered = Fixture::new(Transport::Udp);
    answered.respond(&invite, 200);
    let late = answered.receive(cancel());
    assert!(matches!(&late[..], [Output::Transmit(..)]), "too late to cancel: {out:?}");
}

#[test]
fn cancel_is_allowed_between_provisional_and_final_response() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    let key = Layer::key_of(&invite);
    fixture.send(&invite);
    assert!(!fixture.layer.may_cancel(&key), "the peer may not have received the request yet");
    fixture.receive(Message::Response(invite.response(180, "t")));
    assert!(fixture.layer.may_cancel(&key));
    fixture.receive(Message::Response(invite.response(200, "t")));
    assert!(!fixture.layer.may_cancel(&key));
}

#[test]
fn closed_stream_ends_its_client_transactions() {
    let mut fixture = Fixture::new(Transport::Tcp);
    fixture.send(&request("INVITE", 1));
    fixture.send(&request("OPTIONS", 2));
    let out = fixture.input(Input::ConnectionLost(peer(Transport::Tcp)));
    assert_eq!(out.iter().filter(|o| matches!(o, Output::TimedOut(_))).count(), 2);
    assert!(fixture.layer.is_empty() && fixture.layer.next_due().is_none());
}

#[test]
fn forged_and_unrelated_responses_are_dropped() {
    let mut fixture = Fixture::new(Transport::Udp);
    let invite = request("INVITE", 1);
    fixture.send(&invite);
    for (from, to) in
        [("c1@", "x1@"), ("tag=f1", "tag=x1"), ("CSeq: 7", "CSeq: 8"), ("z9hG4bKb1", "z9hG4bKb2")]
    {
        let other = text("INVITE", 1, "").replace(from, to);
        let Ok(Message::Request(other)) = Message::parse(other.as_bytes()) else { panic!("{to}") };
        assert!(fixture.receive(Message::Response(other.response(486, "t"))).is_empty(), "{to}");
    }
    assert_eq!(statuses(&fixture.receive(Message::Response(invite.response(486, "t")))), [486]);
}

/// Two transaction layers, a caller and a callee, over a network with scripted faults for each datagram.
struct Network {
    caller: Layer,
    called: Layer,
    now: u64,
    /// Messages in flight: arrival time, whether it goes to the callee, message.
    wire: Vec<(u64, bool, Message)>,
    actions: Vec<u8>,
    at: usize,
    /// Status with which the callee answers each request, chosen by its branch.
    answers: Vec<u16>,
    received: BTreeMap<String, usize>,
    finals: BTreeMap<Key, Vec<u16>>,
    timed_out: BTreeSet<Key>,
}

impl Network {
    fn next_action(&mut self) -> u8 {
        self.at += 1;
        self.actions.get(self.at % self.actions.len().max(1)).copied().unwrap_or(0)
    }

    fn transmit(&mut self, to_called: bool, sent: &Message) {
        // Encoded and parsed as on the wire.
        let bytes = match sent {
            Message::Request(r) => r.encode(),
            Message::Response(r) => r.encode(),
        };
        let message = Message::parse(&bytes).expect("what we write can be read");
        match self.next_action() {
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
                    let n = self.received.entry(request.ids.branch.clone()).or_default();
                    *n += 1;
                    let status = self.answers[request.ids.branch.len() % self.answers.len()];
                    self.called(Input::Respond(key, Box::new(request.response(status, "t"))));
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
    fn requests_are_delivered_and_ended_once_over_any_network(
        actions in prop::collection::vec(0..12u8, 1..40),
        answers in prop::collection::vec(prop::sample::select(vec![200u16, 486, 503, 302, 600]), 1..4),
        kinds in prop::collection::vec(any::<bool>(), 1..8),
    ) {
        let mut net = Network {
            caller: Layer::default(), called: Layer::default(), now: S, wire: Vec::new(), actions, at: 0, answers,
            received: BTreeMap::new(), finals: BTreeMap::new(), timed_out: BTreeSet::new(),
        };
        let mut keys = Vec::new();
        for (n, invite) in (1u32..).zip(kinds) {
            let request = request(if invite { "INVITE" } else { "OPTIONS" }, n * 10u32.pow(n % 3));
            keys.push(Layer::key_of(&request));
            net.caller(Input::Send(peer(Transport::Udp), Box::new(request)));
            net.run(net.now + 50 * MS);
        }
        net.run(net.now + 200 * S);
        for (branch, n) in &net.received {
            prop_assert_eq!(*n, 1, "delivered more than once: {}", branch);
        }
        for key in &keys {
            let finals = net.finals.get(key).cloned().unwrap_or_default();
            let timed_out = net.timed_out.contains(key);
            prop_assert!(finals.is_empty() == timed_out, "{key:?}: {finals:?}, timed out {timed_out}");
            let once = finals.len() == 1 || finals.iter().all(|s| (200..300).contains(s));
            prop_assert!(timed_out || once, "{key:?}: {finals:?}");
        }
        prop_assert!(net.caller.is_empty() && net.called.is_empty(), "{} and {} transactions left", net.caller.len(), net.called.len());
    }

    #[test]
    fn transactions_end_after_any_order_of_datagrams(
        steps in prop::collection::vec((0..8u8, 0..4u32, 0..9_000_000u64), 1..60),
    ) {
        let mut fixture = Fixture::new(Transport::Udp);
        for (kind, n, wait) in steps {
            let invite = request("INVITE", n);
            let message = match kind {
                0 => Message::Request(invite),
                1 => Message::Request(request("BYE", n)),
                2 => Message::Request(invite.cancel()),
                3 => Message::Request(invite.ack_for(&invite.response(486, "t"))),
                4 => Message::Response(invite.response(180, "t")),
                5 => Message::Response(invite.response(200, "t")),
                6 => Message::Response(invite.response(500, "u")),
                _ => {
                    fixture.send(&invite);
                    continue;
                }
            };
            for output in fixture.receive(message) {
                if let Output::Request(key, _, request) = output {
                    let answer: Response = request.response(if wait % 2 == 0 { 200 } else { 404 }, "t");
                    fixture.input(Input::Respond(key, Box::new(answer)));
                }
            }
            fixture.wait(wait);
        }
        fixture.wait(100 * S);
        fixture.wait(T1.0);
        // Only an INVITE with a provisional response may remain, since it has no timeout.
        prop_assert!(fixture.layer.len() <= 4, "{}", fixture.layer.len());
    }
}

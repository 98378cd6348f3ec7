//! Tests of the agent and the session controller between scripted callers and media servers, on a simulated clock and network.
#![allow(clippy::cast_possible_truncation)]

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::SessionController;
use beechloft_session::api::*;
use beechloft_session::catalog::{EndpointUpdate, MediaServerEntry, TitleEntry};
use beechloft_session::io as controller_io;
use beechloft_sip::agent::{Agent, Input, Output};
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_sip::transaction::Transport;
use beechloft_sip::transaction::layer::Peer;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const SDP: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 40000 RTP/AVP 96\r\nc=IN IP4 127.0.0.1\r\n\
    a=rtpmap:96 H264/90000\r\na=sendrecv\r\n";

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            latency_objective: Micros(800 * MS),
            deadline: Micros(4 * S),
            idempotency: Idempotency::Idempotent,
            utility: 1.0,
            rate_scale: 1.0,
            min_rung: Rung(0),
            max_rung: Rung(1),
            max_sessions_per_title: None,
            shared_rate_fraction: 1.0,
        }],
        max_streams_by_type: vec![20],
        ladder: BitrateLadder { rates_kb: vec![200.0, 450.0], utility: vec![0.4, 1.0], switch_cost_s: 0.5 },
        cells: 1,
        racks: 1,
        link_kb_per_weight: Some(10_000.0),
        front_count: 1,
        load_reporting: LoadReporting::InResponses,
        capabilities: Capabilities {
            max_attempts: 3,
            health_checks: false,
            cancel: true,
            max_retry_after: Some(Micros(500 * MS)),
        },
        slow_start: SlowStart::default(),
        over_quota_utility: 1.0,
        ..Settings::default()
    }
}

/// Behaviour of a media server towards an INVITE.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    /// Sends 100, 180 and 200.
    Accepts,
    /// Rejects with this status.
    Rejects(u16),
    /// Never responds.
    Unresponsive,
    /// Sends 100 and nothing more.
    StopsAfterTrying,
    /// Sends 180 and nothing more, but answers a CANCEL.
    RingsForever,
    /// Sends 180, and accepts the INVITE when the CANCEL arrives.
    AcceptsOnCancel,
    /// Refuses the connection.
    ConnectionRefused,
    /// Sends a 200 with a malformed body.
    MalformedAnswer,
    /// Sends 200 after this delay in milliseconds.
    AcceptsAfterMs(u64),
    /// Accepts, but every BYE to it is lost.
    IgnoresBye,
    /// Accepts, but loses its calls, like a process that was restarted.
    LosesCalls,
}

/// Simulated environment of one front: a network with a delay of a millisecond, media servers and scripted callers.
struct Simulation {
    controller: SessionController,
    agent: Agent,
    now: u64,
    behaviours: Vec<Behaviour>,
    /// Messages in flight to the agent, with their arrival times.
    wire: Vec<(u64, Input)>,
    /// Messages that the caller received.
    received: Vec<Message>,
    /// Calls established at media servers, by server and `Call-ID`, and those of them that were acknowledged.
    established: BTreeSet<(u32, String)>,
    acked: BTreeSet<(u32, String)>,
    /// Time at which a media server ends a call that is not refreshed.
    expires: BTreeMap<(u32, String), u64>,
    refreshes: usize,
    /// Outstanding INVITEs at media servers, by connection.
    outstanding: BTreeMap<String, u32>,
    max_outstanding: usize,
    invites: Vec<(u32, String)>,
    rates: Vec<f64>,
}

fn caller_peer() -> Peer {
    Peer { address: "127.0.0.1:5070".parse().expect("an address"), transport: Transport::Udp, conn: 0 }
}

impl Simulation {
    fn new(behaviours: &[Behaviour]) -> Simulation {
        Simulation::with(settings(), behaviours)
    }

    fn with(settings: Settings, behaviours: &[Behaviour]) -> Simulation {
        let listen = "127.0.0.1:5060".parse().expect("an address");
        let mut simulation = Simulation {
            controller: SessionController::new(settings, 1),
            agent: Agent::new(listen, 0, 2),
            now: 100 * S,
            behaviours: behaviours.to_vec(),
            wire: Vec::new(),
            received: Vec::new(),
            established: BTreeSet::new(),
            acked: BTreeSet::new(),
            expires: BTreeMap::new(),
            refreshes: 0,
            outstanding: BTreeMap::new(),
            max_outstanding: 0,
            invites: Vec::new(),
            rates: Vec::new(),
        };
        let servers = (0..behaviours.len() as u32).map(|n| MediaServerEntry {
            id: ServerId(n),
            name: format!("box-{n}").into(),
            url: format!("127.0.0.1:{}", 8000 + n).into(),
            sip: Some(format!("127.0.0.1:{}", 9000 + n).into()),
            state: EndpointState::Ready,
            rack: 0,
            zone: ZoneId(0),
            kind: ServerType(0),
            started: Micros(0),
            size: 1.0,
        });
        let title = TitleEntry {
            name: "stall".into(),
            class: ClassId(0),
            tenant: TenantId(0),
            holders: (0..behaviours.len() as u32).map(ServerId).collect(),
            length: None,
        };
        let list =
            EndpointUpdate::Snapshot { cached: false, servers: servers.collect(), titles: vec![title] };
        simulation.send_to_controller(controller_io::Input::Endpoints(list));
        simulation
    }

    fn send_to_controller(&mut self, input: controller_io::Input) {
        let mut out = Vec::new();
        self.controller.handle(Micros(self.now), input, &mut out);
        for output in out {
            self.send_to_agent(Input::Controller(Box::new(output)));
        }
    }

    fn send_to_agent(&mut self, input: Input) {
        let mut out = Vec::new();
        self.agent.handle(Micros(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Controller(request) => self.send_to_controller(*request),
                Output::Close(peer) => {
                    // Closing its connection ends the attempt.
                    let conn = format!("{}", peer.conn);
                    self.outstanding.remove(&conn);
                }
                Output::Transmit(peer, message) if peer.transport == Transport::Udp => {
                    self.received.push(*message)
                }
                Output::Transmit(peer, message) => self.media_server_receives(peer, *message),
            }
        }
    }

    fn deliver_to_agent(&mut self, after: u64, peer: Peer, message: Message) {
        self.wire
            .push((self.now + after, Input::Received(peer, Box::new(message), Micros(self.now + after))));
    }

    fn media_server_receives(&mut self, peer: Peer, message: Message) {
        let n = u32::from(peer.address.port() - 9000);
        let Message::Request(request) = message else { return };
        let behaviour = self.behaviours[n as usize];
        if behaviour == Behaviour::ConnectionRefused {
            return self.wire.push((self.now + MS, Input::ConnectionLost(peer, true)));
        }
        let call = (n, request.ids.call_id.clone());
        match request.method() {
            Method::Invite => {
                self.invites.push(call.clone());
                self.outstanding.insert(format!("{}", peer.conn), n);
                self.max_outstanding = self.max_outstanding.max(self.outstanding.len());
                let body = String::from_utf8_lossy(&request.raw.body).into_owned();
                self.rates.extend(beechloft_whep::sdp::rate_limit_kb(body.as_bytes()));
                self.handle_invite(peer, &request, behaviour);
            }
            Method::Ack => {
                if self.established.contains(&call) {
                    self.acked.insert(call);
                }
            }
            Method::Cancel => match behaviour {
                Behaviour::RingsForever => {
                    self.answer(peer, &request, 200);
                    self.outstanding.remove(&format!("{}", peer.conn));
                    let invite = invite_of_cancel(&request);
                    self.answer(peer, &invite, 487);
                }
                Behaviour::AcceptsOnCancel => {
                    self.answer(peer, &request, 200);
                    self.accept(MS, peer, &invite_of_cancel(&request), SDP);
                }
                _ => {}
            },
            Method::Bye if behaviour == Behaviour::IgnoresBye => {}
            _ if behaviour == Behaviour::LosesCalls => self.answer(peer, &request, 481),
            Method::Bye => {
                self.established.remove(&call);
                self.answer(peer, &request, 200);
            }
            Method::Update if self.established.contains(&call) => {
                self.refreshes += usize::from(request.raw.body.is_empty());
                self.expires.insert(call, self.now + interval(&request) * S);
                self.answer(peer, &request, 200);
            }
            Method::Update => self.answer(peer, &request, 481),
            _ => self.answer(peer, &request, 200),
        }
    }

    fn answer(&mut self, peer: Peer, request: &Request, status: u16) {
        self.deliver_to_agent(MS, peer, Message::Response(request.response(status, "tb")));
    }

    fn accept(&mut self, after: u64, peer: Peer, invite: &Request, body: &str) {
        let mut ok: Response = invite.response(200, "tb");
        ok.raw.headers.push(rsip::Header::Contact(format!("<sip:box@{}>", peer.address).into()));
        ok.raw.body = body.as_bytes().to_vec();
        let call = (u32::from(peer.address.port() - 9000), invite.ids.call_id.clone());
        self.expires.insert(call.clone(), self.now + interval(invite) * S);
        self.established.insert(call);
        self.outstanding.remove(&format!("{}", peer.conn));
        self.deliver_to_agent(after, peer, Message::Response(ok));
    }

    fn handle_invite(&mut self, peer: Peer, invite: &Request, behaviour: Behaviour) {
        match behaviour {
            Behaviour::Accepts | Behaviour::IgnoresBye | Behaviour::LosesCalls => {
                self.answer(peer, invite, 100);
                self.answer(peer, invite, 180);
                self.accept(5 * MS, peer, invite, SDP);
            }
            Behaviour::Rejects(status) => {
                self.outstanding.remove(&format!("{}", peer.conn));
                self.answer(peer, invite, status);
            }
            Behaviour::StopsAfterTrying => self.answer(peer, invite, 100),
            Behaviour::RingsForever | Behaviour::AcceptsOnCancel => self.answer(peer, invite, 180),
            Behaviour::MalformedAnswer => {
                self.accept(5 * MS, peer, invite, "this is not a session description")
            }
            Behaviour::AcceptsAfterMs(ms) => self.accept(ms * MS, peer, invite, SDP),
            Behaviour::Unresponsive | Behaviour::ConnectionRefused => {}
        }
    }

    /// Advances the clock, delivering messages and running timers.
    fn wait(&mut self, us: u64) {
        let end = self.now + us;
        loop {
            let arrival = self.wire.iter().map(|simulation| simulation.0).min();
            let due =
                [self.controller.next_due(), self.agent.next_due()].into_iter().flatten().map(|t| t.0).min();
            let Some(next) = arrival.into_iter().chain(due).min().filter(|t| *t <= end) else { break };
            self.now = self.now.max(next);
            self.expire_calls();
            if let Some(n) = self.wire.iter().position(|simulation| simulation.0 <= self.now) {
                let (_, input) = self.wire.remove(n);
                self.send_to_agent(input);
            } else {
                self.send_to_controller(controller_io::Input::Tick);
                self.send_to_agent(Input::Tick);
            }
        }
        self.now = end;
        self.expire_calls();
    }

    /// Ends the calls at media servers that were not refreshed.
    fn expire_calls(&mut self) {
        let (now, expires) = (self.now, &self.expires);
        self.established.retain(|c| expires.get(c).is_none_or(|at| *at > now));
    }

    fn caller_sends(&mut self, request: &Request) {
        let message = Box::new(Message::Request(request.clone()));
        self.send_to_agent(Input::Received(caller_peer(), message, Micros(self.now)));
    }

    /// Returns the statuses of all final responses to a caller's INVITE, including retransmissions.
    fn final_statuses(&self, call: &str) -> Vec<u16> {
        let of = |m: &Message| match m {
            Message::Response(r)
                if r.method == Method::Invite && r.status >= 200 && r.ids.call_id == call =>
            {
                Some(r.status)
            }
            _ => None,
        };
        self.received.iter().filter_map(of).collect()
    }

    fn ok_of(&self, call: &str) -> Option<Response> {
        self.received.iter().find_map(|m| match m {
            Message::Response(r)
                if r.status == 200 && r.method == Method::Invite && r.ids.call_id == call =>
            {
                Some(r.clone())
            }
            _ => None,
        })
    }
}

/// Returns the session interval of a request in seconds. An INVITE derived from its CANCEL has none.
fn interval(request: &Request) -> u64 {
    let text = String::from_utf8(request.encode()).expect("text");
    match text.lines().find_map(|l| l.strip_prefix("Session-Expires: ")) {
        Some(value) => {
            value.trim().strip_suffix(";refresher=uac").and_then(|v| v.parse().ok()).expect("we refresh")
        }
        None => 180,
    }
}

/// Reconstructs the INVITE of a CANCEL, as far as a response needs it.
fn invite_of_cancel(cancel: &Request) -> Request {
    let text = String::from_utf8(cancel.encode()).expect("text").replace("CANCEL", "INVITE");
    request(&text)
}

fn request(text: &str) -> Request {
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}\n{text}"),
    }
}

fn caller(method: &str, call: &str, seq: u32, to_tag: &str, more: &str, body: &str) -> Request {
    request(&format!(
        "{method} sip:stall@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK{call}{seq}{method}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=f{call}\r\nTo: <sip:stall@example.org>{to_tag}\r\n\
         Call-ID: {call}\r\nCSeq: {seq} {method}\r\nContact: <sip:a@127.0.0.1:5070>\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

fn invite(call: &str) -> Request {
    caller("INVITE", call, 1, "", "Content-Type: application/sdp\r\n", SDP)
}

fn tag_of(ok: &Response) -> String {
    format!(";tag={}", ok.ids.to_tag.clone().expect("a tag"))
}

#[test]
fn call_is_established_and_ended_on_both_sides() {
    let mut simulation = Simulation::new(&[Behaviour::Accepts]);
    simulation.caller_sends(&invite("c1"));
    simulation.wait(100 * MS);
    assert_eq!(simulation.final_statuses("c1"), [200]);
    let ok = simulation.ok_of("c1").expect("an answer");
    assert!(
        simulation.received.iter().any(|m| matches!(m, Message::Response(r) if r.status == 180)),
        "no 180 received"
    );
    assert_eq!(
        (simulation.established.len(), simulation.acked.len(), simulation.controller.playing()),
        (1, 1, 1)
    );
    assert!(
        simulation.rates.iter().all(|r| [200.0, 450.0].contains(r)),
        "offer rate is not that of a rung: {:?}",
        simulation.rates
    );
    simulation.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    simulation.caller_sends(&caller("BYE", "c1", 2, &tag_of(&ok), "", ""));
    simulation.wait(S);
    assert_eq!(
        (simulation.established.len(), simulation.controller.playing(), simulation.agent.len()),
        (0, 0, (0, 0))
    );
    assert!(simulation.controller.is_idle());
}

#[test]
fn repeated_invites_cause_one_set_up() {
    let mut simulation = Simulation::new(&[Behaviour::AcceptsAfterMs(200)]);
    for _ in 0..5 {
        simulation.caller_sends(&invite("c1"));
        simulation.wait(20 * MS);
    }
    simulation.wait(S);
    assert_eq!(simulation.invites.len(), 1);
    // The same request by another path, and thus with another branch.
    let other = String::from_utf8(invite("c1").encode()).expect("text").replace("z9hG4bKc1", "z9hG4bKx1");
    simulation.caller_sends(&request(&other));
    assert!(simulation.received.iter().any(|m| matches!(m, Message::Response(r) if r.status == 482)));
    assert_eq!(simulation.invites.len(), 1);
}

#[test]
fn failed_attempts_are_retried_elsewhere_and_leave_no_call() {
    use Behaviour::*;
    for behaviour in [
        Rejects(486),
        Rejects(503),
        Rejects(500),
        Unresponsive,
        StopsAfterTrying,
        RingsForever,
        AcceptsOnCancel,
        ConnectionRefused,
        MalformedAnswer,
        AcceptsAfterMs(380),
        AcceptsAfterMs(440),
        AcceptsAfterMs(2000),
    ] {
        let mut simulation = Simulation::new(&[behaviour, Accepts]);
        for n in 0..4 {
            simulation.caller_sends(&invite(&format!("c{n}")));
            simulation.wait(2 * S);
        }
        for n in 0..4 {
            let finals = simulation.final_statuses(&format!("c{n}"));
            let statuses: BTreeSet<u16> = finals.iter().copied().collect();
            assert_eq!(statuses, [200].into(), "{behaviour:?}: call {n}: {finals:?}");
        }
        simulation.wait(40 * S); // the caller never acknowledges, so all calls end
        simulation.wait(40 * S);
        assert_eq!(simulation.max_outstanding, 1, "{behaviour:?}: one attempt at a time");
        assert!(
            simulation.established.is_empty(),
            "{behaviour:?}: calls left at media servers: {:?}",
            simulation.established
        );
        assert_eq!((simulation.agent.len(), simulation.controller.playing()), ((0, 0), 0), "{behaviour:?}");
    }
}

#[test]
fn cancelled_invite_gets_487_and_leaves_no_call() {
    for (behaviour, after) in [
        (Behaviour::AcceptsAfterMs(300), 1),
        (Behaviour::RingsForever, 50),
        (Behaviour::AcceptsOnCancel, 50),
        (Behaviour::Unresponsive, 20),
        (Behaviour::Accepts, 3),
    ] {
        let mut simulation = Simulation::new(&[behaviour]);
        simulation.caller_sends(&invite("c1"));
        simulation.wait(after * MS);
        simulation.caller_sends(&invite("c1").cancel());
        simulation.wait(2 * S);
        assert_eq!(
            simulation.final_statuses("c1").iter().copied().collect::<BTreeSet<_>>(),
            [487].into(),
            "{behaviour:?}"
        );
        simulation.wait(40 * S);
        assert!(
            simulation.established.is_empty() && simulation.agent.len() == (0, 0),
            "{behaviour:?}: {:?} {:?}",
            simulation.established,
            simulation.agent.len()
        );
    }
}

#[test]
fn invalid_requests_are_rejected_with_their_status_and_no_attempt() {
    let mut simulation = Simulation::new(&[Behaviour::Accepts]);
    let sdp = "Content-Type: application/sdp\r\n";
    let cases = [
        (400, caller("INVITE", "a", 1, "", sdp, "nonsense")),
        (488, caller("INVITE", "b", 1, "", sdp, &SDP.replace("sendrecv", "sendonly"))),
        (415, caller("INVITE", "c", 1, "", "Content-Type: text/plain\r\n", SDP)),
        (420, caller("INVITE", "d", 1, "", &format!("Require: 100rel\r\n{sdp}"), SDP)),
        (
            483,
            request(
                &String::from_utf8(invite("e").encode())
                    .expect("text")
                    .replace("Forwards: 70", "Forwards: 0"),
            ),
        ),
        (
            404,
            request(
                &String::from_utf8(invite("f").encode())
                    .expect("text")
                    .replace("sip:stall@127.0.0.1:5060 SIP", "sip:other@127.0.0.1:5060 SIP"),
            ),
        ),
        (422, caller("INVITE", "g", 1, "", &format!("Session-Expires: 10\r\n{sdp}"), SDP)),
        (481, caller("BYE", "h", 1, ";tag=none", "", "")),
        (481, caller("INVITE", "i", 1, ";tag=none", sdp, SDP)),
        (405, caller("REGISTER", "j", 1, "", "", "")),
        (200, caller("OPTIONS", "k", 1, "", "", "")),
    ];
    for (status, request) in cases {
        simulation.caller_sends(&request);
        let of = |m: &Message| matches!(m, Message::Response(r) if r.status == status && r.ids.call_id == request.ids.call_id);
        assert!(simulation.received.iter().any(of), "{status}: {:?}", simulation.received.last());
    }
    assert!(simulation.invites.is_empty());
    let mut rejecting = Simulation::new(&[Behaviour::Rejects(486)]);
    rejecting.caller_sends(&invite("c1"));
    rejecting.wait(S);
    assert_eq!(rejecting.final_statuses("c1").first(), Some(&503));
    let text = rejecting.received.iter().find_map(|m| match m {
        Message::Response(r) if r.status == 503 => Some(String::from_utf8(r.encode()).expect("text")),
        _ => None,
    });
    assert!(text.is_some_and(|t| t.contains("Retry-After: 1")));
}

#[test]
fn failed_call_ends_in_time_with_its_status() {
    for (behaviour, status) in [
        (Behaviour::Unresponsive, 504),
        (Behaviour::StopsAfterTrying, 504),
        (Behaviour::Rejects(500), 504),
        (Behaviour::Rejects(415), 415),
    ] {
        // An at-most-once set-up isn't retried, because a media server that doesn't respond may have executed it.
        let mut once = settings();
        once.classes[0].idempotency = Idempotency::AtMostOnce;
        let mut simulation = Simulation::with(once, &[behaviour; 2]);
        simulation.caller_sends(&invite("c1"));
        simulation.wait(4 * S);
        let statuses: BTreeSet<u16> = simulation.final_statuses("c1").into_iter().collect();
        assert_eq!(statuses, [status].into(), "{behaviour:?}");
    }
}

#[test]
fn lost_media_server_ends_the_callers_leg() {
    let mut simulation = Simulation::new(&[Behaviour::Accepts]);
    simulation.caller_sends(&invite("c1"));
    simulation.wait(100 * MS);
    let ok = simulation.ok_of("c1").expect("an answer");
    simulation.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    simulation.send_to_controller(controller_io::Input::MediaServer(
        ServerId(0),
        controller_io::MediaServerEvent::ConnectionRefused,
    ));
    simulation.wait(100 * MS);
    let bye = |m: &Message| matches!(m, Message::Request(r) if r.method() == Method::Bye);
    assert!(simulation.received.iter().any(bye), "the caller gets a BYE");
    assert_eq!(simulation.controller.playing(), 0);
    // The media server only refuses new connections. Its process still runs, so the call must be ended there.
    simulation.wait(S);
    assert!(
        simulation.established.is_empty() && simulation.agent.len().1 == 0,
        "{:?}",
        simulation.established
    );
}

/// Lets the caller of `c1` refresh its call for a time.
fn refresh_call(simulation: &mut Simulation, seconds: u64) {
    let ok = simulation.ok_of("c1").expect("an answer");
    for n in 0..seconds / 60 {
        simulation.caller_sends(&caller("UPDATE", "c1", 10 + n as u32, &tag_of(&ok), "", ""));
        simulation.wait(60 * S);
    }
}

fn established_call(behaviour: Behaviour) -> Simulation {
    let mut simulation = Simulation::new(&[behaviour]);
    simulation.caller_sends(&invite("c1"));
    simulation.wait(100 * MS);
    let ok = simulation.ok_of("c1").expect("an answer");
    simulation.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    simulation
}

fn caller_got_bye(simulation: &Simulation) -> bool {
    simulation.received.iter().any(|m| matches!(m, Message::Request(r) if r.method() == Method::Bye))
}

#[test]
fn call_stays_at_its_media_server_only_while_refreshed() {
    let mut simulation = established_call(Behaviour::Accepts);
    refresh_call(&mut simulation, 1200);
    assert_eq!((simulation.established.len(), simulation.controller.playing()), (1, 1));
    assert!((12..=15).contains(&simulation.refreshes), "every 90 s: {}", simulation.refreshes);
    // After a sudden failure of the front the media server frees the call by itself.
    simulation.expires.values_mut().for_each(|at| assert!(*at > simulation.now));
    simulation.now += 181 * S;
    simulation.expire_calls();
    assert!(simulation.established.is_empty());
}

#[test]
fn lost_bye_leaves_no_call_after_the_session_timer() {
    let mut simulation = established_call(Behaviour::IgnoresBye);
    refresh_call(&mut simulation, 120);
    let ok = simulation.ok_of("c1").expect("an answer");
    simulation.caller_sends(&caller("BYE", "c1", 99, &tag_of(&ok), "", ""));
    simulation.wait(100 * MS);
    assert_eq!((simulation.established.len(), simulation.controller.playing()), (1, 0), "the BYE was lost");
    simulation.wait(180 * S);
    assert!(
        simulation.established.is_empty() && simulation.agent.len() == (0, 0),
        "{:?}",
        simulation.established
    );
    assert!(simulation.controller.is_idle());
}

#[test]
fn call_lost_by_its_media_server_is_detected() {
    let address = "127.0.0.1:9000".parse().expect("an address");
    // By the next refresh, or earlier if the connection broke.
    for (broken, within) in [(false, 95), (true, 3)] {
        let mut simulation = established_call(Behaviour::LosesCalls);
        if broken {
            for conn in (1..9).map(|n| beechloft_sip::agent::AGENT_ID_BIT | n) {
                let peer = Peer { address, transport: Transport::Tcp, conn };
                simulation.send_to_agent(Input::ConnectionLost(peer, false));
            }
        }
        simulation.wait(within * S);
        assert!(caller_got_bye(&simulation) && simulation.controller.playing() == 0, "{broken}");
        simulation.wait(40 * S);
        assert_eq!(simulation.agent.len(), (0, 0));
    }
    // A media server that still has the call is refreshed early as well, and the call continues.
    let mut healthy = established_call(Behaviour::Accepts);
    for n in 1..9 {
        let peer = Peer { address, transport: Transport::Tcp, conn: beechloft_sip::agent::AGENT_ID_BIT | n };
        healthy.send_to_agent(Input::ConnectionLost(peer, false));
    }
    healthy.wait(3 * S);
    assert_eq!((healthy.refreshes, healthy.controller.playing(), caller_got_bye(&healthy)), (1, 1, false));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_any_behaviour_of_servers_and_callers(
        behaviours in prop::collection::vec(prop_oneof![
            3 => Just(Behaviour::Accepts), 1 => Just(Behaviour::Rejects(486)), 1 => Just(Behaviour::Rejects(500)), 1 => Just(Behaviour::Unresponsive),
            1 => Just(Behaviour::StopsAfterTrying), 1 => Just(Behaviour::RingsForever), 1 => Just(Behaviour::AcceptsOnCancel), 1 => Just(Behaviour::ConnectionRefused),
            1 => Just(Behaviour::MalformedAnswer), 1 => Just(Behaviour::IgnoresBye), 1 => Just(Behaviour::LosesCalls), 2 => (1..1200u64).prop_map(Behaviour::AcceptsAfterMs),
        ], 1..5),
        calls in prop::collection::vec((0..300u64, prop::option::weighted(0.4, 0..900u64), any::<bool>(), any::<bool>()), 1..8),
    ) {
        let mut simulation = Simulation::new(&behaviours);
        for (n, (gap, cancel, ack, bye)) in calls.iter().enumerate() {
            let call = format!("p{n}");
            let sent_at = simulation.now;
            simulation.caller_sends(&invite(&call));
            if let Some(after) = cancel {
                simulation.wait(after * MS);
                simulation.caller_sends(&invite(&call).cancel());
            }
            simulation.wait(4 * S - (simulation.now - sent_at));
            let statuses: BTreeSet<u16> = simulation.final_statuses(&call).into_iter().collect();
            prop_assert_eq!(statuses.len(), 1, "one final status in time: {}: {:?}", call, statuses);
            if let Some(ok) = simulation.ok_of(&call) {
                if *ack { simulation.caller_sends(&caller("ACK", &call, 1, &tag_of(&ok), "", "")); }
                if *bye { simulation.caller_sends(&caller("BYE", &call, 2, &tag_of(&ok), "", "")); }
            }
            simulation.wait(gap * MS);
        }
        simulation.wait(300 * S); // session timers and all
        prop_assert!(simulation.max_outstanding <= 1, "{} outstanding attempts", simulation.max_outstanding);
        prop_assert!(simulation.established.is_empty(), "calls left at media servers: {:?}", simulation.established);
        prop_assert_eq!((simulation.agent.len(), simulation.controller.playing()), ((0, 0), 0));
        prop_assert!(simulation.controller.is_idle());
    }
}

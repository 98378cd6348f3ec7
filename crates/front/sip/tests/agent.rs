//! The user agent and the front's core together, between scripted callers and boxes on a simulated clock and network.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

use std::collections::{BTreeMap, BTreeSet};

use beechloft_session::SessionController;
use beechloft_session::api::*;
use beechloft_session::catalog::{EndpointUpdate, MediaServerEntry, TitleEntry};
use beechloft_session::io as core_io;
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

/// How a box behaves towards an INVITE.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    /// 100, 180, 200.
    Sound,
    /// Turns away with this status.
    Refuses(u16),
    /// Says nothing at all.
    Silent,
    /// 100, then nothing.
    Stuck,
    /// 180 for ever; answers a CANCEL.
    Rings,
    /// 180; answers a CANCEL with its 200 to the INVITE.
    Crosses,
    /// Nobody listens.
    Absent,
    /// 200 with a body that makes no sense.
    Nonsense,
    /// Its 200 comes so late, milliseconds.
    Late(u64),
    /// Sound, but it never hears a BYE.
    LosesBye,
    /// Sound, but it has no calls any more, as a process that started anew.
    Forgot,
}

/// The world around one front: a network that takes a millisecond, boxes of some manner, callers by hand.
struct World {
    core: SessionController,
    agent: Agent,
    now: u64,
    manners: Vec<Manner>,
    /// Towards the agent: when, from whom, what.
    wire: Vec<(u64, Input)>,
    /// What the caller's side received.
    received: Vec<Message>,
    /// Calls that stand at a box: box and Call-ID; and those acknowledged.
    standing: BTreeSet<(u32, String)>,
    acked: BTreeSet<(u32, String)>,
    /// When a box ends a call that nobody refreshes.
    expires: BTreeMap<(u32, String), u64>,
    refreshes: usize,
    /// INVITEs out at boxes, by the session's title user and box.
    out: BTreeMap<String, u32>,
    most_out: usize,
    invites: Vec<(u32, String)>,
    rates: Vec<f64>,
}

fn udp() -> Peer {
    Peer { address: "127.0.0.1:5070".parse().expect("an address"), transport: Transport::Udp, conn: 0 }
}

impl World {
    fn new(manners: &[Manner]) -> World {
        World::with(settings(), manners)
    }

    fn with(settings: Settings, manners: &[Manner]) -> World {
        let listen = "127.0.0.1:5060".parse().expect("an address");
        let mut world = World {
            core: SessionController::new(settings, 1),
            agent: Agent::new(listen, 0, 2),
            now: 100 * S,
            manners: manners.to_vec(),
            wire: Vec::new(),
            received: Vec::new(),
            standing: BTreeSet::new(),
            acked: BTreeSet::new(),
            expires: BTreeMap::new(),
            refreshes: 0,
            out: BTreeMap::new(),
            most_out: 0,
            invites: Vec::new(),
            rates: Vec::new(),
        };
        let boxes = (0..manners.len() as u32).map(|n| MediaServerEntry {
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
            holders: (0..manners.len() as u32).map(ServerId).collect(),
            length: None,
        };
        let list = EndpointUpdate::Snapshot { cached: false, servers: boxes.collect(), titles: vec![title] };
        world.core(core_io::Input::Endpoints(list));
        world
    }

    fn core(&mut self, input: core_io::Input) {
        let mut out = Vec::new();
        self.core.handle(Micros(self.now), input, &mut out);
        for output in out {
            self.agent(Input::Core(Box::new(output)));
        }
    }

    fn agent(&mut self, input: Input) {
        let mut out = Vec::new();
        self.agent.handle(Micros(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Core(input) => self.core(*input),
                Output::Close(peer) => {
                    // The connection of an attempt is closed: it is out no longer.
                    let conn = format!("{}", peer.conn);
                    self.out.remove(&conn);
                }
                Output::Transmit(peer, message) if peer.transport == Transport::Udp => {
                    self.received.push(*message)
                }
                Output::Transmit(peer, message) => self.at_box(peer, *message),
            }
        }
    }

    fn back(&mut self, after: u64, peer: Peer, message: Message) {
        self.wire
            .push((self.now + after, Input::Received(peer, Box::new(message), Micros(self.now + after))));
    }

    fn at_box(&mut self, peer: Peer, message: Message) {
        let n = u32::from(peer.address.port() - 9000);
        let Message::Request(request) = message else { return };
        let manner = self.manners[n as usize];
        if manner == Manner::Absent {
            return self.wire.push((self.now + MS, Input::Lost(peer, true)));
        }
        let call = (n, request.names.call.clone());
        match request.method() {
            Method::Invite => {
                self.invites.push(call.clone());
                self.out.insert(format!("{}", peer.conn), n);
                self.most_out = self.most_out.max(self.out.len());
                let body = String::from_utf8_lossy(&request.raw.body).into_owned();
                self.rates.extend(beechloft_whep::sdp::rate_limit_kb(body.as_bytes()));
                self.invited(peer, &request, manner);
            }
            Method::Ack => {
                if self.standing.contains(&call) {
                    self.acked.insert(call);
                }
            }
            Method::Cancel => match manner {
                Manner::Rings => {
                    self.answer(peer, &request, 200);
                    self.out.remove(&format!("{}", peer.conn));
                    let invite = as_invite(&request);
                    self.answer(peer, &invite, 487);
                }
                Manner::Crosses => {
                    self.answer(peer, &request, 200);
                    self.accept(MS, peer, &as_invite(&request), SDP);
                }
                _ => {}
            },
            Method::Bye if manner == Manner::LosesBye => {}
            _ if manner == Manner::Forgot => self.answer(peer, &request, 481),
            Method::Bye => {
                self.standing.remove(&call);
                self.answer(peer, &request, 200);
            }
            Method::Update if self.standing.contains(&call) => {
                self.refreshes += usize::from(request.raw.body.is_empty());
                self.expires.insert(call, self.now + interval(&request) * S);
                self.answer(peer, &request, 200);
            }
            Method::Update => self.answer(peer, &request, 481),
            _ => self.answer(peer, &request, 200),
        }
    }

    fn answer(&mut self, peer: Peer, request: &Request, status: u16) {
        self.back(MS, peer, Message::Response(request.answer(status, "tb")));
    }

    fn accept(&mut self, after: u64, peer: Peer, invite: &Request, body: &str) {
        let mut ok: Response = invite.answer(200, "tb");
        ok.raw.headers.push(rsip::Header::Contact(format!("<sip:box@{}>", peer.address).into()));
        ok.raw.body = body.as_bytes().to_vec();
        let call = (u32::from(peer.address.port() - 9000), invite.names.call.clone());
        self.expires.insert(call.clone(), self.now + interval(invite) * S);
        self.standing.insert(call);
        self.out.remove(&format!("{}", peer.conn));
        self.back(after, peer, Message::Response(ok));
    }

    fn invited(&mut self, peer: Peer, invite: &Request, manner: Manner) {
        match manner {
            Manner::Sound | Manner::LosesBye | Manner::Forgot => {
                self.answer(peer, invite, 100);
                self.answer(peer, invite, 180);
                self.accept(5 * MS, peer, invite, SDP);
            }
            Manner::Refuses(status) => {
                self.out.remove(&format!("{}", peer.conn));
                self.answer(peer, invite, status);
            }
            Manner::Stuck => self.answer(peer, invite, 100),
            Manner::Rings | Manner::Crosses => self.answer(peer, invite, 180),
            Manner::Nonsense => {
                self.accept(5 * MS, peer, invite, "nothing that makes any sense to anybody at all, no")
            }
            Manner::Late(ms) => self.accept(ms * MS, peer, invite, SDP),
            Manner::Silent | Manner::Absent => {}
        }
    }

    /// Lets time pass.
    fn wait(&mut self, us: u64) {
        let end = self.now + us;
        loop {
            let arrival = self.wire.iter().map(|w| w.0).min();
            let due = [self.core.next_due(), self.agent.next_due()].into_iter().flatten().map(|t| t.0).min();
            let Some(next) = arrival.into_iter().chain(due).min().filter(|t| *t <= end) else { break };
            self.now = self.now.max(next);
            self.expire();
            if let Some(n) = self.wire.iter().position(|w| w.0 <= self.now) {
                let (_, input) = self.wire.remove(n);
                self.agent(input);
            } else {
                self.core(core_io::Input::Tick);
                self.agent(Input::Tick);
            }
        }
        self.now = end;
        self.expire();
    }

    /// Boxes end the calls that nobody refreshed.
    fn expire(&mut self) {
        let (now, expires) = (self.now, &self.expires);
        self.standing.retain(|c| expires.get(c).is_none_or(|at| *at > now));
    }

    fn caller_sends(&mut self, request: &Request) {
        let message = Box::new(Message::Request(request.clone()));
        self.agent(Input::Received(udp(), message, Micros(self.now)));
    }

    /// Final answers to the INVITE of a caller, each status once for each time it came.
    fn finals(&self, call: &str) -> Vec<u16> {
        let of = |m: &Message| match m {
            Message::Response(r) if r.method == Method::Invite && r.status >= 200 && r.names.call == call => {
                Some(r.status)
            }
            _ => None,
        };
        self.received.iter().filter_map(of).collect()
    }

    fn ok_of(&self, call: &str) -> Option<Response> {
        self.received.iter().find_map(|m| match m {
            Message::Response(r) if r.status == 200 && r.method == Method::Invite && r.names.call == call => {
                Some(r.clone())
            }
            _ => None,
        })
    }
}

/// The interval that a request sets, seconds. An INVITE that is made up from its CANCEL has none.
fn interval(request: &Request) -> u64 {
    let text = String::from_utf8(request.encode()).expect("text");
    match text.lines().find_map(|l| l.strip_prefix("Session-Expires: ")) {
        Some(value) => {
            value.trim().strip_suffix(";refresher=uac").and_then(|v| v.parse().ok()).expect("we refresh")
        }
        None => 180,
    }
}

/// The INVITE that a CANCEL is about, as far as its answer goes.
fn as_invite(cancel: &Request) -> Request {
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
    format!(";tag={}", ok.names.to_tag.clone().expect("a tag"))
}

#[test]
fn a_call_is_placed_stands_and_ends_on_both_sides() {
    let mut w = World::new(&[Manner::Sound]);
    w.caller_sends(&invite("c1"));
    w.wait(100 * MS);
    assert_eq!(w.finals("c1"), [200]);
    let ok = w.ok_of("c1").expect("an answer");
    assert!(w.received.iter().any(|m| matches!(m, Message::Response(r) if r.status == 180)), "it rang");
    assert_eq!((w.standing.len(), w.acked.len(), w.core.playing()), (1, 1, 1));
    assert!(
        w.rates.iter().all(|r| [200.0, 450.0].contains(r)),
        "a rung is written into the offer: {:?}",
        w.rates
    );
    w.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    w.caller_sends(&caller("BYE", "c1", 2, &tag_of(&ok), "", ""));
    w.wait(S);
    assert_eq!((w.standing.len(), w.core.playing(), w.agent.len()), (0, 0, (0, 0)));
    assert!(w.core.is_idle());
}

#[test]
fn repeated_invites_make_one_set_up() {
    let mut w = World::new(&[Manner::Late(200)]);
    for _ in 0..5 {
        w.caller_sends(&invite("c1"));
        w.wait(20 * MS);
    }
    w.wait(S);
    assert_eq!(w.invites.len(), 1);
    // By another way: the same request with another branch.
    let other = String::from_utf8(invite("c1").encode()).expect("text").replace("z9hG4bKc1", "z9hG4bKx1");
    w.caller_sends(&request(&other));
    assert!(w.received.iter().any(|m| matches!(m, Message::Response(r) if r.status == 482)));
    assert_eq!(w.invites.len(), 1);
}

#[test]
fn each_manner_of_a_box_leads_elsewhere_and_leaves_nothing_behind() {
    use Manner::*;
    for manner in [
        Refuses(486),
        Refuses(503),
        Refuses(500),
        Silent,
        Stuck,
        Rings,
        Crosses,
        Absent,
        Nonsense,
        Late(380),
        Late(440),
        Late(2000),
    ] {
        let mut w = World::new(&[manner, Sound]);
        for n in 0..4 {
            w.caller_sends(&invite(&format!("c{n}")));
            w.wait(2 * S);
        }
        for n in 0..4 {
            let finals = w.finals(&format!("c{n}"));
            let kinds: BTreeSet<u16> = finals.iter().copied().collect();
            assert_eq!(kinds, [200].into(), "{manner:?}: call {n}: {finals:?}");
        }
        w.wait(40 * S); // nobody acknowledged: all are hung up
        w.wait(40 * S);
        assert_eq!(w.most_out, 1, "{manner:?}: one attempt at a time");
        assert!(w.standing.is_empty(), "{manner:?}: left at boxes: {:?}", w.standing);
        assert_eq!((w.agent.len(), w.core.playing()), ((0, 0), 0), "{manner:?}");
    }
}

#[test]
fn a_cancel_at_any_moment_gets_its_487_or_comes_too_late() {
    for (manner, after) in [
        (Manner::Late(300), 1),
        (Manner::Rings, 50),
        (Manner::Crosses, 50),
        (Manner::Silent, 20),
        (Manner::Sound, 3),
    ] {
        let mut w = World::new(&[manner]);
        w.caller_sends(&invite("c1"));
        w.wait(after * MS);
        w.caller_sends(&invite("c1").cancel());
        w.wait(2 * S);
        assert_eq!(w.finals("c1").iter().copied().collect::<BTreeSet<_>>(), [487].into(), "{manner:?}");
        w.wait(40 * S);
        assert!(
            w.standing.is_empty() && w.agent.len() == (0, 0),
            "{manner:?}: {:?} {:?}",
            w.standing,
            w.agent.len()
        );
    }
}

#[test]
fn what_cannot_be_taken_is_told_why_and_reaches_no_box() {
    let mut w = World::new(&[Manner::Sound]);
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
        w.caller_sends(&request);
        let of = |m: &Message| matches!(m, Message::Response(r) if r.status == status && r.names.call == request.names.call);
        assert!(w.received.iter().any(of), "{status}: {:?}", w.received.last());
    }
    assert!(w.invites.is_empty());
    let mut w = World::new(&[Manner::Refuses(486)]);
    w.caller_sends(&invite("c1"));
    w.wait(S);
    assert_eq!(w.finals("c1").first(), Some(&503));
    let text = w.received.iter().find_map(|m| match m {
        Message::Response(r) if r.status == 503 => Some(String::from_utf8(r.encode()).expect("text")),
        _ => None,
    });
    assert!(text.is_some_and(|t| t.contains("Retry-After: 1")));
}

#[test]
fn a_call_that_no_box_answers_fails_in_time_and_one_that_a_box_declines_hears_why() {
    for (manner, status) in [
        (Manner::Silent, 504),
        (Manner::Stuck, 504),
        (Manner::Refuses(500), 504),
        (Manner::Refuses(415), 415),
    ] {
        // A set-up that must not be repeated: what is silent may have run.
        let mut once = settings();
        once.classes[0].idempotency = Idempotency::AtMostOnce;
        let mut w = World::with(once, &[manner; 2]);
        w.caller_sends(&invite("c1"));
        w.wait(4 * S);
        let kinds: BTreeSet<u16> = w.finals("c1").into_iter().collect();
        assert_eq!(kinds, [status].into(), "{manner:?}");
    }
}

#[test]
fn a_box_that_hangs_up_and_a_lost_box_end_the_callers_side() {
    let mut w = World::new(&[Manner::Sound]);
    w.caller_sends(&invite("c1"));
    w.wait(100 * MS);
    let ok = w.ok_of("c1").expect("an answer");
    w.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    w.core(core_io::Input::MediaServer(ServerId(0), core_io::MediaServerEvent::ConnectionRefused));
    w.wait(100 * MS);
    let bye = |m: &Message| matches!(m, Message::Request(r) if r.method() == Method::Bye);
    assert!(w.received.iter().any(bye), "the caller is hung up");
    assert_eq!(w.core.playing(), 0);
    // The box only refuses new connections: its process runs on, and the call must not stay there.
    w.wait(S);
    assert!(w.standing.is_empty() && w.agent.len().1 == 0, "{:?}", w.standing);
}

/// A call of `c1` that its caller keeps up for so long.
fn kept_up(w: &mut World, seconds: u64) {
    let ok = w.ok_of("c1").expect("an answer");
    for n in 0..seconds / 60 {
        w.caller_sends(&caller("UPDATE", "c1", 10 + n as u32, &tag_of(&ok), "", ""));
        w.wait(60 * S);
    }
}

fn stands(manner: Manner) -> World {
    let mut w = World::new(&[manner]);
    w.caller_sends(&invite("c1"));
    w.wait(100 * MS);
    let ok = w.ok_of("c1").expect("an answer");
    w.caller_sends(&caller("ACK", "c1", 1, &tag_of(&ok), "", ""));
    w
}

fn hung_up(w: &World) -> bool {
    w.received.iter().any(|m| matches!(m, Message::Request(r) if r.method() == Method::Bye))
}

#[test]
fn a_call_stands_at_its_box_for_as_long_as_it_is_refreshed_and_no_longer() {
    let mut w = stands(Manner::Sound);
    kept_up(&mut w, 1200);
    assert_eq!((w.standing.len(), w.core.playing()), (1, 1));
    assert!((12..=15).contains(&w.refreshes), "every 90 s: {}", w.refreshes);
    // The front is gone from one moment to the next: its box gives the room back by itself.
    w.expires.values_mut().for_each(|at| assert!(*at > w.now));
    w.now += 181 * S;
    w.expire();
    assert!(w.standing.is_empty());
}

#[test]
fn a_lost_bye_leaves_no_call_after_the_session_timer() {
    let mut w = stands(Manner::LosesBye);
    kept_up(&mut w, 120);
    let ok = w.ok_of("c1").expect("an answer");
    w.caller_sends(&caller("BYE", "c1", 99, &tag_of(&ok), "", ""));
    w.wait(100 * MS);
    assert_eq!((w.standing.len(), w.core.playing()), (1, 0), "the box did not hear of it");
    w.wait(180 * S);
    assert!(w.standing.is_empty() && w.agent.len() == (0, 0), "{:?}", w.standing);
    assert!(w.core.is_idle());
}

#[test]
fn a_box_that_does_not_have_a_call_any_more_is_found_out() {
    // At the next refresh, or soon after its connection broke.
    for (broken, within) in [(false, 95), (true, 3)] {
        let mut w = stands(Manner::Forgot);
        if broken {
            let address = "127.0.0.1:9000".parse().expect("an address");
            let conn = (1..9).map(|n| beechloft_sip::agent::OWN | n);
            for conn in conn {
                let peer = Peer { address, transport: Transport::Tcp, conn };
                w.agent(Input::Lost(peer, false));
            }
        }
        w.wait(within * S);
        assert!(hung_up(&w) && w.core.playing() == 0, "{broken}");
        w.wait(40 * S);
        assert_eq!(w.agent.len(), (0, 0));
    }
    // A sound box is asked, too, and nothing comes of it.
    let mut w = stands(Manner::Sound);
    let address = "127.0.0.1:9000".parse().expect("an address");
    for n in 1..9 {
        let peer = Peer { address, transport: Transport::Tcp, conn: beechloft_sip::agent::OWN | n };
        w.agent(Input::Lost(peer, false));
    }
    w.wait(3 * S);
    assert_eq!((w.refreshes, w.core.playing(), hung_up(&w)), (1, 1, false));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn over_any_mix_of_boxes_and_callers_the_rules_hold(
        manners in prop::collection::vec(prop_oneof![
            3 => Just(Manner::Sound), 1 => Just(Manner::Refuses(486)), 1 => Just(Manner::Refuses(500)), 1 => Just(Manner::Silent),
            1 => Just(Manner::Stuck), 1 => Just(Manner::Rings), 1 => Just(Manner::Crosses), 1 => Just(Manner::Absent),
            1 => Just(Manner::Nonsense), 1 => Just(Manner::LosesBye), 1 => Just(Manner::Forgot), 2 => (1..1200u64).prop_map(Manner::Late),
        ], 1..5),
        calls in prop::collection::vec((0..300u64, prop::option::weighted(0.4, 0..900u64), any::<bool>(), any::<bool>()), 1..8),
    ) {
        let mut w = World::new(&manners);
        for (n, (gap, cancel, ack, bye)) in calls.iter().enumerate() {
            let call = format!("p{n}");
            let asked = w.now;
            w.caller_sends(&invite(&call));
            if let Some(after) = cancel {
                w.wait(after * MS);
                w.caller_sends(&invite(&call).cancel());
            }
            w.wait(4 * S - (w.now - asked));
            let kinds: BTreeSet<u16> = w.finals(&call).into_iter().collect();
            prop_assert_eq!(kinds.len(), 1, "one answer in the caller's time: {}: {:?}", call, kinds);
            if let Some(ok) = w.ok_of(&call) {
                if *ack { w.caller_sends(&caller("ACK", &call, 1, &tag_of(&ok), "", "")); }
                if *bye { w.caller_sends(&caller("BYE", &call, 2, &tag_of(&ok), "", "")); }
            }
            w.wait(gap * MS);
        }
        w.wait(300 * S); // session timers and all
        prop_assert!(w.most_out <= 1, "{} attempts out at once", w.most_out);
        prop_assert!(w.standing.is_empty(), "left at boxes: {:?}", w.standing);
        prop_assert_eq!((w.agent.len(), w.core.playing()), ((0, 0), 0));
        prop_assert!(w.core.is_idle());
    }
}

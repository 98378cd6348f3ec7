//! The agent under overload: what is turned away costs no transaction, is answered alike each time, and is told to
//! those who take part.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use beechloft_session::api::Micros;
use beechloft_session::io as core_io;
use beechloft_sip::agent::{Agent, Input, Output};
use beechloft_sip::message::{Message, Method};
use beechloft_sip::overload::control::{LATE, LOOK};
use beechloft_sip::transaction::Transport;
use beechloft_sip::transaction::layer::Peer;

const S: u64 = 1_000_000;
const SDP: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 40000 RTP/AVP 96\r\nc=IN IP4 127.0.0.1\r\n\
    a=rtpmap:96 H264/90000\r\na=sendrecv\r\n";

fn peer() -> Peer {
    Peer { address: "127.0.0.1:5070".parse().expect("an address"), transport: Transport::Udp, conn: 0 }
}

fn message(method: &str, call: u32, rest: &str) -> Box<Message> {
    let body = if method == "INVITE" { SDP } else { "" };
    let text = format!(
        "{method} sip:stall@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK{call}{rest}\r\n\
         Max-Forwards: 70\r\nFrom: <sip:c@127.0.0.1>;tag=c{call}\r\nTo: <sip:stall@127.0.0.1>\r\nCall-ID: {call}\r\n\
         CSeq: 1 {method}\r\nContact: <sip:c@127.0.0.1:5070>\r\nContent-Type: application/sdp\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    Box::new(Message::parse(text.as_bytes()).expect("a message"))
}

struct Gate {
    agent: Agent,
    now: u64,
}

impl Gate {
    fn new() -> Gate {
        Gate { agent: Agent::new("127.0.0.1:5060".parse().expect("an address"), 0, 3), now: 100 * S }
    }

    /// Hands the agent a message that has waited for so long.
    fn takes(&mut self, message: Box<Message>, waited: u64) -> Vec<Output> {
        let mut out = Vec::new();
        let at = Micros(self.now - waited);
        self.agent.handle(Micros(self.now), Input::Received(peer(), message, at), &mut out);
        out
    }

    /// The responses among what it wants sent, and whether it asked the core for a session.
    fn says(out: &[Output]) -> (Vec<String>, bool) {
        let text = |o: &Output| match o {
            Output::Transmit(_, m) => match &**m {
                Message::Response(r) => String::from_utf8(r.encode()).ok(),
                Message::Request(_) => None,
            },
            _ => None,
        };
        let asks = |o: &Output| matches!(o, Output::Core(i) if matches!(**i, core_io::Input::Request(_)));
        (out.iter().filter_map(text).collect(), out.iter().any(asks))
    }
}

#[test]
fn a_call_that_waited_too_long_is_turned_away_alike_each_time_it_comes() {
    let mut gate = Gate::new();
    let (first, asked) = Gate::says(&gate.takes(message("INVITE", 1, ""), LATE.0 + 1));
    assert!(!asked && first.len() == 1 && first[0].starts_with("SIP/2.0 503 "), "{first:?}");
    assert!(
        first[0].contains("Retry-After: ") && first[0].contains("To: <sip:stall@127.0.0.1>;tag="),
        "{first:?}"
    );
    // The copy comes when there is room again; its caller may have the refusal already.
    gate.now += S;
    assert_eq!(Gate::says(&gate.takes(message("INVITE", 1, ""), 0)), (first, false));
    // Its ACK means nothing, it holds nothing, and it is never repeated by us.
    assert_eq!(gate.takes(message("ACK", 1, ""), 0), []);
    assert_eq!((gate.agent.len(), gate.agent.next_due()), ((0, 0), None));
    // Another call is taken, and its copies go to its own transaction, however long they waited.
    let (said, asked) = Gate::says(&gate.takes(message("INVITE", 2, ""), 0));
    assert!(asked && said.iter().all(|s| s.starts_with("SIP/2.0 100 ")), "{said:?}");
    let (said, asked) = Gate::says(&gate.takes(message("INVITE", 2, ""), 10 * S));
    assert!(!asked && said.iter().all(|s| s.starts_with("SIP/2.0 100 ")), "{said:?}");
}

#[test]
fn a_cancel_of_what_was_turned_away_finds_nothing() {
    let mut gate = Gate::new();
    gate.takes(message("INVITE", 1, ""), LATE.0 + 1);
    let (said, _) = Gate::says(&gate.takes(message("CANCEL", 1, ""), 0));
    assert!(said.len() == 1 && said[0].starts_with("SIP/2.0 481 "), "{said:?}");
}

#[test]
fn who_takes_part_is_told_what_to_keep_back_and_when_it_is_over() {
    let mut gate = Gate::new();
    let claim = ";oc;oc-algo=\"loss\"";
    let (said, _) = Gate::says(&gate.takes(message("INVITE", 1, claim), 0));
    assert!(said.iter().all(|s| !s.contains("oc=")), "nothing is asked without need: {said:?}");
    // Two intervals in which every call waited long, though the core answered some.
    for call in 2..60 {
        gate.now += LOOK.0 / 20;
        let request = Gate::asked(&gate.takes(message("INVITE", call, ""), LATE.0 / 2));
        let Some(request) = request else { continue };
        let reply = core_io::Output::Reply(request, core_io::Answer::UnknownTitle);
        gate.agent.handle(Micros(gate.now), Input::Core(Box::new(reply)), &mut Vec::new());
    }
    assert!(gate.agent.control().rate().is_some());
    let (said, _) = Gate::says(&gate.takes(message("INVITE", 90, claim), 0));
    let told = said.last().expect("an answer");
    assert!(told.contains(";oc-algo=\"loss\";oc-validity=500;oc-seq="), "{told}");
    assert!(!told.contains("Retry-After"), "one that keeps calls back would stop altogether: {told}");
    let (said, _) = Gate::says(&gate.takes(message("INVITE", 91, ""), 0));
    assert!(said.iter().all(|s| !s.contains("oc=")), "who does not take part is told nothing: {said:?}");
    // Some seconds without need: it lets go, and says so once.
    for call in 100..190 {
        gate.now += LOOK.0;
        gate.takes(message("INVITE", call, ""), 0);
    }
    let (said, _) = Gate::says(&gate.takes(message("INVITE", 300, claim), 0));
    assert!(said.iter().any(|s| s.contains(";oc=0;")), "{said:?}");
}

impl Gate {
    fn asked(out: &[Output]) -> Option<core_io::RequestId> {
        out.iter().find_map(|o| match o {
            Output::Core(input) => match &**input {
                core_io::Input::Request(ask) => Some(ask.request),
                _ => None,
            },
            _ => None,
        })
    }
}

#[test]
fn requests_within_calls_pass_whatever_the_load() {
    let mut gate = Gate::new();
    let out = gate.takes(message("OPTIONS", 1, ""), 10 * S);
    let answered = |o: &Output| matches!(o, Output::Transmit(_, m) if matches!(&**m, Message::Response(r) if r.status == 200 && r.method == Method::Options));
    assert!(out.iter().any(answered), "{out:?}");
}

//! Tests of the agent under overload: a rejection uses no transaction, is equal for each copy of its INVITE, and carries
//! feedback for neighbours that support overload control.

use beechloft_session::api::Micros;
use beechloft_session::io as controller_io;
use beechloft_sip::agent::{Agent, Input, Output};
use beechloft_sip::message::{Message, Method};
use beechloft_sip::overload::control::{INTERVAL, MAX_CALL_DELAY};
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

struct Fixture {
    agent: Agent,
    now: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { agent: Agent::new("127.0.0.1:5060".parse().expect("an address"), 0, 3), now: 100 * S }
    }

    /// Passes a message to the agent that has waited for this long, in microseconds.
    fn receive(&mut self, message: Box<Message>, waited: u64) -> Vec<Output> {
        let mut out = Vec::new();
        let at = Micros(self.now - waited);
        self.agent.handle(Micros(self.now), Input::Received(peer(), message, at), &mut out);
        out
    }

    /// Returns the text of the responses that were sent, and whether a session was requested from the controller.
    fn responses(out: &[Output]) -> (Vec<String>, bool) {
        let text = |o: &Output| match o {
            Output::Transmit(_, m) => match &**m {
                Message::Response(r) => String::from_utf8(r.encode()).ok(),
                Message::Request(_) => None,
            },
            _ => None,
        };
        let is_session_request = |o: &Output| matches!(o, Output::Controller(i) if matches!(**i, controller_io::Input::Request(_)));
        (out.iter().filter_map(text).collect(), out.iter().any(is_session_request))
    }
}

#[test]
fn late_call_is_rejected_equally_for_each_copy() {
    let mut fixture = Fixture::new();
    let (first, requested_session) =
        Fixture::responses(&fixture.receive(message("INVITE", 1, ""), MAX_CALL_DELAY.0 + 1));
    assert!(!requested_session && first.len() == 1 && first[0].starts_with("SIP/2.0 503 "), "{first:?}");
    assert!(
        first[0].contains("Retry-After: ") && first[0].contains("To: <sip:stall@127.0.0.1>;tag="),
        "{first:?}"
    );
    // The copy arrives after the overload, when its caller may have received the rejection already.
    fixture.now += S;
    assert_eq!(Fixture::responses(&fixture.receive(message("INVITE", 1, ""), 0)), (first, false));
    // The ACK is ignored, there is no state, and the rejection is not retransmitted.
    assert_eq!(fixture.receive(message("ACK", 1, ""), 0), []);
    assert_eq!((fixture.agent.len(), fixture.agent.next_due()), ((0, 0), None));
    // Another call is accepted, and its copies go to its own transaction, however long they waited.
    let (texts, second_requested) = Fixture::responses(&fixture.receive(message("INVITE", 2, ""), 0));
    assert!(second_requested && texts.iter().all(|s| s.starts_with("SIP/2.0 100 ")), "{texts:?}");
    let (copy_texts, copy_requested) = Fixture::responses(&fixture.receive(message("INVITE", 2, ""), 10 * S));
    assert!(!copy_requested && copy_texts.iter().all(|s| s.starts_with("SIP/2.0 100 ")), "{texts:?}");
}

#[test]
fn cancel_of_a_rejected_call_gets_481() {
    let mut fixture = Fixture::new();
    fixture.receive(message("INVITE", 1, ""), MAX_CALL_DELAY.0 + 1);
    let (texts, _) = Fixture::responses(&fixture.receive(message("CANCEL", 1, ""), 0));
    assert!(texts.len() == 1 && texts[0].starts_with("SIP/2.0 481 "), "{texts:?}");
}

#[test]
fn supporting_neighbours_get_feedback_until_the_overload_ends() {
    let mut fixture = Fixture::new();
    let parameters = ";oc;oc-algo=\"loss\"";
    let (texts, _) = Fixture::responses(&fixture.receive(message("INVITE", 1, parameters), 0));
    assert!(texts.iter().all(|s| !s.contains("oc=")), "no feedback without overload: {texts:?}");
    // Intervals in which every call waited long, though the controller responded to some.
    for call in 2..60 {
        fixture.now += INTERVAL.0 / 20;
        let request =
            Fixture::session_request(&fixture.receive(message("INVITE", call, ""), MAX_CALL_DELAY.0 / 2));
        let Some(request) = request else { continue };
        let reply = controller_io::Output::Reply(request, controller_io::Answer::UnknownTitle);
        fixture.agent.handle(Micros(fixture.now), Input::Controller(Box::new(reply)), &mut Vec::new());
    }
    assert!(fixture.agent.control().rate().is_some());
    let (overloaded, _) = Fixture::responses(&fixture.receive(message("INVITE", 90, parameters), 0));
    let response = overloaded.last().expect("an answer");
    assert!(response.contains(";oc-algo=\"loss\";oc-validity=500;oc-seq="), "{response}");
    assert!(
        !response.contains("Retry-After"),
        "a supporting neighbour would stop sending altogether: {response}"
    );
    let (unsupported, _) = Fixture::responses(&fixture.receive(message("INVITE", 91, ""), 0));
    assert!(unsupported.iter().all(|s| !s.contains("oc=")), "no feedback without support: {texts:?}");
    // Some seconds without overload: the control ends and reports this once.
    for call in 100..190 {
        fixture.now += INTERVAL.0;
        fixture.receive(message("INVITE", call, ""), 0);
    }
    let (recovered, _) = Fixture::responses(&fixture.receive(message("INVITE", 300, parameters), 0));
    assert!(recovered.iter().any(|s| s.contains(";oc=0;")), "{texts:?}");
}

impl Fixture {
    fn session_request(out: &[Output]) -> Option<controller_io::RequestId> {
        out.iter().find_map(|o| match o {
            Output::Controller(input) => match &**input {
                controller_io::Input::Request(request) => Some(request.request),
                _ => None,
            },
            _ => None,
        })
    }
}

#[test]
fn requests_within_calls_are_processed_at_any_load() {
    let mut fixture = Fixture::new();
    let out = fixture.receive(message("OPTIONS", 1, ""), 10 * S);
    let answered = |o: &Output| matches!(o, Output::Transmit(_, m) if matches!(&**m, Message::Response(r) if r.status == 200 && r.method == Method::Options));
    assert!(out.iter().any(answered), "{out:?}");
}

//! Tests of the two call legs: a media server is never a call is left at the server, and a caller gets exactly one final response.

use beechloft_session::api::Micros;
use beechloft_session::session::GRACE;
use beechloft_sip::callee::{self, CalleeLeg};
use beechloft_sip::caller::{self, CallerLeg, EndReason, MIN_SE_SECONDS};
use beechloft_sip::dialog::{IdGenerator, LocalEndpoint};
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_sip::timer::TRANSACTION_TIMEOUT;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;

fn parse(text: &str) -> Request {
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}\n{text}"),
    }
}

fn invite(more: &str) -> Request {
    parse(&format!(
        "INVITE sip:stall@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKa\r\n\
         Record-Route: <sip:p1.example.org;lr>, <sip:p2.example.org;lr>\r\nMax-Forwards: 70\r\n\
         From: \"A\" <sip:a@example.org>;tag=fa\r\nTo: <sip:stall@example.org>\r\nCall-ID: c1@example.org\r\n\
         CSeq: 7 INVITE\r\nContact: <sip:a@127.0.0.1:5070>\r\n{more}Content-Length: 0\r\n\r\n"
    ))
}

fn local() -> LocalEndpoint {
    LocalEndpoint { transport: "UDP", sent_by: "127.0.0.1:5060".into() }
}

/// Returns a response of a media server, with a `Contact` if it is a 2xx.
fn server_response(status: u16) -> Response {
    let mut response = invite("").response(status, "tb");
    if (200..300).contains(&status) {
        response.raw.headers.push(rsip::Header::Contact("<sip:box@127.0.0.1:5090>".into()));
        response.raw.body = b"v=0\r\n".to_vec();
    }
    response
}

struct CalleeFixture {
    leg: CalleeLeg,
    id_generator: IdGenerator,
    now: u64,
}

impl CalleeFixture {
    fn new() -> Self {
        CalleeFixture { leg: CalleeLeg::new(invite(""), local()), id_generator: IdGenerator::new(1), now: S }
    }

    fn input(&mut self, input: callee::Input<'_>) -> Vec<callee::Output> {
        let mut out = Vec::new();
        self.leg.handle(Micros(self.now), input, &mut self.id_generator, &mut out);
        out
    }

    fn response(&mut self, status: u16) -> Vec<callee::Output> {
        self.input(callee::Input::Response(&server_response(status)))
    }
}

fn methods(out: &[callee::Output]) -> Vec<Method> {
    let of = |o: &callee::Output| match o {
        callee::Output::Send(r) | callee::Output::Ack(r) => Some(r.method()),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

#[test]
fn call_is_acknowledged_and_ended() {
    let mut callee = CalleeFixture::new();
    assert_eq!(callee.response(180), [callee::Output::Provisional(180)]);
    let out = callee.response(200);
    assert_eq!(methods(&out), [Method::Ack]);
    assert!(out.contains(&callee::Output::Established(b"v=0\r\n".to_vec())));
    let Some(callee::Output::Ack(ack)) = out.first() else { panic!("an ACK") };
    assert_eq!((ack.ids.seq, ack.ids.to_tag.as_deref()), (7, Some("tb")));
    assert_ne!(ack.ids.branch, "z9hG4bKa", "the ACK of a 2xx has a branch of its own");
    let text = String::from_utf8(ack.encode()).expect("text");
    assert!(text.starts_with("ACK sip:box@127.0.0.1:5090 SIP/2.0\r\n"), "{text}");
    let routes: Vec<&str> = text.lines().filter(|l| l.starts_with("Route:")).collect();
    assert_eq!(routes, ["Route: <sip:p2.example.org;lr>", "Route: <sip:p1.example.org;lr>"], "reversed");
    assert_eq!(methods(&callee.response(200)), [Method::Ack], "the ACK was lost");
    let ended = callee.input(callee::Input::End);
    let Some(callee::Output::Send(bye)) = ended.first() else { panic!("a BYE") };
    assert_eq!((bye.method(), bye.ids.seq), (Method::Bye, 8));
    assert!(callee.input(callee::Input::End).is_empty(), "once");
    assert_eq!(callee.input(callee::Input::ByeCompleted), [callee::Output::Terminated]);
}

#[test]
fn abandoned_attempt_is_cancelled_after_a_provisional_response() {
    let mut callee = CalleeFixture::new();
    assert!(callee.input(callee::Input::End).is_empty(), "no CANCEL before a provisional response");
    assert_eq!(methods(&callee.response(100)), [Method::Cancel]);
    assert!(callee.response(180).is_empty(), "only one CANCEL is sent");
    assert_eq!(callee.response(487), [callee::Output::AttemptEnded(None), callee::Output::Terminated]);
    assert_eq!(callee.leg.next_due(), None);
}

#[test]
fn success_after_cancel_is_acknowledged_and_ended() {
    let mut callee = CalleeFixture::new();
    callee.response(180);
    assert_eq!(methods(&callee.input(callee::Input::End)), [Method::Cancel]);
    let out = callee.response(200);
    assert_eq!(methods(&out), [Method::Ack, Method::Bye]);
    assert!(out.contains(&callee::Output::AttemptEnded(None)));
    assert_eq!(methods(&callee.response(200)), [Method::Ack]);
    assert_eq!(callee.input(callee::Input::ByeCompleted), [callee::Output::Terminated]);
    assert_eq!(
        methods(&callee.response(200)),
        [Method::Ack],
        "acknowledged so that the media server stops retransmitting"
    );
}

#[test]
fn unwanted_success_with_invalid_contact_ends_the_leg() {
    let mut callee = CalleeFixture::new();
    callee.input(callee::Input::End);
    let mut ok = server_response(200);
    ok.raw.headers.retain(|h| !matches!(h, rsip::Header::Contact(_)));
    ok.raw.headers.push(rsip::Header::Contact("<box.example.org>".into()));
    let out = callee.input(callee::Input::Response(&ok));
    assert!(
        out.contains(&callee::Output::Terminated) && out.contains(&callee::Output::AttemptEnded(None)),
        "{out:?}"
    );
    assert!(callee.leg.is_terminated() && callee.leg.next_due().is_none());
}

#[test]
fn unresponsive_server_is_dropped_after_the_grace_period() {
    let mut callee = CalleeFixture::new();
    callee.input(callee::Input::End);
    assert_eq!(callee.leg.next_due(), Some(Micros(S) + GRACE));
    callee.now += GRACE.0;
    assert_eq!(
        callee.input(callee::Input::Tick),
        [callee::Output::CloseConnection, callee::Output::AttemptEnded(None)]
    );
    callee.now += 10 * S;
    let out = callee.response(200);
    assert_eq!(methods(&out), [Method::Ack, Method::Bye]);
    assert!(
        !out.iter().any(|o| matches!(o, callee::Output::AttemptEnded(_))),
        "the attempt has already ended"
    );
    let mut silent = CalleeFixture::new();
    silent.input(callee::Input::End);
    silent.now += GRACE.0;
    silent.input(callee::Input::Tick);
    silent.now += TRANSACTION_TIMEOUT.0;
    assert_eq!(silent.input(callee::Input::Tick), [callee::Output::Terminated]);
}

#[test]
fn leg_ends_on_rejection_connection_loss_or_remote_bye() {
    let mut callee = CalleeFixture::new();
    assert_eq!(callee.response(503), [callee::Output::AttemptEnded(Some(503)), callee::Output::Terminated]);
    let mut lost = CalleeFixture::new();
    assert_eq!(lost.input(callee::Input::NoFinalResponse), [callee::Output::AttemptEnded(None)]);
    let mut established = CalleeFixture::new();
    established.response(200);
    assert_eq!(
        established.input(callee::Input::Bye),
        [callee::Output::RemoteBye, callee::Output::Terminated]
    );
    // A 2xx without a contact can't be acknowledged, so its connection is closed.
    let mut no_contact = CalleeFixture::new();
    let nowhere = invite("").response(200, "tb");
    let out = no_contact.input(callee::Input::Response(&nowhere));
    assert_eq!(
        out,
        [
            callee::Output::CloseConnection,
            callee::Output::AttemptEnded(Some(500)),
            callee::Output::Terminated
        ]
    );
}

struct CallerFixture {
    leg: CallerLeg,
    id_generator: IdGenerator,
    now: u64,
}

impl CallerFixture {
    fn new(more: &str) -> Self {
        let mut id_generator = IdGenerator::new(2);
        let leg = CallerLeg::new(invite(more), local(), &mut id_generator).expect("a leg");
        CallerFixture { leg, id_generator, now: S }
    }

    fn input(&mut self, input: caller::Input<'_>) -> Vec<caller::Output> {
        let mut out = Vec::new();
        self.leg.handle(Micros(self.now), input, &mut self.id_generator, &mut out);
        out
    }

    /// Builds a request of the caller within the dialog.
    fn request(&self, method: &str, seq: u32, more: &str) -> Request {
        parse(&format!(
            "{method} sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKr{seq}{method}\r\n\
             Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=fa\r\nTo: <sip:stall@example.org>;tag={}\r\n\
             Call-ID: c1@example.org\r\nCSeq: {seq} {method}\r\nContact: <sip:a@127.0.0.1:5070>\r\n{more}Content-Length: 0\r\n\r\n",
            self.leg.tag()
        ))
    }

    fn request_status(&mut self, method: &str, seq: u32, more: &str) -> (u16, Vec<caller::Output>) {
        let request = self.request(method, seq, more);
        let out = self.input(caller::Input::Request(&request));
        let status =
            out.iter().find_map(|o| if let caller::Output::Respond(r) = o { Some(r.status) } else { None });
        (status.unwrap_or(0), out)
    }

    fn accepted() -> CallerFixture {
        let mut caller_leg = CallerFixture::new("");
        assert_eq!(answers(&caller_leg.input(caller::Input::Accept("v=0\r\n"))), [200]);
        let ack = caller_leg.request("ACK", 7, "");
        assert_eq!(caller_leg.input(caller::Input::Ack(&ack)), [caller::Output::Confirmed]);
        caller_leg
    }
}

fn answers(out: &[caller::Output]) -> Vec<u16> {
    out.iter()
        .filter_map(|o| if let caller::Output::RespondInvite(r) = o { Some(r.status) } else { None })
        .collect()
}

#[test]
fn success_is_retransmitted_until_its_ack() {
    let mut caller_leg = CallerFixture::new("");
    assert_eq!(answers(&caller_leg.input(caller::Input::Ringing)), [180]);
    let out = caller_leg.input(caller::Input::Accept("v=0\r\n"));
    let Some(caller::Output::RespondInvite(ok)) = out.first() else { panic!("an answer") };
    let text = String::from_utf8(ok.encode()).expect("text");
    for field in [
        "Contact: <sip:127.0.0.1:5060>",
        "Session-Expires: 180;refresher=uac",
        "Require: timer",
        "Content-Length: 5",
    ] {
        assert!(text.contains(field), "{field} in {text}");
    }
    assert!(text.matches("Record-Route").count() >= 1, "{text}");
    assert!(
        caller_leg.input(caller::Input::Reject(503, None)).is_empty()
            && caller_leg.input(caller::Input::Accept("v=0")).is_empty()
    );
    let mut repeats = 0;
    while let Some(at) = caller_leg.leg.next_due().filter(|t| t.0 < 11 * S) {
        caller_leg.now = at.0;
        repeats += answers(&caller_leg.input(caller::Input::Tick)).len();
    }
    assert_eq!(repeats, 4, "at 0.5, 1.5, 3.5 and 7.5 s");
    let foreign = parse(
        &String::from_utf8(caller_leg.request("ACK", 7, "").encode())
            .expect("text")
            .replace("tag=fa", "tag=xx"),
    );
    assert!(caller_leg.input(caller::Input::Ack(&foreign)).is_empty());
    let ack = caller_leg.request("ACK", 7, "");
    assert_eq!(caller_leg.input(caller::Input::Ack(&ack)), [caller::Output::Confirmed]);
    assert!(caller_leg.input(caller::Input::Ack(&ack)).is_empty());
}

#[test]
fn caller_that_never_acknowledges_gets_a_bye() {
    let mut caller_leg = CallerFixture::new("");
    caller_leg.input(caller::Input::Accept("v=0\r\n"));
    caller_leg.now += TRANSACTION_TIMEOUT.0;
    let out = caller_leg.input(caller::Input::Tick);
    assert!(
        matches!(&out[..], [caller::Output::Send(bye), caller::Output::Ended(EndReason::NoAck)] if bye.method() == Method::Bye)
    );
}

#[test]
fn session_timer_detects_a_lost_caller() {
    let mut caller_leg = CallerFixture::accepted();
    caller_leg.now += 100 * S;
    assert_eq!(caller_leg.request_status("UPDATE", 8, "").0, 200, "a refresh");
    caller_leg.now += 179 * S;
    assert!(caller_leg.input(caller::Input::Tick).is_empty());
    caller_leg.now += S;
    let out = caller_leg.input(caller::Input::Tick);
    assert!(matches!(&out[..], [caller::Output::Send(_), caller::Output::Ended(EndReason::Expired)]));
    // A session interval that is too short is rejected with the minimum.
    let short = CallerFixture::new(&format!("Session-Expires: {}\r\n", MIN_SE_SECONDS - 1));
    let refusal = short.leg.session_interval_error().expect("a fault");
    assert_eq!(refusal.status, 422);
    assert!(String::from_utf8(refusal.encode()).expect("text").contains("Min-SE: 90"));
    assert!(CallerFixture::new("x: 90;refresher=uac\r\n").leg.session_interval_error().is_none());
}

#[test]
fn requests_within_a_call_get_their_status() {
    let mut caller_leg = CallerFixture::new("");
    assert_eq!(caller_leg.request_status("BYE", 8, "").0, 481, "no dialog yet");
    caller_leg.input(caller::Input::Accept("v=0\r\n"));
    assert_eq!(
        caller_leg.request_status("INVITE", 8, "").0,
        491,
        "the first INVITE transaction has not ended"
    );
    let mut confirmed = CallerFixture::accepted();
    assert_eq!(confirmed.request_status("INVITE", 8, "").0, 488);
    assert_eq!(confirmed.request_status("INFO", 9, "").0, 405);
    assert_eq!(confirmed.request_status("OPTIONS", 10, "").0, 200);
    assert_eq!(confirmed.request_status("BYE", 9, "").0, 500, "lower sequence number than the last request");
    let (status, out) = confirmed.request_status("BYE", 11, "");
    assert_eq!((status, out.last()), (200, Some(&caller::Output::Ended(EndReason::Bye))));
    assert_eq!(confirmed.request_status("BYE", 12, "").0, 481);
}

#[test]
fn cancelled_or_rejected_invite_gets_one_final_response() {
    let mut caller_leg = CallerFixture::new("");
    let out = caller_leg.input(caller::Input::Cancel);
    assert_eq!((answers(&out), out.last()), (vec![487], Some(&caller::Output::Cancelled)));
    assert!(caller_leg.input(caller::Input::Accept("v=0")).is_empty());
    let mut rejected = CallerFixture::new("");
    let rejection = rejected.input(caller::Input::Reject(503, Some(2)));
    let Some(caller::Output::RespondInvite(refusal)) = rejection.first() else { panic!("an answer") };
    assert!(String::from_utf8(refusal.encode()).expect("text").contains("Retry-After: 2"));
    assert!(rejected.input(caller::Input::Cancel).is_empty());
    let mut accepted = CallerFixture::accepted();
    assert!(
        matches!(&accepted.input(caller::Input::End)[..], [caller::Output::Send(bye)] if bye.method() == Method::Bye)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn no_call_is_left_at_a_server_in_any_order_of_events(
        steps in prop::collection::vec((0..9u8, 0..200_000u64), 1..30),
    ) {
        let mut callee = CalleeFixture::new();
        let (mut got_provisional, mut ended, mut cancels, mut ended_count, mut established, mut bye_pending) = (false, false, 0, 0, 0, false);
        for (kind, wait) in steps.into_iter().chain([(5, 0), (5, 0)]) {
            callee.now += wait;
            let (out, accepted) = match kind {
                0 => { got_provisional = true; (callee.response(100), false) }
                1 => { got_provisional = true; (callee.response(180), false) }
                2 | 3 => (callee.response(200), true),
                4 => (callee.response(486), false),
                5 => { ended = true; (callee.input(callee::Input::End), false) }
                6 => (callee.input(callee::Input::NoFinalResponse), false),
                7 => (callee.input(callee::Input::ByeCompleted), false),
                _ => (callee.input(callee::Input::Tick), false),
            };
            if accepted {
                prop_assert_eq!(methods(&out).iter().filter(|m| **m == Method::Ack).count(), 1, "each 2xx has its ACK");
            }
            for o in &out {
                match o {
                    callee::Output::Established(_) => { established += 1; bye_pending = true; prop_assert!(!ended, "established after being abandoned"); }
                    callee::Output::AttemptEnded(_) => ended_count += 1,
                    callee::Output::Send(r) if r.method() == Method::Cancel => { cancels += 1; prop_assert!(got_provisional); }
                    callee::Output::Send(r) if r.method() == Method::Bye => bye_pending = false,
                    _ => {}
                }
            }
        }
        prop_assert!(cancels <= 1 && ended_count + established <= 1, "{cancels} {ended_count} {established}");
        prop_assert!(!bye_pending, "a call is left at the server");
    }

    #[test]
    fn caller_gets_one_final_response_in_any_order_of_events(
        steps in prop::collection::vec((0..10u8, 0..40_000_000u64), 1..30),
    ) {
        let mut caller_leg = CallerFixture::new("");
        let mut finals = std::collections::BTreeSet::new();
        let (mut ended_count, mut seq, mut acked) = (0, 8, false);
        for (kind, wait) in steps {
            caller_leg.now += wait;
            let out = match kind {
                0 => caller_leg.input(caller::Input::Ringing),
                1 => caller_leg.input(caller::Input::Accept("v=0\r\n")),
                2 => caller_leg.input(caller::Input::Reject(503, Some(1))),
                3 => caller_leg.input(caller::Input::Cancel),
                4 => { let ack = caller_leg.request("ACK", 7, ""); let out = caller_leg.input(caller::Input::Ack(&ack)); acked |= !out.is_empty(); out }
                5 => { seq += 1; caller_leg.request_status("UPDATE", seq, "").1 }
                6 => { seq += 1; caller_leg.request_status("BYE", seq, "").1 }
                7 => caller_leg.input(caller::Input::End),
                _ => caller_leg.input(caller::Input::Tick),
            };
            for o in &out {
                match o {
                    caller::Output::RespondInvite(r) if r.status >= 200 => { finals.insert(r.status); prop_assert!(!acked); }
                    caller::Output::Ended(_) => ended_count += 1,
                    _ => {}
                }
            }
        }
        prop_assert!(finals.len() <= 1 && ended_count <= 1, "{finals:?} {ended_count}");
    }
}

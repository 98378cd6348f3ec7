//! The two legs of a call: towards a box, which is never left with one, and towards a caller, who is owed one answer.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use beechloft_session::api::Micros;
use beechloft_session::session::GRACE;
use beechloft_sip::callee::{self, BoxLeg};
use beechloft_sip::caller::{self, CallerLeg, MIN_SE, Why};
use beechloft_sip::dialog::{Local, Mint};
use beechloft_sip::message::{Message, Method, Request, Response};
use beechloft_sip::timer::TRIES;
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

fn local() -> Local {
    Local { transport: "UDP", sent_by: "127.0.0.1:5060".into() }
}

/// A response of a box, with a `Contact` if it is a 2xx.
fn from_box(status: u16) -> Response {
    let mut response = invite("").answer(status, "tb");
    if (200..300).contains(&status) {
        response.raw.headers.push(rsip::Header::Contact("<sip:box@127.0.0.1:5090>".into()));
        response.raw.body = b"v=0\r\n".to_vec();
    }
    response
}

struct Leg {
    leg: BoxLeg,
    mint: Mint,
    now: u64,
}

impl Leg {
    fn new() -> Self {
        Leg { leg: BoxLeg::new(invite(""), local()), mint: Mint::new(1), now: S }
    }

    fn input(&mut self, input: callee::In<'_>) -> Vec<callee::Out> {
        let mut out = Vec::new();
        self.leg.handle(Micros(self.now), input, &mut self.mint, &mut out);
        out
    }

    fn response(&mut self, status: u16) -> Vec<callee::Out> {
        self.input(callee::In::Response(&from_box(status)))
    }
}

fn methods(out: &[callee::Out]) -> Vec<Method> {
    let of = |o: &callee::Out| match o {
        callee::Out::Send(r) | callee::Out::Ack(r) => Some(r.method()),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

#[test]
fn a_call_is_set_up_acknowledged_and_ended() {
    let mut l = Leg::new();
    assert_eq!(l.response(180), [callee::Out::Rings(180)]);
    let out = l.response(200);
    assert_eq!(methods(&out), [Method::Ack]);
    assert!(out.contains(&callee::Out::Up(b"v=0\r\n".to_vec())));
    let Some(callee::Out::Ack(ack)) = out.first() else { panic!("an ACK") };
    assert_eq!((ack.names.seq, ack.names.to_tag.as_deref()), (7, Some("tb")));
    assert_ne!(ack.names.branch, "z9hG4bKa", "the ACK of a 2xx is a transaction of its own");
    let text = String::from_utf8(ack.encode()).expect("text");
    assert!(text.starts_with("ACK sip:box@127.0.0.1:5090 SIP/2.0\r\n"), "{text}");
    let routes: Vec<&str> = text.lines().filter(|l| l.starts_with("Route:")).collect();
    assert_eq!(routes, ["Route: <sip:p2.example.org;lr>", "Route: <sip:p1.example.org;lr>"], "reversed");
    assert_eq!(methods(&l.response(200)), [Method::Ack], "the ACK was lost");
    let out = l.input(callee::In::End);
    let Some(callee::Out::Send(bye)) = out.first() else { panic!("a BYE") };
    assert_eq!((bye.method(), bye.names.seq), (Method::Bye, 8));
    assert!(l.input(callee::In::End).is_empty(), "once");
    assert_eq!(l.input(callee::In::ByeDone), [callee::Out::Gone]);
}

#[test]
fn an_attempt_is_cancelled_as_soon_as_it_may_be_and_over_with_its_final_response() {
    let mut l = Leg::new();
    assert!(l.input(callee::In::End).is_empty(), "not before a provisional response");
    assert_eq!(methods(&l.response(100)), [Method::Cancel]);
    assert!(l.response(180).is_empty(), "one CANCEL is enough");
    assert_eq!(l.response(487), [callee::Out::Over(None), callee::Out::Gone]);
    assert_eq!(l.leg.next_due(), None);
}

#[test]
fn a_2xx_after_the_cancel_is_acknowledged_and_ended() {
    let mut l = Leg::new();
    l.response(180);
    assert_eq!(methods(&l.input(callee::In::End)), [Method::Cancel]);
    let out = l.response(200);
    assert_eq!(methods(&out), [Method::Ack, Method::Bye]);
    assert!(out.contains(&callee::Out::Over(None)));
    assert_eq!(methods(&l.response(200)), [Method::Ack]);
    assert_eq!(l.input(callee::In::ByeDone), [callee::Out::Gone]);
    assert_eq!(methods(&l.response(200)), [Method::Ack], "even then, so that the box stops repeating it");
}

#[test]
fn an_unwanted_2xx_whose_address_makes_no_request_leaves_no_leg_behind() {
    let mut l = Leg::new();
    l.input(callee::In::End);
    let mut ok = from_box(200);
    ok.raw.headers.retain(|h| !matches!(h, rsip::Header::Contact(_)));
    ok.raw.headers.push(rsip::Header::Contact("<box.example.org>".into()));
    let out = l.input(callee::In::Response(&ok));
    assert!(out.contains(&callee::Out::Gone) && out.contains(&callee::Out::Over(None)), "{out:?}");
    assert!(l.leg.is_gone() && l.leg.next_due().is_none());
}

#[test]
fn a_box_that_stands_still_costs_the_grace_and_what_it_does_later_is_undone() {
    let mut l = Leg::new();
    l.input(callee::In::End);
    assert_eq!(l.leg.next_due(), Some(Micros(S) + GRACE));
    l.now += GRACE.0;
    assert_eq!(l.input(callee::In::Tick), [callee::Out::Close, callee::Out::Over(None)]);
    l.now += 10 * S;
    let out = l.response(200);
    assert_eq!(methods(&out), [Method::Ack, Method::Bye]);
    assert!(!out.iter().any(|o| matches!(o, callee::Out::Over(_))), "it was over already");
    let mut l = Leg::new();
    l.input(callee::In::End);
    l.now += GRACE.0;
    l.input(callee::In::Tick);
    l.now += TRIES.0;
    assert_eq!(l.input(callee::In::Tick), [callee::Out::Gone]);
}

#[test]
fn refusals_lost_connections_and_the_boxs_own_bye_end_the_leg() {
    let mut l = Leg::new();
    assert_eq!(l.response(503), [callee::Out::Over(Some(503)), callee::Out::Gone]);
    let mut l = Leg::new();
    assert_eq!(l.input(callee::In::Lost), [callee::Out::Over(None)]);
    let mut l = Leg::new();
    l.response(200);
    assert_eq!(l.input(callee::In::Bye), [callee::Out::HungUp, callee::Out::Gone]);
    // A 2xx that names no address can't be acknowledged: its connection goes.
    let mut l = Leg::new();
    let nowhere = invite("").answer(200, "tb");
    let out = l.input(callee::In::Response(&nowhere));
    assert_eq!(out, [callee::Out::Close, callee::Out::Over(Some(500)), callee::Out::Gone]);
}

struct Caller {
    leg: CallerLeg,
    mint: Mint,
    now: u64,
}

impl Caller {
    fn new(more: &str) -> Self {
        let mut mint = Mint::new(2);
        let leg = CallerLeg::new(invite(more), local(), &mut mint).expect("a leg");
        Caller { leg, mint, now: S }
    }

    fn input(&mut self, input: caller::In<'_>) -> Vec<caller::Out> {
        let mut out = Vec::new();
        self.leg.handle(Micros(self.now), input, &mut self.mint, &mut out);
        out
    }

    /// A request of the caller within the dialog.
    fn request(&self, method: &str, seq: u32, more: &str) -> Request {
        parse(&format!(
            "{method} sip:127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKr{seq}{method}\r\n\
             Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=fa\r\nTo: <sip:stall@example.org>;tag={}\r\n\
             Call-ID: c1@example.org\r\nCSeq: {seq} {method}\r\nContact: <sip:a@127.0.0.1:5070>\r\n{more}Content-Length: 0\r\n\r\n",
            self.leg.tag()
        ))
    }

    fn told(&mut self, method: &str, seq: u32, more: &str) -> (u16, Vec<caller::Out>) {
        let request = self.request(method, seq, more);
        let out = self.input(caller::In::Request(&request));
        let status =
            out.iter().find_map(|o| if let caller::Out::Answer(r) = o { Some(r.status) } else { None });
        (status.unwrap_or(0), out)
    }

    fn accepted() -> Caller {
        let mut c = Caller::new("");
        assert_eq!(answers(&c.input(caller::In::Accept("v=0\r\n"))), [200]);
        let ack = c.request("ACK", 7, "");
        assert_eq!(c.input(caller::In::Ack(&ack)), [caller::Out::Confirmed]);
        c
    }
}

fn answers(out: &[caller::Out]) -> Vec<u16> {
    out.iter()
        .filter_map(|o| if let caller::Out::AnswerInvite(r) = o { Some(r.status) } else { None })
        .collect()
}

#[test]
fn an_answer_is_given_once_and_a_2xx_repeated_until_its_ack() {
    let mut c = Caller::new("");
    assert_eq!(answers(&c.input(caller::In::Ring)), [180]);
    let out = c.input(caller::In::Accept("v=0\r\n"));
    let Some(caller::Out::AnswerInvite(ok)) = out.first() else { panic!("an answer") };
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
        c.input(caller::In::Refuse(503, None)).is_empty() && c.input(caller::In::Accept("v=0")).is_empty()
    );
    let mut repeats = 0;
    while let Some(at) = c.leg.next_due().filter(|t| t.0 < 11 * S) {
        c.now = at.0;
        repeats += answers(&c.input(caller::In::Tick)).len();
    }
    assert_eq!(repeats, 4, "at 0.5, 1.5, 3.5 and 7.5 s");
    let foreign = parse(
        &String::from_utf8(c.request("ACK", 7, "").encode()).expect("text").replace("tag=fa", "tag=xx"),
    );
    assert!(c.input(caller::In::Ack(&foreign)).is_empty());
    let ack = c.request("ACK", 7, "");
    assert_eq!(c.input(caller::In::Ack(&ack)), [caller::Out::Confirmed]);
    assert!(c.input(caller::In::Ack(&ack)).is_empty());
}

#[test]
fn a_caller_that_never_acknowledges_is_hung_up() {
    let mut c = Caller::new("");
    c.input(caller::In::Accept("v=0\r\n"));
    c.now += TRIES.0;
    let out = c.input(caller::In::Tick);
    assert!(
        matches!(&out[..], [caller::Out::Send(bye), caller::Out::Over(Why::NoAck)] if bye.method() == Method::Bye)
    );
}

#[test]
fn a_caller_that_vanishes_is_noticed_by_the_session_timer() {
    let mut c = Caller::accepted();
    c.now += 100 * S;
    assert_eq!(c.told("UPDATE", 8, "").0, 200, "a refresh");
    c.now += 179 * S;
    assert!(c.input(caller::In::Tick).is_empty());
    c.now += S;
    let out = c.input(caller::In::Tick);
    assert!(matches!(&out[..], [caller::Out::Send(_), caller::Out::Over(Why::Expired)]));
    // An interval that is too short is refused with the shortest.
    let short = Caller::new(&format!("Session-Expires: {}\r\n", MIN_SE - 1));
    let refusal = short.leg.session_fault().expect("a fault");
    assert_eq!(refusal.status, 422);
    assert!(String::from_utf8(refusal.encode()).expect("text").contains("Min-SE: 90"));
    assert!(Caller::new("x: 90;refresher=uac\r\n").leg.session_fault().is_none());
}

#[test]
fn requests_within_a_call_get_the_status_that_fits() {
    let mut c = Caller::new("");
    assert_eq!(c.told("BYE", 8, "").0, 481, "no dialog yet");
    c.input(caller::In::Accept("v=0\r\n"));
    assert_eq!(c.told("INVITE", 8, "").0, 491, "the first has not ended");
    let mut c = Caller::accepted();
    assert_eq!(c.told("INVITE", 8, "").0, 488);
    assert_eq!(c.told("INFO", 9, "").0, 405);
    assert_eq!(c.told("OPTIONS", 10, "").0, 200);
    assert_eq!(c.told("BYE", 9, "").0, 500, "after a later one");
    let (status, out) = c.told("BYE", 11, "");
    assert_eq!((status, out.last()), (200, Some(&caller::Out::Over(Why::Bye))));
    assert_eq!(c.told("BYE", 12, "").0, 481);
}

#[test]
fn a_cancelled_or_refused_invite_gets_its_one_answer() {
    let mut c = Caller::new("");
    let out = c.input(caller::In::Cancel);
    assert_eq!((answers(&out), out.last()), (vec![487], Some(&caller::Out::Cancelled)));
    assert!(c.input(caller::In::Accept("v=0")).is_empty());
    let mut c = Caller::new("");
    let out = c.input(caller::In::Refuse(503, Some(2)));
    let Some(caller::Out::AnswerInvite(refusal)) = out.first() else { panic!("an answer") };
    assert!(String::from_utf8(refusal.encode()).expect("text").contains("Retry-After: 2"));
    assert!(c.input(caller::In::Cancel).is_empty());
    let mut c = Caller::accepted();
    assert!(matches!(&c.input(caller::In::End)[..], [caller::Out::Send(bye)] if bye.method() == Method::Bye));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(12), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn over_any_order_of_events_a_box_is_never_left_with_a_call(
        steps in prop::collection::vec((0..9u8, 0..200_000u64), 1..30),
    ) {
        let mut l = Leg::new();
        let (mut tried, mut ended, mut cancels, mut overs, mut ups, mut owes_bye) = (false, false, 0, 0, 0, false);
        for (kind, wait) in steps.into_iter().chain([(5, 0), (5, 0)]) {
            l.now += wait;
            let (out, accepted) = match kind {
                0 => { tried = true; (l.response(100), false) }
                1 => { tried = true; (l.response(180), false) }
                2 | 3 => (l.response(200), true),
                4 => (l.response(486), false),
                5 => { ended = true; (l.input(callee::In::End), false) }
                6 => (l.input(callee::In::Lost), false),
                7 => (l.input(callee::In::ByeDone), false),
                _ => (l.input(callee::In::Tick), false),
            };
            if accepted {
                prop_assert_eq!(methods(&out).iter().filter(|m| **m == Method::Ack).count(), 1, "each 2xx has its ACK");
            }
            for o in &out {
                match o {
                    callee::Out::Up(_) => { ups += 1; owes_bye = true; prop_assert!(!ended, "up though given up"); }
                    callee::Out::Over(_) => overs += 1,
                    callee::Out::Send(r) if r.method() == Method::Cancel => { cancels += 1; prop_assert!(tried); }
                    callee::Out::Send(r) if r.method() == Method::Bye => owes_bye = false,
                    _ => {}
                }
            }
        }
        prop_assert!(cancels <= 1 && overs + ups <= 1, "{cancels} {overs} {ups}");
        prop_assert!(!owes_bye, "left with a call");
    }

    #[test]
    fn over_any_order_of_events_a_caller_has_one_final_answer(
        steps in prop::collection::vec((0..10u8, 0..40_000_000u64), 1..30),
    ) {
        let mut c = Caller::new("");
        let mut finals = std::collections::BTreeSet::new();
        let (mut overs, mut seq, mut acked) = (0, 8, false);
        for (kind, wait) in steps {
            c.now += wait;
            let out = match kind {
                0 => c.input(caller::In::Ring),
                1 => c.input(caller::In::Accept("v=0\r\n")),
                2 => c.input(caller::In::Refuse(503, Some(1))),
                3 => c.input(caller::In::Cancel),
                4 => { let ack = c.request("ACK", 7, ""); let out = c.input(caller::In::Ack(&ack)); acked |= !out.is_empty(); out }
                5 => { seq += 1; c.told("UPDATE", seq, "").1 }
                6 => { seq += 1; c.told("BYE", seq, "").1 }
                7 => c.input(caller::In::End),
                _ => c.input(caller::In::Tick),
            };
            for o in &out {
                match o {
                    caller::Out::AnswerInvite(r) if r.status >= 200 => { finals.insert(r.status); prop_assert!(!acked); }
                    caller::Out::Over(_) => overs += 1,
                    _ => {}
                }
            }
        }
        prop_assert!(finals.len() <= 1 && overs <= 1, "{finals:?} {overs}");
    }
}

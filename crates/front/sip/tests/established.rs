//! Tests of an established call at a media server: one UPDATE at a time, the newest offer, and detection of its end.

use beechloft_session::api::Micros;
use beechloft_sip::dialog::{Dialog, IdGenerator, LocalEndpoint};
use beechloft_sip::established::{CallStatus, EstablishedCall};
use beechloft_sip::message::{Message, Request, Response};
use beechloft_sip::transaction::Layer;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;

fn local() -> LocalEndpoint {
    LocalEndpoint { transport: "TCP", sent_by: "127.0.0.1:5060".into() }
}

struct Fixture {
    call: EstablishedCall,
    id_generator: IdGenerator,
    now: u64,
}

impl Fixture {
    fn new(expires: &str) -> Fixture {
        Fixture::at("<sip:box@127.0.0.1:9000>", expires)
    }

    fn at(contact: &str, expires: &str) -> Fixture {
        let invite = "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a:1;branch=z9hG4bK1\r\nFrom: <sip:c@d>;tag=1\r\nTo: <sip:a@b>\r\n\
                      Call-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n";
        let Ok(Message::Request(invite)) = Message::parse(invite.as_bytes()) else { panic!("an INVITE") };
        let mut ok = invite.response(200, "tb");
        ok.raw.headers.push(rsip::Header::Contact(contact.into()));
        if !expires.is_empty() {
            ok.raw.headers.push(rsip::Header::Other("Session-Expires".into(), expires.into()));
        }
        let dialog = Dialog::as_client(&invite, &ok).expect("a dialog");
        let now = 100 * S;
        Fixture {
            call: EstablishedCall::new(Micros(now), dialog, &ok),
            id_generator: IdGenerator::new(1),
            now,
        }
    }

    fn next_update(&mut self) -> Option<Request> {
        self.call.next_update(Micros(self.now), &local(), &mut self.id_generator)
    }

    fn change_offer(&mut self, offer: &str) -> Option<Request> {
        self.call.change_offer(Micros(self.now), offer);
        self.next_update()
    }

    fn answer(&mut self, update: &Request, status: u16, more: Option<rsip::Header>) -> CallStatus {
        let mut answer: Response = update.response(status, "");
        answer.raw.headers.extend(more.into_iter().collect());
        self.call.update_answered(
            Micros(self.now),
            &Layer::key_of(update),
            Some(&answer),
            &mut self.id_generator,
        )
    }

    fn seconds_until_due(&self) -> Option<f64> {
        self.call.next_due().map(|at| (at.0 as f64 - self.now as f64) / S as f64)
    }
}

fn body(update: &Request) -> String {
    String::from_utf8(update.raw.body.clone()).expect("text")
}

#[test]
fn sends_one_update_at_a_time_with_the_newest_offer() {
    let mut fixture = Fixture::new("180;refresher=uac");
    let first = fixture.change_offer("v=1\r\n").expect("an UPDATE");
    assert_eq!(body(&first), "v=1\r\n");
    assert!(
        fixture.change_offer("v=2\r\n").is_none() && fixture.change_offer("v=3\r\n").is_none(),
        "one UPDATE is outstanding"
    );
    assert_eq!(fixture.answer(&first, 200, None), CallStatus::Active);
    let second = fixture.next_update().expect("the next");
    assert_eq!((body(&second).as_str(), second.ids.seq), ("v=3\r\n", first.ids.seq + 1));
    assert!(
        String::from_utf8(second.encode()).expect("text").contains("Session-Expires: 180;refresher=uac\r\n")
    );
    assert_eq!(fixture.answer(&second, 488, None), CallStatus::Active);
    assert!(fixture.next_update().is_none(), "a rejected offer is not sent again");
}

#[test]
fn crossed_update_is_retried_unless_a_newer_offer_replaces_it() {
    let mut fixture = Fixture::new("");
    let first = fixture.change_offer("v=1\r\n").expect("an UPDATE");
    fixture.answer(&first, 491, None);
    let wait = fixture.seconds_until_due().expect("a time");
    assert!((2.1..4.0).contains(&wait), "{wait}");
    fixture.now += 4 * S;
    let again = fixture.next_update().expect("again");
    assert_eq!(body(&again), "v=1\r\n");
    let after = rsip::Header::RetryAfter("7".to_owned().into());
    fixture.answer(&again, 500, Some(after));
    assert_eq!(fixture.seconds_until_due(), Some(7.0), "as in Retry-After");
    assert_eq!(
        fixture.change_offer("v=2\r\n").map(|u| body(&u)),
        Some("v=2\r\n".into()),
        "a newer offer is sent immediately"
    );
}

#[test]
fn invalid_contact_stops_all_updates() {
    let mut fixture = Fixture::at("<box.example.org>", "");
    assert!(fixture.change_offer("v=1\r\n").is_none());
    assert_eq!(fixture.seconds_until_due(), None, "a time that is always due would loop forever");
    fixture.now += 100 * S;
    assert!(fixture.next_update().is_none());
}

#[test]
fn refreshes_at_half_the_session_interval() {
    for (expires, seconds) in [("", 90.0), ("120;refresher=uac", 60.0), ("20", 45.0), ("4000000000", 90.0)] {
        let mut fixture = Fixture::new(expires);
        assert_eq!(fixture.seconds_until_due(), Some(seconds), "{expires}");
        fixture.now += 90 * S;
        let refresh = fixture.next_update().expect("a refresh");
        assert!(refresh.raw.body.is_empty());
    }
}

#[test]
fn distinguishes_a_lost_call_from_missing_update_support() {
    let status = |status: u16| {
        let mut fixture = Fixture::new("");
        let update = fixture.change_offer("v=1\r\n").expect("an UPDATE");
        (fixture.answer(&update, status, None), fixture.seconds_until_due())
    };
    assert_eq!(status(481).0, CallStatus::Terminated);
    assert_eq!(status(408).0, CallStatus::Terminated);
    assert_eq!(status(405), (CallStatus::Active, None), "no further UPDATE");
    assert_eq!(status(501), (CallStatus::Active, None));
    assert_eq!(status(488), (CallStatus::Active, Some(90.0)));
    let mut fixture = Fixture::new("");
    let update = fixture.change_offer("v=1\r\n").expect("an UPDATE");
    let key = Layer::key_of(&update);
    assert_eq!(
        fixture.call.update_answered(Micros(fixture.now), &key, None, &mut fixture.id_generator),
        CallStatus::Terminated,
        "no response"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of events there is at most one outstanding UPDATE, and in the end the media server has the newest offer
    /// that it didn't reject.
    #[test]
    fn delivers_the_newest_offer_with_one_update_at_a_time(steps in prop::collection::vec((0..8u8, 0..5_000_000u64), 1..40)) {
        let mut fixture = Fixture::new("");
        let (mut out, mut at_server, mut newest, mut n): (Option<Request>, _, _, _) = (None, String::new(), String::new(), 0);
        for (kind, wait) in steps {
            fixture.now += wait;
            match kind {
                0 | 1 => {
                    n += 1;
                    newest = format!("v={n}\r\n");
                    fixture.call.change_offer(Micros(fixture.now), &newest);
                }
                2 => fixture.call.connection_lost(Micros(fixture.now), &mut fixture.id_generator),
                3..=5 => if let Some(update) = out.take() {
                    let status = [200, 491, 500][usize::from(kind) - 3];
                    if status == 200 && !update.raw.body.is_empty() { at_server = body(&update); }
                    prop_assert_eq!(fixture.answer(&update, status, None), CallStatus::Active);
                },
                _ => {}
            }
            if let Some(update) = fixture.next_update() {
                prop_assert!(out.is_none(), "two outstanding updates");
                out = Some(update);
            }
        }
        for _ in 0..4 {
            if let Some(update) = out.take() {
                if !update.raw.body.is_empty() { at_server = body(&update); }
                fixture.answer(&update, 200, None);
            }
            fixture.now += 5 * S;
            out = fixture.next_update();
        }
        prop_assert_eq!(at_server, newest);
    }
}

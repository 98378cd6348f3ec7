//! What is asked of a box while a call stands: one UPDATE at a time, the newest rung, and an end that is noticed.

use beechloft_session::api::Micros;
use beechloft_sip::dialog::{Dialog, Local, Mint};
use beechloft_sip::message::{Message, Request, Response};
use beechloft_sip::standing::{Means, Standing};
use beechloft_sip::transaction::Layer;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000;

fn local() -> Local {
    Local { transport: "TCP", sent_by: "127.0.0.1:5060".into() }
}

struct Call {
    standing: Standing,
    mint: Mint,
    now: u64,
}

impl Call {
    fn new(expires: &str) -> Call {
        Call::at("<sip:box@127.0.0.1:9000>", expires)
    }

    fn at(contact: &str, expires: &str) -> Call {
        let invite = "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a:1;branch=z9hG4bK1\r\nFrom: <sip:c@d>;tag=1\r\nTo: <sip:a@b>\r\n\
                      Call-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n";
        let Ok(Message::Request(invite)) = Message::parse(invite.as_bytes()) else { panic!("an INVITE") };
        let mut ok = invite.answer(200, "tb");
        ok.raw.headers.push(rsip::Header::Contact(contact.into()));
        if !expires.is_empty() {
            ok.raw.headers.push(rsip::Header::Other("Session-Expires".into(), expires.into()));
        }
        let dialog = Dialog::as_client(&invite, &ok).expect("a dialog");
        let now = 100 * S;
        Call { standing: Standing::new(Micros(now), dialog, &ok), mint: Mint::new(1), now }
    }

    fn due(&mut self) -> Option<Request> {
        self.standing.due(Micros(self.now), &local(), &mut self.mint)
    }

    fn change(&mut self, offer: &str) -> Option<Request> {
        self.standing.change(Micros(self.now), offer);
        self.due()
    }

    fn answered(&mut self, update: &Request, status: u16, more: Option<rsip::Header>) -> Means {
        let mut answer: Response = update.answer(status, "");
        answer.raw.headers.extend(more.into_iter().collect());
        self.standing.answered(Micros(self.now), &Layer::key_of(update), Some(&answer), &mut self.mint)
    }

    fn wait_s(&self) -> Option<f64> {
        self.standing.next_due().map(|at| (at.0 as f64 - self.now as f64) / S as f64)
    }
}

fn body(update: &Request) -> String {
    String::from_utf8(update.raw.body.clone()).expect("text")
}

#[test]
fn one_update_at_a_time_and_the_newest_rung_of_those_that_wait() {
    let mut c = Call::new("180;refresher=uac");
    let first = c.change("v=1\r\n").expect("an UPDATE");
    assert_eq!(body(&first), "v=1\r\n");
    assert!(c.change("v=2\r\n").is_none() && c.change("v=3\r\n").is_none(), "one is out");
    assert_eq!(c.answered(&first, 200, None), Means::Stands);
    let second = c.due().expect("the next");
    assert_eq!((body(&second).as_str(), second.names.seq), ("v=3\r\n", first.names.seq + 1));
    assert!(
        String::from_utf8(second.encode()).expect("text").contains("Session-Expires: 180;refresher=uac\r\n")
    );
    assert_eq!(c.answered(&second, 488, None), Means::Stands);
    assert!(c.due().is_none(), "what the box does not want is not asked again");
}

#[test]
fn what_crossed_is_sent_again_after_a_while_unless_a_newer_one_is_wanted() {
    let mut c = Call::new("");
    let first = c.change("v=1\r\n").expect("an UPDATE");
    c.answered(&first, 491, None);
    let wait = c.wait_s().expect("a time");
    assert!((2.1..4.0).contains(&wait), "{wait}");
    c.now += 4 * S;
    let again = c.due().expect("again");
    assert_eq!(body(&again), "v=1\r\n");
    let after = rsip::Header::RetryAfter("7".to_owned().into());
    c.answered(&again, 500, Some(after));
    assert_eq!(c.wait_s(), Some(7.0), "as the box said");
    assert_eq!(c.change("v=2\r\n").map(|u| body(&u)), Some("v=2\r\n".into()), "a newer one does not wait");
}

#[test]
fn a_box_whose_address_makes_no_request_is_asked_nothing_and_never_again() {
    let mut c = Call::at("<box.example.org>", "");
    assert!(c.change("v=1\r\n").is_none());
    assert_eq!(c.wait_s(), None, "a time that is always due would never be over");
    c.now += 100 * S;
    assert!(c.due().is_none());
}

#[test]
fn refreshes_come_at_half_of_what_the_box_allows() {
    for (expires, seconds) in [("", 90.0), ("120;refresher=uac", 60.0), ("20", 45.0), ("4000000000", 90.0)] {
        let mut c = Call::new(expires);
        assert_eq!(c.wait_s(), Some(seconds), "{expires}");
        c.now += 90 * S;
        let refresh = c.due().expect("a refresh");
        assert!(refresh.raw.body.is_empty());
    }
}

#[test]
fn a_call_that_is_gone_is_told_from_a_box_that_knows_no_update() {
    let status = |status: u16| {
        let mut c = Call::new("");
        let update = c.change("v=1\r\n").expect("an UPDATE");
        (c.answered(&update, status, None), c.wait_s())
    };
    assert_eq!(status(481).0, Means::Gone);
    assert_eq!(status(408).0, Means::Gone);
    assert_eq!(status(405), (Means::Stands, None), "it is never asked again");
    assert_eq!(status(501), (Means::Stands, None));
    assert_eq!(status(488), (Means::Stands, Some(90.0)));
    let mut c = Call::new("");
    let update = c.change("v=1\r\n").expect("an UPDATE");
    let key = Layer::key_of(&update);
    assert_eq!(c.standing.answered(Micros(c.now), &key, None, &mut c.mint), Means::Gone, "no answer at all");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: never two UPDATEs out, and in the end the box has the newest rung that it
    /// did not turn down.
    #[test]
    fn never_two_out_and_the_newest_rung_in_the_end(steps in prop::collection::vec((0..8u8, 0..5_000_000u64), 1..40)) {
        let mut c = Call::new("");
        let (mut out, mut at_box, mut wanted, mut n): (Option<Request>, _, _, _) = (None, String::new(), String::new(), 0);
        for (kind, wait) in steps {
            c.now += wait;
            match kind {
                0 | 1 => {
                    n += 1;
                    wanted = format!("v={n}\r\n");
                    c.standing.change(Micros(c.now), &wanted);
                }
                2 => c.standing.broken(Micros(c.now), &mut c.mint),
                3..=5 => if let Some(update) = out.take() {
                    let status = [200, 491, 500][usize::from(kind) - 3];
                    if status == 200 && !update.raw.body.is_empty() { at_box = body(&update); }
                    prop_assert_eq!(c.answered(&update, status, None), Means::Stands);
                },
                _ => {}
            }
            if let Some(update) = c.due() {
                prop_assert!(out.is_none(), "two out");
                out = Some(update);
            }
        }
        for _ in 0..4 {
            if let Some(update) = out.take() {
                if !update.raw.body.is_empty() { at_box = body(&update); }
                c.answered(&update, 200, None);
            }
            c.now += 5 * S;
            out = c.due();
        }
        prop_assert_eq!(at_box, wanted);
    }
}

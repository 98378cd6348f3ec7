//! The hard cases one by one.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use std::sync::Arc;

use beechloft_session::api::*;
use beechloft_session::io::*;
use beechloft_session::session::{GRACE, OVERDUE};
use beechloft_session::watch::LOST_AFTER;
use support::*;

#[test]
fn a_session_is_set_up_and_plays_and_ends() {
    let mut f = Front::new(1);
    let (attempt, server, _) = set_up(&f.ask(1, "title-1")).expect("a set-up");
    assert!([1, 3].contains(&server.0), "only holders are asked");
    let out = f.accept(attempt, server);
    assert!(matches!(replies(&out)[..], [Answer::Playing { .. }]));
    let out = f.input(Input::Delete { request: RequestId(50), session: SessionId(1), secret: Secret(7) });
    assert!(matches!(replies(&out)[..], [Answer::Deleted]));
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn unknown_titles_and_empty_holders_are_answered_at_once() {
    let mut f = Front::new(1);
    assert!(matches!(replies(&f.ask(1, "nothing"))[..], [Answer::NoTitle]));
    assert!(matches!(replies(&f.ask(2, "title-2"))[..], [Answer::Refused(Some(_))]));
    let mut young = Front { core: beechloft_session::Core::new(settings(), 1), now: S, log: vec![] };
    assert!(matches!(replies(&young.ask(1, "title-0"))[..], [Answer::Refused(Some(_))]), "no list yet");
}

#[test]
fn an_answer_after_the_drop_is_undone_and_the_next_attempt_waits_for_the_end_of_the_first() {
    let mut f = Front::new(1);
    let (attempt, server, until) = set_up(&f.ask(1, "title-0")).expect("a set-up");
    f.now = until;
    assert!(set_up(&f.input(Input::Tick)).is_none(), "dropped is not over");
    f.now += GRACE.0 / 2;
    let out =
        f.verdict(attempt, server, Verdict::Undone { resource: "/late".into(), outcome: Outcome::Timeout });
    assert_eq!(released(&out), ["/late"]);
    let (again, elsewhere, _) = set_up(&out).expect("a further attempt");
    assert_eq!(again.number, 1);
    assert_ne!(elsewhere, server);
}

#[test]
fn a_session_accepted_for_a_viewer_who_left_is_undone() {
    let mut f = Front::new(1);
    let (attempt, server, _) = set_up(&f.ask(1, "title-0")).expect("a set-up");
    let out = f.input(Input::HungUp(SessionId(1)));
    assert!(out.contains(&Output::Cancel(attempt)) && replies(&out).is_empty());
    let out = f.accept(attempt, server);
    assert!(replies(&out).is_empty());
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn an_answer_that_crossed_the_hang_up_is_undone() {
    let mut f = Front::new(1);
    f.play(1, "title-0");
    assert_eq!(released(&f.input(Input::HungUp(SessionId(1)))), ["/r/1-0"]);
    f.play(2, "title-0");
    assert_eq!(released(&f.input(Input::AnswerLost(SessionId(2)))), ["/r/2-0"]);
    assert!(released(&f.input(Input::AnswerLost(SessionId(2)))).is_empty(), "once");
}

#[test]
fn a_verdict_told_twice_neither_ends_nor_doubles_what_plays() {
    let mut f = Front::new(1);
    let (attempt, server, _) = set_up(&f.ask(1, "title-0")).expect("a set-up");
    f.accept(attempt, server);
    assert!(f.accept(attempt, server).is_empty());
    let other = Verdict::Accepted { resource: "/other".into(), reply: Arc::default() };
    assert_eq!(released(&f.verdict(attempt, server, other)), ["/other"], "nobody's");
}

#[test]
fn a_shell_that_forgets_an_attempt_does_not_cost_the_viewer_the_answer() {
    let mut f = Front::new(1);
    let (attempt, server, until) = set_up(&f.ask(1, "title-0")).expect("a set-up");
    f.now = until + GRACE.0 + OVERDUE.0;
    assert!(matches!(replies(&f.input(Input::Tick))[..], [Answer::Failed]));
    // Its late end is still heard, and what it brought is undone.
    assert_eq!(released(&f.accept(attempt, server)), ["/r/1-0"]);
}

#[test]
fn the_same_offer_again_gets_the_same_session_or_is_told_to_wait() {
    let mut f = Front::new(1);
    let first = Ask { repeat: Some(RepeatKey(1, 2)), ..ask(1, "title-0") };
    let second = Ask { repeat: first.repeat, ..ask(2, "title-0") };
    let (attempt, server, _) = set_up(&f.input(Input::Ask(first))).expect("a set-up");
    assert!(matches!(replies(&f.input(Input::Ask(second.clone())))[..], [Answer::Busy]));
    f.accept(attempt, server);
    let third = Ask { request: RequestId(3), session: SessionId(3), ..second };
    let out = f.input(Input::Ask(third));
    assert!(matches!(replies(&out)[..], [Answer::Playing { session: SessionId(1), .. }]));
    assert!(set_up(&out).is_none(), "nothing new is set up");
    f.input(Input::Delete { request: RequestId(9), session: SessionId(1), secret: Secret(7) });
    let fourth = Ask { repeat: Some(RepeatKey(1, 2)), ..ask(4, "title-0") };
    assert!(set_up(&f.input(Input::Ask(fourth))).is_some(), "over: it is a new wish");
}

#[test]
fn nothing_goes_to_a_box_once_its_drain_is_known() {
    let mut f = Front::new(1);
    f.input(Input::List(change(vec![line(1, EndpointState::Draining), line(3, EndpointState::Removed)])));
    assert!(matches!(replies(&f.ask(1, "title-1"))[..], [Answer::Refused(_)]));
    // Named twice, the least ready state holds.
    f.input(Input::List(change(vec![line(3, EndpointState::Ready), line(3, EndpointState::Draining)])));
    assert!(matches!(replies(&f.ask(2, "title-1"))[..], [Answer::Refused(_)]));
}

#[test]
fn losing_the_list_never_empties_it() {
    let mut f = Front::new(1);
    for n in [4, 5] {
        f.input(Input::List(list_change(n)));
        assert_eq!(f.core.catalog().boxes().count(), 4);
        assert!(set_up(&f.ask(u64::from(n), "title-0")).is_some());
    }
}

#[test]
fn a_lost_box_ends_its_sessions_at_once() {
    let mut f = Front::new(1);
    let server = f.play(1, "title-0");
    f.input(Input::Box(server, BoxNews::Hello { boot: 1 }));
    assert!(f.input(Input::Box(server, BoxNews::Broken)).is_empty(), "media may still flow");
    assert!(f.input(Input::Box(server, BoxNews::Hello { boot: 1 })).is_empty());
    let out = f.input(Input::Box(server, BoxNews::Hello { boot: 2 }));
    assert!(out.contains(&Output::Over(SessionId(1), Why::Lost)) && released(&out).is_empty());

    let server = f.play(2, "title-0");
    let out = f.input(Input::Box(server, BoxNews::Refused));
    assert!(out.contains(&Output::Over(SessionId(2), Why::Lost)));
}

#[test]
fn a_box_out_of_reach_is_lost_after_a_while_and_what_it_may_still_run_is_released() {
    let mut f = Front::new(1);
    let server = f.play(1, "title-0");
    f.input(Input::Box(server, BoxNews::Broken));
    f.now += LOST_AFTER.0;
    let out = f.input(Input::Tick);
    assert!(out.contains(&Output::Over(SessionId(1), Why::Lost)));
    assert_eq!(released(&out), ["/r/1-0"]);
}

#[test]
fn a_box_off_the_list_is_watched_until_its_last_session_is_over() {
    let mut f = Front::new(1);
    let server = f.play(1, "title-0");
    let gone = change(vec![line(server.0, EndpointState::Removed)]);
    assert!(!f.input(Input::List(gone)).contains(&Output::Unwatch(server)));
    let out = f.input(Input::Box(server, BoxNews::Over { resource: "/r/1-0".into() }));
    assert!(out.contains(&Output::Over(SessionId(1), Why::Box)) && out.contains(&Output::Unwatch(server)));
}

#[test]
fn a_front_that_stops_takes_nothing_new_and_answers_what_it_took() {
    let mut f = Front::new(1);
    let (attempt, server, _) = set_up(&f.ask(1, "title-0")).expect("a set-up");
    f.input(Input::Stop);
    assert!(matches!(replies(&f.ask(2, "title-0"))[..], [Answer::Refused(_)]));
    assert!(!f.core.is_idle());
    assert!(matches!(replies(&f.accept(attempt, server))[..], [Answer::Playing { .. }]));
    assert!(f.core.is_idle());
}

#[test]
fn a_cap_on_the_rate_holds_the_rung_down() {
    let mut f = Front::new(1);
    let capped = Ask { max_rate_kb: Some(460.0), ..ask(1, "title-0") };
    let out = f.input(Input::Ask(capped));
    let Some(Output::SetUp { rung, rate_kb, .. }) = out.iter().find(|o| matches!(o, Output::SetUp { .. }))
    else {
        panic!("no set-up")
    };
    assert!(rung.0 <= 1 && *rate_kb <= 450.0);
}

#[test]
fn a_client_at_fault_is_told_so_and_its_box_is_not_blamed() {
    let mut f = Front::new(1);
    for n in 0..20 {
        let (attempt, server, _) = set_up(&f.ask(n, "title-1")).expect("the boxes stay trusted");
        let out = f.verdict(attempt, server, Verdict::Declined(401));
        assert!(matches!(replies(&out)[..], [Answer::Declined(401)]));
        assert!(set_up(&out).is_none(), "no further box is asked");
        f.now += S;
    }
    assert!(f.core.is_idle());
}

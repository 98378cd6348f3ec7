use super::*;
use crate::messages::Offset;

const A: PublisherId = PublisherId(1);
const B: PublisherId = PublisherId(2);

#[test]
fn a_number_is_done_once_and_in_order() {
    let mut s = Sessions::default();
    let session = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
    assert_eq!(s.begin(A, Epoch(0), Writers::Many, false), Ok(session));
    let written = |n| TopicAnswer::Written(Offset(n));
    for seq in 1..=40 {
        assert_eq!(s.look(A, session, seq + 1, Writers::Many, false), Err(Refusal::Gap(seq)));
        assert_eq!(s.look(A, session, seq, Writers::Many, false), Ok(Seen::New));
        s.done(A, seq, written(seq));
    }
    for seq in 0..=40 {
        let kept = if seq > 24 { Ok(Seen::Done(written(seq))) } else { Err(Refusal::Overtaken) };
        assert_eq!(s.look(A, session, seq, Writers::Many, false), kept, "{seq}");
    }
    assert_eq!(s.look(B, session, 41, Writers::Many, false), Err(Refusal::NoSession));
    assert_eq!(s.look(A, Session(9), 41, Writers::Many, false), Err(Refusal::NoSession));
}

#[test]
fn epochs_fence_and_one_writer_ends_the_one_before() {
    let mut s = Sessions::default();
    let first = s.begin(A, Epoch(5), Writers::One, false).expect("a session");
    assert_eq!(s.begin(B, Epoch(4), Writers::One, false), Err(Refusal::Fenced(Epoch(5))));
    let second = s.begin(B, Epoch(7), Writers::One, false).expect("a session");
    assert!(second > first);
    assert_eq!(s.look(A, first, 1, Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
    assert_eq!(s.begin(A, Epoch(6), Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
    // With many writers each has its own.
    let mut s = Sessions::default();
    s.begin(A, Epoch(5), Writers::Many, false).expect("a session");
    s.begin(B, Epoch(1), Writers::Many, false).expect("a session");
    assert_eq!(s.begin(A, Epoch(4), Writers::Many, false), Err(Refusal::Fenced(Epoch(5))));
}

#[test]
fn a_session_that_was_let_go_is_never_known_again() {
    let mut s = Sessions::default();
    let old = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
    for other in 10..10 + MAX_SESSIONS as u64 {
        s.begin(PublisherId(other), Epoch(0), Writers::Many, false).expect("a session");
    }
    assert!(s.is_valid());
    assert_eq!(s.look(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
    let new = s.begin(A, Epoch(0), Writers::Many, false).expect("a session");
    assert_ne!(new, old);
    assert_eq!(s.look(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
}

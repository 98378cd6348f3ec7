use super::*;
use crate::messages::Offset;

const A: PublisherId = PublisherId(1);
const B: PublisherId = PublisherId(2);

#[test]
fn accepts_each_sequence_number_once_in_order() {
    let mut sessions = Sessions::default();
    let session = sessions.begin(A, Epoch(0), Writers::Many, false).expect("session");
    assert_eq!(sessions.begin(A, Epoch(0), Writers::Many, false), Ok(session));
    let written = |n| TopicAnswer::Written(Offset(n));
    for seq in 1..=40 {
        assert_eq!(
            sessions.check_sequence(A, session, seq + 1, Writers::Many, false),
            Err(Refusal::Gap(seq))
        );
        assert_eq!(sessions.check_sequence(A, session, seq, Writers::Many, false), Ok(SequenceCheck::New));
        sessions.record_answer(A, seq, written(seq));
    }
    for seq in 0..=40 {
        let kept =
            if seq > 24 { Ok(SequenceCheck::Duplicate(written(seq))) } else { Err(Refusal::AnswerEvicted) };
        assert_eq!(sessions.check_sequence(A, session, seq, Writers::Many, false), kept, "{seq}");
    }
    assert_eq!(sessions.check_sequence(B, session, 41, Writers::Many, false), Err(Refusal::NoSession));
    assert_eq!(sessions.check_sequence(A, Session(9), 41, Writers::Many, false), Err(Refusal::NoSession));
}

#[test]
fn new_writer_fences_lower_epochs() {
    let mut sessions = Sessions::default();
    let first = sessions.begin(A, Epoch(5), Writers::One, false).expect("session");
    assert_eq!(sessions.begin(B, Epoch(4), Writers::One, false), Err(Refusal::Fenced(Epoch(5))));
    let second = sessions.begin(B, Epoch(7), Writers::One, false).expect("session");
    assert!(second > first);
    assert_eq!(sessions.check_sequence(A, first, 1, Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
    assert_eq!(sessions.begin(A, Epoch(6), Writers::One, false), Err(Refusal::Fenced(Epoch(7))));
}

#[test]
fn epochs_of_shared_publishers_are_independent() {
    let mut sessions = Sessions::default();
    sessions.begin(A, Epoch(5), Writers::Many, false).expect("session");
    sessions.begin(B, Epoch(1), Writers::Many, false).expect("session");
    assert_eq!(sessions.begin(A, Epoch(4), Writers::Many, false), Err(Refusal::Fenced(Epoch(5))));
}

#[test]
fn evicted_session_is_never_reused() {
    let mut sessions = Sessions::default();
    let old = sessions.begin(A, Epoch(0), Writers::Many, false).expect("session");
    for other in 10..10 + MAX_SESSIONS as u64 {
        sessions.begin(PublisherId(other), Epoch(0), Writers::Many, false).expect("session");
    }
    assert!(sessions.is_valid());
    assert_eq!(sessions.check_sequence(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
    let new = sessions.begin(A, Epoch(0), Writers::Many, false).expect("session");
    assert_ne!(new, old);
    assert_eq!(sessions.check_sequence(A, old, 1, Writers::Many, false), Err(Refusal::NoSession));
}

//! What is believed of a list of servers.

mod support;

use beechloft::api::*;
use support::*;

/// A directory that has lost its state answers with nothing, without an error: it must not stop the front.
#[test]
fn an_empty_whole_list_is_not_believed() {
    for form in [UpdateKind::Full, UpdateKind::Cached] {
        let mut f = Front::new(settings());
        f.hand_over(1, 2);
        f.list(0, EndpointState::Draining, 0);
        f.list(1, EndpointState::Removed, 0);
        let before = f.policy.own_demand();
        assert_eq!(
            f.send(Event::EndpointsUpdated { kind: form, endpoints: vec![] }),
            [],
            "it ends nothing that plays"
        );
        assert_eq!(f.policy.own_demand(), before, "what plays is still counted");
        for id in 10..40 {
            let (server, _) = set_up(&f.ask(id)).expect("the front serves on");
            assert!(server >= 2, "{server}: what the list before said of each still holds");
            f.started(id, server);
            f.ended(id, server, Outcome::Ok, true);
        }
    }
    let set = Settings { discovery: Discovery::Subscribe, ..settings() };
    let mut f = Front::new(set);
    f.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: vec![] });
    assert!(f.tick().contains(&Action::Subscribe), "where lists come for asking, it is asked for again");
}

/// Lines that say of each server that it is gone are no empty list: nothing new goes to a server past its drain.
#[test]
fn servers_named_as_gone_and_those_that_a_whole_list_leaves_out_get_nothing_new() {
    let gone = |n| entry(n, EndpointState::Removed, 0);
    for form in [UpdateKind::Delta, UpdateKind::Full] {
        let mut f = Front::new(settings());
        f.hand_over(1, 2);
        assert_eq!(
            f.send(Event::EndpointsUpdated { kind: form, endpoints: (0..4).map(gone).collect() }),
            [],
            "what plays goes on"
        );
        assert!(refused(&f.ask(2)), "{form:?}");
    }
    let mut f = Front::new(settings());
    f.hand_over(1, 2);
    let one = vec![entry(3, EndpointState::Ready, 0)];
    assert_eq!(
        f.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: one }),
        [],
        "what plays goes on"
    );
    assert_eq!(set_up(&f.ask(2)).map(|s| s.0), Some(3), "the one that is left");
    f.wait(S);
    let now = f.now;
    f.send(Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        endpoints: (0..4).map(|n| entry(n, EndpointState::Ready, 0)).collect(),
    });
    let sent: Vec<_> = (10..40).filter_map(|id| set_up(&f.ask(id))).collect();
    assert!((0..4).all(|n| sent.iter().any(|s| s.0 == n)), "back at {now} as if it had never been short");
}

//! What is believed of a list of servers.

mod support;

use beechloft::api::{Action, Discovery, EndpointState, Event, Outcome, Settings, UpdateKind};
use support::{Front, SECONDS, entry, is_rejected, set_up, settings};

/// A directory that has lost its state answers with nothing, without an error: it must not stop the front.
#[test]
fn an_empty_full_list_is_ignored() {
    for form in [UpdateKind::Full, UpdateKind::Cached] {
        let mut front = Front::new(settings());
        front.adopt(1, 2);
        front.update_endpoint(0, EndpointState::Draining, 0);
        front.update_endpoint(1, EndpointState::Removed, 0);
        let before = front.policy.own_demand();
        assert_eq!(
            front.send(Event::EndpointsUpdated { kind: form, endpoints: vec![] }),
            [],
            "it ends nothing that plays"
        );
        assert_eq!(front.policy.own_demand(), before, "what plays is still counted");
        for id in 10..40 {
            let (server, _) = set_up(&front.request(id)).expect("the front serves on");
            assert!(server >= 2, "{server}: what the list before said of each still holds");
            front.started(id, server);
            front.ended(id, server, Outcome::Ok, true);
        }
    }
    let set = Settings { discovery: Discovery::Subscribe, ..settings() };
    let mut front = Front::new(set);
    front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: vec![] });
    assert!(front.tick().contains(&Action::Subscribe), "where lists come for asking, it is asked for again");
}

/// Lines that say of each server that it is gone are no empty list: nothing new goes to a server past its drain.
#[test]
fn removed_servers_and_those_missing_from_a_full_list_get_nothing_new() {
    let gone = |n| entry(n, EndpointState::Removed, 0);
    for form in [UpdateKind::Delta, UpdateKind::Full] {
        let mut front = Front::new(settings());
        front.adopt(1, 2);
        assert_eq!(
            front.send(Event::EndpointsUpdated { kind: form, endpoints: (0..4).map(gone).collect() }),
            [],
            "what plays goes on"
        );
        assert!(is_rejected(&front.request(2)), "{form:?}");
    }
    let mut front = Front::new(settings());
    front.adopt(1, 2);
    let one = vec![entry(3, EndpointState::Ready, 0)];
    assert_eq!(
        front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: one }),
        [],
        "what plays goes on"
    );
    assert_eq!(set_up(&front.request(2)).map(|s| s.0), Some(3), "the one that is left");
    front.advance(SECONDS);
    let now = front.now;
    front.send(Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        endpoints: (0..4).map(|n| entry(n, EndpointState::Ready, 0)).collect(),
    });
    let sent: Vec<_> = (10..40).filter_map(|id| set_up(&front.request(id))).collect();
    assert!((0..4).all(|n| sent.iter().any(|s| s.0 == n)), "back at {now} as if it had never been short");
}

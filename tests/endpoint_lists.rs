//! Tests of updates of the endpoint list: which are applied and which are ignored.

mod support;

use beechloft::api::{Action, Discovery, EndpointState, Event, Outcome, Settings, UpdateKind};
use support::{Front, SECONDS, endpoint, is_rejected, set_up, settings};

/// A directory that has lost its state answers with an empty list and without an error. Guards against a
/// front that stops service then.
#[test]
fn ignores_empty_full_list() {
    for kind in [UpdateKind::Full, UpdateKind::Cached] {
        let mut front = Front::new(settings());
        front.adopt(1, 2);
        front.update_endpoint(0, EndpointState::Draining, 0);
        front.update_endpoint(1, EndpointState::Removed, 0);
        let before = front.policy.own_demand();
        assert_eq!(
            front.send(Event::EndpointsUpdated { kind, endpoints: vec![] }),
            [],
            "playing sessions go on"
        );
        assert_eq!(front.policy.own_demand(), before, "playing sessions are still counted");
        for id in 10..40 {
            let (server, _) = set_up(&front.request(id)).expect("the front still serves");
            assert!(server >= 2, "server {server} is not ready by the list before");
            front.started(id, server);
            front.ended(id, server, Outcome::Ok, true);
        }
    }
    let mut front = Front::new(Settings { discovery: Discovery::Subscribe, ..settings() });
    front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: vec![] });
    assert!(front.tick().contains(&Action::Subscribe), "the front subscribes again");
}

/// A list whose entries are all removed is not empty, and is applied.
#[test]
fn removed_and_unlisted_servers_get_no_sessions() {
    let removed = |n| endpoint(n, EndpointState::Removed, 0);
    for kind in [UpdateKind::Delta, UpdateKind::Full] {
        let mut front = Front::new(settings());
        front.adopt(1, 2);
        assert_eq!(
            front.send(Event::EndpointsUpdated { kind, endpoints: (0..4).map(removed).collect() }),
            [],
            "playing sessions go on"
        );
        assert!(is_rejected(&front.request(2)), "{kind:?}");
    }
    let mut front = Front::new(settings());
    front.adopt(1, 2);
    let one = vec![endpoint(3, EndpointState::Ready, 0)];
    assert_eq!(
        front.send(Event::EndpointsUpdated { kind: UpdateKind::Full, endpoints: one }),
        [],
        "playing sessions go on"
    );
    assert_eq!(set_up(&front.request(2)).map(|(server, _)| server), Some(3), "only server 3 is listed");
    front.advance(SECONDS);
    front.send(Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        endpoints: (0..4).map(|n| endpoint(n, EndpointState::Ready, 0)).collect(),
    });
    let sent: Vec<_> = (10..40).filter_map(|id| set_up(&front.request(id))).collect();
    assert!((0..4).all(|n| sent.iter().any(|(server, _)| *server == n)), "all servers get sessions again");
}

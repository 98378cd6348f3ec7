//! Test that a recording of a front replays to the same outputs.

mod support;

use std::time::Duration;

use beechloft_fakes::player;
use beechloft_session::Exchange;
use beechloft_session::SessionController;
use beechloft_session::api::Action;
use support::*;

#[test]
fn recording_replays_to_same_outputs_of_controller_and_policy() {
    let mut harness = Harness::new(3);
    let settings = settings(&format!("url: {}", harness.fleet.list.url()), "");
    let front = beechloft_server::Front::start_recorded(settings.clone()).expect("a front");
    harness.address = front.address();
    until("the endpoint list is known", || front.status().media_servers == 3);
    let mut playing = Vec::new();
    for n in 0..60 {
        if n == 20 {
            harness.fleet.list_as(2, "draining");
        }
        let title = ["all", "pair", "one"][n % 3];
        let request = harness.request(title);
        playing.extend(player::ask(&request, &mut harness.dice, &harness.recorder).playing);
        if n % 4 == 3
            && let Some(session) = playing.pop()
        {
            session.end(&harness.pool, &harness.recorder).expect("a response");
        }
    }
    std::thread::sleep(Duration::from_millis(700)); // the policy's timer fires as well
    let recording = front.stop(Duration::from_secs(2));
    assert!(recording.inputs.len() > 150 && recording.outputs.len() > 100);

    let mut controller = SessionController::new(settings.settings.clone(), 7);
    let mut outputs = Vec::new();
    for (now, input) in &recording.inputs {
        controller.handle(*now, input.clone(), &mut outputs);
    }
    assert_eq!(outputs, recording.outputs);

    let mut policy = beechloft::policy::Policy::new(settings.settings, 7);
    let mut set_ups = 0;
    for Exchange { at: now, event, actions } in recording.exchanges {
        let mut replayed = Vec::new();
        policy.handle(now, event, &mut replayed);
        assert_eq!(replayed, actions);
        set_ups += replayed.iter().filter(|action| matches!(action, Action::StartAttempt { .. })).count();
    }
    assert!(set_ups > 40, "{set_ups}");
}

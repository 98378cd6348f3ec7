//! A front that served, replayed: its core and the module alone do the same again.

mod support;

use std::time::Duration;

use beechloft_fakes::player;
use beechloft_session::Exchange;
use beechloft_session::SessionController;
use beechloft_session::api::Action;
use support::*;

#[test]
fn a_recorded_front_replays_to_the_same_decisions_in_the_core_and_in_the_module_alone() {
    let mut rig = Rig::new(3);
    let settings = settings(&format!("url: {}", rig.fleet.list.url()), "");
    let front = beechloft_server::Front::start_recorded(settings.clone()).expect("a front");
    rig.address = front.address();
    until("the list is known", || front.status().media_servers == 3);
    let mut playing = Vec::new();
    for n in 0..60 {
        if n == 20 {
            rig.fleet.list_as(2, "draining");
        }
        let title = ["all", "pair", "one"][n % 3];
        let wish = rig.wish(title);
        playing.extend(player::ask(&wish, &mut rig.dice, &rig.recorder).playing);
        if n % 4 == 3
            && let Some(p) = playing.pop()
        {
            p.end(&rig.pool, &rig.recorder).expect("a response");
        }
    }
    std::thread::sleep(Duration::from_millis(700)); // the module's own timer has run as well
    let recording = front.stop(Duration::from_secs(2));
    assert!(recording.inputs.len() > 150 && recording.outputs.len() > 100);

    let mut core = SessionController::new(settings.settings.clone(), 7);
    let mut outputs = Vec::new();
    for (now, input) in &recording.inputs {
        core.handle(*now, input.clone(), &mut outputs);
    }
    assert_eq!(outputs, recording.outputs);

    let mut module = beechloft::policy::Policy::new(settings.settings, 7);
    let mut set_ups = 0;
    for Exchange { at: now, event, actions } in recording.exchanges {
        let mut same = Vec::new();
        module.handle(now, event, &mut same);
        assert_eq!(same, actions);
        set_ups += same.iter().filter(|a| matches!(a, Action::StartAttempt { .. })).count();
    }
    assert!(set_ups > 40, "{set_ups}");
}

//! The command `demo`: a front and a simulated fleet in one process on free loopback ports, with built-in settings.

use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_config::front;
use beechloft_fakes::control::Control;
use beechloft_fakes::fleet::{Fleet, FleetBox, FleetSpec, TitleSpec};
use beechloft_server::Front;
use beechloft_whep::route::endpoint_path;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::serve::STOP_TIMEOUT;
use crate::{fail, log};

/// Rungs of the built-in ladder: rate in kB per second and worth.
const LADDER: [(f64, f64); 4] = [(150.0, 0.2), (450.0, 0.55), (1000.0, 0.8), (2000.0, 1.0)];
const TITLES: [&str; 4] = ["asparagus", "strawberries", "apple-harvest", "bee-yard"];

/// Describes a simulated fleet: media servers in two racks, with each title on up to three of them.
pub fn fleet(servers: u32, link_kb: f64, streams: usize, cores: usize, set_up: Duration) -> FleetSpec {
    let title = |(n, name): (u32, &&str)| TitleSpec {
        name: (*name).to_owned(),
        class: "video".into(),
        rates_kb: LADDER.iter().map(|r| r.0).collect(),
        holders: (0..servers.min(3)).map(|k| (n + k) % servers + 1).collect(),
    };
    let server = |n: u32| FleetBox {
        rack: (n % 2) as u16,
        zone: "hall".into(),
        kind: "box".into(),
        size: 1.0,
        link_kb,
        streams,
        cores,
    };
    FleetSpec {
        boxes: (0..servers).map(server).collect(),
        uplinks_kb: vec![link_kb * f64::from(servers); 2],
        titles: (0..).zip(&TITLES).map(title).collect(),
        set_up,
        guard: 1.2,
        warming: None,
        seed: 1,
    }
}

/// Settings of a front for the fleet that `fleet` describes. `list` is the URL of its endpoint list.
pub fn settings(list: &str, link_kb: f64, streams: usize, log: &str) -> Result<front::FrontSettings, String> {
    front::parse(&settings_text(list, link_kb, streams, log).to_string()).map_err(|e| e.to_string())
}

/// The same settings in the form of a settings file.
pub fn settings_text(list: &str, link_kb: f64, streams: usize, log: &str) -> serde_json::Value {
    serde_json::json!({
        "service": {
            "zones": ["hall"], "racks": 2,
            "ladder": LADDER.iter().map(|(r, w)| serde_json::json!({"rate_kb": r, "worth": w})).collect::<Vec<_>>(),
            "classes": [{"name": "video", "aim_ms": 800, "patience_ms": 4000}],
            "kinds": [{"name": "box", "streams": streams}],
            "links": {"unit_kb": link_kb, "guard": 1.2},
            "limits": {"attempts": 4, "retry_after_ms": 1000},
        },
        "front": {"listen": "127.0.0.1:0", "seed": 1},
        "list": {"url": list},
        "sockets": {"connections": 16_000},
        "log": {"level": log},
    })
}

/// Waits until a front has received the endpoint list with all its media servers. Returns `false` after 10 s.
pub fn wait_for_endpoints(front: &Front, servers: usize) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    while front.status().media_servers < servers && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    front.status().media_servers >= servers
}

/// Runs the demo until SIGINT or SIGTERM.
pub fn demo(servers: u32) -> ExitCode {
    match run(servers) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

fn run(servers: u32) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let spec = fleet(servers, 20_000.0, 60, 2, Duration::from_millis(15));
    let fleet = Arc::new(Fleet::start(&spec, &Recorder::default())?);
    let control = Control::start(fleet.clone())?;
    let settings = settings(&fleet.list.url(), 20_000.0, 60, "info").map_err(io::Error::other)?;
    log::start(&settings.log);
    let front = Front::start(settings, None)?;
    if !wait_for_endpoints(&front, servers as usize) {
        return Err(io::Error::other("no endpoint list received within 10 s"));
    }
    let base = format!("http://{}", front.address());
    let urls = |publishes| TITLES.map(|title| format!("{base}{}", endpoint_path(title, publishes)));
    let line = serde_json::json!({
        "ready": true, "front": base, "whep": urls(false), "whip": urls(true), "list": fleet.list.url(),
        "control": format!("http://{}", control.address()),
    });
    println!("{line}");
    io::stdout().flush()?;
    signals.forever().next();
    front.stop(STOP_TIMEOUT);
    Ok(())
}

//! Memory of a front that is a process of its own, for each session or call that stands.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_fakes::trunk::{Plan, Trunk};
use beechloft_http::client::Pool;
use beechloft_http::{Method, Request};
use beechloft_whep::{SDP, route};

use crate::demo;

/// Two ports that nobody has; the front binds them a moment later.
fn free_ports() -> io::Result<(SocketAddr, SocketAddr)> {
    let (one, other) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    Ok((one.local_addr()?, other.local_addr()?))
}

/// Measures both kinds and prints.
pub fn measure(playing: usize) -> io::Result<()> {
    sessions(playing)?;
    // A call at a stand-in box has a thread there.
    calls(playing.min(CALLS))
}

/// Calls at once at most.
const CALLS: usize = 4_000;
/// New calls a second while they are made.
const CALLS_PER_S: f64 = 300.0;

/// A front in a process of its own, ended with this.
struct Process {
    child: std::process::Child,
    folder: PathBuf,
    http: SocketAddr,
    sip: SocketAddr,
    pool: Pool,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn start(name: &str) -> io::Result<(Fleet, Process)> {
        let (link, streams) = (1e9, 1_000_000);
        let fleet = Fleet::start(&demo::fleet(4, link, streams, 1024, Duration::ZERO), &Recorder::default())?;
        let folder = std::env::temp_dir().join(format!("beechloft-bench-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (http, sip) = free_ports()?;
        let mut text = demo::settings_text(&fleet.list.url(), link, streams, "error");
        text["front"]["listen"] = http.to_string().into();
        text["front"]["sip"] = sip.to_string().into();
        let file = folder.join("front.yaml");
        std::fs::write(&file, text.to_string())?;
        let child = std::process::Command::new(std::env::current_exe()?).arg("serve").arg(&file).spawn()?;
        let process = Process { child, folder, http, sip, pool: Pool::default() };
        let until = Instant::now() + Duration::from_secs(10);
        while process.playing().is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        Ok((fleet, process))
    }

    /// Sessions that play, if it is ready.
    fn playing(&self) -> Option<u64> {
        let until = Instant::now() + Duration::from_secs(1);
        let response = self.pool.call(self.http, &Request::new(Method::GET, "/ready"), until).ok()?;
        let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        body["playing"].as_u64().filter(|_| response.status == 200)
    }

    /// Resident memory, as the system tells it.
    fn resident_kb(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").trim().parse().map_err(io::Error::other)
    }

    fn state(&self) -> io::Result<(u64, u64)> {
        Ok((self.playing().unwrap_or(0), self.resident_kb()?))
    }
}

fn print(what: &str, before: (u64, u64), most: (u64, u64)) {
    let each = most.1.saturating_sub(before.1) as f64 / most.0.saturating_sub(before.0).max(1) as f64;
    println!(
        "memory: {} kB with {} {what}, {} kB with {}: {each:.2} kB each",
        before.1, before.0, most.1, most.0
    );
}

fn sessions(playing: usize) -> io::Result<()> {
    let (_fleet, front) = Process::start("sessions")?;
    let mut dice = Dice::new(11);
    let mut one = || {
        let offer = offer::offer(&Credentials::draw(&mut dice), false, None);
        let request = Request::new(Method::POST, route::endpoint_path("asparagus", false)).body(SDP, offer);
        let _ = front.pool.call(front.http, &request, Instant::now() + Duration::from_secs(4));
    };
    for _ in 0..200 {
        one();
    }
    let before = front.state()?;
    // The stand-ins free what nobody keeps alive: what counts is the moment with the most sessions.
    let mut most = before;
    for n in 0..playing {
        one();
        if n % 500 == 499 {
            most = most.max(front.state()?);
        }
    }
    print("sessions", before, most);
    Ok(())
}

/// Calls are made until so many stand; their transactions, which outlive their answers by 37 s, are part of the figure.
fn calls(playing: usize) -> io::Result<()> {
    let (fleet, front) = Process::start("calls")?;
    let lasts = Duration::from_secs_f64(playing as f64 / CALLS_PER_S);
    let plan = Plan {
        front: front.sip,
        number: 0,
        titles: vec!["asparagus".into(), "strawberries".into()],
        rate: CALLS_PER_S,
        lasts,
        holds: lasts + Duration::from_secs(2),
        patience: Duration::from_secs(4),
        obeys: false,
        claims: false,
        returns: false,
        seed: 3,
    };
    let before = front.state()?;
    let trunk = Trunk::new(plan, None)?;
    let trunk = thread::Builder::new().name("trunk".into()).spawn(move || trunk.run())?;
    let mut most = before;
    let until = Instant::now() + lasts + Duration::from_secs(1);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(200));
        most = most.max(front.state()?);
    }
    print("calls", before, most);
    // The front ends with its calls; the trunk sees to its own end.
    drop((front, fleet, trunk));
    Ok(())
}

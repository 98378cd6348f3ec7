//! Memory benchmark: resident memory of a front in its own process, per active session or call.

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

/// Returns two free addresses, which the front binds a moment later.
fn free_ports() -> io::Result<(SocketAddr, SocketAddr)> {
    let (first, second) = (TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?);
    Ok((first.local_addr()?, second.local_addr()?))
}

/// Measures and prints the memory per session and per call.
pub fn measure(playing: usize) -> io::Result<()> {
    measure_sessions(playing)?;
    // The number of calls is limited because a simulated media server runs a thread for each.
    measure_calls(playing.min(MAX_CALLS))
}

/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 4_000;
/// Rate at which calls are made, per second.
const CALLS_PER_S: f64 = 300.0;

/// Front in its own process, which is killed on drop.
struct FrontProcess {
    child: std::process::Child,
    folder: PathBuf,
    http: SocketAddr,
    sip: SocketAddr,
    pool: Pool,
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl FrontProcess {
    fn start(name: &str) -> io::Result<(Fleet, FrontProcess)> {
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
        let process = FrontProcess { child, folder, http, sip, pool: Pool::default() };
        let deadline = Instant::now() + Duration::from_secs(10);
        while process.playing().is_none() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        Ok((fleet, process))
    }

    /// Number of sessions that are playing. Returns `None` if the front isn't ready.
    fn playing(&self) -> Option<u64> {
        let deadline = Instant::now() + Duration::from_secs(1);
        let response = self.pool.call(self.http, &Request::new(Method::GET, "/ready"), deadline).ok()?;
        let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        body["playing"].as_u64().filter(|_| response.status == 200)
    }

    /// Resident set size in kB, as the kernel reports it.
    fn resident_kb(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").trim().parse().map_err(io::Error::other)
    }

    fn sample(&self) -> io::Result<Sample> {
        Ok(Sample { playing: self.playing().unwrap_or(0), resident_kb: self.resident_kb()? })
    }
}

/// Memory of a front at one moment. Samples are ordered by the number of sessions first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sample {
    playing: u64,
    resident_kb: u64,
}

fn print(unit: &str, before: Sample, peak: Sample) {
    let added_kb = peak.resident_kb.saturating_sub(before.resident_kb) as f64;
    let added_sessions = peak.playing.saturating_sub(before.playing).max(1) as f64;
    let each = added_kb / added_sessions;
    println!(
        "memory: {} kB with {} {unit}, {} kB with {}: {each:.2} kB each",
        before.resident_kb, before.playing, peak.resident_kb, peak.playing
    );
}

fn measure_sessions(playing: usize) -> io::Result<()> {
    let (_fleet, front) = FrontProcess::start("sessions")?;
    let mut dice = Dice::new(11);
    let mut start_session = || {
        let offer = offer::offer(&Credentials::draw(&mut dice), false, None);
        let request = Request::new(Method::POST, route::endpoint_path("asparagus", false)).body(SDP, offer);
        let _ = front.pool.call(front.http, &request, Instant::now() + Duration::from_secs(4));
    };
    for _ in 0..200 {
        start_session();
    }
    let before = front.sample()?;
    // The simulated media servers free sessions without keep-alive, so the sample with the most sessions is the one that counts.
    let mut peak = before;
    for n in 0..playing {
        start_session();
        if n % 500 == 499 {
            peak = peak.max(front.sample()?);
        }
    }
    print("sessions", before, peak);
    Ok(())
}

/// Makes calls until the given number is active. The figure includes their transactions, which outlive their answers by 37 s.
fn measure_calls(playing: usize) -> io::Result<()> {
    let (fleet, front) = FrontProcess::start("calls")?;
    let duration = Duration::from_secs_f64(playing as f64 / CALLS_PER_S);
    let plan = Plan {
        front: front.sip,
        number: 0,
        titles: vec!["asparagus".into(), "strawberries".into()],
        rate: CALLS_PER_S,
        lasts: duration,
        holds: duration + Duration::from_secs(2),
        patience: Duration::from_secs(4),
        obeys: false,
        claims: false,
        returns: false,
        seed: 3,
    };
    let before = front.sample()?;
    let trunk = Trunk::new(plan, None)?;
    let trunk = thread::Builder::new().name("trunk".into()).spawn(move || trunk.run())?;
    let mut peak = before;
    let deadline = Instant::now() + duration + Duration::from_secs(1);
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(200));
        peak = peak.max(front.sample()?);
    }
    print("calls", before, peak);
    // The front is killed with its active calls; the trunk's thread ends by itself.
    drop((front, fleet, trunk));
    Ok(())
}

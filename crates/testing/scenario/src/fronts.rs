//! Fronts as processes: started, killed outright, stopped.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, What};
use beechloft_fault_proxy::ports::ReservedPort;
use beechloft_http::client::Pool;
use beechloft_http::{Method, Request};

use crate::script::Day;

/// How long a front may take to serve.
const UP_WITHIN: Duration = Duration::from_secs(10);
/// How long a front may take to end.
const DOWN_WITHIN: Duration = Duration::from_secs(8);

/// What all fronts of a day have in common.
#[derive(Clone, Copy)]
pub struct Place<'a> {
    /// The list's address.
    pub list: &'a str,
    /// The program.
    pub program: &'a Path,
    /// Where settings and logs lie.
    pub folder: &'a Path,
    /// The day's seed.
    pub seed: u64,
    /// Where what is seen is noted.
    pub recorder: &'a Recorder,
}

/// A front's process.
pub struct FrontProcess {
    number: u32,
    address: SocketAddr,
    sip: SocketAddr,
    _ports: [ReservedPort; 2],
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    recorder: Recorder,
}

impl FrontProcess {
    /// Writes a front's settings into a folder. It does not run yet.
    ///
    /// # Errors
    /// No port, or the file can't be written.
    pub fn new(
        day: &Day,
        number: u32,
        place: &Place<'_>,
        fleet: Option<serde_json::Value>,
    ) -> io::Result<Self> {
        let Place { list, program, folder, seed, recorder } = *place;
        // Kept for the front while it is down as well.
        let ports = [ReservedPort::reserve()?, ReservedPort::reserve()?];
        let [address, sip] = [ports[0].address(), ports[1].address()];
        let settings = folder.join(format!("front-{number}.yaml"));
        let zone = &day.fronts[number as usize].zone;
        let service: serde_json::Value = serde_json::from_str(&day.service_text)?;
        let mut text = serde_json::json!({
            "service": service,
            "front": {
                "listen": address.to_string(), "sip": sip.to_string(), "number": number, "of": day.fronts.len(), "zone": zone,
                "seed": seed.wrapping_mul(1 << 16).wrapping_add(u64::from(number)) & (u64::MAX >> 1),
            },
            "list": {"url": list, "cache": folder.join(format!("list-{number}.json"))},
            "log": {"format": "json"},
        });
        if let Some(fleet) = fleet {
            if fleet["number"].is_string()
                && let Some(front) = text["front"].as_object_mut()
            {
                front.remove("number");
                front.remove("of");
            }
            text["fleet"] = fleet;
        }
        fs::write(&settings, serde_json::to_string_pretty(&text)?)?;
        let log = folder.join(format!("front-{number}.log"));
        let (program, recorder) = (program.to_owned(), recorder.clone());
        Ok(FrontProcess {
            number,
            address,
            sip,
            _ports: ports,
            program,
            settings,
            log,
            child: None,
            recorder,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it takes calls.
    pub fn sip(&self) -> SocketAddr {
        self.sip
    }

    /// Starts the process and waits until it serves.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        let pool = Pool::default();
        let until = Instant::now() + UP_WITHIN;
        loop {
            let ready = Request::new(Method::GET, "/ready");
            let response = pool.call(self.address, &ready, Instant::now() + Duration::from_millis(500));
            if response.is_ok_and(|r| r.status.is_success()) {
                self.recorder.note(What::FrontUp { front: self.number });
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "front {} does not serve; see {}",
                    self.number,
                    self.log.display()
                )));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.recorder.note(What::FrontKilled { front: self.number });
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks it to stop, as an operator does who wants it to restart.
    pub fn tell(&self) {
        if let Some(pid) = self.child.as_ref().map(rustix::process::Pid::from_child) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
    }

    /// Whether it has ended by itself; whether that was well.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.as_mut().and_then(|c| c.try_wait().ok().flatten())?;
        self.child = None;
        Some(status.success())
    }

    /// Asks it to stop, and waits for its end; whether it ended well.
    pub fn stop(&mut self) -> bool {
        if self.child.is_none() {
            return true;
        }
        self.tell();
        let (mut until, mut twice) = (Instant::now() + DOWN_WITHIN, false);
        let soon = Instant::now() + Duration::from_millis(300);
        while Instant::now() < until {
            // One that waits for its turn goes at once when it is told again.
            if !twice && Instant::now() >= soon {
                self.tell();
                (twice, until) = (true, Instant::now() + DOWN_WITHIN);
            }
            if let Some(well) = self.ended() {
                return well;
            }
            thread::sleep(Duration::from_millis(10));
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        false
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

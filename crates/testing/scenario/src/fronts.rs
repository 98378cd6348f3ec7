//! Front processes of a day, which can be started, killed and stopped.

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

/// Time within which a front must be ready after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a front must exit after a request to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after the first SIGTERM at which a front that is still running gets a second one.
const SECOND_SIGNAL_DELAY: Duration = Duration::from_millis(300);

/// Parameters that all fronts of a day share.
#[derive(Clone, Copy)]
pub struct FrontEnvironment<'a> {
    /// URL of the endpoint list service.
    pub list: &'a str,
    /// Path of the balancer program.
    pub program: &'a Path,
    /// Folder of settings and logs.
    pub folder: &'a Path,
    /// Seed of the day.
    pub seed: u64,
    /// Recorder of the observed events.
    pub recorder: &'a Recorder,
}

/// Process of a front, which is killed on drop.
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
    /// Reserves the ports of a front and writes its settings. The process is not started.
    ///
    /// # Errors
    /// Returns an error if no port is free or the settings can't be written.
    pub fn new(
        day: &Day,
        number: u32,
        environment: &FrontEnvironment<'_>,
        fleet: Option<serde_json::Value>,
    ) -> io::Result<Self> {
        let FrontEnvironment { list, program, folder, seed, recorder } = *environment;
        // The ports stay reserved for the front while it is down.
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

    /// Returns the address of the front for HTTP.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the front for SIP.
    pub fn sip(&self) -> SocketAddr {
        self.sip
    }

    /// Starts the process and waits until it is ready.
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
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let ready = Request::new(Method::GET, "/ready");
            let response = pool.call(self.address, &ready, Instant::now() + Duration::from_millis(500));
            if response.is_ok_and(|response| response.status.is_success()) {
                self.recorder.note(What::FrontUp { front: self.number });
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "front {} did not become ready in time; see {}",
                    self.number,
                    self.log.display()
                )));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills the process with SIGKILL, and records that if it was running.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.recorder.note(What::FrontKilled { front: self.number });
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process, as an operator does to restart a front.
    pub fn terminate(&self) {
        if let Some(pid) = self.child.as_ref().map(rustix::process::Pid::from_child) {
            let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        }
    }

    /// Returns whether the process exited with success, or `None` if it has not exited.
    pub fn poll_exit(&mut self) -> Option<bool> {
        let status = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten())?;
        self.child = None;
        Some(status.success())
    }

    /// Stops the process and returns whether it exited with success. It is killed if it does not exit in time.
    pub fn stop(&mut self) -> bool {
        if self.child.is_none() {
            return true;
        }
        self.terminate();
        let (mut deadline, mut is_repeated) = (Instant::now() + STOP_TIMEOUT, false);
        let repeat_at = Instant::now() + SECOND_SIGNAL_DELAY;
        while Instant::now() < deadline {
            // A front that waits for its turn to restart exits at once on the second signal.
            if !is_repeated && Instant::now() >= repeat_at {
                self.terminate();
                (is_repeated, deadline) = (true, Instant::now() + STOP_TIMEOUT);
            }
            if let Some(succeeded) = self.poll_exit() {
                return succeeded;
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

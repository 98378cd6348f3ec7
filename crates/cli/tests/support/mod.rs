//! Processes of the program, each ended whatever becomes of the test.
#![allow(dead_code)]

pub mod keepers;

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use beechloft_fault_proxy::ports::ReservedPort;
use rustix::process::{Pid, Signal, kill_process_group};

/// Long enough for anything that is to happen.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A process in a group of its own.
pub struct Process(pub Child);

impl Process {
    pub fn start(command: &mut Command) -> Process {
        Process::start_to(command, Stdio::null())
    }

    pub fn start_to(command: &mut Command, stdout: impl Into<Stdio>) -> Process {
        command.stdin(Stdio::null()).stdout(stdout).process_group(0);
        Process(command.spawn().expect("it starts"))
    }

    /// To it and to what it runs.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process_group(Pid::from_child(&self.0), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.0.wait();
    }
}

pub fn beechloft() -> Command {
    Command::new(env!("CARGO_BIN_EXE_beechloft"))
}

/// Addresses that are kept for processes until the test ends, whether they run or not.
pub fn kept_addresses(count: usize) -> Vec<SocketAddr> {
    static KEPT: Mutex<Vec<ReservedPort>> = Mutex::new(Vec::new());
    let ports = ReservedPort::reserve_all(count).expect("ports");
    let all = ports.iter().map(ReservedPort::address).collect();
    KEPT.lock().expect("no test fails while it draws").extend(ports);
    all
}

/// Waits until something holds; what is wrong if it does not.
pub fn until(mut holds: impl FnMut() -> Result<(), String>) -> Duration {
    let began = Instant::now();
    loop {
        match holds() {
            Ok(()) => return began.elapsed(),
            Err(why) => assert!(began.elapsed() < PATIENCE, "{why}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

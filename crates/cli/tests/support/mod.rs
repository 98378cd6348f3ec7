//! Processes of the program, which are killed on drop, also if the test fails.
#![allow(dead_code)]

pub mod keepers;

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use beechloft_fault_proxy::ports::ReservedPort;
use rustix::process::{Pid, Signal, kill_process_group};

/// Time within which an expected event must happen.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Process in its own process group, which is killed on drop.
pub struct Process(pub Child);

impl Process {
    /// Starts a process and discards its standard output.
    pub fn start(command: &mut Command) -> Process {
        Process::start_to(command, Stdio::null())
    }

    /// Starts a process with the given standard output.
    pub fn start_to(command: &mut Command, stdout: impl Into<Stdio>) -> Process {
        command.stdin(Stdio::null()).stdout(stdout).process_group(0);
        Process(command.spawn().expect("start a process"))
    }

    /// Sends a signal to the process and its descendants in the group.
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

/// Command that runs the program.
pub fn beechloft() -> Command {
    Command::new(env!("CARGO_BIN_EXE_beechloft"))
}

/// Reserves addresses for processes until the test program ends, whether the processes run or not.
pub fn reserve_addresses(count: usize) -> Vec<SocketAddr> {
    static RESERVED: Mutex<Vec<ReservedPort>> = Mutex::new(Vec::new());
    let ports = ReservedPort::reserve_all(count).expect("reserve ports");
    let addresses = ports.iter().map(ReservedPort::address).collect();
    RESERVED.lock().expect("no thread panics while it holds the lock").extend(ports);
    addresses
}

/// Polls a condition until it returns `Ok`. Returns the time that this took.
///
/// # Panics
/// The condition still fails after `PATIENCE`. The message is its last error.
pub fn wait_until(mut condition: impl FnMut() -> Result<(), String>) -> Duration {
    let start = Instant::now();
    loop {
        match condition() {
            Ok(()) => return start.elapsed(),
            Err(error) => assert!(start.elapsed() < PATIENCE, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

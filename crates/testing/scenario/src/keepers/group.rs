//! A process with all that it runs.

use std::fs;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process_group};

/// A process in a group of its own, ended with all that it runs.
pub(super) struct Group(pub(super) Child);

impl Group {
    pub(super) fn start(command: &mut Command, log: &Path) -> io::Result<Group> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
        Ok(Group(command.spawn()?))
    }

    pub(super) fn signal(&self, signal: Signal) {
        let _ = kill_process_group(Pid::from_child(&self.0), signal);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.0.wait();
    }
}

//! Process with its children, as a process group.

use std::fs;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process_group};

/// Leader of a process group, which is killed as a whole on drop.
pub(super) struct ProcessGroup(pub(super) Child);

impl ProcessGroup {
    /// Starts the command in a new process group and appends its standard error to the log.
    pub(super) fn start(command: &mut Command, log: &Path) -> io::Result<ProcessGroup> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
        Ok(ProcessGroup(command.spawn()?))
    }

    /// Sends a signal to all processes of the group.
    pub(super) fn signal(&self, signal: Signal) {
        let _ = kill_process_group(Pid::from_child(&self.0), signal);
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.0.wait();
    }
}

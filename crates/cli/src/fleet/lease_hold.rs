//! The command `lease hold`: runs a command while holding a lease.

use std::io::Write;
use std::process::{Child, ExitCode};
use std::sync::atomic::Ordering;
use std::time::Duration;

use beechloft_coordinator::FleetSettings;
use beechloft_coordinator::client::LeaderConnection;
use beechloft_leases::{Holder, HolderId, HolderInput, HolderOutput, LeaseSpec, Name, Permit, Token};
use rustix::process::{Pid, Signal, kill_process};

use super::stop_flag;
use crate::fail;

/// Exit code if the lease was not obtained in time (EX_TEMPFAIL).
const NOT_OBTAINED: u8 = 75;
/// Exit code if the lease was lost while the command ran.
const LOST: u8 = 76;
/// Minimum remaining time at which the command is killed.
const MIN_KILL_MARGIN: Duration = Duration::from_millis(50);
/// Maximum time between two checks of the lease and the command.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the lease is given back on exit.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Command that runs while the lease is held.
struct RunningCommand {
    child: Child,
    /// Fencing token with which the command was started.
    token: Token,
    /// Whether SIGTERM was sent.
    terminated: bool,
}

impl RunningCommand {
    fn start(command: &[String], name: &Name, token: Token) -> std::io::Result<RunningCommand> {
        let (program, args) = command.split_first().ok_or(std::io::ErrorKind::InvalidInput)?;
        let child = std::process::Command::new(program)
            .args(args)
            .env("BEECHLOFT_LEASE", name.to_string())
            .env("BEECHLOFT_FENCE", token.0.to_string())
            .spawn()?;
        Ok(RunningCommand { child, token, terminated: false })
    }

    /// Sends SIGTERM, once.
    fn terminate(&mut self) {
        if !std::mem::replace(&mut self.terminated, true) {
            let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
        }
    }

    /// Kills the command, which may ignore SIGTERM, and waits for its exit.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the time until the permit expires, zero without a permit.
fn remaining(permit: Option<&Permit>, now: Duration) -> Duration {
    permit.map_or(Duration::ZERO, |permit| permit.expires_at().saturating_sub(now))
}

/// Acquires the lease, runs the command and renews the lease until the command exits.
///
/// The command gets SIGTERM when a quarter of the lease's time remains, and SIGKILL when a tenth remains, so that it has
/// ended before another holder can get the lease.
pub(super) fn hold(
    settings: FleetSettings,
    spec: &LeaseSpec,
    wait: Option<Duration>,
    command: &[String],
) -> ExitCode {
    let stop = stop_flag();
    let ttl = Duration::from_millis(u64::from(spec.ttl_ms));
    let terminate_below = ttl / 4;
    let kill_below = (ttl / 10).max(MIN_KILL_MARGIN);
    let clock = settings.clock();
    let mut holder =
        Holder::new(HolderId(rand::random()), spec.clone(), settings.drift_bound, rand::random());
    let mut connection = LeaderConnection::new(settings);
    let start = clock();
    let mut running: Option<RunningCommand> = None;
    let mut inputs = vec![HolderInput::Acquire];
    loop {
        for input in std::mem::take(&mut inputs) {
            for output in holder.handle(clock(), input) {
                match output {
                    HolderOutput::Send(request) => connection.send_request(request),
                    HolderOutput::Acquired(token) if running.is_none() => {
                        match RunningCommand::start(command, &spec.name, token) {
                            Ok(started) => running = Some(started),
                            Err(e) => return fail(2, format_args!("{}: {e}", command[0])),
                        }
                    }
                    HolderOutput::Acquired(_) => {}
                    HolderOutput::Lost(_) => {
                        if let Some(mut command) = running.take() {
                            command.kill();
                            return fail(LOST, format_args!("the lease {} was lost", spec.name));
                        }
                    }
                    HolderOutput::Rejected(reason) => return fail(2, reason),
                }
            }
        }
        let now = clock();
        let permit = holder.permit(now);
        if let Some(command) = &mut running {
            let remaining = remaining(permit.as_ref(), now);
            if let Ok(Some(status)) = command.child.try_wait() {
                release(&mut holder, &mut connection, &clock);
                return ExitCode::from(status.code().map_or(1, |code| code as u8));
            }
            if remaining <= kill_below
                || permit.as_ref().and_then(|permit| permit.token_at(now)) != Some(command.token)
            {
                command.kill();
                return fail(LOST, format_args!("the lease {} could not be renewed", spec.name));
            }
            if remaining <= terminate_below || stop.load(Ordering::Relaxed) {
                command.terminate();
            }
        } else if stop.load(Ordering::Relaxed) || wait.is_some_and(|wait| now - start >= wait) {
            release(&mut holder, &mut connection, &clock);
            return fail(NOT_OBTAINED, format_args!("the lease {} was not obtained", spec.name));
        }
        let due = holder.next_due().map_or(POLL_INTERVAL, |due| due.saturating_sub(clock()));
        if let Some(input) = connection.receive_input(due.min(POLL_INTERVAL)) {
            inputs.push(input);
        }
        inputs.push(HolderInput::Tick);
    }
}

/// Releases the lease. If the coordinator can't be reached within `RELEASE_TIMEOUT`, the lease expires by itself.
fn release(holder: &mut Holder, connection: &mut LeaderConnection, clock: &impl Fn() -> Duration) {
    let deadline = clock() + RELEASE_TIMEOUT;
    let mut input = HolderInput::Release;
    while clock() < deadline {
        for output in holder.handle(clock(), input) {
            if let HolderOutput::Send(request) = output {
                connection.send_request(request);
            }
        }
        if holder.is_idle() {
            break;
        }
        input = connection.receive_input(POLL_INTERVAL).unwrap_or(HolderInput::Tick);
    }
    let _ = std::io::stderr().flush();
}

//! `lease hold`: a command that runs under a lease.

use std::io::Write;
use std::process::{Child, ExitCode};
use std::sync::atomic::Ordering;
use std::time::Duration;

use beechloft_coordinator::FleetSettings;
use beechloft_coordinator::client::LeaderConnection;
use beechloft_leases::{Holder, HolderId, HolderInput, HolderOutput, LeaseSpec, Name, Permit, Token};
use rustix::process::{Pid, Signal, kill_process};

use super::told_to_end;
use crate::fail;

/// The lease was not obtained in time (EX_TEMPFAIL).
const NOT_OBTAINED: u8 = 75;
/// The lease was lost while the command ran.
const LOST: u8 = 76;

/// A command that runs under a lease.
struct Running {
    child: Child,
    token: Token,
    told: bool,
}

impl Running {
    pub(super) fn start(command: &[String], name: &Name, token: Token) -> std::io::Result<Running> {
        let (program, args) = command.split_first().ok_or(std::io::ErrorKind::InvalidInput)?;
        let child = std::process::Command::new(program)
            .args(args)
            .env("BEECHLOFT_LEASE", name.to_string())
            .env("BEECHLOFT_FENCE", token.0.to_string())
            .spawn()?;
        Ok(Running { child, token, told: false })
    }

    fn tell(&mut self) {
        if !std::mem::replace(&mut self.told, true) {
            let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
        }
    }

    /// Ends it for certain. Guards against a command that does not listen to SIGTERM.
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How much of its time is left to a lease.
fn left(permit: Option<&Permit>, now: Duration) -> Duration {
    permit.map_or(Duration::ZERO, |p| p.expires_at().saturating_sub(now))
}

pub(super) fn hold(
    set: FleetSettings,
    terms: &LeaseSpec,
    wait: Option<Duration>,
    command: &[String],
) -> ExitCode {
    let end = told_to_end();
    let ttl = Duration::from_millis(u64::from(terms.ttl_ms));
    // It is told when a quarter of the time is left, and ended when a tenth is.
    let (tell_at, end_at) = (ttl / 4, (ttl / 10).max(Duration::from_millis(50)));
    let clock = set.clock();
    let mut holder = Holder::new(HolderId(rand::random()), terms.clone(), set.drift_bound, rand::random());
    let mut connection = LeaderConnection::new(set);
    let began = clock();
    let mut running: Option<Running> = None;
    let mut inputs = vec![HolderInput::Acquire];
    loop {
        for input in std::mem::take(&mut inputs) {
            for output in holder.handle(clock(), input) {
                match output {
                    HolderOutput::Send(request) => connection.send_request(request),
                    HolderOutput::Acquired(token) if running.is_none() => {
                        match Running::start(command, &terms.name, token) {
                            Ok(started) => running = Some(started),
                            Err(e) => return fail(2, format_args!("{}: {e}", command[0])),
                        }
                    }
                    HolderOutput::Acquired(_) => {}
                    HolderOutput::Lost(_) => {
                        if let Some(mut run) = running.take() {
                            run.end();
                            return fail(LOST, format_args!("the lease {} was lost", terms.name));
                        }
                    }
                    HolderOutput::Rejected(why) => return fail(2, why),
                }
            }
        }
        let now = clock();
        let permit = holder.permit(now);
        if let Some(run) = &mut running {
            let left = left(permit.as_ref(), now);
            if let Ok(Some(status)) = run.child.try_wait() {
                release(&mut holder, &mut connection, &clock);
                return ExitCode::from(status.code().map_or(1, |c| c as u8));
            }
            if left <= end_at || permit.as_ref().and_then(|p| p.token_at(now)) != Some(run.token) {
                run.end();
                return fail(LOST, format_args!("the lease {} could not be renewed", terms.name));
            }
            if left <= tell_at || end.load(Ordering::Relaxed) {
                run.tell();
            }
        } else if end.load(Ordering::Relaxed) || wait.is_some_and(|w| now - began >= w) {
            release(&mut holder, &mut connection, &clock);
            return fail(NOT_OBTAINED, format_args!("the lease {} was not obtained", terms.name));
        }
        let due = holder.next_due().map_or(Duration::from_millis(20), |d| d.saturating_sub(clock()));
        if let Some(input) = connection.receive_input(due.min(Duration::from_millis(20))) {
            inputs.push(input);
        }
        inputs.push(HolderInput::Tick);
    }
}

/// Gives it back, as far as a keeper can be reached soon; otherwise it runs out.
fn release(holder: &mut Holder, connection: &mut LeaderConnection, clock: &impl Fn() -> Duration) {
    let until = clock() + Duration::from_millis(500);
    let mut input = HolderInput::Release;
    while clock() < until {
        for output in holder.handle(clock(), input) {
            if let HolderOutput::Send(request) = output {
                connection.send_request(request);
            }
        }
        if holder.is_idle() {
            break;
        }
        input = connection.receive_input(Duration::from_millis(20)).unwrap_or(HolderInput::Tick);
    }
    let _ = std::io::stderr().flush();
}

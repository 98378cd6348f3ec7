//! `keeper`, `lease` and `fleet`: the keepers of the fleet's leases, and those who ask for them.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use beechloft_config::front::LogSettings;
use beechloft_config::reader;
use beechloft_consensus::MemberId;
use beechloft_keeper::client::{self, Watched, Way};
use beechloft_keeper::wire::{LeaseLine, StatusLine};
use beechloft_keeper::{FleetSettings, Keeping};
use beechloft_leases::{Holder, HolderId, HolderInput, HolderOutput, Name, Permit, Terms, Token};
use clap::{Args, Subcommand};
use rustix::process::{Pid, Signal, kill_process};

use crate::{fail, log, serve};

/// The lease was not obtained in time (EX_TEMPFAIL).
const NOT_OBTAINED: u8 = 75;
/// The lease was lost while the command ran.
const LOST: u8 = 76;

#[derive(Debug, Subcommand)]
pub enum Lease {
    /// Run a command while holding a lease; it is ended before the lease can run out
    Hold {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// The task's name
        name: String,
        /// Holders at once at most
        #[arg(long, default_value_t = 1)]
        holders: u16,
        /// For how long each time
        #[arg(long, default_value_t = 3_000, value_parser = clap::value_parser!(u32).range(500..=3_600_000))]
        ttl_ms: u32,
        /// How long it is waited for; for ever if not given
        #[arg(long)]
        wait_ms: Option<u64>,
        /// The command, with BEECHLOFT_LEASE and BEECHLOFT_FENCE in its environment
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
    /// Act by the token in BEECHLOFT_FENCE at something that checks tokens, again and again: for days and trials
    Act {
        /// Where it is
        at: std::net::SocketAddr,
        /// Who acts
        #[arg(long = "as", default_value = "somebody")]
        holder: String,
        /// From one act to the next
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        every_ms: u64,
    },
    /// Print the grants that there are, and then each that is made or ends, until it is told to end
    Watch {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// Of this task alone
        name: Option<String>,
        /// As JSON lines
        #[arg(long)]
        json: bool,
    },
    /// Print all grants
    List {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// As JSON lines
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Keeper {
    /// The settings, with a `fleet` section
    #[arg(required = true)]
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<KeeperCommand>,
}

#[derive(Debug, Subcommand)]
enum KeeperCommand {
    /// Let go of a keeper that was lost with its disk, and let the one in that came up in its place
    Replace {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// The lost one's id, as `fleet status` says it
        old: String,
        /// The id of the one in its place
        new: String,
    },
}

#[derive(Debug, Subcommand)]
pub enum Fleet {
    /// Print whom a process of the fleet sees: its own address's if it has one, else a seed's or a keeper's
    Members {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// Ask the process at this address
        #[arg(long)]
        of: Option<std::net::SocketAddr>,
        /// As JSON lines
        #[arg(long)]
        json: bool,
    },
    /// Print how each keeper stands
    Status {
        /// The settings, with a `fleet` section
        file: PathBuf,
        /// As JSON lines
        #[arg(long)]
        json: bool,
    },
}

pub fn settings(file: &Path) -> Result<FleetSettings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|e| fail(2, format_args!("{}: {e}", file.display())))?;
    // A front's file, with all that is in it, or one of the fleet's section alone.
    let read = reader::read(&text, |top| match top.has("service") {
        true => serve::read_sections(top).1,
        false => Some(FleetSettings::of(&top.section("fleet"), None)),
    });
    match read {
        Ok(Some(set)) => Ok(set),
        Ok(None) => Err(fail(2, format_args!("{}: there is no fleet section", file.display()))),
        Err(faults) => Err(fail(2, format_args!("{}: {faults}", file.display()))),
    }
}

fn told_to_end() -> Arc<AtomicBool> {
    let end = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        // Without it the process ends at once, which a keeper stands as well.
        let _ = signal_hook::flag::register(signal, Arc::clone(&end));
    }
    end
}

/// Keeps, or changes who does.
pub fn keeper(args: &Keeper) -> ExitCode {
    match (&args.command, &args.file) {
        (Some(KeeperCommand::Replace { file, old, new }), _) => replace(file, old, new),
        (None, Some(file)) => keep(file),
        (None, None) => fail(2, "a settings file is needed"),
    }
}

fn replace(file: &Path, old: &str, new: &str) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let id = |text: &str| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16).map(MemberId);
    let (Some(old_id), Some(new_id)) = (id(old), id(new)) else {
        return fail(2, "an id has 16 hex digits, as `fleet status` says it");
    };
    match client::replace(&set, old_id, new_id, Duration::from_secs(5)) {
        None => return fail(1, "no keeper leads"),
        Some(Err(why)) => return fail(1, why),
        Some(Ok(())) => {}
    }
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while std::time::Instant::now() < until {
        let all = set.keepers.iter().filter_map(|k| client::status(&set, *k, Duration::from_millis(500)));
        let votes = |s: &StatusLine| s.members.iter().any(|m| m.id == new && m.voter);
        if all.filter(votes).count() * 2 > set.keepers.len() {
            println!("{new} is a keeper in place of {old}");
            return ExitCode::SUCCESS;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    fail(1, format_args!("{old} is let go, but {new} does not vote yet: see `fleet status`"))
}

/// Keeps until SIGTERM.
fn keep(file: &Path) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    log::start(&LogSettings::default());
    match Keeping::start(set, told_to_end()) {
        Ok(mut keeping) => match keeping.run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(1, e),
        },
        Err(e) => fail(2, e),
    }
}

/// Runs one of `fleet`'s.
pub fn fleet(command: &Fleet) -> ExitCode {
    match command {
        Fleet::Members { file, of, json } => members(file, *of, *json),
        Fleet::Status { file, json } => status(file, *json),
    }
}

fn members(file: &Path, of: Option<std::net::SocketAddr>, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let anyone = set.listen.into_iter().chain(set.seeds.iter().copied()).chain(set.keepers.iter().copied());
    let asked: Vec<_> = of.map_or_else(|| anyone.collect(), |of| vec![of]);
    let mut seen = asked.iter().filter_map(|at| client::members(&set, *at, Duration::from_secs(1)));
    let Some(mut lines) = seen.next() else {
        return fail(1, "no member answers");
    };
    lines.sort_by(|a, b| (&a.zone, &a.address, &a.id).cmp(&(&b.zone, &b.address, &b.id)));
    for l in lines {
        if json {
            println!("{}", serde_json::to_string(&l).unwrap_or_default());
        } else {
            let zone = if l.zone.is_empty() { "-" } else { &l.zone };
            let mark = if l.asked { "  (asked)" } else { "" };
            println!(
                "{}  {}  {}  {zone}  {} for {} s{mark}",
                l.id,
                l.address,
                l.kind,
                l.life,
                l.since_ms / 1_000
            );
        }
    }
    ExitCode::SUCCESS
}

fn status(file: &Path, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let mut reached = 0;
    for keeper in &set.keepers {
        let status = client::status(&set, *keeper, Duration::from_millis(1_000));
        reached += usize::from(status.is_some());
        if json {
            println!("{}", serde_json::json!({"keeper": keeper.to_string(), "status": status}));
        } else {
            match status {
                Some(s) => print_status(keeper, &s),
                None => println!("{keeper}  not reached"),
            }
        }
    }
    if reached * 2 > set.keepers.len() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn print_status(keeper: &std::net::SocketAddr, s: &StatusLine) {
    let voters = s.members.iter().filter(|m| m.voter).count();
    println!(
        "{keeper}  {}  {}  term {}  committed {} of {}  voters {voters} of {}",
        s.id,
        s.role,
        s.term,
        s.commit,
        s.last,
        s.members.len()
    );
    for t in &s.topics {
        println!(
            "    topic {}  head {}  horizon {}  keys {}  bytes {} (held {})  subscribers {}  behind {} ms at most",
            t.name, t.head, t.horizon, t.keys, t.bytes, t.held_bytes, t.subscribers, s.silent_ms
        );
    }
}

/// Runs one of `lease`'s.
pub fn lease(command: &Lease) -> ExitCode {
    match command {
        Lease::List { file, json } => list(file, *json),
        Lease::Act { at, holder, every_ms } => crate::act::act(*at, holder, Duration::from_millis(*every_ms)),
        Lease::Watch { file, name, json } => watch(file, name.as_deref(), *json),
        Lease::Hold { file, name, holders, ttl_ms, wait_ms, command } => {
            let set = match settings(file) {
                Ok(set) => set,
                Err(code) => return code,
            };
            let name = match Name::try_from(name.clone()) {
                Ok(name) => name,
                Err(e) => return fail(2, e),
            };
            let terms = Terms { name, places: *holders, ttl_ms: *ttl_ms };
            if let Err(e) = terms.check(set.drift) {
                return fail(2, e);
            }
            hold(set, &terms, wait_ms.map(Duration::from_millis), command)
        }
    }
}

fn list(file: &Path, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let Some(lines) = client::list(&set, Duration::from_secs(5)) else {
        return fail(1, "no keeper leads");
    };
    for l in lines {
        if json {
            println!("{}", serde_json::to_string(&l).unwrap_or_default());
        } else {
            println!(
                "{}  place {} of {}  token {}  holder {:016x}  {} ms  renewed {}",
                l.name, l.place, l.places, l.token, l.holder, l.ttl_ms, l.renewals
            );
        }
    }
    ExitCode::SUCCESS
}

fn watch(file: &Path, name: Option<&str>, json: bool) -> ExitCode {
    let set = match settings(file) {
        Ok(set) => set,
        Err(code) => return code,
    };
    let name = match name.map(|n| Name::try_from(n.to_owned())).transpose() {
        Ok(name) => name,
        Err(e) => return fail(2, e),
    };
    let mut out = std::io::stdout();
    client::watch(&set, name.as_ref(), |watched| {
        let text = match (json, watched) {
            (true, Watched::Stands(lines)) => serde_json::json!({ "stands": lines }).to_string(),
            (true, Watched::Changed(line)) => serde_json::json!({ "changed": line }).to_string(),
            (false, Watched::Stands(lines)) => {
                let one = |l: &LeaseLine| {
                    format!("{}  place {} of {}  token {}  stands", l.name, l.place, l.places, l.token)
                };
                lines.iter().map(one).collect::<Vec<_>>().join("\n")
            }
            (false, Watched::Changed(l)) => format!("{}  token {}  {}", l.name, l.token, l.what),
        };
        // Whoever read it is gone.
        (text.is_empty() || writeln!(out, "{text}").is_ok()) && out.flush().is_ok()
    });
    ExitCode::SUCCESS
}

/// A command that runs under a lease.
struct Running {
    child: Child,
    token: Token,
    told: bool,
}

impl Running {
    fn start(command: &[String], name: &Name, token: Token) -> std::io::Result<Running> {
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
    permit.map_or(Duration::ZERO, |p| p.until().saturating_sub(now))
}

fn hold(set: FleetSettings, terms: &Terms, wait: Option<Duration>, command: &[String]) -> ExitCode {
    let end = told_to_end();
    let ttl = Duration::from_millis(u64::from(terms.ttl_ms));
    // It is told when a quarter of the time is left, and ended when a tenth is.
    let (tell_at, end_at) = (ttl / 4, (ttl / 10).max(Duration::from_millis(50)));
    let clock = set.clock();
    let mut holder = Holder::new(HolderId(rand::random()), terms.clone(), set.drift, rand::random());
    let mut way = Way::new(set);
    let began = clock();
    let mut running: Option<Running> = None;
    let mut inputs = vec![HolderInput::Want];
    loop {
        for input in std::mem::take(&mut inputs) {
            for output in holder.handle(clock(), input) {
                match output {
                    HolderOutput::Send(request) => way.send(request),
                    HolderOutput::Held(token) if running.is_none() => {
                        match Running::start(command, &terms.name, token) {
                            Ok(started) => running = Some(started),
                            Err(e) => return fail(2, format_args!("{}: {e}", command[0])),
                        }
                    }
                    HolderOutput::Held(_) => {}
                    HolderOutput::Lost(_) => {
                        if let Some(mut run) = running.take() {
                            run.end();
                            return fail(LOST, format_args!("the lease {} was lost", terms.name));
                        }
                    }
                    HolderOutput::Never(why) => return fail(2, why),
                }
            }
        }
        let now = clock();
        let permit = holder.permit(now);
        if let Some(run) = &mut running {
            let left = left(permit.as_ref(), now);
            if let Ok(Some(status)) = run.child.try_wait() {
                release(&mut holder, &mut way, &clock);
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
            release(&mut holder, &mut way, &clock);
            return fail(NOT_OBTAINED, format_args!("the lease {} was not obtained", terms.name));
        }
        let due = holder.next_due().map_or(Duration::from_millis(20), |d| d.saturating_sub(clock()));
        if let Some(input) = way.hear(due.min(Duration::from_millis(20))) {
            inputs.push(input);
        }
        inputs.push(HolderInput::Tick);
    }
}

/// Gives it back, as far as a keeper can be reached soon; otherwise it runs out.
fn release(holder: &mut Holder, way: &mut Way, clock: &impl Fn() -> Duration) {
    let until = clock() + Duration::from_millis(500);
    let mut input = HolderInput::GiveBack;
    while clock() < until {
        for output in holder.handle(clock(), input) {
            if let HolderOutput::Send(request) = output {
                way.send(request);
            }
        }
        if holder.is_idle() {
            break;
        }
        input = way.hear(Duration::from_millis(20)).unwrap_or(HolderInput::Tick);
    }
    let _ = std::io::stderr().flush();
}

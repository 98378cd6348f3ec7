//! `beechloft`: the session front and what is run around it.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod bench;
mod day;
mod demo;
mod fleet;
mod fleet_membership;
mod log;
mod node;
mod outlier_observer;
mod serve;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A session front: places video sessions on streaming servers and shapes them there.
#[derive(Debug, Parser)]
#[command(name = "beechloft", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a front until SIGINT or SIGTERM
    Serve {
        /// Its settings
        file: PathBuf,
    },
    /// Run a real front node on the platform's protocol, as ROUTER_CONFIG tells, until SIGTERM
    Node {
        /// It is one of a fleet: a file with a `fleet` section
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Check a settings file and say all its faults at once
    Check {
        /// The settings, or with --day a day script
        file: PathBuf,
        /// It is a day script
        #[arg(long)]
        day: bool,
    },
    /// Run a front, a list service and stand-in boxes in one go, on free loopback ports
    Demo {
        /// Boxes of the fleet
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=200))]
        boxes: u32,
    },
    /// Run a scripted day against real fronts and check the rules from the sockets
    Day {
        /// The script
        file: PathBuf,
        /// Seed of all that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
        /// Keep settings, logs and the trace in this folder
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Measure the front against players that go straight to the boxes
    Bench {
        /// New sessions a second for the added time
        #[arg(long, default_value_t = 48.0)]
        rate: f64,
        /// Seconds of each part
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Clients at once for the highest steady rate; the module lets four set-ups at once out to each of three boxes
        #[arg(long, default_value_t = 12)]
        clients: usize,
        /// Sessions that play at once for the memory that each takes
        #[arg(long, default_value_t = 10_000)]
        playing: usize,
    },
    /// Look at a store's folder, or tidy it
    Store {
        #[command(subcommand)]
        command: store::Command,
    },
    /// Keep the fleet's leases until SIGTERM
    Keeper(fleet::Keeper),
    /// Hold a lease of the fleet, or list them
    Lease {
        #[command(subcommand)]
        command: fleet::Lease,
    },
    /// How the fleet's keepers stand
    Fleet {
        #[command(subcommand)]
        command: fleet::Fleet,
    },
    /// Drive a front past its own rate of calls, with overload control and without
    Overload {
        /// The front's own rate, calls a second; it is looked for if not given
        #[arg(long)]
        rate: Option<f64>,
        /// How many times its own rate
        #[arg(long, default_value_t = 3.0)]
        times: f64,
        /// Seconds of each part
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
}

/// Exit codes: 0 all well, 1 a rule broken or a run that failed, 2 bad input.
fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve { file } => serve::serve(&file),
        Command::Node { fleet } => node::node(fleet.as_deref()),
        Command::Check { file, day } => serve::check(&file, day),
        Command::Demo { boxes } => demo::demo(boxes),
        Command::Day { file, seed, json, keep } => day::day(&file, seed, json, keep.as_deref()),
        Command::Bench { rate, seconds, clients, playing } => bench::bench(rate, seconds, clients, playing),
        Command::Store { command } => store::store(&command),
        Command::Keeper(args) => fleet::run_coordinator(&args),
        Command::Lease { command } => fleet::lease(&command),
        Command::Fleet { command } => fleet::fleet(&command),
        Command::Overload { rate, times, seconds } => bench::overload::overload(rate, times, seconds),
    }
}

/// Says what went wrong; the code goes back to the caller.
fn fail(code: u8, text: impl std::fmt::Display) -> ExitCode {
    eprintln!("beechloft: {text}");
    ExitCode::from(code)
}

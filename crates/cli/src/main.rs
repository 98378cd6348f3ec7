//! The `beechloft` command: runs session fronts and coordinators, and inspects, simulates and measures them.
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

/// Session front that places video sessions on media servers and controls their quality there
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
        /// Settings file
        file: PathBuf,
    },
    /// Run a front node on the platform's protocol, configured by ROUTER_CONFIG, until SIGTERM
    Node {
        /// Join a fleet, described by a settings file with a `fleet` section
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Check a settings file and report all errors
    Check {
        /// Settings file, or day script with --day
        file: PathBuf,
        /// Check a day script
        #[arg(long)]
        day: bool,
    },
    /// Run a front, an endpoint list service and simulated media servers on free loopback ports
    Demo {
        /// Number of simulated media servers
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=200))]
        boxes: u32,
    },
    /// Run a scripted scenario against real fronts and check the rules on the observed traffic
    Day {
        /// Day script
        file: PathBuf,
        /// Seed of the random number generator
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
        /// Write settings, logs and the trace to this directory
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Compare players that connect through the front with players that connect to the media servers directly
    Bench {
        /// New sessions per second while the added latency is measured
        #[arg(long, default_value_t = 48.0)]
        rate: f64,
        /// Duration of each phase in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Number of concurrent clients for the maximum throughput; a front sends up to four concurrent set-ups to each of three media servers
        #[arg(long, default_value_t = 12)]
        clients: usize,
        /// Number of concurrent sessions while the memory per session is measured
        #[arg(long, default_value_t = 10_000)]
        playing: usize,
    },
    /// Inspect or compact a store directory
    Store {
        #[command(subcommand)]
        command: store::Command,
    },
    /// Run a replica of the fleet's coordinator until SIGTERM, or replace a replica
    Keeper(fleet::CoordinatorArgs),
    /// Hold, list or watch leases of the fleet
    Lease {
        #[command(subcommand)]
        command: fleet::LeaseCommand,
    },
    /// Show the fleet's members and the status of its coordinator
    Fleet {
        #[command(subcommand)]
        command: fleet::FleetCommand,
    },
    /// Send a front more calls than it can handle, with and without overload control
    Overload {
        /// Capacity of the front in calls per second; measured if not given
        #[arg(long)]
        rate: Option<f64>,
        /// Offered load as a multiple of the capacity
        #[arg(long, default_value_t = 3.0)]
        times: f64,
        /// Duration of each phase in seconds
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
}

/// Runs the command. Exits with 0 on success, 1 if a rule was broken or the run failed, and 2 on invalid input.
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

/// Prints an error to standard error and returns the exit code.
fn fail(code: u8, text: impl std::fmt::Display) -> ExitCode {
    eprintln!("beechloft: {text}");
    ExitCode::from(code)
}

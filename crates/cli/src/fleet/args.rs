//! The words of `keeper`, `lease` and `fleet`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

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
    pub(super) file: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) command: Option<KeeperCommand>,
}

#[derive(Debug, Subcommand)]
pub(super) enum KeeperCommand {
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

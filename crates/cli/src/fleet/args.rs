//! Arguments of the commands `keeper`, `lease` and `fleet`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

/// Subcommands of `lease`.
#[derive(Debug, Subcommand)]
pub enum LeaseCommand {
    /// Run a command while holding a lease; the command is stopped before the lease can expire
    Hold {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Name of the lease
        name: String,
        /// Maximum number of concurrent holders
        #[arg(long, default_value_t = 1)]
        holders: u16,
        /// Time to live of the lease in milliseconds
        #[arg(long, default_value_t = 3_000, value_parser = clap::value_parser!(u32).range(500..=3_600_000))]
        ttl_ms: u32,
        /// Maximum time to wait for the lease in milliseconds; unlimited if not given
        #[arg(long)]
        wait_ms: Option<u64>,
        /// Command to run, with BEECHLOFT_LEASE and BEECHLOFT_FENCE in its environment
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
    /// Send the fencing token in BEECHLOFT_FENCE repeatedly to a server that checks tokens; for tests
    Act {
        /// Address of the server
        at: std::net::SocketAddr,
        /// Name to send with the token
        #[arg(long = "as", default_value = "somebody")]
        holder: String,
        /// Interval between requests in milliseconds
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        every_ms: u64,
    },
    /// Print the current grants, then each grant that is made or ends, until SIGTERM
    Watch {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Print only the grants of this lease
        name: Option<String>,
        /// Print JSON lines
        #[arg(long)]
        json: bool,
    },
    /// Print all grants
    List {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Print JSON lines
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of `keeper`.
#[derive(Debug, Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct CoordinatorArgs {
    /// Settings file with a `fleet` section
    #[arg(required = true)]
    pub(super) file: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) command: Option<CoordinatorCommand>,
}

/// Subcommands of `keeper`.
#[derive(Debug, Subcommand)]
pub(super) enum CoordinatorCommand {
    /// Remove a replica whose disk was lost and admit the one that was started in its place
    Replace {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Id of the lost replica, as printed by `fleet status`
        old: String,
        /// Id of the new replica
        new: String,
    },
}

/// Subcommands of `fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Print the members that a process of the fleet sees; asks the settings' own address, then seeds, then replicas
    Members {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Address of the process to ask
        #[arg(long)]
        of: Option<std::net::SocketAddr>,
        /// Print JSON lines
        #[arg(long)]
        json: bool,
    },
    /// Print the status of each replica of the coordinator
    Status {
        /// Settings file with a `fleet` section
        file: PathBuf,
        /// Print JSON lines
        #[arg(long)]
        json: bool,
    },
}

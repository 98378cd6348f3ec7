//! The command `store`: inspects and compacts a store directory.
//!
//! Exit codes: 0 the store is intact, 1 it is damaged, 2 it can't be read, isn't a store or is in use.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beechloft_store::directory::{Directory, DiskDirectory};
use beechloft_store::recovery::{self, Recovered};
use beechloft_store::{Options, Store, StoreError, Table, generation_of_file};
use clap::Subcommand;

use crate::fail;

/// Subcommands of `store`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read every generation and report damage and its offset; changes nothing
    Check {
        /// Store directory
        folder: PathBuf,
    },
    /// Print all entries of the newest generation as JSON lines; changes nothing
    Dump {
        /// Store directory
        folder: PathBuf,
        /// Print only this table
        #[arg(long)]
        table: Option<u8>,
    },
    /// Write a new generation with the live entries only; the store must not be in use
    Compact {
        /// Store directory
        folder: PathBuf,
    },
    /// Print keys and bytes by table, and file sizes; changes nothing
    Stat {
        /// Store directory
        folder: PathBuf,
    },
}

/// Runs a subcommand of `store`.
pub fn store(command: &Command) -> ExitCode {
    let result = match command {
        Command::Check { folder } => check(folder),
        Command::Dump { folder, table } => {
            recover_newest(folder).and_then(|recovered| dump(&recovered, table.map(Table)))
        }
        Command::Compact { folder } => compact(folder),
        Command::Stat { folder } => recover_newest(folder).and_then(|recovered| stat(folder, &recovered)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Problem::Damaged(text)) => fail(1, text),
        Err(Problem::Unreadable(text)) => fail(2, text),
    }
}

/// Error of a subcommand, by exit code.
enum Problem {
    /// The newest generation is damaged.
    Damaged(String),
    /// The store can't be read, doesn't exist or is in use.
    Unreadable(String),
}

impl From<io::Error> for Problem {
    fn from(error: io::Error) -> Self {
        Problem::Unreadable(error.to_string())
    }
}

impl From<StoreError> for Problem {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Corrupt { .. } => Problem::Damaged(error.to_string()),
            other => Problem::Unreadable(other.to_string()),
        }
    }
}

/// Opens an existing store directory and returns its generations with their file names, in ascending order.
///
/// # Errors
/// The directory doesn't exist or has no generations. Inspecting a store never creates a directory.
fn generations(folder: &Path) -> Result<(DiskDirectory, Vec<(u64, String)>), Problem> {
    if !folder.is_dir() {
        return Err(Problem::Unreadable(format!("{}: no such directory", folder.display())));
    }
    let disk = DiskDirectory::open(folder)?;
    let all: Vec<_> =
        disk.list()?.into_iter().filter_map(|file| Some((generation_of_file(&file)?, file))).collect();
    if all.is_empty() {
        return Err(Problem::Unreadable(format!("{}: not a store", folder.display())));
    }
    Ok((disk, all))
}

/// Checks every generation. Only damage to the newest one is an error, as older ones are superseded.
fn check(folder: &Path) -> Result<(), Problem> {
    let (disk, all) = generations(folder)?;
    let last = all.last().map(|(generation, _)| *generation);
    let mut problem = None;
    for (generation, file) in all {
        let bytes = disk.read(&file)?;
        match recovery::recover(generation, &bytes) {
            Ok(recovered) if recovered.torn_len > 0 => println!(
                "{file}: sound up to batch {} with {} keys; offset {}: {} bytes of no whole batch",
                recovered.seq,
                recovered.state.len(),
                recovered.valid_len,
                recovered.torn_len
            ),
            Ok(recovered) => {
                println!("{file}: sound, {} keys, up to batch {}", recovered.state.len(), recovered.seq)
            }
            Err(error) => {
                println!("{file}: DAMAGED, {error}");
                if Some(generation) == last {
                    problem = Some(Problem::Damaged(format!("{file}: {error}")));
                }
            }
        }
    }
    problem.map_or(Ok(()), Err)
}

/// Recovers the state of the newest generation.
fn recover_newest(folder: &Path) -> Result<Recovered, Problem> {
    let (disk, all) = generations(folder)?;
    let Some((generation, file)) = all.last() else { return Err(Problem::Unreadable("not a store".into())) };
    recovery::recover(*generation, &disk.read(file)?)
        .map_err(|error| Problem::Damaged(format!("{file}: {error}")))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn dump(recovered: &Recovered, table_filter: Option<Table>) -> Result<(), Problem> {
    let mut out = io::BufWriter::new(io::stdout().lock());
    for ((table, key), value) in recovered
        .state
        .iter()
        .filter(|((entry_table, _), _)| table_filter.is_none_or(|table| table == *entry_table))
    {
        let line =
            serde_json::json!({"table": table.0, "key": hexadecimal(key), "value": hexadecimal(value)});
        writeln!(out, "{line}")?;
    }
    Ok(out.flush()?)
}

fn stat(folder: &Path, recovered: &Recovered) -> Result<(), Problem> {
    let mut tables: BTreeMap<Table, (u64, u64)> = BTreeMap::new();
    for ((table, key), value) in &recovered.state {
        let (keys, bytes) = tables.entry(*table).or_default();
        (*keys, *bytes) = (*keys + 1, *bytes + (key.len() + value.len()) as u64);
    }
    let live: u64 = tables.values().map(|t| t.1).sum();
    for (table, (keys, bytes)) in &tables {
        println!("table {}: {keys} keys, {bytes} bytes", table.0);
    }
    let (disk, all) = generations(folder)?;
    let mut files = 0;
    for (_, file) in &all {
        let bytes = disk.read(file)?.len() as u64;
        files += bytes;
        println!("{file}: {bytes} bytes");
    }
    println!(
        "generation {}, batch {}: {live} bytes live, {files} in files, {:.2} times",
        recovered.generation,
        recovered.seq,
        files as f64 / live.max(1) as f64
    );
    Ok(())
}

fn compact(folder: &Path) -> Result<(), Problem> {
    let (disk, _) = generations(folder)?;
    let (mut store, notes) = Store::open(disk, Options::default())?;
    notes.iter().for_each(|note| println!("{note}"));
    store.compact()?;
    println!("generation {} with {} keys", store.generation(), store.view().len());
    Ok(())
}

//! `store`: looks at a store's folder, and tidies it.
//!
//! Exit codes: 0 sound, 1 damaged, 2 it can't be read, is no store or is in use.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beechloft_store::directory::{Directory, DiskDirectory};
use beechloft_store::recovery::{self, Recovered};
use beechloft_store::{Options, Store, StoreError, Table, generation_of_file};
use clap::Subcommand;

use crate::fail;

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read every generation and say what is damaged, where; nothing is changed
    Check {
        /// The store's folder
        folder: PathBuf,
    },
    /// Print all entries of the newest generation as JSON lines; nothing is changed
    Dump {
        /// The store's folder
        folder: PathBuf,
        /// Of this table alone
        #[arg(long)]
        table: Option<u8>,
    },
    /// Write a new generation without what is out of date; the store must not be in use
    Compact {
        /// The store's folder
        folder: PathBuf,
    },
    /// Keys and bytes by table, and what the files take; nothing is changed
    Stat {
        /// The store's folder
        folder: PathBuf,
    },
}

/// Runs one.
pub fn store(command: &Command) -> ExitCode {
    let done = match command {
        Command::Check { folder } => check(folder),
        Command::Dump { folder, table } => newest(folder).and_then(|r| dump(&r, table.map(Table))),
        Command::Compact { folder } => compact(folder),
        Command::Stat { folder } => newest(folder).and_then(|r| stat(folder, &r)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Problem::Damaged(text)) => fail(1, text),
        Err(Problem::Unread(text)) => fail(2, text),
    }
}

enum Problem {
    Damaged(String),
    Unread(String),
}

impl From<io::Error> for Problem {
    fn from(error: io::Error) -> Self {
        Problem::Unread(error.to_string())
    }
}

impl From<StoreError> for Problem {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Corrupt { .. } => Problem::Damaged(error.to_string()),
            other => Problem::Unread(other.to_string()),
        }
    }
}

/// The generations of a folder that is there, oldest first. A command that looks never makes one.
fn generations(folder: &Path) -> Result<(DiskDirectory, Vec<(u64, String)>), Problem> {
    if !folder.is_dir() {
        return Err(Problem::Unread(format!("{}: no such folder", folder.display())));
    }
    let disk = DiskDirectory::open(folder)?;
    let all: Vec<_> = disk.list()?.into_iter().filter_map(|n| Some((generation_of_file(&n)?, n))).collect();
    if all.is_empty() {
        return Err(Problem::Unread(format!("{}: no store", folder.display())));
    }
    Ok((disk, all))
}

fn check(folder: &Path) -> Result<(), Problem> {
    let (disk, all) = generations(folder)?;
    let last = all.last().map(|a| a.0);
    let mut problem = None;
    for (generation, file) in all {
        let bytes = disk.read(&file)?;
        match recovery::recover(generation, &bytes) {
            Ok(r) if r.torn_len > 0 => println!(
                "{file}: sound up to batch {} with {} keys; offset {}: {} bytes of no whole batch",
                r.seq,
                r.state.len(),
                r.valid_len,
                r.torn_len
            ),
            Ok(r) => println!("{file}: sound, {} keys, up to batch {}", r.state.len(), r.seq),
            Err(why) => {
                println!("{file}: DAMAGED, {why}");
                if Some(generation) == last {
                    problem = Some(Problem::Damaged(format!("{file}: {why}")));
                }
            }
        }
    }
    problem.map_or(Ok(()), Err)
}

fn newest(folder: &Path) -> Result<Recovered, Problem> {
    let (disk, all) = generations(folder)?;
    let Some((generation, file)) = all.last() else { return Err(Problem::Unread("no store".into())) };
    recovery::recover(*generation, &disk.read(file)?)
        .map_err(|why| Problem::Damaged(format!("{file}: {why}")))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn dump(recovered: &Recovered, only: Option<Table>) -> Result<(), Problem> {
    let mut out = io::BufWriter::new(io::stdout().lock());
    for ((table, key), value) in recovered.state.iter().filter(|((t, _), _)| only.is_none_or(|o| o == *t)) {
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

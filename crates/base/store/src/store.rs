//! The store: one writer, readers on views, generations.

use std::io;
use std::ops::Bound;
use std::sync::Arc;

use thiserror::Error;

use crate::frame::{self, Fault, HeadFault, Kind, Op, Table};
use crate::fs::{Append, Fs};
use crate::recovery::{self, Damage, Note, Recovered, State};

/// Why a store can't do something.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("another process has this store open")]
    Locked,
    /// A file is damaged, and what it held can't be had without it.
    #[error("{file}: {why}")]
    Damaged {
        /// Which.
        file: String,
        /// How.
        why: Damage,
    },
    /// The system failed.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// Why it failed.
        error: io::Error,
    },
    /// A write or sync failed before: what the disk holds is not known, and nothing is written any more.
    #[error("stopped, as it could not {0}")]
    Stopped(&'static str),
    /// A batch or the whole state is longer than a frame may be.
    #[error("more than {} bytes in one frame", frame::PAYLOAD)]
    TooLong,
    /// A compaction that was overtaken by another.
    #[error("this compaction is out of date")]
    Stale,
}

fn failed(what: &'static str) -> impl FnOnce(io::Error) -> StoreError {
    move |error| StoreError::Io { what, error }
}

/// Changes that happen together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch(Vec<Op>);

impl Batch {
    /// Gives a key a value.
    pub fn put(&mut self, table: Table, key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> &mut Self {
        self.put_shared(table, key, value.into().into())
    }

    /// The same with a value that is held elsewhere too: there is one copy of it in memory.
    pub fn put_shared(&mut self, table: Table, key: impl Into<Vec<u8>>, value: Arc<[u8]>) -> &mut Self {
        self.0.push(Op { table, key: key.into(), value: Some(value) });
        self
    }

    /// Removes a key.
    pub fn remove(&mut self, table: Table, key: impl Into<Vec<u8>>) -> &mut Self {
        self.0.push(Op { table, key: key.into(), value: None });
        self
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The state at one moment. Later writes do not change it.
#[derive(Debug, Clone)]
pub struct View {
    state: State,
    seq: u64,
}

impl View {
    /// The value of a key.
    pub fn get(&self, table: Table, key: &[u8]) -> Option<Arc<[u8]>> {
        self.state.get(&(table, key.to_vec())).cloned()
    }

    /// All keys and values of a table, in order.
    pub fn table(&self, table: Table) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from = Bound::Included((table, Vec::new()));
        self.state
            .range((from, Bound::Unbounded))
            .take_while(move |((t, _), _)| *t == table)
            .map(|((_, key), value)| (key.as_slice(), &**value))
    }

    /// The number of the last batch in it.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Keys of all tables.
    pub fn len(&self) -> usize {
        self.state.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.state.is_empty()
    }

    fn ops(&self) -> Vec<Op> {
        let op = |((table, key), value): (&(Table, Vec<u8>), &Arc<[u8]>)| Op {
            table: *table,
            key: key.clone(),
            value: Some(value.clone()),
        };
        self.state.iter().map(op).collect()
    }
}

/// How a store is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// A compaction is due when the batches take this many times what the whole state took.
    pub slack: f64,
    /// Batches up to so many bytes are never worth one.
    pub least: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { slack: 0.5, least: 64 * 1024 }
    }
}

/// A compaction that is under way: the state is written beside the generation that is in use, by whoever has this.
#[derive(Debug)]
pub struct Compaction {
    view: View,
    generation: u64,
    ticket: u64,
}

/// A generation that is written and does not count yet.
#[derive(Debug)]
pub struct Written<F: Append> {
    file: F,
    generation: u64,
    ticket: u64,
    whole: u64,
}

impl Compaction {
    /// Writes the generation; takes as long as it takes, on any thread.
    pub fn write<F: Fs>(&self, fs: &F) -> Result<Written<F::File>, StoreError> {
        let Compaction { view, generation, ticket } = self;
        let (file, whole) = write_whole(fs, *generation, *ticket, view)?;
        Ok(Written { file, generation: *generation, ticket: *ticket, whole })
    }
}

fn name(generation: u64) -> String {
    format!("{generation:016}.log")
}

/// A working name; each compaction has one of its own, so that one that was given up never takes another's place.
fn new_name(generation: u64, ticket: u64) -> String {
    format!("{generation:016}-{ticket}.new")
}

/// The generation that a file's name says, if it is one's.
pub fn generation_of(name: &str) -> Option<u64> {
    name.strip_suffix(".log").filter(|n| n.len() == 16)?.parse().ok()
}

/// Writes a generation under its working name and makes it last there; its length.
fn write_whole<F: Fs>(
    fs: &F,
    generation: u64,
    ticket: u64,
    view: &View,
) -> Result<(F::File, u64), StoreError> {
    let mut bytes = frame::head(generation);
    frame::write(generation, Kind::Whole, view.seq, view.seq, &view.ops(), &mut bytes)
        .ok_or(StoreError::TooLong)?;
    let mut file = fs.create(&new_name(generation, ticket)).map_err(failed("make a generation"))?;
    file.append(&bytes).map_err(failed("write a generation"))?;
    file.sync().map_err(failed("sync a generation"))?;
    Ok((file, bytes.len() as u64))
}

/// What has happened since a compaction began.
#[derive(Debug)]
struct Since {
    /// Which compaction.
    ticket: u64,
    batches: Vec<(u64, Vec<Op>)>,
}

/// A store that is open.
#[derive(Debug)]
pub struct Store<F: Fs> {
    fs: F,
    _lock: F::Lock,
    file: F::File,
    generation: u64,
    view: View,
    /// The last batch that lasts.
    synced: u64,
    stopped: Option<&'static str>,
    options: Options,
    /// Bytes of the whole state that the generation begins with, and of the batches after it.
    whole: u64,
    batches: u64,
    /// Batches since a compaction began, as they go into its generation.
    since: Option<Since>,
    /// Compactions that were begun.
    begun: u64,
}

impl<F: Fs> Store<F> {
    /// Opens the store of a folder, or begins one; what was found and done about it.
    pub fn open(fs: F, options: Options) -> Result<(Store<F>, Vec<Note>), StoreError> {
        let lock = fs.lock().map_err(|error| match error.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked,
            _ => StoreError::Io { what: "lock the folder", error },
        })?;
        let names = fs.list().map_err(failed("list the folder"))?;
        for leftover in names.iter().filter(|n| n.ends_with(".new")) {
            // A compaction that did not come to its end.
            fs.remove(leftover).map_err(failed("remove a leftover"))?;
        }
        let mut notes = Vec::new();
        let found = find(&fs, &names, &mut notes)?;
        let (file, recovered) = match found {
            Some(recovered) => (take_up(&fs, &recovered, &mut notes)?, recovered),
            None => begin(&fs)?,
        };
        let Recovered { generation, state, seq, sound, .. } = recovered;
        let view = View { state, seq };
        let store = Store {
            fs,
            _lock: lock,
            file,
            generation,
            view,
            synced: seq,
            stopped: None,
            options,
            whole: 0,
            batches: sound as u64,
            since: None,
            begun: 0,
        };
        Ok((store, notes))
    }

    /// The state now.
    pub fn view(&self) -> View {
        self.view.clone()
    }

    /// The generation in use.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn sound(&self) -> Result<(), StoreError> {
        self.stopped.map_or(Ok(()), |what| Err(StoreError::Stopped(what)))
    }

    fn stop(&mut self, what: &'static str, error: io::Error) -> StoreError {
        self.stopped = Some(what);
        StoreError::Io { what, error }
    }

    /// Writes a batch; its number. It lasts after [`Store::sync`]; until then a crash may lose it, whole.
    pub fn write(&mut self, batch: Batch) -> Result<u64, StoreError> {
        self.sound()?;
        let (seq, ops) = (self.view.seq + 1, batch.0);
        let mut bytes = Vec::new();
        frame::write(self.generation, Kind::Batch, seq, self.synced, &ops, &mut bytes)
            .ok_or(StoreError::TooLong)?;
        if let Err(error) = self.file.append(&bytes) {
            // A part of it may be there, and the next batch would stand behind it.
            return Err(self.stop("write a batch", error));
        }
        self.batches += bytes.len() as u64;
        if let Some(since) = &mut self.since {
            since.batches.push((seq, ops.clone()));
        }
        recovery::apply(&mut self.view.state, ops);
        self.view.seq = seq;
        Ok(seq)
    }

    /// Makes all batches so far last. One that fails is never tried again: the system may have dropped what it could not
    /// write, and a second sync would find nothing left to fail on.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.sound()?;
        self.file.sync().map_err(|error| self.stop("sync", error))?;
        self.synced = self.view.seq;
        Ok(())
    }

    /// Whether a compaction is worth its work.
    pub fn wants_compaction(&self) -> bool {
        let idle = self.since.is_none() && self.stopped.is_none();
        idle && self.batches > self.options.least
            && self.batches as f64 > self.options.slack * self.whole as f64
    }

    /// Begins a compaction. Batches may go on meanwhile; a second one makes this one stale.
    pub fn compaction(&mut self) -> Result<Compaction, StoreError> {
        self.sound()?;
        let generation = self.generation + 1;
        self.begun += 1;
        self.since = Some(Since { ticket: self.begun, batches: Vec::new() });
        Ok(Compaction { view: self.view.clone(), generation, ticket: self.begun })
    }

    /// Ends a compaction: batches since its beginning are added to what it wrote, and its generation is in use from now
    /// on. A failure before that leaves the present generation in use.
    pub fn finish(&mut self, written: Written<F::File>) -> Result<(), StoreError> {
        self.sound()?;
        let Written { mut file, generation, ticket, whole } = written;
        let since = self.since.take_if(|s| s.ticket == ticket).ok_or(StoreError::Stale)?.batches;
        let mut bytes = Vec::new();
        for (seq, ops) in &since {
            frame::write(generation, Kind::Batch, *seq, seq - 1, ops, &mut bytes)
                .ok_or(StoreError::TooLong)?;
        }
        if !bytes.is_empty() {
            file.append(&bytes).map_err(failed("write a generation"))?;
            file.sync().map_err(failed("sync a generation"))?;
        }
        self.fs
            .rename(&new_name(generation, ticket), &name(generation))
            .map_err(failed("name a generation"))?;
        // From here on it is not known which of the two a start would find.
        if let Err(error) = self.fs.sync_folder() {
            return Err(self.stop("sync the folder", error));
        }
        let before = std::mem::replace(&mut self.generation, generation);
        (self.file, self.whole, self.batches) = (file, whole, bytes.len() as u64);
        self.synced = self.view.seq;
        // The last generation stays for the case that this one is cut short; those before it go. One that can't be
        // removed takes room and does no harm.
        let names = self.fs.list().map_err(failed("list the folder"))?;
        let spent = |n: &&String| n.ends_with(".new") || generation_of(n).is_some_and(|n| n < before);
        for old in names.iter().filter(spent) {
            let _ = self.fs.remove(old);
        }
        Ok(())
    }

    /// A whole compaction at once.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let written = self.compaction()?.write(&self.fs)?;
        self.finish(written)
    }
}

/// The newest generation that can be gone on with.
fn find<F: Fs>(fs: &F, names: &[String], notes: &mut Vec<Note>) -> Result<Option<Recovered>, StoreError> {
    let mut generations: Vec<u64> = names.iter().filter_map(|n| generation_of(n)).collect();
    generations.sort_unstable();
    while let Some(generation) = generations.pop() {
        let file = name(generation);
        let bytes = fs.read(&file).map_err(failed("read a generation"))?;
        let why = match recovery::recover(generation, &bytes) {
            Ok(recovered) => return Ok(Some(recovered)),
            Err(why) => why,
        };
        // Only a generation that is cut short before its state was whole is passed over: it holds nothing that the one
        // before does not. What is damaged may have held more, and is left to people.
        let short = matches!(why, Damage::Head(HeadFault::Short) | Damage::Whole { fault: Fault::Short, .. });
        let has_before = generations.last().is_some_and(|g| *g == generation - 1) || generation == 1;
        if !(short && has_before) {
            return Err(StoreError::Damaged { file, why });
        }
        notes.push(Note::FellBack { generation, why });
        fs.remove(&file).map_err(failed("remove a generation that is cut short"))?;
    }
    Ok(None)
}

/// Goes on with a generation: what follows its last whole batch is cut off, before anything is written behind it.
fn take_up<F: Fs>(fs: &F, recovered: &Recovered, notes: &mut Vec<Note>) -> Result<F::File, StoreError> {
    let Recovered { generation, sound, torn, .. } = *recovered;
    let file = name(generation);
    if torn > 0 {
        notes.push(Note::Torn { generation, at: sound, bytes: torn });
    }
    let mut file = fs.resume(&file, sound as u64).map_err(failed("go on with a generation"))?;
    // What was read may never have been synced by the process that wrote it.
    file.sync().map_err(failed("sync a generation"))?;
    fs.sync_folder().map_err(failed("sync the folder"))?;
    Ok(file)
}

/// The first generation of a folder.
fn begin<F: Fs>(fs: &F) -> Result<(F::File, Recovered), StoreError> {
    let view = View { state: State::new(), seq: 0 };
    let (file, length) = write_whole(fs, 1, 0, &view)?;
    fs.rename(&new_name(1, 0), &name(1)).map_err(failed("name a generation"))?;
    fs.sync_folder().map_err(failed("sync the folder"))?;
    Ok((file, Recovered { generation: 1, state: view.state, seq: 0, sound: length as usize, torn: 0 }))
}

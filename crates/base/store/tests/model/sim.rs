//! A file system in memory that loses power: what was not synced is lost in part, in any order.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use beechloft_store::directory::{AppendFile, Directory};

#[derive(Debug, Clone, Default)]
struct Inode {
    durable: Vec<u8>,
    now: Vec<u8>,
    /// Begin and end of each write since the last sync.
    writes: Vec<(usize, usize)>,
}

#[derive(Debug, Clone)]
enum Change {
    Link(String, usize),
    Unlink(String),
}

#[derive(Debug, Default)]
struct Inner {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    /// Changes of names since the directory was synced.
    changes: Vec<Change>,
    locked: bool,
    ops: u64,
    /// The number of the operation that fails.
    fails: Option<u64>,
    /// Bytes that can still be written.
    room: Option<usize>,
}

/// The directory; clones are the same one.
#[derive(Debug, Clone, Default)]
pub struct Sim(Arc<Mutex<Inner>>);

pub struct Lock(Sim);

impl Drop for Lock {
    fn drop(&mut self) {
        self.0.inner().locked = false;
    }
}

#[derive(Debug)]
pub struct SimFile(Sim, usize);

fn broken() -> io::Error {
    io::Error::other("injected failure")
}

impl Inner {
    fn op(&mut self) -> io::Result<()> {
        self.ops += 1;
        if self.fails == Some(self.ops) { Err(broken()) } else { Ok(()) }
    }

    fn change(&mut self, change: Change) {
        match &change {
            Change::Link(name, inode) => drop(self.names.insert(name.clone(), *inode)),
            Change::Unlink(name) => drop(self.names.remove(name)),
        }
        self.changes.push(change);
    }
}

impl Sim {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no panic holds it")
    }

    /// Makes the n-th operation from now fail.
    pub fn fail(&self, after: u64) {
        let mut inner = self.inner();
        inner.fails = Some(inner.ops + after);
    }

    /// Limits the number of bytes that can be written from now on.
    pub fn room(&self, bytes: usize) {
        self.inner().room = Some(bytes);
    }

    /// Loses power; `chance` supplies random numbers.
    pub fn crash(&self, mut chance: impl FnMut() -> usize) {
        let mut inner = self.inner();
        let kept = chance() % (inner.changes.len() + 1);
        let mut names = inner.durable.clone();
        for change in inner.changes.drain(..).take(kept) {
            match change {
                Change::Link(name, inode) => drop(names.insert(name, inode)),
                Change::Unlink(name) => drop(names.remove(&name)),
            }
        }
        for inode in &mut inner.inodes {
            let mut after = inode.durable.clone();
            for (from, to) in inode.writes.drain(..) {
                // Whole, not at all, or a part of it.
                let to = match chance() % 4 {
                    0 => continue,
                    1 => from + chance() % (to - from + 1),
                    _ => to,
                };
                if after.len() < to {
                    after.resize(to, 0);
                }
                after[from..to].copy_from_slice(&inode.now[from..to]);
            }
            (inode.durable, inode.now) = (after.clone(), after);
        }
        (inner.names, inner.durable) = (names.clone(), names);
        (inner.locked, inner.fails, inner.room) = (false, None, None);
    }

    /// All files as they are.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let inner = self.inner();
        inner.names.iter().map(|(n, i)| (n.clone(), inner.inodes[*i].now.clone())).collect()
    }

    /// A directory of these files, all of them durable.
    pub fn of(files: &BTreeMap<String, Vec<u8>>) -> Sim {
        let sim = Sim::default();
        {
            let mut inner = sim.inner();
            for (name, bytes) in files {
                inner.inodes.push(Inode { durable: bytes.clone(), now: bytes.clone(), writes: Vec::new() });
                let inode = inner.inodes.len() - 1;
                inner.names.insert(name.clone(), inode);
                inner.durable.insert(name.clone(), inode);
            }
        }
        sim
    }

    pub fn bytes(&self) -> usize {
        self.files().values().map(Vec::len).sum()
    }
}

impl Directory for Sim {
    type File = SimFile;
    type Lock = Lock;

    fn lock(&self) -> io::Result<Lock> {
        if std::mem::replace(&mut self.inner().locked, true) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(Lock(self.clone()))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.inner();
        let inode = inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(inner.inodes[*inode].now.clone())
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut inner = self.inner();
        inner.op()?;
        inner.inodes.push(Inode::default());
        let inode = inner.inodes.len() - 1;
        inner.change(Change::Link(name.into(), inode));
        Ok(SimFile(self.clone(), inode))
    }

    fn resume(&self, name: &str, length: u64) -> io::Result<SimFile> {
        let mut inner = self.inner();
        inner.op()?;
        let inode = *inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        // Files are truncated only when a store is opened, and synced before anything else.
        let file = &mut inner.inodes[inode];
        let length = usize::try_from(length).expect("files in memory");
        file.now.truncate(length);
        file.durable.truncate(length);
        Ok(SimFile(self.clone(), inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.op()?;
        let inode = *inner.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        inner.change(Change::Link(to.into(), inode));
        inner.names.remove(from);
        // A rename is one change: both names at once.
        let last = inner.changes.len() - 1;
        inner.changes[last] = Change::Link(to.into(), inode);
        inner.durable.remove(from);
        inner.changes.retain(|c| !matches!(c, Change::Link(n, _) if n == from));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.op()?;
        inner.change(Change::Unlink(name.into()));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.op()?;
        inner.durable = inner.names.clone();
        inner.changes.clear();
        Ok(())
    }
}

impl AppendFile for SimFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.inner();
        let failed = inner.op();
        let room = inner.room.unwrap_or(usize::MAX);
        let fits = if failed.is_err() { bytes.len() / 2 } else { bytes.len().min(room) };
        inner.room = inner.room.map(|r| r - fits.min(r));
        let file = &mut inner.inodes[self.1];
        let from = file.now.len();
        file.now.extend(&bytes[..fits]);
        file.writes.push((from, from + fits));
        failed?;
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.0.inner();
        inner.op()?;
        let file = &mut inner.inodes[self.1];
        file.durable = file.now.clone();
        file.writes.clear();
        Ok(())
    }
}

//! A simulated directory in memory. A power failure loses an arbitrary part of the changes that were not synced.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use beechloft_store::directory::{AppendFile, Directory};

/// The content of a file.
#[derive(Debug, Clone, Default)]
struct Inode {
    /// Content after the last sync or power failure.
    durable: Vec<u8>,
    /// Content that the process sees.
    current: Vec<u8>,
    /// Start and end of each write since the last sync.
    unsynced_writes: Vec<(usize, usize)>,
}

/// A change of a name in the directory.
#[derive(Debug, Clone)]
enum Change {
    Link(String, usize),
    Unlink(String),
}

#[derive(Debug, Default)]
struct Inner {
    inodes: Vec<Inode>,
    /// Index of the inode of each name, as the process sees it.
    names: BTreeMap<String, usize>,
    /// Index of the inode of each name after the last sync of the directory.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the directory.
    changes: Vec<Change>,
    locked: bool,
    /// Number of operations so far.
    operations: u64,
    /// Number of the operation that fails.
    failing_operation: Option<u64>,
    /// Number of bytes that can still be written.
    free_space: Option<usize>,
}

/// A simulated directory. Clones share their content.
#[derive(Debug, Clone, Default)]
pub struct Sim(Arc<Mutex<Inner>>);

/// Guard that releases the directory's lock when it is dropped.
pub struct Lock(Sim);

impl Drop for Lock {
    fn drop(&mut self) {
        self.0.inner().locked = false;
    }
}

/// Handle of a file: its directory and the index of its inode.
#[derive(Debug)]
pub struct SimFile(Sim, usize);

fn injected_error() -> io::Error {
    io::Error::other("injected failure")
}

impl Inner {
    /// Counts an operation, which fails if a failure was injected.
    fn begin_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        if self.failing_operation == Some(self.operations) { Err(injected_error()) } else { Ok(()) }
    }

    /// Applies a change of a name.
    fn apply_change(&mut self, change: Change) {
        match &change {
            Change::Link(name, inode) => drop(self.names.insert(name.clone(), *inode)),
            Change::Unlink(name) => drop(self.names.remove(name)),
        }
        self.changes.push(change);
    }
}

impl Sim {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("lock is poisoned")
    }

    /// Makes the n-th operation from now fail.
    pub fn fail_operation(&self, distance: u64) {
        let mut inner = self.inner();
        inner.failing_operation = Some(inner.operations + distance);
    }

    /// Limits the number of bytes that can be written from now on.
    pub fn limit_space(&self, bytes: usize) {
        self.inner().free_space = Some(bytes);
    }

    /// Simulates a power failure. `random` supplies random numbers.
    pub fn crash(&self, mut random: impl FnMut() -> usize) {
        let mut inner = self.inner();
        let durable_changes = random() % (inner.changes.len() + 1);
        let mut names = inner.durable_names.clone();
        for change in inner.changes.drain(..).take(durable_changes) {
            match change {
                Change::Link(name, inode) => drop(names.insert(name, inode)),
                Change::Unlink(name) => drop(names.remove(&name)),
            }
        }
        for inode in &mut inner.inodes {
            let mut content = inode.durable.clone();
            for (from, to) in inode.unsynced_writes.drain(..) {
                // The write is lost, durable up to an arbitrary byte, or durable as a whole.
                let durable_to = match random() % 4 {
                    0 => continue,
                    1 => from + random() % (to - from + 1),
                    _ => to,
                };
                if content.len() < durable_to {
                    content.resize(durable_to, 0);
                }
                content[from..durable_to].copy_from_slice(&inode.current[from..durable_to]);
            }
            (inode.durable, inode.current) = (content.clone(), content);
        }
        (inner.names, inner.durable_names) = (names.clone(), names);
        (inner.locked, inner.failing_operation, inner.free_space) = (false, None, None);
    }

    /// Returns the content of all files, as the process sees it.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let inner = self.inner();
        inner.names.iter().map(|(name, inode)| (name.clone(), inner.inodes[*inode].current.clone())).collect()
    }

    /// Creates a directory of these files, all of which are durable.
    pub fn from_files(files: &BTreeMap<String, Vec<u8>>) -> Sim {
        let sim = Sim::default();
        {
            let mut inner = sim.inner();
            for (name, bytes) in files {
                inner.inodes.push(Inode {
                    durable: bytes.clone(),
                    current: bytes.clone(),
                    unsynced_writes: Vec::new(),
                });
                let inode = inner.inodes.len() - 1;
                inner.names.insert(name.clone(), inode);
                inner.durable_names.insert(name.clone(), inode);
            }
        }
        sim
    }

    /// Returns the total length of all files, bytes.
    pub fn total_bytes(&self) -> usize {
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
        Ok(inner.inodes[*inode].current.clone())
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        inner.inodes.push(Inode::default());
        let inode = inner.inodes.len() - 1;
        inner.apply_change(Change::Link(name.into(), inode));
        Ok(SimFile(self.clone(), inode))
    }

    fn resume(&self, name: &str, length: u64) -> io::Result<SimFile> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        let inode = *inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        // A truncation is durable at once, because the store truncates a file only when it is opened and syncs it next.
        let file = &mut inner.inodes[inode];
        let length = usize::try_from(length).expect("length exceeds the address space");
        file.current.truncate(length);
        file.durable.truncate(length);
        Ok(SimFile(self.clone(), inode))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        let inode = *inner.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        inner.apply_change(Change::Link(to.into(), inode));
        inner.names.remove(from);
        // A rename changes both names atomically.
        let last = inner.changes.len() - 1;
        inner.changes[last] = Change::Link(to.into(), inode);
        inner.durable_names.remove(from);
        inner.changes.retain(|change| !matches!(change, Change::Link(name, _) if name == from));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        inner.apply_change(Change::Unlink(name.into()));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.begin_operation()?;
        inner.durable_names = inner.names.clone();
        inner.changes.clear();
        Ok(())
    }
}

impl AppendFile for SimFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.0.inner();
        let operation = inner.begin_operation();
        let free_space = inner.free_space.unwrap_or(usize::MAX);
        let written = if operation.is_err() { bytes.len() / 2 } else { bytes.len().min(free_space) };
        inner.free_space = inner.free_space.map(|space| space - written.min(space));
        let file = &mut inner.inodes[self.1];
        let from = file.current.len();
        file.current.extend(&bytes[..written]);
        file.unsynced_writes.push((from, from + written));
        operation?;
        if written < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.0.inner();
        inner.begin_operation()?;
        let file = &mut inner.inodes[self.1];
        file.durable = file.current.clone();
        file.unsynced_writes.clear();
        Ok(())
    }
}

//! The operations of the file system that a store needs, as traits, so that tests can replace them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

use rustix::fs::FlockOperation;

/// A directory with files.
pub trait Directory {
    /// A file that is written at its end.
    type File: AppendFile;
    /// A guard that keeps other processes out while it lives.
    type Lock;

    /// Takes the directory's lock.
    ///
    /// # Errors
    /// `WouldBlock`, if another process holds it; other errors of the file system.
    fn lock(&self) -> io::Result<Self::Lock>;

    /// The names of all files.
    ///
    /// # Errors
    /// Errors of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// All bytes of a file.
    ///
    /// # Errors
    /// Errors of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or empties an existing one.
    ///
    /// # Errors
    /// Errors of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Truncates a file to a length and opens it for appending.
    ///
    /// # Errors
    /// Errors of the file system.
    fn resume(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing one. Durable after [`Directory::sync`].
    ///
    /// # Errors
    /// Errors of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Durable after [`Directory::sync`].
    ///
    /// # Errors
    /// Errors of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes changes of names durable.
    ///
    /// # Errors
    /// Errors of the file system.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is written at its end.
pub trait AppendFile {
    /// Writes all bytes. On an error a part of them may have been written.
    ///
    /// # Errors
    /// Errors of the file system.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes what was written durable.
    ///
    /// # Errors
    /// Errors of the file system.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the operating system.
#[derive(Debug, Clone)]
pub struct DiskDirectory {
    path: PathBuf,
}

/// The name of the lock file.
const LOCK_FILE: &str = "lock";

impl DiskDirectory {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    /// Errors of the file system.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<DiskDirectory> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(DiskDirectory { path })
    }
}

impl Directory for DiskDirectory {
    type File = File;
    type Lock = File;

    fn lock(&self) -> io::Result<File> {
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK_FILE))?;
        rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(file)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // A name that is not valid Unicode is of no file of the store.
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).write(true).truncate(true).open(self.path.join(name))
    }

    fn resume(&self, name: &str, length: u64) -> io::Result<File> {
        let file = OpenOptions::new().append(true).open(self.path.join(name))?;
        file.set_len(length)?;
        Ok(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

//! File-system operations that a store needs, as traits with an implementation for disks.
//!
//! Tests implement the traits to inject write errors and power failures.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

use rustix::fs::FlockOperation;

/// A directory that contains the files of a store.
pub trait Directory {
    /// Handle of a file that is open for appending.
    type File: AppendFile;
    /// Guard that holds the directory's lock until it is dropped.
    type Lock;

    /// Acquires the exclusive lock of the directory without waiting.
    ///
    /// # Errors
    /// Returns `WouldBlock` if another process holds the lock, and any other error of the file system.
    fn lock(&self) -> io::Result<Self::Lock>;

    /// Returns the names of all files in the directory.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or truncates an existing one to zero length.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Truncates a file to `length` bytes and opens it for appending.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn resume(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames a file and replaces an existing one. The change is durable after [`Directory::sync`].
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. The change is durable after [`Directory::sync`].
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes all creations, renames and removals durable.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is open for appending.
pub trait AppendFile {
    /// Appends all bytes. After an error a part of them may have been written.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// Returns an error of the file system.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory on a disk.
#[derive(Debug, Clone)]
pub struct DiskDirectory {
    path: PathBuf,
}

/// Name of the lock file.
const LOCK_FILE_NAME: &str = "lock";

impl DiskDirectory {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error of the file system.
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
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.join(LOCK_FILE_NAME))?;
        rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(file)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            // Names of the store's files are valid Unicode, so any other name is skipped.
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

//! The file system as far as a store needs it, so that tests can put another one under the same code.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

use rustix::fs::FlockOperation;

/// A folder with files.
pub trait Fs {
    /// A file that is written at its end.
    type File: Append;
    /// What keeps others out while it lives.
    type Lock;

    /// Keeps others out; `WouldBlock`: somebody is in.
    fn lock(&self) -> io::Result<Self::Lock>;
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// A new file, or an old one emptied.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// A file cut to a length, to be written on from there.
    fn resume(&self, name: &str, length: u64) -> io::Result<Self::File>;
    /// Another name for a file, in place of what has it. Lasting after [`Fs::sync_folder`].
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Lasting after [`Fs::sync_folder`].
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes names last.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A file that is written at its end.
pub trait Append {
    /// Writes all of it, or fails having written a part.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written last.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the system.
#[derive(Debug, Clone)]
pub struct Disk {
    folder: PathBuf,
}

/// The name of the file that is locked.
const LOCK: &str = "lock";

impl Disk {
    /// A folder, made if it is not there.
    pub fn open(folder: impl Into<PathBuf>) -> io::Result<Disk> {
        let folder = folder.into();
        fs::create_dir_all(&folder)?;
        Ok(Disk { folder })
    }
}

impl Fs for Disk {
    type File = File;
    type Lock = File;

    fn lock(&self) -> io::Result<File> {
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.folder.join(LOCK))?;
        rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        Ok(file)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            // A name that is not text is none of ours.
            names.extend(entry?.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).write(true).truncate(true).open(self.folder.join(name))
    }

    fn resume(&self, name: &str, length: u64) -> io::Result<File> {
        let file = OpenOptions::new().append(true).open(self.folder.join(name))?;
        file.set_len(length)?;
        Ok(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

impl Append for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

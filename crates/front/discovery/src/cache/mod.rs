//! The copy of the list on disk, for a start while the list service is out of reach.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

use crate::{MAX_MESSAGE_BYTES, Message};

/// Writes the copy: to a file beside it first, then in its place, so that a start never reads half of one.
///
/// # Errors
/// The file can't be written.
pub fn save(path: &Path, message: &Message) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let mut file = File::create(&beside)?;
    file.write_all(&serde_json::to_vec(message)?)?;
    file.sync_data()?;
    drop(file);
    fs::rename(&beside, path)
}

/// Reads the copy; none: there is none yet.
///
/// # Errors
/// The file can't be read, is too long or is no copy.
pub fn load(path: &Path) -> io::Result<Option<Message>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut text = Vec::new();
    file.take(MAX_MESSAGE_BYTES as u64 + 1).read_to_end(&mut text)?;
    if text.len() > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the copy of the list is too long"));
    }
    Ok(Some(serde_json::from_slice(&text)?))
}

#[cfg(test)]
mod tests;

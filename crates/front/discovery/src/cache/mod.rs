//! The copy of the list on disk, with which a front can start while the list service is unreachable.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

use crate::{MAX_MESSAGE_BYTES, Message};

/// Writes the copy to a temporary file and renames it, so that a starting front never reads an incomplete copy.
///
/// # Errors
/// Fails if the file can't be written.
pub fn save(path: &Path, message: &Message) -> io::Result<()> {
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".new");
    let mut file = File::create(&temporary_path)?;
    file.write_all(&serde_json::to_vec(message)?)?;
    file.sync_data()?;
    drop(file);
    fs::rename(&temporary_path, path)
}

/// Reads the copy. Returns `None` if the file does not exist.
///
/// # Errors
/// Fails if the file can't be read, is larger than [`MAX_MESSAGE_BYTES`] or does not contain a message.
pub fn load(path: &Path) -> io::Result<Option<Message>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut text = Vec::new();
    file.take(MAX_MESSAGE_BYTES as u64 + 1).read_to_end(&mut text)?;
    if text.len() > MAX_MESSAGE_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the file is larger than a message may be"));
    }
    Ok(Some(serde_json::from_slice(&text)?))
}

#[cfg(test)]
mod tests;

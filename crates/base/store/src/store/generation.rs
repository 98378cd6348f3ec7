//! Files of generations: names, snapshots and recovery.

use super::error::io_error;
use super::{StoreError, View};
use crate::directory::{AppendFile, Directory};
use crate::frame::{self, FrameError, FrameKind, HeaderError};
use crate::recovery::{self, Corruption, Recovered, RecoveryNote, State};

/// File extension of a generation whose compaction is not complete.
pub(super) const PARTIAL_SUFFIX: &str = ".new";
/// File extension of a complete generation.
const SUFFIX: &str = ".log";
/// Number of decimal digits of the generation in a file name.
const NAME_DIGITS: usize = 16;
const FIRST_GENERATION: u64 = 1;

/// Returns the file name of a complete generation.
pub(super) fn file_name(generation: u64) -> String {
    format!("{generation:0NAME_DIGITS$}{SUFFIX}")
}

/// Returns the file name of a generation while a compaction writes it. The name contains the compaction's number, so that an
/// abandoned compaction never overwrites the file of another one.
pub(super) fn partial_file_name(generation: u64, compaction: u64) -> String {
    format!("{generation:0NAME_DIGITS$}-{compaction}{PARTIAL_SUFFIX}")
}

/// Parses a generation's number from a file name. Returns `None` if the name is not that of a complete generation.
pub fn generation_of_file(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX).filter(|digits| digits.len() == NAME_DIGITS)?.parse().ok()
}

/// A generation's file that contains a header and a snapshot.
pub(super) struct SnapshotFile<F> {
    pub file: F,
    /// Length of the header and the snapshot, bytes.
    pub len: usize,
}

/// Writes a header and a snapshot to a file with a partial name, and syncs the file.
pub(super) fn write_snapshot<D: Directory>(
    directory: &D,
    generation: u64,
    compaction: u64,
    view: &View,
) -> Result<SnapshotFile<D::File>, StoreError> {
    let mut bytes = frame::encode_header(generation);
    frame::encode(generation, FrameKind::Snapshot, view.seq, view.seq, &view.ops(), &mut bytes)?;
    let name = partial_file_name(generation, compaction);
    let mut file = directory.create(&name).map_err(io_error("create a generation"))?;
    file.append(&bytes).map_err(io_error("write a generation"))?;
    file.sync().map_err(io_error("sync a generation"))?;
    Ok(SnapshotFile { file, len: bytes.len() })
}

/// Recovers the newest usable generation. Returns `None` if the directory has no generation.
///
/// # Errors
/// Returns an error if a generation is corrupt and must not be skipped, or an operation of the file system failed.
pub(super) fn find_newest<D: Directory>(
    directory: &D,
    names: &[String],
    notes: &mut Vec<RecoveryNote>,
) -> Result<Option<Recovered>, StoreError> {
    let mut generations: Vec<u64> = names.iter().filter_map(|name| generation_of_file(name)).collect();
    generations.sort_unstable();
    while let Some(generation) = generations.pop() {
        let file = file_name(generation);
        let bytes = directory.read(&file).map_err(io_error("read a generation"))?;
        let corruption = match recovery::recover(generation, &bytes) {
            Ok(recovered) => return Ok(Some(recovered)),
            Err(corruption) => corruption,
        };
        let has_previous =
            generations.last().is_some_and(|last| *last == generation - 1) || generation == FIRST_GENERATION;
        if !(is_incomplete(&corruption) && has_previous) {
            return Err(StoreError::Corrupt { file, corruption });
        }
        notes.push(RecoveryNote::GenerationSkipped { generation, corruption });
        directory.remove(&file).map_err(io_error("remove a truncated generation"))?;
    }
    Ok(None)
}

/// Returns whether a generation was truncated before the end of its snapshot. Only such a generation is skipped, because it
/// contains nothing that the previous one lacks. A generation that is corrupt in another way may have contained more, so that
/// the operator has to decide.
fn is_incomplete(corruption: &Corruption) -> bool {
    matches!(
        corruption,
        Corruption::Header(HeaderError::Truncated)
            | Corruption::Snapshot { error: FrameError::Truncated, .. }
    )
}

/// Truncates a recovered generation after its last complete batch and opens it for appending.
pub(super) fn resume<D: Directory>(
    directory: &D,
    recovered: &Recovered,
    notes: &mut Vec<RecoveryNote>,
) -> Result<D::File, StoreError> {
    let Recovered { generation, valid_len, torn_len, .. } = *recovered;
    if torn_len > 0 {
        notes.push(RecoveryNote::TornTail { generation, offset: valid_len, truncated_bytes: torn_len });
    }
    let name = file_name(generation);
    let mut file = directory.resume(&name, valid_len as u64).map_err(io_error("resume a generation"))?;
    // The process that wrote the recovered batches may have ended before it synced them.
    file.sync().map_err(io_error("sync a generation"))?;
    directory.sync().map_err(io_error("sync the directory"))?;
    Ok(file)
}

/// Creates the first generation of a directory, with an empty state.
pub(super) fn create_first<D: Directory>(directory: &D) -> Result<(D::File, Recovered), StoreError> {
    let view = View { state: State::new(), seq: 0 };
    let snapshot = write_snapshot(directory, FIRST_GENERATION, 0, &view)?;
    directory
        .rename(&partial_file_name(FIRST_GENERATION, 0), &file_name(FIRST_GENERATION))
        .map_err(io_error("rename a generation"))?;
    directory.sync().map_err(io_error("sync the directory"))?;
    let recovered = Recovered {
        generation: FIRST_GENERATION,
        state: view.state,
        seq: 0,
        valid_len: snapshot.len,
        torn_len: 0,
    };
    Ok((snapshot.file, recovered))
}

//! The files of generations.

use super::error::io_error;
use super::{StoreError, View};
use crate::directory::{AppendFile, Directory};
use crate::frame::{self, FrameError, FrameKind, HeaderError};
use crate::recovery::{self, Corruption, Recovered, RecoveryNote, State};

/// The file extension of a generation that is not complete.
pub(super) const PARTIAL_SUFFIX: &str = ".new";
const SUFFIX: &str = ".log";
const NAME_DIGITS: usize = 16;
const FIRST_GENERATION: u64 = 1;

/// The file name of a generation.
pub(super) fn file_name(generation: u64) -> String {
    format!("{generation:0NAME_DIGITS$}{SUFFIX}")
}

/// The file name of a generation while it is written. Each compaction has a name of its own, so that an abandoned one never takes
/// the place of another.
pub(super) fn partial_file_name(generation: u64, compaction: u64) -> String {
    format!("{generation:0NAME_DIGITS$}-{compaction}{PARTIAL_SUFFIX}")
}

/// The number of the generation that a file name stands for, if it is that of one.
pub fn generation_of_file(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX).filter(|digits| digits.len() == NAME_DIGITS)?.parse().ok()
}

/// A generation's file after its snapshot was written.
pub(super) struct SnapshotFile<F> {
    pub file: F,
    /// Length of header and snapshot, bytes.
    pub length: usize,
}

/// Writes a snapshot under the partial name and syncs it.
pub(super) fn write_snapshot<D: Directory>(
    directory: &D,
    generation: u64,
    compaction: u64,
    view: &View,
) -> Result<SnapshotFile<D::File>, StoreError> {
    let mut bytes = frame::header(generation);
    frame::write(generation, FrameKind::Snapshot, view.seq, view.seq, &view.ops(), &mut bytes)?;
    let name = partial_file_name(generation, compaction);
    let mut file = directory.create(&name).map_err(io_error("make a generation"))?;
    file.append(&bytes).map_err(io_error("write a generation"))?;
    file.sync().map_err(io_error("sync a generation"))?;
    Ok(SnapshotFile { file, length: bytes.len() })
}

/// The newest generation that can be used.
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
        notes.push(RecoveryNote::FellBack { generation, why: corruption });
        directory.remove(&file).map_err(io_error("remove a generation that is cut short"))?;
    }
    Ok(None)
}

/// Whether a generation was truncated before its snapshot was complete. Only such a one is skipped: it holds nothing that the
/// previous one does not. A corrupt one may have held more, and is left to the operator.
fn is_incomplete(corruption: &Corruption) -> bool {
    matches!(
        corruption,
        Corruption::Header(HeaderError::Truncated)
            | Corruption::Snapshot { error: FrameError::Truncated, .. }
    )
}

/// Opens a recovered generation for appending, after truncation of what follows its last complete batch.
pub(super) fn resume<D: Directory>(
    directory: &D,
    recovered: &Recovered,
    notes: &mut Vec<RecoveryNote>,
) -> Result<D::File, StoreError> {
    let Recovered { generation, valid_len, torn_len, .. } = *recovered;
    if torn_len > 0 {
        notes.push(RecoveryNote::TornTail { generation, at: valid_len, bytes: torn_len });
    }
    let name = file_name(generation);
    let mut file = directory.resume(&name, valid_len as u64).map_err(io_error("go on with a generation"))?;
    // What was read may never have been synced by the process that wrote it.
    file.sync().map_err(io_error("sync a generation"))?;
    directory.sync().map_err(io_error("sync the folder"))?;
    Ok(file)
}

/// Creates the first generation of a directory.
pub(super) fn create_first<D: Directory>(directory: &D) -> Result<(D::File, Recovered), StoreError> {
    let view = View { state: State::new(), seq: 0 };
    let snapshot = write_snapshot(directory, FIRST_GENERATION, 0, &view)?;
    directory
        .rename(&partial_file_name(FIRST_GENERATION, 0), &file_name(FIRST_GENERATION))
        .map_err(io_error("name a generation"))?;
    directory.sync().map_err(io_error("sync the folder"))?;
    let recovered = Recovered {
        generation: FIRST_GENERATION,
        state: view.state,
        seq: 0,
        valid_len: snapshot.length,
        torn_len: 0,
    };
    Ok((snapshot.file, recovered))
}

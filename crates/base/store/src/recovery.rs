//! What the bytes of a generation come to, without I/O.
//!
//! A frame that can't be read has two explanations. Either power went before it was synced: the state before it is the
//! last one that is certain, and what stands behind it, as a disk writes in any order, goes with it. Or something that
//! had been synced is damaged, and going on would lose it silently: that is an error for people. Which of the two is
//! told by what follows: each frame says up to which batch all was synced when it was written.

use imbl::OrdMap;
use thiserror::Error;

use crate::frame::{self, Fault, HeadFault, Kind, Op, Table};

/// The whole state: values by table and key.
pub type State = OrdMap<(Table, Vec<u8>), std::sync::Arc<[u8]>>;

/// A generation that can be gone on with.
#[derive(Debug, Clone)]
pub struct Recovered {
    /// Its number.
    pub generation: u64,
    /// Its state.
    pub state: State,
    /// The number of the last batch.
    pub seq: u64,
    /// Bytes that are sound; what follows is to be cut off.
    pub sound: usize,
    /// How many bytes follow.
    pub torn: usize,
}

/// Why a generation can't be gone on with.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum Damage {
    /// Its head.
    #[error("head: {0}")]
    Head(#[from] HeadFault),
    /// The name of the file says another generation.
    #[error("its name says generation {name}, its head says {head}")]
    Name {
        /// The name's.
        name: u64,
        /// The head's.
        head: u64,
    },
    /// Its first frame, the whole state: without it the batches say nothing.
    #[error("offset {at}: the state that the generation begins with: {fault}")]
    Whole {
        /// Where.
        at: usize,
        /// What.
        fault: Fault,
    },
    /// A frame in the middle.
    #[error("offset {at}: a batch after number {seq}: {fault}; sound batches follow at offset {next}")]
    Middle {
        /// Where.
        at: usize,
        /// The last sound batch before.
        seq: u64,
        /// What.
        fault: Fault,
        /// Where the next sound frame is.
        next: usize,
    },
    /// A frame that is sound by itself and out of order.
    #[error("offset {at}: batch {found} after batch {seq}")]
    Order {
        /// Where.
        at: usize,
        /// The batch before.
        seq: u64,
        /// The batch there.
        found: u64,
    },
}

/// What was done about what was found at an opening, for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The last bytes of a generation were no whole batch and were cut off.
    Torn {
        /// The generation.
        generation: u64,
        /// Where.
        at: usize,
        /// How many bytes.
        bytes: usize,
    },
    /// A generation can't be gone on with; the one before it is taken.
    FellBack {
        /// The generation.
        generation: u64,
        /// Why.
        why: Damage,
    },
}

impl std::fmt::Display for Note {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Note::Torn { generation, at, bytes } => {
                write!(
                    f,
                    "generation {generation}, offset {at}: {bytes} bytes of no whole batch were cut off"
                )
            }
            Note::FellBack { generation, why } => {
                write!(f, "generation {generation} can't be used, the one before it is taken: {why}")
            }
        }
    }
}

/// Carries operations out.
pub fn apply(state: &mut State, ops: Vec<Op>) {
    for Op { table, key, value } in ops {
        match value {
            Some(value) => state.insert((table, key), value),
            None => state.remove(&(table, key)),
        };
    }
}

/// Reads a generation whose file has this number in its name.
pub fn recover(name: u64, bytes: &[u8]) -> Result<Recovered, Damage> {
    let generation = frame::read_head(bytes)?;
    if generation != name {
        return Err(Damage::Name { name, head: generation });
    }
    let at = frame::HEAD;
    let (first, mut sound) = match frame::read(generation, &bytes[at..]) {
        Ok((frame, length)) if frame.kind == Kind::Whole => (frame, at + length),
        Ok(_) => return Err(Damage::Whole { at, fault: Fault::Payload }),
        Err(fault) => return Err(Damage::Whole { at, fault }),
    };
    let (mut state, mut seq) = (State::new(), first.seq);
    apply(&mut state, first.ops);
    while sound < bytes.len() {
        match frame::read(generation, &bytes[sound..]) {
            Ok((frame, length)) if frame.kind == Kind::Batch && frame.seq == seq + 1 => {
                apply(&mut state, frame.ops);
                (seq, sound) = (frame.seq, sound + length);
            }
            Ok((frame, _)) => return Err(Damage::Order { at: sound, seq, found: frame.seq }),
            // It was written whole, and by no program that this one knows.
            Err(fault @ Fault::Payload) => return Err(Damage::Middle { at: sound, seq, fault, next: sound }),
            Err(fault) => match later(generation, bytes, sound + 1, seq) {
                Some(next) => return Err(Damage::Middle { at: sound, seq, fault, next }),
                None => break,
            },
        }
    }
    Ok(Recovered { generation, state, seq, sound, torn: bytes.len() - sound })
}

/// Where a sound batch is before which more than this one had been synced. Most places fail at the kind or the number,
/// before any checksum.
fn later(generation: u64, bytes: &[u8], from: usize, seq: u64) -> Option<usize> {
    (from..bytes.len().saturating_sub(frame::FRAME)).find(|at| {
        let later = bytes[*at + 4] == 2
            && bytes[*at + 5..*at + 13]
                .try_into()
                .is_ok_and(|b| (seq + 1..=seq + 1_000_000_000).contains(&u64::from_le_bytes(b)));
        later && frame::read(generation, &bytes[*at..]).is_ok_and(|(f, _)| f.synced > seq)
    })
}

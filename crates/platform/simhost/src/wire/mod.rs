//! The simulator's frames: reading batches, writing replies. Layout only; no meaning is added here.

mod decode;
mod encode;
mod error;
mod messages;
mod record;

pub use decode::{decode, frame_len};
pub use encode::encode;
pub use error::WireError;
pub use messages::{Action, Batch, Entry, Event, Pressure, Visit};

/// Size of a batch header.
pub const HEADER: usize = 16;

//! The frames of the simulator's wire: batches are decoded and replies are encoded. Only the layout is
//! handled here.

mod decode;
mod encode;
mod error;
mod messages;
mod record;

pub use decode::{decode, frame_length};
pub use encode::encode;
pub use error::WireError;
pub use messages::{
    Action, Batch, Event, InstanceAction, InstanceEvent, ListEntry, LoadValues, SessionRequest,
};

/// Size of a batch header in bytes.
pub const HEADER_SIZE: usize = 16;

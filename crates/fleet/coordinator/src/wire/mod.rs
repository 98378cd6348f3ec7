//! The protocol between processes of a fleet.
//!
//! Connections carry [`Message`]s, and datagrams carry packets of `beechloft_membership`. Each of them is in a frame with the
//! protocol's version, the fleet's id, a length and a checksum.

mod codec;
mod frame;
mod message;
mod reports;

pub use codec::{decode_datagram, encode, encode_datagram, read};
pub(crate) use codec::{encode_delivery, encode_delivery_item, read_message_body, read_message_header};
pub(crate) use frame::{HEADER_BYTES, read_frame, write_frame};
pub use frame::{MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, WireError};
pub use message::Message;
pub use reports::{LeaseChange, LeaseInfo, MemberView, ReplicaInfo, ReplicaStatus, TopicStatus};

#[cfg(test)]
mod tests;

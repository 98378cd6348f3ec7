//! Encodes and decodes messages and membership datagrams.

use std::io::Read;

use beechloft_membership::Packet;
use beechloft_topic::{Said, Told};

use super::frame::{
    HEADER_BYTES, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, WireError, frame_body, read_frame, write_frame,
};
use super::message::Message;

const MAGIC: [u8; 4] = *b"blft";

/// The frame of a message; none if it is longer than [`MAX_BODY_BYTES`].
pub fn encode(fleet: u64, message: &Message) -> Option<Vec<u8>> {
    write_frame(MAGIC, fleet, message, MAX_BODY_BYTES)
}

/// Reads a message.
///
/// # Errors
/// As [`WireError`] says; the connection is of no more use then.
pub fn read(fleet: u64, from: &mut impl Read) -> Result<Message, WireError> {
    read_frame(MAGIC, fleet, from)
}

/// The datagram of a membership packet; none if it is longer than [`MAX_DATAGRAM_BYTES`], which no packet that the protocol
/// makes is.
pub fn encode_datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    write_frame(MAGIC, fleet, packet, MAX_DATAGRAM_BYTES - HEADER_BYTES)
}

/// Decodes a membership packet, which must be all of the datagram.
///
/// # Errors
/// As [`WireError`] says; the datagram is dropped then.
pub fn decode_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = read_frame(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Malformed) }
}

/// The encoding of what a feed delivers. It is the same for all subscriptions that are sent the same, and is made once for them.
pub(crate) fn encode_feed_item(item: &Said) -> Vec<u8> {
    // Encoding fails for values of unknown length alone, which these are not.
    postcard::to_allocvec(item).unwrap_or_default()
}

/// The frame of a [`Message::Delivery`] around what [`encode_feed_item`] made.
pub(crate) fn encode_delivery(
    fleet: u64,
    subscription: u64,
    applied: u64,
    silent_ms: u32,
    item: &[u8],
) -> Vec<u8> {
    let empty = Message::Delivery(Told { feed: subscription, applied, silent_ms, said: Said::Still });
    let mut body = postcard::to_allocvec(&empty).unwrap_or_default();
    // The item is the last field, and the item of `empty` is one byte: the number of its variant.
    body.pop();
    body.extend_from_slice(item);
    frame_body(MAGIC, fleet, &body)
}

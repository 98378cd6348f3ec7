//! Encoding and decoding of messages and membership datagrams.

use std::io::Read;

use beechloft_membership::Packet;
use beechloft_topic::{Delivery, FeedItem};

use super::frame::{
    FrameHeader, HEADER_BYTES, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, WireError, frame_body, read_body,
    read_frame, read_header, write_frame,
};
use super::message::Message;

const MAGIC: [u8; 4] = *b"blft";

/// Encodes a message with its frame. Returns `None` if the body is longer than [`MAX_BODY_BYTES`].
pub fn encode(fleet: u64, message: &Message) -> Option<Vec<u8>> {
    write_frame(MAGIC, fleet, message, MAX_BODY_BYTES)
}

/// Reads and decodes one message.
///
/// # Errors
/// Returns an error if the connection failed or the message was rejected. The connection is unusable then.
pub fn read(fleet: u64, from: &mut impl Read) -> Result<Message, WireError> {
    read_frame(MAGIC, fleet, from)
}

/// Reads the header of a message, whose body [`read_message_body`] reads.
///
/// # Errors
/// Returns an error if the connection failed or the header was rejected. The connection is unusable then.
pub(crate) fn read_message_header(fleet: u64, from: &mut impl Read) -> Result<FrameHeader, WireError> {
    read_header(MAGIC, fleet, from)
}

/// Reads and decodes the body of a message.
///
/// # Errors
/// Returns an error if the connection failed or the message was rejected. The connection is unusable then.
pub(crate) fn read_message_body(header: FrameHeader, from: &mut impl Read) -> Result<Message, WireError> {
    read_body(header, from)
}

/// Encodes a membership packet as a datagram. Returns `None` if it is longer than [`MAX_DATAGRAM_BYTES`], which packets of the
/// protocol never are.
pub fn encode_datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    write_frame(MAGIC, fleet, packet, MAX_DATAGRAM_BYTES - HEADER_BYTES)
}

/// Decodes a membership packet.
///
/// # Errors
/// Returns an error if the datagram is not exactly one packet of this fleet and protocol version. It is to be dropped then.
pub fn decode_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = read_frame(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Malformed) }
}

/// Encodes an item of a feed. Subscriptions that are sent the same item share one encoding.
pub(crate) fn encode_delivery_item(item: &FeedItem) -> Vec<u8> {
    // Encoding fails only for values of unknown length, and an item has none.
    postcard::to_allocvec(item).unwrap_or_default()
}

/// Encodes a [`Message::Delivery`] with its frame from an item that [`encode_delivery_item`] encoded.
pub(crate) fn encode_delivery(
    fleet: u64,
    subscription: u64,
    applied_index: u64,
    staleness_ms: u32,
    item: &[u8],
) -> Vec<u8> {
    let template =
        Message::Delivery(Delivery { subscription, applied_index, staleness_ms, item: FeedItem::Heartbeat });
    let mut body = postcard::to_allocvec(&template).unwrap_or_default();
    // The item is the last field, and the template's item is encoded as one byte, the index of its variant.
    body.pop();
    body.extend_from_slice(item);
    frame_body(MAGIC, fleet, &body)
}

//! Decoding of batches.

use super::record::Record;
use super::{Batch, Event, HEADER_SIZE, InstanceEvent, ListEntry, SessionRequest, WireError};

/// Size of an event record in bytes.
const EVENT_SIZE: usize = 64;

/// Size of an entry of a server list in bytes.
const LIST_ENTRY_SIZE: usize = 22;

/// Code of a record that holds a server list.
const SERVER_LIST_CODE: u16 = 8;

/// Highest state of a server on a list.
const MAX_SERVER_STATE: u8 = 2;

/// Highest outcome of an attempt or health check.
const MAX_OUTCOME: u8 = 7;

/// Highest kind of an update of the endpoint list.
const MAX_UPDATE_KIND: u8 = 3;

/// Returns the length of a frame in bytes, as its header announces it.
///
/// # Errors
///
/// Returns an error if the length can't hold the announced records.
pub fn frame_length(header: &[u8; HEADER_SIZE]) -> Result<usize, WireError> {
    let fields = Record { bytes: header, tail: &[], index: 0 };
    let length = fields.u32(8) as usize;
    let records = fields.u32(12) as usize;
    if length < HEADER_SIZE || (length - HEADER_SIZE) / EVENT_SIZE < records {
        return Err(WireError::BadLength { length, records });
    }
    Ok(length)
}

/// Decodes a complete frame with its header.
///
/// # Errors
///
/// Returns an error if the frame is truncated, or if a record has an unknown code or value or refers to bytes
/// outside the tail.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let truncated = |expected| WireError::Truncated { received: frame.len(), expected };
    let header: &[u8; HEADER_SIZE] = frame.first_chunk().ok_or_else(|| truncated(HEADER_SIZE))?;
    let length = frame_length(header)?;
    let body = frame.get(HEADER_SIZE..length).ok_or_else(|| truncated(length))?;
    let fields = Record { bytes: header, tail: &[], index: 0 };
    let now_us = fields.u64(0);
    let record_count = fields.u32(12) as usize;
    let (records, tail) = body.split_at(record_count * EVENT_SIZE);
    let events = records
        .chunks_exact(EVENT_SIZE)
        .enumerate()
        .map(|(index, bytes)| Record { bytes, tail, index }.instance_event())
        .collect::<Result<_, _>>()?;
    Ok(Batch { now_us, events })
}

impl Record<'_> {
    /// Decodes the record of an event.
    fn instance_event(&self) -> Result<InstanceEvent, WireError> {
        let code = self.u16(0);
        let event = self.event(code)?;
        let instance = if code == SERVER_LIST_CODE { 0 } else { self.u16(2) };
        Ok(InstanceEvent { instance, event })
    }

    /// Decodes the fields of an event with this code.
    fn event(&self, code: u16) -> Result<Event, WireError> {
        let event = match code {
            1 => Event::Started {
                session: self.u64(4),
                attempt: self.u16(12),
                server: self.u32(14),
                elapsed_us: self.u32(18),
            },
            2 => Event::SessionAdopted { request: self.adopted_request(), server: self.u32(34) },
            3 => Event::Timer { token: self.u64(4) },
            4 => Event::SessionRequested { request: self.new_request() },
            5 => Event::Feedback {
                session: self.u64(4),
                server: self.u32(14),
                kind: self.u8(18),
                value: self.f32(19),
            },
            6 => Event::AttemptEnded {
                session: self.u64(4),
                server: self.u32(12),
                outcome: self.check_value("outcome", self.u8(16), MAX_OUTCOME)?,
                attempt: self.u16(17),
                is_final: self.u8(19) != 0,
                elapsed_us: self.u32(20),
                load: self.load_values(24)?,
            },
            7 => Event::Withdrawn { session: self.u64(4) },
            SERVER_LIST_CODE => Event::ServerList { list: self.u16(2), entries: self.list_entries(4)? },
            9 => Event::EndpointsUpdated {
                kind: self.check_value("list form", self.u8(4), MAX_UPDATE_KIND)?,
                list: self.u16(13),
            },
            10 => Event::PeerMessage { sender: self.u32(4), payload: self.tail_part(8, 1)?.to_vec() },
            11 => Event::InstanceStarted { seed: self.u64(4), settings: self.tail_part(12, 1)?.to_vec() },
            12 => Event::InstanceStopped,
            13 => Event::HealthChecked {
                server: self.u32(4),
                outcome: self.check_value("outcome", self.u8(8), MAX_OUTCOME)?,
                load: self.load_values(13)?,
            },
            _ => return Err(WireError::UnknownCode { index: self.index, code }),
        };
        Ok(event)
    }

    /// Decodes the entries of a server list, to which the field at an offset refers.
    fn list_entries(&self, offset: usize) -> Result<Vec<ListEntry>, WireError> {
        let entries = self.tail_part(offset, LIST_ENTRY_SIZE)?.chunks_exact(LIST_ENTRY_SIZE);
        entries.map(|bytes| Record { bytes, tail: &[], index: self.index }.list_entry()).collect()
    }

    fn list_entry(&self) -> Result<ListEntry, WireError> {
        Ok(ListEntry {
            state: self.check_value("server status", self.u8(0), MAX_SERVER_STATE)?,
            cell: self.u16(1),
            started_at_us: self.u64(3),
            server_type: self.u8(11),
            zone: self.u16(12),
            server: self.u32(14),
            weight: self.f32(18),
        })
    }

    /// Decodes the request in the record of an adopted session.
    fn adopted_request(&self) -> SessionRequest {
        SessionRequest {
            session: self.u64(4),
            max_rung: self.f32(12),
            class: self.u16(16),
            deadline_us: self.u64(18),
            title: self.u64(26),
            viewer: self.u64(38),
            expected_duration_us: self.u32(46),
            tenant: self.u16(50),
            cell_count: self.f32(52),
            first_cell: self.f32(56),
            flags: self.u16(60),
        }
    }

    /// Decodes the request in the record of a new session.
    fn new_request(&self) -> SessionRequest {
        SessionRequest {
            session: self.u64(4),
            cell_count: self.f32(12),
            title: self.u64(16),
            class: self.u16(24),
            first_cell: self.f32(26),
            viewer: self.u64(30),
            expected_duration_us: self.u32(38),
            max_rung: self.f32(42),
            deadline_us: self.u64(46),
            tenant: self.u16(54),
            flags: self.u16(56),
        }
    }
}

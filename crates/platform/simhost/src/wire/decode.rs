//! Decoding batches.

use super::record::Record;
use super::{Batch, Entry, Event, HEADER, Visit, WireError};

/// Size of an event record.
const EVENT: usize = 64;
/// Size of an entry of a server list.
const ENTRY: usize = 22;

/// The length that a batch header announces, checked against its record count.
///
/// # Errors
///
/// When the length does not hold the records.
pub fn frame_len(header: &[u8; HEADER]) -> Result<usize, WireError> {
    let fields = Record { bytes: header, tail: &[], index: 0 };
    let (len, records) = (fields.u32(8) as usize, fields.u32(12) as usize);
    if len < HEADER || (len - HEADER) / EVENT < records {
        return Err(WireError::BadLength { len, records });
    }
    Ok(len)
}

/// Decodes one whole frame, header included.
///
/// # Errors
///
/// When the frame is cut off, or a record has an unknown code or value, or points outside the tail.
pub fn decode(frame: &[u8]) -> Result<Batch, WireError> {
    let truncated = WireError::Truncated { got: frame.len(), want: HEADER };
    let header: &[u8; HEADER] = frame.first_chunk().ok_or(truncated)?;
    let len = frame_len(header)?;
    let body = frame.get(HEADER..len).ok_or(WireError::Truncated { got: frame.len(), want: len })?;
    let head = Record { bytes: header, tail: &[], index: 0 };
    let records = head.u32(12) as usize;
    let (list, tail) = body.split_at(records * EVENT);
    let events = list
        .chunks_exact(EVENT)
        .enumerate()
        .map(|(index, bytes)| Record { bytes, tail, index }.event())
        .collect::<Result<_, _>>()?;
    Ok(Batch { now: head.u64(0), events })
}

impl Record<'_> {
    fn entries(&self, at: usize) -> Result<Vec<Entry>, WireError> {
        let blob = self.blob(at, ENTRY)?;
        blob.chunks_exact(ENTRY)
            .map(|bytes| {
                let entry = Record { bytes, tail: &[], index: self.index };
                Ok(Entry {
                    status: self.known("server status", entry.u8(0), 2)?,
                    place: entry.u16(1),
                    up_since_us: entry.u64(3),
                    flavor: entry.u8(11),
                    site: entry.u16(12),
                    server: entry.u32(14),
                    size: entry.f32(18),
                })
            })
            .collect()
    }

    /// Instance and event.
    fn event(&self) -> Result<(u16, Event), WireError> {
        let code = self.u16(0);
        let event = match code {
            1 => Event::Headers {
                txn: self.u64(4),
                round_no: self.u16(12),
                server: self.u32(14),
                spent_us: self.u32(18),
            },
            2 => Event::Open { server: self.u32(34), visit: self.open_visit() },
            3 => Event::Timer { cookie: self.u64(4) },
            4 => Event::Knock { visit: self.knock_visit() },
            5 => {
                Event::Note { txn: self.u64(4), server: self.u32(14), kind: self.u8(18), level: self.f32(19) }
            }
            6 => Event::Outcome {
                txn: self.u64(4),
                server: self.u32(12),
                reason: self.known("outcome", self.u8(16), 7)?,
                round_no: self.u16(17),
                complete: self.u8(19) != 0,
                spent_us: self.u32(20),
                pressure: self.pressure(24)?,
            },
            7 => Event::Withdrawn { txn: self.u64(4) },
            8 => Event::Table { roster_id: self.u16(2), records: self.entries(4)? },
            9 => Event::BackendsChanged {
                form: self.known("list form", self.u8(4), 3)?,
                roster_id: self.u16(13),
            },
            10 => Event::Heard { src: self.u32(4), payload: self.blob(8, 1)?.to_vec() },
            11 => Event::Born { prng: self.u64(4), setup: self.blob(12, 1)?.to_vec() },
            12 => Event::Shutdown,
            13 => Event::Checked {
                server: self.u32(4),
                reason: self.known("outcome", self.u8(8), 7)?,
                pressure: self.pressure(13)?,
            },
            _ => return Err(WireError::UnknownCode { index: self.index, code }),
        };
        let who = if code == 8 { 0 } else { self.u16(2) };
        Ok((who, event))
    }

    fn open_visit(&self) -> Visit {
        Visit {
            txn: self.u64(4),
            top: self.f32(12),
            qos: self.u16(16),
            drop_dead_us: self.u64(18),
            show: self.u64(26),
            item: self.u64(38),
            hint_us: self.u32(46),
            user_group: self.u16(50),
            holders: self.f32(52),
            home: self.f32(56),
            flags: self.u16(60),
        }
    }

    fn knock_visit(&self) -> Visit {
        Visit {
            txn: self.u64(4),
            holders: self.f32(12),
            show: self.u64(16),
            qos: self.u16(24),
            home: self.f32(26),
            item: self.u64(30),
            hint_us: self.u32(38),
            top: self.f32(42),
            drop_dead_us: self.u64(46),
            user_group: self.u16(54),
            flags: self.u16(56),
        }
    }
}

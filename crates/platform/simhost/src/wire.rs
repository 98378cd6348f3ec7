//! The simulator's frames: reading batches, writing replies. Layout only; no meaning is added here.

use thiserror::Error;

/// Size of a batch header.
pub const HEADER: usize = 16;
const EVENT: usize = 64;
const ACTION: usize = 24;
const ENTRY: usize = 22;

/// What is wrong with a frame.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {got} bytes of {want}")]
    Truncated {
        /// Bytes there.
        got: usize,
        /// Bytes announced.
        want: usize,
    },
    /// The stated length can't hold the stated records.
    #[error("frame length {len} does not fit {records} records")]
    BadLength {
        /// Stated length.
        len: usize,
        /// Stated records.
        records: usize,
    },
    /// A record's code is not known.
    #[error("record {index} has the unknown event code {code}")]
    UnknownCode {
        /// Position of the record.
        index: usize,
        /// Its code.
        code: u16,
    },
    /// A record points outside the tail.
    #[error("record {index} points outside the tail: offset {offset}, {len} bytes, tail of {tail}")]
    OutsideTail {
        /// Position of the record.
        index: usize,
        /// Stated offset.
        offset: usize,
        /// Bytes meant.
        len: usize,
        /// Size of the tail.
        tail: usize,
    },
    /// A field holds a value that has no meaning.
    #[error("record {index}: {field} has the unknown value {value}")]
    BadValue {
        /// Position of the record.
        index: usize,
        /// Which field.
        field: &'static str,
        /// Its value.
        value: u32,
    },
}

/// A line of a server list as sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// 2 ready, 1 draining, 0 gone.
    pub status: u8,
    /// Cell.
    pub place: u16,
    /// Latest start.
    pub up_since_us: u64,
    /// Kind.
    pub flavor: u8,
    /// Zone.
    pub site: u16,
    /// Server.
    pub server: u32,
    /// Size.
    pub size: f32,
}

/// The fields that `Knock` and `Open` share.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub struct Visit {
    pub txn: u64,
    pub holders: f32,
    pub show: u64,
    pub qos: u16,
    pub home: f32,
    pub item: u64,
    pub hint_us: u32,
    pub top: f32,
    pub drop_dead_us: u64,
    pub user_group: u16,
    pub flags: u16,
}

/// A load report: the values that came, in the settings' order.
pub type Pressure = Vec<f32>;

/// An event record.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum Event {
    Headers {
        txn: u64,
        round_no: u16,
        server: u32,
        spent_us: u32,
    },
    Open {
        visit: Visit,
        server: u32,
    },
    Timer {
        cookie: u64,
    },
    Knock {
        visit: Visit,
    },
    Note {
        txn: u64,
        server: u32,
        kind: u8,
        level: f32,
    },
    Outcome {
        txn: u64,
        server: u32,
        reason: u8,
        round_no: u16,
        complete: bool,
        spent_us: u32,
        pressure: Pressure,
    },
    Withdrawn {
        txn: u64,
    },
    Table {
        roster_id: u16,
        records: Vec<Entry>,
    },
    BackendsChanged {
        form: u8,
        roster_id: u16,
    },
    Heard {
        src: u32,
        payload: Vec<u8>,
    },
    Born {
        prng: u64,
        setup: Vec<u8>,
    },
    Shutdown,
    Checked {
        server: u32,
        reason: u8,
        pressure: Pressure,
    },
}

/// A decoded batch.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The clock.
    pub now: u64,
    /// Instance and event, in order (a `Table` belongs to no instance and has 0).
    pub events: Vec<(u16, Event)>,
}

/// An action record.
#[derive(Debug, Clone, PartialEq)]
#[allow(missing_docs)]
pub enum Action {
    Deny { txn: u64, pause_us: u32 },
    Relay { txn: u64, server: u32, until_us: u64 },
    KeepInformed { active: bool },
    Probe { server: u32 },
    Lose { txn: u64 },
    AbortAttempt { txn: u64, round_no: u16 },
    Grade { txn: u64, step: u8 },
    WriteLog { text: String },
    Rebalance { txn: u64 },
    Defer { delay_us: u32, cookie: u64 },
}

/// Reads fields of one record; the record's size bounds every position used.
struct Record<'a> {
    bytes: &'a [u8],
    tail: &'a [u8],
    index: usize,
}

impl Record<'_> {
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(found) = self.bytes.get(at..at + N) {
            out.copy_from_slice(found);
        }
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.take::<1>(at)[0]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.take(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.take(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.take(at))
    }
    fn f32(&self, at: usize) -> f32 {
        f32::from_le_bytes(self.take(at))
    }
    fn pressure(&self, at: usize) -> Result<Pressure, WireError> {
        let n = self.u8(at);
        if n > 4 {
            return Err(WireError::BadValue {
                index: self.index,
                field: "number of load values",
                value: n.into(),
            });
        }
        Ok((0..n as usize).map(|i| self.f32(at + 1 + 4 * i)).collect())
    }
    fn blob(&self, at: usize, unit: usize) -> Result<&[u8], WireError> {
        let offset = self.u32(at) as usize;
        let len = (self.u32(at + 4) as usize).saturating_mul(unit);
        self.tail.get(offset..offset.saturating_add(len)).ok_or(WireError::OutsideTail {
            index: self.index,
            offset,
            len,
            tail: self.tail.len(),
        })
    }
    fn known(&self, field: &'static str, value: u8, top: u8) -> Result<u8, WireError> {
        if value > top {
            return Err(WireError::BadValue { index: self.index, field, value: value.into() });
        }
        Ok(value)
    }
    fn entries(&self, at: usize) -> Result<Vec<Entry>, WireError> {
        let blob = self.blob(at, ENTRY)?;
        blob.chunks_exact(ENTRY)
            .map(|bytes| {
                let e = Record { bytes, tail: &[], index: self.index };
                Ok(Entry {
                    status: self.known("server status", e.u8(0), 2)?,
                    place: e.u16(1),
                    up_since_us: e.u64(3),
                    flavor: e.u8(11),
                    site: e.u16(12),
                    server: e.u32(14),
                    size: e.f32(18),
                })
            })
            .collect()
    }
    fn event(&self) -> Result<(u16, Event), WireError> {
        let code = self.u16(0);
        let event = match code {
            1 => Event::Headers {
                txn: self.u64(4),
                round_no: self.u16(12),
                server: self.u32(14),
                spent_us: self.u32(18),
            },
            2 => Event::Open {
                server: self.u32(34),
                visit: Visit {
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
                },
            },
            3 => Event::Timer { cookie: self.u64(4) },
            4 => Event::Knock {
                visit: Visit {
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
                },
            },
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
}

/// The length that a batch header announces, checked against its record count.
pub fn frame_len(header: &[u8; HEADER]) -> Result<usize, WireError> {
    let r = Record { bytes: header, tail: &[], index: 0 };
    let (len, records) = (r.u32(8) as usize, r.u32(12) as usize);
    if len < HEADER || (len - HEADER) / EVENT < records {
        return Err(WireError::BadLength { len, records });
    }
    Ok(len)
}

/// Decodes one whole frame, header included.
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

/// Encodes a reply frame.
pub fn encode(actions: &[(u16, Action)]) -> Vec<u8> {
    let mut out = vec![0; 8];
    let mut tail: Vec<u8> = Vec::new();
    for (who, action) in actions {
        let mut rec: Vec<u8> = Vec::with_capacity(ACTION);
        let code: u16 = match action {
            Action::Deny { .. } => 66,
            Action::Relay { .. } => 67,
            Action::KeepInformed { .. } => 68,
            Action::Probe { .. } => 70,
            Action::Lose { .. } => 71,
            Action::AbortAttempt { .. } => 72,
            Action::Grade { .. } => 75,
            Action::WriteLog { .. } => 76,
            Action::Rebalance { .. } => 77,
            Action::Defer { .. } => 78,
        };
        rec.extend(code.to_le_bytes());
        rec.extend(who.to_le_bytes());
        match action {
            Action::Deny { txn, pause_us } => {
                rec.extend(txn.to_le_bytes());
                rec.extend(pause_us.to_le_bytes());
            }
            Action::Relay { txn, server, until_us } => {
                rec.extend(txn.to_le_bytes());
                rec.extend(server.to_le_bytes());
                rec.extend(until_us.to_le_bytes());
            }
            Action::KeepInformed { active } => rec.push((*active).into()),
            Action::Probe { server } => rec.extend(server.to_le_bytes()),
            Action::Lose { txn } | Action::Rebalance { txn } => rec.extend(txn.to_le_bytes()),
            Action::AbortAttempt { txn, round_no } => {
                rec.extend(txn.to_le_bytes());
                rec.extend(round_no.to_le_bytes());
            }
            Action::Grade { txn, step } => {
                rec.extend(txn.to_le_bytes());
                rec.push(*step);
            }
            Action::WriteLog { text } => {
                rec.extend((tail.len() as u32).to_le_bytes());
                rec.extend((text.len() as u32).to_le_bytes());
                tail.extend(text.as_bytes());
            }
            Action::Defer { delay_us, cookie } => {
                rec.extend(delay_us.to_le_bytes());
                rec.extend(cookie.to_le_bytes());
            }
        }
        rec.resize(ACTION, 0);
        out.extend(rec);
    }
    out.extend(tail);
    let len = out.len() as u32;
    out[0..4].copy_from_slice(&len.to_le_bytes());
    out[4..8].copy_from_slice(&(actions.len() as u32).to_le_bytes());
    out
}

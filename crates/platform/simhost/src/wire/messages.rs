//! Event and action records. Their names and units are those of the simulator's description of its wire.

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

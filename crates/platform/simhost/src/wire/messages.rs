//! Event and action records.
//!
//! Each record and field has the usual term of the field as its name. The comment gives the name and the code
//! in the simulator's description of its wire where they differ.

/// An entry of a server list (`records` of a `Table`).
#[derive(Debug, Clone, PartialEq)]
pub struct ListEntry {
    /// State of the server (`status`): 2 is ready, 1 is draining, 0 is removed.
    pub state: u8,
    /// Cell of the server (`place`).
    pub cell: u16,
    /// Time of the server's latest start, in microseconds (`up_since_us`).
    pub started_at_us: u64,
    /// Type of the server (`flavor`).
    pub server_type: u8,
    /// Zone of the server (`site`).
    pub zone: u16,
    /// Id of the server.
    pub server: u32,
    /// Weight of the server (`size`).
    pub weight: f32,
}

/// A session request, with the fields that `Knock` and `Open` share.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionRequest {
    /// Id of the session (`txn`).
    pub session: u64,
    /// Number of consecutive cells that hold the title (`holders`).
    pub cell_count: f32,
    /// The requested title (`show`).
    pub title: u64,
    /// Class of the session (`qos`).
    pub class: u16,
    /// First cell that holds the title (`home`).
    pub first_cell: f32,
    /// Id of the viewer (`item`).
    pub viewer: u64,
    /// Expected duration in microseconds (`hint_us`), valid if [`SessionRequest::HAS_DURATION`] is set.
    pub expected_duration_us: u32,
    /// Highest rung that the viewer can use (`top`).
    pub max_rung: f32,
    /// Time at which the viewer gives up, in microseconds (`drop_dead_us`).
    pub deadline_us: u64,
    /// Tenant (`user_group`).
    pub tenant: u16,
    /// Combination of the flags below.
    pub flags: u16,
}

impl SessionRequest {
    /// Flag that the expected duration is known.
    pub const HAS_DURATION: u16 = 1;
    /// Flag that the front itself migrated the session.
    pub const MIGRATED: u16 = 8;
    /// Flag that the viewer retries after a failure.
    pub const IS_RETRY: u16 = 16;
}

/// Values of a load report (`pressure`), in the order that the settings give.
pub type LoadValues = Vec<f32>;

/// An event record.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A set-up is done (`Headers`, code 1).
    Started {
        /// Id of the session (`txn`).
        session: u64,
        /// Index of the attempt (`round_no`).
        attempt: u16,
        /// Id of the server.
        server: u32,
        /// Time since the attempt was sent, in microseconds (`spent_us`).
        elapsed_us: u32,
    },
    /// A session that plays already is adopted (`Open`, code 2).
    SessionAdopted {
        /// Request of the session.
        request: SessionRequest,
        /// Id of the server at which it plays.
        server: u32,
    },
    /// A timer is due (`Timer`, code 3).
    Timer {
        /// Token of the timer (`cookie`).
        token: u64,
    },
    /// A viewer requests a session (`Knock`, code 4).
    SessionRequested {
        /// The request.
        request: SessionRequest,
    },
    /// Feedback on a session that plays (`Note`, code 5).
    Feedback {
        /// Id of the session (`txn`).
        session: u64,
        /// Id of the server.
        server: u32,
        /// Kind of the feedback: 1 is the delivered fraction, 2 the rung, 3 the link utilization and 4 the
        /// uplink utilization.
        kind: u8,
        /// Value of the feedback (`level`).
        value: f32,
    },
    /// An attempt ended (`Outcome`, code 6).
    AttemptEnded {
        /// Id of the session (`txn`).
        session: u64,
        /// Id of the server.
        server: u32,
        /// How the attempt ended (`reason`).
        outcome: u8,
        /// Index of the attempt (`round_no`).
        attempt: u16,
        /// Whether the request has its answer (`complete`).
        is_final: bool,
        /// Time since the attempt was sent, in microseconds (`spent_us`).
        elapsed_us: u32,
        /// Load report of the server (`pressure`).
        load: LoadValues,
    },
    /// A viewer left (`Withdrawn`, code 7).
    Withdrawn {
        /// Id of the session (`txn`).
        session: u64,
    },
    /// A server list for later reference (`Table`, code 8).
    ServerList {
        /// Number of the list (`roster_id`).
        list: u16,
        /// Entries of the list (`records`).
        entries: Vec<ListEntry>,
    },
    /// The endpoint list of an instance changed (`BackendsChanged`, code 9).
    EndpointsUpdated {
        /// Kind of the update (`form`): 0 is a delta, 1 a full list, 2 a cached list and 3 a failure.
        kind: u8,
        /// Number of the list (`roster_id`).
        list: u16,
    },
    /// A message from another front (`Heard`, code 10).
    PeerMessage {
        /// Number of the sender (`src`).
        sender: u32,
        /// Content of the message.
        payload: Vec<u8>,
    },
    /// An instance starts (`Born`, code 11).
    InstanceStarted {
        /// Seed of the instance's random numbers (`prng`).
        seed: u64,
        /// Settings as JSON (`setup`).
        settings: Vec<u8>,
    },
    /// An instance ends (`Shutdown`, code 12).
    InstanceStopped,
    /// A health check ended (`Checked`, code 13).
    HealthChecked {
        /// Id of the server.
        server: u32,
        /// How the health check ended (`reason`).
        outcome: u8,
        /// Load report of the server (`pressure`).
        load: LoadValues,
    },
}

/// An event record with the instance that it is for.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceEvent {
    /// Number of the instance, or 0 for a server list, which belongs to no instance.
    pub instance: u16,
    /// The event.
    pub event: Event,
}

/// A decoded batch.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Time of the batch, in microseconds.
    pub now_us: u64,
    /// The events in order.
    pub events: Vec<InstanceEvent>,
}

/// An action record.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Rejects a request (`Deny`, code 66).
    Reject {
        /// Id of the session (`txn`).
        session: u64,
        /// Delay after which the viewer may retry, in microseconds (`pause_us`).
        retry_after_us: u32,
    },
    /// Sends a set-up to a server (`Relay`, code 67).
    StartAttempt {
        /// Id of the session (`txn`).
        session: u64,
        /// Id of the server.
        server: u32,
        /// Time at which the attempt is given up, in microseconds (`until_us`).
        deadline_us: u64,
    },
    /// Subscribes to the endpoint list or ends the subscription (`KeepInformed`, code 68).
    Subscribe {
        /// Whether the subscription is active.
        active: bool,
    },
    /// Sends a health check to a server (`Probe`, code 70).
    HealthCheck {
        /// Id of the server.
        server: u32,
    },
    /// Answers a request with a failure (`Lose`, code 71).
    Fail {
        /// Id of the session (`txn`).
        session: u64,
    },
    /// Cancels an attempt in flight (`AbortAttempt`, code 72).
    CancelAttempt {
        /// Id of the session (`txn`).
        session: u64,
        /// Index of the attempt (`round_no`).
        attempt: u16,
    },
    /// Sets the rung of a session (`Grade`, code 75).
    SetRung {
        /// Id of the session (`txn`).
        session: u64,
        /// The rung (`step`).
        rung: u8,
    },
    /// Writes a log line (`WriteLog`, code 76).
    Log {
        /// The line.
        text: String,
    },
    /// Ends a playing session at its server (`Rebalance`, code 77).
    Migrate {
        /// Id of the session (`txn`).
        session: u64,
    },
    /// Sets a timer (`Defer`, code 78).
    SetTimer {
        /// Time until the timer is due, in microseconds.
        delay_us: u32,
        /// Token of the timer (`cookie`).
        token: u64,
    },
}

/// An action record with the instance that it is from.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceAction {
    /// Number of the instance.
    pub instance: u16,
    /// The action.
    pub action: Action,
}

//! The interface between the policy and the front that drives it: settings, ids, events and actions.

use std::collections::BTreeSet;
use std::ops::{Add, Sub};
use std::sync::Arc;

pub use crate::settings::{
    BitrateLadder, Capabilities, Class, DedupScope, Discovery, Idempotency, LoadReporting, ReportField,
    RetryBudget, Settings, SlowStart, Tenant, WeightMeaning,
};

/// A point in time or a duration, in microseconds of the driver's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Micros {
    /// Returns the value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts from seconds. Negative values and NaN give zero, and values out of range saturate.
    #[expect(clippy::cast_possible_truncation, reason = "casts from floats saturate")]
    pub fn from_secs(seconds: f64) -> Self {
        Micros((seconds.max(0.0) * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    /// Adds and saturates at the highest value.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    /// Subtracts and saturates at zero.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// Identifies a session request. A viewer's retry has a new id.
    SessionId(u64);
    /// Identifies a title.
    TitleId(u64);
    /// Identifies a viewer, with the same id over all retries.
    ViewerId(u64);
    /// Identifies a media server, with the same id after a restart of its process.
    ServerId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u16);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// Index into [`Settings::max_streams_by_type`].
    ServerType(u8);
    /// Identifies a zone of the network.
    ZoneId(u16);
    /// Identifies a cell of servers. A title is placed on consecutive cells.
    CellId(u16);
    /// A rung of the bitrate ladder, where 0 is the lowest.
    Rung(u8);
    /// Index of a set-up attempt of one session, where 0 is the first.
    Attempt(u16);
    /// Identifies a timer to the policy that set it.
    TimerToken(u64);
}

/// State of a server on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// The server accepts sessions.
    #[default]
    Ready,
    /// The server only finishes the sessions that it has.
    Draining,
    /// The server is not on the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// State of the server.
    pub state: EndpointState,
    /// Cell of the server.
    pub cell: CellId,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Type of the server.
    pub server_type: ServerType,
    /// Time of the server's latest start, or zero if that was long ago.
    pub started_at: Micros,
    /// Weight of the server, whose meaning [`WeightMeaning`] gives.
    pub weight: f64,
}

/// Kind of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The update has only the entries that changed.
    Delta,
    /// The update is the complete list.
    Full,
    /// The update is the complete list as this front last had it, and may be stale.
    Cached,
    /// A fetch failed or the subscription ended. The old list stays in force.
    Failed,
}

/// A viewer's request to watch a title.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Id of the session.
    pub session: SessionId,
    /// Class of the session.
    pub class: ClassId,
    /// The requested title.
    pub title: TitleId,
    /// The viewer.
    pub viewer: ViewerId,
    /// The first cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// The servers that hold the title, if they are known. `first_cell` and `cell_count` are ignored then.
    pub eligible_servers: Option<Arc<BTreeSet<ServerId>>>,
    /// The highest rung the viewer can use.
    pub max_rung: Rung,
    /// Time at which the viewer gives up.
    pub deadline: Micros,
    /// Expected duration of the session, if it is known.
    pub expected_duration: Option<Micros>,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// Whether this front migrated the session here.
    pub migrated: bool,
    /// Whether the viewer retries after a failure.
    pub is_retry: bool,
}

impl Attempt {
    /// Returns the index of the last of a number of attempts.
    #[expect(clippy::cast_possible_truncation, reason = "a session has far fewer attempts than u16 counts")]
    pub(crate) fn last_of(attempts: usize) -> Attempt {
        Attempt(attempts.saturating_sub(1) as u16)
    }
}

/// How an attempt or health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The session or health check was served to its end.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server was overloaded and rejected the attempt without executing it.
    Overloaded,
    /// No answer came in time.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The attempt was cancelled, the session was migrated, or the viewer left.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Values of a load report. Values that are not reported or not finite are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of streams that run or are being set up.
    pub streams: Option<f64>,
    /// Demand on the link over its capacity.
    pub link_utilization: Option<f64>,
    /// Demand on the rack's uplink over its capacity.
    pub uplink_utilization: Option<f64>,
}

/// Feedback on a session that plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Feedback {
    /// The fraction of the rate that the server delivers.
    DeliveredFraction(f64),
    /// The rung in force.
    Rung(Rung),
    /// Demand on the link over its capacity.
    LinkUtilization(f64),
    /// Demand on the rack's uplink over its capacity.
    UplinkUtilization(f64),
}

/// A front's slot among the fronts, which replaces the one in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotAssignment {
    /// Slot of the front.
    pub slot: u32,
    /// Number of slots. A front whose slot is not below it may send nothing to a cold server.
    pub slot_count: u32,
    /// Number of fronts that are alive, for the estimate of the other fronts' demand.
    pub live_fronts: u32,
}

/// What a front reports to its policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or its update failed.
    EndpointsUpdated {
        /// Kind of the update.
        kind: UpdateKind,
        /// Entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A viewer requests a session. The request gets exactly one answer.
    Request(Request),
    /// A session that plays already is adopted from an earlier front. Its set-up counts as attempt 0.
    SessionAdopted {
        /// Request of the session.
        request: Request,
        /// The server at which the session plays.
        server: ServerId,
    },
    /// A set-up is done and the viewer watches.
    Started {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
        /// The server at which the session plays.
        server: ServerId,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Whether the request has its answer. Otherwise an answer is still pending.
        is_final: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Load report of the server.
        report: LoadReport,
    },
    /// A viewer left and needs no answer any more.
    Withdrawn(SessionId),
    /// Feedback on a session that plays arrived.
    FeedbackReceived {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// Content of the feedback.
        feedback: Feedback,
    },
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// Load report of the server.
        report: LoadReport,
    },
    /// This front's slot changed. Slow start uses the new slot from now on.
    SlotAssigned(SlotAssignment),
    /// A timer of this policy is due.
    Timer(TimerToken),
    /// A message from another front of the tier arrived.
    PeerMessage {
        /// Number of the other front.
        sender: u32,
        /// Content of the message.
        payload: Vec<u8>,
    },
}

/// An action that the policy asks the front to take.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a set-up of the session to a server.
    StartAttempt {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// Time at which the attempt is given up.
        deadline: Micros,
    },
    /// Sets the session's rung.
    SetRung {
        /// The session.
        session: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Rejects the request, which the viewer may repeat.
    Reject {
        /// The session.
        session: SessionId,
        /// Delay after which the viewer may retry, if one is passed on.
        retry_after: Option<Micros>,
    },
    /// Answers the request with a failure.
    Fail(SessionId),
    /// Cancels an attempt in flight.
    CancelAttempt {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Ends a playing session at its server so that the viewer requests it from this front again.
    Migrate(SessionId),
    /// Sends a health check to a server.
    HealthCheck(ServerId),
    /// Subscribes to changes of the endpoint list.
    Subscribe,
    /// Schedules a timer event.
    SetTimer {
        /// Time until the timer is due.
        delay: Micros,
        /// Token that the timer event carries.
        token: TimerToken,
    },
    /// Writes a log line for the operators.
    Log(String),
}

//! What passes between the policy and the front that drives it: settings, ids, events, actions.

use std::collections::BTreeSet;
use std::ops::{Add, Sub};
use std::sync::Arc;

pub use crate::settings::{
    BitrateLadder, Capabilities, Class, DedupScope, Discovery, Idempotency, LoadReporting, ReportField,
    RetryBudget, Settings, SlowStart, Tenant, WeightMeaning,
};

/// A point in time or a span, in microseconds, on the driver's own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Micros {
    /// The value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// This many seconds; negative and non-finite values give zero.
    #[expect(clippy::cast_possible_truncation, reason = "casts from floats saturate")]
    pub fn from_secs(seconds: f64) -> Self {
        Micros((seconds.max(0.0) * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    /// Saturates at zero.
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
    /// One session request; a viewer's retry has a new one.
    SessionId(u64);
    /// What is watched.
    TitleId(u64);
    /// The viewer, the same over all retries.
    ViewerId(u64);
    /// A streaming server; survives restarts of its process.
    ServerId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u16);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// Index into [`Settings::max_streams_by_type`].
    ServerType(u8);
    /// A zone of the network.
    ZoneId(u16);
    /// The cell of a server; a title is placed on consecutive cells.
    CellId(u16);
    /// A rung of the bitrate ladder, 0 the lowest.
    Rung(u8);
    /// Index of a set-up attempt of one session, 0 the first.
    Attempt(u16);
    /// Identifies a timer to the policy that set it.
    TimerToken(u64);
}

/// A server's state on the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// Takes sessions.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Off the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its type.
    pub server_type: ServerType,
    /// Its latest start; zero: long ago.
    pub started_at: Micros,
    /// Its weight, see [`WeightMeaning`].
    pub weight: f64,
}

/// How an update of the endpoint list is to be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only what changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this front last saw it, perhaps stale.
    Cached,
    /// A call failed or the subscription dropped; the old list stays in force.
    Failed,
}

/// A viewer's request to watch a title.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// The session.
    pub session: SessionId,
    /// Its class.
    pub class: ClassId,
    /// Its title.
    pub title: TitleId,
    /// The viewer.
    pub viewer: ViewerId,
    /// The first cell that holds the title.
    pub first_cell: u32,
    /// How many consecutive cells hold it.
    pub cell_count: u32,
    /// The servers that hold it, where they are known by name; `first_cell` and `cell_count` are ignored then.
    pub eligible_servers: Option<Arc<BTreeSet<ServerId>>>,
    /// The highest rung the viewer can use.
    pub max_rung: Rung,
    /// When the viewer gives up.
    pub deadline: Micros,
    /// Expected duration, if known.
    pub expected_duration: Option<Micros>,
    /// The tenant.
    pub tenant: TenantId,
    /// This front migrated the session here.
    pub migrated: bool,
    /// The viewer retries after a failure.
    pub is_retry: bool,
}

impl Attempt {
    /// The last of so many attempts.
    #[expect(clippy::cast_possible_truncation, reason = "a session has far fewer attempts than u16 counts")]
    pub(crate) fn last_of(attempts: usize) -> Attempt {
        Attempt(attempts.saturating_sub(1) as u16)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served to its end.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected it unread, as it is overloaded.
    Overloaded,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled, migrated, or the viewer left.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// Values of a load report; those not reported, or not finite, are absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Streams running or being set up.
    pub streams: Option<f64>,
    /// Demand on the link over its capacity.
    pub link_utilization: Option<f64>,
    /// Demand on the rack's uplink over its capacity.
    pub uplink_utilization: Option<f64>,
}

/// Feedback on a session that plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Feedback {
    /// Fraction of the rate that the server delivers.
    DeliveredFraction(f64),
    /// The rung in force.
    Rung(Rung),
    /// Demand on the link over its capacity.
    LinkUtilization(f64),
    /// Demand on the rack's uplink over its capacity.
    UplinkUtilization(f64),
}

/// A front's slot among the fronts, in place of what the settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotAssignment {
    /// Its slot.
    pub slot: u32,
    /// Number of slots. A slot that is not below it gets no share of a cold server's slow start.
    pub slot_count: u32,
    /// Fronts that are alive, for the estimate of the others' sessions.
    pub live_fronts: u32,
}

/// What a front reports to its policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a part of it.
    EndpointsUpdated {
        /// How it is to be applied.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A new session request; it is owed one answer.
    Request(Request),
    /// A session that plays already, adopted from an earlier front; it counts as attempt 0.
    SessionAdopted {
        /// Its request.
        request: Request,
        /// Where it plays.
        server: ServerId,
    },
    /// The set-up is done; the viewer watches.
    Started {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
        /// Where it plays.
        server: ServerId,
        /// Time since it was sent.
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
        /// How.
        outcome: Outcome,
        /// The request is answered; otherwise an answer is still owed.
        is_final: bool,
        /// Time since it was sent.
        elapsed: Micros,
        /// The server's load.
        report: LoadReport,
    },
    /// The viewer left; no answer is owed any more.
    Withdrawn(SessionId),
    /// Feedback on a session that plays.
    FeedbackReceived {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// What it says.
        feedback: Feedback,
    },
    /// The result of a health check.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it went.
        outcome: Outcome,
        /// The server's load.
        report: LoadReport,
    },
    /// This front's slot changed while it runs; slow start goes by it from now on.
    SlotAssigned(SlotAssignment),
    /// A timer of this policy is due.
    Timer(TimerToken),
    /// A message from another front of the tier.
    PeerMessage {
        /// The other front.
        sender: u32,
        /// Its bytes.
        payload: Vec<u8>,
    },
}

/// What a front is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask a server to start the session.
    StartAttempt {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// When the attempt is to be dropped.
        deadline: Micros,
    },
    /// Set the session's rung.
    SetRung {
        /// The session.
        session: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Reject the request.
    Reject {
        /// The session.
        session: SessionId,
        /// Time after which the viewer may retry, if one is passed on.
        retry_after: Option<Micros>,
    },
    /// Answer that it failed.
    Fail(SessionId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Take a playing session off its server; the viewer requests it anew here.
    Migrate(SessionId),
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Schedule a timer event.
    SetTimer {
        /// After this long.
        delay: Micros,
        /// Which timer.
        token: TimerToken,
    },
    /// A line for the operators.
    Log(String),
}

//! What passes between the decision module and the front that drives it: settings, events, actions, ids.

use std::collections::BTreeSet;
use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point in time or a span, in microseconds, on the driver's own monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Micros {
    /// The value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// This many seconds; negative and non-finite values give zero.
    pub fn from_secs(s: f64) -> Self {
        Micros((s.max(0.0) * 1e6) as u64)
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
    /// One session request; a viewer who comes again has a new one.
    SessionId(u64);
    /// What is watched.
    TitleId(u64);
    /// The viewer, the same over all tries.
    ViewerId(u64);
    /// A streaming server; survives restarts of its process.
    ServerId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u16);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// Index into [`Settings::kind_streams`].
    KindId(u8);
    /// A zone of the network.
    ZoneId(u16);
    /// The cell a server stands in; titles lie on cells in a row.
    CellId(u16);
    /// A step of the quality ladder, 0 the lowest.
    Rung(u8);
    /// Number of a set-up attempt of one session, 0 the first.
    Attempt(u16);
    /// Names a timer to the module that set it.
    TimerToken(u64);
}

/// What a repeated set-up of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused freely.
    Repeatable,
    /// Copies are recognised within a group of servers for a while.
    Keyed {
        /// Where copies are recognised.
        group: Group,
        /// For how long after the first send.
        window: Micros,
    },
    /// It must not happen twice.
    Once,
}

/// The servers among which a keyed set-up is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of sessions.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The set-up is wanted within this time.
    pub aim: Micros,
    /// The viewer waits at most so long.
    pub deadline: Micros,
    /// What a repeated set-up does.
    pub effect: Effect,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Rates of this class over those of the ladder.
    pub scale: f64,
    /// The lowest rung that may be set.
    pub floor: Rung,
    /// The highest rung of the class.
    pub top: Rung,
    /// Sessions of one title a front may hold; none: no cap.
    pub seats: Option<u32>,
    /// Part of a rate that a further viewer of a live title adds at the same server and rung; 1: all of it.
    pub join: f64,
}

/// A tenant's share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all fronts; none: unknown.
    pub quota_per_s: Option<f64>,
}

/// What a value of a load report means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Streams run or being set up.
    Streams,
    /// What is asked of the link over what it gives.
    LinkUse,
    /// The same of the rack's uplink.
    UplinkUse,
    /// Anything the module has no use for.
    Other,
}

/// How load reports reach a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reporting {
    /// With answers, probe results and notes.
    InAnswers,
    /// With probe results alone.
    InProbes,
    /// Never.
    #[default]
    Silent,
}

/// What the size in a server list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Sizes {
    /// Nothing: it is always 1.
    #[default]
    Silent,
    /// The server's size, more or less exactly.
    Size,
    /// The size divided by its load: it moves.
    Live,
}

/// How the server list reaches a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Changes come by themselves.
    #[default]
    Push,
    /// Only after a subscription or a fetch.
    Ask,
}

/// What the deployment permits.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Limits {
    /// Attempts for one session at most.
    pub max_attempts: u32,
    /// Probing is allowed.
    pub probes: bool,
    /// Cancelling an attempt is allowed.
    pub cancel: bool,
    /// Longest advice on when to come back; none: no advice is passed on.
    pub retry_after: Option<Micros>,
}

/// Further attempts allowed in any window: `free` plus `share` of the sessions taken in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are always allowed.
    pub free: f64,
    /// Further ones for each session taken.
    pub share: f64,
    /// The window.
    pub window: Micros,
}

/// How a freshly started server must be treated.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdRule {
    /// It is warm after this long.
    pub warm_after: Micros,
    /// It begins at this share of its capacity or above.
    pub from: f64,
    /// It falls when sent this multiple of its pace...
    pub multiple: f64,
    /// ...for this long.
    pub span: Micros,
}

/// The quality ladder and the sizes of links.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ladder {
    /// Rate of each rung, kB a second.
    pub rates_kb: Vec<f64>,
    /// What each rung earns.
    pub worth: Vec<f64>,
    /// A change of rung while playing costs so many seconds of the class's worth.
    pub change_cost_s: f64,
}

/// Everything a front is told when it starts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Streams at most, for each kind of server.
    pub kind_streams: Vec<u32>,
    /// The ladder.
    pub ladder: Ladder,
    /// Number of cells that titles are laid over.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// All links together at the start, kB a second; none: unknown.
    pub all_links_kb: Option<f64>,
    /// Link of a server for each unit of its listed size, kB a second; none: unknown.
    pub link_unit_kb: Option<f64>,
    /// Mean uplink of a rack, kB a second; none: uplinks don't bind.
    pub uplink_kb: Option<f64>,
    /// A server turns set-ups away while so much of its link is asked; none: never.
    pub guard: Option<f64>,
    /// How late notes on sessions that play are.
    pub note_delay: Micros,
    /// Fronts of this tier.
    pub fronts: u32,
    /// This front's number among them.
    pub number: u32,
    /// This front's zone.
    pub zone: ZoneId,
    /// How load is reported.
    pub reporting: Reporting,
    /// What the sizes in the list mean.
    pub sizes: Sizes,
    /// How the list comes.
    pub discovery: Discovery,
    /// What is permitted.
    pub limits: Limits,
    /// The budget for further attempts; none: no limit.
    pub budget: Option<RetryBudget>,
    /// How cold servers are paced.
    pub cold: ColdRule,
    /// Price of one probe a session, as a share of the result.
    pub probe_price: f64,
    /// Price of one move a session, as a share of the result.
    pub move_price: f64,
    /// Worth of a session past its tenant's share, over that of one within.
    pub over_share_worth: f64,
}

/// A server's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerState {
    /// Takes sessions.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Off the list.
    Gone,
}

/// A line of the server list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its latest start; zero: long ago.
    pub started: Micros,
    /// Its size, see [`Sizes`].
    pub size: f64,
}

/// How a server list is to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListForm {
    /// Only what changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this front last saw it, perhaps stale.
    Cached,
    /// A call failed or the subscription dropped; the old list holds.
    Failed,
}

/// A viewer's wish to watch.
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
    pub home: u32,
    /// How many cells in a row hold it.
    pub holders: u32,
    /// The servers that hold it, where they are known by name; `home` and `holders` are not looked at then.
    pub on: Option<Arc<BTreeSet<ServerId>>>,
    /// The highest rung the viewer can use.
    pub top: Rung,
    /// When the viewer gives up.
    pub gives_up: Micros,
    /// Expected length, if hinted.
    pub hint: Option<Micros>,
    /// The tenant.
    pub tenant: TenantId,
    /// This front moved the session here.
    pub moved: bool,
    /// The viewer comes again.
    pub again: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served to its end.
    Ok,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled, moved, or the viewer left.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// Values of a load report; those not reported, or not finite, are absent.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Streams run or being set up.
    pub streams: Option<f64>,
    /// Link asked over link given.
    pub link: Option<f64>,
    /// The same of the rack's uplink.
    pub uplink: Option<f64>,
}

/// A note on a session that plays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// Share of the rate delivered at the server.
    Delivered(f64),
    /// The rung in force.
    Rung(Rung),
    /// Link asked over link given.
    LinkUse(f64),
    /// The same of the rack's uplink.
    UplinkUse(f64),
}

/// A front's place among the fronts, in place of what the settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Numbered {
    /// Its number.
    pub number: u32,
    /// Of how many: numbers are under it. A number that is not has no part in pacing cold servers.
    pub of: u32,
    /// Fronts that are there, for what is estimated of the others' sessions.
    pub fronts: u32,
}

/// What a front hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a part of it.
    Servers(ListForm, Vec<ServerEntry>),
    /// A new session request; it is owed one answer.
    Request(Request),
    /// A session that plays already, on this server, counted as attempt 0.
    HandedOver(Request, ServerId),
    /// The set-up is done; the viewer watches.
    Started {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
        /// Where it plays.
        server: ServerId,
        /// Since it went out.
        took: Micros,
    },
    /// An attempt ended.
    Ended {
        /// The session.
        session: SessionId,
        /// The attempt.
        attempt: Attempt,
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
        /// The request is finished; otherwise an answer is still owed.
        closed: bool,
        /// Since it went out.
        took: Micros,
        /// The server's load.
        report: LoadReport,
    },
    /// The viewer left; no answer is owed any more.
    Withdrawn(SessionId),
    /// A note on a session that plays.
    Noted {
        /// The session.
        session: SessionId,
        /// The server.
        server: ServerId,
        /// What it says.
        note: Note,
    },
    /// The result of a probe.
    Probed {
        /// The server.
        server: ServerId,
        /// How it went.
        outcome: Outcome,
        /// The server's load.
        report: LoadReport,
    },
    /// This front's number changed while it runs: what paces cold servers goes by it from now on.
    Numbered(Numbered),
    /// A timer of this module is due.
    Timer(TimerToken),
    /// A message from another front of the tier.
    Peer(u32, Vec<u8>),
}

/// What a front is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask a server to start the session; drop the attempt at the given time.
    SetUp(SessionId, ServerId, Micros),
    /// Set the session's rung.
    SetRung(SessionId, Rung),
    /// Turn the viewer away, perhaps naming a time to come back after.
    Refuse(SessionId, Option<Micros>),
    /// Answer that it failed.
    Fail(SessionId),
    /// Stop waiting for an attempt.
    Cancel(SessionId, Attempt),
    /// Take a playing session off its server; the viewer comes back here.
    Move(SessionId),
    /// Probe a server.
    Probe(ServerId),
    /// Ask for changes of the server list from now on.
    Subscribe,
    /// Have a timer event after this long.
    SetTimer(Micros, TimerToken),
    /// A line for the operators.
    Log(String),
}

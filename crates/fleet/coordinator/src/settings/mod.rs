//! The section `fleet` of a settings file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beechloft_config_reader::{self as config_reader, ConfigErrors, Section};
use beechloft_leases::{DriftBound, LeaseSpec, Name};
use beechloft_membership::Zone;

mod outlier_detection;
mod quotas;
mod topics;

pub use outlier_detection::OutlierDetectionSettings;
pub use quotas::{KnownNames, QuotaSettings};
pub use topics::TopicSpec;

/// Replicas at most.
const MAX_REPLICAS: usize = 9;
/// Seeds at most.
const MAX_SEEDS: usize = 16;
/// Bytes of a fleet's name at most.
const MAX_NAME_BYTES: usize = 64;
const DEFAULT_DRIFT_PPM: u32 = 10_000;
const DEFAULT_MAX_FRONTS: u16 = 1_024;
const DEFAULT_SLOT_TTL_MS: u32 = 10_000;
const DEFAULT_RESTART_MS: u32 = 15_000;
const DEFAULT_RESTART_WAIT: Duration = Duration::from_secs(60);

/// The settings of a process of a fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetSettings {
    /// The fleet's name: messages of another fleet are rejected.
    pub name: String,
    /// Address on which this process listens for others; none for a client.
    pub listen: Option<SocketAddr>,
    /// Addresses of all replicas of the coordinator (`keepers`).
    pub replicas: Vec<SocketAddr>,
    /// Folder of this replica's store.
    pub store: Option<PathBuf>,
    /// Maximum deviation of a clock's rate (`drift_ppm`).
    pub drift_bound: DriftBound,
    /// Zone of this process.
    pub zone: Zone,
    /// Addresses by which this process joins the membership; none: it is no member.
    pub seeds: Vec<SocketAddr>,
    /// The lease of a front's slot (`number: lease`), if the front is to have one.
    pub front_slot: Option<LeaseSpec>,
    /// The name that stays the same over restarts of this process (`seat`): its next process takes over the slot.
    pub instance: Option<Name>,
    /// How fronts restart in turn, if they do.
    pub rolling_restart: Option<RollingRestart>,
    /// Topics to be declared; the settings of the leading replica count.
    pub topics: Vec<TopicSpec>,
    /// The gossip of fronts (`rows`), if anything needs it.
    pub gossip: Option<beechloft_gossip::Settings>,
    /// Quotas of all fronts (`limits`), if there are any.
    pub quotas: Option<QuotaSettings>,
    /// Outlier detection of media servers (`verdicts`), if it is on.
    pub outlier_detection: Option<OutlierDetectionSettings>,
    /// All zones, as far as the file names them.
    pub zones: Vec<String>,
    /// For tests: the rate of this process's clock.
    pub test_clock_rate: f64,
    /// For tests: the file of the history of lease requests.
    pub test_history: Option<PathBuf>,
    /// For tests: replicas that are reached through a proxy, by their addresses.
    pub test_via: BTreeMap<SocketAddr, SocketAddr>,
    /// For tests: members that are reached through a proxy, by their addresses.
    pub test_udp_via: BTreeMap<SocketAddr, SocketAddr>,
}

/// How fronts restart in turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollingRestart {
    /// The lease of a turn: a slot for each front that may restart at the same time, held for as long as a restart takes.
    pub lease: LeaseSpec,
    /// How long a front waits for its turn.
    pub wait: Duration,
}

impl FleetSettings {
    /// Reads a file.
    ///
    /// # Errors
    /// All errors of the file, each with its position and key.
    pub fn read(text: &str) -> Result<FleetSettings, ConfigErrors> {
        config_reader::read(text, |top| FleetSettings::from_section(&top.section("fleet"), None))
    }

    /// Reads the section of a larger file; `zones` are those that the rest of the file names.
    pub fn from_section(section: &Section<'_>, zones: Option<&[String]>) -> FleetSettings {
        fleet(section, zones, None)
    }

    /// Reads the section of a front's file, which names zones, customers and classes too.
    pub fn from_front_section(
        section: &Section<'_>,
        zones: &[String],
        known: KnownNames<'_>,
    ) -> FleetSettings {
        fleet(section, Some(zones), Some(known))
    }

    /// Whether this process is a replica of the coordinator: it has a store, and its address is one of the replicas'.
    pub fn is_replica(&self) -> bool {
        self.store.is_some() && self.listen.is_some_and(|listen| self.replicas.contains(&listen))
    }

    /// The fleet's id, which stands in each message: FNV-1a of its name.
    pub fn fleet_id(&self) -> u64 {
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.name.bytes().fold(0xcbf2_9ce4_8422_2325, hash)
    }

    /// The address at which a replica is reached.
    pub fn dial_address(&self, replica: SocketAddr) -> SocketAddr {
        self.test_via.get(&replica).copied().unwrap_or(replica)
    }

    /// The address at which a member is reached.
    pub fn dial_member(&self, member: SocketAddr) -> SocketAddr {
        self.test_udp_via.get(&member).copied().unwrap_or(member)
    }

    /// The member that is reached through this address, or else the address itself.
    pub fn member_behind(&self, address: SocketAddr) -> SocketAddr {
        self.test_udp_via.iter().find(|(_, via)| **via == address).map_or(address, |(member, _)| *member)
    }

    /// This process's clock: the time since some moment before now.
    pub fn clock(&self) -> impl Fn() -> Duration + Clone + Send + Sync + 'static {
        let (start, rate) = (std::time::Instant::now(), self.test_clock_rate);
        move || Duration::from_secs(1) + start.elapsed().mul_f64(rate)
    }
}

/// Reads an integer whose range is within `u32`.
fn integer_u32(s: &Section<'_>, key: &'static str, range: std::ops::RangeInclusive<u32>) -> Option<u32> {
    let value = s.integer(key, u64::from(*range.start())..=u64::from(*range.end()))?;
    u32::try_from(value).ok()
}

/// Reads an integer whose range is within `u16`.
fn integer_u16(s: &Section<'_>, key: &'static str, range: std::ops::RangeInclusive<u16>) -> Option<u16> {
    let value = s.integer(key, u64::from(*range.start())..=u64::from(*range.end()))?;
    u16::try_from(value).ok()
}

fn fleet(s: &Section<'_>, zones: Option<&[String]>, known: Option<KnownNames<'_>>) -> FleetSettings {
    let name = s.required_text("name");
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        s.report("name", "1 to 64 bytes are needed");
    }
    let replicas = addresses(s, "keepers");
    let count = s.texts("keepers").len();
    if count == 0 {
        s.report("keepers", "one at least is needed");
    } else if count.is_multiple_of(2) {
        s.report("keepers", format!("{count} are as good as {}: an odd number is needed", count - 1));
    } else if count > MAX_REPLICAS {
        s.report("keepers", format!("{MAX_REPLICAS} at most"));
    }
    let listen: Option<SocketAddr> = s.address("listen");
    let seeds = addresses(s, "seeds");
    if seeds.len() > MAX_SEEDS {
        s.report("seeds", format!("{MAX_SEEDS} at most"));
    }
    if s.has("seeds") && listen.is_none() {
        s.report("seeds", "others reach a member at fleet.listen, which is missing");
    }
    if s.has("seeds") && listen.is_some_and(|l| l.ip().is_unspecified()) {
        s.report("listen", "others are told this address, and can't reach this one");
    }
    let ppm = integer_u32(s, "drift_ppm", 0..=99_999).unwrap_or(DEFAULT_DRIFT_PPM);
    // Within bounds by the range above; a file with an error there is not used.
    let drift_bound = DriftBound::ppm(ppm).unwrap_or_default();
    let quotas = s.has("limits").then(|| quotas::quotas(&s.section("limits"), drift_bound, known));
    let has_soft_quotas = quotas.as_ref().is_some_and(QuotaSettings::any_soft);
    if has_soft_quotas && !s.has("seeds") {
        s.report(
            "limits",
            "soft limits go from front to front, and fleet.seeds, by which they know each other, is missing",
        );
    }
    let gossip = (has_soft_quotas || s.has("verdicts"))
        .then(|| outlier_detection::gossip(&s.section("rows"), usize::from(max_fronts(s)), ppm));
    let outlier_detection = gossip.filter(|_| s.has("verdicts")).map(|gossip| {
        let staleness = gossip.staleness(usize::from(max_fronts(s)));
        outlier_detection::outlier_detection(&s.section("verdicts"), staleness)
    });
    if gossip.is_some() && (!s.has("seeds") || listen.is_none()) {
        s.report("verdicts", "fronts share them as members: fleet.seeds and fleet.listen are needed");
    }
    FleetSettings {
        name,
        zone: zone(s, zones),
        listen,
        replicas,
        seeds,
        store: s.text("store").map(PathBuf::from),
        drift_bound,
        front_slot: front_slot(s, drift_bound),
        instance: instance(s),
        rolling_restart: if s.has("restart") {
            rolling_restart(&s.section("restart"), drift_bound)
        } else {
            None
        },
        gossip,
        outlier_detection,
        zones: zones.map(<[String]>::to_vec).unwrap_or_else(|| s.texts("zones")),
        topics: topics::read(s),
        quotas,
        test_clock_rate: s.number("test_clock_rate", 0.5..=2.0).unwrap_or(1.0),
        test_history: s.text("test_history").map(PathBuf::from),
        test_via: via(s, "test_via"),
        test_udp_via: via(s, "test_udp_via"),
    }
}

/// A lease with the time to live of a key; an unfit time is reported as an error of that key.
fn lease_spec(
    s: &Section<'_>,
    name: &str,
    slots: u16,
    ttl_key: &'static str,
    default_ttl_ms: u32,
    drift_bound: DriftBound,
) -> Option<LeaseSpec> {
    let ttl_ms = integer_u32(s, ttl_key, 1..=3_600_000).unwrap_or(default_ttl_ms);
    let spec = LeaseSpec { name: Name::try_from(name.to_owned()).ok()?, slots, ttl_ms };
    if let Err(error) = spec.check(drift_bound) {
        s.report(ttl_key, error.to_string());
    }
    Some(spec)
}

/// Fronts at most.
fn max_fronts(s: &Section<'_>) -> u16 {
    integer_u16(s, "most_fronts", 1..=4_096).unwrap_or(DEFAULT_MAX_FRONTS)
}

/// The lease of a front's slot.
fn front_slot(s: &Section<'_>, drift_bound: DriftBound) -> Option<LeaseSpec> {
    s.choice("number", &[("lease", ())])?;
    let slots = max_fronts(s);
    lease_spec(s, "front/number", slots, "number_ttl_ms", DEFAULT_SLOT_TTL_MS, drift_bound)
}

fn instance(s: &Section<'_>) -> Option<Name> {
    let text = s.text("seat")?;
    if !s.has("number") {
        s.report("seat", "a number is left there, and fleet.number is missing");
    }
    Name::try_from(text).map_err(|error| s.report("seat", error.to_string())).ok()
}

fn rolling_restart(s: &Section<'_>, drift_bound: DriftBound) -> Option<RollingRestart> {
    const MAX_RESTARTING: u64 = 4_096;
    let slots = u16::try_from(s.required_integer("at_most", 1..=MAX_RESTARTING)).unwrap_or(1);
    let wait = s.millis("wait_ms", 1..=3_600_000).unwrap_or(DEFAULT_RESTART_WAIT);
    let lease = lease_spec(s, "front/restart", slots, "back_ms", DEFAULT_RESTART_MS, drift_bound)?;
    Some(RollingRestart { lease, wait })
}

/// A list of addresses with ports without duplicates.
fn addresses(s: &Section<'_>, key: &'static str) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for text in s.texts(key) {
        match text.parse() {
            Ok(address) if all.contains(&address) => s.report(key, format!("{address} is there twice")),
            Ok(address) => all.push(address),
            Err(_) => s.report(key, format!("'{text}' is no address with a port")),
        }
    }
    all
}

/// The zone, which must be one of those that the file names, if it names any.
fn zone(s: &Section<'_>, zones: Option<&[String]>) -> Zone {
    let listed = s.texts("zones");
    let known = zones.filter(|z| !z.is_empty()).unwrap_or(&listed);
    let text = s.text("zone").unwrap_or_default();
    if !text.is_empty() && !known.is_empty() && !known.contains(&text) {
        s.report("zone", format!("there is no zone '{text}'; there are {}", known.join(", ")));
    }
    Zone::try_from(text).unwrap_or_else(|error| {
        s.report("zone", error.to_string());
        Zone::default()
    })
}

/// A list of `PROCESS=ADDRESS`.
fn via(s: &Section<'_>, key: &'static str) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut all = BTreeMap::new();
    for text in s.texts(key) {
        let pair = text.split_once('=').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        match pair {
            Some((process, address)) => drop(all.insert(process, address)),
            None => s.report(key, format!("'{text}' is not PROCESS=ADDRESS")),
        }
    }
    all
}

#[cfg(test)]
mod tests;

//! Settings of a process of the fleet, read from the section `fleet` of a settings file.

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

const MAX_REPLICAS: usize = 9;
const MAX_SEEDS: usize = 16;
const MAX_NAME_BYTES: usize = 64;
const MAX_DRIFT_PPM: u32 = 99_999;
const DEFAULT_DRIFT_PPM: u32 = 10_000;
const DEFAULT_MAX_FRONTS: u16 = 1_024;
const DEFAULT_SLOT_TTL_MS: u32 = 10_000;
const DEFAULT_RESTART_MS: u32 = 15_000;
const DEFAULT_RESTART_WAIT: Duration = Duration::from_secs(60);
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The settings of a process of the fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetSettings {
    /// The fleet's name. Messages of other fleets are rejected.
    pub name: String,
    /// The address on which this process listens for other processes. `None` for a client.
    pub listen: Option<SocketAddr>,
    /// The addresses of all replicas of the coordinator (`keepers`).
    pub replicas: Vec<SocketAddr>,
    /// The directory of this replica's store.
    pub store: Option<PathBuf>,
    /// The maximum deviation of a clock's rate (`drift_ppm`).
    pub drift_bound: DriftBound,
    /// The zone of this process.
    pub zone: Zone,
    /// The addresses through which this process joins the membership. If empty, the process is not a member.
    pub seeds: Vec<SocketAddr>,
    /// The lease of a front's slot (`number: lease`), if the front uses one.
    pub front_slot: Option<LeaseSpec>,
    /// The name of this instance (`seat`), which stays the same across restarts: the next process with the name takes over the
    /// slot.
    pub instance: Option<Name>,
    /// The settings of rolling restarts (`restart`), if the restarts of fronts are coordinated.
    pub rolling_restart: Option<RollingRestart>,
    /// The topics to be declared. Those in the settings of the leader take effect.
    pub topics: Vec<TopicSpec>,
    /// The gossip of fronts (`rows`), if soft quotas or outlier detection require it.
    pub gossip: Option<beechloft_gossip::Settings>,
    /// The quotas of all fronts (`limits`), if there are any.
    pub quotas: Option<QuotaSettings>,
    /// The outlier detection of media servers (`verdicts`), if it is enabled.
    pub outlier_detection: Option<OutlierDetectionSettings>,
    /// The names of all zones, if the file lists them.
    pub zones: Vec<String>,
    /// For tests: the rate of this process's clock relative to real time.
    pub test_clock_rate: f64,
    /// For tests: the file to which the history of lease requests is appended.
    pub test_history: Option<PathBuf>,
    /// For tests: the addresses of TCP proxies in front of replicas, by the replicas' addresses.
    pub test_via: BTreeMap<SocketAddr, SocketAddr>,
    /// For tests: the addresses of UDP proxies in front of members, by the members' addresses.
    pub test_udp_via: BTreeMap<SocketAddr, SocketAddr>,
}

/// The settings of rolling restarts, which limit how many fronts restart at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollingRestart {
    /// The lease that permits a restart. It has one slot for each front that may restart at the same time, and its time to live
    /// is the duration of a restart.
    pub lease: LeaseSpec,
    /// The maximum time for which a front waits for the lease.
    pub wait: Duration,
}

impl FleetSettings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// Returns all errors of the file, each with its position and key.
    pub fn read(text: &str) -> Result<FleetSettings, ConfigErrors> {
        config_reader::read(text, |top| FleetSettings::from_section(&top.section("fleet"), None))
    }

    /// Reads the section `fleet` of a larger file. `zones` are the zones that the rest of the file defines.
    pub fn from_section(section: &Section<'_>, zones: Option<&[String]>) -> FleetSettings {
        read_fleet(section, zones, None)
    }

    /// Reads the section `fleet` of a front's file, which also defines zones, customers and classes.
    pub fn from_front_section(
        section: &Section<'_>,
        zones: &[String],
        known: KnownNames<'_>,
    ) -> FleetSettings {
        read_fleet(section, Some(zones), Some(known))
    }

    /// Returns whether this process is a replica of the coordinator, which has a store and listens on a replica's address.
    pub fn is_replica(&self) -> bool {
        self.store.is_some() && self.listen.is_some_and(|listen| self.replicas.contains(&listen))
    }

    /// Returns the fleet's id, which is part of each message's header. It is the FNV-1a hash of the name.
    pub fn fleet_id(&self) -> u64 {
        let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        self.name.bytes().fold(FNV_OFFSET_BASIS, add_byte)
    }

    /// Returns the address to connect to for a replica: that of its proxy in tests, or else its own.
    pub fn dial_address(&self, replica: SocketAddr) -> SocketAddr {
        self.test_via.get(&replica).copied().unwrap_or(replica)
    }

    /// Returns the address to send datagrams to for a member: that of its proxy in tests, or else its own.
    pub fn dial_member(&self, member: SocketAddr) -> SocketAddr {
        self.test_udp_via.get(&member).copied().unwrap_or(member)
    }

    /// Returns the address of the member whose proxy has this address, or the address itself if it is not a proxy's.
    pub fn member_behind(&self, address: SocketAddr) -> SocketAddr {
        self.test_udp_via.iter().find(|(_, via)| **via == address).map_or(address, |(member, _)| *member)
    }

    /// Returns this process's clock, which yields the time since an arbitrary moment at least one second ago.
    pub fn clock(&self) -> impl Fn() -> Duration + Clone + Send + Sync + 'static {
        let (start, rate) = (std::time::Instant::now(), self.test_clock_rate);
        move || Duration::from_secs(1) + start.elapsed().mul_f64(rate)
    }
}

/// Reads an integer whose range is within `u32`.
fn integer_u32(
    section: &Section<'_>,
    key: &'static str,
    range: std::ops::RangeInclusive<u32>,
) -> Option<u32> {
    let value = section.integer(key, u64::from(*range.start())..=u64::from(*range.end()))?;
    u32::try_from(value).ok()
}

/// Reads an integer whose range is within `u16`.
fn integer_u16(
    section: &Section<'_>,
    key: &'static str,
    range: std::ops::RangeInclusive<u16>,
) -> Option<u16> {
    let value = section.integer(key, u64::from(*range.start())..=u64::from(*range.end()))?;
    u16::try_from(value).ok()
}

fn read_fleet(
    section: &Section<'_>,
    zones: Option<&[String]>,
    known: Option<KnownNames<'_>>,
) -> FleetSettings {
    let name = section.required_text("name");
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        section.report("name", format!("must have 1 to {MAX_NAME_BYTES} bytes"));
    }
    let replicas = read_addresses(section, "keepers");
    let count = section.texts("keepers").len();
    if count == 0 {
        section.report("keepers", "at least one is required");
    } else if count.is_multiple_of(2) {
        let fewer = count - 1;
        section.report(
            "keepers",
            format!("an odd number is required: {count} tolerate as many failures as {fewer}"),
        );
    } else if count > MAX_REPLICAS {
        section.report("keepers", format!("at most {MAX_REPLICAS} are allowed"));
    }
    let listen: Option<SocketAddr> = section.address("listen");
    let seeds = read_addresses(section, "seeds");
    if seeds.len() > MAX_SEEDS {
        section.report("seeds", format!("at most {MAX_SEEDS} are allowed"));
    }
    if section.has("seeds") && listen.is_none() {
        section.report("seeds", "a member requires fleet.listen, which is missing");
    }
    if section.has("seeds") && listen.is_some_and(|l| l.ip().is_unspecified()) {
        section.report("listen", "other members can't reach an unspecified address");
    }
    let ppm = integer_u32(section, "drift_ppm", 0..=MAX_DRIFT_PPM).unwrap_or(DEFAULT_DRIFT_PPM);
    // The range above is within the bounds, and a file with an error there is not used.
    let drift_bound = DriftBound::ppm(ppm).unwrap_or_default();
    let quotas = section.has("limits").then(|| quotas::read(&section.section("limits"), drift_bound, known));
    let has_soft_quotas = quotas.as_ref().is_some_and(QuotaSettings::has_soft);
    if has_soft_quotas && !section.has("seeds") {
        section.report(
            "limits",
            "soft limits are gossiped between members and require fleet.seeds, which is missing",
        );
    }
    let gossip = (has_soft_quotas || section.has("verdicts")).then(|| {
        outlier_detection::read_gossip(&section.section("rows"), usize::from(read_max_fronts(section)), ppm)
    });
    let outlier_detection = gossip.filter(|_| section.has("verdicts")).map(|gossip| {
        let staleness = gossip.staleness(usize::from(read_max_fronts(section)));
        outlier_detection::read(&section.section("verdicts"), staleness)
    });
    if gossip.is_some() && (!section.has("seeds") || listen.is_none()) {
        section.report(
            "verdicts",
            "reports are gossiped between members, which requires fleet.seeds and fleet.listen",
        );
    }
    FleetSettings {
        name,
        zone: read_zone(section, zones),
        listen,
        replicas,
        seeds,
        store: section.text("store").map(PathBuf::from),
        drift_bound,
        front_slot: read_front_slot(section, drift_bound),
        instance: read_instance(section),
        rolling_restart: if section.has("restart") {
            read_rolling_restart(&section.section("restart"), drift_bound)
        } else {
            None
        },
        gossip,
        outlier_detection,
        zones: zones.map(<[String]>::to_vec).unwrap_or_else(|| section.texts("zones")),
        topics: topics::read(section),
        quotas,
        test_clock_rate: section.number("test_clock_rate", 0.5..=2.0).unwrap_or(1.0),
        test_history: section.text("test_history").map(PathBuf::from),
        test_via: read_proxies(section, "test_via"),
        test_udp_via: read_proxies(section, "test_udp_via"),
    }
}

/// Builds a lease whose time to live is read from `ttl_key`. A time to live that is too short is reported for that key.
fn read_lease_spec(
    section: &Section<'_>,
    name: &str,
    slots: u16,
    ttl_key: &'static str,
    default_ttl_ms: u32,
    drift_bound: DriftBound,
) -> Option<LeaseSpec> {
    let ttl_ms = integer_u32(section, ttl_key, 1..=3_600_000).unwrap_or(default_ttl_ms);
    let spec = LeaseSpec { name: Name::try_from(name.to_owned()).ok()?, slots, ttl_ms };
    if let Err(error) = spec.check(drift_bound) {
        section.report(ttl_key, error.to_string());
    }
    Some(spec)
}

/// Reads the maximum number of fronts.
fn read_max_fronts(section: &Section<'_>) -> u16 {
    integer_u16(section, "most_fronts", 1..=4_096).unwrap_or(DEFAULT_MAX_FRONTS)
}

/// Reads the lease of a front's slot.
fn read_front_slot(section: &Section<'_>, drift_bound: DriftBound) -> Option<LeaseSpec> {
    section.choice("number", &[("lease", ())])?;
    let slots = read_max_fronts(section);
    read_lease_spec(section, "front/number", slots, "number_ttl_ms", DEFAULT_SLOT_TTL_MS, drift_bound)
}

fn read_instance(section: &Section<'_>) -> Option<Name> {
    let text = section.text("seat")?;
    if !section.has("number") {
        section.report("seat", "requires fleet.number, which is missing");
    }
    Name::try_from(text).map_err(|error| section.report("seat", error.to_string())).ok()
}

fn read_rolling_restart(section: &Section<'_>, drift_bound: DriftBound) -> Option<RollingRestart> {
    const MAX_RESTARTING: u64 = 4_096;
    let slots = u16::try_from(section.required_integer("at_most", 1..=MAX_RESTARTING)).unwrap_or(1);
    let wait = section.millis("wait_ms", 1..=3_600_000).unwrap_or(DEFAULT_RESTART_WAIT);
    let lease = read_lease_spec(section, "front/restart", slots, "back_ms", DEFAULT_RESTART_MS, drift_bound)?;
    Some(RollingRestart { lease, wait })
}

/// Reads a list of addresses with ports. A duplicate is an error.
fn read_addresses(section: &Section<'_>, key: &'static str) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for text in section.texts(key) {
        match text.parse() {
            Ok(address) if all.contains(&address) => {
                section.report(key, format!("{address} is listed twice"))
            }
            Ok(address) => all.push(address),
            Err(_) => section.report(key, format!("'{text}' is not an address with a port")),
        }
    }
    all
}

/// Reads the zone. It must be one of those that the file lists, if it lists any.
fn read_zone(section: &Section<'_>, zones: Option<&[String]>) -> Zone {
    let listed = section.texts("zones");
    let known = zones.filter(|z| !z.is_empty()).unwrap_or(&listed);
    let text = section.text("zone").unwrap_or_default();
    if !text.is_empty() && !known.is_empty() && !known.contains(&text) {
        section.report("zone", format!("unknown zone '{text}', expected one of: {}", known.join(", ")));
    }
    Zone::try_from(text).unwrap_or_else(|error| {
        section.report("zone", error.to_string());
        Zone::default()
    })
}

/// Reads a list of `PROCESS=ADDRESS`, the addresses of proxies by those of the processes behind them.
fn read_proxies(section: &Section<'_>, key: &'static str) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut all = BTreeMap::new();
    for text in section.texts(key) {
        let pair = text.split_once('=').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        match pair {
            Some((process, address)) => drop(all.insert(process, address)),
            None => section.report(key, format!("'{text}' is not PROCESS=ADDRESS")),
        }
    }
    all
}

#[cfg(test)]
mod tests;

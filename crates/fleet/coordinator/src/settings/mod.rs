//! The `fleet:` section.

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

/// Keepers at most.
const MOST_KEEPERS: usize = 9;
/// Seeds at most.
const MOST_SEEDS: usize = 16;

/// What the section says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetSettings {
    /// The fleet's name: words of another fleet are refused.
    pub name: String,
    /// Where this process listens for peers; none: it only asks.
    pub listen: Option<SocketAddr>,
    /// All keepers.
    pub keepers: Vec<SocketAddr>,
    /// The folder of this keeper's log.
    pub store: Option<PathBuf>,
    /// How far clocks' rates may differ.
    pub drift: DriftBound,
    /// This process's zone.
    pub zone: Zone,
    /// Where others are looked for at first; none: this process is no member.
    pub seeds: Vec<SocketAddr>,
    /// The lease of a front's number, if it is to have one.
    pub number: Option<LeaseSpec>,
    /// What is the same of a front from one start to the next: who starts in it takes over the number that was left there.
    pub seat: Option<Name>,
    /// How fronts restart in turn, if they do.
    pub restart: Option<RollingRestart>,
    /// Topics that there are to be, by the keepers' settings.
    pub topics: Vec<TopicSpec>,
    /// How fronts spread rows, if anything that is asked for needs them.
    pub spread: Option<beechloft_gossip::Settings>,
    /// Limits that hold for all fronts, if there are any.
    pub limits: Option<QuotaSettings>,
    /// How verdicts on boxes are shared, if they are.
    pub verdicts: Option<OutlierDetectionSettings>,
    /// The zones that there are, as far as the file names them.
    pub zones: Vec<String>,
    /// For tests: this process's clock runs at this rate.
    pub test_clock_rate: f64,
    /// For tests: what this process asks of keepers and hears is written down there.
    pub test_history: Option<PathBuf>,
    /// For tests: keepers that are reached by way of another address.
    pub test_via: BTreeMap<SocketAddr, SocketAddr>,
    /// For tests: members that are reached by way of another address.
    pub test_udp_via: BTreeMap<SocketAddr, SocketAddr>,
}

/// How fronts restart in turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollingRestart {
    /// The lease: as many places as fronts may be out at once, each for as long as a front takes to be back.
    pub terms: LeaseSpec,
    /// How long one is waited for.
    pub wait: Duration,
}

impl FleetSettings {
    /// Reads a file; all faults together, each with its line and key.
    pub fn read(text: &str) -> Result<FleetSettings, ConfigErrors> {
        config_reader::read(text, |top| FleetSettings::of(&top.section("fleet"), None))
    }

    /// Reads the section of a file that says more than this; `zones` are those that the rest of it names.
    pub fn of(section: &Section<'_>, zones: Option<&[String]>) -> FleetSettings {
        fleet(section, zones, None)
    }

    /// The same, of a file that names customers and classes too.
    pub fn among(section: &Section<'_>, zones: &[String], known: KnownNames<'_>) -> FleetSettings {
        fleet(section, Some(zones), Some(known))
    }

    /// Whether this process is a keeper: it has a folder, and its address is one of theirs.
    pub fn keeps(&self) -> bool {
        self.store.is_some() && self.listen.is_some_and(|l| self.keepers.contains(&l))
    }

    /// The fleet as a number, which goes with each word.
    pub fn number(&self) -> u64 {
        let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.name.bytes().fold(0xcbf2_9ce4_8422_2325, hash)
    }

    /// Where a keeper is reached.
    pub fn reach(&self, keeper: SocketAddr) -> SocketAddr {
        self.test_via.get(&keeper).copied().unwrap_or(keeper)
    }

    /// Where a member is reached.
    pub fn reach_member(&self, member: SocketAddr) -> SocketAddr {
        self.test_udp_via.get(&member).copied().unwrap_or(member)
    }

    /// Which member is reached by way of this address, or else the address.
    pub fn behind(&self, address: SocketAddr) -> SocketAddr {
        self.test_udp_via.iter().find(|(_, via)| **via == address).map_or(address, |(member, _)| *member)
    }

    /// A clock that goes by these settings: time since some moment before now.
    pub fn clock(&self) -> impl Fn() -> Duration + Clone + Send + Sync + 'static {
        let (start, rate) = (std::time::Instant::now(), self.test_clock_rate);
        move || Duration::from_secs(1) + start.elapsed().mul_f64(rate)
    }
}

fn fleet(s: &Section<'_>, zones: Option<&[String]>, known: Option<KnownNames<'_>>) -> FleetSettings {
    let name = s.required_text("name");
    if name.is_empty() || name.len() > 64 {
        s.report("name", "1 to 64 bytes are needed");
    }
    let keepers = addresses(s, "keepers");
    let count = s.texts("keepers").len();
    if count == 0 {
        s.report("keepers", "one at least is needed");
    } else if count.is_multiple_of(2) {
        s.report("keepers", format!("{count} are as good as {}: an odd number is needed", count - 1));
    } else if count > MOST_KEEPERS {
        s.report("keepers", format!("{MOST_KEEPERS} at most"));
    }
    let listen: Option<SocketAddr> = s.address("listen");
    let seeds = addresses(s, "seeds");
    if seeds.len() > MOST_SEEDS {
        s.report("seeds", format!("{MOST_SEEDS} at most"));
    }
    if s.has("seeds") && listen.is_none() {
        s.report("seeds", "others reach a member at fleet.listen, which is missing");
    }
    if s.has("seeds") && listen.is_some_and(|l| l.ip().is_unspecified()) {
        s.report("listen", "others are told this address, and can't reach this one");
    }
    let ppm = s.integer("drift_ppm", 0..=99_999).unwrap_or(10_000) as u32;
    // Within bounds by the range above; a file with a fault there is not used.
    let drift = DriftBound::ppm(ppm).unwrap_or_default();
    let limits = s.has("limits").then(|| quotas::quotas(&s.section("limits"), drift, known));
    if limits.as_ref().is_some_and(QuotaSettings::any_soft) && !s.has("seeds") {
        s.report(
            "limits",
            "soft limits go from front to front, and fleet.seeds, by which they know each other, is missing",
        );
    }
    let soft = limits.as_ref().is_some_and(QuotaSettings::any_soft);
    let spread =
        (soft || shares(s)).then(|| outlier_detection::gossip(&s.section("rows"), most_fronts(s), ppm));
    let verdicts = spread.filter(|_| s.has("verdicts")).map(|rows| {
        outlier_detection::outlier_detection(&s.section("verdicts"), rows.staleness(most_fronts(s)))
    });
    if spread.is_some() && (!s.has("seeds") || listen.is_none()) {
        s.report("verdicts", "fronts share them as members: fleet.seeds and fleet.listen are needed");
    }
    FleetSettings {
        name,
        zone: zone(s, zones),
        listen,
        keepers,
        seeds,
        store: s.text("store").map(PathBuf::from),
        drift,
        number: number(s, drift),
        seat: seat(s),
        restart: if s.has("restart") { restart(&s.section("restart"), drift) } else { None },
        spread,
        verdicts,
        zones: zones.map(<[String]>::to_vec).unwrap_or_else(|| s.texts("zones")),
        topics: topics::read(s),
        limits,
        test_clock_rate: s.number("test_clock_rate", 0.5..=2.0).unwrap_or(1.0),
        test_history: s.text("test_history").map(PathBuf::from),
        test_via: via(s, "test_via"),
        test_udp_via: via(s, "test_udp_via"),
    }
}

/// A lease's terms; what is wrong with them is a fault of the key that says the time.
fn terms(
    s: &Section<'_>,
    name: &str,
    places: u16,
    ttl: (&'static str, u64),
    drift: DriftBound,
) -> Option<LeaseSpec> {
    let ttl_ms = s.integer(ttl.0, 1..=3_600_000).unwrap_or(ttl.1) as u32;
    let terms = LeaseSpec { name: Name::try_from(name.to_owned()).ok()?, slots: places, ttl_ms };
    if let Err(why) = terms.check(drift) {
        s.report(ttl.0, why.to_string());
    }
    Some(terms)
}

/// Fronts at most.
fn most_fronts(s: &Section<'_>) -> usize {
    s.integer("most_fronts", 1..=4_096).unwrap_or(1_024) as usize
}

/// Whether anything is asked for that needs rows.
fn shares(s: &Section<'_>) -> bool {
    s.has("verdicts")
}

fn number(s: &Section<'_>, drift: DriftBound) -> Option<LeaseSpec> {
    s.choice("number", &[("lease", ())])?;
    let places = most_fronts(s) as u16;
    terms(s, "front/number", places, ("number_ttl_ms", 10_000), drift)
}

fn seat(s: &Section<'_>) -> Option<Name> {
    let text = s.text("seat")?;
    if !s.has("number") {
        s.report("seat", "a number is left there, and fleet.number is missing");
    }
    Name::try_from(text).map_err(|e| s.report("seat", e.to_string())).ok()
}

fn restart(s: &Section<'_>, drift: DriftBound) -> Option<RollingRestart> {
    let places = s.required_integer("at_most", 1..=4_096) as u16;
    let wait = s.millis("wait_ms", 1..=3_600_000).unwrap_or(Duration::from_secs(60));
    let terms = terms(s, "front/restart", places, ("back_ms", 15_000), drift)?;
    Some(RollingRestart { terms, wait })
}

/// Addresses with ports, none of them twice.
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

/// The zone, which is one of those that there are, if any are named.
fn zone(s: &Section<'_>, zones: Option<&[String]>) -> Zone {
    let listed = s.texts("zones");
    let known = zones.filter(|z| !z.is_empty()).unwrap_or(&listed);
    let text = s.text("zone").unwrap_or_default();
    if !text.is_empty() && !known.is_empty() && !known.contains(&text) {
        s.report("zone", format!("there is no zone '{text}'; there are {}", known.join(", ")));
    }
    Zone::try_from(text).unwrap_or_else(|e| {
        s.report("zone", e.to_string());
        Zone::default()
    })
}

/// `PROCESS=ADDRESS`, each.
fn via(s: &Section<'_>, key: &'static str) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut all = BTreeMap::new();
    for text in s.texts(key) {
        let pair = text.split_once('=').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        match pair {
            Some((keeper, address)) => drop(all.insert(keeper, address)),
            None => s.report(key, format!("'{text}' is not PROCESS=ADDRESS")),
        }
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verdicts_are_off_unless_asked_for_and_their_faults_are_named() {
        let head = "fleet:\n  name: market\n  listen: 127.0.0.1:7009\n  keepers: ['127.0.0.1:7000']\n";
        let off = FleetSettings::read(head).expect("sound");
        assert_eq!((off.spread, off.verdicts), (None, None));
        let on =
            FleetSettings::read(&format!("{head}  seeds: ['127.0.0.1:7000']\n  verdicts:\n    part: 0.4\n"));
        let on = on.expect("sound");
        assert_eq!(on.verdicts.map(|v| v.rules.max_ejection_per_mille), Some(400));
        assert_eq!(on.spread, Some(beechloft_gossip::Settings::default()));
        let bad = format!(
            "{head}  rows:\n    round_ms: 5\n  verdicts:\n    fresh_ms: 100\n    fronts: 1\n    party: 1\n"
        );
        let faults = FleetSettings::read(&bad).expect_err("faulty").to_string();
        for said in [
            "round of at least 10 ms",
            "evidence is fresh for 100ms",
            "fronts",
            "party: unknown key",
            "fleet.seeds",
        ] {
            assert!(faults.contains(said), "{said} is not in {faults}");
        }
    }

    #[test]
    fn a_sound_section_is_read_and_all_faults_are_named() {
        let text = "fleet:\n  name: market\n  listen: 127.0.0.1:7000\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7001', '127.0.0.1:7002']\n  store: /tmp/x\n  drift_ppm: 200\n";
        let read = FleetSettings::read(text).expect("sound");
        assert_eq!((read.keepers.len(), read.name.as_str(), read.test_clock_rate), (3, "market", 1.0));
        let bad = "fleet:\n  keepers: ['127.0.0.1:7000', '127.0.0.1:7000', 'x', '127.0.0.1:7002']\n  drift_ppm: 99999\n  seed: 3\n  zones: [a, b]\n  zone: c\n  seeds: ['127.0.0.1:1', y]\n  number: lease\n  number_ttl_ms: 460\n  seat: no space\n  restart:\n    at_least: 1\n    back_ms: 100\n  topics:\n    - name: limits\n      retention_ms: 1\n      bytes: 60000000\n    - name: limits\n      bytes: 60000000\n    - name: a b\n      bytes: 1\n";
        let faults = FleetSettings::read(bad).expect_err("faulty").to_string();
        let all = [
            "name",
            "twice",
            "'x' is no address",
            "odd number",
            "seed: unknown key",
            "no zone 'c'; there are a, b",
            "'y' is no address",
            "fleet.listen, which is missing",
            "number_ttl_ms: 460 ms leave 414 ms after a drift of 99999 ppm",
            "seat: a name has",
            "at_least: unknown key",
            "at_most: missing",
            "back_ms: 100 ms leave",
            "topics[0].retention_ms",
            "topics[1].name: limits is there twice",
            "topics[2].name: a name has 1 to 96 letters",
            "topics: 120000000 bytes together are more than 100663296",
        ];
        for said in all {
            assert!(faults.contains(said), "{said} is not in {faults}");
        }
    }
}

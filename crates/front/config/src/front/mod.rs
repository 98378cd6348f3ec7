//! One front: where it listens, where its endpoint list comes from, its bounds and logs.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use beechloft::api::{Settings, ZoneId};
use beechloft_config_reader::{self as config_reader, ConfigErrors, Section};
use beechloft_http::Limits;
use beechloft_http::server::Sizes;
use beechloft_session::catalog::{MediaServerEntry, TitleEntry};

use crate::endpoint_list;
use crate::narrow::{narrow, narrow_index};
use crate::service::{self, Service};

/// Stands in for an address that is missing or can't be read; a fault is reported then.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// How long a connection to a media server may take, if the settings say nothing.
const DEFAULT_CONNECT_TIME: Duration = Duration::from_millis(250);
/// How long a call to a media server may take, if the settings say nothing.
const DEFAULT_CALL_TIME: Duration = Duration::from_millis(2000);

/// Where the endpoint list comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum ListSource {
    /// A service that pushes changes.
    Pushed {
        /// Where it listens.
        address: SocketAddr,
        /// The path of its stream.
        path: String,
        /// Where the copy for the next start is kept.
        cache: Option<PathBuf>,
    },
    /// The settings themselves.
    Written(Vec<MediaServerEntry>, Vec<TitleEntry>),
}

/// How logs are written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// JSON lines rather than lines for people.
    pub json: bool,
    /// Level, and levels of parts: `info,list=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { json: false, filter: "info".into() }
    }
}

/// The settings of a front.
#[derive(Debug, Clone)]
pub struct FrontSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it takes SIP calls, over UDP and TCP, if it does.
    pub sip: Option<SocketAddr>,
    /// Whether overload control bounds the calls that are taken; off only for comparisons.
    pub sip_control: bool,
    /// The deployment.
    pub service: Service,
    /// For the policy, complete.
    pub settings: Settings,
    /// Whether its slot, or the number of slots, is written there.
    pub numbered: bool,
    /// Seed of its random numbers; none: drawn at the start.
    pub seed: Option<u64>,
    /// Where the endpoint list comes from.
    pub list: ListSource,
    /// Bounds of its sockets.
    pub sizes: Sizes,
    /// For a connection to a media server.
    pub connect_time: Duration,
    /// For a call to a media server that is no set-up.
    pub call_time: Duration,
    /// Logs.
    pub log: LogSettings,
}

/// Reads a front's settings file.
///
/// # Errors
/// All faults of the file, if it has any.
pub fn parse(text: &str) -> Result<FrontSettings, ConfigErrors> {
    config_reader::read(text, FrontSettings::of)
}

impl FrontSettings {
    /// Reads a front's sections of a file that may have more.
    pub fn of(top: &Section<'_>) -> FrontSettings {
        let service = service::service(&top.section("service"));
        let front = top.section("front");
        if !front.has("listen") {
            front.report("listen", "missing");
        }
        let servers = top.section("boxes");
        FrontSettings {
            listen: front.address("listen").unwrap_or(UNSET_ADDRESS),
            sip: front.address("sip"),
            sip_control: true,
            settings: policy_settings(&front, &service),
            numbered: front.has("number") || front.has("of"),
            seed: front.integer("seed", 0..=u64::MAX),
            list: list_source(&top.section("list"), &service),
            sizes: sizes(&top.section("sockets")),
            connect_time: servers.millis("connect_ms", 1..=60_000).unwrap_or(DEFAULT_CONNECT_TIME),
            call_time: servers.millis("call_ms", 1..=60_000).unwrap_or(DEFAULT_CALL_TIME),
            log: log(&top.section("log")),
            service,
        }
    }
}

/// The service's settings with this front's slot and zone.
fn policy_settings(front: &Section<'_>, service: &Service) -> Settings {
    let front_count = front.integer("of", 1..=100_000).unwrap_or(1);
    let slot = front.integer("number", 0..=100_000).unwrap_or(0);
    if slot >= front_count {
        front.report("number", format!("fronts are counted from 0, and there are {front_count}"));
    }
    let zone = front.index("zone", &service.zones, "zone").unwrap_or(0);
    Settings {
        front_count: narrow(front_count),
        slot: narrow(slot),
        zone: ZoneId(narrow_index(zone)),
        ..service.settings.clone()
    }
}

fn list_source(section: &Section<'_>, service: &Service) -> ListSource {
    if !section.has("url") {
        return written_list(section, service);
    }
    for key in ["boxes", "titles"] {
        if section.has(key) {
            section.report(key, "the list comes from url; it can't be written here as well");
        }
    }
    let url = section.required_text("url");
    let parsed = address_and_path(&url);
    if parsed.is_none() {
        section.report("url", format!("'{url}' is not http:// with an address, a port and a path"));
    }
    let (address, path) = parsed.unwrap_or_else(|| (UNSET_ADDRESS, "/".into()));
    ListSource::Pushed { address, path, cache: section.text("cache").map(PathBuf::from) }
}

fn written_list(section: &Section<'_>, service: &Service) -> ListSource {
    let (servers, titles) = endpoint_list::written(section, service);
    if section.has("cache") {
        section.report("cache", "a list written here needs no copy");
    }
    if servers.is_empty() {
        section.report("", "either url or boxes is needed");
    }
    ListSource::Written(servers, titles)
}

fn address_and_path(url: &str) -> Option<(SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = if path.is_empty() { "/" } else { path };
    Some((host.parse().ok()?, path.to_owned()))
}

fn sizes(section: &Section<'_>) -> Sizes {
    let defaults = Sizes::default();
    let limits = &defaults.limits;
    let count = |key, range, default| section.integer(key, range).map_or(default, narrow);
    let stack_kb = section.integer("stack_kb", 64..=8192);
    Sizes {
        connections: count("connections", 1..=100_000, defaults.connections),
        stack: stack_kb.map_or(defaults.stack, |kb| narrow::<usize>(kb) * 1024),
        limits: Limits {
            head_bytes: count("head_bytes", 1024..=1_048_576, limits.head_bytes),
            body_bytes: count("body_bytes", 1024..=16_777_216, limits.body_bytes),
            head_time: section.millis("head_ms", 10..=600_000).unwrap_or(limits.head_time),
            body_time: section.millis("body_ms", 10..=600_000).unwrap_or(limits.body_time),
            idle_time: section.millis("idle_ms", 10..=3_600_000).unwrap_or(limits.idle_time),
            write_time: section.millis("write_ms", 10..=600_000).unwrap_or(limits.write_time),
            ..limits.clone()
        },
    }
}

fn log(section: &Section<'_>) -> LogSettings {
    let json = section.choice("format", &[("human", false), ("json", true)]).unwrap_or(false);
    let levels = ["error", "warn", "info", "debug", "trace"].map(|level| (level, level));
    let mut filter = section.choice("level", &levels).unwrap_or("info").to_owned();
    let parts = section.section("parts");
    for part in ["core", "list", "boxes", "http"] {
        if let Some(level) = parts.choice(part, &levels) {
            filter.push_str(&format!(",{part}={level}"));
        }
    }
    LogSettings { json, filter }
}

#[cfg(test)]
mod tests;

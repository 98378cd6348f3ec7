//! The settings of a single front: its addresses, the source of its endpoint list, its limits and its logs.

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

/// Placeholder for an address that is missing or invalid, which is reported as a fault.
const UNSET_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Default time within which a connection to a media server must be established.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Default time within which a call to a media server must be answered.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// The source of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum ListSource {
    /// A list service that pushes changes.
    Pushed {
        /// Address of the list service.
        address: SocketAddr,
        /// Path of the stream at the list service.
        path: String,
        /// Path of the file that the list is cached in for the next start.
        cache: Option<PathBuf>,
    },
    /// A static list in the settings.
    Static(Vec<MediaServerEntry>, Vec<TitleEntry>),
}

/// Format and levels of the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Whether lines are written as JSON instead of human-readable text.
    pub json: bool,
    /// The general level, followed by the levels of single targets, such as `info,list=debug`.
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
    /// The address that the front listens on for HTTP.
    pub listen: SocketAddr,
    /// The address that the front listens on for SIP over UDP and TCP, if it supports SIP.
    pub sip: Option<SocketAddr>,
    /// Whether SIP overload control limits the accepted calls. It is disabled only in benchmarks.
    pub sip_control: bool,
    /// Settings of the deployment.
    pub service: Service,
    /// Settings of the policy, with the front's slot and zone.
    pub settings: Settings,
    /// Whether the front's slot or the number of slots is configured.
    pub has_configured_slot: bool,
    /// Seed of the front's random numbers. If there is none, a seed is drawn at the start.
    pub seed: Option<u64>,
    /// Source of the endpoint list.
    pub list: ListSource,
    /// Limits of the HTTP server's sockets.
    pub sizes: Sizes,
    /// Time within which a connection to a media server must be established.
    pub connect_timeout: Duration,
    /// Time within which a call to a media server other than a set-up must be answered.
    pub call_timeout: Duration,
    /// Format and levels of the logs.
    pub log: LogSettings,
}

/// Parses a front's settings file.
///
/// # Errors
/// Returns all faults of the file.
pub fn parse(text: &str) -> Result<FrontSettings, ConfigErrors> {
    config_reader::read(text, FrontSettings::read)
}

impl FrontSettings {
    /// Reads a front's sections from the top level of a file, which may have further sections.
    pub fn read(top: &Section<'_>) -> FrontSettings {
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
            has_configured_slot: front.has("number") || front.has("of"),
            seed: front.integer("seed", 0..=u64::MAX),
            list: list_source(&top.section("list"), &service),
            sizes: sizes(&top.section("sockets")),
            connect_timeout: servers.millis("connect_ms", 1..=60_000).unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            call_timeout: servers.millis("call_ms", 1..=60_000).unwrap_or(DEFAULT_CALL_TIMEOUT),
            log: log(&top.section("log")),
            service,
        }
    }
}

/// Returns the policy settings of the deployment, with the front's slot and zone.
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
        return static_list(section, service);
    }
    for key in ["boxes", "titles"] {
        if section.has(key) {
            section.report(key, "can't be combined with url, from which the list is read");
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

fn static_list(section: &Section<'_>, service: &Service) -> ListSource {
    let (servers, titles) = endpoint_list::static_list(section, service);
    if section.has("cache") {
        section.report("cache", "applies only to a list that is read from url");
    }
    if servers.is_empty() {
        section.report("", "either url or boxes is needed");
    }
    ListSource::Static(servers, titles)
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
    let targets = section.section("parts");
    for target in ["core", "list", "boxes", "http"] {
        if let Some(level) = targets.choice(target, &levels) {
            filter.push_str(&format!(",{target}={level}"));
        }
    }
    LogSettings { json, filter }
}

#[cfg(test)]
mod tests;

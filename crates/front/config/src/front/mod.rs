//! One front: where it listens, where its list comes from, its bounds and logs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use beechloft::api::{Settings, ZoneId};
use beechloft_http::Limits;
use beechloft_http::server::Sizes;
use beechloft_session::catalog::{MediaServerEntry, TitleEntry};

use crate::list;
use crate::service::{self, Service};
use beechloft_config_reader::{self as config_reader, ConfigErrors, Section};

/// Where the list comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum ListSource {
    /// A list service that pushes changes.
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

/// Everything a front is told.
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
    /// Whether its number, or of how many, is written there.
    pub numbered: bool,
    /// Seed of its random numbers; none: drawn at the start.
    pub seed: Option<u64>,
    /// Where the list comes from.
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

/// Reads a front's settings file; all its faults, if it has any.
pub fn parse(text: &str) -> Result<FrontSettings, ConfigErrors> {
    config_reader::read(text, FrontSettings::of)
}

impl FrontSettings {
    /// Reads a front's sections of a file that may say more.
    pub fn of(top: &Section<'_>) -> FrontSettings {
        front(top)
    }
}

fn front(top: &Section<'_>) -> FrontSettings {
    let service = service::service(&top.section("service"));
    let f = top.section("front");
    if !f.has("listen") {
        f.report("listen", "missing");
    }
    let listen = f.address("listen").unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let fronts = f.integer("of", 1..=100_000).unwrap_or(1);
    let number = f.integer("number", 0..=100_000).unwrap_or(0);
    if number >= fronts {
        f.report("number", format!("fronts are counted from 0, and there are {fronts}"));
    }
    let zone = ZoneId(f.index("zone", &service.zones, "zone").unwrap_or(0) as u16);
    let settings =
        Settings { front_count: fronts as u32, slot: number as u32, zone, ..service.settings.clone() };
    let b = top.section("boxes");
    FrontSettings {
        listen,
        sip: f.address("sip"),
        sip_control: true,
        settings,
        numbered: f.has("number") || f.has("of"),
        seed: f.integer("seed", 0..=u64::MAX),
        list: list_source(&top.section("list"), &service),
        sizes: sizes(&top.section("sockets")),
        connect_time: b.millis("connect_ms", 1..=60_000).unwrap_or(Duration::from_millis(250)),
        call_time: b.millis("call_ms", 1..=60_000).unwrap_or(Duration::from_millis(2000)),
        log: log(&top.section("log")),
        service,
    }
}

fn list_source(s: &Section<'_>, service: &Service) -> ListSource {
    if !s.has("url") {
        let (boxes, titles) = list::written(s, service);
        if s.has("cache") {
            s.report("cache", "a list written here needs no copy");
        }
        if boxes.is_empty() {
            s.report("", "either url or boxes is needed");
        }
        return ListSource::Written(boxes, titles);
    }
    for key in ["boxes", "titles"] {
        if s.has(key) {
            s.report(key, "the list comes from url; it can't be written here as well");
        }
    }
    let url = s.required_text("url");
    let parsed = url.strip_prefix("http://").and_then(|rest| {
        let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        Some((host.parse().ok()?, if path.is_empty() { "/" } else { path }.to_owned()))
    });
    if parsed.is_none() {
        s.report("url", format!("'{url}' is not http:// with an address, a port and a path"));
    }
    let (address, path) = parsed.unwrap_or_else(|| (SocketAddr::from(([127, 0, 0, 1], 0)), "/".into()));
    ListSource::Pushed { address, path, cache: s.text("cache").map(PathBuf::from) }
}

fn sizes(s: &Section<'_>) -> Sizes {
    let d = Sizes::default();
    let l = &d.limits;
    Sizes {
        connections: s.integer("connections", 1..=100_000).map_or(d.connections, |n| n as usize),
        stack: s.integer("stack_kb", 64..=8192).map_or(d.stack, |kb| kb as usize * 1024),
        limits: Limits {
            head_bytes: s.integer("head_bytes", 1024..=1_048_576).map_or(l.head_bytes, |n| n as usize),
            body_bytes: s.integer("body_bytes", 1024..=16_777_216).map_or(l.body_bytes, |n| n as usize),
            head_time: s.millis("head_ms", 10..=600_000).unwrap_or(l.head_time),
            body_time: s.millis("body_ms", 10..=600_000).unwrap_or(l.body_time),
            idle_time: s.millis("idle_ms", 10..=3_600_000).unwrap_or(l.idle_time),
            write_time: s.millis("write_ms", 10..=600_000).unwrap_or(l.write_time),
            ..l.clone()
        },
    }
}

fn log(s: &Section<'_>) -> LogSettings {
    let json = s.choice("format", &[("human", false), ("json", true)]).unwrap_or(false);
    let levels = ["error", "warn", "info", "debug", "trace"].map(|l| (l, l));
    let mut filter = s.choice("level", &levels).unwrap_or("info").to_owned();
    let parts = s.section("parts");
    for part in ["core", "list", "boxes", "http"] {
        if let Some(level) = parts.choice(part, &levels) {
            filter.push_str(&format!(",{part}={level}"));
        }
    }
    LogSettings { json, filter }
}

#[cfg(test)]
mod tests;

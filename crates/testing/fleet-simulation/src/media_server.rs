//! Simulated media servers, which accept every set-up and count what they receive.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status};

use crate::settings::ClusterSettings;

/// Number of servers whose addresses share the third byte.
const SERVERS_PER_SUBNET: u16 = 200;
const PORT: u16 = 2905;

/// A set-up that a media server received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SetUpReceived {
    /// Time of the receipt.
    pub at: Micros,
    /// Front node that sent the set-up.
    pub front_node: usize,
    /// Time of the sending.
    pub sent_at: Micros,
}

/// A connection that a front node opened to a media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionOpened {
    /// Time of the opening.
    pub at: Micros,
    /// Front node that opened the connection.
    pub front_node: usize,
}

/// The number of connections that were opened to a media server within a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenedConnections {
    /// Number of front nodes that opened any.
    pub front_nodes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// The number of set-ups that a cold media server received within one overload window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ColdWindow {
    /// Number of set-ups from all front nodes.
    pub total: usize,
    /// Number of set-ups from front nodes that knew of the start of the server when they sent them.
    pub informed: usize,
}

/// A simulated media server.
#[derive(Debug, Clone)]
pub struct MediaServer {
    /// Number of the server, which determines its name, cell and address.
    pub number: u16,
    /// State in the endpoint list.
    pub status: Status,
    /// Whether the process is running.
    pub is_running: bool,
    /// Start time of the process. `None` if the server has been warm from the beginning.
    pub started_at: Option<Micros>,
    /// Sessions, with the front node of each.
    pub sessions: BTreeMap<CallId, usize>,
    /// Received set-ups, in the order of their sending.
    pub set_ups: Vec<SetUpReceived>,
    /// Connections that were opened to the server.
    pub connections: Vec<ConnectionOpened>,
    /// Times of the received health checks.
    pub health_checks: Vec<Micros>,
    /// Front nodes that know of the start of the process, and since when. They learn of it from the list, from the end of
    /// the previous process, or from the list at their own start.
    pub start_known_since: BTreeMap<usize, Micros>,
}

impl MediaServer {
    /// Creates a server that has completed its cold period.
    pub fn warm(number: u16) -> MediaServer {
        MediaServer {
            number,
            status: Status::Ready,
            is_running: true,
            started_at: None,
            sessions: BTreeMap::new(),
            set_ups: Vec::new(),
            connections: Vec::new(),
            health_checks: Vec::new(),
            start_known_since: BTreeMap::new(),
        }
    }

    /// Creates a server whose process starts now.
    pub fn cold(number: u16, now: Micros) -> MediaServer {
        MediaServer { started_at: Some(now), ..MediaServer::warm(number) }
    }

    /// Returns the name of the server.
    pub fn name(&self) -> String {
        format!("s-{:08x}", self.number)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        let [_, subnet] = (self.number / SERVERS_PER_SUBNET).to_be_bytes();
        let [_, host] = (self.number % SERVERS_PER_SUBNET + 1).to_be_bytes();
        SocketAddr::from(([127, 9, subnet, host], PORT))
    }

    /// Returns the entry of the server in the endpoint list.
    pub fn endpoint(&self, settings: &ClusterSettings) -> Endpoint {
        Endpoint {
            name: self.name(),
            address: self.address().to_string(),
            zone: ["a", "b"][usize::from(self.number) % 2].into(),
            server_type: "small".into(),
            cell: self.number % settings.cells,
            status: self.status,
            weight: 1.0,
            started_ms: self.started_at.map_or(0, |at| at.0 / 1000),
        }
    }

    /// Returns the number of sessions relative to the capacity.
    pub fn utilization(&self, settings: &ClusterSettings) -> f64 {
        self.sessions.len() as f64 / f64::from(settings.streams)
    }

    /// Returns the maximum number of set-ups that the server received within an overload window while it was cold. A server
    /// that may have started before the cluster counts as cold from `since`.
    pub fn max_set_ups_while_cold(&self, since: Micros, settings: &ClusterSettings) -> usize {
        let start = self.started_at.unwrap_or(since);
        let cold_period = start..start + Micros(settings.cold_period_us);
        let window = Micros(settings.overload_window_us);
        let received: Vec<Micros> =
            self.set_ups.iter().map(|set_up| set_up.at).filter(|at| cold_period.contains(at)).collect();
        let within_window =
            |from: &Micros| received.iter().filter(|at| *at >= from && **at - *from < window).count();
        received.iter().map(within_window).max().unwrap_or(0)
    }

    /// Returns the overload windows that begin with each set-up that the server received while it was cold, in order.
    pub fn cold_windows(&self, settings: &ClusterSettings) -> Vec<ColdWindow> {
        let Some(start) = self.started_at else { return Vec::new() };
        let cold_period = start..start + Micros(settings.cold_period_us);
        let received: Vec<&SetUpReceived> =
            self.set_ups.iter().filter(|set_up| cold_period.contains(&set_up.at)).collect();
        let window_from = |first: &&SetUpReceived| {
            let window = first.at..first.at + Micros(settings.overload_window_us);
            let within: Vec<&&SetUpReceived> =
                received.iter().filter(|set_up| window.contains(&set_up.at)).collect();
            let informed = within.iter().filter(|set_up| self.sender_knew_start(set_up)).count();
            ColdWindow { total: within.len(), informed }
        };
        received.iter().map(window_from).collect()
    }

    fn sender_knew_start(&self, set_up: &SetUpReceived) -> bool {
        let known_since = self.start_known_since.get(&set_up.front_node);
        known_since.is_some_and(|since| *since <= set_up.sent_at)
    }

    /// Returns the number of connections that were opened from `from` until before `to`.
    pub fn connections_opened(&self, from: Micros, to: Micros) -> OpenedConnections {
        let opened: Vec<usize> = self
            .connections
            .iter()
            .filter(|connection| (from..to).contains(&connection.at))
            .map(|connection| connection.front_node)
            .collect();
        let front_nodes: BTreeSet<&usize> = opened.iter().collect();
        OpenedConnections { front_nodes: front_nodes.len(), connections: opened.len() }
    }
}

//! Media servers that answer and count.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft::api::Micros;
use beechloft_protocol::CallId;
use beechloft_protocol::bus::{Endpoint, Status};

use crate::settings::Terms;

/// A media server.
#[derive(Debug, Clone)]
pub struct Media {
    /// Its number; name, cell and address follow from it.
    pub number: u16,
    /// What the list says of it.
    pub status: Status,
    /// Its process runs.
    pub up: bool,
    /// Its process began; none: long ago.
    pub began: Option<Micros>,
    /// Who plays there: the front node's number.
    pub playing: BTreeMap<CallId, usize>,
    /// When set-ups arrived, by whom they were sent, and when.
    pub set_ups: Vec<(Micros, usize, Micros)>,
    /// When connections came up, by whom they were opened.
    pub connections: Vec<(Micros, usize)>,
    /// When probes arrived.
    pub probes: Vec<Micros>,
    /// Which front nodes know of its process's begin, and since when: told by the list, witnesses of the end of the
    /// process before it, or started later.
    pub told: BTreeMap<usize, Micros>,
}

/// Set-ups that arrived within one span at a cold media server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Span {
    /// Of the whole fleet.
    pub sent: usize,
    /// Of front nodes that knew of its start when they sent.
    pub told: usize,
}

impl Media {
    /// One that has run for long.
    pub fn warm(number: u16) -> Media {
        Media {
            number,
            status: Status::Ready,
            up: true,
            began: None,
            playing: BTreeMap::new(),
            set_ups: Vec::new(),
            connections: Vec::new(),
            probes: Vec::new(),
            told: BTreeMap::new(),
        }
    }

    /// One whose process begins now.
    pub fn cold(number: u16, now: Micros) -> Media {
        Media { began: Some(now), ..Media::warm(number) }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::from(([127, 9, (self.number / 200) as u8, (self.number % 200) as u8 + 1], 2905))
    }

    /// Its line of the list.
    pub fn line(&self, terms: &Terms) -> Endpoint {
        Endpoint {
            name: format!("s-{:08x}", self.number),
            address: self.address().to_string(),
            zone: ["a", "b"][usize::from(self.number) % 2].into(),
            kind: "small".into(),
            cell: self.number % terms.cells,
            status: self.status,
            weight: 1.0,
            started_ms: self.began.map_or(0, |t| t.0 / 1000),
        }
    }

    /// The most set-ups that arrived within a span while it was cold. A server that may have begun before the fleet did
    /// is cold for the fleet from `since`.
    pub fn most_while_cold(&self, since: Micros, terms: &Terms) -> usize {
        let began = self.began.unwrap_or(since);
        let end = began + Micros(terms.cold_us);
        let cold: Vec<Micros> =
            self.set_ups.iter().map(|s| s.0).filter(|t| *t >= began && *t < end).collect();
        let within =
            |from: &Micros| cold.iter().filter(|t| *t >= from && **t - *from < Micros(terms.fall_us)).count();
        cold.iter().map(within).max().unwrap_or(0)
    }

    /// The spans of the rule on cold servers, one from each set-up that arrived while it was cold, in order.
    pub fn cold_spans(&self, terms: &Terms) -> Vec<Span> {
        let Some(began) = self.began else { return Vec::new() };
        let cold = began..began + Micros(terms.cold_us);
        let sent: Vec<_> = self.set_ups.iter().filter(|s| cold.contains(&s.0)).collect();
        let knew = |s: &&&(Micros, usize, Micros)| self.told.get(&s.1).is_some_and(|since| *since <= s.2);
        let from = |first: &&(Micros, usize, Micros)| {
            let span = first.0..first.0 + Micros(terms.fall_us);
            let within: Vec<_> = sent.iter().filter(|s| span.contains(&s.0)).collect();
            Span { sent: within.len(), told: within.iter().filter(|s| knew(s)).count() }
        };
        sent.iter().map(from).collect()
    }

    /// Front nodes that opened a connection within a time, and how many they opened.
    pub fn opened(&self, from: Micros, to: Micros) -> (usize, usize) {
        let inside: Vec<usize> =
            self.connections.iter().filter(|c| c.0 >= from && c.0 < to).map(|c| c.1).collect();
        (inside.iter().collect::<BTreeSet<_>>().len(), inside.len())
    }
}

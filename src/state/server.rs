//! What a front knows of one server.

use super::{RecentEvents, ResourceGauge};
use crate::api::{DedupScope, Endpoint, EndpointState, Micros};

/// A fraction of the rate that a server was last known to deliver.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shortfall {
    pub at: Micros,
    pub delivered_fraction: f64,
}

/// A server, listed or not.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    pub rack: u32,
    pub link: ResourceGauge,
    pub streams: ResourceGauge,
    pub attempts_in_flight: u32,
    /// When attempts lately came back.
    pub recent_attempts: RecentEvents,
    /// Exponent of the ejection time: one up with each failure, one down with each success.
    pub ejection_level: u32,
    pub failed_at: Micros,
    pub ejected_until: Micros,
    pub responded_at: Micros,
    /// It may have restarted unseen; its first response then starts its slow start.
    pub may_have_restarted: bool,
    /// Its latest known start.
    pub started_at: Option<Micros>,
    /// Until then it may be cold from a start before this front's own.
    pub suspect_until: Micros,
    /// Its latest shortfall, if no feedback since has said that it is over.
    pub shortfall: Option<Shortfall>,
    pub health_checked_at: Option<Micros>,
    /// Since when it is off the endpoint list.
    pub removed_at: Option<Micros>,
}

impl Server {
    /// Whether the endpoint list has it as ready.
    pub fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Takes over its line of the list. A new start ends an ejection, and the slow start is known then.
    pub fn update(&mut self, endpoint: Endpoint, racks: u32) {
        if endpoint.started_at > self.endpoint.started_at {
            self.ejection_level = 0;
            self.ejected_until = Micros(0);
            self.may_have_restarted = false;
            self.link.samples.clear();
            self.started_at = Some(endpoint.started_at);
        }
        self.rack = u32::from(endpoint.cell.0) % racks.max(1);
        self.endpoint = endpoint;
    }

    /// Notes since when it is off the list; whether that is for longer than this, with nothing of this front's there.
    pub fn is_gone_for(&mut self, span: Micros, now: Micros) -> bool {
        self.removed_at = (!self.is_listed()).then(|| self.removed_at.unwrap_or(now));
        let is_unused = self.attempts_in_flight == 0 && self.streams.own_demand <= 0.0;
        is_unused && self.removed_at.is_some_and(|at| now - at > span)
    }

    /// Ejects it for a base time, doubled for each level above the first.
    pub fn eject(&mut self, now: Micros, base: Micros, max_level: u32) {
        self.ejection_level = (self.ejection_level + 1).min(max_level);
        self.failed_at = now;
        self.ejected_until = now + Micros(base.0 << (self.ejection_level - 1));
    }

    /// Notes a response, which lowers its ejection level and ends an ejection; whether it may have restarted before.
    pub fn responded(&mut self, now: Micros) -> bool {
        self.ejection_level = self.ejection_level.saturating_sub(1);
        self.ejected_until = Micros(0);
        self.responded_at = now;
        std::mem::take(&mut self.may_have_restarted)
    }

    /// Whether it fell short within the span by a fraction that differs by less than a tolerance.
    pub fn falls_short_like(
        &self,
        delivered_fraction: f64,
        tolerance: f64,
        now: Micros,
        span: Micros,
    ) -> bool {
        self.shortfall.is_some_and(|shortfall| {
            let difference = (shortfall.delivered_fraction - delivered_fraction).abs();
            now - shortfall.at < span && difference < tolerance
        })
    }

    /// Whether it is on the endpoint list, ready or draining.
    pub fn is_listed(&self) -> bool {
        self.endpoint.state != EndpointState::Removed
    }
}

impl DedupScope {
    /// Whether two servers recognise each other's copies.
    pub(crate) fn joins(self, one: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell,
        }
    }
}

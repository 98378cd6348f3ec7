//! What a front knows about one server.

use super::{RecentEvents, ResourceGauge};
use crate::api::{DedupScope, Endpoint, EndpointState, Micros};

/// The latest fraction of the rate that a server was known to deliver, if it was short.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shortfall {
    pub at: Micros,
    pub delivered_fraction: f64,
}

/// A server that is or was on the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    pub rack: u32,
    pub link: ResourceGauge,
    pub streams: ResourceGauge,
    pub attempts_in_flight: u32,
    /// Times at which recent attempts returned.
    pub recent_attempts: RecentEvents,
    /// Exponent of the ejection time. It rises by one with each failure and falls by one with each success.
    pub ejection_level: u32,
    pub failed_at: Micros,
    pub ejected_until: Micros,
    pub responded_at: Micros,
    /// Whether the server may have restarted unnoticed. Its first response then begins its slow start.
    pub may_have_restarted: bool,
    /// Time of the latest start that is known.
    pub started_at: Option<Micros>,
    /// Time until which the server may be cold from a start before the front's own.
    pub suspect_until: Micros,
    /// The latest shortfall, or `None` if feedback since then has reported its end.
    pub shortfall: Option<Shortfall>,
    pub health_checked_at: Option<Micros>,
    /// Time at which the server left the endpoint list, if it is off the list.
    pub removed_at: Option<Micros>,
}

impl Server {
    /// Returns whether the endpoint list has the server as ready.
    pub fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Applies the server's entry of the endpoint list.
    ///
    /// A new start ends an ejection, because the slow start is known from then on.
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

    /// Updates the time since which the server is off the list, and returns whether it has been off for
    /// longer than a span and is unused by this front.
    pub fn is_unused_since(&mut self, span: Micros, now: Micros) -> bool {
        self.removed_at = (!self.is_listed()).then(|| self.removed_at.unwrap_or(now));
        let is_unused = self.attempts_in_flight == 0 && self.streams.own_demand <= 0.0;
        is_unused && self.removed_at.is_some_and(|at| now - at > span)
    }

    /// Ejects the server for a base time, doubled for each ejection level above the first.
    pub fn eject(&mut self, now: Micros, base: Micros, max_level: u32) {
        self.ejection_level = (self.ejection_level + 1).min(max_level);
        self.failed_at = now;
        self.ejected_until = now + Micros(base.0 << (self.ejection_level - 1));
    }

    /// Records a response, which lowers the ejection level and ends an ejection. Returns whether the server
    /// may have restarted before it.
    pub fn record_response(&mut self, now: Micros) -> bool {
        self.ejection_level = self.ejection_level.saturating_sub(1);
        self.ejected_until = Micros(0);
        self.responded_at = now;
        std::mem::take(&mut self.may_have_restarted)
    }

    /// Returns whether the server had a shortfall within the span whose fraction differs by less than the
    /// tolerance.
    pub fn has_similar_shortfall(
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

    /// Returns whether the server is on the endpoint list, ready or draining.
    pub fn is_listed(&self) -> bool {
        self.endpoint.state != EndpointState::Removed
    }
}

impl DedupScope {
    /// Returns whether two servers recognise each other's copies of a set-up.
    pub(crate) fn includes_both(self, one: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell,
        }
    }
}

//! Capacity, own demand and reported utilization of one resource: a link, a server's streams, or a rack's uplink.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use super::Server;
use crate::api::{Micros, ServerId};

/// Highest utilization that is recorded; higher figures are cut to it.
const MAX_UTILIZATION: f64 = 5.0;
/// Maximum number of samples kept of one resource.
const MAX_SAMPLES: usize = 64;

/// Capacity of a resource and estimated demand of all fronts on it, in the same unit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub capacity: f64,
    pub demand: f64,
}

impl Load {
    /// What is left under a margin, a fraction of the capacity; below zero if that is exceeded.
    pub fn headroom(self, margin: f64) -> f64 {
        (1.0 - margin) * self.capacity - self.demand
    }

    /// A need over what is available under a margin; above 1 if that does not cover it.
    pub fn factor(self, need: f64, margin: f64) -> f64 {
        match self.headroom(margin) {
            _ if self.capacity.is_infinite() => 0.0,
            headroom if headroom > 0.0 => need / headroom,
            _ => f64::INFINITY,
        }
    }

    /// Whether it stays under a utilization with so much more demand.
    pub fn fits(self, demand: f64, max_utilization: f64) -> bool {
        self.demand + demand <= max_utilization * self.capacity
    }

    /// What a further demand lacks under a margin; zero or below if it is covered.
    pub fn shortage(self, demand: f64, margin: f64) -> f64 {
        self.demand + demand - (1.0 - margin) * self.capacity
    }
}

/// A reported utilization of a resource.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UtilizationSample {
    pub at: Micros,
    /// Demand over capacity.
    pub utilization: f64,
    /// Demand of own sessions at that time.
    pub own_demand: f64,
}

/// One resource: its capacity, the demand of own sessions, and reported utilization.
#[derive(Debug, Default)]
pub(crate) struct ResourceGauge {
    pub capacity: f64,
    pub own_demand: f64,
    /// How many upgrade holds came one soon after the other.
    pub consecutive_holds: u32,
    /// No session that uses it is stepped up before.
    pub hold_until: Micros,
    /// Oldest first.
    pub samples: VecDeque<UtilizationSample>,
    /// When a shortfall was last recorded, if no feedback since has said that it is over.
    pub shortfall_at: Option<Micros>,
    /// How often its load was looked up.
    pub reads: Cell<u64>,
}

impl ResourceGauge {
    /// Records a utilization, if it is a sound one, and forgets samples older than the window.
    pub fn record(&mut self, now: Micros, window: Micros, utilization: impl Into<Option<f64>>) {
        let Some(utilization) = utilization.into().filter(|u| u.is_finite() && *u >= 0.0) else { return };
        let utilization = utilization.min(MAX_UTILIZATION);
        self.samples.push_back(UtilizationSample { at: now, utilization, own_demand: self.own_demand });
        while self.samples.len() > MAX_SAMPLES || self.samples.front().is_some_and(|s| now - s.at > window) {
            self.samples.pop_front();
        }
    }

    /// Takes back the sample of a shortfall that is over.
    pub fn clear_shortfall(&mut self) {
        if let Some(at) = self.shortfall_at.take() {
            self.samples.retain(|s| s.at != at);
        }
    }

    /// The newest sample.
    pub fn latest_sample(&self) -> Option<&UtilizationSample> {
        self.reads.set(self.reads.get() + 1);
        self.samples.back()
    }

    /// When the newest sample was recorded.
    pub fn sampled_at(&self) -> Option<Micros> {
        self.samples.back().map(|s| s.at)
    }

    /// Whether the newest utilization is within the window and above a threshold.
    pub fn is_above(&self, threshold: f64, now: Micros, window: Micros) -> bool {
        self.samples.back().is_some_and(|s| now - s.at <= window && s.utilization > threshold)
    }

    /// Holds steps up for a gap, doubled for each hold that came soon after the one before, up to so many times.
    pub fn hold(&mut self, now: Micros, gap: Micros, max_doublings: u32) {
        if now >= self.hold_until {
            let is_soon = now <= self.hold_until + Micros(gap.0 << self.consecutive_holds);
            self.consecutive_holds =
                if is_soon { (self.consecutive_holds + 1).min(max_doublings) } else { 1 };
            self.hold_until = now + Micros(gap.0 << (self.consecutive_holds - 1));
        }
    }

    /// Whether steps up are held.
    pub fn is_held(&self, now: Micros) -> bool {
        now < self.hold_until
    }
}

impl UtilizationSample {
    /// Its weight: 1 when it is new, falling to 0 at the end of the window.
    pub fn freshness(&self, now: Micros, window: Micros) -> f64 {
        (1.0 - (now - self.at).secs() / window.secs()).max(0.0)
    }
}

/// A resource that sessions step down for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Resource {
    /// The link of a server, and the rack that it is in.
    Link { server: ServerId, rack: u32 },
    /// The uplink of a rack.
    Uplink { rack: u32 },
}

impl Resource {
    /// The rack whose sessions use it.
    pub fn rack(self) -> u32 {
        match self {
            Resource::Link { rack, .. } | Resource::Uplink { rack } => rack,
        }
    }

    /// Whether sessions at this server of the rack use it.
    pub fn is_used_by(self, at: ServerId) -> bool {
        match self {
            Resource::Link { server, .. } => server == at,
            Resource::Uplink { .. } => true,
        }
    }

    /// Its gauge.
    pub fn gauge_mut<'a>(
        self,
        servers: &'a mut BTreeMap<ServerId, Server>,
        racks: &'a mut BTreeMap<u32, ResourceGauge>,
    ) -> Option<&'a mut ResourceGauge> {
        match self {
            Resource::Link { server, .. } => servers.get_mut(&server).map(|s| &mut s.link),
            Resource::Uplink { rack } => racks.get_mut(&rack),
        }
    }
}

//! Capacity, own demand and reported utilization of one resource: a link, a server's streams, or a rack's
//! uplink.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use super::Server;
use crate::api::{Micros, ServerId};

/// Highest utilization that is recorded. Higher figures are reduced to it.
const MAX_UTILIZATION: f64 = 5.0;

/// Maximum number of samples that are kept for one resource.
const MAX_SAMPLES: usize = 64;

/// Capacity of a resource and estimated demand of all fronts on it, in the same unit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub capacity: f64,
    pub demand: f64,
}

impl Load {
    /// Returns the capacity that is left under a margin, which is a fraction of the capacity. The result is
    /// negative if the margin is exceeded.
    pub fn headroom(self, margin: f64) -> f64 {
        (1.0 - margin) * self.capacity - self.demand
    }

    /// Returns the ratio of a need to the headroom under a margin. It is above 1 if the headroom does not
    /// cover the need.
    pub fn factor(self, need: f64, margin: f64) -> f64 {
        match self.headroom(margin) {
            _ if self.capacity.is_infinite() => 0.0,
            headroom if headroom > 0.0 => need / headroom,
            _ => f64::INFINITY,
        }
    }

    /// Returns whether the resource stays within a utilization with additional demand.
    pub fn fits(self, demand: f64, max_utilization: f64) -> bool {
        self.demand + demand <= max_utilization * self.capacity
    }

    /// Returns how much the headroom under a margin lacks for additional demand. The result is zero or
    /// negative if it is covered.
    pub fn shortage(self, demand: f64, margin: f64) -> f64 {
        self.demand + demand - (1.0 - margin) * self.capacity
    }
}

/// A reported utilization of a resource.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UtilizationSample {
    pub at: Micros,
    /// Demand of all fronts over the capacity.
    pub utilization: f64,
    /// Demand of own sessions at that time.
    pub own_demand: f64,
}

/// Capacity of one resource, demand of own sessions on it, and its reported utilization.
#[derive(Debug, Default)]
pub(crate) struct ResourceGauge {
    pub capacity: f64,
    pub own_demand: f64,
    /// Number of pauses of steps up that each began soon after the one before.
    pub consecutive_pauses: u32,
    /// Time before which no session that uses the resource steps up.
    pub upgrades_paused_until: Micros,
    /// Samples in the order of their times, the oldest first.
    pub samples: VecDeque<UtilizationSample>,
    /// Time of the latest recorded shortfall, or `None` if feedback since then has reported its end.
    pub shortfall_at: Option<Micros>,
    /// Number of times that the newest sample was looked up, as a measure of work.
    pub reads: Cell<u64>,
}

impl ResourceGauge {
    /// Records a utilization and forgets samples that are older than the window. Negative and non-finite
    /// values are ignored.
    pub fn record(&mut self, now: Micros, window: Micros, utilization: impl Into<Option<f64>>) {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        let Some(utilization) = utilization.into().filter(is_valid) else { return };
        let utilization = utilization.min(MAX_UTILIZATION);
        self.samples.push_back(UtilizationSample { at: now, utilization, own_demand: self.own_demand });
        let is_expired = |sample: &UtilizationSample| now - sample.at > window;
        while self.samples.len() > MAX_SAMPLES || self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
    }

    /// Removes the sample of a shortfall that is over.
    pub fn clear_shortfall(&mut self) {
        if let Some(at) = self.shortfall_at.take() {
            self.samples.retain(|sample| sample.at != at);
        }
    }

    /// Returns the newest sample and counts the look-up.
    pub fn latest_sample(&self) -> Option<&UtilizationSample> {
        self.reads.set(self.reads.get() + 1);
        self.samples.back()
    }

    /// Returns the time of the newest sample.
    pub fn sampled_at(&self) -> Option<Micros> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Returns whether the newest sample is within the window and above a threshold.
    pub fn is_above(&self, threshold: f64, now: Micros, window: Micros) -> bool {
        let latest = self.samples.back();
        latest.is_some_and(|sample| now - sample.at <= window && sample.utilization > threshold)
    }

    /// Pauses steps up for a base time, unless they are paused already.
    ///
    /// The time doubles with each pause that begins soon after the one before, up to `max_doublings - 1`
    /// times.
    pub fn pause_upgrades(&mut self, now: Micros, base: Micros, max_doublings: u32) {
        if self.upgrades_are_paused(now) {
            return;
        }
        let is_soon = now <= self.upgrades_paused_until + Micros(base.0 << self.consecutive_pauses);
        self.consecutive_pauses = if is_soon { (self.consecutive_pauses + 1).min(max_doublings) } else { 1 };
        self.upgrades_paused_until = now + Micros(base.0 << (self.consecutive_pauses - 1));
    }

    /// Returns whether steps up are paused.
    pub fn upgrades_are_paused(&self, now: Micros) -> bool {
        now < self.upgrades_paused_until
    }
}

impl UtilizationSample {
    /// Returns the weight of the sample, which falls from 1 when it is new to 0 at the end of the window.
    pub fn freshness(&self, now: Micros, window: Micros) -> f64 {
        (1.0 - (now - self.at).secs() / window.secs()).max(0.0)
    }
}

/// A resource whose overload makes sessions step down.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Resource {
    /// The link of a server in a rack.
    Link { server: ServerId, rack: u32 },
    /// The uplink of a rack.
    Uplink { rack: u32 },
}

impl Resource {
    /// Returns the rack whose sessions use the resource.
    pub fn rack(self) -> u32 {
        match self {
            Resource::Link { rack, .. } | Resource::Uplink { rack } => rack,
        }
    }

    /// Returns whether sessions at a server of the rack use the resource.
    pub fn is_used_by(self, at: ServerId) -> bool {
        match self {
            Resource::Link { server, .. } => server == at,
            Resource::Uplink { .. } => true,
        }
    }

    /// Returns the gauge of the resource, or `None` if the server or rack is not known.
    pub fn gauge_mut<'a>(
        self,
        servers: &'a mut BTreeMap<ServerId, Server>,
        racks: &'a mut BTreeMap<u32, ResourceGauge>,
    ) -> Option<&'a mut ResourceGauge> {
        match self {
            Resource::Link { server, .. } => servers.get_mut(&server).map(|server| &mut server.link),
            Resource::Uplink { rack } => racks.get_mut(&rack),
        }
    }
}

//! Utilization by other fronts: its mean over like resources.

use super::{ResourceGauge, UtilizationSample};
use crate::api::{Micros, Settings};

/// Smallest capacity that is divided by.
const MIN_CAPACITY: f64 = 1e-9;

/// Utilization by other fronts that is assumed of resources without a report.
#[derive(Debug, Default)]
pub(crate) struct AssumedUtilization {
    pub link: f64,
    pub streams: f64,
    pub uplink: f64,
}

/// Sums over like resources, for a mean of what other fronts ask of them.
#[derive(Debug)]
pub(crate) struct UtilizationTotals {
    own_demand: f64,
    capacity: f64,
    count: f64,
    reported: f64,
    reported_weight: f64,
}

impl UtilizationTotals {
    /// No resource yet, and a prior utilization that weighs as much as so many reports.
    pub fn with_prior(prior: f64, weight: f64) -> Self {
        let (reported, reported_weight) = (weight * prior, weight);
        UtilizationTotals { own_demand: 0.0, capacity: 0.0, count: 0.0, reported, reported_weight }
    }

    /// Adds a resource and a sample of it, cut to `cap` and weighing less as it ages.
    pub fn add(
        &mut self,
        gauge: &ResourceGauge,
        sample: Option<&UtilizationSample>,
        now: Micros,
        window: Micros,
        cap: f64,
    ) {
        self.own_demand += gauge.own_demand;
        self.capacity += gauge.capacity;
        self.count += 1.0;
        if let Some(sample) = sample {
            let weight = sample.freshness(now, window);
            let own = sample.own_demand / gauge.capacity.max(MIN_CAPACITY);
            self.reported += weight * (sample.utilization.min(cap) - own).max(0.0);
            self.reported_weight += weight;
        }
    }

    /// The mean of what is reported and what the totals of own sessions show, a part of one in the number of fronts.
    pub fn mean(&self, settings: &Settings) -> f64 {
        let by_like_fronts =
            settings.other_fronts() * self.own_demand / f64::max(self.capacity, MIN_CAPACITY);
        let weight = self.count / f64::from(settings.front_count.max(1));
        (self.reported + by_like_fronts * weight) / (self.reported_weight + weight)
    }
}

//! Mean utilization of similar resources by other fronts.

use super::{ResourceGauge, UtilizationSample};
use crate::api::{Micros, Settings};

/// Smallest capacity that is divided by, in the unit of the resource.
const MIN_CAPACITY: f64 = 1e-9;

/// Utilization by other fronts that is assumed of resources without a report.
#[derive(Debug, Default)]
pub(crate) struct AssumedUtilization {
    pub link: f64,
    pub streams: f64,
    pub uplink: f64,
}

/// Sums over similar resources, from which the mean utilization by other fronts is calculated.
#[derive(Debug)]
pub(crate) struct UtilizationTotals {
    own_demand: f64,
    capacity: f64,
    /// Number of resources.
    count: f64,
    /// Weighted sum of the reported utilization by other fronts.
    reported: f64,
    /// Sum of the weights of the reports.
    reported_weight: f64,
}

impl UtilizationTotals {
    /// Creates totals over no resource, with a prior utilization that weighs as much as `weight` reports.
    pub fn with_prior(prior: f64, weight: f64) -> Self {
        UtilizationTotals {
            own_demand: 0.0,
            capacity: 0.0,
            count: 0.0,
            reported: weight * prior,
            reported_weight: weight,
        }
    }

    /// Adds a resource and a sample of it. The sample is limited to `max_utilization` and weighs less as it
    /// ages.
    pub fn add(
        &mut self,
        gauge: &ResourceGauge,
        sample: Option<&UtilizationSample>,
        now: Micros,
        window: Micros,
        max_utilization: f64,
    ) {
        self.own_demand += gauge.own_demand;
        self.capacity += gauge.capacity;
        self.count += 1.0;
        if let Some(sample) = sample {
            let weight = sample.freshness(now, window);
            let own_utilization = sample.own_demand / gauge.capacity.max(MIN_CAPACITY);
            let by_others = (sample.utilization.min(max_utilization) - own_utilization).max(0.0);
            self.reported += weight * by_others;
            self.reported_weight += weight;
        }
    }

    /// Returns the mean of the reported utilization and of an estimate from own sessions.
    ///
    /// The estimate assumes that each other front causes as much demand as this one. It weighs as much as the
    /// resources divided by the number of fronts.
    pub fn mean(&self, settings: &Settings) -> f64 {
        let estimated = settings.other_fronts() * self.own_demand / f64::max(self.capacity, MIN_CAPACITY);
        let weight = self.count / f64::from(settings.front_count.max(1));
        (self.reported + estimated * weight) / (self.reported_weight + weight)
    }
}

//! Load estimates: decides what demand of all fronts together is assumed on links, streams and uplinks.

use super::{Policy, RECENT_SAMPLE_WINDOW, SAMPLE_WINDOW};
use crate::api::Micros;
use crate::state::{AssumedUtilization, Load, ResourceGauge, Server, UtilizationSample, UtilizationTotals};

/// Utilization that is assumed of a resource if no figure at all is known.
const PRIOR_UTILIZATION: f64 = 0.5;

/// Weight of the prior in a mean, in load reports.
const PRIOR_WEIGHT: f64 = 2.0;

/// Smallest total uplink capacity that is divided by, in kB per second.
const MIN_UPLINKS_KB: f64 = 1e-9;

impl ResourceGauge {
    /// Returns the estimated load of the resource: own demand plus the demand of other fronts.
    ///
    /// The others' demand is the highest among the newest sample and all samples within
    /// [`RECENT_SAMPLE_WINDOW`]. With the age of a sample it fades into `assumed`, the utilization assumed
    /// without any. Each of `similar_fronts` other fronts is assumed to have added as much demand since the
    /// sample as this front did, so that not all of them take the same headroom.
    fn load(&self, now: Micros, capacity: f64, assumed: f64, similar_fronts: f64) -> Load {
        if capacity.is_infinite() {
            return Load { capacity, demand: self.own_demand };
        }
        let assumed_demand = assumed * capacity;
        let others_demand = |sample: &UtilizationSample| {
            let weight = sample.freshness(now, SAMPLE_WINDOW);
            let growth = similar_fronts * (self.own_demand - sample.own_demand).max(0.0);
            let reported = (sample.utilization * capacity - sample.own_demand).max(0.0) + growth;
            reported * weight + assumed_demand * (1.0 - weight)
        };
        let newest = self.latest_sample().map_or(assumed_demand, others_demand);
        let recent = self.samples.iter().filter(|sample| now - sample.at <= RECENT_SAMPLE_WINDOW);
        let highest = recent.map(others_demand).fold(newest, f64::max);
        Load { capacity, demand: self.own_demand + highest }
    }
}

impl Policy {
    /// Returns the load of a server's link, whose capacity is reduced while the server warms up.
    pub(crate) fn link_load(&self, server: &Server) -> Load {
        let capacity = server.link.capacity * self.warm_up_fraction(server);
        server.link.load(self.now, capacity, self.assumed.link, 0.0)
    }

    /// Returns the load of a server's streams.
    pub(super) fn streams_load(&self, server: &Server) -> Load {
        server.streams.load(self.now, server.streams.capacity, self.assumed.streams, 0.0)
    }

    /// Returns the load of a rack's uplink, which is unlimited if the rack is not known.
    pub(crate) fn uplink_load(&self, rack: u32) -> Load {
        let Some(uplink) = self.racks.get(&rack) else {
            return Load { capacity: f64::INFINITY, demand: 0.0 };
        };
        let similar_fronts = self.settings.other_fronts().sqrt();
        uplink.load(self.now, uplink.capacity, self.assumed.uplink, similar_fronts)
    }

    /// Updates the utilization by other fronts that is assumed of resources without a report.
    ///
    /// It moves slowly and is updated once in a tick. The prior of uplinks is the demand that is assumed on
    /// all links over the capacity of all uplinks.
    pub(super) fn update_assumed_utilization(&mut self) {
        let links = self.listed_servers().map(|server| &server.link);
        let link = self.mean_utilization(links, PRIOR_UTILIZATION);
        let streams = self.listed_servers().map(|server| &server.streams);
        let streams = self.mean_utilization(streams, PRIOR_UTILIZATION);
        let links_kb = self.listed_servers().fold(0.0, |sum, server| sum + server.link.capacity);
        let uplinks_kb = self.racks.values().map(|uplink| uplink.capacity).sum::<f64>().max(MIN_UPLINKS_KB);
        let is_limited = links_kb.is_finite() && uplinks_kb.is_finite();
        let uplink_prior =
            if is_limited { (link * links_kb / uplinks_kb).min(1.0) } else { PRIOR_UTILIZATION };
        let uplink = self.mean_utilization(self.racks.values(), uplink_prior);
        self.assumed = AssumedUtilization { link, streams, uplink };
    }

    /// Returns the mean utilization of similar resources by other fronts.
    ///
    /// The totals of own sessions count as a sample of one in the number of fronts, and each report as a
    /// sample of one resource. A report weighs less as it ages, and the prior weighs as much as
    /// [`PRIOR_WEIGHT`] reports.
    fn mean_utilization<'a>(&self, gauges: impl Iterator<Item = &'a ResourceGauge>, prior: f64) -> f64 {
        // Servers reject set-ups above the admission limit: a higher figure is short-lived or wrong.
        let max_utilization = self.settings.admission_limit.unwrap_or(1.0);
        let mut totals = UtilizationTotals::with_prior(prior, PRIOR_WEIGHT);
        for gauge in gauges {
            // Servers without a shortfall report nothing, so that a shortfall says nothing about other
            // servers.
            let sample = gauge.latest_sample().filter(|sample| gauge.shortfall_at != Some(sample.at));
            totals.add(gauge, sample, self.now, SAMPLE_WINDOW, max_utilization);
        }
        totals.mean(&self.settings)
    }
}

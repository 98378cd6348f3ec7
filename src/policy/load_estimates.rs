//! Load estimates: decides how much all fronts together are thought to ask of links, streams and uplinks.

use super::{FRESH, Policy, SAMPLE_WINDOW};
use crate::api::Micros;
use crate::state::{AssumedUtilization, Load, ResourceGauge, Server, UtilizationSample, UtilizationTotals};

const PRIOR: f64 = 0.5; // utilization assumed of a resource when no figure is known at all
const PRIOR_WEIGHT: f64 = 2.0; // weight of the prior, in reports; 1 does no better

impl ResourceGauge {
    /// Own demand plus that of others: as the highest fresh report or the newest one says, fading with its
    /// age into the utilization assumed without any. Each of `similar_fronts` others is assumed to have grown
    /// since as own sessions did, so that not all of them take the same room.
    fn load(&self, now: Micros, capacity: f64, assumed: f64, similar_fronts: f64) -> Load {
        if capacity.is_infinite() {
            return Load { capacity, demand: self.own_demand };
        }
        let assumed = assumed * capacity;
        let others = |sample: &UtilizationSample| {
            let weight = sample.freshness(now, SAMPLE_WINDOW);
            let growth = similar_fronts * (self.own_demand - sample.own_demand).max(0.0);
            let reported = (sample.utilization * capacity - sample.own_demand).max(0.0) + growth;
            reported * weight + assumed * (1.0 - weight)
        };
        let newest = self.latest_sample().map_or(assumed, others);
        let fresh = self.samples.iter().filter(|sample| now - sample.at <= FRESH).map(others);
        Load { capacity, demand: self.own_demand + fresh.fold(newest, f64::max) }
    }
}

impl Policy {
    /// Load of a link; the capacity of a cold server's is smaller.
    pub(crate) fn link_load(&self, server: &Server) -> Load {
        let capacity = server.link.capacity * self.warm_up_fraction(server);
        server.link.load(self.now, capacity, self.assumed.link, 0.0)
    }

    pub(super) fn streams_load(&self, server: &Server) -> Load {
        server.streams.load(self.now, server.streams.capacity, self.assumed.streams, 0.0)
    }

    /// Load of a rack's uplink.
    pub(crate) fn uplink_load(&self, rack: u32) -> Load {
        let Some(uplink) = self.racks.get(&rack) else {
            return Load { capacity: f64::INFINITY, demand: 0.0 };
        };
        let similar_fronts = self.settings.other_fronts().sqrt();
        uplink.load(self.now, uplink.capacity, self.assumed.uplink, similar_fronts)
    }

    /// Works out what others are assumed to ask of resources without a report, for their capacity; once in a
    /// tick, as it moves slowly. For uplinks the prior is what the links are thought to carry.
    pub(super) fn assume_utilization(&mut self) {
        let link = self.mean_utilization(self.listed().map(|server| &server.link), PRIOR);
        let streams = self.mean_utilization(self.listed().map(|server| &server.streams), PRIOR);
        let links = self.listed().fold(0.0, |sum, server| sum + server.link.capacity);
        let uplinks = self.racks.values().map(|uplink| uplink.capacity).sum::<f64>().max(1e-9);
        let is_limited = links.is_finite() && uplinks.is_finite();
        let prior = if is_limited { (link * links / uplinks).min(1.0) } else { PRIOR };
        let uplink = self.mean_utilization(self.racks.values(), prior);
        self.assumed = AssumedUtilization { link, streams, uplink };
    }

    /// Mean utilization by others. The totals of own sessions show a part of one in the number of fronts;
    /// each report shows what others have of one resource. Each weighs as much as it shows, a report less as
    /// it ages, and the prior as much as two reports.
    fn mean_utilization<'a>(&self, gauges: impl Iterator<Item = &'a ResourceGauge>, prior: f64) -> f64 {
        // Past the admission limit nothing more is taken, so that a higher figure is brief, or absurd.
        let cap = self.settings.admission_limit.unwrap_or(1.0);
        let mut totals = UtilizationTotals::with_prior(prior, PRIOR_WEIGHT);
        for gauge in gauges {
            // Who falls short reports it, who does not reports nothing: that tells of itself alone.
            let sample = gauge.latest_sample().filter(|sample| gauge.shortfall_at != Some(sample.at));
            totals.add(gauge, sample, self.now, SAMPLE_WINDOW, cap);
        }
        totals.mean(&self.settings)
    }
}

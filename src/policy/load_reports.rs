//! Load reports and playback feedback: decides what each tells of links, streams and uplinks.

use super::{FRESH, Policy, SAMPLE_WINDOW};
use crate::api::{Feedback, LoadReport, ServerId, SessionId};
use crate::state::{Resource, ResourceGauge, Server, Shortfall};

const FULL_DELIVERY: f64 = 0.98; // fraction delivered; under it a server falls short: there it costs
const SAME_SHORTFALL: f64 = 0.03; // fractions that differ by less are one uplink's, but for smoothing
const MIN_DELIVERED: f64 = 0.2; // a lower fraction counts as this: utilization is believed up to 5

impl Policy {
    pub(super) fn record_report(&mut self, id: ServerId, report: LoadReport) {
        self.uplinks_reported |= self.record_utilization(id, SAMPLE_WINDOW, report);
    }

    pub(super) fn feedback(&mut self, id: SessionId, server: ServerId, feedback: Feedback) {
        let mut report = LoadReport::default();
        match feedback {
            Feedback::Rung(rung) => return self.rung_in_force(id, rung),
            Feedback::DeliveredFraction(fraction) => return self.delivered(server, fraction),
            Feedback::LinkUtilization(utilization) => report.link_utilization = Some(utilization),
            Feedback::UplinkUtilization(utilization) => report.uplink_utilization = Some(utilization),
        }
        self.record_report(server, report);
    }

    /// Short delivery counts as a report that the resource is asked for 1 / fraction of what it gives: the
    /// link if it is known to be full; else the uplink, if reports show it full or, where none tell of
    /// uplinks, if another server of the rack falls short alike. In all other cases it is the link.
    fn delivered(&mut self, id: ServerId, delivered_fraction: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let is_short = delivered_fraction < FULL_DELIVERY;
        server.shortfall = is_short.then_some(Shortfall { at: self.now, delivered_fraction });
        let rack = server.rack;
        if !is_short {
            // It is over: the figure given while it lasted means nothing any more.
            server.link.clear_shortfall();
            return self.racks.get_mut(&rack).into_iter().for_each(ResourceGauge::clear_shortfall);
        }
        let is_full = |gauge: &ResourceGauge| gauge.is_above(FULL_DELIVERY, self.now, SAMPLE_WINDOW);
        let link_is_full = is_full(&server.link);
        let falls_short_alike = |other: &Server| {
            let is_other = other.endpoint.server != id && other.rack == rack;
            is_other && other.falls_short_like(delivered_fraction, SAME_SHORTFALL, self.now, FRESH)
        };
        let uplink_is_full = if self.uplinks_reported {
            self.racks.get(&rack).is_some_and(is_full)
        } else {
            self.servers.values().any(falls_short_alike)
        };
        let is_at_uplink = !link_is_full && uplink_is_full;
        let resource =
            if is_at_uplink { Resource::Uplink { rack } } else { Resource::Link { server: id, rack } };
        if let Some(gauge) = resource.gauge_mut(&mut self.servers, &mut self.racks) {
            gauge.record(self.now, SAMPLE_WINDOW, 1.0 / delivered_fraction.max(MIN_DELIVERED));
            gauge.shortfall_at = Some(self.now);
        }
    }
}

//! Load reports and playback feedback: decides what each says about links, streams and uplinks.

use super::{Policy, RECENT_SAMPLE_WINDOW, SAMPLE_WINDOW};
use crate::api::{Feedback, LoadReport, ServerId, SessionId};
use crate::state::{Resource, ResourceGauge, Server, Shortfall};

/// Fraction of the rate below which a server's delivery counts as a shortfall, and utilization above which a
/// resource counts as full. Viewers notice delivery below it.
const FULL_DELIVERY: f64 = 0.98;

/// Delivered fractions that differ by less than this are put down to the same uplink. Smoothing of the
/// figures keeps them from being equal.
const SIMILAR_SHORTFALL_TOLERANCE: f64 = 0.03;

/// Lowest delivered fraction that is distinguished. Its reciprocal is the highest utilization that is
/// recorded.
const MIN_DELIVERED_FRACTION: f64 = 0.2;

impl Policy {
    /// Records a server's load report.
    pub(super) fn record_report(&mut self, id: ServerId, report: LoadReport) {
        self.uplinks_reported |= self.record_utilization(id, SAMPLE_WINDOW, report);
    }

    /// Handles feedback on a session that plays.
    pub(super) fn handle_feedback(&mut self, id: SessionId, server: ServerId, feedback: Feedback) {
        let mut report = LoadReport::default();
        match feedback {
            Feedback::Rung(rung) => return self.apply_reported_rung(id, rung),
            Feedback::DeliveredFraction(fraction) => return self.record_delivery(server, fraction),
            Feedback::LinkUtilization(utilization) => report.link_utilization = Some(utilization),
            Feedback::UplinkUtilization(utilization) => report.uplink_utilization = Some(utilization),
        }
        self.record_report(server, report);
    }

    /// Records the fraction of the rate that a server delivers.
    ///
    /// A shortfall counts as a report that the demand on a resource is its capacity over the delivered
    /// fraction. The end of a shortfall takes back that report.
    fn record_delivery(&mut self, id: ServerId, delivered_fraction: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let is_short = delivered_fraction < FULL_DELIVERY;
        server.shortfall = is_short.then_some(Shortfall { at: self.now, delivered_fraction });
        let rack = server.rack;
        if !is_short {
            server.link.clear_shortfall();
            if let Some(uplink) = self.racks.get_mut(&rack) {
                uplink.clear_shortfall();
            }
            return;
        }
        let link_is_full = server.link.is_above(FULL_DELIVERY, self.now, SAMPLE_WINDOW);
        let is_at_uplink = !link_is_full && self.uplink_explains_shortfall(id, rack, delivered_fraction);
        let resource =
            if is_at_uplink { Resource::Uplink { rack } } else { Resource::Link { server: id, rack } };
        if let Some(gauge) = resource.gauge_mut(&mut self.servers, &mut self.racks) {
            let utilization = 1.0 / delivered_fraction.max(MIN_DELIVERED_FRACTION);
            gauge.record(self.now, SAMPLE_WINDOW, utilization);
            gauge.shortfall_at = Some(self.now);
        }
    }

    /// Returns whether the uplink of a rack can explain the shortfall of one of its servers.
    ///
    /// Where reports cover uplinks, the report of a full uplink decides. Elsewhere another server of the rack
    /// must have a similar shortfall.
    fn uplink_explains_shortfall(&self, id: ServerId, rack: u32, delivered_fraction: f64) -> bool {
        if self.uplinks_reported {
            let is_full = |uplink: &ResourceGauge| uplink.is_above(FULL_DELIVERY, self.now, SAMPLE_WINDOW);
            return self.racks.get(&rack).is_some_and(is_full);
        }
        let has_similar_shortfall = |other: &Server| {
            let is_other = other.endpoint.server != id && other.rack == rack;
            let tolerance = SIMILAR_SHORTFALL_TOLERANCE;
            is_other
                && other.has_similar_shortfall(delivered_fraction, tolerance, self.now, RECENT_SAMPLE_WINDOW)
        };
        self.servers.values().any(has_similar_shortfall)
    }
}

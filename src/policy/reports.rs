//! What is heard of load: reports, notes of use, and notes of short delivery.

use super::*;

const SHORT: f64 = 0.98; // delivered under this share, a server is short
const SAME: f64 = 0.03; // shares delivered that differ by less are taken for the doing of one uplink

impl Policy {
    pub(super) fn report(&mut self, id: ServerId, report: LoadReport) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.link.hear(self.now, REPORT_WINDOW, report.link_utilization);
        s.streams.hear(self.now, REPORT_WINDOW, report.streams.map(|n| n / s.streams.size.max(1.0)));
        if let Some(g) = self.racks.get_mut(&s.rack) {
            g.hear(self.now, REPORT_WINDOW, report.uplink_utilization);
        }
        self.uplinks_told |= report.uplink_utilization.is_some();
    }

    pub(super) fn noted(&mut self, id: SessionId, server: ServerId, note: Feedback) {
        match note {
            Feedback::Rung(rung) => {
                self.book(id, false);
                self.sessions.entry(id).and_modify(|s| s.rung = rung);
                self.book(id, true);
            }
            Feedback::LinkUtilization(x) => {
                self.report(server, LoadReport { link_utilization: Some(x), ..Default::default() })
            }
            Feedback::UplinkUtilization(x) => {
                self.report(server, LoadReport { uplink_utilization: Some(x), ..Default::default() })
            }
            Feedback::DeliveredFraction(share) => self.delivered(server, share),
        }
    }

    /// A note of short delivery counts as a report that the resource is asked for 1 / share of what it gives:
    /// the link if it is known to be full; else the uplink, if reports show it full or, where none tell of
    /// uplinks, if another server of the rack falls short alike. In all other cases it is the link.
    fn delivered(&mut self, id: ServerId, share: f64) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.short = (share < SHORT).then_some((self.now, share));
        if share >= SHORT {
            // It is over: what was said while it lasted says nothing any more.
            let at_rack = self.racks.get_mut(&s.rack);
            return [Some(&mut s.link), at_rack].into_iter().flatten().for_each(Gauge::no_longer_short);
        }
        let full = |g: &Gauge| g.last(self.now, REPORT_WINDOW).is_some_and(|x| x > SHORT);
        let (rack, link_full) = (s.rack, full(&s.link));
        let alike = |s: &Server| {
            let same = s.short.is_some_and(|(t, x)| self.now - t < FRESH && (x - share).abs() < SAME);
            s.entry.server != id && s.rack == rack && same
        };
        let up_full = self.racks.get(&rack).is_some_and(full);
        let at_uplink =
            !link_full && if self.uplinks_told { up_full } else { self.servers.values().any(alike) };
        let (uplink, link) = (self.racks.get_mut(&rack), self.servers.get_mut(&id).map(|s| &mut s.link));
        if let Some(g) = if at_uplink { uplink } else { link } {
            g.hear(self.now, REPORT_WINDOW, 1.0 / share.max(0.2));
            g.short_at = Some(self.now);
        }
    }
}

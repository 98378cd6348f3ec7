//! Links and rack uplinks: shared in proportion when asked for more than they give.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Rack {
    uplink_kb: f64,
    /// Part of the uplink that is left by others.
    left: f64,
    /// What each box puts on the uplink, kB a second.
    asked: BTreeMap<u32, f64>,
}

/// The racks of a fleet.
#[derive(Debug, Default)]
pub struct Racks(Mutex<BTreeMap<u16, Rack>>);

/// How a box's link fares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Part of their rates that its sessions get.
    pub delivered: f64,
    /// What is asked of its link over what it gives.
    pub link: f64,
    /// The same of the rack's uplink.
    pub uplink: f64,
}

impl Racks {
    /// Racks with these uplinks, kB a second; an infinite one never binds.
    pub fn new(uplinks_kb: impl IntoIterator<Item = f64>) -> Self {
        let rack = |(n, uplink_kb)| (n, Rack { uplink_kb, left: 1.0, asked: BTreeMap::new() });
        Racks(Mutex::new((0..).zip(uplinks_kb).map(rack).collect()))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u16, Rack>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Leaves a part of a rack's uplink.
    pub fn leave(&self, rack: u16, left: f64) {
        self.lock().entry(rack).and_modify(|r| r.left = left);
    }

    /// Enters what a box's sessions ask of a link that gives so much, and tells how they fare.
    pub fn share(&self, rack: u16, server: u32, asked_kb: f64, link_kb: f64) -> Share {
        let mut racks = self.lock();
        let link = asked_kb / link_kb.max(1e-9);
        let through = asked_kb.min(link_kb);
        let Some(rack) = racks.get_mut(&rack) else {
            return Share { delivered: (1.0 / link.max(1e-9)).min(1.0), link, uplink: 0.0 };
        };
        rack.asked.insert(server, through);
        let uplink = rack.asked.values().sum::<f64>() / (rack.uplink_kb * rack.left).max(1e-9);
        let delivered = (1.0 / link.max(1e-9)).min(1.0) * (1.0 / uplink.max(1e-9)).min(1.0);
        Share { delivered, link, uplink }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_get_the_same_part_of_what_is_there() {
        let racks = Racks::new([150.0]);
        let one = racks.share(0, 1, 200.0, 100.0);
        assert_eq!((one.delivered, one.link), (0.5, 2.0));
        let two = racks.share(0, 2, 100.0, 100.0);
        assert!((two.uplink - 200.0 / 150.0).abs() < 1e-9 && (two.delivered - 0.75).abs() < 1e-9);
        racks.leave(0, 0.5);
        assert!((racks.share(0, 2, 100.0, 100.0).delivered - 0.375).abs() < 1e-9);
    }
}

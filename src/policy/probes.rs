//! Probes, where nothing else tells load.

use super::*;

const PROBE_AGE: Micros = Micros(2_000_000); // where only probes tell load, a rack unheard so long is probed

impl Policy {
    /// Where only probes tell load, a server of each rack unheard for a while is probed, the stalest
    /// first, own before others. Each session taken pays for a part of a probe, so that their price
    /// stays the same however many fronts and racks there are. Guards against stepping up blind; it hurts
    /// when few sessions come and the little that is heard grows old.
    pub(super) fn probe(&mut self) {
        if !self.set.capabilities.health_checks || self.set.load_reporting != LoadReporting::InHealthChecks {
            return;
        }
        let stale = |t: Option<Micros>| t.is_none_or(|t| self.now - t > PROBE_AGE);
        let mut order = Vec::new();
        for (&id, s) in &self.servers {
            let Some(rack) = self.racks.get(&s.rack).filter(|g| stale(g.heard_at())) else { continue };
            if s.entry.state == EndpointState::Ready && s.strikes == 0 && stale(s.probed_at) {
                let rank = (rack.own <= 0.0, rack.heard_at(), s.link.own <= 0.0, s.link.heard_at());
                order.push((rank, id, s.rack));
            }
        }
        order.sort();
        let mut asked = BTreeSet::new();
        for (_, id, rack) in order {
            if self.probes >= 1.0 && asked.insert(rack) {
                self.probes -= 1.0;
                self.servers.entry(id).and_modify(|s| s.probed_at = Some(self.now));
                self.out.push(Action::HealthCheck(id));
            }
        }
    }
}

//! The list of servers: what it tells, what is forgotten of it, and the sizes that it announces.

use super::*;

impl Policy {
    pub(super) fn list(&mut self, form: UpdateKind, entries: Vec<Endpoint>) {
        // A whole list that names nobody is a directory that has lost its state, not a service without
        // servers. It counts as failed: servers that are gone fail. A shorter list is believed.
        let blank = form != UpdateKind::Delta && entries.is_empty();
        if form == UpdateKind::Failed || (blank && self.servers.values().any(Server::ready)) {
            self.subscribe = self.set.discovery == Discovery::Subscribe;
            return;
        }
        if form != UpdateKind::Delta {
            self.servers.values_mut().for_each(|s| s.entry.state = EndpointState::Removed);
        }
        for entry in entries {
            // A front that starts anew can't tell which server restarted meanwhile: each counts as perhaps
            // cold, until sessions handed over show that this is the start of service.
            let known = self.servers.entry(entry.server).or_insert_with(|| {
                let doubt = if form == UpdateKind::Cached { self.set.slow_start.warm_up } else { Micros(0) };
                Server { doubt_until: self.now + doubt, ..Server::default() }
            });
            if entry.started_at > known.entry.started_at {
                // A new start ends old distrust; the cold time is known now.
                (known.strikes, known.shut_until, known.witnessed) = (0, Micros(0), false);
                known.link.heard.clear();
                known.cold_since = Some(entry.started_at);
            }
            known.rack = u32::from(entry.cell.0) % self.set.racks.max(1);
            known.entry = entry;
        }
        self.forget();
        self.announced();
        self.books.anew(&self.set, &mut self.servers, &mut self.racks, &self.sessions);
        self.stale = true;
    }

    /// Lets go of servers off the list, with nothing of this front's there, for longer than any rest or span.
    /// Guards against memory that grows by each server replaced; a list that flaps keeps what is known.
    fn forget(&mut self) {
        let (now, rest) = (self.now, Micros(SHUT.0 << MAX_STRIKES).max(self.set.slow_start.overload_window));
        self.servers.retain(|_, s| {
            let gone = s.entry.state == EndpointState::Removed;
            s.gone_at = gone.then(|| s.gone_at.unwrap_or(now));
            s.out > 0 || s.streams.own > 0.0 || s.gone_at.is_none_or(|t| now - t <= rest)
        });
    }

    /// Announced sizes. Where the list tells none, links are shared out by the kinds' streams. The settings
    /// tell the mean uplink; each is thought to follow its rack's links, as first listed.
    fn announced(&mut self) {
        let set = &self.set;
        let count = self.listed().count().max(1) as f64;
        let mean_places = self.listed().map(|s| set.places(s.entry.server_type)).sum::<f64>() / count;
        let unit = set.link_kb_per_weight.or(set.total_link_kb.map(|all| all / count));
        let mut links: BTreeMap<u32, f64> = BTreeMap::new();
        for s in self.servers.values_mut() {
            s.streams.size = set.places(s.entry.server_type);
            let weight = match set.weight_meaning {
                WeightMeaning::Capacity if s.entry.weight > 0.0 => s.entry.weight,
                _ if mean_places > 0.0 => s.streams.size / mean_places,
                _ => 1.0,
            };
            s.link.size = unit.map_or(f64::INFINITY, |u| u * weight);
            *links.entry(s.rack).or_default() += s.link.size;
        }
        let mean = links.values().sum::<f64>() / links.len().max(1) as f64;
        for (rack, sum) in links {
            let part = if sum > 0.0 && sum.is_finite() { sum / mean } else { 1.0 };
            let size = set.mean_uplink_kb.map_or(f64::INFINITY, |u| u * part);
            self.racks.entry(rack).or_insert_with(|| Gauge { size, ..Gauge::default() });
        }
    }

    pub(super) fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.listed())
    }
}

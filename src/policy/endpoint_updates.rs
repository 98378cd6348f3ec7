//! Updates of the endpoint list: decides which are believed, what is forgotten, and capacities.

use std::collections::BTreeMap;

use super::{EJECTION_TIME, MAX_EJECTION_LEVEL, Policy};
use crate::api::{Discovery, Endpoint, EndpointState, Micros, UpdateKind, WeightMeaning};
use crate::state::{ResourceGauge, Server};

impl Policy {
    pub(super) fn update_endpoints(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        // A whole list that names nobody is a directory that has lost its state, not a service without
        // servers. It counts as failed: servers that are gone fail. A shorter list is believed.
        let is_blank = kind != UpdateKind::Delta && endpoints.is_empty();
        if kind == UpdateKind::Failed || (is_blank && self.servers.values().any(Server::is_ready)) {
            self.must_subscribe = self.settings.discovery == Discovery::Subscribe;
            return;
        }
        if kind != UpdateKind::Delta {
            self.servers.values_mut().for_each(|server| server.endpoint.state = EndpointState::Removed);
        }
        // A front that starts anew can't tell which server restarted meanwhile: each counts as perhaps cold,
        // until adopted sessions show that this is the start of service.
        let suspect = if kind == UpdateKind::Cached { self.settings.slow_start.warm_up } else { Micros(0) };
        let suspect_until = self.now + suspect;
        for endpoint in endpoints {
            let known = self.servers.entry(endpoint.server);
            let server = known.or_insert_with(|| Server { suspect_until, ..Server::default() });
            server.update(endpoint, self.settings.racks);
        }
        self.forget_removed();
        self.apply_announced_capacities();
        self.accounting.recompute(&self.settings, &mut self.servers, &mut self.racks, &self.sessions);
        self.assumed_is_stale = true;
    }

    /// Forgets servers off the list, with nothing of this front's there, for longer than any ejection or
    /// window. Guards against memory that grows by each server replaced; a list that flaps keeps what is
    /// known.
    fn forget_removed(&mut self) {
        let longest_ejection = Micros(EJECTION_TIME.0 << MAX_EJECTION_LEVEL);
        let keep_for = longest_ejection.max(self.settings.slow_start.overload_window);
        self.servers.retain(|_, server| !server.is_gone_for(keep_for, self.now));
    }

    /// Announced capacities. Where the list tells none, links are shared out by the types' streams. The
    /// settings tell the mean uplink; each is thought to follow its rack's links, as first listed.
    fn apply_announced_capacities(&mut self) {
        let settings = &self.settings;
        let count = self.listed().count().max(1) as f64;
        let streams = |server: &Server| settings.max_streams(server.endpoint.server_type);
        let mean_streams = self.listed().map(streams).sum::<f64>() / count;
        let unit = settings.link_kb_per_weight.or(settings.total_link_kb.map(|all| all / count));
        let mut links_by_rack: BTreeMap<u32, f64> = BTreeMap::new();
        for server in self.servers.values_mut() {
            server.streams.capacity = settings.max_streams(server.endpoint.server_type);
            let weight = match settings.weight_meaning {
                WeightMeaning::Capacity if server.endpoint.weight > 0.0 => server.endpoint.weight,
                _ if mean_streams > 0.0 => server.streams.capacity / mean_streams,
                _ => 1.0,
            };
            server.link.capacity = unit.map_or(f64::INFINITY, |unit| unit * weight);
            *links_by_rack.entry(server.rack).or_default() += server.link.capacity;
        }
        let mean_links = links_by_rack.values().sum::<f64>() / links_by_rack.len().max(1) as f64;
        for (rack, links) in links_by_rack {
            let relative = if links > 0.0 && links.is_finite() { links / mean_links } else { 1.0 };
            let capacity = settings.mean_uplink_kb.map_or(f64::INFINITY, |mean| mean * relative);
            self.racks.entry(rack).or_insert_with(|| ResourceGauge { capacity, ..ResourceGauge::default() });
        }
    }
}

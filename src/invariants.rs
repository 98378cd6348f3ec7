//! Queries of a policy's state for tests and logs: whether its totals are consistent, how much it has worked,
//! and what it knows. Nothing is decided here.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use crate::api::{Micros, Rung, ServerId};
use crate::policy::Policy;
use crate::state::{Accounting, ResourceGauge, Server};

impl Policy {
    /// Returns the number of steps of work so far: look-ups of a resource's load, and sessions added to the
    /// totals or removed.
    pub fn work(&self) -> u64 {
        let servers = self.servers.values().map(|s| s.link.reads.get() + s.streams.reads.get());
        let racks = self.racks.values().map(|uplink| uplink.reads.get());
        self.accounting.updates + servers.chain(racks).sum::<u64>()
    }

    /// Returns the demand of own sessions on each server's link and streams, in order of servers, then on
    /// each uplink.
    pub fn own_demand(&self) -> Vec<f64> {
        let servers = self.servers.values().flat_map(|s| [s.link.own_demand, s.streams.own_demand]);
        servers.chain(self.racks.values().map(|uplink| uplink.own_demand)).collect()
    }

    /// Recounts the demand of own sessions and returns it as [`Policy::own_demand`] does. The result must
    /// equal the totals that are kept by events.
    pub fn recompute_own_demand(&mut self) -> Vec<f64> {
        let (servers, racks) = (&mut self.servers, &mut self.racks);
        Accounting::default().recompute(&self.settings, servers, racks, &self.sessions);
        self.own_demand()
    }

    /// Returns the number of servers that the policy knows, listed or not.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether a server is on the endpoint list as last applied.
    pub fn lists(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(Server::is_listed)
    }

    /// Describes what the policy assumes of servers, uplinks and its sessions, for comparison with what
    /// crossed the wire.
    ///
    /// Returns at most `max_lines` lines, one for each server or uplink and one for all sessions. A resource
    /// is shown with its own demand and capacity in kB per second, and its newest utilization with the age of
    /// the sample.
    pub fn describe(&self, now: Micros, max_lines: usize) -> Vec<String> {
        let is_in_use = |server: &Server| server.is_listed() || server.link.own_demand > 0.0;
        let servers = self.servers.iter().filter(|(_, server)| is_in_use(server));
        let servers = servers.map(|(&id, server)| self.describe_server(now, id, server));
        let uplinks =
            self.racks.iter().map(|(id, uplink)| format!("uplink {id} {}", describe_gauge(now, uplink)));
        servers.chain(uplinks).chain([self.describe_sessions()]).take(max_lines).collect()
    }

    fn describe_server(&self, now: Micros, id: ServerId, server: &Server) -> String {
        format!(
            "server {} {:?} cell {} link {} streams {:.0}/{:.0} in flight {} ejection level {} \
             ejected for {:.1}s started {:.1}s ago recent attempts {}{}",
            id.0,
            server.endpoint.state,
            server.endpoint.cell.0,
            describe_gauge(now, &server.link),
            server.streams.own_demand,
            server.streams.capacity,
            server.attempts_in_flight,
            server.ejection_level,
            (server.ejected_until - now).secs(),
            server.started_at.map_or(-1.0, |at| (now - at).secs()),
            server.recent_attempts.count_within(now, self.settings.slow_start.overload_window),
            if server.may_have_restarted { " may have restarted" } else { "" },
        )
    }

    fn describe_sessions(&self) -> String {
        let mut by_rung: BTreeMap<(Rung, Rung), u32> = BTreeMap::new();
        for session in self.sessions.values().filter(|session| session.is_playing()) {
            *by_rung.entry((session.rung, self.settings.max_rung(&session.request))).or_default() += 1;
        }
        let mut line = String::from("sessions by rung of top:");
        for ((rung, max_rung), count) in by_rung {
            let _ = write!(line, " {}/{}:{count}", rung.0, max_rung.0);
        }
        line
    }
}

fn describe_gauge(now: Micros, gauge: &ResourceGauge) -> String {
    let describe_sample = |utilization: f64, age: Micros| format!("{utilization:.2}@{:.1}s", age.secs());
    let latest = gauge.samples.back();
    let latest =
        latest.map(|sample| describe_sample(sample.utilization, now - sample.at)).unwrap_or_default();
    let paused = if gauge.upgrades_are_paused(now) { " upgrades paused" } else { "" };
    format!("{:.0}/{:.0} {latest}{paused}", gauge.own_demand, gauge.capacity)
}

//! What tests and logs ask of a controller: whether its sums are right, how much it has worked, and what it believes.
//! Nothing is decided here.

use std::fmt::Write as _;

use crate::api::{Micros, ServerId};
use crate::policy::Policy;
use crate::state::{Books, Gauge, Phase};

impl Policy {
    /// Steps of work so far: loads of resources looked up, and sessions entered in the sums or taken out.
    pub fn work(&self) -> u64 {
        let servers = self.servers.values().map(|s| s.link.reads.get() + s.streams.reads.get());
        let racks = self.racks.values().map(|g| g.reads.get());
        self.books.entries + servers.chain(racks).sum::<u64>()
    }

    /// What own sessions ask of each server's link and streams, in order of servers, then of each uplink.
    pub fn sums(&self) -> Vec<f64> {
        let servers = self.servers.values().flat_map(|s| [s.link.own, s.streams.own]);
        servers.chain(self.racks.values().map(|g| g.own)).collect()
    }

    /// How many servers it has in mind, listed or not.
    pub fn known(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server is on the list, as far as the list is believed.
    pub fn lists(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.listed())
    }

    /// What it believes of servers, uplinks and its sessions, a line each, at most so many: to be held against what
    /// crossed the wire. Of a resource: its size and what own sessions ask of it in kB a second, and the use heard last
    /// with its age.
    pub fn beliefs(&self, now: Micros, most: usize) -> Vec<String> {
        let gauge = |g: &Gauge| {
            let heard = g.heard.back().map(|h| format!("{:.2}@{:.1}s", h.1, (now - h.0).secs()));
            let held = if now < g.held_until { " held" } else { "" };
            format!("{:.0}/{:.0} {}{held}", g.own, g.size, heard.unwrap_or_default())
        };
        let server = |(id, s): (&ServerId, &crate::state::Server)| {
            let (state, out, strikes) = (s.entry.state, s.out, s.strikes);
            let rest = (s.shut_until - now).secs();
            let cold = s.cold_since.map_or(-1.0, |t| (now - t).secs());
            let (cell, sent) = (s.entry.cell.0, s.sent.within(now, self.set.slow_start.overload_window));
            let witnessed = if s.witnessed { " witnessed" } else { "" };
            format!(
                "server {} {state:?} cell {cell} link {} streams {:.0}/{:.0} out {out} strikes {strikes} \
                 rests {rest:.1}s started {cold:.1}s ago sent {sent}{witnessed}",
                id.0,
                gauge(&s.link),
                s.streams.own,
                s.streams.size
            )
        };
        let servers = self.servers.iter().filter(|(_, s)| s.listed() || s.link.own > 0.0).map(server);
        let racks = self.racks.iter().map(|(id, g)| format!("uplink {id} {}", gauge(g)));
        let mut rungs: std::collections::BTreeMap<(u8, u8), u32> = Default::default();
        for s in self.sessions.values().filter(|s| s.phase == Phase::Playing) {
            *rungs.entry((s.rung.0, self.set.top(&s.req).0)).or_default() += 1;
        }
        let mut sessions = String::from("sessions by rung of top:");
        for ((rung, top), n) in rungs {
            let _ = write!(sessions, " {rung}/{top}:{n}");
        }
        servers.chain(racks).chain([sessions]).take(most).collect()
    }

    /// The same counted anew; the sums kept up by events must equal it.
    pub fn sums_anew(&mut self) -> Vec<f64> {
        Books::default().anew(&self.set, &mut self.servers, &mut self.racks, &self.sessions);
        self.sums()
    }
}

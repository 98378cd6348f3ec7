//! What tests ask of a controller: whether its sums are right, and how much it has worked. Nothing is decided here.

use crate::choice::Choice;
use crate::state::Books;

impl Choice {
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

    /// The same counted anew; the sums kept up by events must equal it.
    pub fn sums_anew(&mut self) -> Vec<f64> {
        Books::default().anew(&self.set, &mut self.servers, &mut self.racks, &self.sessions);
        self.sums()
    }
}

//! Estimates: what all fronts together ask of links, streams and uplinks.

use super::*;

const PRIOR: f64 = 2.0; // what is thought of unheard resources without a figure weighs as so many reports

impl Gauge {
    /// Own load plus what others have: as the highest fresh report or the newest one says, fading with its
    /// age into `unheard`, what they are thought to have for the size without any. Each of `alike` others is
    /// thought to have grown since as own sessions did, so that not all of them take the same room.
    fn load(&self, now: Micros, size: f64, unheard: f64, alike: f64) -> f64 {
        if size.is_infinite() {
            return self.own;
        }
        let unheard = unheard * size;
        let others = |h: &(Micros, f64, f64)| {
            let weight = fading(now, h.0, REPORT_WINDOW);
            let then = (h.1 * size - h.2).max(0.0) + alike * (self.own - h.2).max(0.0);
            then * weight + unheard * (1.0 - weight)
        };
        let newest = self.newest().map_or(unheard, others);
        let fresh = self.heard.iter().filter(|h| now - h.0 <= FRESH).map(others);
        self.own + fresh.fold(newest, f64::max)
    }
}

impl Policy {
    /// Size and load of a link; a cold server's is smaller.
    pub(super) fn link(&self, s: &Server) -> (f64, f64) {
        let size = s.link.size * self.warmth(s);
        (size, s.link.load(self.now, size, self.unheard[0], 0.0))
    }

    pub(super) fn streams(&self, s: &Server) -> (f64, f64) {
        (s.streams.size, s.streams.load(self.now, s.streams.size, self.unheard[1], 0.0))
    }

    /// Size and load of a rack's uplink.
    pub(super) fn uplink(&self, rack: u32) -> (f64, f64) {
        let Some(g) = self.racks.get(&rack) else { return (f64::INFINITY, 0.0) };
        (g.size, g.load(self.now, g.size, self.unheard[2], self.set.others().sqrt()))
    }

    /// Works out what others have of unheard resources, for their size; once in a tick, as it moves slowly.
    /// The sums of own sessions show a part of one in the number of fronts; each report shows what others
    /// have of one resource. Each weighs as much as it shows, a report less as it ages, and half use (for
    /// uplinks: what the links are thought to carry) as much as two reports.
    pub(super) fn think(&mut self) {
        // Past the guard nothing more is taken, so that a higher figure is brief, or absurd.
        let cap = self.set.admission_limit.unwrap_or(1.0);
        let mean = |like: &mut dyn Iterator<Item = &Gauge>, prior: f64| {
            let (mut own, mut size, mut heard, mut n, mut total) = (0.0, 0.0, PRIOR * prior, PRIOR, 0.0);
            for g in like {
                (own, size, total) = (own + g.own, size + g.size, total + 1.0);
                // Who falls short says so, who does not says nothing: that tells of itself alone.
                if let Some(h) = g.newest().filter(|h| g.short_at != Some(h.0)) {
                    let weight = fading(self.now, h.0, REPORT_WINDOW);
                    heard += weight * (h.1.min(cap) - h.2 / g.size.max(1e-9)).max(0.0);
                    n += weight;
                }
            }
            let alike = self.set.others() * own / f64::max(size, 1e-9);
            let part = total / f64::from(self.set.front_count.max(1));
            ((heard + alike * part) / (n + part), size)
        };
        let (link, links) = mean(&mut self.listed().map(|s| &s.link), 0.5);
        let (streams, _) = mean(&mut self.listed().map(|s| &s.streams), 0.5);
        let all = self.racks.values().map(|g| g.size).sum::<f64>().max(1e-9);
        let thin = links.is_finite() && all.is_finite();
        let (uplink, _) =
            mean(&mut self.racks.values(), if thin { (link * links / all).min(1.0) } else { 0.5 });
        self.unheard = [link, streams, uplink];
    }
}

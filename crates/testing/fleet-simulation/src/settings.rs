//! The platform's settings as a front node is given them.

use serde_json::json;

/// What a fleet is told, beside each front node's own number and zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Front nodes.
    pub fronts: u32,
    /// Cells that titles lie on; a server's cell is its number modulo this.
    pub cells: u16,
    /// Sessions a server runs at most.
    pub streams: u32,
    /// A server is warm after this, in microseconds.
    pub cold_us: u64,
    /// It begins at this part of its capacity.
    pub cold_from: f64,
    /// It falls when sent this multiple of its pace ...
    pub fall_multiple: f64,
    /// ... for so long, in microseconds.
    pub fall_us: u64,
    /// Where load is told: `piggyback` with answers, `pull` with probes alone.
    pub reporting: &'static str,
    /// Classes of sessions: name, and rates over those of the ladder. Viewers ask for each as often.
    pub classes: &'static [(&'static str, f64)],
    /// One in so many connections to media servers comes up late, 0: none ...
    pub late_one_in: u32,
    /// ... by nearly this, in microseconds; it is the time-out of dials as well.
    pub dial_us: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            fronts: 300,
            cells: 20,
            streams: 200,
            cold_us: 8_000_000,
            cold_from: 0.5,
            fall_multiple: 2.5,
            fall_us: 2_000_000,
            reporting: "piggyback",
            classes: &[("stall-video", 1.0)],
            late_one_in: 0,
            dial_us: 250_000,
        }
    }
}

impl Terms {
    /// Set-ups that a cold server stands within `fall_us`, whoever sends them: the rule on cold servers.
    pub fn cold_bound(&self) -> usize {
        self.allowed() as usize
    }

    /// N of the rule: what the settings allow a cold server within `fall_us` at its start.
    pub fn allowed(&self) -> f64 {
        let spans = self.fall_us as f64 / self.cold_us as f64;
        self.fall_multiple * self.cold_from * f64::from(self.streams) * spans
    }

    /// A cold server falls when it gets more than this within `fall_us`: N + 3 x root of N + 3.
    pub fn falls_above(&self) -> f64 {
        let n = self.allowed();
        n + 3.0 * n.sqrt() + 3.0
    }

    /// What is put down to chance beyond N: those who were told of the start send no more than N + 2 x root of N + 2.
    pub fn by_chance(&self) -> f64 {
        let n = self.allowed();
        n + 2.0 * n.sqrt() + 2.0
    }

    /// The settings of the front node with this number.
    pub fn text(&self, number: u32) -> String {
        let class = |name| json!({"name": name, "aim_us": 800_000, "deadline_us": 4_000_000, "effect": "repeatable", "points": 1.0});
        let classes: Vec<_> = self.classes.iter().map(|c| class(c.0)).collect();
        let each = |n: u32| vec![n; classes.len()];
        let scales: Vec<f64> = self.classes.iter().map(|c| c.1).collect();
        json!({
            "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": self.dial_us, "conn_idle_us": 30_000_000},
            "classes": classes,
            "discovery": "push", "group_size": self.fronts, "my_number": number, "kinds": ["small"],
            "zones": ["a", "b"], "locality": number % 2,
            "family_info": {"link_unit_kb": 400.0 * f64::from(self.streams), "rack_link_kb": 4e9,
                "floor_by_class": each(0), "top_by_class": each(1), "scale_by_class": scales, "seats": each(0), "guard": 1.2,
                "kind_streams": [self.streams], "places": self.cells, "shelves": 10, "rates_kb": [200.0, 400.0],
                "see_us": 800_000, "worth_by_rung": [0.4, 1.0]},
            "prices": {"probe": 0.08, "handshake": 0.08, "cross_zone": 0.02, "moves": 0.1},
            "reporting": {"how": self.reporting, "names": ["utilization", "x1"]},
            "rules": {"cold_from": self.cold_from, "cold_us": self.cold_us, "fall_multiple": self.fall_multiple,
                "fall_us": self.fall_us},
            "weights": "nominal"
        })
        .to_string()
    }
}

//! The platform's settings as a front node gets them.

use serde_json::{Value, json};

/// A class of sessions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionClass {
    /// Its name.
    pub name: &'static str,
    /// Its rates relative to those of the ladder.
    pub rate_scale: f64,
}

/// The settings that are common to all front nodes of a cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClusterSettings {
    /// How many front nodes there are.
    pub front_nodes: u32,
    /// How many cells there are; a server's cell is its number modulo this.
    pub cells: u16,
    /// The maximum of sessions of a media server.
    pub streams: u32,
    /// A media server is cold for so long after its start, in microseconds.
    pub cold_period_us: u64,
    /// A cold media server's capacity at its start, as a fraction of its full one.
    pub cold_capacity: f64,
    /// A cold media server is overloaded by this multiple of its allowed rate ...
    pub overload_multiple: f64,
    /// ... over a window of so many microseconds.
    pub overload_window_us: u64,
    /// How load is reported: `piggyback` with answers, `pull` with health checks alone.
    pub reporting: &'static str,
    /// The classes of sessions; viewers request each equally often.
    pub classes: &'static [SessionClass],
    /// One in so many connections to media servers is established late; 0 for none.
    pub late_one_in: u32,
    /// The timeout of connecting in microseconds; late connections take nearly this.
    pub connect_timeout_us: u64,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        ClusterSettings {
            front_nodes: 300,
            cells: 20,
            streams: 200,
            cold_period_us: 8_000_000,
            cold_capacity: 0.5,
            overload_multiple: 2.5,
            overload_window_us: 2_000_000,
            reporting: "piggyback",
            classes: &[SessionClass { name: "stall-video", rate_scale: 1.0 }],
            late_one_in: 0,
            connect_timeout_us: 250_000,
        }
    }
}

impl ClusterSettings {
    /// N of the rule on cold media servers: the set-ups that one may receive within an overload window at its start,
    /// whoever sends them.
    pub fn allowed_set_ups(&self) -> f64 {
        let windows = self.overload_window_us as f64 / self.cold_period_us as f64;
        self.overload_multiple * self.cold_capacity * f64::from(self.streams) * windows
    }

    /// The whole set-ups within [`Self::allowed_set_ups`].
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number, whose fraction is to be dropped"
    )]
    pub fn max_cold_set_ups(&self) -> usize {
        self.allowed_set_ups() as usize
    }

    /// A cold media server fails when it receives more than this within an overload window: N + 3 √N + 3.
    pub fn overload_threshold(&self) -> f64 {
        let allowed = self.allowed_set_ups();
        allowed + 3.0 * allowed.sqrt() + 3.0
    }

    /// The bound for the front nodes that know of the start: N + 2 √N + 2. What is above N is put down to chance.
    pub fn chance_bound(&self) -> f64 {
        let allowed = self.allowed_set_ups();
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// The settings of the front node with a number, as JSON.
    pub fn settings_json(&self, number: u32) -> String {
        json!({
            "caps": {"cancel": true, "max_attempts": 3, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": self.connect_timeout_us,
                "conn_idle_us": 30_000_000},
            "classes": self.classes.iter().map(class_json).collect::<Vec<_>>(),
            "discovery": "push", "group_size": self.front_nodes, "my_number": number, "kinds": ["small"],
            "zones": ["a", "b"], "locality": number % 2,
            "family_info": self.family_json(),
            "prices": {"probe": 0.08, "handshake": 0.08, "cross_zone": 0.02, "moves": 0.1},
            "reporting": {"how": self.reporting, "names": ["utilization", "x1"]},
            "rules": {"cold_from": self.cold_capacity, "cold_us": self.cold_period_us,
                "fall_multiple": self.overload_multiple, "fall_us": self.overload_window_us},
            "weights": "nominal"
        })
        .to_string()
    }

    fn family_json(&self) -> Value {
        let for_each_class = |value: u32| vec![value; self.classes.len()];
        let scales: Vec<f64> = self.classes.iter().map(|class| class.rate_scale).collect();
        json!({
            "link_unit_kb": 400.0 * f64::from(self.streams), "rack_link_kb": 4e9,
            "floor_by_class": for_each_class(0), "top_by_class": for_each_class(1), "scale_by_class": scales,
            "seats": for_each_class(0), "guard": 1.2, "kind_streams": [self.streams], "places": self.cells,
            "shelves": 10, "rates_kb": [200.0, 400.0], "see_us": 800_000, "worth_by_rung": [0.4, 1.0]
        })
    }
}

fn class_json(class: &SessionClass) -> Value {
    json!({"name": class.name, "aim_us": 800_000, "deadline_us": 4_000_000, "effect": "repeatable", "points": 1.0})
}

//! The settings of the platform, in the form that front nodes receive.

use serde_json::{Value, json};

/// A class of sessions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionClass {
    /// Name of the class.
    pub name: &'static str,
    /// Rates of the class relative to those of the ladder.
    pub rate_scale: f64,
}

/// The settings that are common to all front nodes of a cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClusterSettings {
    /// Number of front nodes.
    pub front_nodes: u32,
    /// Number of cells. The cell of a server is its number modulo this.
    pub cells: u16,
    /// Maximum number of sessions of a media server.
    pub streams: u32,
    /// Duration of the cold period after the start of a media server, microseconds.
    pub cold_period_us: u64,
    /// Capacity of a media server at its start, as a fraction of its full capacity.
    pub cold_capacity: f64,
    /// Multiple of the allowed set-up rate that overloads a cold media server.
    pub overload_multiple: f64,
    /// Window over which the set-up rate is measured, microseconds.
    pub overload_window_us: u64,
    /// How load is reported: `piggyback` with answers, or `pull` with health checks alone.
    pub reporting: &'static str,
    /// Classes of sessions, which viewers request equally often.
    pub classes: &'static [SessionClass],
    /// One of this many connections to media servers is established late. 0 disables late connections.
    pub late_one_in: u32,
    /// Timeout of connecting, microseconds. Late connections take nearly this long.
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
    /// Returns N of the rule on cold media servers: the number of set-ups that such a server may receive from all front
    /// nodes within an overload window at its start.
    pub fn allowed_set_ups(&self) -> f64 {
        let windows = self.overload_window_us as f64 / self.cold_period_us as f64;
        self.overload_multiple * self.cold_capacity * f64::from(self.streams) * windows
    }

    /// Returns [`Self::allowed_set_ups`] rounded down.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number, whose fraction is to be dropped"
    )]
    pub fn max_cold_set_ups(&self) -> usize {
        self.allowed_set_ups() as usize
    }

    /// Returns the number of set-ups within an overload window above which a cold media server fails: N + 3 √N + 3.
    pub fn overload_threshold(&self) -> f64 {
        let allowed = self.allowed_set_ups();
        allowed + 3.0 * allowed.sqrt() + 3.0
    }

    /// Returns the bound for the front nodes that know of the start: N + 2 √N + 2. The excess over N allows for random
    /// variation.
    pub fn chance_bound(&self) -> f64 {
        let allowed = self.allowed_set_ups();
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Returns the settings of the front node with a number as JSON.
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

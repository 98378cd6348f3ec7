//! Configuration files of the front node under test.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

/// Settings and limits that differ between tests.
#[derive(Debug, Clone)]
pub struct TestSettings {
    pub deadline_ms: u64,
    pub latency_objective_ms: u64,
    pub effect: &'static str,
    /// Key window of the class. `None` for a class without keys.
    pub key_window_ms: Option<u64>,
    pub cancel: bool,
    pub max_attempts: u32,
    pub zones: &'static [&'static str],
    pub cells: u32,
    pub racks: u32,
    /// Number of file descriptors of the process.
    pub sockets: usize,
}

impl Default for TestSettings {
    fn default() -> TestSettings {
        TestSettings {
            deadline_ms: 4_000,
            latency_objective_ms: 800,
            effect: "repeatable",
            key_window_ms: Some(5_000),
            cancel: true,
            max_attempts: 3,
            zones: &["a"],
            cells: 1,
            racks: 1,
            sockets: 256,
        }
    }
}

impl TestSettings {
    fn class(&self) -> Value {
        let mut class = json!({"name": "stall-video", "aim_us": self.latency_objective_ms * 1000,
            "deadline_us": self.deadline_ms * 1000, "effect": self.effect, "points": 1.0});
        if let Some(window_ms) = self.key_window_ms {
            class["group"] = json!("all");
            class["window_us"] = json!(window_ms * 1000);
        }
        class
    }

    fn to_json(&self) -> Value {
        json!({
            "caps": {"cancel": self.cancel, "max_attempts": self.max_attempts, "probes": true, "retry_after": true,
                "max_retry_after_us": 500_000, "dial_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "classes": [self.class()],
            "discovery": "push", "group_size": 1, "my_number": 0, "kinds": ["small"], "zones": self.zones,
            "family_info": {"all_links_kb": 4e8, "link_unit_kb": 1e8, "rack_link_kb": 4e8, "floor_by_class": [0],
                "top_by_class": [1], "scale_by_class": [1.0], "seats": [0], "guard": 1.2, "kind_streams": [6000],
                "places": self.cells, "shelves": self.racks, "rates_kb": [200.0, 400.0], "see_us": 800_000,
                "worth_by_rung": [0.4, 1.0]},
            "reporting": {"how": "piggyback", "names": ["utilization", "x1"]},
            "rules": {"cold_from": 0.4, "cold_us": 1000, "fall_multiple": 3.0, "fall_us": 2000},
            "weights": "rough"
        })
    }
}

/// Writes a configuration file with an endpoint list.
pub fn write_configuration(path: &Path, event_bus: SocketAddr, settings: &TestSettings, endpoints: &[Value]) {
    let configuration = json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": settings.sockets}, "bus": event_bus.to_string(),
        "known": {"offset": 1,
            "batch": [{"offset": 1, "topology": {"index": 1, "snapshot": true, "endpoints": endpoints}}]},
        "settings": settings.to_json()
    });
    std::fs::write(path, configuration.to_string()).expect("write failed");
}

/// Returns the name of the media server with a number.
pub fn server_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Returns an entry of the endpoint list.
pub fn endpoint(name: &str, address: SocketAddr, group: usize, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "small", "group": group,
        "status": status, "weight": 1, "since_ms": 0})
}

//! Handles SIGHUP: reads the configuration again and applies a changed address of the event bus.

use beechloft::api::Micros;
use tracing::warn;

use super::EventLoop;
use crate::startup::read_config;

/// Time between a failed read of the configuration and the next attempt.
const RETRY_INTERVAL: Micros = Micros(100_000);

/// Number of retries after a failed read of the configuration.
const MAX_RETRIES: u32 = 50;

/// Scheduled read of the configuration.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReload {
    due: Micros,
    retries: u32,
}

impl PendingReload {
    /// Schedules a first read for the given time.
    pub fn at(due: Micros) -> PendingReload {
        PendingReload { due, retries: 0 }
    }
}

impl EventLoop {
    pub(super) fn reload_if_due(&mut self, now: Micros) {
        if let Some(reload) = self.pending_reload.take_if(|reload| now >= reload.due) {
            self.reload(reload.retries, now);
        }
    }

    /// Reads the configuration. Retries if the file cannot be read, for example because it is only partly written, and
    /// keeps the current configuration meanwhile.
    fn reload(&mut self, retries: u32, now: Micros) {
        match read_config(&self.config_path) {
            Ok(config) => self.event_bus.change_address(config.bus, now, self.poll.registry()),
            Err(e) if retries < MAX_RETRIES => {
                warn!("configuration reload failed: {e}; keeping the current configuration and retrying");
                self.pending_reload = Some(PendingReload { due: now + RETRY_INTERVAL, retries: retries + 1 });
            }
            Err(e) => warn!("configuration reload failed: {e}; keeping the current configuration"),
        }
    }
}

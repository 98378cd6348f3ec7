//! SIGHUP: the configuration is read again, and the event bus may move to another address.

use beechloft::api::Micros;
use tracing::warn;

use super::EventLoop;
use crate::startup::read_config;

/// From a failed read of the configuration to the next.
const RETRY_INTERVAL: Micros = Micros(100_000);

/// A read that fails is retried so many times.
const MAX_RETRIES: u32 = 50;

/// A read of the configuration that is to come.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReload {
    due: Micros,
    retries: u32,
}

impl PendingReload {
    /// The first read, due at this time.
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

    /// Reads the configuration. While it can't be read, as when it is half written, the old one stays in use.
    fn reload(&mut self, retries: u32, now: Micros) {
        match read_config(&self.config_path) {
            Ok(config) => self.event_bus.move_to(config.bus, now, self.poll.registry()),
            Err(e) if retries < MAX_RETRIES => {
                warn!("{e}; the old configuration stays, and the file is read again");
                self.pending_reload = Some(PendingReload { due: now + RETRY_INTERVAL, retries: retries + 1 });
            }
            Err(e) => warn!("{e}; the old configuration stays"),
        }
    }
}

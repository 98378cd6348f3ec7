//! Probes of ejected servers.
//!
//! One front at a time, the holder of the probe lease, offers one ejected server to its sessions until one attempt there has ended.
//! This is the half-open state of a circuit breaker, shared by all fronts of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Ejection, EjectionState};
use crate::fault_injection::Fault;
use crate::report::ServerInstance;
use crate::settings::DetectionSettings;

/// A probe that waits for an attempt at the server.
#[derive(Debug, Clone, Copy)]
struct Probe {
    instance: ServerInstance,
    started_at: Duration,
}

/// The server that this front is probing, and the times that decide whether it wants the probe lease.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeSchedule {
    current: Option<Probe>,
    /// Time until which the lease is held after a failed probe, to delay the next probe in the fleet.
    hold_lease_until: Duration,
    /// Time until which the lease is left to other fronts after a probe that got no attempt.
    yield_lease_until: Duration,
}

impl ProbeSchedule {
    pub(super) fn current(&self) -> Option<ServerInstance> {
        self.current.map(|probe| probe.instance)
    }

    /// Ends the current probe if it is a probe of `instance`. Returns whether it was.
    pub(super) fn end(&mut self, instance: ServerInstance) -> bool {
        self.current.take_if(|probe| probe.instance == instance).is_some()
    }

    pub(super) fn hold_lease_until(&mut self, until: Duration) {
        self.hold_lease_until = until;
    }

    /// Starts or ends a probe. Returns whether this front wants the lease.
    pub(super) fn update(
        &mut self,
        settings: &DetectionSettings,
        now: Duration,
        ejections: &BTreeMap<ServerInstance, Ejection>,
        has_lease: bool,
    ) -> bool {
        let has_lease = has_lease || settings.has_fault(Fault::ProbesWithoutLease);
        self.check_current(settings, now, ejections, has_lease);
        let next = next_probe(settings, now, ejections);
        let holds_lease = now < self.hold_lease_until;
        let yields_lease = now < self.yield_lease_until;
        let wants_lease = (self.current.is_some() || next.is_some() || holds_lease) && !yields_lease;
        if self.current.is_none() && has_lease && !holds_lease && !yields_lease {
            self.current = next.map(|instance| Probe { instance, started_at: now });
        }
        wants_lease
    }

    /// Ends the current probe if the lease is lost, the server is no longer ejected, or no attempt was made in time.
    fn check_current(
        &mut self,
        settings: &DetectionSettings,
        now: Duration,
        ejections: &BTreeMap<ServerInstance, Ejection>,
        has_lease: bool,
    ) {
        let Some(probe) = self.current else { return };
        let is_ejected = ejections.get(&probe.instance).is_some_and(Ejection::is_ejected);
        let is_timed_out = now.saturating_sub(probe.started_at) >= settings.probe_timeout;
        if !has_lease || !is_ejected || is_timed_out {
            self.current = None;
        }
        if is_timed_out {
            // Leaves the lease to a front that may get an attempt sooner.
            self.yield_lease_until = now + settings.probe_timeout * 2;
        }
    }
}

/// Returns the ejected server whose probe is due. Of several, it is the one that this front has not probed for the longest time.
fn next_probe(
    settings: &DetectionSettings,
    now: Duration,
    ejections: &BTreeMap<ServerInstance, Ejection>,
) -> Option<ServerInstance> {
    let is_due = |ejection: &Ejection| {
        let EjectionState::Ejected { last_detected, .. } = ejection.state else { return false };
        // Probes of several fronts must succeed, so a front that has probed a server leaves the next probe to others.
        let is_recently_probed = ejection
            .last_probe
            .is_some_and(|probe| now.saturating_sub(probe.ended_at) < settings.probe_delay);
        let is_delay_over = now.saturating_sub(last_detected) >= settings.probe_delay;
        !is_recently_probed && (is_delay_over || settings.has_fault(Fault::ProbesWithoutLease))
    };
    let due = ejections.iter().filter(|(_, ejection)| is_due(ejection));
    due.min_by_key(|(instance, ejection)| (ejection.last_probe, **instance)).map(|(instance, _)| *instance)
}

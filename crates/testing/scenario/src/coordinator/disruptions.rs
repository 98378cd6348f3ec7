//! Start and end of process faults.

use std::io;
use std::time::Instant;

use beechloft_checker::What;
use beechloft_fault_proxy::{DirectionFault, LinkFault};
use rustix::process::Signal;

use super::Coordinator;
use super::process_faults::{ProcessFault, ReplicaSelector};

/// Process that a fault was applied to when it began, so that its end can undo it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    Replica(usize),
    Candidate(usize),
    NoProcess,
}

impl Coordinator {
    /// Returns the selected replica, or `None` if the leader is selected and there is none.
    fn select(&self, selector: ReplicaSelector) -> Option<usize> {
        match selector {
            ReplicaSelector::Replica(n) => Some(n),
            ReplicaSelector::Leader => self.leader(),
        }
    }

    /// Sets the faults of all links of a replica, for the messages to it and from it.
    fn set_replica_links(&self, replica: usize, inbound: DirectionFault, outbound: DirectionFault) {
        for ((from, to), proxy) in &self.proxies {
            if *to == replica {
                proxy.set_fault(LinkFault { forward: inbound, reverse: outbound });
            } else if *from == replica {
                proxy.set_fault(LinkFault { forward: outbound, reverse: inbound });
            }
        }
    }

    /// Cuts or restores the links of a process that is no replica to all replicas except one.
    fn set_process_links(&self, process: usize, except: Option<usize>, is_cut: bool) {
        let fault = if is_cut { LinkFault::partition() } else { LinkFault::default() };
        let is_affected = |link: &(usize, usize)| link.0 == process && Some(link.1) != except;
        self.proxies
            .iter()
            .filter(|(link, _)| is_affected(link))
            .for_each(|(_, proxy)| proxy.set_fault(fault));
    }

    /// Applies a fault. `disruption` is the index that the fault is ended by.
    ///
    /// # Errors
    /// Returns an error if a process can't be started.
    pub fn begin(&mut self, disruption: usize, fault: &ProcessFault) -> io::Result<()> {
        let cut = DirectionFault { blocked: true, ..DirectionFault::default() };
        let target = match fault {
            ProcessFault::KillReplica(replica) => self.select(*replica).map(|n| {
                self.replicas[n] = None;
                Target::Replica(n)
            }),
            ProcessFault::SuspendReplica(replica) => self.select(*replica).map(|n| {
                self.signal(n, Signal::STOP);
                Target::Replica(n)
            }),
            ProcessFault::KillReplicas => {
                self.replicas.iter_mut().for_each(|replica| *replica = None);
                None
            }
            ProcessFault::CutReplica { replica, one_way } => self.select(*replica).map(|n| {
                self.set_replica_links(n, if *one_way { DirectionFault::default() } else { cut }, cut);
                Target::Replica(n)
            }),
            ProcessFault::DelayReplica(replica, delay) => self.select(*replica).map(|n| {
                let delayed = DirectionFault { delay: *delay, ..DirectionFault::default() };
                self.set_replica_links(n, delayed, delayed);
                Target::Replica(n)
            }),
            ProcessFault::CutLeaderWithHolder => self.leader().map(|n| {
                self.set_replica_links(n, cut, cut);
                if let Some(holder) = self.holder() {
                    let process = self.addresses.len() + holder;
                    self.set_process_links(process, Some(n), true);
                    if let Some(proxy) = self.proxies.get(&(process, n)) {
                        proxy.set_fault(LinkFault::default());
                    }
                }
                Target::Replica(n)
            }),
            ProcessFault::KillHolder => self.holder().map(|n| {
                (self.candidates[n], self.ended_at[n]) = (None, None);
                Target::Candidate(n)
            }),
            ProcessFault::SuspendHolder => self.holder().map(|n| {
                self.recorder.note(What::Stopped { holder: Coordinator::candidate_name(n) });
                self.candidates[n].iter().for_each(|group| group.signal(Signal::STOP));
                Target::Candidate(n)
            }),
            ProcessFault::CutFront(front) => {
                self.set_process_links(self.addresses.len() + self.candidates.len() + front, None, true);
                None
            }
        };
        self.targets.insert(disruption, target.unwrap_or(Target::NoProcess));
        Ok(())
    }

    /// Sends a signal to a replica, if it runs.
    pub(super) fn signal(&self, replica: usize, signal: Signal) {
        self.replicas[replica].iter().for_each(|group| group.signal(signal));
    }

    /// Ends a fault and undoes its effect.
    ///
    /// # Errors
    /// Returns an error if a process can't be started.
    pub fn end(&mut self, disruption: usize, fault: &ProcessFault) -> io::Result<()> {
        let Some(target) = self.targets.remove(&disruption) else { return Ok(()) };
        let none = DirectionFault::default();
        match (fault, target) {
            (ProcessFault::KillReplica(_), Target::Replica(n)) => self.start_replica(n)?,
            (ProcessFault::SuspendReplica(_), Target::Replica(n)) => self.signal(n, Signal::CONT),
            (ProcessFault::KillReplicas, _) => {
                for n in 0..self.replicas.len() {
                    self.start_replica(n)?;
                }
            }
            (ProcessFault::CutReplica { .. } | ProcessFault::DelayReplica(..), Target::Replica(n)) => {
                self.set_replica_links(n, none, none)
            }
            (ProcessFault::CutLeaderWithHolder, Target::Replica(_)) => {
                self.proxies.values().for_each(|proxy| proxy.set_fault(LinkFault::default()));
            }
            (ProcessFault::KillHolder, Target::Candidate(n)) => self.ended_at[n] = Some(Instant::now()),
            (ProcessFault::SuspendHolder, Target::Candidate(n)) => {
                self.recorder.note(What::WentOn { holder: Coordinator::candidate_name(n) });
                self.candidates[n].iter().for_each(|group| group.signal(Signal::CONT));
            }
            (ProcessFault::CutFront(front), _) => {
                self.set_process_links(self.addresses.len() + self.candidates.len() + front, None, false);
            }
            _ => {}
        }
        Ok(())
    }
}

//! Faults of the coordinator's replicas, lease holders and their links, as a script describes them.

use std::time::Duration;

use beechloft_config_reader::Section;

/// Replica that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaSelector {
    /// The replica that leads when the fault begins.
    Leader,
    /// The replica with this index, counted from 0.
    Replica(usize),
}

/// Fault of processes or of the links between them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessFault {
    /// Kills a replica, and starts it again at the end.
    KillReplica(ReplicaSelector),
    /// Suspends a replica, and resumes it at the end.
    SuspendReplica(ReplicaSelector),
    /// Kills all replicas at once, and starts them again at the end.
    KillReplicas,
    /// Cuts the links of a replica.
    CutReplica {
        /// Replica that is cut off.
        replica: ReplicaSelector,
        /// Whether the replica still receives the messages of others.
        one_way: bool,
    },
    /// Delays all messages from and to a replica.
    DelayReplica(ReplicaSelector, Duration),
    /// Cuts off the leader together with the lease holder.
    CutLeaderWithHolder,
    /// Kills the lease holder with its children, and starts the candidate again at the end.
    KillHolder,
    /// Suspends the lease holder with its children, and resumes it at the end.
    SuspendHolder,
    /// Cuts the links of a front to all replicas.
    CutFront(usize),
}

impl ProcessFault {
    /// Reads a process fault from a section. Returns `None` if the section has none or an invalid one.
    pub fn read(section: &Section<'_>, replica_count: u64, fronts: usize) -> Option<ProcessFault> {
        let replica = |key: &'static str| match section.text(key)?.as_str() {
            "leader" => Some(ReplicaSelector::Leader),
            text => match text.parse() {
                Ok(index) if index < replica_count as usize => Some(ReplicaSelector::Replica(index)),
                _ => {
                    section.report(
                        key,
                        format!("'leader' or a replica's number below {replica_count} is needed"),
                    );
                    None
                }
            },
        };
        if section.has("kill_keeper") {
            replica("kill_keeper").map(ProcessFault::KillReplica)
        } else if section.has("stop_keeper") {
            replica("stop_keeper").map(ProcessFault::SuspendReplica)
        } else if section.has("kill_keepers") {
            section.flag("kill_keepers", true).then_some(ProcessFault::KillReplicas)
        } else if section.has("cut_keeper") {
            let one_way = section.flag("one_way", false);
            replica("cut_keeper").map(|replica| ProcessFault::CutReplica { replica, one_way })
        } else if section.has("slow_keeper") {
            let ms = section.required_integer("ms", 1..=60_000);
            replica("slow_keeper")
                .map(|replica| ProcessFault::DelayReplica(replica, Duration::from_millis(ms)))
        } else if section.has("cut_leader_with_holder") {
            section.flag("cut_leader_with_holder", true).then_some(ProcessFault::CutLeaderWithHolder)
        } else if section.has("kill_holder") {
            section.flag("kill_holder", true).then_some(ProcessFault::KillHolder)
        } else if section.has("stop_holder") {
            section.flag("stop_holder", true).then_some(ProcessFault::SuspendHolder)
        } else if section.has("cut_front") {
            Some(ProcessFault::CutFront(section.integer("cut_front", 0..=fronts as u64 - 1)? as usize))
        } else {
            None
        }
    }
}

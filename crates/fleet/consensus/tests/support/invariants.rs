//! Checks of Raft's invariants (figure 3.2 of the dissertation) over all nodes and a complete run.

use std::collections::BTreeMap;

use beechloft_consensus::{Entry, Index, NodeId, Raft, Term};

/// Records the leaders and commits of a run, and the first violation of an invariant.
#[derive(Debug, Clone, Default, Hash)]
pub struct Invariants {
    leaders: BTreeMap<Term, NodeId>,
    /// Term in which each index was first committed.
    committed_in: BTreeMap<Index, Term>,
    /// Committed entries by index.
    pub committed: BTreeMap<Index, Entry>,
    pub violation: Option<String>,
}

impl Invariants {
    /// Records a violation, unless there is an earlier one.
    pub fn record(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Checks election safety and leader completeness.
    ///
    /// A term has at most one leader, and a leader has all entries that were committed before its term.
    pub fn check_leader(&mut self, raft: &Raft) {
        let (id, term) = (raft.status().id, raft.status().term);
        let is_known = self.leaders.contains_key(&term);
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.record(format!("two leaders in {term:?}: {first} and {id}"));
        }
        if is_known {
            return;
        }
        for (index, entry) in &self.committed {
            let is_earlier = self.committed_in.get(index).is_some_and(|committed_in| *committed_in < term);
            if is_earlier && *index >= raft.first_index() && raft.entry(*index) != Some(entry) {
                let violation = format!("leader {id} of {term:?} lacks committed entry {:?}", entry.at);
                return self.record(violation);
            }
        }
    }

    /// Checks state machine safety, which requires that all nodes commit the same entry at an index.
    pub fn check_commit(&mut self, id: NodeId, term: Term, entry: &Entry) {
        match self.committed.get(&entry.at.index) {
            Some(other) if other != entry => {
                let (committed, conflicting) = (other.at, entry.at);
                self.record(format!("{id} commits {conflicting:?} after {committed:?} was committed"));
            }
            Some(_) => {}
            None => {
                self.committed.insert(entry.at.index, entry.clone());
                self.committed_in.insert(entry.at.index, term);
            }
        }
    }

    /// Returns the last index that any node has committed.
    pub fn last_committed(&self) -> Index {
        self.committed.last_key_value().map_or(Index(0), |(index, _)| *index)
    }

    /// Checks log matching, which requires that two logs with the same index and term agree on all earlier entries.
    pub fn check_log_matching<'a>(&mut self, nodes: impl Iterator<Item = &'a Raft> + Clone) {
        for first in nodes.clone() {
            for second in nodes.clone() {
                if first.status().id < second.status().id {
                    self.check_pair(first, second);
                }
            }
        }
    }

    /// Compares the logs of two nodes from their last common index backwards.
    fn check_pair(&mut self, first: &Raft, second: &Raft) {
        let (first_status, second_status) = (first.status(), second.status());
        let mut is_matching = false;
        let mut index = first_status.last.index.min(second_status.last.index);
        while index >= first.first_index().max(second.first_index()) && index.0 > 0 {
            let (Some(left), Some(right)) = (first.entry(index), second.entry(index)) else { break };
            if is_matching && left != right {
                self.record(format!(
                    "logs of {} and {} differ at {index:?} before a matching entry",
                    first_status.id, second_status.id
                ));
            }
            is_matching |= left.at == right.at;
            index = Index(index.0 - 1);
        }
    }
}

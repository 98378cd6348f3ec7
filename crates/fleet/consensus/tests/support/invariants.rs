//! The invariants of Raft (figure 3.2 of the dissertation), checked over all nodes and the whole run.

use std::collections::BTreeMap;

use beechloft_consensus::{Entry, Index, NodeId, Raft, Term};

/// Everything that the invariants need to know of the run. The first violation is kept.
#[derive(Debug, Clone, Default, Hash)]
pub struct Invariants {
    leaders: BTreeMap<Term, NodeId>,
    /// In which term each place was first committed.
    committed_in: BTreeMap<Index, Term>,
    /// What was committed, by place.
    pub committed: BTreeMap<Index, Entry>,
    pub violation: Option<String>,
}

impl Invariants {
    pub fn record(&mut self, why: String) {
        self.violation.get_or_insert(why);
    }

    /// Election safety: at most one leader in a term. Leader completeness: it has all that was committed before its term.
    pub fn check_leader(&mut self, raft: &Raft) {
        let (id, term) = (raft.status().id, raft.status().term);
        let known = self.leaders.contains_key(&term);
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.record(format!("two leaders in {term:?}: {first} and {id}"));
        }
        if known {
            return;
        }
        for (index, entry) in &self.committed {
            let before = self.committed_in.get(index).is_some_and(|t| *t < term);
            if before && *index >= raft.first_index() && raft.entry(*index) != Some(entry) {
                let why = format!("{id} leads in {term:?} without {:?}, which was committed", entry.at);
                return self.record(why);
            }
        }
    }

    /// State-machine safety: one entry at a place, for ever.
    pub fn check_commit(&mut self, id: NodeId, term: Term, entry: &Entry) {
        match self.committed.get(&entry.at.index) {
            Some(other) if other != entry => {
                let (a, b) = (other.at, entry.at);
                self.record(format!("{id} commits {b:?} where {a:?} was committed"));
            }
            Some(_) => {}
            None => {
                self.committed.insert(entry.at.index, entry.clone());
                self.committed_in.insert(entry.at.index, term);
            }
        }
    }

    /// The last place that anybody has committed.
    pub fn last(&self) -> Index {
        self.committed.last_key_value().map_or(Index(0), |e| *e.0)
    }

    /// Log matching: where two logs have the same place and term, all before it is the same.
    pub fn check_log_matching<'a>(&mut self, all: impl Iterator<Item = &'a Raft> + Clone) {
        for a in all.clone() {
            for b in all.clone() {
                let (sa, sb) = (a.status(), b.status());
                if sa.id >= sb.id {
                    continue;
                }
                let mut same = false;
                let mut at = sa.last.index.min(sb.last.index);
                while at >= a.first_index().max(b.first_index()) && at.0 > 0 {
                    let (Some(x), Some(y)) = (a.entry(at), b.entry(at)) else { break };
                    if same && x != y {
                        self.record(format!(
                            "logs of {} and {} differ at {at:?} below a match",
                            sa.id, sb.id
                        ));
                    }
                    same |= x.at == y.at;
                    at = Index(at.0 - 1);
                }
            }
        }
    }
}

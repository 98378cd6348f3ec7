//! Linearizability checker for histories of a lease as its clients saw them: searches for an order of the operations, each taking
//! effect between its request and its response, that a table of leases allows. (Herlihy and Wing, "Linearizability: A Correctness
//! Condition for Concurrent Objects", TOPLAS 1990. The search is that of Wing and Gong, "Testing and Verifying Concurrent
//! Objects", JPDC 1993, with a memory of visited states as in Lowe, "Testing for linearizability", 2017.)
//!
//! An expiry isn't a request. It may happen at any time later than the lease's time to live after its holder requested the grant or
//! the last renewal that took effect. All clocks of a test run within the drift bound, so that this holds in real time.

use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::time::Duration;

use beechloft_coordinator::history::{HistoryEvent, HistoryRecord};
use beechloft_leases::{Answer, Op as WireOp, Rejection};

/// Maximum number of states to visit. A linearizable history needs about as many as it has requests.
const MAX_VISITED_STATES: usize = 100_000;

/// Request of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Request {
    Acquire,
    Renew(u64),
    Release(u64),
}

/// Response of the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Response {
    /// The lease was granted with this token.
    Granted(u64),
    Renewed,
    Released,
    /// Another holder has the lease.
    Taken,
    /// The client doesn't hold the lease with this token.
    NotHeld,
}

/// Operation of a client, from the first transmission of its request to its first response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operation {
    pub holder: u64,
    /// Sequence number, which rises with each request of a holder. A request that is applied after a higher one has no effect.
    pub seq: u64,
    pub request: Request,
    /// Time before the first transmission of the request.
    pub requested_at: Duration,
    /// Response and its time. Without a response, the operation may have taken effect at any later time or not at all.
    pub response: Option<(Response, Duration)>,
}

/// State of a lease with one slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Lease {
    /// Current grant.
    grant: Option<Grant>,
    /// Highest token that was granted.
    last_token: u64,
    /// Earliest time at which the next operation can take effect.
    now: Duration,
}

/// Grant of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    token: u64,
    holder: u64,
    /// Earliest time at which the grant can expire.
    expires_at: Duration,
}

impl Lease {
    /// Returns the possible states after an operation with this response. There are several if the grant may or may not have expired
    /// before.
    fn apply(self, op: &Operation, response: Option<Response>, ttl: Duration) -> Vec<Lease> {
        let mut starts = vec![self];
        if let Some(grant) = self.grant {
            starts.push(Lease { grant: None, now: self.now.max(grant.expires_at), ..self });
        }
        starts.into_iter().filter_map(|start| start.apply_without_expiry(op, response, ttl)).collect()
    }

    /// Returns the state after an operation with this response if no expiry comes first. Returns `None` if the operation can't have
    /// this response in this state.
    fn apply_without_expiry(
        self,
        op: &Operation,
        response: Option<Response>,
        ttl: Duration,
    ) -> Option<Lease> {
        let now = self.now.max(op.requested_at);
        let in_time = op.response.is_none_or(|(_, at)| at >= now);
        let is_own =
            |token: u64| self.grant.is_some_and(|grant| (grant.token, grant.holder) == (token, op.holder));
        let is_free = self.grant.is_none_or(|grant| grant.holder == op.holder);
        let expires_at = op.requested_at + ttl;
        let (grant, last_token, is_allowed) = match (op.request, response) {
            // A new grant replaces an earlier one of the same holder.
            (Request::Acquire, Some(Response::Granted(token))) => {
                let grant = Grant { token, holder: op.holder, expires_at };
                (Some(grant), token, is_free && token > self.last_token)
            }
            (Request::Acquire, Some(Response::Taken)) => (self.grant, self.last_token, !is_free),
            // The token is unknown. It is higher than the last one, and lower than the next one that a client received.
            (Request::Acquire, None) => {
                let grant = Grant { token: 0, holder: op.holder, expires_at };
                (Some(grant), self.last_token, is_free)
            }
            (Request::Renew(token), Some(Response::Renewed) | None) => {
                let renewed =
                    self.grant.map(|grant| Grant { expires_at: expires_at.max(grant.expires_at), ..grant });
                (renewed, self.last_token, is_own(token))
            }
            (Request::Release(token), Some(Response::Released) | None) => {
                (None, self.last_token, is_own(token))
            }
            (Request::Renew(token) | Request::Release(token), Some(Response::NotHeld)) => {
                (self.grant, self.last_token, !is_own(token))
            }
            _ => return None,
        };
        (is_allowed && in_time).then_some(Lease { grant, last_token, now })
    }
}

/// Checks that the history of a lease with one slot is linearizable.
///
/// # Errors
/// No order explains the history. The error describes the last of the longest partial orders.
pub fn check(history: &[Operation], ttl: Duration) -> Result<(), String> {
    // A renewal without a response can only delay an expiry. If an order with it explains the history, one without it does too.
    let is_unanswered_renewal =
        |op: &&Operation| op.response.is_none() && matches!(op.request, Request::Renew(_));
    let mut all: Vec<Operation> = history.iter().filter(|op| !is_unanswered_renewal(op)).copied().collect();
    all.sort_by_key(|op| op.requested_at);
    // The depth of the recursion is the length of the history.
    let thread = std::thread::Builder::new().stack_size(256 << 20);
    let search = thread.spawn(move || {
        let mut search =
            Search { all: &all, ttl, visited: HashSet::new(), longest: 0, failure: String::new() };
        let answered = all.iter().filter(|op| op.response.is_some()).count();
        let found = search.extend(&mut vec![false; all.len()], 0, answered, Lease::default());
        if found { Ok(()) } else { Err(search.failure) }
    });
    search.expect("start a thread").join().expect("search without panic")
}

/// Depth-first search for an order that explains a history.
struct Search<'a> {
    all: &'a [Operation],
    ttl: Duration,
    visited: HashSet<(usize, Vec<u64>, Lease)>,
    /// Number of answered operations in the longest partial order.
    longest: usize,
    /// Description of the last of the longest partial orders.
    failure: String,
}

impl Search<'_> {
    /// Extends a partial order by each operation that may come next. `done` marks the operations in the order, all before `first`
    /// are in it, and `remaining` is the number of answered operations that are not. Returns whether the order can be completed.
    fn extend(&mut self, done: &mut Vec<bool>, first: usize, remaining: usize, lease: Lease) -> bool {
        if remaining == 0 {
            return true;
        }
        let first = (first..done.len()).find(|n| !done[*n]).unwrap_or(done.len());
        // A state is the lease and the set of operations in the order, of which those past `first` are listed.
        let done_past_first: Vec<u64> = (first..done.len()).filter(|n| done[*n]).map(|n| n as u64).collect();
        if self.visited.len() >= MAX_VISITED_STATES || !self.visited.insert((first, done_past_first, lease)) {
            return false;
        }
        // An operation that was answered before another one was requested comes before that one.
        let open = || (first..done.len()).filter(|n| !done[*n]);
        let answered_at = |n: usize| self.all[n].response.map_or(Duration::MAX, |(_, at)| at);
        let earliest = open().map(answered_at).min().unwrap_or(Duration::MAX);
        let mut candidates: Vec<usize> =
            open().take_while(|n| self.all[*n].requested_at <= earliest).collect();
        // Most operations without a response never took effect, so they are tried last.
        candidates.sort_by_key(|n| self.all[*n].response.is_none());
        if self.all.len() - remaining >= self.longest {
            self.longest = self.all.len() - remaining;
            let examples: Vec<&Operation> = candidates.iter().take(6).map(|n| &self.all[*n]).collect();
            self.failure = format!(
                "after {} of {}: {lease:?}, and next one of {examples:?}",
                done.iter().filter(|is_done| **is_done).count(),
                done.len()
            );
        }
        for n in candidates {
            let op = self.all[n];
            let supersedes =
                |m: usize| done[m] && self.all[m].holder == op.holder && self.all[m].seq > op.seq;
            if (0..done.len()).any(supersedes) {
                continue;
            }
            let response = op.response.map(|(response, _)| response);
            for next in lease.apply(&op, response, self.ttl) {
                done[n] = true;
                if self.extend(done, first, remaining - usize::from(op.response.is_some()), next) {
                    return true;
                }
                done[n] = false;
            }
        }
        false
    }
}

/// Builds a history from records of requests and responses. The first transmission and the first response of each request count.
#[derive(Debug, Default)]
struct HistoryBuilder {
    ops: BTreeMap<(u64, u64), Operation>,
}

impl HistoryBuilder {
    /// Records the transmission of a request. Retransmissions are ignored.
    fn record_request(&mut self, holder: u64, seq: u64, request: Request, at: Duration) {
        let op = Operation { holder, seq, request, requested_at: at, response: None };
        self.ops.entry((holder, seq)).or_insert(op);
    }

    /// Records a response.
    ///
    /// # Errors
    /// The request is unknown, or an earlier response to it was different.
    fn record_response(
        &mut self,
        holder: u64,
        seq: u64,
        response: Response,
        at: Duration,
    ) -> Result<(), String> {
        let op = self
            .ops
            .get_mut(&(holder, seq))
            .ok_or(format!("response to an unknown request {holder} {seq}"))?;
        match op.response {
            Some((earlier, _)) if earlier != response => {
                Err(format!("different responses to {holder} {seq}: {earlier:?}, then {response:?}"))
            }
            Some(_) => Ok(()),
            None => {
                op.response = Some((response, at));
                Ok(())
            }
        }
    }

    fn history(&self) -> Vec<Operation> {
        self.ops.values().copied().collect()
    }
}

/// Reads the history of a lease that processes have written to a file.
///
/// # Errors
/// The file can't be read or contains invalid records.
pub fn read(path: &Path, lease: &str) -> Result<Vec<Operation>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut builder = HistoryBuilder::default();
    for line in text.lines() {
        let record: HistoryRecord = serde_json::from_str(line).map_err(|e| format!("{line}: {e}"))?;
        let at = Duration::from_nanos(record.at_ns);
        match record.event {
            HistoryEvent::Request(request) => {
                let (name, kind) = match &request.op {
                    WireOp::Acquire { name, .. } => (name, Request::Acquire),
                    WireOp::Renew { name, token } => (name, Request::Renew(token.0)),
                    WireOp::Release { name, token } => (name, Request::Release(token.0)),
                    other => return Err(format!("unexpected request: {other:?}")),
                };
                if name.to_string() == lease {
                    builder.record_request(request.holder.0, request.seq, kind, at);
                }
            }
            HistoryEvent::Response { holder, seq, answer } => {
                let response = match answer {
                    Answer::Granted(token, _) => Response::Granted(token.0),
                    Answer::Renewed(..) => Response::Renewed,
                    Answer::Released => Response::Released,
                    Answer::Rejected(Rejection::NoFreeSlot) => Response::Taken,
                    Answer::Rejected(Rejection::NotHeld) => Response::NotHeld,
                    // A later request was applied before this one. Whether this one took effect is unknown.
                    Answer::Rejected(Rejection::Superseded) => continue,
                    other => return Err(format!("unexpected response: {other:?}")),
                };
                builder.record_response(holder.0, seq, response, at)?;
            }
        }
    }
    Ok(builder.history())
}

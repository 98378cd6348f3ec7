//! Requests that this front has sent and whose answers it still accepts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after a request for which its answer is accepted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of pending requests.
const MAX_REQUESTS: usize = 512;

#[derive(Debug, Clone, Copy)]
struct Request {
    receiver: SocketAddr,
    sent_at: Duration,
}

/// Pending requests by id.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<u64, Request>,
}

impl PendingRequests {
    /// Adds a request. It replaces the oldest one if the maximum number is reached.
    pub(super) fn add(&mut self, seq: u64, receiver: SocketAddr, now: Duration) {
        if self.requests.len() >= MAX_REQUESTS
            && let Some(oldest) = self.oldest()
        {
            self.requests.remove(&oldest);
        }
        self.requests.insert(seq, Request { receiver, sent_at: now });
    }

    fn oldest(&self) -> Option<u64> {
        self.requests.iter().min_by_key(|(_, request)| request.sent_at).map(|(seq, _)| *seq)
    }

    /// Returns the time at which the request was sent to which an answer from this address belongs.
    ///
    /// Returns `None` if there is no such request or it is too old.
    pub(super) fn sent_at(&self, seq: u64, from: SocketAddr, now: Duration) -> Option<Duration> {
        let request = self.requests.get(&seq).filter(|request| request.receiver == from)?;
        (now.saturating_sub(request.sent_at) <= ANSWER_TIMEOUT).then_some(request.sent_at)
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.requests.retain(|_, request| now.saturating_sub(request.sent_at) <= ANSWER_TIMEOUT);
    }
}

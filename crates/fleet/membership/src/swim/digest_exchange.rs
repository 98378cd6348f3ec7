//! Digest exchanges, the anti-entropy between two members whose lists differ for longer than dissemination takes.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::{Output, Swim};
use crate::anti_entropy;
use crate::fault_injection::Fault;
use crate::identity::MemberId;
use crate::messages::{BUCKETS, Digests, Message, Packet};
use crate::rate_limit::TokenBucket;

/// Time between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two exchanges after one that brought unknown members, so that a newcomer knows all members within seconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of exchanges that are answered per second. It limits the load of a fleet that starts all at once with one seed,
/// and of a member that keeps sending requests.
const MAX_ANSWERS_PER_SECOND: f64 = 20.0;
/// Time for which digests must differ before an exchange is started. Dissemination is complete after this time.
const DIFFERENCE_TOLERANCE: Duration = Duration::from_secs(6);

/// The member with which the last exchange was started.
#[derive(Debug, Clone, Copy)]
struct Peer {
    address: SocketAddr,
    id: Option<MemberId>,
}

/// The state of this member's exchanges.
#[derive(Debug)]
pub(super) struct DigestExchange {
    differs_since: Option<Duration>,
    next_at: Duration,
    peer: Option<Peer>,
    /// Whether the exchange is repeated with the same peer because it brought unknown members.
    repeats: bool,
    answers: TokenBucket,
}

impl DigestExchange {
    pub(super) fn new(now: Duration) -> DigestExchange {
        let answers = TokenBucket::full(MAX_ANSWERS_PER_SECOND, now);
        DigestExchange { differs_since: None, next_at: now, peer: None, repeats: false, answers }
    }

    /// Returns whether the last exchange was started with the member at this address.
    pub(super) fn is_peer(&self, address: SocketAddr) -> bool {
        self.peer.is_some_and(|peer| peer.address == address)
    }

    pub(super) fn repeats_at(&self) -> Option<Duration> {
        self.repeats.then_some(self.next_at)
    }
}

impl Swim {
    /// Compares the digest of another member's list with that of the own list, and starts an exchange if they differ for long.
    pub(super) fn compare_digest(
        &mut self,
        digest: u64,
        address: SocketAddr,
        from: MemberId,
        out: &mut Vec<Output>,
    ) {
        if digest == self.members.digest() {
            self.exchange.differs_since = None;
            self.is_newcomer = false;
            return;
        }
        let since = *self.exchange.differs_since.get_or_insert(self.now);
        if self.now - since >= DIFFERENCE_TOLERANCE && self.now >= self.exchange.next_at {
            self.exchange.differs_since = None;
            self.start_exchange(address, Some(from), out);
        }
    }

    pub(super) fn start_exchange(
        &mut self,
        address: SocketAddr,
        to: Option<MemberId>,
        out: &mut Vec<Output>,
    ) {
        if self.has_fault(Fault::NoAntiEntropy) && self.members.active_count() > 1 {
            return;
        }
        self.counters.digest_exchanges += 1;
        self.exchange.next_at = self.now + self.jittered(EXCHANGE_INTERVAL);
        self.exchange.peer = Some(Peer { address, id: to });
        // This member may be unknown to the peer.
        let own = vec![self.alive_update()];
        let request = Message::CompareDigests { digests: self.members.digests(), is_reply: false };
        self.send(address, to, request, own, out);
    }

    /// Schedules another exchange with the same peer, which may have more unknown members.
    pub(super) fn repeat_exchange_soon(&mut self) {
        if !self.exchange.repeats {
            self.exchange.repeats = true;
            self.exchange.next_at = self.now + self.jittered(REPEAT_INTERVAL);
        }
    }

    pub(super) fn repeat_exchange_if_due(&mut self, out: &mut Vec<Output>) {
        if self.exchange.repeats && self.now >= self.exchange.next_at {
            self.exchange.repeats = false;
            if let Some(peer) = self.exchange.peer {
                self.start_exchange(peer.address, peer.id, out);
            }
        }
    }

    /// Sends the updates of buckets whose digests differ and, unless the received digests are a reply, the own digests.
    pub(super) fn answer_exchange(
        &mut self,
        address: SocketAddr,
        to: MemberId,
        theirs: &Digests,
        is_reply: bool,
        out: &mut Vec<Output>,
    ) {
        if is_reply && !self.exchange.is_peer(address) {
            return;
        }
        if !is_reply && !self.exchange.answers.try_take(self.now, 1.0) {
            self.counters.throttled_exchanges += 1;
            return;
        }
        let first_bucket = self.rng.random_range(0..BUCKETS);
        let packets =
            anti_entropy::updates_of_differing_buckets(&self.members, theirs, first_bucket, self.id);
        for updates in packets {
            let packet = Packet { from: self.id, to: Some(to), message: Message::Updates, updates };
            out.push(Output::Send(address, packet));
        }
        if !is_reply {
            let reply = Message::CompareDigests { digests: self.members.digests(), is_reply: true };
            self.send(address, Some(to), reply, Vec::new(), out);
        }
    }
}

//! The state machine of the protocol. The caller passes received packets and the time to it, and sends the packets that it returns.

mod exchange;
mod pending_requests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beechloft_membership::{MemberId, TokenBucket, Zone};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::pending_requests::PendingRequests;
use crate::fault_injection::Fault;
use crate::messages::{Message, Packet, SectionKind};
use crate::row_table::{RowTable, RowTooLong, RowView};
use crate::settings::Settings;

/// Another front, from the member list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The front's member id.
    pub id: MemberId,
    /// Address at which the front receives packets.
    pub address: SocketAddr,
    /// The zone that the front announced.
    pub zone: Zone,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A packet was received from this address.
    Received(SocketAddr, Packet),
    /// The other fronts that are members have changed to these.
    Peers(Vec<Peer>),
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Request to send the packet to this address. The packet may be lost.
    Send(SocketAddr, Packet),
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Number of packets sent.
    pub sent_packets: u64,
    /// Total size of the packets sent in bytes, by [`Packet::max_encoded_len`].
    pub sent_bytes: u64,
    /// Number of packets that were dropped because of the limit of bytes per second.
    pub throttled_packets: u64,
    /// Number of received rows that were newer than the known ones.
    pub accepted_rows: u64,
    /// Number of received packets that answer no request, arrived too late, or were not sent by a peer.
    pub unsolicited_packets: u64,
    /// Number of received rows and lists of digests that are invalid.
    pub invalid_rows: u64,
    /// Number of received rows of unknown members or that exceed a maximum size.
    pub rejected_rows: u64,
    /// Number of received versions of the own row that this front did not write.
    pub forged_own_rows: u64,
    /// Number of rows that expired.
    pub expired_rows: u64,
}

/// One front's participant in the gossip protocol, with the rows that it knows.
#[derive(Debug)]
pub struct Gossip {
    id: MemberId,
    settings: Settings,
    table: RowTable,
    peers: BTreeMap<MemberId, Peer>,
    requests: PendingRequests,
    rng: ChaCha8Rng,
    now: Duration,
    next_round_at: Duration,
    /// Limit of the bytes sent per second.
    send_budget: TokenBucket,
    counters: Counters,
}

impl Gossip {
    /// Creates a participant that knows only its own, empty row.
    ///
    /// Each process draws a new random `id`. `seed` seeds the random number generator. `now` is read from the same clock as the time
    /// of all later inputs.
    pub fn new(id: MemberId, settings: Settings, seed: u64, now: Duration) -> Gossip {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        let first_round = settings.round_interval.mul_f64(rng.random_range(0.0..1.0));
        Gossip {
            id,
            settings,
            table: RowTable::new(id, settings, now),
            peers: BTreeMap::new(),
            requests: PendingRequests::default(),
            rng,
            now,
            next_round_at: now + first_round,
            send_budget: TokenBucket::full(f64::from(settings.max_bytes_per_second), now),
            counters: Counters::default(),
        }
    }

    /// Injects a fault for a test.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.table.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.table.fault == Some(fault)
    }

    /// Returns this front's member id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Writes a section of the own row. The next rounds disseminate it. Of several writes between two rounds only the last is sent.
    ///
    /// # Errors
    /// Returns an error if the row would be too long. The row is unchanged then.
    pub fn write_section(
        &mut self,
        now: Duration,
        kind: SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), RowTooLong> {
        self.now = self.now.max(now);
        self.table.write_section(kind, bytes, self.now)
    }

    /// Sets this front's slot.
    pub fn set_front_slot(&mut self, now: Duration, front_slot: Option<u16>) {
        self.now = self.now.max(now);
        self.table.set_front_slot(front_slot, self.now);
    }

    /// Returns all known rows, including the own one.
    pub fn rows(&self, now: Duration) -> impl Iterator<Item = RowView<'_>> {
        self.table.views(now.max(self.now))
    }

    /// Returns the row of a member, or `None` if it is unknown.
    pub fn row(&self, now: Duration, member: MemberId) -> Option<RowView<'_>> {
        self.table.view(member, now.max(self.now))
    }

    /// Returns the peer with this id, or `None` if there is none.
    pub fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// Returns the time at which [`Gossip::handle`] must be called next if no packet is received before.
    pub fn next_deadline(&self) -> Duration {
        self.next_round_at
    }

    /// Handles an input and all actions that are due. `now` must not decrease from call to call.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            Input::Tick => {}
            Input::Peers(peers) => self.peers = peers.into_iter().map(|peer| (peer.id, peer)).collect(),
            Input::Received(from, packet) => self.receive(from, packet, &mut out),
        }
        if self.now >= self.next_round_at {
            self.run_round(&mut out);
        }
        out
    }

    /// Starts an exchange with randomly chosen peers.
    fn run_round(&mut self, out: &mut Vec<Output>) {
        // Jitter keeps the rounds of fronts that started together from staying synchronized.
        self.next_round_at = self.now + self.settings.round_interval.mul_f64(self.rng.random_range(0.9..1.1));
        self.counters.expired_rows += self.table.remove_expired(self.now) as u64;
        self.requests.remove_expired(self.now);
        if self.now.saturating_sub(self.table.bumped_at()) >= self.settings.refresh_interval {
            self.table.bump(0, self.now);
        }
        let mut ids: Vec<MemberId> = self.peers.keys().copied().collect();
        let (chosen, _) = ids.partial_shuffle(&mut self.rng, self.settings.fanout);
        for id in chosen.iter().copied() {
            let Some(address) = self.peers.get(&id).map(|peer| peer.address) else { continue };
            let seq = self.next_request(address);
            let digests = self.table.digests();
            self.send(address, id, Message::CompareDigests { seq, digests }, out);
        }
    }

    /// Returns the id of a request that is sent now. It is random, so that only the receiver of the request can answer it.
    fn next_request(&mut self, receiver: SocketAddr) -> u64 {
        let seq = self.rng.random();
        self.requests.add(seq, receiver, self.now);
        seq
    }

    fn send(&mut self, address: SocketAddr, to: MemberId, message: Message, out: &mut Vec<Output>) {
        let packet = Packet { from: self.id, to, message };
        let length = packet.max_encoded_len();
        if !self.send_budget.try_take(self.now, length as f64) {
            self.counters.throttled_packets += 1;
            return;
        }
        self.counters.sent_packets += 1;
        self.counters.sent_bytes += length as u64;
        out.push(Output::Send(address, packet));
    }

    /// Returns the number of known rows, including the own one.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no rows are known, which is never the case because the own row is always known.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }
}

//! The protocol's state machine. Its caller passes in packets and the time, and sends the packets that come out.

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

/// Another front, as the member list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its member id.
    pub id: MemberId,
    /// Where it receives packets.
    pub address: SocketAddr,
    /// Its zone, as it announced it.
    pub zone: Zone,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A packet came from this address.
    Received(SocketAddr, Packet),
    /// The other fronts that are members now.
    Peers(Vec<Peer>),
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The packet is to be sent to this address. It may be lost.
    Send(SocketAddr, Packet),
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Packets sent.
    pub sent_packets: u64,
    /// Their bytes, by [`Packet::max_encoded_len`].
    pub sent_bytes: u64,
    /// Packets that were not sent, as the bytes of the second were used up.
    pub throttled_packets: u64,
    /// Received rows that were newer than the known ones.
    pub accepted_rows: u64,
    /// Received packets that answer no request, are late, or come from no peer.
    pub unsolicited_packets: u64,
    /// Received rows and lists of digests that are invalid.
    pub invalid_rows: u64,
    /// Received rows of unknown members, or for which there is no room.
    pub rejected_rows: u64,
    /// Received versions of the own row that this front did not write.
    pub forged_own_rows: u64,
    /// Rows that were dropped, as their fronts are gone.
    pub expired_rows: u64,
}

/// The rows of all fronts, as one front knows and disseminates them.
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
    /// Limits the bytes that are sent.
    send_budget: TokenBucket,
    counters: Counters,
}

impl Gossip {
    /// A front that knows its own empty row alone. `id` is drawn anew by each process. `now` belongs to the clock of all later
    /// inputs.
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

    /// Injects a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: Fault) {
        self.table.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.table.fault == Some(fault)
    }

    /// This front's member id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Writes a section of the own row. It is sent in the next rounds; of several writes between two rounds the last counts.
    ///
    /// # Errors
    /// The row would be too long. It stays as it was.
    pub fn write_section(
        &mut self,
        now: Duration,
        kind: SectionKind,
        bytes: Vec<u8>,
    ) -> Result<(), RowTooLong> {
        self.now = self.now.max(now);
        self.table.write_section(kind, bytes, self.now)
    }

    /// Sets this front's number among the fronts.
    pub fn set_front_number(&mut self, now: Duration, front_number: Option<u16>) {
        self.now = self.now.max(now);
        self.table.set_front_number(front_number, self.now);
    }

    /// All known rows, the own one included.
    pub fn rows(&self, now: Duration) -> impl Iterator<Item = RowView<'_>> {
        self.table.views(now.max(self.now))
    }

    /// The known row of a member.
    pub fn row(&self, now: Duration, member: MemberId) -> Option<RowView<'_>> {
        self.table.view(member, now.max(self.now))
    }

    /// The peer with this id.
    pub fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// When [`Gossip::handle`] is to be called next, if no packet comes before.
    pub fn next_deadline(&self) -> Duration {
        self.next_round_at
    }

    /// Handles an input and whatever is due. `now` never goes back.
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

    /// Starts an exchange with some random peers.
    fn run_round(&mut self, out: &mut Vec<Output>) {
        // The interval varies, so that fronts that were started together do not stay in step.
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

    /// The number of a request that is sent now. It is random, so that only whoever gets the request can answer it.
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

    /// Number of known rows, the own one included.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no rows are known: never, as the own row always is.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }
}

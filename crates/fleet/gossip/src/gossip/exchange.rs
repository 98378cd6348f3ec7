//! An exchange of rows between two fronts: digests, then versions, then the rows that are newer at either of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beechloft_membership::MemberId;
use rand::RngExt;

use super::{Gossip, Output};
use crate::fault_injection::Fault;
use crate::messages::{
    BUCKETS, MAX_PACKET_BYTES, MAX_ROW_VERSION_LEN, MAX_VERSION, MemberKey, Message, Packet, ROWS_OVERHEAD,
    RowDelta, RowVersion, VERSIONS_OVERHEAD,
};
use crate::row_table::{MergeOutcome, bucket};

/// Maximum number of packets of an answer. The versions of all rows fit into them.
const MAX_ANSWER_PACKETS: usize = 24;
/// Maximum number of versions in a packet.
const MAX_VERSIONS: usize = (MAX_PACKET_BYTES - VERSIONS_OVERHEAD) / MAX_ROW_VERSION_LEN;

/// The front to which an answer is sent.
#[derive(Debug, Clone, Copy)]
struct Receiver {
    address: SocketAddr,
    id: MemberId,
}

/// A row of which another front knows only an older version, or none.
#[derive(Debug, Clone, Copy)]
struct OutdatedRow {
    member: MemberId,
    /// The version that the other front knows.
    known: u64,
}

/// The content of a packet with [`Message::Versions`].
#[derive(Debug, Default)]
struct VersionsBatch {
    complete_buckets: u32,
    versions: Vec<RowVersion>,
}

impl VersionsBatch {
    fn has_capacity_for(&self, versions: usize) -> bool {
        self.versions.len() + versions <= MAX_VERSIONS
    }

    fn is_empty(&self) -> bool {
        self.complete_buckets == 0 && self.versions.is_empty()
    }
}

impl Gossip {
    pub(super) fn receive(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Output>) {
        let Packet { from: sender, to, message } = packet;
        // Keeps a forged packet from making this front send answers to an address that is not a front's.
        let is_peer = self.peers.get(&sender).is_some_and(|peer| peer.address == from);
        if to != self.id || !is_peer {
            self.counters.unsolicited_packets += 1;
            return;
        }
        self.handle_message(Receiver { address: from, id: sender }, message, out);
    }

    fn handle_message(&mut self, sender: Receiver, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::CompareDigests { seq, digests } => self.answer_digests(sender, seq, &digests, out),
            Message::Versions { in_reply_to, seq, complete_buckets, versions } => {
                if self.request_sent_at(in_reply_to, sender.address).is_some() {
                    self.answer_versions(sender, seq, complete_buckets, &versions, out);
                }
            }
            Message::RequestRows { seq, versions } => {
                let outdated = |version: &RowVersion| OutdatedRow {
                    member: MemberId::from(version.member),
                    known: version.version,
                };
                let rows: Vec<OutdatedRow> = versions.iter().map(outdated).collect();
                self.send_rows(sender, seq, &rows, out);
            }
            Message::Rows { in_reply_to, rows } => {
                if let Some(requested_at) = self.request_sent_at(in_reply_to, sender.address) {
                    rows.into_iter().for_each(|row| self.merge_row(row, requested_at));
                }
            }
        }
    }

    /// Returns the time at which the request was sent that a packet from this address answers, or `None` if there is no such request.
    fn request_sent_at(&mut self, seq: u64, from: SocketAddr) -> Option<Duration> {
        let sent_at = self.requests.sent_at(seq, from, self.now);
        if sent_at.is_none() && self.has_fault(Fault::AcceptsUnsolicited) {
            return Some(self.now);
        }
        if sent_at.is_none() {
            self.counters.unsolicited_packets += 1;
        }
        sent_at
    }

    /// Sends the versions of buckets whose digests differ.
    fn answer_digests(&mut self, to: Receiver, in_reply_to: u64, theirs: &[[u8; 8]], out: &mut Vec<Output>) {
        if theirs.len() != BUCKETS {
            self.counters.invalid_rows += 1;
            return;
        }
        let first_bucket = self.rng.random_range(0..BUCKETS);
        for batch in self.versions_of_differing_buckets(theirs, first_bucket) {
            let seq = self.next_request(to.address);
            let VersionsBatch { complete_buckets, versions } = batch;
            let message = Message::Versions { in_reply_to, seq, complete_buckets, versions };
            self.send(to.address, to.id, message, out);
        }
    }

    fn versions_of_differing_buckets(&self, theirs: &[[u8; 8]], first_bucket: usize) -> Vec<VersionsBatch> {
        let mut batches = Vec::new();
        let mut batch = VersionsBatch::default();
        for index in (0..BUCKETS).map(|offset| (first_bucket + offset) % BUCKETS) {
            if !theirs.get(index).is_some_and(|digest| self.table.differs(index, digest)) {
                continue;
            }
            let mut versions: Vec<RowVersion> = self.table.versions_in(index).collect();
            // A bucket with more rows than fit into a packet is listed in part. Only deliberately chosen member ids lead to one.
            let is_complete = versions.len() <= MAX_VERSIONS;
            versions.truncate(MAX_VERSIONS);
            if !batch.has_capacity_for(versions.len()) {
                batches.push(std::mem::take(&mut batch));
                if batches.len() >= MAX_ANSWER_PACKETS {
                    return batches;
                }
            }
            batch.versions.extend(versions);
            if is_complete {
                batch.complete_buckets |= 1 << index;
            }
        }
        if !batch.is_empty() {
            batches.push(batch);
        }
        batches
    }

    /// Sends the rows that are newer at this front, and requests those that are newer at the sender.
    fn answer_versions(
        &mut self,
        sender: Receiver,
        seq: u64,
        complete_buckets: u32,
        versions: &[RowVersion],
        out: &mut Vec<Output>,
    ) {
        let theirs: BTreeMap<MemberId, u64> =
            versions.iter().map(|version| (MemberId::from(version.member), version.version)).collect();
        let newer_here = self.rows_newer_than(&theirs, complete_buckets);
        self.send_rows(sender, seq, &newer_here, out);
        if let Some(version) = theirs.get(&self.id).copied() {
            self.check_own_version(version);
        }
        if !self.has_fault(Fault::NoPull) {
            self.request_newer_rows(sender, &theirs, out);
        }
    }

    fn rows_newer_than(&self, theirs: &BTreeMap<MemberId, u64>, complete_buckets: u32) -> Vec<OutdatedRow> {
        let mut newer = Vec::new();
        for member in self.table.members() {
            let listed = theirs.get(&member).copied();
            let is_compared = listed.is_some() || complete_buckets & (1 << bucket(member)) != 0;
            let known = listed.unwrap_or(0);
            if is_compared && self.table.version(member) > known {
                newer.push(OutdatedRow { member, known });
            }
        }
        newer
    }

    fn request_newer_rows(
        &mut self,
        sender: Receiver,
        theirs: &BTreeMap<MemberId, u64>,
        out: &mut Vec<Output>,
    ) {
        let is_newer = |member: &MemberId, version: u64| {
            *member != self.id
                && version > self.table.version(*member)
                && version <= MAX_VERSION
                && self.is_known(*member)
        };
        let versions: Vec<RowVersion> = theirs
            .iter()
            .filter(|(member, version)| is_newer(member, **version))
            .map(|(member, _)| RowVersion {
                member: MemberKey::from(*member),
                version: self.table.version(*member),
            })
            .collect();
        if !versions.is_empty() {
            let seq = self.next_request(sender.address);
            self.send(sender.address, sender.id, Message::RequestRows { seq, versions }, out);
        }
    }

    /// Returns whether a member's row may be accepted.
    fn is_known(&self, member: MemberId) -> bool {
        self.table.contains(member) || self.peers.contains_key(&member)
    }

    /// Sends the changes of rows since the versions that the receiver knows.
    fn send_rows(&mut self, to: Receiver, in_reply_to: u64, outdated: &[OutdatedRow], out: &mut Vec<Output>) {
        // The first row is drawn at random, so that a truncated answer leaves out different rows each time.
        let first = if outdated.is_empty() { 0 } else { self.rng.random_range(0..outdated.len()) };
        let in_order = outdated.iter().cycle().skip(first).take(outdated.len());
        let deltas = in_order.filter_map(|row| self.table.delta(row.member, row.known, self.now));
        for rows in split_into_packets(deltas) {
            self.send(to.address, to.id, Message::Rows { in_reply_to, rows }, out);
        }
    }

    /// Checks a received version of the own row. A version that this front did not write is forged, and is overwritten.
    fn check_own_version(&mut self, version: u64) {
        if version > self.table.version(self.id) && version < MAX_VERSION {
            self.counters.forged_own_rows += 1;
            self.table.bump(version, self.now);
        }
    }

    fn merge_row(&mut self, row: RowDelta, requested_at: Duration) {
        let member = MemberId::from(row.member);
        if !row.is_valid() {
            self.counters.invalid_rows += 1;
        } else if member == self.id {
            self.check_own_version(row.version);
        } else if !self.is_known(member) {
            self.counters.rejected_rows += 1;
        } else {
            match self.table.merge(row, requested_at, self.now) {
                MergeOutcome::Accepted => self.counters.accepted_rows += 1,
                MergeOutcome::Full => self.counters.rejected_rows += 1,
                MergeOutcome::Stale | MergeOutcome::Gap => {}
            }
        }
    }
}

fn split_into_packets(deltas: impl Iterator<Item = RowDelta>) -> Vec<Vec<RowDelta>> {
    let (mut packets, mut rows, mut bytes) = (Vec::new(), Vec::new(), ROWS_OVERHEAD);
    for delta in deltas {
        if bytes + delta.max_encoded_len() > MAX_PACKET_BYTES {
            packets.push(std::mem::take(&mut rows));
            bytes = ROWS_OVERHEAD;
            if packets.len() >= MAX_ANSWER_PACKETS {
                return packets;
            }
        }
        bytes += delta.max_encoded_len();
        rows.push(delta);
    }
    if !rows.is_empty() {
        packets.push(rows);
    }
    packets
}

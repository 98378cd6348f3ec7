//! The machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use beechloft_membership::{MemberId, Zone};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::planted::Fault;
use crate::settings::Settings;
use crate::table::{RowView, Table, Taken, TooLong, part};
use crate::words::{Delta, Entry, Kind, MOST_PACKET, MOST_VERSION, PARTS, Packet, Said};

/// An answer that comes later than this after its question is not taken.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// Questions that are remembered, at most.
const MOST_ASKS: usize = 512;
/// Packets that one answer has at most: all rows' versions fit in.
const MOST_ANSWER: usize = 24;

/// Another front, as the roster has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its life.
    pub id: MemberId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone, as it said when it joined.
    pub zone: Zone,
}

/// What the machine hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A packet, and where it came from.
    Heard(SocketAddr, Packet),
    /// The fronts that are there now, by the roster, without this one.
    Peers(Vec<Peer>),
}

/// What it wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// To be sent there; it may be lost.
    Send(SocketAddr, Packet),
}

/// What happened so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets sent.
    pub packets: u64,
    /// Their bytes, by [`Packet::bytes`].
    pub bytes: u64,
    /// Packets not sent, as the bytes of the second were used up.
    pub held: u64,
    /// Rows taken in that were newer.
    pub taken: u64,
    /// Packets that nobody asked for, of nobody that is known, or late.
    pub unasked: u64,
    /// Rows that make no sense.
    pub nonsense: u64,
    /// Rows of lives that are no members, or for which there is no room.
    pub refused: u64,
    /// Times that somebody said of the own row what this front did not write.
    pub forged: u64,
    /// Rows dropped, as their fronts are gone.
    pub forgotten: u64,
}

#[derive(Debug, Clone, Copy)]
struct Ask {
    whom: SocketAddr,
    at: Duration,
}

/// A front's rows.
#[derive(Debug)]
pub struct Spread {
    id: MemberId,
    set: Settings,
    table: Table,
    peers: BTreeMap<MemberId, Peer>,
    asks: BTreeMap<u64, Ask>,
    rng: ChaCha8Rng,
    now: Duration,
    round_at: Duration,
    /// Bytes that may be sent now.
    purse: f64,
    filled_at: Duration,
    counts: Counts,
}

impl Spread {
    /// A front that knows its own empty row. `id` is drawn anew by each process; `now` is the clock of all later inputs.
    pub fn new(id: MemberId, set: Settings, seed: u64, now: Duration) -> Spread {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ id.0);
        let first = set.round.mul_f64(rng.random_range(0.0..1.0));
        Spread {
            id,
            set,
            table: Table::new(id, set, now),
            peers: BTreeMap::new(),
            asks: BTreeMap::new(),
            rng,
            now,
            round_at: now + first,
            purse: f64::from(set.bytes),
            filled_at: now,
            counts: Counts::default(),
        }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.table.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.table.fault == Some(fault)
    }

    /// Whose rows they are.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How it spreads.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Writes a section of the own row; it goes out with the next rounds. Written often, only the last counts.
    ///
    /// # Errors
    /// The row would be too long; it stays as it was.
    pub fn write(&mut self, now: Duration, kind: Kind, bytes: Vec<u8>) -> Result<(), TooLong> {
        self.now = self.now.max(now);
        self.table.write(kind, bytes, self.now).map(|_| ())
    }

    /// The own number among the fronts.
    pub fn number(&mut self, now: Duration, number: Option<u16>) {
        self.now = self.now.max(now);
        self.table.number(number, self.now);
    }

    /// All rows that are known, the own one among them.
    pub fn rows(&self, now: Duration) -> impl Iterator<Item = RowView<'_>> {
        self.table.views(now.max(self.now))
    }

    /// A row.
    pub fn row(&self, now: Duration, life: MemberId) -> Option<RowView<'_>> {
        self.table.view(life, now.max(self.now))
    }

    /// The front of this life, if the roster has it.
    pub fn peer(&self, life: MemberId) -> Option<&Peer> {
        self.peers.get(&life)
    }

    /// When it wants to hear of the time next.
    pub fn next_due(&self) -> Duration {
        self.round_at
    }

    /// Takes an input. `now` never goes back.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        let mut out = Vec::new();
        match input {
            Input::Tick => {}
            Input::Peers(peers) => self.peers = peers.into_iter().map(|p| (p.id, p)).collect(),
            Input::Heard(from, packet) => self.heard(from, packet, &mut out),
        }
        if self.now >= self.round_at {
            self.round(&mut out);
        }
        out
    }

    fn round(&mut self, out: &mut Vec<Output>) {
        // By chance a little earlier or later, so that fronts started together do not stay in step.
        self.round_at = self.now + self.set.round.mul_f64(self.rng.random_range(0.9..1.1));
        self.counts.forgotten += self.table.forget(self.now) as u64;
        let now = self.now;
        self.asks.retain(|_, a| now.saturating_sub(a.at) <= ANSWER_WITHIN);
        if now.saturating_sub(self.table.bumped_at()) >= self.set.refresh {
            self.table.bump(0, now);
        }
        let mut ids: Vec<MemberId> = self.peers.keys().copied().collect();
        let (chosen, _) = ids.partial_shuffle(&mut self.rng, self.set.peers);
        for id in chosen.iter().copied() {
            let Some(address) = self.peers.get(&id).map(|p| p.address) else { continue };
            let seq = self.ask(address);
            let parts = self.table.parts();
            self.send(address, id, Said::Compare { seq, parts }, out);
        }
    }

    /// A number for a question that leaves now.
    fn ask(&mut self, whom: SocketAddr) -> u64 {
        if self.asks.len() >= MOST_ASKS
            && let Some(oldest) = self.asks.iter().min_by_key(|(_, a)| a.at).map(|(seq, _)| *seq)
        {
            self.asks.remove(&oldest);
        }
        // Drawn, so that nobody who was not asked can answer it.
        let seq = self.rng.random();
        self.asks.insert(seq, Ask { whom, at: self.now });
        seq
    }

    fn send(&mut self, at: SocketAddr, to: MemberId, said: Said, out: &mut Vec<Output>) {
        let packet = Packet { from: self.id, to, said };
        let passed = self.now.saturating_sub(self.filled_at).as_secs_f64();
        let full = f64::from(self.set.bytes);
        self.purse = (self.purse + passed * full).min(full);
        self.filled_at = self.now;
        let bytes = packet.bytes();
        if self.purse < bytes as f64 {
            self.counts.held += 1;
            return;
        }
        self.purse -= bytes as f64;
        self.counts.packets += 1;
        self.counts.bytes += bytes as u64;
        out.push(Output::Send(at, packet));
    }

    /// Whether it answers a question of this one's to that address.
    fn answers(&mut self, seq: u64, from: SocketAddr) -> Option<Duration> {
        let asked = self.asks.get(&seq).filter(|a| a.whom == from).map(|a| a.at);
        let asked = asked.filter(|at| self.now.saturating_sub(*at) <= ANSWER_WITHIN);
        if asked.is_none() && self.planted(Fault::TakesUnasked) {
            return Some(self.now);
        }
        if asked.is_none() {
            self.counts.unasked += 1;
        }
        asked
    }

    fn heard(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Output>) {
        let Packet { from: id, to, said } = packet;
        // Guards against whoever has others answer to an address that is no front's.
        let known = self.peers.get(&id).is_some_and(|p| p.address == from);
        if to != self.id || !known {
            self.counts.unasked += 1;
            return;
        }
        match said {
            Said::Compare { seq, parts } => self.compared(from, id, seq, &parts, out),
            Said::Digest { answers, seq, parts, entries } => {
                if self.answers(answers, from).is_some() {
                    self.digested(from, id, seq, parts, &entries, out);
                }
            }
            Said::Want { seq, entries } => {
                let wanted: Vec<(MemberId, u64)> =
                    entries.iter().map(|e| (e.life.into(), e.version)).collect();
                self.tell(from, id, seq, &wanted, out);
            }
            Said::Rows { answers, rows } => {
                if let Some(asked) = self.answers(answers, from) {
                    rows.into_iter().for_each(|row| self.take(row, asked));
                }
            }
        }
    }

    /// Names the versions of the parts that differ; each packet is a question of its own, for what is newer there.
    fn compared(
        &mut self,
        at: SocketAddr,
        id: MemberId,
        answers: u64,
        theirs: &[[u8; 8]],
        out: &mut Vec<Output>,
    ) {
        if theirs.len() != PARTS {
            self.counts.nonsense += 1;
            return;
        }
        let first = self.rng.random_range(0..PARTS);
        let (mut bits, mut entries, mut packets) = (0u32, Vec::new(), 0);
        let fits = |entries: usize| 58 + 18 * entries <= MOST_PACKET;
        for n in (0..PARTS).map(|n| (first + n) % PARTS) {
            if !theirs.get(n).is_some_and(|t| self.table.differs(n, t)) {
                continue;
            }
            let mut of: Vec<Entry> = self.table.entries(n).collect();
            // More than a packet in one part: only whoever draws lives on purpose gets there. Named in part.
            let whole = fits(of.len());
            of.truncate((MOST_PACKET - 58) / 18);
            if !fits(entries.len() + of.len()) {
                self.digest(at, id, answers, &mut bits, &mut entries, out);
                packets += 1;
                if packets >= MOST_ANSWER {
                    return;
                }
            }
            entries.extend(of);
            if whole {
                bits |= 1 << n;
            }
        }
        if bits != 0 || !entries.is_empty() {
            self.digest(at, id, answers, &mut bits, &mut entries, out);
        }
    }

    fn digest(
        &mut self,
        at: SocketAddr,
        id: MemberId,
        answers: u64,
        bits: &mut u32,
        entries: &mut Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let seq = self.ask(at);
        let (parts, entries) = (std::mem::take(bits), std::mem::take(entries));
        self.send(at, id, Said::Digest { answers, seq, parts, entries }, out);
    }

    /// Says what is newer here, and asks for what is newer there.
    fn digested(
        &mut self,
        at: SocketAddr,
        id: MemberId,
        seq: u64,
        parts: u32,
        theirs: &[Entry],
        out: &mut Vec<Output>,
    ) {
        let theirs: BTreeMap<MemberId, u64> = theirs.iter().map(|e| (e.life.into(), e.version)).collect();
        let mut newer: Vec<(MemberId, u64)> = Vec::new();
        for life in self.table.lives() {
            let known = theirs.get(&life).copied();
            let named = known.is_some() || parts & (1 << part(life)) != 0;
            if named && self.table.version(life) > known.unwrap_or(0) {
                newer.push((life, known.unwrap_or(0)));
            }
        }
        self.tell(at, id, seq, &newer, out);
        let own = self.id;
        if let Some(version) = theirs.get(&own).copied() {
            self.said_of_own(version);
        }
        if self.planted(Fault::NoPull) {
            return;
        }
        let lacks = theirs.iter().filter(|(life, version)| {
            **life != own
                && **version > self.table.version(**life)
                && **version <= MOST_VERSION
                && (self.table.knows(**life) || self.peers.contains_key(*life))
        });
        let wanted: Vec<Entry> = lacks
            .map(|(life, _)| Entry { life: (*life).into(), version: self.table.version(*life) })
            .collect();
        if !wanted.is_empty() {
            let seq = self.ask(at);
            self.send(at, id, Said::Want { seq, entries: wanted }, out);
        }
    }

    /// Says what changed of rows since the versions that another knows.
    fn tell(
        &mut self,
        at: SocketAddr,
        id: MemberId,
        seq: u64,
        wanted: &[(MemberId, u64)],
        out: &mut Vec<Output>,
    ) {
        let (mut rows, mut bytes, mut packets): (Vec<Delta>, usize, usize) = (Vec::new(), 33, 0);
        let start = if wanted.is_empty() { 0 } else { self.rng.random_range(0..wanted.len()) };
        for (life, since) in wanted.iter().cycle().skip(start).take(wanted.len()) {
            let Some(delta) = self.table.delta(*life, *since, self.now) else { continue };
            if bytes + delta.bytes() > MOST_PACKET {
                let said = Said::Rows { answers: seq, rows: std::mem::take(&mut rows) };
                self.send(at, id, said, out);
                (bytes, packets) = (33, packets + 1);
                if packets >= MOST_ANSWER {
                    return;
                }
            }
            bytes += delta.bytes();
            rows.push(delta);
        }
        if !rows.is_empty() {
            self.send(at, id, Said::Rows { answers: seq, rows }, out);
        }
    }

    /// Somebody says that the own row has this version. If it is above, it was not written here: it is overwritten.
    fn said_of_own(&mut self, version: u64) {
        if version > self.table.version(self.id) && version < MOST_VERSION {
            self.counts.forged += 1;
            self.table.bump(version, self.now);
        }
    }

    fn take(&mut self, row: Delta, asked: Duration) {
        let life = MemberId::from(row.life);
        if !row.sound() {
            self.counts.nonsense += 1;
        } else if life == self.id {
            self.said_of_own(row.version);
        } else if !self.table.knows(life) && !self.peers.contains_key(&life) {
            self.counts.refused += 1;
        } else {
            match self.table.take(row, asked, self.now) {
                Taken::New => self.counts.taken += 1,
                Taken::Full => self.counts.refused += 1,
                Taken::Old | Taken::Gap => {}
            }
        }
    }

    /// Rows that are known, the own one among them.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether nothing is known: never, as the own row always is.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }
}

//! Words between processes of a fleet, behind bounds: a head, a checksum, a body.

use std::io::{self, Read};

use beechloft_consensus::{Message, NodeId};
use beechloft_leases::{Name, Request, Response};
use beechloft_membership::Packet;
use beechloft_topic::{Position, Said, Told, TopicHeard, TopicRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a body.
pub const MOST: usize = 1 << 20;
/// Bytes of a datagram between members, head and all.
pub const MOST_DATAGRAM: usize = 1_432;
const MAGIC: [u8; 4] = *b"blft";
/// 2: snapshots go from keeper to keeper in pieces, and the log has topics.
const VERSION: u16 = 2;
pub(crate) const HEAD: usize = 22;

/// A grant, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseLine {
    /// The task.
    pub name: String,
    /// Holders at once at most.
    pub places: u16,
    /// The grant's place among those of its task.
    pub place: u16,
    /// The grant's token.
    pub token: u64,
    /// Whose.
    pub holder: u64,
    /// For how long each time, milliseconds.
    pub ttl_ms: u32,
    /// How often it was renewed.
    pub renewals: u64,
}

/// A grant that was made or has ended, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeLine {
    /// The task.
    pub name: String,
    /// The grant's token.
    pub token: u64,
    /// `granted`, `released`, `expired`, or `left`: its place is kept for the next one of its seat.
    pub what: String,
    /// Whose, if it was granted.
    pub holder: Option<u64>,
    /// The same holder's grant that ended with this one's making, if it had one.
    pub before: Option<u64>,
}

/// A member, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Its id.
    pub id: String,
    /// Where it is reached.
    pub address: String,
    /// It votes.
    pub voter: bool,
}

/// How a keeper stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusLine {
    /// Its id.
    pub id: String,
    /// Its role.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader's id, as far as it knows.
    pub leader: Option<String>,
    /// Committed, as far as it knows.
    pub commit: u64,
    /// The last entry of its log.
    pub last: u64,
    /// The members, as it knows them.
    pub members: Vec<MemberLine>,
    /// Connections dropped for words that could not be read.
    pub refused_words: u64,
    /// For how long it may not have had all that was committed, milliseconds.
    pub silent_ms: u64,
    /// Bytes told to subscribers.
    pub told_bytes: u64,
    /// The topics as far as it has applied them.
    pub topics: Vec<TopicLine>,
}

/// A topic at a keeper, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicLine {
    /// Its name.
    pub name: String,
    /// The offset that the next message gets.
    pub head: u64,
    /// Deletions below it are not remembered.
    pub horizon: u64,
    /// Keys that have a value.
    pub keys: u64,
    /// Bytes of keys and latest values.
    pub bytes: u64,
    /// Bytes that this keeper holds for them.
    pub held_bytes: u64,
    /// Subscribers at this keeper.
    pub subscribers: u64,
}

/// A word.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A keeper says who it is.
    Hello {
        /// The id drawn with its folder.
        id: NodeId,
        /// Where it listens.
        listen: String,
        /// It has been a member of a group.
        formed: bool,
    },
    /// For the log's machine.
    Peer(Message),
    /// A holder's request.
    Ask(Request),
    /// What became of it.
    Heard(Response),
    /// This keeper does not lead; where the one is that does, if it knows.
    NotLeader(Option<String>),
    /// All grants, please.
    List,
    /// All grants.
    Listed(Vec<LeaseLine>),
    /// How do you stand?
    Status,
    /// So.
    StatusIs(StatusLine),
    /// A keeper that lost its disk is let go, and the one that came up in its place is let in.
    Replace {
        /// The one that was lost.
        old: NodeId,
        /// The one in its place.
        new: NodeId,
    },
    /// The lost one's removal is in the log, or why not.
    Replacing(Result<(), String>),
    /// All grants, please, and then each that is made or ends; of one task or of all.
    Watch(Option<Name>),
    /// A grant was made or has ended.
    Changed(ChangeLine),
    /// Whom do you see?
    Members,
    /// These; none: it is no member itself, as its settings name no seeds.
    MembersAre(Option<Vec<SeenLine>>),
    /// A publisher's request.
    Publish(TopicRequest),
    /// What became of it.
    TopicHeard(TopicHeard),
    /// The latest of each key of a topic, please, and then each message; in place of what this connection asked for before.
    Subscribe {
        /// The number of the subscription.
        feed: u64,
        /// Of which topic.
        topic: Name,
        /// How far the subscriber is.
        from: Option<Position>,
        /// Bytes that it may be told.
        allow: u64,
    },
    /// So many bytes in all may be told.
    Allow {
        /// To this subscription.
        feed: u64,
        /// From its first on.
        total: u64,
    },
    /// What a subscription is told.
    Told(Told),
    /// A command for the placement: a front's right, a customer's change, an operator's word, a step of the worker's.
    Place {
        /// By which its answer is matched.
        number: u64,
        /// What.
        command: Box<beechloft_placement::Command>,
    },
    /// What became of it.
    Placed {
        /// Of which.
        number: u64,
        /// What.
        answer: beechloft_placement::Answer,
    },
    /// A front's request of the ledger of limits.
    Limit(beechloft_quotas::Request),
    /// What became of it.
    LimitHeard(beechloft_quotas::Heard),
}

/// Why a word could not be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection.
    #[error("the connection: {0}")]
    Io(#[from] io::Error),
    /// No word of this protocol, or another version of it.
    #[error("not a word of this version")]
    Version,
    /// Of another fleet.
    #[error("a word of another fleet")]
    Fleet,
    /// Past the bound.
    #[error("a word of {0} bytes")]
    Long(usize),
    /// A wrong checksum, or nothing that makes sense.
    #[error("a word that makes no sense")]
    Nonsense,
}

impl WireError {
    /// Whether it was read in full and refused.
    pub fn refused(&self) -> bool {
        !matches!(self, WireError::Io(_))
    }
}

/// A member of the fleet as another one sees it, for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenLine {
    /// Its id, drawn at its start.
    pub id: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// `front` or `keeper`.
    pub kind: String,
    /// `alive`, `suspected`, `gone` or `left`.
    pub life: String,
    /// For how long so, as the one asked saw it, milliseconds.
    pub since_ms: u64,
    /// For how long it is known there at all, milliseconds.
    pub known_ms: u64,
    /// How often it refuted what was said of it.
    pub incarnation: u64,
    /// It is the one that was asked.
    pub asked: bool,
    /// Datagrams that the one asked has sent since its start, rows not counted; of others it is not known.
    pub sent: u64,
    /// Their bytes, heads of UDP and IP counted.
    pub sent_bytes: u64,
}

/// The bytes of a word; none: past the bound.
pub fn encode(fleet: u64, word: &Word) -> Option<Vec<u8>> {
    framed(MAGIC, fleet, word, MOST)
}

/// The bytes of a packet between members; none: past the bound, which no machine's packet is.
pub fn datagram(fleet: u64, packet: &Packet) -> Option<Vec<u8>> {
    framed(MAGIC, fleet, packet, MOST_DATAGRAM - HEAD)
}

/// Reads a packet, which is all of a datagram.
///
/// # Errors
/// Whatever is said in [`WireError`]; it is dropped then.
pub fn read_datagram(fleet: u64, mut bytes: &[u8]) -> Result<Packet, WireError> {
    let packet = unframed(MAGIC, fleet, &mut bytes)?;
    if bytes.is_empty() { Ok(packet) } else { Err(WireError::Nonsense) }
}

/// What a subscription is told, as it stands in a word; the same for all that are told the same.
pub(crate) fn said(said: &Said) -> Vec<u8> {
    // Values that have a length beforehand always have bytes.
    postcard::to_allocvec(said).unwrap_or_default()
}

/// The bytes of [`Word::Told`] with what [`said`] made: feed, applied and silence come before it.
pub(crate) fn told(fleet: u64, (feed, applied, silent_ms): (u64, u64, u32), said: &[u8]) -> Vec<u8> {
    let still = Word::Told(Told { feed, applied, silent_ms, said: Said::Still });
    let mut body = postcard::to_allocvec(&still).unwrap_or_default();
    // The last byte says that nothing is said: it is the number of the kind.
    body.pop();
    body.extend_from_slice(said);
    head(MAGIC, fleet, body)
}

pub(crate) fn framed(magic: [u8; 4], fleet: u64, what: &impl Serialize, most: usize) -> Option<Vec<u8>> {
    let body = postcard::to_allocvec(what).ok().filter(|b| b.len() <= most)?;
    Some(head(magic, fleet, body))
}

/// A body behind its head.
fn head(magic: [u8; 4], fleet: u64, body: Vec<u8>) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(&magic);
    out.extend_from_slice(&VERSION.to_be_bytes());
    out.extend_from_slice(&fleet.to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    out.extend_from_slice(&body);
    out
}

/// Reads a word.
///
/// # Errors
/// Whatever is said in [`WireError`]; the connection is of no more use then.
pub fn read(fleet: u64, from: &mut impl Read) -> Result<Word, WireError> {
    unframed(MAGIC, fleet, from)
}

pub(crate) fn unframed<T: DeserializeOwned>(
    magic: [u8; 4],
    fleet: u64,
    from: &mut impl Read,
) -> Result<T, WireError> {
    let mut head = [0; HEAD];
    from.read_exact(&mut head)?;
    let part = |at: usize, n: usize| head[at..at + n].iter().fold(0u64, |v, b| (v << 8) | u64::from(*b));
    if head[..4] != magic || part(4, 2) != u64::from(VERSION) {
        return Err(WireError::Version);
    }
    if part(6, 8) != fleet {
        return Err(WireError::Fleet);
    }
    let (length, sum) = (part(14, 4) as usize, part(18, 4) as u32);
    if length > MOST {
        return Err(WireError::Long(length));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    if crc32fast::hash(&body) != sum {
        return Err(WireError::Nonsense);
    }
    postcard::from_bytes(&body).map_err(|_| WireError::Nonsense)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_made_once_for_many_is_read_as_any_word_is() {
        use beechloft_topic::Offset;
        for what in [Said::Still, Said::Behind { head: Offset(9) }, Said::Anew { life: 1, base: Offset(300) }]
        {
            let bytes = told(9, (7, 300, 1_000), &said(&what));
            let word = Word::Told(Told { feed: 7, applied: 300, silent_ms: 1_000, said: what });
            assert_eq!(Some(&bytes), encode(9, &word).as_ref());
            assert_eq!(read(9, &mut &bytes[..]).expect("sound"), word);
        }
    }

    #[test]
    fn a_word_is_read_as_it_was_written_and_nothing_else_is() {
        let word = Word::Hello { id: NodeId(7), listen: "127.0.0.1:1".into(), formed: true };
        let bytes = encode(9, &word).expect("short");
        assert_eq!(read(9, &mut &bytes[..]).expect("sound"), word);
        assert!(matches!(read(8, &mut &bytes[..]), Err(WireError::Fleet)));
        // Every cut and every flipped bit is an error, never another word.
        for cut in 0..bytes.len() {
            assert!(matches!(read(9, &mut &bytes[..cut]), Err(WireError::Io(_))), "{cut}");
        }
        for bit in 0..bytes.len() * 8 {
            let mut bad = bytes.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert!(read(9, &mut &bad[..]).is_err(), "bit {bit}");
        }
        let mut long = bytes.clone();
        long[14..18].copy_from_slice(&u32::MAX.to_be_bytes());
        assert!(matches!(read(9, &mut &long[..]), Err(WireError::Long(_))));
        assert_eq!(encode(9, &Word::NotLeader(Some("x".repeat(MOST)))), None);
    }

    #[test]
    fn a_packet_is_read_as_it_was_written_and_nothing_else_is() {
        use beechloft_membership::{Digests, MemberId, Message};
        let message = Message::CompareDigests { digests: Digests(vec![u64::MAX; 64]), is_reply: false };
        let packet = Packet { from: MemberId(7), to: None, message, updates: Vec::new() };
        let bytes = datagram(9, &packet).expect("short");
        assert_eq!(read_datagram(9, &bytes).expect("sound"), packet);
        assert!(matches!(read_datagram(8, &bytes), Err(WireError::Fleet)));
        for bit in 0..bytes.len() * 8 {
            let mut bad = bytes.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            assert!(read_datagram(9, &bad).is_err(), "bit {bit}");
        }
        for cut in 0..bytes.len() {
            assert!(read_datagram(9, &bytes[..cut]).is_err(), "{cut}");
        }
        let more = [&bytes[..], &[0]].concat();
        assert!(matches!(read_datagram(9, &more), Err(WireError::Nonsense)));
    }
}

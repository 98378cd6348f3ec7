//! What a keeper is asked, and what it wants done.

use beechloft_consensus::{Input, LogPosition, Message, RequestError, RequestId};
use beechloft_leases::{Event, Name, Request, Response, Table};
use beechloft_topic::{PublisherId, TopicEvent, TopicHeard, TopicRequest};

/// Whoever asked over one connection, as the shell names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// What a keeper is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaInput {
    /// Only time has passed.
    Tick,
    /// A word of another keeper.
    Peer(Message),
    /// A holder's request.
    LeaseRequest(ClientId, Request),
    /// All grants, as of now.
    ListLeases(ClientId),
    /// All grants, as of now, and from then on each that is made or ends; of one task or of all.
    WatchLeases(ClientId, Option<Name>),
    /// A publisher's request.
    TopicRequest(ClientId, TopicRequest),
    /// There is to be a topic, or it is to have other terms: drawn life, name, terms. Nobody hears of it but by the log.
    DeclareTopic(u64, Name, beechloft_topic::Terms),
    /// A command for the placement, by a number that its answer is matched by.
    PlacementCommand(ClientId, u64, Box<beechloft_placement::Command>),
    /// The placement as of now: once this is answered, the keeper's has all that was committed before.
    ReadPlacement(ClientId, u64),
    /// A front's request of the ledger of limits.
    QuotaRequest(ClientId, beechloft_quotas::Request),
    /// Whoever asked over this connection is gone.
    ClientDisconnected(ClientId),
    /// Anything else for the log's machine: changes of members, the lead handed over.
    Raft(Input),
}

/// What a keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// For another keeper.
    Peer(Message),
    /// For who asked for a lease.
    LeaseResponse(ClientId, Response),
    /// All grants, for who asked for them: the table as of now.
    Leases(ClientId, Table),
    /// What has changed, for the log of this keeper.
    LeaseEvent(Event),
    /// What has changed, for one who watches.
    WatchEvent(ClientId, Event),
    /// One who watches hears nothing here any more, and is to ask the keeper that leads: this one may be cut off.
    WatchEnded(ClientId),
    /// For a publisher.
    TopicResponse(ClientId, TopicHeard),
    /// A publisher's request was not taken: this keeper does not lead, or has too much to do.
    TopicRequestRejected(ClientId, PublisherId, RequestError),
    /// What has changed with the topics.
    TopicEvent(TopicEvent),
    /// What became of a command for the placement, or that the state has all that was committed before it was asked for.
    PlacementResponse(ClientId, u64, beechloft_placement::Answer),
    /// A command or a read was not taken: this keeper does not lead, or has too much to do.
    PlacementRejected(ClientId, u64, RequestError),
    /// What has changed with the placement.
    PlacementEvent(beechloft_placement::Event),
    /// For a front that asked the ledger of limits.
    QuotaResponse(ClientId, beechloft_quotas::Heard),
    /// What has changed with the limits.
    QuotaEvent(beechloft_quotas::Event),
    /// What became of something for the log's machine.
    Raft(RequestId, Result<LogPosition, RequestError>),
}

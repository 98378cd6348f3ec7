//! The outputs of a replica.

use beechloft_consensus::{LogPosition, Message, RequestError, RequestId};
use beechloft_leases::{Event, Response, Table};
use beechloft_topic::{PublisherId, TopicEvent, TopicResponse};

use crate::input::ClientId;

/// An output of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// A consensus message to another replica.
    Peer(Message),
    /// The response to a lease holder. It is also sent to a front node whose quota request was rejected.
    LeaseResponse(ClientId, Response),
    /// All grants as of now, for a client that lists or watches them.
    Leases(ClientId, Table),
    /// A change of the grants, for the log of this process.
    LeaseEvent(Event),
    /// A change of the grants, for a client that watches.
    WatchEvent(ClientId, Event),
    /// The subscription of a client ended, because this replica is no longer the leader and may be cut off.
    WatchEnded(ClientId),
    /// The response to a publisher.
    TopicResponse(ClientId, TopicResponse),
    /// A publisher's request was rejected.
    TopicRequestRejected(ClientId, PublisherId, RequestError),
    /// A change of a topic.
    TopicEvent(TopicEvent),
    /// The outcome of a placement command or read, by its number.
    PlacementResponse(ClientId, u64, beechloft_placement::Answer),
    /// A placement command or read was rejected, by its number.
    PlacementRejected(ClientId, u64, RequestError),
    /// A change of the placement.
    PlacementEvent(beechloft_placement::Event),
    /// The response to a front node's quota request.
    QuotaResponse(ClientId, beechloft_quotas::Response),
    /// A change of the quotas.
    QuotaEvent(beechloft_quotas::Event),
    /// The outcome of a [`ReplicaInput::Raft`](crate::ReplicaInput::Raft) request.
    Raft(RequestId, Result<LogPosition, RequestError>),
}

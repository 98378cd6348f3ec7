//! Outputs of a replica.

use beechloft_consensus::{LogPosition, Message, RequestError, RequestId};
use beechloft_leases::{Event, Response, Table};
use beechloft_topic::{PublisherId, TopicEvent, TopicResponse};

use crate::input::ClientId;

/// An output of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaOutput {
    /// A consensus message to another replica.
    Peer(Message),
    /// The response to a lease holder, or to a front node whose quota request was rejected.
    LeaseResponse(ClientId, Response),
    /// The current grants, for a client that lists or watches them.
    Leases(ClientId, Table),
    /// A change of the grants, for the log file of this process.
    LeaseEvent(Event),
    /// A change of the grants, for a client that watches.
    WatchEvent(ClientId, Event),
    /// The watch of a client ended because this replica is no longer the leader and may be partitioned from the others.
    WatchEnded(ClientId),
    /// The response to a publisher.
    TopicResponse(ClientId, TopicResponse),
    /// A publisher's request was rejected.
    TopicRequestRejected(ClientId, PublisherId, RequestError),
    /// A change of a topic.
    TopicEvent(TopicEvent),
    /// The outcome of a placement command or read, with the number of the request.
    PlacementResponse(ClientId, u64, beechloft_placement::Answer),
    /// A placement command or read was rejected. The number is that of the request.
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

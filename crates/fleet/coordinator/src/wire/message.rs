//! The messages between processes of a fleet.

use beechloft_consensus::{self as consensus, NodeId};
use beechloft_leases::{self as leases, Name};
use beechloft_placement as placement;
use beechloft_quotas as quotas;
use beechloft_topic::{Position, Told, TopicRequest, TopicResponse};
use serde::{Deserialize, Serialize};

use super::reports::{LeaseChange, LeaseInfo, MemberView, ReplicaStatus};

/// A message between processes of a fleet.
///
/// Requests and responses are one enum as the number of a variant is part of the encoding: variants are only ever added at the
/// end. A response follows its request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A replica introduces itself to another.
    Hello {
        /// The id drawn with its store.
        id: NodeId,
        /// Its listen address.
        listen: String,
        /// Whether it has been a member of a group.
        formed: bool,
    },
    /// A message of the consensus protocol between replicas.
    Consensus(consensus::Message),
    /// A holder's request.
    LeaseRequest(leases::Request),
    /// The response to a [`Message::LeaseRequest`]; as `Busy`, to any request that can't be served now.
    LeaseResponse(leases::Response),
    /// The replica does not lead. The address of the leader, if it is known.
    NotLeader(Option<String>),
    /// Asks for all grants.
    ListLeases,
    /// All grants.
    Leases(Vec<LeaseInfo>),
    /// Asks for the state of a replica.
    GetStatus,
    /// The state of the replica.
    Status(ReplicaStatus),
    /// Removes a replica that lost its store and admits the one that has come up in its place.
    ReplaceReplica {
        /// The lost one.
        old: NodeId,
        /// The one in its place.
        new: NodeId,
    },
    /// The lost replica's removal is in the log, or why it was refused.
    ReplaceResult(Result<(), String>),
    /// Asks for all grants and then for each change, of one task or of all.
    WatchLeases(Option<Name>),
    /// A grant was made or has ended.
    LeaseChanged(LeaseChange),
    /// Asks for the members that a process sees.
    GetMembers,
    /// The members; none if the process is no member, as its settings name no seeds.
    Members(Option<Vec<MemberView>>),
    /// A publisher's request.
    Publish(TopicRequest),
    /// The response to a [`Message::Publish`].
    PublishResponse(TopicResponse),
    /// Subscribes to a topic: the latest of each key, then each message. It replaces the connection's earlier subscription.
    Subscribe {
        /// The number of the subscription.
        feed: u64,
        /// The topic.
        topic: Name,
        /// How far the subscriber is; none if it begins anew.
        from: Option<Position>,
        /// Bytes that may be delivered.
        allow: u64,
    },
    /// Flow control: how many bytes may be delivered in all.
    Credit {
        /// The subscription.
        feed: u64,
        /// Bytes since the subscription began.
        total: u64,
    },
    /// What a subscription is sent.
    Delivery(Told),
    /// A command for the placement, from a front, a customer, an operator or the worker.
    PlacementRequest {
        /// Number by which the response is matched.
        number: u64,
        /// The command.
        command: Box<placement::Command>,
    },
    /// The response to a [`Message::PlacementRequest`].
    PlacementResponse {
        /// Number of the request.
        number: u64,
        /// The answer.
        answer: placement::Answer,
    },
    /// A front's request to the quota ledger.
    QuotaRequest(quotas::Request),
    /// The response to a [`Message::QuotaRequest`].
    QuotaResponse(quotas::Response),
}

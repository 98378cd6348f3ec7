//! The messages between processes of a fleet.

use beechloft_consensus::{self as consensus, NodeId};
use beechloft_leases::{self as leases, Name};
use beechloft_placement as placement;
use beechloft_quotas as quotas;
use beechloft_topic::{Delivery, Position, TopicRequest, TopicResponse};
use serde::{Deserialize, Serialize};

use super::reports::{LeaseChange, LeaseInfo, MemberView, ReplicaStatus};

/// A message between processes of a fleet.
///
/// The index of a variant is part of the encoding, so new variants must be added at the end. Requests and responses share the
/// enum, and a response is declared after its request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The introduction of a replica to another replica.
    Hello {
        /// The sender's id, which was generated with its store.
        id: NodeId,
        /// The sender's listen address.
        listen: String,
        /// Whether the sender has been a member of a group.
        formed: bool,
    },
    /// A message of the consensus protocol between replicas.
    Consensus(consensus::Message),
    /// A lease holder's request.
    LeaseRequest(leases::Request),
    /// The response to a [`Message::LeaseRequest`]. `Busy` is the response to any request that can't be served now.
    LeaseResponse(leases::Response),
    /// The response of a replica that is not the leader, with the leader's address if it is known.
    NotLeader(Option<String>),
    /// Requests all lease grants.
    ListLeases,
    /// The response to a [`Message::ListLeases`], and the first response to a [`Message::WatchLeases`].
    Leases(Vec<LeaseInfo>),
    /// Requests the state of the replica.
    GetStatus,
    /// The response to a [`Message::GetStatus`].
    Status(ReplicaStatus),
    /// Requests the removal of a replica that lost its store, so that its replacement can join the group.
    ReplaceReplica {
        /// The id of the lost replica.
        old: NodeId,
        /// The id of its replacement.
        new: NodeId,
    },
    /// The response to a [`Message::ReplaceReplica`]: the removal is in the log, or the reason why it was rejected.
    ReplaceResult(Result<(), String>),
    /// Requests all grants and then each change, for one task or for all tasks.
    WatchLeases(Option<Name>),
    /// A watched grant was made or has ended.
    LeaseChanged(LeaseChange),
    /// Requests the member list of a process.
    GetMembers,
    /// The response to a [`Message::GetMembers`]. `None` if the process is not a member, as its settings name no seeds.
    Members(Option<Vec<MemberView>>),
    /// A publisher's request.
    Publish(TopicRequest),
    /// The response to a [`Message::Publish`].
    PublishResponse(TopicResponse),
    /// Subscribes to a topic: requests the latest message of each key and then each new message.
    ///
    /// The subscription replaces the earlier one of the same connection.
    Subscribe {
        /// The id of the subscription, chosen by the subscriber.
        subscription: u64,
        /// The topic.
        topic: Name,
        /// The subscriber's position, or `None` if it has no data yet.
        position: Option<Position>,
        /// The number of bytes that may be delivered without further credit.
        credit_bytes: u64,
    },
    /// Flow control: raises the credit of a subscription.
    Credit {
        /// The id of the subscription.
        subscription: u64,
        /// The number of bytes that may be delivered, counted since the subscription began.
        total_bytes: u64,
    },
    /// A delivery to a subscriber.
    Delivery(Delivery),
    /// A placement command from a front, a customer, an operator or the placement worker.
    PlacementRequest {
        /// The id by which the response is matched to the request.
        request_id: u64,
        /// The command.
        command: Box<placement::Command>,
    },
    /// The response to a [`Message::PlacementRequest`].
    PlacementResponse {
        /// The id of the request.
        request_id: u64,
        /// The answer.
        answer: placement::Answer,
    },
    /// A front's request to the quota ledger.
    QuotaRequest(quotas::Request),
    /// The response to a [`Message::QuotaRequest`].
    QuotaResponse(quotas::Response),
}

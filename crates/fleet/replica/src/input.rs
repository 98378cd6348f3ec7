//! The inputs of a replica.

use beechloft_consensus::{Input, Message};
use beechloft_leases::{Name, Request};
use beechloft_topic::TopicRequest;

/// A client connection, as the caller identifies it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// An input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaInput {
    /// Time has passed.
    Tick,
    /// A consensus message of another replica.
    Peer(Message),
    /// A lease holder's request.
    LeaseRequest(ClientId, Request),
    /// Reads all grants.
    ListLeases(ClientId),
    /// Reads all grants, and subscribes to changes of one task's grants or of all.
    WatchLeases(ClientId, Option<Name>),
    /// A publisher's request.
    TopicRequest(ClientId, TopicRequest),
    /// Declares a topic or changes its terms: a random topic id, the name, the terms. It is not answered.
    DeclareTopic(u64, Name, beechloft_topic::TopicConfig),
    /// A placement command, with a number that identifies its response.
    PlacementCommand(ClientId, u64, Box<beechloft_placement::Command>),
    /// PendingRequest until this replica has everything that was committed before, with a number that identifies the response.
    ReadPlacement(ClientId, u64),
    /// A front node's request to the quota ledger.
    QuotaRequest(ClientId, beechloft_quotas::Request),
    /// The client's connection was closed.
    ClientDisconnected(ClientId),
    /// Any other input of the consensus node: membership changes and leadership transfer.
    Raft(Input),
}

//! Inputs of a replica.

use beechloft_consensus::{Input, Message};
use beechloft_leases::{Name, Request};
use beechloft_topic::TopicRequest;

/// Identifies a client connection. The caller assigns the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// An input of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaInput {
    /// Lets the replica check its timers.
    Tick,
    /// A consensus message from another replica.
    Peer(Message),
    /// A request of a lease holder.
    LeaseRequest(ClientId, Request),
    /// Reads all grants.
    ListLeases(ClientId),
    /// Reads all grants, then watches the changes of one task's grants, or of all grants without a name.
    WatchLeases(ClientId, Option<Name>),
    /// A request of a publisher.
    TopicRequest(ClientId, TopicRequest),
    /// Declares a topic or changes its terms, by a random topic id, the topic's name and the terms. There is no response.
    DeclareTopic(u64, Name, beechloft_topic::TopicConfig),
    /// A placement command, with a number of the client that identifies the response.
    PlacementCommand(ClientId, u64, Box<beechloft_placement::Command>),
    /// Waits until this replica has applied everything that was committed before, with a number of the client that identifies
    /// the response.
    ReadPlacement(ClientId, u64),
    /// A request of a front node to the quota ledger.
    QuotaRequest(ClientId, beechloft_quotas::Request),
    /// The connection of the client was closed.
    ClientDisconnected(ClientId),
    /// An input for the consensus node, such as a membership change or a leadership transfer.
    Raft(Input),
}

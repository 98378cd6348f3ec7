//! Dispatch of inbound messages to the replica and of the replica's outputs to connections.

use std::net::SocketAddr;

use beechloft_consensus::{LogPosition, NodeId, PendingOutputs, RequestError, RequestId};
use beechloft_leases::{Event, ReplicaId, Response};
use beechloft_placement::Event as PlacementEvent;
use beechloft_quotas::Event as QuotaEvent;
use beechloft_replica::{ClientId, ReplicaInput, ReplicaOutput};
use beechloft_topic::TopicEvent;
use tracing::{info, warn};

use super::{CoordinatorServer, Introduction, reports};
use crate::connections::{ConnectionId, Inbound};
use crate::wire::{self, Message};

impl CoordinatorServer {
    /// Handles an inbound message or the end of a connection.
    pub(super) fn handle_inbound(&mut self, inbound: Inbound, outputs: &mut PendingOutputs) {
        match inbound {
            Inbound::Message(connection, message, _reservation) => {
                self.handle_message(connection, message, outputs);
            }
            Inbound::Closed(connection) => {
                self.subscriptions.remove(connection);
                let input = ReplicaInput::ClientDisconnected(ClientId(connection.0));
                self.replica.handle((self.clock)(), input, outputs);
            }
        }
    }

    fn handle_message(&mut self, connection: ConnectionId, message: Message, outputs: &mut PendingOutputs) {
        let now = (self.clock)();
        match message {
            Message::Hello { id, listen, formed } => self.introduce(id, &listen, formed),
            Message::Consensus(message) => self.replica.handle(now, ReplicaInput::Peer(message), outputs),
            Message::LeaseRequest(_)
            | Message::ListLeases
            | Message::WatchLeases(_)
            | Message::Publish(_)
            | Message::Subscribe { .. }
            | Message::QuotaRequest(_)
            | Message::PlacementRequest { .. } => self.handle_request(connection, message, outputs),
            Message::Credit { subscription, total_bytes } => {
                self.subscriptions.set_credit(connection, subscription, total_bytes, now);
            }
            Message::GetStatus => self.send(connection, &Message::Status(self.status())),
            Message::ReplaceReplica { old, new } => self.replace(connection, old, new, outputs),
            Message::GetMembers => {
                let members = self.membership.as_ref().map(|membership| membership.members());
                self.send(connection, &Message::Members(members));
            }
            // Responses are ignored, as the server sends no requests over inbound connections.
            Message::Members(_)
            | Message::LeaseChanged(_)
            | Message::LeaseResponse(_)
            | Message::NotLeader(_)
            | Message::Leases(_)
            | Message::Status(_)
            | Message::PublishResponse(_)
            | Message::QuotaResponse(_)
            | Message::Delivery(_)
            | Message::PlacementResponse { .. }
            | Message::ReplaceResult(_) => {}
        }
    }

    /// Handles a client's request. The response is `Busy` until the group has formed.
    fn handle_request(&mut self, connection: ConnectionId, request: Message, outputs: &mut PendingOutputs) {
        if !self.is_serving() {
            return self.send(connection, &Message::LeaseResponse(Response::Busy));
        }
        let now = (self.clock)();
        let client = ClientId(connection.0);
        let input = match request {
            Message::LeaseRequest(request) => ReplicaInput::LeaseRequest(client, request),
            Message::ListLeases => ReplicaInput::ListLeases(client),
            Message::WatchLeases(name) => ReplicaInput::WatchLeases(client, name),
            Message::Publish(request) => ReplicaInput::TopicRequest(client, request),
            Message::QuotaRequest(request) => ReplicaInput::QuotaRequest(client, request),
            Message::PlacementRequest { request_id, command } => {
                ReplicaInput::PlacementCommand(client, request_id, command)
            }
            Message::Subscribe { subscription, topic, position, credit_bytes } => {
                let subscribed = self.subscriptions.subscribe(
                    connection,
                    subscription,
                    topic,
                    position,
                    credit_bytes,
                    now,
                );
                if let Err(busy) = subscribed {
                    self.send(connection, &Message::LeaseResponse(busy));
                }
                return;
            }
            _ => return,
        };
        self.replica.handle(now, input, outputs);
    }

    /// Records a replica's `Hello`. One from an address that the settings do not list is ignored.
    fn introduce(&mut self, id: NodeId, listen: &str, formed: bool) {
        let address = listen.parse().ok().filter(|address| self.settings.replicas.contains(address));
        if let Some(address) = address {
            self.introductions.insert(address, Introduction { id, formed });
        }
    }

    /// Queues a message for a connection.
    pub(super) fn send(&self, to: ConnectionId, message: &Message) {
        if let Some(bytes) = wire::encode(self.settings.fleet_id(), message) {
            self.connections.send(to, bytes);
        }
    }

    fn send_not_leader(&self, client: ClientId, leader: Option<NodeId>) {
        let address = leader.and_then(|leader| self.address_of(leader)).map(|a| a.to_string());
        self.send(ConnectionId(client.0), &Message::NotLeader(address));
    }

    /// Returns the address of a replica, from the group's membership or else from its `Hello`.
    pub(super) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        let status = self.replica.status();
        let of_member = status.members.get(id).and_then(|member| member.address.parse().ok());
        of_member.or_else(|| self.introductions.iter().find(|(_, i)| i.id == id).map(|(address, _)| *address))
    }

    /// Sends or logs an output of the replica.
    pub(super) fn handle_output(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Peer(message) => {
                let link = self.address_of(message.to).and_then(|address| self.peer_links.get(&address));
                let bytes = wire::encode(self.settings.fleet_id(), &Message::Consensus(message));
                if let (Some(link), Some(bytes)) = (link, bytes) {
                    link.send(bytes);
                }
            }
            ReplicaOutput::LeaseResponse(client, Response::NotLeader(leader)) => {
                self.send_not_leader(client, leader.map(|ReplicaId(id)| NodeId(id)));
            }
            ReplicaOutput::LeaseResponse(client, response) => {
                self.send(ConnectionId(client.0), &Message::LeaseResponse(response));
            }
            ReplicaOutput::Leases(client, table) => {
                self.send(ConnectionId(client.0), &Message::Leases(reports::grants(&table)));
            }
            ReplicaOutput::WatchEvent(client, event) => {
                if let Some(change) = reports::change(&event) {
                    self.send(ConnectionId(client.0), &Message::LeaseChanged(change));
                }
            }
            ReplicaOutput::WatchEnded(client) => self.connections.close(ConnectionId(client.0)),
            ReplicaOutput::QuotaResponse(client, response) => {
                self.send(ConnectionId(client.0), &Message::QuotaResponse(response));
            }
            ReplicaOutput::TopicResponse(client, response) => {
                self.send(ConnectionId(client.0), &Message::PublishResponse(response));
            }
            ReplicaOutput::PlacementResponse(client, request_id, answer) => {
                self.send(ConnectionId(client.0), &Message::PlacementResponse { request_id, answer });
            }
            ReplicaOutput::TopicRequestRejected(client, _, RequestError::NotLeader(leader))
            | ReplicaOutput::PlacementRejected(client, _, RequestError::NotLeader(leader)) => {
                self.send_not_leader(client, leader);
            }
            ReplicaOutput::TopicRequestRejected(client, ..)
            | ReplicaOutput::PlacementRejected(client, ..) => {
                self.send(ConnectionId(client.0), &Message::LeaseResponse(Response::Busy));
            }
            // Renewals are too frequent to be logged.
            ReplicaOutput::LeaseEvent(Event::Renewed(..))
            | ReplicaOutput::QuotaEvent(QuotaEvent::Renewed(_) | QuotaEvent::Aged(_))
            | ReplicaOutput::PlacementEvent(PlacementEvent::LeaseGranted { .. }) => {}
            ReplicaOutput::LeaseEvent(event) => info!(?event, "lease"),
            ReplicaOutput::QuotaEvent(event) => info!(?event, "quotas"),
            ReplicaOutput::PlacementEvent(event) => info!(?event, "placement"),
            ReplicaOutput::TopicEvent(event) => {
                self.subscriptions.on_topic_change((self.clock)());
                if !matches!(event, TopicEvent::Appended(..)) {
                    info!(?event, "topic");
                }
            }
            ReplicaOutput::Raft(request, result) => self.finish_change(request, result),
        }
    }

    /// Responds to the connection that requested a membership change, or logs a change that this server initiated.
    fn finish_change(&mut self, request: RequestId, result: Result<LogPosition, RequestError>) {
        if let Some(connection) = self.pending_changes.remove(&request) {
            let result = result.map(drop).map_err(|error| error.to_string());
            return self.send(connection, &Message::ReplaceResult(result));
        }
        match result {
            Ok(at) => info!(index = at.index.0, "membership change appended to the log"),
            Err(RequestError::NotLeader(_)) => {}
            Err(error) => warn!("membership change was rejected: {error}"),
        }
    }
}

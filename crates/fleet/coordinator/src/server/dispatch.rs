//! Words that come in, and what goes out.

use std::net::SocketAddr;

use beechloft_consensus::{NodeId, PendingOutputs, RequestError};
use beechloft_leases::{Event, Response};
use beechloft_placement::Event as PlacementEvent;
use beechloft_replica::{ClientId, ReplicaInput, ReplicaOutput};
use beechloft_topic::TopicEvent;
use tracing::{info, warn};

use super::{CoordinatorServer, Met, reports};
use crate::connections::{ConnectionId, Inbound};
use crate::wire::{self, Message};

impl CoordinatorServer {
    pub(super) fn take(&mut self, came: Inbound, out: &mut PendingOutputs) {
        let now = (self.clock)();
        let (conn, word) = match came {
            Inbound::Message(conn, word) => (conn, word),
            Inbound::Closed(conn) => {
                self.serving.closed(conn);
                return self.keeper.handle(now, ReplicaInput::ClientDisconnected(ClientId(conn.0)), out);
            }
        };
        let client = ClientId(conn.0);
        match word {
            Message::Hello { id, listen, formed } => {
                if let Some(address) = listen.parse().ok().filter(|a| self.set.keepers.contains(a)) {
                    self.met.insert(address, Met { id, formed });
                }
            }
            Message::Consensus(message) => self.keeper.handle(now, ReplicaInput::Peer(message), out),
            Message::LeaseRequest(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::LeaseRequest(client, request), out)
            }
            Message::ListLeases if self.serves() => {
                self.keeper.handle(now, ReplicaInput::ListLeases(client), out)
            }
            Message::WatchLeases(name) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::WatchLeases(client, name), out)
            }
            Message::Publish(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::TopicRequest(client, request), out)
            }
            Message::Subscribe { feed, topic, from, allow } if self.serves() => {
                if let Err(busy) = self.serving.subscribe(conn, (feed, topic), from, allow, now) {
                    self.say(conn, &Message::LeaseResponse(busy));
                }
            }
            Message::Credit { feed, total } => self.serving.allow(conn, feed, total, now),
            Message::QuotaRequest(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::QuotaRequest(client, request), out)
            }
            Message::PlacementRequest { number, command } if self.serves() => {
                self.keeper.handle(now, ReplicaInput::PlacementCommand(client, number, command), out)
            }
            Message::LeaseRequest(_)
            | Message::ListLeases
            | Message::WatchLeases(_)
            | Message::Publish(_)
            | Message::Subscribe { .. }
            | Message::QuotaRequest(_)
            | Message::PlacementRequest { .. } => self.say(conn, &Message::LeaseResponse(Response::Busy)),
            Message::GetStatus => self.say(conn, &Message::Status(self.status())),
            Message::ReplaceReplica { old, new } => self.replace(conn, old, new, out),
            Message::GetMembers => {
                let seen = self.members.as_ref().map(|m| m.seen());
                self.say(conn, &Message::Members(seen));
            }
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

    pub(super) fn say(&self, to: ConnectionId, word: &Message) {
        if let Some(bytes) = wire::encode(self.set.number(), word) {
            self.conns.say(to, bytes);
        }
    }

    pub(super) fn address_of(&self, id: NodeId) -> Option<SocketAddr> {
        let status = self.keeper.status();
        let of_member = status.members.get(id).and_then(|m| m.address.parse().ok());
        of_member.or_else(|| self.met.iter().find(|(_, m)| m.id == id).map(|(a, _)| *a))
    }

    pub(super) fn put_out(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Peer(message) => {
                let link = self.address_of(message.to).and_then(|a| self.peers.get(&a));
                if let (Some(link), Some(bytes)) =
                    (link, wire::encode(self.set.number(), &Message::Consensus(message)))
                {
                    link.say(bytes);
                }
            }
            ReplicaOutput::LeaseResponse(client, Response::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(NodeId(l.0))).map(|a| a.to_string());
                self.say(ConnectionId(client.0), &Message::NotLeader(address));
            }
            ReplicaOutput::LeaseResponse(client, heard) => {
                self.say(ConnectionId(client.0), &Message::LeaseResponse(heard))
            }
            ReplicaOutput::Leases(client, table) => {
                self.say(ConnectionId(client.0), &Message::Leases(reports::grants(&table)))
            }
            ReplicaOutput::WatchEvent(client, event) => {
                if let Some(line) = reports::change(&event) {
                    self.say(ConnectionId(client.0), &Message::LeaseChanged(line));
                }
            }
            ReplicaOutput::QuotaResponse(client, heard) => {
                self.say(ConnectionId(client.0), &Message::QuotaResponse(heard))
            }
            ReplicaOutput::QuotaEvent(
                beechloft_quotas::Event::Renewed(_) | beechloft_quotas::Event::Aged(_),
            ) => {}
            ReplicaOutput::QuotaEvent(event) => info!(?event, "limits"),
            ReplicaOutput::TopicResponse(client, heard) => {
                self.say(ConnectionId(client.0), &Message::PublishResponse(heard))
            }
            ReplicaOutput::TopicRequestRejected(client, _, RequestError::NotLeader(leader))
            | ReplicaOutput::PlacementRejected(client, _, RequestError::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
                self.say(ConnectionId(client.0), &Message::NotLeader(address));
            }
            ReplicaOutput::TopicRequestRejected(client, ..)
            | ReplicaOutput::PlacementRejected(client, ..) => {
                self.say(ConnectionId(client.0), &Message::LeaseResponse(Response::Busy));
            }
            ReplicaOutput::PlacementResponse(client, number, answer) => {
                self.say(ConnectionId(client.0), &Message::PlacementResponse { number, answer });
            }
            // Rights are renewed all the time; what changes is said.
            ReplicaOutput::PlacementEvent(PlacementEvent::Right { .. }) => {}
            ReplicaOutput::PlacementEvent(event) => info!(?event, "placement"),
            ReplicaOutput::TopicEvent(event) => {
                self.serving.changed((self.clock)());
                if !matches!(event, TopicEvent::Appended(..)) {
                    info!(?event, "topic");
                }
            }
            ReplicaOutput::WatchEnded(client) => self.conns.close(ConnectionId(client.0)),
            ReplicaOutput::LeaseEvent(Event::Renewed(..)) => {}
            ReplicaOutput::LeaseEvent(event) => info!(?event, "lease"),
            ReplicaOutput::Raft(ticket, taken) if self.asked.contains_key(&ticket) => {
                if let Some(conn) = self.asked.remove(&ticket) {
                    let taken = taken.map(drop).map_err(|why| why.to_string());
                    self.say(conn, &Message::ReplaceResult(taken));
                }
            }
            ReplicaOutput::Raft(_, Ok(at)) => info!(place = at.index.0, "a change of members is in the log"),
            ReplicaOutput::Raft(_, Err(why)) => {
                if !matches!(why, RequestError::NotLeader(_)) {
                    warn!("a change of members is not taken: {why}");
                }
            }
        }
    }
}

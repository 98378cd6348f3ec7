//! Words that come in, and what goes out.

use std::net::SocketAddr;

use beechloft_consensus::{MemberId, Outputs, Refused};
use beechloft_leases::{Event, Response};
use beechloft_placement::Event as PlacementEvent;
use beechloft_replica::{Asked, ClientId, KeeperOutput};
use beechloft_topic::TopicEvent;
use tracing::{info, warn};

use super::{CoordinatorServer, Met, reports};
use crate::connections::{ConnectionId, Inbound};
use crate::wire::{self, Message};

impl CoordinatorServer {
    pub(super) fn take(&mut self, came: Inbound, out: &mut Outputs) {
        let now = (self.clock)();
        let (conn, word) = match came {
            Inbound::Message(conn, word) => (conn, word),
            Inbound::Closed(conn) => {
                self.serving.closed(conn);
                return self.keeper.handle(now, Asked::Closed(ClientId(conn.0)), out);
            }
        };
        let client = ClientId(conn.0);
        match word {
            Message::Hello { id, listen, formed } => {
                if let Some(address) = listen.parse().ok().filter(|a| self.set.keepers.contains(a)) {
                    self.met.insert(address, Met { id, formed });
                }
            }
            Message::Consensus(message) => self.keeper.handle(now, Asked::Peer(message), out),
            Message::LeaseRequest(request) if self.serves() => {
                self.keeper.handle(now, Asked::Request(client, request), out)
            }
            Message::ListLeases if self.serves() => self.keeper.handle(now, Asked::List(client), out),
            Message::WatchLeases(name) if self.serves() => {
                self.keeper.handle(now, Asked::Watch(client, name), out)
            }
            Message::Publish(request) if self.serves() => {
                self.keeper.handle(now, Asked::Publish(client, request), out)
            }
            Message::Subscribe { feed, topic, from, allow } if self.serves() => {
                if let Err(busy) = self.serving.subscribe(conn, (feed, topic), from, allow, now) {
                    self.say(conn, &Message::LeaseResponse(busy));
                }
            }
            Message::Credit { feed, total } => self.serving.allow(conn, feed, total, now),
            Message::QuotaRequest(request) if self.serves() => {
                self.keeper.handle(now, Asked::Limit(client, request), out)
            }
            Message::PlacementRequest { number, command } if self.serves() => {
                self.keeper.handle(now, Asked::Place(client, number, command), out)
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

    pub(super) fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        let status = self.keeper.status();
        let of_member = status.members.get(id).and_then(|m| m.address.parse().ok());
        of_member.or_else(|| self.met.iter().find(|(_, m)| m.id == id).map(|(a, _)| *a))
    }

    pub(super) fn put_out(&mut self, output: KeeperOutput) {
        match output {
            KeeperOutput::Peer(message) => {
                let link = self.address_of(message.to).and_then(|a| self.peers.get(&a));
                if let (Some(link), Some(bytes)) =
                    (link, wire::encode(self.set.number(), &Message::Consensus(message)))
                {
                    link.say(bytes);
                }
            }
            KeeperOutput::Heard(client, Response::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(MemberId(l.0))).map(|a| a.to_string());
                self.say(ConnectionId(client.0), &Message::NotLeader(address));
            }
            KeeperOutput::Heard(client, heard) => {
                self.say(ConnectionId(client.0), &Message::LeaseResponse(heard))
            }
            KeeperOutput::Listed(client, table) => {
                self.say(ConnectionId(client.0), &Message::Leases(reports::grants(&table)))
            }
            KeeperOutput::Told(client, event) => {
                if let Some(line) = reports::change(&event) {
                    self.say(ConnectionId(client.0), &Message::LeaseChanged(line));
                }
            }
            KeeperOutput::LimitHeard(client, heard) => {
                self.say(ConnectionId(client.0), &Message::QuotaResponse(heard))
            }
            KeeperOutput::LimitEvent(
                beechloft_quotas::Event::Renewed(_) | beechloft_quotas::Event::Aged(_),
            ) => {}
            KeeperOutput::LimitEvent(event) => info!(?event, "limits"),
            KeeperOutput::TopicHeard(client, heard) => {
                self.say(ConnectionId(client.0), &Message::PublishResponse(heard))
            }
            KeeperOutput::NotPublished(client, _, Refused::NotLeader(leader))
            | KeeperOutput::NotPlaced(client, _, Refused::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
                self.say(ConnectionId(client.0), &Message::NotLeader(address));
            }
            KeeperOutput::NotPublished(client, ..) | KeeperOutput::NotPlaced(client, ..) => {
                self.say(ConnectionId(client.0), &Message::LeaseResponse(Response::Busy));
            }
            KeeperOutput::Placed(client, number, answer) => {
                self.say(ConnectionId(client.0), &Message::PlacementResponse { number, answer });
            }
            // Rights are renewed all the time; what changes is said.
            KeeperOutput::PlacementEvent(PlacementEvent::Right { .. }) => {}
            KeeperOutput::PlacementEvent(event) => info!(?event, "placement"),
            KeeperOutput::TopicEvent(event) => {
                self.serving.changed((self.clock)());
                if !matches!(event, TopicEvent::Appended(..)) {
                    info!(?event, "topic");
                }
            }
            KeeperOutput::Unwatched(client) => self.conns.close(ConnectionId(client.0)),
            KeeperOutput::Event(Event::Renewed(..)) => {}
            KeeperOutput::Event(event) => info!(?event, "lease"),
            KeeperOutput::Group(ticket, taken) if self.asked.contains_key(&ticket) => {
                if let Some(conn) = self.asked.remove(&ticket) {
                    let taken = taken.map(drop).map_err(|why| why.to_string());
                    self.say(conn, &Message::ReplaceResult(taken));
                }
            }
            KeeperOutput::Group(_, Ok(at)) => info!(place = at.index.0, "a change of members is in the log"),
            KeeperOutput::Group(_, Err(why)) => {
                if !matches!(why, Refused::NotLeader(_)) {
                    warn!("a change of members is not taken: {why}");
                }
            }
        }
    }
}

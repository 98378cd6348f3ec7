//! Words that come in, and what goes out.

use std::net::SocketAddr;

use beechloft_consensus::{NodeId, PendingOutputs, RequestError};
use beechloft_leases::{Event, Response};
use beechloft_placement::Event as PlacementEvent;
use beechloft_replica::{ClientId, ReplicaInput, ReplicaOutput};
use beechloft_topic::TopicEvent;
use tracing::{info, warn};

use super::{Keeping, Met, lines};
use crate::links::{Came, ConnId};
use crate::wire::{self, Word};

impl Keeping {
    pub(super) fn take(&mut self, came: Came, out: &mut PendingOutputs) {
        let now = (self.clock)();
        let (conn, word) = match came {
            Came::Word(conn, word) => (conn, word),
            Came::Closed(conn) => {
                self.serving.closed(conn);
                return self.keeper.handle(now, ReplicaInput::ClientDisconnected(ClientId(conn.0)), out);
            }
        };
        let client = ClientId(conn.0);
        match word {
            Word::Hello { id, listen, formed } => {
                if let Some(address) = listen.parse().ok().filter(|a| self.set.keepers.contains(a)) {
                    self.met.insert(address, Met { id, formed });
                }
            }
            Word::Peer(message) => self.keeper.handle(now, ReplicaInput::Peer(message), out),
            Word::Ask(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::LeaseRequest(client, request), out)
            }
            Word::List if self.serves() => self.keeper.handle(now, ReplicaInput::ListLeases(client), out),
            Word::Watch(name) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::WatchLeases(client, name), out)
            }
            Word::Publish(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::TopicRequest(client, request), out)
            }
            Word::Subscribe { feed, topic, from, allow } if self.serves() => {
                if let Err(busy) = self.serving.subscribe(conn, (feed, topic), from, allow, now) {
                    self.say(conn, &Word::Heard(busy));
                }
            }
            Word::Allow { feed, total } => self.serving.allow(conn, feed, total, now),
            Word::Limit(request) if self.serves() => {
                self.keeper.handle(now, ReplicaInput::QuotaRequest(client, request), out)
            }
            Word::Place { number, command } if self.serves() => {
                self.keeper.handle(now, ReplicaInput::PlacementCommand(client, number, command), out)
            }
            Word::Ask(_)
            | Word::List
            | Word::Watch(_)
            | Word::Publish(_)
            | Word::Subscribe { .. }
            | Word::Limit(_)
            | Word::Place { .. } => self.say(conn, &Word::Heard(Response::Busy)),
            Word::Status => self.say(conn, &Word::StatusIs(self.status())),
            Word::Replace { old, new } => self.replace(conn, old, new, out),
            Word::Members => {
                let seen = self.members.as_ref().map(|m| m.seen());
                self.say(conn, &Word::MembersAre(seen));
            }
            Word::MembersAre(_)
            | Word::Changed(_)
            | Word::Heard(_)
            | Word::NotLeader(_)
            | Word::Listed(_)
            | Word::StatusIs(_)
            | Word::TopicHeard(_)
            | Word::LimitHeard(_)
            | Word::Told(_)
            | Word::Placed { .. }
            | Word::Replacing(_) => {}
        }
    }

    pub(super) fn say(&self, to: ConnId, word: &Word) {
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
                    (link, wire::encode(self.set.number(), &Word::Peer(message)))
                {
                    link.say(bytes);
                }
            }
            ReplicaOutput::LeaseResponse(client, Response::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(NodeId(l.0))).map(|a| a.to_string());
                self.say(ConnId(client.0), &Word::NotLeader(address));
            }
            ReplicaOutput::LeaseResponse(client, heard) => self.say(ConnId(client.0), &Word::Heard(heard)),
            ReplicaOutput::Leases(client, table) => {
                self.say(ConnId(client.0), &Word::Listed(lines::grants(&table)))
            }
            ReplicaOutput::WatchEvent(client, event) => {
                if let Some(line) = lines::change(&event) {
                    self.say(ConnId(client.0), &Word::Changed(line));
                }
            }
            ReplicaOutput::QuotaResponse(client, heard) => {
                self.say(ConnId(client.0), &Word::LimitHeard(heard))
            }
            ReplicaOutput::QuotaEvent(
                beechloft_quotas::Event::Renewed(_) | beechloft_quotas::Event::Aged(_),
            ) => {}
            ReplicaOutput::QuotaEvent(event) => info!(?event, "limits"),
            ReplicaOutput::TopicResponse(client, heard) => {
                self.say(ConnId(client.0), &Word::TopicHeard(heard))
            }
            ReplicaOutput::TopicRequestRejected(client, _, RequestError::NotLeader(leader))
            | ReplicaOutput::PlacementRejected(client, _, RequestError::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
                self.say(ConnId(client.0), &Word::NotLeader(address));
            }
            ReplicaOutput::TopicRequestRejected(client, ..)
            | ReplicaOutput::PlacementRejected(client, ..) => {
                self.say(ConnId(client.0), &Word::Heard(Response::Busy));
            }
            ReplicaOutput::PlacementResponse(client, number, answer) => {
                self.say(ConnId(client.0), &Word::Placed { number, answer });
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
            ReplicaOutput::WatchEnded(client) => self.conns.close(ConnId(client.0)),
            ReplicaOutput::LeaseEvent(Event::Renewed(..)) => {}
            ReplicaOutput::LeaseEvent(event) => info!(?event, "lease"),
            ReplicaOutput::Raft(ticket, taken) if self.asked.contains_key(&ticket) => {
                if let Some(conn) = self.asked.remove(&ticket) {
                    let taken = taken.map(drop).map_err(|why| why.to_string());
                    self.say(conn, &Word::Replacing(taken));
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

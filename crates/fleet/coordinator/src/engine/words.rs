//! Words that come in, and what goes out.

use std::net::SocketAddr;

use beechloft_consensus::{MemberId, Outputs, Refused};
use beechloft_leases::{Event, Response};
use beechloft_placement::Event as PlacementEvent;
use beechloft_replica::{Asked, ClientId, KeeperOutput};
use beechloft_topic::TopicEvent;
use tracing::{info, warn};

use super::{Keeping, Met, lines};
use crate::links::{Came, ConnId};
use crate::wire::{self, Word};

impl Keeping {
    pub(super) fn take(&mut self, came: Came, out: &mut Outputs) {
        let now = (self.clock)();
        let (conn, word) = match came {
            Came::Word(conn, word) => (conn, word),
            Came::Closed(conn) => {
                self.serving.closed(conn);
                return self.keeper.handle(now, Asked::Closed(ClientId(conn.0)), out);
            }
        };
        let client = ClientId(conn.0);
        match word {
            Word::Hello { id, listen, formed } => {
                if let Some(address) = listen.parse().ok().filter(|a| self.set.keepers.contains(a)) {
                    self.met.insert(address, Met { id, formed });
                }
            }
            Word::Peer(message) => self.keeper.handle(now, Asked::Peer(message), out),
            Word::Ask(request) if self.serves() => {
                self.keeper.handle(now, Asked::Request(client, request), out)
            }
            Word::List if self.serves() => self.keeper.handle(now, Asked::List(client), out),
            Word::Watch(name) if self.serves() => self.keeper.handle(now, Asked::Watch(client, name), out),
            Word::Publish(request) if self.serves() => {
                self.keeper.handle(now, Asked::Publish(client, request), out)
            }
            Word::Subscribe { feed, topic, from, allow } if self.serves() => {
                if let Err(busy) = self.serving.subscribe(conn, (feed, topic), from, allow, now) {
                    self.say(conn, &Word::Heard(busy));
                }
            }
            Word::Allow { feed, total } => self.serving.allow(conn, feed, total, now),
            Word::Limit(request) if self.serves() => {
                self.keeper.handle(now, Asked::Limit(client, request), out)
            }
            Word::Place { number, command } if self.serves() => {
                self.keeper.handle(now, Asked::Place(client, number, command), out)
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
                    (link, wire::encode(self.set.number(), &Word::Peer(message)))
                {
                    link.say(bytes);
                }
            }
            KeeperOutput::Heard(client, Response::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(MemberId(l.0))).map(|a| a.to_string());
                self.say(ConnId(client.0), &Word::NotLeader(address));
            }
            KeeperOutput::Heard(client, heard) => self.say(ConnId(client.0), &Word::Heard(heard)),
            KeeperOutput::Listed(client, table) => {
                self.say(ConnId(client.0), &Word::Listed(lines::grants(&table)))
            }
            KeeperOutput::Told(client, event) => {
                if let Some(line) = lines::change(&event) {
                    self.say(ConnId(client.0), &Word::Changed(line));
                }
            }
            KeeperOutput::LimitHeard(client, heard) => self.say(ConnId(client.0), &Word::LimitHeard(heard)),
            KeeperOutput::LimitEvent(
                beechloft_quotas::Event::Renewed(_) | beechloft_quotas::Event::Aged(_),
            ) => {}
            KeeperOutput::LimitEvent(event) => info!(?event, "limits"),
            KeeperOutput::TopicHeard(client, heard) => self.say(ConnId(client.0), &Word::TopicHeard(heard)),
            KeeperOutput::NotPublished(client, _, Refused::NotLeader(leader))
            | KeeperOutput::NotPlaced(client, _, Refused::NotLeader(leader)) => {
                let address = leader.and_then(|l| self.address_of(l)).map(|a| a.to_string());
                self.say(ConnId(client.0), &Word::NotLeader(address));
            }
            KeeperOutput::NotPublished(client, ..) | KeeperOutput::NotPlaced(client, ..) => {
                self.say(ConnId(client.0), &Word::Heard(Response::Busy));
            }
            KeeperOutput::Placed(client, number, answer) => {
                self.say(ConnId(client.0), &Word::Placed { number, answer });
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
            KeeperOutput::Unwatched(client) => self.conns.close(ConnId(client.0)),
            KeeperOutput::Event(Event::Renewed(..)) => {}
            KeeperOutput::Event(event) => info!(?event, "lease"),
            KeeperOutput::Group(ticket, taken) if self.asked.contains_key(&ticket) => {
                if let Some(conn) = self.asked.remove(&ticket) {
                    let taken = taken.map(drop).map_err(|why| why.to_string());
                    self.say(conn, &Word::Replacing(taken));
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

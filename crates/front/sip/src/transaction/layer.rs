//! Transaction layer: a bounded table that routes messages to their transactions and runs their timers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use beechloft_session::api::Micros;

use super::Transport;
use super::client::{self, Client};
use super::server::{self, Server};
use crate::message::{Message, Method, Request, Response};

/// Maximum number of concurrent server transactions. Further requests get a stateless 503.
///
/// A single peer may use as many as are free, so that it uses half of them at most and others are still served.
pub const MAX_SERVER_TRANSACTIONS: usize = 200_000;

/// Local role in a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The request was received.
    Server,
    /// The request was sent.
    Client,
}

/// Identifier of a transaction (sections 17.1.3 and 17.2.3). The ACK of a failure has the key of its INVITE.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    side: Side,
    branch: String,
    sent_by: String,
    method: &'static str,
}

fn method_name(method: Method) -> &'static str {
    match method {
        Method::Invite | Method::Ack => "INVITE",
        Method::Bye => "BYE",
        Method::Cancel => "CANCEL",
        Method::Options => "OPTIONS",
        Method::Update => "UPDATE",
        Method::PRack => "PRACK",
        Method::Info => "INFO",
        Method::Message => "MESSAGE",
        Method::Notify => "NOTIFY",
        Method::Publish => "PUBLISH",
        Method::Refer => "REFER",
        Method::Register => "REGISTER",
        Method::Subscribe => "SUBSCRIBE",
    }
}

impl Key {
    fn server(request: &Request) -> Key {
        let ids = &request.ids;
        let (branch, sent_by) = (ids.branch.clone(), ids.sent_by.clone());
        Key { side: Side::Server, branch, sent_by, method: method_name(request.method()) }
    }

    fn client(branch: &str, method: Method) -> Key {
        // Locally generated branches are unique, and the `sent-by` of a response is always the local one.
        Key {
            side: Side::Client,
            branch: branch.to_owned(),
            sent_by: String::new(),
            method: method_name(method),
        }
    }

    /// Returns the key of the INVITE that a CANCEL refers to.
    fn cancelled(request: &Request) -> Key {
        Key { method: "INVITE", ..Key::server(request) }
    }

    /// Returns the local role in the transaction.
    pub fn side(&self) -> Side {
        self.side
    }
}

/// Source or destination of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Transport to the peer.
    pub transport: Transport,
    /// ID of the connection on a stream, 0 for datagrams.
    pub conn: u64,
}

/// Input of the transaction layer.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A message arrived.
    Received(Peer, Box<Message>),
    /// The user sends a request. It gets a client transaction, except for the ACK of a 2xx, which is sent without one.
    Send(Peer, Box<Request>),
    /// The user responds to a request.
    Respond(Key, Box<Response>),
    /// The stream to a peer was closed.
    ConnectionLost(Peer),
    /// Timers may have expired.
    Tick,
}

/// Output of the transaction layer.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message.
    Transmit(Peer, Box<Message>),
    /// A new request for the user, without its retransmissions.
    Request(Key, Peer, Box<Request>),
    /// A CANCEL arrived for a request without a final response. The CANCEL itself has been answered.
    Cancelled(Key),
    /// The ACK of a 2xx arrived. It belongs to a dialog.
    Ack(Peer, Box<Request>),
    /// A response to a request of the user.
    Response(Key, Box<Response>),
    /// No final response arrived in time, or the stream was closed before one.
    TimedOut(Key),
    /// A 2xx to an INVITE that matches no transaction. The dialog may still have to acknowledge it.
    UnmatchedSuccess(Peer, Box<Response>),
    /// No ACK arrived for a failure.
    NoAck(Key),
}

/// All transactions of one front.
#[derive(Debug, Default)]
pub struct Layer {
    servers: BTreeMap<Key, (Peer, Server)>,
    /// Number of server transactions of each peer that has any.
    servers_by_peer: BTreeMap<Peer, usize>,
    clients: BTreeMap<Key, (Peer, Client)>,
    /// Client transactions over each stream.
    clients_by_stream: BTreeMap<Peer, BTreeSet<Key>>,
    due: BTreeSet<(Micros, Key)>,
    now: Micros,
}

impl Layer {
    /// Handles one input and appends the resulting outputs.
    ///
    /// Time never runs backwards: a `now` before that of the last call is replaced by the latter.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.run_due(out);
        match input {
            Input::Received(peer, message) => match *message {
                Message::Request(request) => self.request(peer, request, out),
                Message::Response(response) => self.response(peer, response, out),
            },
            Input::Send(peer, request) => self.send(peer, *request, out),
            Input::Respond(key, response) => self.respond(key, *response, out),
            Input::ConnectionLost(peer) => self.connection_lost(peer, out),
            Input::Tick => {}
        }
    }

    /// Returns the time at which [`Input::Tick`] is needed next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Returns the number of transactions that have not ended.
    pub fn len(&self) -> usize {
        self.servers.len() + self.clients.len()
    }

    /// Returns whether there are no transactions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether a request is a retransmission that belongs to an existing transaction.
    pub fn is_retransmission(&self, request: &Request) -> bool {
        self.servers.contains_key(&Key::server(request))
    }

    /// Returns the peer of a server transaction.
    pub fn peer_of(&self, key: &Key) -> Option<Peer> {
        self.servers.get(key).map(|s| s.0)
    }

    /// Returns whether a CANCEL may be sent now for a request of the user.
    pub fn may_cancel(&self, key: &Key) -> bool {
        self.clients.get(key).is_some_and(|c| c.1.may_cancel())
    }

    /// Returns the key of the client transaction of a request.
    pub fn key_of(request: &Request) -> Key {
        Key::client(&request.ids.branch, request.method())
    }

    fn request(&mut self, peer: Peer, request: Request, out: &mut Vec<Output>) {
        let key = Key::server(&request);
        if self.servers.contains_key(&key) {
            let method = request.method();
            return self.on_server(&key, out, |server, now, steps| server.received(now, method, steps));
        }
        match request.method() {
            // The ACK of a 2xx belongs to no transaction (section 13.2.2.4).
            Method::Ack => return out.push(Output::Ack(peer, Box::new(request))),
            _ if !self.has_capacity(peer) => {
                let mut full = request.response(503, "full");
                full.raw.headers.push(rsip::Header::RetryAfter("1".into()));
                return out.push(Output::Transmit(peer, Box::new(Message::Response(full))));
            }
            Method::Cancel => return self.cancel(key, peer, request, out),
            _ => {}
        }
        self.start_server(&key, peer, &request);
        out.push(Output::Request(key, peer, Box::new(request)));
    }

    /// Returns whether a peer may start a further server transaction.
    fn has_capacity(&self, peer: Peer) -> bool {
        let free = MAX_SERVER_TRANSACTIONS.saturating_sub(self.servers.len());
        self.servers_by_peer.get(&peer).copied().unwrap_or(0) < free
    }

    fn start_server(&mut self, key: &Key, peer: Peer, request: &Request) {
        *self.servers_by_peer.entry(peer).or_default() += 1;
        let server = Server::new(self.now, request.clone(), peer.transport);
        self.due.extend(server.next_due().map(|at| (at, key.clone())));
        self.servers.insert(key.clone(), (peer, server));
    }

    /// Answers a CANCEL (section 9.2) with 200 if its INVITE is known, else with 481.
    ///
    /// The user is informed if the INVITE has no final response yet.
    fn cancel(&mut self, key: Key, peer: Peer, request: Request, out: &mut Vec<Output>) {
        let about = Key::cancelled(&request);
        let known = self.servers.get(&about).map(|(_, s)| s.is_completed());
        self.start_server(&key, peer, &request);
        let status = if known.is_some() { 200 } else { 481 };
        let answer = request.response(status, "c");
        self.on_server(&key, out, |server, now, steps| {
            server.respond(now, answer, steps);
        });
        if known == Some(false) {
            out.push(Output::Cancelled(about));
        }
    }

    fn respond(&mut self, key: Key, response: Response, out: &mut Vec<Output>) {
        if self.servers.contains_key(&key) {
            self.on_server(&key, out, |server, now, steps| {
                server.respond(now, response, steps);
            });
        }
    }

    fn send(&mut self, peer: Peer, request: Request, out: &mut Vec<Output>) {
        if request.method() == Method::Ack {
            return out.push(Output::Transmit(peer, Box::new(Message::Request(request))));
        }
        let key = Layer::key_of(&request);
        let mut steps = Vec::new();
        let client = Client::new(self.now, request, peer.transport, &mut steps);
        self.due.extend(client.next_due().map(|at| (at, key.clone())));
        self.clients.insert(key.clone(), (peer, client));
        if peer.transport == Transport::Tcp {
            self.clients_by_stream.entry(peer).or_default().insert(key.clone());
        }
        push_outputs(&key, peer, steps, out);
    }

    fn response(&mut self, peer: Peer, response: Response, out: &mut Vec<Output>) {
        let key = Key::client(&response.ids.branch, response.method);
        let ours = |c: &(Peer, Client)| {
            let (own, got) = (c.1.identifiers(), &response.ids);
            // A response with another call ID, tag or sequence number may be forged and is dropped.
            own.call_id == got.call_id && own.from_tag == got.from_tag && own.seq == got.seq
        };
        if self.clients.get(&key).is_some_and(ours) {
            self.on_client(&key, out, |client, now, steps| client.received(now, response, steps));
        } else if response.method == Method::Invite && (200..300).contains(&response.status) {
            out.push(Output::UnmatchedSuccess(peer, Box::new(response)));
        }
    }

    /// Ends the client transactions of a closed stream. Those without a final response time out.
    fn connection_lost(&mut self, peer: Peer, out: &mut Vec<Output>) {
        for key in self.clients_by_stream.remove(&peer).unwrap_or_default() {
            if let Some((_, client)) = self.clients.remove(&key) {
                if let Some(at) = client.next_due() {
                    self.due.remove(&(at, key.clone()));
                }
                if !client.is_completed() {
                    out.push(Output::TimedOut(key));
                }
            }
        }
    }

    fn run_due(&mut self, out: &mut Vec<Output>) {
        while let Some((at, key)) = self.due.first().filter(|d| d.0 <= self.now).cloned() {
            self.due.remove(&(at, key.clone()));
            match key.side {
                Side::Server => self.on_server(&key, out, |server, now, steps| server.run_timers(now, steps)),
                Side::Client => self.on_client(&key, out, |client, now, steps| client.run_timers(now, steps)),
            }
        }
    }

    fn on_server(
        &mut self,
        key: &Key,
        out: &mut Vec<Output>,
        f: impl FnOnce(&mut Server, Micros, &mut Vec<server::Step>),
    ) {
        let Some((peer, server)) = self.servers.get_mut(key) else { return };
        if let Some(at) = server.next_due() {
            self.due.remove(&(at, key.clone()));
        }
        let mut steps = Vec::new();
        f(server, self.now, &mut steps);
        for step in steps {
            out.push(match step {
                server::Step::Send(response) => {
                    Output::Transmit(*peer, Box::new(Message::Response(*response)))
                }
                server::Step::NoAck => Output::NoAck(key.clone()),
            });
        }
        let peer = *peer;
        if server.is_terminated() {
            self.remove_server(key, peer);
        } else if let Some(at) = server.next_due() {
            self.due.insert((at, key.clone()));
        }
    }

    fn remove_server(&mut self, key: &Key, peer: Peer) {
        self.servers.remove(key);
        if let Some(count) = self.servers_by_peer.get_mut(&peer) {
            *count -= 1;
            if *count == 0 {
                self.servers_by_peer.remove(&peer);
            }
        }
    }

    fn on_client(
        &mut self,
        key: &Key,
        out: &mut Vec<Output>,
        f: impl FnOnce(&mut Client, Micros, &mut Vec<client::Step>),
    ) {
        let Some((peer, client)) = self.clients.get_mut(key) else { return };
        if let Some(at) = client.next_due() {
            self.due.remove(&(at, key.clone()));
        }
        let mut steps = Vec::new();
        f(client, self.now, &mut steps);
        let (peer, over, next) = (*peer, client.is_terminated(), client.next_due());
        push_outputs(key, peer, steps, out);
        if over {
            self.clients.remove(key);
            if let Some(keys) = self.clients_by_stream.get_mut(&peer) {
                keys.remove(key);
                if keys.is_empty() {
                    self.clients_by_stream.remove(&peer);
                }
            }
        } else if let Some(at) = next {
            self.due.insert((at, key.clone()));
        }
    }
}

fn push_outputs(key: &Key, peer: Peer, steps: Vec<client::Step>, out: &mut Vec<Output>) {
    for step in steps {
        out.push(match step {
            client::Step::Send(request) => Output::Transmit(peer, Box::new(Message::Request(*request))),
            client::Step::Deliver(response) => Output::Response(key.clone(), response),
            client::Step::TimedOut => Output::TimedOut(key.clone()),
        });
    }
}

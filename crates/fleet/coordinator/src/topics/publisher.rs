//! A publisher of a topic. It sends its records to the leader.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_leases::Name;
use beechloft_topic::{
    Epoch, Expect, Outcome, Publisher as StateMachine, PublisherId, PublisherInput, PublisherOutput,
    PublisherSettings, PublisherTicket, Record,
};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select};
use tracing::{info, warn};

use super::{Connection, Inbound, MAX_WAIT, STACK_BYTES};
use crate::settings::FleetSettings;
use crate::wire::Message;

/// Maximum number of records that are queued for publication.
const REQUEST_CAPACITY: usize = 1024;
/// Maximum number of results that are queued for the user.
const RESULT_CAPACITY: usize = 8192;
/// Maximum number of received messages that are queued for the thread.
const INBOUND_CAPACITY: usize = 256;
/// Time without a response after which the next replica is tried. It covers half an election timeout and a sync of the store.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// The way in which a topic is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteMode {
    /// One of several concurrent writers.
    Shared,
    /// The only writer, identified by the fencing token of its lease.
    Exclusive(Epoch),
}

/// The result of publishing a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishResult {
    /// The ticket that [`Publisher::publish`] returned for the record.
    pub ticket: PublisherTicket,
    /// The outcome.
    pub outcome: Outcome,
}

/// A record to be published.
struct PublishRequest {
    ticket: PublisherTicket,
    record: Record,
    expect: Expect,
}

/// A publisher of one topic.
///
/// Its thread ends soon after the publisher is dropped, and the drop does not wait for it. A record without a result may or may
/// not have been written then.
pub struct Publisher {
    requests: Sender<PublishRequest>,
    results: Receiver<PublishResult>,
    next_ticket: AtomicU64,
    stop: Arc<AtomicBool>,
}

impl Publisher {
    /// Starts the thread. It connects when there is a record to be published.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        fleet: &FleetSettings,
        topic: Name,
        mode: WriteMode,
        settings: PublisherSettings,
    ) -> io::Result<Publisher> {
        let (id, seed) = (PublisherId(rand::random()), rand::random());
        let state_machine = match mode {
            WriteMode::Shared => StateMachine::shared(id, topic.clone(), settings, seed),
            WriteMode::Exclusive(token) => StateMachine::exclusive(id, token, topic.clone(), settings, seed),
        };
        let (request_sender, requests) = bounded(REQUEST_CAPACITY);
        let (result_sender, results) = bounded(RESULT_CAPACITY);
        let (sender, inbound) = bounded(INBOUND_CAPACITY);
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            state_machine,
            topic,
            clock: Box::new(fleet.clock()),
            replica: rand::random_range(0..fleet.replicas.len().max(1)),
            fleet: fleet.clone(),
            connection: None,
            last_connection_id: 0,
            waiting_since: None,
            requests,
            results: result_sender,
            sender,
            inbound,
            stop: Arc::clone(&stop),
        };
        thread::Builder::new()
            .name("publishes".into())
            .stack_size(STACK_BYTES)
            .spawn(move || worker.run())?;
        Ok(Publisher { requests: request_sender, results, next_ticket: AtomicU64::new(0), stop })
    }

    /// Queues a record, which is written if the expectation holds. Its result is received from [`Publisher::results`] with the
    /// returned ticket. Returns `None` if too many records are queued.
    pub fn publish(&self, record: Record, expect: Expect) -> Option<PublisherTicket> {
        let ticket = PublisherTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        match self.requests.try_send(PublishRequest { ticket, record, expect }) {
            Ok(()) => Some(ticket),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// Returns the channel of results, one for each record. When the channel is full, publishing pauses.
    pub fn results(&self) -> &Receiver<PublishResult> {
        &self.results
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The state of the publisher's thread.
struct Worker {
    state_machine: StateMachine,
    topic: Name,
    clock: Box<dyn Fn() -> Duration + Send>,
    fleet: FleetSettings,
    /// The index of the presumed leader in the settings.
    replica: usize,
    connection: Option<Connection>,
    /// The id of the last connection, incremented for each new one.
    last_connection_id: u64,
    /// Time since which a request has had no response.
    waiting_since: Option<Instant>,
    requests: Receiver<PublishRequest>,
    results: Sender<PublishResult>,
    sender: Sender<Inbound>,
    inbound: Receiver<Inbound>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            let due = self.state_machine.next_due().unwrap_or(Duration::MAX).saturating_sub((self.clock)());
            let mut outputs = Vec::new();
            select! {
                recv(self.requests) -> request => match request {
                    Ok(request) => self.publish(request, &mut outputs),
                    Err(_) => return,
                },
                recv(self.inbound) -> inbound => match inbound {
                    Ok(inbound) => self.receive(inbound, &mut outputs),
                    Err(_) => return,
                },
                default(due.min(MAX_WAIT)) => {}
            }
            // Whatever else is queued shares the same write.
            for _ in 0..INBOUND_CAPACITY {
                let Ok(inbound) = self.inbound.try_recv() else { break };
                self.receive(inbound, &mut outputs);
            }
            for _ in 0..INBOUND_CAPACITY {
                let Ok(request) = self.requests.try_recv() else { break };
                self.publish(request, &mut outputs);
            }
            outputs.extend(self.state_machine.handle((self.clock)(), PublisherInput::Tick));
            if self.waiting_since.is_some_and(|at| at.elapsed() >= RESPONSE_TIMEOUT) {
                self.switch_replica(None);
            }
            if !self.handle_outputs(outputs) {
                return;
            }
        }
    }

    fn publish(&mut self, request: PublishRequest, outputs: &mut Vec<PublisherOutput>) {
        let PublishRequest { ticket, record, expect } = request;
        let input = PublisherInput::Publish { ticket, record, expect };
        outputs.extend(self.state_machine.handle((self.clock)(), input));
    }

    fn receive(&mut self, inbound: Inbound, outputs: &mut Vec<PublisherOutput>) {
        let connection_id = inbound.connection;
        let input = match inbound.message {
            Some(Message::PublishResponse(response)) => {
                self.waiting_since = None;
                PublisherInput::Response(response)
            }
            // The message is from an abandoned connection.
            _ if self.connection.as_ref().is_none_or(|connection| connection.id != connection_id) => return,
            Some(Message::NotLeader(leader)) => {
                let leader = leader.and_then(|address| address.parse::<SocketAddr>().ok());
                let index = leader
                    .and_then(|leader| self.fleet.replicas.iter().position(|replica| *replica == leader));
                self.switch_replica(index);
                PublisherInput::NotAccepted
            }
            Some(Message::LeaseResponse(_)) => {
                self.waiting_since = None;
                PublisherInput::NotAccepted
            }
            _ => {
                self.switch_replica(None);
                PublisherInput::NotAccepted
            }
        };
        outputs.extend(self.state_machine.handle((self.clock)(), input));
        // The response timeout runs only for a replica to which a request was sent.
        if self.connection.is_some() && self.state_machine.pending_messages() > 0 {
            self.waiting_since.get_or_insert_with(Instant::now);
        }
    }

    /// Switches to the given leader, or to the next replica, which may know the leader.
    fn switch_replica(&mut self, leader: Option<usize>) {
        self.replica = leader.unwrap_or((self.replica + 1) % self.fleet.replicas.len().max(1));
        (self.connection, self.waiting_since) = (None, None);
    }

    /// Carries out the outputs of the state machine. Returns `false` if the receiver of results was dropped.
    fn handle_outputs(&mut self, outputs: Vec<PublisherOutput>) -> bool {
        let mut requests: Vec<Message> = Vec::new();
        for output in outputs {
            match output {
                PublisherOutput::Send(request) => requests.push(Message::Publish(request)),
                PublisherOutput::Settled(ticket, outcome) => {
                    if self.results.send(PublishResult { ticket, outcome }).is_err() {
                        return false;
                    }
                }
                PublisherOutput::Fenced(epoch) => {
                    warn!(
                        topic = %self.topic,
                        epoch = epoch.0,
                        "publisher fenced: another writer has a higher epoch"
                    );
                }
            }
        }
        if !requests.is_empty() {
            self.send(&requests);
        }
        true
    }

    /// Sends messages to the presumed leader. Messages that can't be sent are lost, as on any network.
    fn send(&mut self, messages: &[Message]) {
        if self.connection.is_none() {
            self.last_connection_id += 1;
            self.connection =
                Connection::open(&self.fleet, self.replica, self.last_connection_id, self.sender.clone());
            if self.connection.is_some() {
                let replica = self.fleet.replicas[self.replica];
                info!(topic = %self.topic, %replica, "publisher connected");
            }
        }
        self.waiting_since.get_or_insert_with(Instant::now);
        if !self.connection.as_mut().is_some_and(|connection| connection.send(messages)) {
            self.switch_replica(None);
        }
    }
}

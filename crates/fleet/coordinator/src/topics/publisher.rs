//! A publisher of a topic, by way of the leader.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_leases::Name;
use beechloft_topic::{
    Epoch, Expect, Outcome, Publisher as Machine, PublisherId, PublisherInput, PublisherOutput,
    PublisherSettings, PublisherTicket, Record,
};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select};
use tracing::{info, warn};

use super::{Connection, Inbound, MAX_WAIT, STACK_BYTES};
use crate::settings::FleetSettings;
use crate::wire::Message;

/// Records that wait to be published, at most.
const REQUEST_CAPACITY: usize = 1024;
/// Results that nobody has taken, at most.
const RESULT_CAPACITY: usize = 8192;
/// Messages that have come and are not taken yet, at most.
const INBOUND_CAPACITY: usize = 256;
/// A replica that answers nothing for this long is left for the next one: half an election's time and a sync's.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// How the topic is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteMode {
    /// As one of many writers.
    Shared,
    /// As the only writer, by the fencing token of its lease.
    Exclusive(Epoch),
}

/// The result of a record that was to be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishResult {
    /// The record's ticket.
    pub ticket: PublisherTicket,
    /// What became of it.
    pub outcome: Outcome,
}

/// A record to be published.
struct PublishRequest {
    ticket: PublisherTicket,
    record: Record,
    expect: Expect,
}

/// A publisher of one topic. Its thread ends soon after it is dropped, without being waited for; a record without a result may then
/// have been written or not.
pub struct Publisher {
    requests: Sender<PublishRequest>,
    results: Receiver<PublishResult>,
    next_ticket: AtomicU64,
    stop: Arc<AtomicBool>,
}

impl Publisher {
    /// Starts the thread; nothing is sent before there is a record.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        fleet: &FleetSettings,
        topic: Name,
        mode: WriteMode,
        settings: PublisherSettings,
    ) -> io::Result<Publisher> {
        let (id, seed) = (PublisherId(rand::random()), rand::random());
        let machine = match mode {
            WriteMode::Shared => Machine::one_of_many(id, topic.clone(), settings, seed),
            WriteMode::Exclusive(token) => Machine::only(id, token, topic.clone(), settings, seed),
        };
        let (request_sender, requests) = bounded(REQUEST_CAPACITY);
        let (result_sender, results) = bounded(RESULT_CAPACITY);
        let (sender, inbound) = bounded(INBOUND_CAPACITY);
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            machine,
            topic,
            clock: Box::new(fleet.clock()),
            replica: rand::random_range(0..fleet.replicas.len().max(1)),
            fleet: fleet.clone(),
            connection: None,
            connections: 0,
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

    /// Has a record written if the expectation holds. Its result comes from [`Publisher::results`] by this ticket. None: too many
    /// wait.
    pub fn publish(&self, record: Record, expect: Expect) -> Option<PublisherTicket> {
        let ticket = PublisherTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        match self.requests.try_send(PublishRequest { ticket, record, expect }) {
            Ok(()) => Some(ticket),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// The results of records, each once. While they are not taken, nothing more is written.
    pub fn results(&self) -> &Receiver<PublishResult> {
        &self.results
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The publisher's thread.
struct Worker {
    machine: Machine,
    topic: Name,
    clock: Box<dyn Fn() -> Duration + Send>,
    fleet: FleetSettings,
    /// Index of the replica that is taken for the leader.
    replica: usize,
    connection: Option<Connection>,
    /// Connections that were opened.
    connections: u64,
    /// Since when a request is out and nothing has come back.
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
            let due = self.machine.next_due().unwrap_or(Duration::MAX).saturating_sub((self.clock)());
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
            // Whatever else there is goes out in the same write.
            for _ in 0..INBOUND_CAPACITY {
                let Ok(inbound) = self.inbound.try_recv() else { break };
                self.receive(inbound, &mut outputs);
            }
            for _ in 0..INBOUND_CAPACITY {
                let Ok(request) = self.requests.try_recv() else { break };
                self.publish(request, &mut outputs);
            }
            outputs.extend(self.machine.handle((self.clock)(), PublisherInput::Tick));
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
        outputs.extend(self.machine.handle((self.clock)(), input));
    }

    fn receive(&mut self, inbound: Inbound, outputs: &mut Vec<PublisherOutput>) {
        let number = inbound.connection;
        let input = match inbound.message {
            Some(Message::PublishResponse(response)) => {
                self.waiting_since = None;
                PublisherInput::Heard(response)
            }
            // Of a connection that was left.
            _ if self.connection.as_ref().is_none_or(|connection| connection.number != number) => return,
            Some(Message::NotLeader(leader)) => {
                let named = leader.and_then(|l| l.parse::<SocketAddr>().ok());
                self.switch_replica(named.and_then(|l| self.fleet.replicas.iter().position(|k| *k == l)));
                PublisherInput::NotNow
            }
            Some(Message::LeaseResponse(_)) => {
                self.waiting_since = None;
                PublisherInput::NotNow
            }
            _ => {
                self.switch_replica(None);
                PublisherInput::NotNow
            }
        };
        outputs.extend(self.machine.handle((self.clock)(), input));
        // A replica that was sent nothing yet is not silent.
        if self.connection.is_some() && self.machine.waiting() > 0 {
            self.waiting_since.get_or_insert_with(Instant::now);
        }
    }

    /// Switches to the leader, or to the next replica, which may know it.
    fn switch_replica(&mut self, leader: Option<usize>) {
        self.replica = leader.unwrap_or((self.replica + 1) % self.fleet.replicas.len().max(1));
        (self.connection, self.waiting_since) = (None, None);
    }

    /// Carries out outputs of the publisher; false: the results are taken by nobody any more.
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
                    warn!(topic = %self.topic, epoch = epoch.0, "fenced: another writer has a higher epoch");
                }
            }
        }
        if !requests.is_empty() {
            self.send(&requests);
        }
        true
    }

    /// Sends messages to the replica that is taken for the leader; what can't be sent is lost, as on any network.
    fn send(&mut self, messages: &[Message]) {
        if self.connection.is_none() {
            self.connections += 1;
            self.connection =
                Connection::open(&self.fleet, self.replica, self.connections, self.sender.clone());
            if self.connection.is_some() {
                info!(topic = %self.topic, replica = %self.fleet.replicas[self.replica], "publishes through");
            }
        }
        self.waiting_since.get_or_insert_with(Instant::now);
        if !self.connection.as_mut().is_some_and(|connection| connection.send(messages)) {
            self.switch_replica(None);
        }
    }
}

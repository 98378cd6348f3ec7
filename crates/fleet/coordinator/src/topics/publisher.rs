//! One who writes a topic, by way of whichever keeper leads.

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

use super::{Conn, Inbound, LOOK, STACK};
use crate::settings::FleetSettings;
use crate::wire::Message;

/// Messages that have not been taken yet, and outcomes that nobody has taken, at most.
const QUEUE: (usize, usize) = (1024, 8192);
/// Words that have come and are not taken yet, at most.
const WORDS: usize = 256;
/// A keeper that answers nothing for this is left for the next one: half an election's time and a sync's.
const SILENT: Duration = Duration::from_millis(600);

/// By what right messages are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteMode {
    /// As one of many.
    Shared,
    /// As the one writer, by the token of its lease.
    Exclusive(Epoch),
}

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishResult {
    /// Which.
    pub ticket: PublisherTicket,
    /// What.
    pub outcome: Outcome,
}

type Asked = (PublisherTicket, Record, Expect);

/// A publisher of one topic. It ends when it is dropped; what is not settled then may have been written or not.
pub struct Publisher {
    asks: Sender<Asked>,
    settled: Receiver<PublishResult>,
    tickets: AtomicU64,
    end: Arc<AtomicBool>,
}

impl Publisher {
    /// Begins; nothing is sent before there is a message.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(
        set: &FleetSettings,
        topic: Name,
        right: WriteMode,
        settings: PublisherSettings,
    ) -> io::Result<Publisher> {
        let (id, seed) = (PublisherId(rand::random()), rand::random());
        let machine = match right {
            WriteMode::Shared => Machine::one_of_many(id, topic.clone(), settings, seed),
            WriteMode::Exclusive(token) => Machine::only(id, token, topic.clone(), settings, seed),
        };
        let (asks, asked) = bounded(QUEUE.0);
        let (settles, settled) = bounded(QUEUE.1);
        let (hears, came) = bounded(WORDS);
        let end = Arc::new(AtomicBool::new(false));
        let publishes = Publishes {
            machine,
            topic,
            clock: Box::new(set.clock()),
            keeper: rand::random_range(0..set.keepers.len().max(1)),
            set: set.clone(),
            conn: None,
            conns: 0,
            unheard_since: None,
            asked,
            settles,
            hears,
            came,
            end: Arc::clone(&end),
        };
        thread::Builder::new().name("publishes".into()).stack_size(STACK).spawn(move || publishes.run())?;
        Ok(Publisher { asks, settled, tickets: AtomicU64::new(0), end })
    }

    /// Has a record written, if the expectation holds; what became of it comes out of [`Publisher::settled`] by this ticket. None:
    /// too many wait.
    pub fn publish(&self, record: Record, expect: Expect) -> Option<PublisherTicket> {
        let ticket = PublisherTicket(self.tickets.fetch_add(1, Ordering::Relaxed));
        match self.asks.try_send((ticket, record, expect)) {
            Ok(()) => Some(ticket),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// What became of messages, each once. Whoever does not take them gets nothing more written.
    pub fn settled(&self) -> &Receiver<PublishResult> {
        &self.settled
    }
}

impl Drop for Publisher {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
    }
}

/// The publisher's thread.
struct Publishes {
    machine: Machine,
    topic: Name,
    clock: Box<dyn Fn() -> Duration + Send>,
    set: FleetSettings,
    /// The keeper that is taken for the one that leads.
    keeper: usize,
    conn: Option<Conn>,
    conns: u64,
    /// Since when something is out and nothing has come back.
    unheard_since: Option<Instant>,
    asked: Receiver<Asked>,
    settles: Sender<PublishResult>,
    hears: Sender<Inbound>,
    came: Receiver<Inbound>,
    end: Arc<AtomicBool>,
}

impl Publishes {
    fn run(mut self) {
        while !self.end.load(Ordering::Relaxed) {
            let due = self.machine.next_due().unwrap_or(Duration::MAX).saturating_sub((self.clock)());
            let mut outputs = Vec::new();
            select! {
                recv(self.asked) -> asked => match asked {
                    Ok(asked) => self.ask(asked, &mut outputs),
                    Err(_) => return,
                },
                recv(self.came) -> came => match came {
                    Ok(came) => self.hear(came, &mut outputs),
                    Err(_) => return,
                },
                default(due.min(LOOK)) => {}
            }
            // Whatever else there is goes out together.
            for _ in 0..WORDS {
                let Ok(came) = self.came.try_recv() else { break };
                self.hear(came, &mut outputs);
            }
            for _ in 0..WORDS {
                let Ok(asked) = self.asked.try_recv() else { break };
                self.ask(asked, &mut outputs);
            }
            outputs.extend(self.machine.handle((self.clock)(), PublisherInput::Tick));
            if self.unheard_since.is_some_and(|at| at.elapsed() >= SILENT) {
                self.leave(None);
            }
            if !self.does(outputs) {
                return;
            }
        }
    }

    fn ask(&mut self, (ticket, record, expect): Asked, outputs: &mut Vec<PublisherOutput>) {
        let input = PublisherInput::Publish { ticket, record, expect };
        outputs.extend(self.machine.handle((self.clock)(), input));
    }

    fn hear(&mut self, (number, word): Inbound, outputs: &mut Vec<PublisherOutput>) {
        let input = match word {
            Some(Message::PublishResponse(heard)) => {
                self.unheard_since = None;
                PublisherInput::Heard(heard)
            }
            // Of a connection that was left.
            _ if self.conn.as_ref().is_none_or(|c| c.number != number) => return,
            Some(Message::NotLeader(leader)) => {
                let named = leader.and_then(|l| l.parse::<SocketAddr>().ok());
                self.leave(named.and_then(|l| self.set.keepers.iter().position(|k| *k == l)));
                PublisherInput::NotNow
            }
            Some(Message::LeaseResponse(_)) => {
                self.unheard_since = None;
                PublisherInput::NotNow
            }
            _ => {
                self.leave(None);
                PublisherInput::NotNow
            }
        };
        outputs.extend(self.machine.handle((self.clock)(), input));
        // One that was come to and was asked nothing yet is not silent.
        if self.conn.is_some() && self.machine.waiting() > 0 {
            self.unheard_since.get_or_insert_with(Instant::now);
        }
    }

    /// Goes to the keeper that leads, or to the next one, which may know.
    fn leave(&mut self, leader: Option<usize>) {
        self.keeper = leader.unwrap_or((self.keeper + 1) % self.set.keepers.len().max(1));
        (self.conn, self.unheard_since) = (None, None);
    }

    /// Does what the machine wants; false: nobody is there any more.
    fn does(&mut self, outputs: Vec<PublisherOutput>) -> bool {
        let mut requests: Vec<Message> = Vec::new();
        for output in outputs {
            match output {
                PublisherOutput::Send(request) => requests.push(Message::Publish(request)),
                PublisherOutput::Settled(ticket, outcome) => {
                    if self.settles.send(PublishResult { ticket, outcome }).is_err() {
                        return false;
                    }
                }
                PublisherOutput::Fenced(epoch) => {
                    warn!(topic = %self.topic, epoch = epoch.0, "another writes now");
                }
            }
        }
        if !requests.is_empty() {
            self.say(&requests);
        }
        true
    }

    /// Says words to the keeper that is taken for the leader; what can't be said is lost, as on any network.
    fn say(&mut self, words: &[Message]) {
        if self.conn.is_none() {
            self.conns += 1;
            self.conn = Conn::open(&self.set, self.keeper, self.conns, self.hears.clone());
            if self.conn.is_some() {
                info!(topic = %self.topic, keeper = %self.set.keepers[self.keeper], "publishes by");
            }
        }
        self.unheard_since.get_or_insert_with(Instant::now);
        if !self.conn.as_mut().is_some_and(|conn| conn.say(words)) {
            self.leave(None);
        }
    }
}

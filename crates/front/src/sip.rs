//! SIP on sockets: datagrams and streams in, the agent's messages out.
//!
//! One thread owns the agent, as one owns the core. Each stream has a thread that reads it; one that we open has one
//! more that connects and writes, so that a box which does not answer its handshake holds up nobody else.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_core::api::Micros;
use beechloft_http::wait;
use beechloft_sip::agent::{Agent, Input, OWN, Output};
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{BYTES, Message, Method};
use beechloft_sip::overload::Control;
use beechloft_sip::transaction::Transport;
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::{Receiver, Sender, bounded, select, unbounded};
use tracing::{debug, info, warn};

use crate::Shared;

/// Streams that callers may hold open.
const STREAMS: usize = 1024;
/// A caller's stream without a word for so long is closed.
const IDLE: Duration = Duration::from_secs(120);
/// How often a reader looks whether the front has ended.
const LOOK: Duration = Duration::from_millis(200);
/// Threads that read datagrams: reading a message costs as much as half of all else that is done for a call.
const READERS: usize = 2;
/// Messages within calls that wait for the agent, and new calls. As many as wait longer than a caller does.
const WITHIN: usize = 16_384;
const NEW: usize = 4_096;
/// Messages that wait to be written on one stream.
const WAITING: usize = 256;

/// Starts to take calls at an address, over UDP and TCP alike; the address, as its port may have been free to choose.
pub fn start(shared: &Shared, listen: SocketAddr, seed: u64) -> io::Result<SocketAddr> {
    let tcp = TcpListener::bind(listen)?;
    let address = tcp.local_addr()?;
    let udp = Arc::new(UdpSocket::bind(address)?);
    udp.set_read_timeout(Some(LOOK))?;
    tcp.set_nonblocking(true)?;
    let callers = Arc::new(Streams::default());
    let (sender, lanes) = lanes();
    shared.handle.sip(sender.certain.clone());
    let (seed, number) = (seed ^ 0x0073_6970, shared.settings.settings.number);
    let agent = Agent::with(address, number, seed, Control::new(seed, shared.settings.sip_control));
    let run = Run {
        shared: shared.clone(),
        agent,
        udp: udp.clone(),
        callers: callers.clone(),
        boxes: BTreeMap::new(),
        sender: sender.clone(),
    };
    let spawn = |name: &str, f: Box<dyn FnOnce() + Send>| {
        thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(f).map(drop)
    };
    for _ in 0..READERS {
        let (shared, udp, sender) = (shared.clone(), udp.clone(), sender.clone());
        spawn("sip-udp", Box::new(move || datagrams(&shared, &udp, &sender)))?;
    }
    let of_tcp = shared.clone();
    spawn("sip-tcp", Box::new(move || accept(&of_tcp, &tcp, &callers, &sender)))?;
    spawn("sip", Box::new(move || run.run(&lanes)))?;
    info!(target: "core", %address, "SIP is up");
    Ok(address)
}

/// The ways to the agent's thread. New calls wait behind everything else: what is within a call ends it or frees its
/// room, and a call that waits too long is turned away by the agent.
#[derive(Clone)]
struct ToAgent {
    /// What must not be lost: the core's word, boxes' answers, streams that end.
    certain: Sender<Input>,
    /// Callers' messages within calls.
    within: Sender<Input>,
    /// New calls.
    new: Sender<Input>,
}

/// The other ends.
struct Lanes {
    certain: Receiver<Input>,
    within: Receiver<Input>,
    new: Receiver<Input>,
}

fn lanes() -> (ToAgent, Lanes) {
    let ((certain, a), (within, b), (new, c)) = (unbounded(), bounded(WITHIN), bounded(NEW));
    (ToAgent { certain, within, new }, Lanes { certain: a, within: b, new: c })
}

impl Lanes {
    /// The next input, waited for until a time.
    fn next(&self, wait: Duration) -> Option<Input> {
        let ready =
            self.certain.try_recv().or_else(|_| self.within.try_recv()).or_else(|_| self.new.try_recv());
        ready.ok().or_else(|| {
            select! {
                recv(self.certain) -> input => input.ok(),
                recv(self.within) -> input => input.ok(),
                recv(self.new) -> input => input.ok(),
                default(wait) => None,
            }
        })
    }
}

impl ToAgent {
    fn lane(&self, message: &Message) -> &Sender<Input> {
        match message {
            Message::Request(r) if r.method() == Method::Invite && r.names.to_tag.is_none() => &self.new,
            _ => &self.within,
        }
    }

    /// A caller's datagram. One that finds its lane full is lost, as it is when the socket's buffer is: its sender
    /// repeats it.
    fn datagram(&self, peer: Peer, message: Message, at: Micros) {
        let _ = self.lane(&message).try_send(Input::Received(peer, Box::new(message), at));
    }

    /// A message of a caller's stream, which nobody repeats: the stream waits.
    fn streamed(&self, peer: Peer, message: Box<Message>, at: Micros) {
        let _ = self.lane(&message).send(Input::Received(peer, message, at));
    }

    fn certain(&self, input: Input) {
        // The agent's thread ends last; what comes after is nobody's any more.
        let _ = self.certain.send(input);
    }
}

/// Streams that callers opened, for what is written to them.
type Streams = Mutex<BTreeMap<Peer, Arc<TcpStream>>>;

fn locked(streams: &Streams) -> MutexGuard<'_, BTreeMap<Peer, Arc<TcpStream>>> {
    streams.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stream that we opened: what is to be written, in order.
enum ToWrite {
    Message(Vec<u8>),
    Close,
}

struct Run {
    shared: Shared,
    agent: Agent,
    udp: Arc<UdpSocket>,
    callers: Arc<Streams>,
    boxes: BTreeMap<Peer, Sender<ToWrite>>,
    sender: ToAgent,
}

impl Run {
    fn run(mut self, lanes: &Lanes) {
        let mut out = Vec::new();
        while !self.shared.handle.ended() {
            let due = self.agent.next_due().map(|at| self.shared.clock.instant(at));
            let wait = due.map_or(LOOK, |at| at.saturating_duration_since(Instant::now()).min(LOOK));
            let input = lanes.next(wait).unwrap_or(Input::Tick);
            if let Input::Lost(peer, _) = &input {
                self.boxes.remove(peer);
            }
            debug!(target: "core", ?input, "sip");
            self.agent.handle(self.shared.clock.now(), input, &mut out);
            for output in out.drain(..) {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Core(input) => self.shared.handle.input(*input),
            Output::Close(peer) => {
                if let Some(writer) = self.boxes.remove(&peer) {
                    let _ = writer.try_send(ToWrite::Close);
                }
            }
            Output::Transmit(peer, message) => {
                let bytes = match &*message {
                    Message::Request(request) => request.encode(),
                    Message::Response(response) => response.encode(),
                };
                match peer.transport {
                    Transport::Udp => drop(self.udp.send_to(&bytes, peer.address)),
                    Transport::Tcp if peer.conn >= OWN => self.write_to_box(peer, bytes),
                    Transport::Tcp => self.write_to_caller(peer, &bytes),
                }
            }
        }
    }

    /// A caller that does not read what it is sent loses its stream: nobody else waits for it.
    fn write_to_caller(&self, peer: Peer, bytes: &[u8]) {
        let stream = locked(&self.callers).get(&peer).cloned();
        if let Some(stream) = stream
            && (&*stream).write_all(bytes).is_err()
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn write_to_box(&mut self, peer: Peer, bytes: Vec<u8>) {
        let writer = self.boxes.entry(peer).or_insert_with(|| {
            let (sender, receiver) = bounded(WAITING);
            let (shared, agent) = (self.shared.clone(), self.sender.clone());
            let thread = thread::Builder::new().name("sip-box".into()).stack_size(256 * 1024);
            if let Err(error) = thread.spawn(move || call_box(&shared, peer, &agent, &receiver)) {
                warn!(target: "boxes", %error, "no thread for a call");
            }
            sender
        });
        if writer.try_send(ToWrite::Message(bytes)).is_err() {
            self.sender.certain(Input::Lost(peer, false));
        }
    }
}

/// Opens a stream to a box, has it read, and writes to it until it is to be closed.
fn call_box(shared: &Shared, peer: Peer, agent: &ToAgent, receiver: &Receiver<ToWrite>) {
    let stream = match TcpStream::connect_timeout(&peer.address, shared.settings.connect_time) {
        Ok(stream) => Arc::new(stream),
        Err(error) => {
            let refused = error.kind() == io::ErrorKind::ConnectionRefused;
            debug!(target: "boxes", peer = %peer.address, %error, "no stream");
            return agent.certain(Input::Lost(peer, refused));
        }
    };
    let _ = stream.set_nodelay(true);
    let (of_reader, reads, to_agent) = (shared.clone(), stream.clone(), agent.clone());
    let thread = thread::Builder::new().name("sip-read".into()).stack_size(256 * 1024);
    let reader = thread.spawn(move || read(&of_reader, &reads, peer, &to_agent, Duration::MAX));
    if reader.is_err() {
        return agent.certain(Input::Lost(peer, false));
    }
    while let Ok(ToWrite::Message(bytes)) = receiver.recv() {
        if (&*stream).write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn datagrams(shared: &Shared, udp: &UdpSocket, agent: &ToAgent) {
    let mut buf = vec![0; BYTES];
    while !shared.handle.ended() {
        let Ok((n, address)) = udp.recv_from(&mut buf) else { continue };
        let peer = Peer { address, transport: Transport::Udp, conn: 0 };
        match Message::parse(&buf[..n]) {
            Ok(message) => agent.datagram(peer, message, shared.clock.now()),
            // Keep-alives of four bytes are no messages (RFC 5626, section 3.5.1).
            Err(error) if n > 4 => debug!(target: "http", peer = %address, %error, "datagram dropped"),
            Err(_) => {}
        }
    }
}

fn accept(shared: &Shared, listener: &TcpListener, callers: &Arc<Streams>, agent: &ToAgent) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut next = 0;
    while !shared.handle.ended() {
        let (stream, address) = match listener.accept() {
            Ok(accepted) => accepted,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                wait::acceptable(listener, LOOK);
                continue;
            }
            // Out of descriptors, or a connection that broke at once.
            Err(_) => {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
        };
        if open.load(Ordering::SeqCst) >= STREAMS || stream.set_nonblocking(false).is_err() {
            continue; // closed as it is: no request was taken
        }
        next += 1;
        let peer = Peer { address, transport: Transport::Tcp, conn: next };
        let (shared, agent, callers) = (shared.clone(), agent.clone(), callers.clone());
        let of_thread = open.clone();
        open.fetch_add(1, Ordering::SeqCst);
        let thread = thread::Builder::new().name("sip-caller".into()).stack_size(256 * 1024);
        let spawned = thread.spawn(move || {
            let stream = Arc::new(stream);
            let _ = stream.set_write_timeout(Some(Duration::from_millis(20)));
            locked(&callers).insert(peer, stream.clone());
            read(&shared, &stream, peer, &agent, IDLE);
            locked(&callers).remove(&peer);
            of_thread.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// Reads a stream until it ends, and says so.
fn read(shared: &Shared, stream: &Arc<TcpStream>, peer: Peer, agent: &ToAgent, idle: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(LOOK));
    let (mut framer, mut framed, mut buf) = (Framer::default(), Vec::new(), [0; 4096]);
    let mut heard = Instant::now();
    while !shared.handle.ended() && heard.elapsed() < idle {
        let n = match (&**stream).read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => break,
        };
        heard = Instant::now();
        if let Err(error) = framer.push(&buf[..n], &mut framed) {
            debug!(target: "http", peer = %peer.address, %error, "stream given up");
            break;
        }
        for part in framed.drain(..) {
            match part {
                Framed::Message(message) if peer.conn >= OWN => {
                    agent.certain(Input::Received(peer, message, shared.clock.now()));
                }
                Framed::Message(message) => agent.streamed(peer, message, shared.clock.now()),
                Framed::Ping => drop((&**stream).write_all(b"\r\n")),
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    agent.certain(Input::Lost(peer, false));
}

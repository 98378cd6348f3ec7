//! SIP on sockets.
//!
//! One thread owns the SIP agent, one thread owns all streams, one thread accepts streams and several threads read
//! datagrams.

mod queues;
mod streams;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::wait;
use beechloft_sip::agent::{Agent, Input, Output};
use beechloft_sip::message::{MAX_MESSAGE_BYTES, Message};
use beechloft_sip::overload::Control;
use beechloft_sip::transaction::Transport;
use beechloft_sip::transaction::layer::Peer;
use tracing::{debug, info};

use self::queues::{AgentQueues, AgentSender, queues};
use self::streams::Streams;
use crate::Shared;

/// Maximum number of open streams of callers.
const MAX_CALLER_STREAMS: usize = 1024;
/// Number of ports that are tried if the system may choose the port.
const MAX_PORT_ATTEMPTS: u32 = 32;
/// Interval at which a thread checks whether the front has ended.
const END_POLL: Duration = Duration::from_millis(200);
/// Number of threads that read datagrams. Reading and parsing takes half as much time as all other work for a call.
const UDP_READERS: usize = 2;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// Stack size of a thread.
const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Makes the agent's random numbers differ from others that are derived from the same seed.
const SEED_SALT: u64 = 0x0073_6970;
/// Maximum size of a datagram that is ignored as a keep-alive (RFC 5626, section 3.5.1).
const MAX_KEEP_ALIVE_BYTES: usize = 4;

/// Starts to take calls over UDP and TCP on one port, and returns the address with the port that was chosen.
///
/// # Errors
/// Fails if a socket can't be bound or a thread can't be started.
pub fn start(shared: &Shared, listen: SocketAddr, seed: u64) -> io::Result<SocketAddr> {
    let (tcp, udp) = bind(listen)?;
    let (address, udp) = (tcp.local_addr()?, Arc::new(udp));
    udp.set_read_timeout(Some(END_POLL))?;
    tcp.set_nonblocking(true)?;
    let (sender, queues) = queues();
    shared.handle.attach_sip(sender.for_engine());
    let agent_seed = shared.seed_for_this_start(seed) ^ SEED_SALT;
    let slot = shared.settings.settings.slot;
    let control = Control::new(agent_seed, shared.settings.sip_control);
    let agent = Agent::with(address, slot, agent_seed, control);
    let streams = Streams::start(shared, sender.clone())?;
    let agent_loop = AgentLoop { shared: shared.clone(), agent, udp: udp.clone(), streams: streams.clone() };
    let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
        thread::Builder::new().name(name.into()).stack_size(THREAD_STACK_BYTES).spawn(run).map(drop)
    };
    for _ in 0..UDP_READERS {
        let (reader_shared, udp, sender) = (shared.clone(), udp.clone(), sender.clone());
        spawn("sip-udp", Box::new(move || read_datagrams(&reader_shared, &udp, &sender)))?;
    }
    let acceptor_shared = shared.clone();
    spawn("sip-tcp", Box::new(move || accept(&acceptor_shared, &tcp, &streams)))?;
    spawn("sip", Box::new(move || agent_loop.run(&queues)))?;
    info!(target: "core", %address, "SIP started");
    Ok(address)
}

/// Binds both sockets to the same port. Retries if the port that the system chose for TCP is in use for UDP.
fn bind(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts_left = if listen.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    loop {
        let tcp = TcpListener::bind(listen)?;
        attempts_left -= 1;
        match UdpSocket::bind(tcp.local_addr()?) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts_left > 0 => {}
            udp => return Ok((tcp, udp?)),
        }
    }
}

struct AgentLoop {
    shared: Shared,
    agent: Agent,
    udp: Arc<UdpSocket>,
    streams: Streams,
}

impl AgentLoop {
    fn run(mut self, queues: &AgentQueues) {
        let mut outputs = Vec::new();
        while !self.shared.handle.ended() {
            let due = self.agent.next_due().map(|at| self.shared.clock.instant(at));
            let wait = due.map_or(END_POLL, |at| at.saturating_duration_since(Instant::now()).min(END_POLL));
            let input = queues.next(wait).unwrap_or(Input::Tick);
            debug!(target: "core", ?input, "SIP input");
            self.agent.handle(self.shared.clock.now(), input, &mut outputs);
            for output in outputs.drain(..) {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Controller(input) => self.shared.handle.input(*input),
            Output::Close(peer) => self.streams.close(peer),
            Output::Transmit(peer, message) => {
                let bytes = match &*message {
                    Message::Request(request) => request.encode(),
                    Message::Response(response) => response.encode(),
                };
                match peer.transport {
                    Transport::Udp => drop(self.udp.send_to(&bytes, peer.address)),
                    Transport::Tcp => self.streams.send(peer, bytes),
                }
            }
        }
    }
}

fn read_datagrams(shared: &Shared, udp: &UdpSocket, agent: &AgentSender) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    while !shared.handle.ended() {
        let Ok((length, address)) = udp.recv_from(&mut buffer) else { continue };
        let peer = Peer { address, transport: Transport::Udp, conn: 0 };
        match Message::parse(&buffer[..length]) {
            Ok(message) => agent.datagram(peer, message, shared.clock.now()),
            Err(error) if length > MAX_KEEP_ALIVE_BYTES => {
                debug!(target: "http", peer = %address, %error, "malformed datagram dropped")
            }
            Err(_) => {}
        }
    }
}

fn accept(shared: &Shared, listener: &TcpListener, streams: &Streams) {
    let mut last_conn = 0;
    while !shared.handle.ended() {
        match listener.accept() {
            // A stream beyond the limit is closed before anything is read from it.
            Ok((stream, _)) if streams.callers() >= MAX_CALLER_STREAMS => drop(stream),
            Ok((stream, address)) => {
                last_conn += 1;
                streams.adopt(Peer { address, transport: Transport::Tcp, conn: last_conn }, stream);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => wait::acceptable(listener, END_POLL),
            // The process is out of file descriptors, or the connection broke immediately.
            Err(_) => thread::sleep(ACCEPT_PAUSE),
        }
    }
}

//! SIP on sockets: datagrams and streams in, the agent's messages out.
//!
//! One thread owns the agent, as one owns the core; one owns all streams; some read datagrams.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::wait;
use beechloft_sip::agent::{Agent, Input, Output};
use beechloft_sip::message::{BYTES, Message};
use beechloft_sip::overload::Control;
use beechloft_sip::transaction::Transport;
use beechloft_sip::transaction::layer::Peer;
use tracing::{debug, info};

use crate::Shared;
use crate::lanes::{Lanes, ToAgent, lanes};
use crate::streams::Streams;

/// Streams that callers may hold open.
const STREAMS: usize = 1024;
/// Ports that are tried where the system may choose one.
const PORTS: u32 = 32;
/// How often a thread looks whether the front has ended.
const LOOK: Duration = Duration::from_millis(200);
/// Threads that read datagrams: reading a message costs as much as half of all else that is done for a call.
const READERS: usize = 2;

/// Starts to take calls at an address, over UDP and TCP alike; the address, as its port may have been free to choose.
pub fn start(shared: &Shared, listen: SocketAddr, seed: u64) -> io::Result<SocketAddr> {
    let (tcp, udp) = bind(listen)?;
    let (address, udp) = (tcp.local_addr()?, Arc::new(udp));
    udp.set_read_timeout(Some(LOOK))?;
    tcp.set_nonblocking(true)?;
    let (sender, lanes) = lanes();
    shared.handle.sip(sender.of_core());
    let (seed, number) = (shared.of_this_start(seed) ^ 0x0073_6970, shared.settings.settings.slot);
    let agent = Agent::with(address, number, seed, Control::new(seed, shared.settings.sip_control));
    let streams = Streams::start(shared, sender.clone())?;
    let run = Run { shared: shared.clone(), agent, udp: udp.clone(), streams: streams.clone() };
    let spawn = |name: &str, f: Box<dyn FnOnce() + Send>| {
        thread::Builder::new().name(name.into()).stack_size(256 * 1024).spawn(f).map(drop)
    };
    for _ in 0..READERS {
        let (shared, udp, sender) = (shared.clone(), udp.clone(), sender.clone());
        spawn("sip-udp", Box::new(move || datagrams(&shared, &udp, &sender)))?;
    }
    let of_tcp = shared.clone();
    spawn("sip-tcp", Box::new(move || accept(&of_tcp, &tcp, &streams)))?;
    spawn("sip", Box::new(move || run.run(&lanes)))?;
    info!(target: "core", %address, "SIP is up");
    Ok(address)
}

/// Both sockets on one port. A port that the system chose for one may be taken for the other.
fn bind(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = if listen.port() == 0 { PORTS } else { 1 };
    loop {
        let tcp = TcpListener::bind(listen)?;
        tries -= 1;
        match UdpSocket::bind(tcp.local_addr()?) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && tries > 0 => {}
            udp => return Ok((tcp, udp?)),
        }
    }
}

struct Run {
    shared: Shared,
    agent: Agent,
    udp: Arc<UdpSocket>,
    streams: Streams,
}

impl Run {
    fn run(mut self, lanes: &Lanes) {
        let mut out = Vec::new();
        while !self.shared.handle.ended() {
            let due = self.agent.next_due().map(|at| self.shared.clock.instant(at));
            let wait = due.map_or(LOOK, |at| at.saturating_duration_since(Instant::now()).min(LOOK));
            let input = lanes.next(wait).unwrap_or(Input::Tick);
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

fn accept(shared: &Shared, listener: &TcpListener, streams: &Streams) {
    let mut next = 0;
    while !shared.handle.ended() {
        match listener.accept() {
            // One too many is closed as it is: no request was taken.
            Ok((stream, _)) if streams.callers() >= STREAMS => drop(stream),
            Ok((stream, address)) => {
                next += 1;
                streams.adopt(Peer { address, transport: Transport::Tcp, conn: next }, stream);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => wait::acceptable(listener, LOOK),
            // Out of descriptors, or a connection that broke at once.
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
}

//! A box: a streaming server that speaks WHEP and WHIP, as far as a front and a player can tell.

mod life;
mod load;
mod serve;
mod sip;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_http::server::Server;
use beechloft_http::wait;
use beechloft_session::api::LoadReport;
use beechloft_session::io::MediaServerEvent;
use crossbeam_channel::Sender;

use crate::dice::Dice;
use crate::fault::Fault;
use crate::link::Racks;
use crate::sessions::{Sessions, Warmth};

pub use crate::sessions::Warming;

/// What a box is.
#[derive(Debug, Clone)]
pub struct BoxSpec {
    /// Its number.
    pub id: u32,
    /// Its rack.
    pub rack: u16,
    /// Its link, kB a second.
    pub link_kb: f64,
    /// Streams that it runs at most.
    pub streams: usize,
    /// Set-ups that it works on at once.
    pub cores: usize,
    /// What a set-up takes of a core.
    pub set_up: Duration,
    /// It turns set-ups away while so much of its link is asked; 0: never.
    pub guard: f64,
    /// Titles that it holds, and the rates of their rungs, kB a second.
    pub titles: BTreeMap<String, Vec<f64>>,
    /// How it warms up; none: it is always warm.
    pub warming: Option<Warming>,
    /// Seed of its draws.
    pub seed: u64,
}

struct State {
    sessions: Sessions,
    warmth: Warmth,
    faults: Vec<(Fault, Instant)>,
    dice: Dice,
    boot: u64,
    reported: LoadReport,
    streams: Vec<Sender<MediaServerEvent>>,
    /// Time from a request for events to the begin of its response.
    events_response_time: Duration,
    /// Toppled, or told to stay down.
    down: bool,
}

struct Inner {
    spec: BoxSpec,
    racks: Arc<Racks>,
    recorder: Recorder,
    state: Mutex<State>,
    /// SIP calls that stand.
    calls: Mutex<sip::Calls>,
    /// How often the streams of SIP calls were broken.
    cut: AtomicU64,
    cores: Mutex<usize>,
    core_free: Condvar,
    server: Mutex<Option<Server>>,
    media: UdpSocket,
    address: SocketAddr,
    end: AtomicBool,
    probes: AtomicU64,
}

/// A box that runs until it is dropped.
pub struct StandBox(Arc<Inner>, SocketAddr);

impl StandBox {
    /// Starts a box on a free port; `warm`: it has run for long.
    pub fn start(spec: BoxSpec, racks: Arc<Racks>, recorder: Recorder, warm: bool) -> io::Result<StandBox> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let media = UdpSocket::bind("127.0.0.1:0")?;
        media.set_read_timeout(Some(Duration::from_millis(20)))?;
        let state = State {
            sessions: Sessions::default(),
            warmth: Warmth::new(None),
            faults: Vec::new(),
            dice: Dice::new(spec.seed),
            boot: 0,
            reported: LoadReport::default(),
            streams: Vec::new(),
            events_response_time: Duration::ZERO,
            down: true,
        };
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            cores: Mutex::new(spec.cores.max(1)),
            spec,
            racks,
            recorder,
            state: Mutex::new(state),
            calls: Mutex::default(),
            cut: AtomicU64::new(0),
            core_free: Condvar::new(),
            server: Mutex::default(),
            media,
            address,
            end: AtomicBool::new(false),
            probes: AtomicU64::new(0),
        });
        inner.come_up(listener, warm)?;
        let of_thread = inner.clone();
        thread::Builder::new().name("box".into()).stack_size(256 * 1024).spawn(move || of_thread.keep())?;
        let sip = sip::start(&inner, TcpListener::bind("127.0.0.1:0")?)?;
        Ok(StandBox(inner, sip))
    }

    /// Where it takes SIP calls.
    pub fn sip_address(&self) -> Option<SocketAddr> {
        Some(self.1)
    }

    /// Breaks the streams of its SIP calls, and keeps the calls.
    pub fn drop_streams(&self) {
        self.0.drop_streams();
    }

    /// Forgets its SIP calls without a word.
    pub fn drop_calls(&self) {
        self.0.drop_calls();
    }

    /// Breaks the event streams. From now on each response to a request for events begins so long after the request.
    pub fn delay_events(&self, response_time: Duration) {
        let mut state = self.0.lock();
        state.events_response_time = response_time;
        state.streams.clear();
    }

    /// Where it listens; the same over restarts.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// What it is.
    pub fn spec(&self) -> &BoxSpec {
        &self.0.spec
    }

    /// Puts a fault in force, beside others.
    pub fn fault(&self, fault: Fault) {
        match fault {
            Fault::Die => self.0.die(false),
            Fault::Refuse => self.0.close_door(),
            _ => self.0.lock().faults.push((fault, Instant::now())),
        }
    }

    /// Ends all faults. A box that refused connections takes them again; one that died stays down.
    pub fn clear(&self) {
        self.0.lock().faults.clear();
        let closed = self.0.server().is_none() && !self.0.lock().down;
        if closed && let Ok(listener) = TcpListener::bind(self.0.address) {
            let _ = self.0.open_door(listener);
        }
    }

    /// Starts the process anew, cold, on the same port.
    pub fn restart(&self) -> io::Result<()> {
        self.0.die(false);
        let until = Instant::now() + Duration::from_secs(2);
        loop {
            match TcpListener::bind(self.0.address) {
                Ok(listener) => return self.0.come_up(listener, false),
                Err(e) if Instant::now() >= until => return Err(e),
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    /// How often it was asked for its load.
    pub fn probes(&self) -> u64 {
        self.0.probes.load(Ordering::SeqCst)
    }

    /// Sessions that it runs.
    pub fn sessions(&self) -> usize {
        self.0.lock().sessions.len()
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        !self.0.lock().down
    }
}

impl Drop for StandBox {
    fn drop(&mut self) {
        self.0.end.store(true, Ordering::SeqCst);
        self.0.die(true);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a connection tells of its front: whether it has closed its side. One that can't be asked is taken to be open.
fn closed(socket: &TcpStream) -> impl Fn() -> bool + Send + 'static {
    let socket = socket.try_clone().ok();
    move || socket.as_ref().is_some_and(wait::hung_up)
}

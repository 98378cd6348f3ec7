//! A box: a streaming server that speaks WHEP and WHIP, as far as a front and a player can tell.

mod serve;
mod sip;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, What};
use beechloft_core::api::{LoadReport, Note};
use beechloft_core::io::BoxNews;
use beechloft_http::server::{Server, Sizes};
use beechloft_http::{Limits, wait};
use crossbeam_channel::Sender;

use self::serve::Door;
use crate::dice::Dice;
use crate::fault::Fault;
use crate::link::{Racks, Share};
use crate::media;
pub use crate::sessions::Warming;
use crate::sessions::{Sessions, Warmth};

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

/// Between two refreshes of the load that it reports.
const REFRESH: Duration = Duration::from_millis(400);
/// Between two notes of short delivery.
const SHORT_EVERY: Duration = Duration::from_secs(1);
/// Between two notes of fullness.
const FULL_EVERY: Duration = Duration::from_secs(4);

struct State {
    sessions: Sessions,
    warmth: Warmth,
    faults: Vec<(Fault, Instant)>,
    dice: Dice,
    boot: u64,
    reported: LoadReport,
    streams: Vec<Sender<BoxNews>>,
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

/// A set-up's client has gone, or the box.
struct Gone;

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self) -> MutexGuard<'_, Option<Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn come_up(self: &Arc<Self>, listener: TcpListener, warm: bool) -> io::Result<()> {
        {
            let mut state = self.lock();
            state.boot += 1;
            state.down = false;
            state.faults.clear();
            state.reported = LoadReport::default();
            state.warmth = Warmth::new(if warm { None } else { self.spec.warming });
        }
        self.recorder.note(What::Started { server: self.spec.id, warm });
        self.open_door(listener)
    }

    fn open_door(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let limits = Limits { idle_time: Duration::from_secs(60), ..Limits::default() };
        let sizes = Sizes { limits, ..Sizes::default() };
        let server = Server::start(listener, sizes, Arc::new(Door(self.clone())))?;
        *self.server() = Some(server);
        Ok(())
    }

    fn close_door(&self) {
        let server = self.server().take();
        if let Some(server) = server {
            server.kill();
        }
    }

    /// The process ends, and all sessions with it.
    fn die(&self, quietly: bool) {
        let was_up = {
            let mut state = self.lock();
            state.sessions.clear();
            state.streams.clear();
            !std::mem::replace(&mut state.down, true)
        };
        if was_up && !quietly {
            self.recorder.note(What::Died { server: self.spec.id });
        }
        self.core_free.notify_all();
        self.close_door();
    }

    fn topple(&self) {
        {
            let mut state = self.lock();
            state.sessions.clear();
            state.streams.clear();
            state.down = true;
        }
        self.recorder.note(What::Toppled { server: self.spec.id });
        self.close_door();
    }

    fn has(&self, pick: impl Fn(&Fault) -> bool) -> bool {
        self.lock().faults.iter().any(|f| pick(&f.0))
    }

    fn stands_still(&self) -> bool {
        self.has(|f| *f == Fault::StandStill)
    }

    /// What a fault that strikes a share of the set-ups strikes now.
    fn strikes(&self, pick: impl Fn(&Fault) -> Option<f64>) -> bool {
        let mut state = self.lock();
        let share = state.faults.iter().filter_map(|f| pick(&f.0)).fold(0.0, f64::max);
        share > 0.0 && state.dice.chance(share)
    }

    fn link_kb(&self, state: &State) -> f64 {
        let taken = state
            .faults
            .iter()
            .filter_map(|f| if let Fault::TakeLink { share } = f.0 { Some(share) } else { None });
        self.spec.link_kb * (1.0 - taken.fold(0.0, f64::max)).max(0.01) * state.warmth.now()
    }

    fn share(&self, state: &State) -> Share {
        self.racks.share(self.spec.rack, self.spec.id, state.sessions.asked_kb(), self.link_kb(state))
    }

    fn delay(&self) -> Duration {
        let state = self.lock();
        let of = |(fault, since): &(Fault, Instant)| match fault {
            Fault::Late { ms } => Duration::from_millis(*ms),
            Fault::GrowSlow { ms_per_s, .. } => {
                Duration::from_secs_f64(since.elapsed().as_secs_f64() * ms_per_s / 1000.0)
            }
            _ => Duration::ZERO,
        };
        state.faults.iter().map(of).sum()
    }

    /// Counts a set-up that has come; whether it pushes a cold box over, which it then has.
    fn topples(self: &Arc<Self>) -> bool {
        let toppled = self.lock().warmth.topples(self.spec.streams as f64);
        if toppled {
            self.topple();
        }
        toppled
    }

    /// Whether it turns set-ups away: all its streams run, or its link is asked for too much.
    fn is_full(&self) -> bool {
        let state = self.lock();
        let over = self.spec.guard > 0.0 && self.share(&state).link >= self.spec.guard;
        over || state.sessions.len() >= self.spec.streams
    }

    /// Waits while the client is there.
    fn pause(&self, socket: &TcpStream, until: Instant) -> Result<(), Gone> {
        while Instant::now() < until {
            let slice = until.min(Instant::now() + Duration::from_millis(20));
            match wait::readable([Some(socket)], slice) {
                Ok([true]) if wait::hung_up(socket) => return Err(Gone),
                // Something was sent behind the offer; it is read later.
                Ok([true]) => thread::sleep(Duration::from_millis(2)),
                Ok([false]) => {}
                Err(_) => return Err(Gone),
            }
            if self.lock().down {
                return Err(Gone);
            }
        }
        Ok(())
    }

    /// Waits while the box stands still or is told never to answer.
    fn hold(&self, socket: &TcpStream) -> Result<(), Gone> {
        while self.has(|f| matches!(f, Fault::NeverAnswer | Fault::StandStill)) {
            self.pause(socket, Instant::now() + Duration::from_millis(20))?;
        }
        Ok(())
    }

    /// Works on a set-up: takes a core for its time.
    fn work(&self, socket: &TcpStream) -> Result<(), Gone> {
        let mut cores = self.cores.lock().unwrap_or_else(PoisonError::into_inner);
        while *cores == 0 {
            let wait = Duration::from_millis(20);
            cores = self.core_free.wait_timeout(cores, wait).unwrap_or_else(PoisonError::into_inner).0;
            if *cores == 0 && (wait::hung_up(socket) || self.lock().down) {
                return Err(Gone);
            }
        }
        *cores -= 1;
        drop(cores);
        let spent = self.spec.set_up.div_f64(self.lock().warmth.now().max(0.05));
        let done = self.pause(socket, Instant::now() + spent);
        *self.cores.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.core_free.notify_one();
        done
    }

    fn free(&self, path: &str, expired: bool) -> bool {
        {
            // Noted before anybody can see that it is gone.
            let mut state = self.lock();
            let Some(session) = state.sessions.remove(path) else { return false };
            self.recorder.note(What::Freed { server: self.spec.id, offer: session.offer, expired });
        }
        self.tell(&BoxNews::Over { resource: path.to_owned() });
        true
    }

    fn tell(&self, news: &BoxNews) {
        self.lock().streams.retain(|s| s.try_send(news.clone()).is_ok());
    }

    /// Media, consent, notes and expiry, until the box is dropped.
    fn keep(&self) {
        let mut buf = [0; 256];
        let (mut refreshed, mut short_told, mut full_told, mut was_short) =
            (Instant::now(), Instant::now(), Instant::now(), false);
        while !self.end.load(Ordering::SeqCst) {
            if let Ok((n, peer)) = self.media.recv_from(&mut buf) {
                self.consent(&buf[..n], peer);
            }
            let now = Instant::now();
            if now - refreshed >= REFRESH {
                refreshed = now;
                self.refresh(now);
            }
            let share = self.share(&self.lock());
            let short = share.delivered < 0.98;
            if now - short_told >= SHORT_EVERY && (short || was_short) {
                (short_told, was_short) = (now, short);
                self.tell(&BoxNews::Note(Note::Delivered(share.delivered)));
            }
            if now - full_told >= FULL_EVERY {
                full_told = now;
                self.tell(&BoxNews::Note(Note::LinkUse(share.link)));
                self.tell(&BoxNews::Note(Note::UplinkUse(share.uplink)));
            }
        }
    }

    fn consent(&self, datagram: &[u8], peer: SocketAddr) {
        let Some(name) = media::consented(datagram) else { return };
        let frame = {
            let mut state = self.lock();
            if state.down || state.faults.iter().any(|f| matches!(f.0, Fault::StandStill)) {
                return;
            }
            let Some(rate) = state.sessions.consent(name, Instant::now()) else { return };
            let silent = state.faults.iter().any(|f| matches!(f.0, Fault::DeliverNothing));
            let delivered = if silent { 0.0 } else { self.share(&state).delivered };
            media::frame(name, delivered, rate)
        };
        let _ = self.media.send_to(&frame, peer);
    }

    fn refresh(&self, now: Instant) {
        let (expired, dies) = {
            let mut state = self.lock();
            let share = self.share(&state);
            let streams = Some(state.sessions.len() as f64);
            state.reported = LoadReport { streams, link: Some(share.link), uplink: Some(share.uplink) };
            let dies = state.faults.iter().any(
                |f| matches!(f.0, Fault::GrowSlow { dies_after_s, .. } if f.1.elapsed().as_secs_f64() >= dies_after_s),
            );
            let still = state.faults.iter().any(|f| f.0 == Fault::StandStill);
            (if still { Vec::new() } else { state.sessions.expired(now) }, dies)
        };
        for path in expired {
            self.free(&path, true);
        }
        if dies {
            self.die(false);
        }
    }
}

/// What a connection tells of its front: whether it has closed its side. One that can't be asked is taken to be open.
fn closed(socket: &TcpStream) -> impl Fn() -> bool + Send + 'static {
    let socket = socket.try_clone().ok();
    move || socket.as_ref().is_some_and(wait::hung_up)
}

//! What the tests run: restarts in turn with set-ups in flight, clients that depart while the process is stopped, a media
//! server that warms up, a list that names no media server.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use serde_json::Value;

use crate::attempts::Attempts;
use crate::behavior::Behavior;
use crate::clients::{ClientConnection, Departure};
use crate::fleet::{Fleet, FrontNode, NODES, SlowStart};
use crate::invariants::CROSSING_WINDOW_US;
use crate::load::{burst, depart_during_attempt, millis, send_load};
use crate::media_server::{CutKind, ERROR_DELAY, MediaServer};
use crate::recorder::{Event, Recorder, RestartStyle, lock};

const SERVERS: usize = 8;
/// The number of the media server that is listed later.
const LATE_SERVER: usize = 8;
const RESTARTED_TOGETHER: usize = 5;
const DEPARTURES: [Departure; 3] = [Departure::Fin, Departure::Rst, Departure::Cancel];

/// Media servers warm up within an instant.
pub const NO_SLOW_START: SlowStart =
    SlowStart { streams: 6_000, initial_share: 0.4, ramp_us: 1_000, multiple: 3.0, window_us: 2_000 };
/// 80 set-ups are allowed within 1 s.
pub const SLOW_START: SlowStart =
    SlowStart { streams: 256, initial_share: 0.5, ramp_us: 4_000_000, multiple: 2.5, window_us: 1_000_000 };

/// 80 set-ups are allowed within 4 s, in which a front node can restart.
pub const LONG_SLOW_START: SlowStart = SlowStart { ramp_us: 16_000_000, window_us: 4_000_000, ..SLOW_START };

/// One scenario runs at a time, as each has its twenty processes.
pub fn exclusive() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    lock(&RUNNING)
}

fn restart_style(node: usize) -> RestartStyle {
    match node % 4 {
        0 | 1 => RestartStyle::Plain,
        2 => RestartStyle::StoppedBeforeTerm,
        _ => RestartStyle::StoppedWhileDraining,
    }
}

fn restart_node(node: &FrontNode, recorder: &Recorder) {
    let style = restart_style(node.number);
    let open: Vec<Arc<ClientConnection>> =
        (0..3).filter_map(|_| ClientConnection::open(node.number, node.addr, recorder)).collect();
    let mut kept = Vec::new();
    // So that a stopped process has accepted them before.
    for connection in &open {
        connection.passes_test();
    }
    let hold = Duration::from_micros(CROSSING_WINDOW_US) + millis(100);
    if style != RestartStyle::Plain {
        node.paused.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + millis(2_500);
        while recorder.has_pending(node.number) && Instant::now() < deadline {
            thread::sleep(millis(10));
        }
    }
    // Where a process is stopped there is nothing but the backlog at most front nodes.
    let stalled_with = if node.number % 8 >= 6 { &open[..] } else { &[] };
    match style {
        RestartStyle::Plain => {
            for behavior in [Behavior::Silent, Behavior::Slow, Behavior::ErrorOnce, Behavior::Accept] {
                for connection in &open {
                    connection.send_set_up(behavior);
                }
            }
            node.terminate(style);
            thread::sleep(millis(100));
            burst(node, recorder, &open, &mut kept);
            thread::sleep(millis(200));
            burst(node, recorder, &open, &mut kept);
        }
        RestartStyle::StoppedBeforeTerm => {
            node.signal(Signal::STOP);
            burst(node, recorder, stalled_with, &mut kept);
            // Longer than what counts as crossing a close.
            thread::sleep(hold);
            node.terminate(style);
            node.signal(Signal::CONT);
        }
        RestartStyle::StoppedWhileDraining => {
            node.terminate(style);
            thread::sleep(millis(150));
            node.signal(Signal::STOP);
            burst(node, recorder, stalled_with, &mut kept);
            thread::sleep(millis(1_200));
            node.signal(Signal::CONT);
        }
    }
    node.wait_exit();
    node.start();
    node.wait_ready();
    node.paused.store(false, Ordering::SeqCst);
}

/// What the restarts in turn gave, with all that crosses them.
pub struct RestartRun {
    pub events: Vec<Event>,
    pub attempts: Attempts,
    pub logs: String,
    /// The longest that a thread of the fakes waited to be scheduled, in microseconds.
    pub max_delay: u64,
    /// How many requests the second event bus got after discovery moved.
    pub moved_requests: usize,
    /// The media server that only the second event bus lists.
    pub late_server: usize,
}

/// Cuts the connections of one media server after another until told to stop.
fn cut_in_turn(fleet: &Fleet, stop: &AtomicBool) {
    let mut round = 0;
    while !stop.load(Ordering::SeqCst) {
        let kind = if round % 2 == 0 { CutKind::Reset } else { CutKind::Close };
        fleet.media_servers[round % SERVERS].cut_all(kind);
        round += 1;
        thread::sleep(millis(300));
    }
}

/// Restarts one group of front nodes, while clients of the next group depart.
fn restart_group(group: &[Arc<FrontNode>], next: &[Arc<FrontNode>], recorder: &Recorder) {
    thread::scope(|scope| {
        for node in group {
            scope.spawn(|| restart_node(node, recorder));
        }
        for (n, node) in next.iter().enumerate() {
            for k in 0..DEPARTURES.len() {
                let how = DEPARTURES[(n + k) % DEPARTURES.len()];
                scope.spawn(move || depart_during_attempt(node, recorder, how));
            }
        }
    });
}

/// Moves discovery to the second event bus by a new configuration and SIGHUP; front nodes that restart later start with it.
/// Gives how many requests that bus got.
fn move_discovery(fleet: &Fleet, listed_there: &Value) -> usize {
    fleet.configure(1, 1);
    for node in &fleet.nodes {
        node.signal(Signal::HUP);
    }
    fleet.buses[0].disconnect_all();
    let deadline = Instant::now() + millis(10_000);
    while fleet.buses[1].request_count() < NODES && Instant::now() < deadline {
        thread::sleep(millis(10));
    }
    // All run, and none has sent a second request yet.
    let requests = fleet.buses[1].request_count();
    fleet.buses[1].publish(2, false, std::slice::from_ref(listed_there));
    requests
}

/// What is sent to a front node. Where nothing is to be pending as it ends, all answers are quick.
fn steady_behaviors(node: usize) -> &'static [Behavior] {
    use Behavior::{Accept, CloseOnce, ErrorOnce, ResetOnce, Silent, Slow};
    match restart_style(node) {
        RestartStyle::Plain => {
            &[Accept, Slow, Accept, ErrorOnce, Accept, ResetOnce, Accept, CloseOnce, Silent]
        }
        RestartStyle::StoppedBeforeTerm | RestartStyle::StoppedWhileDraining => {
            &[Accept, ErrorOnce, Accept, ResetOnce]
        }
    }
}

/// Restarts all front nodes in groups, under load, while connections are cut and discovery moves.
pub fn run_restarts() -> RestartRun {
    let _exclusive = exclusive();
    let mut fleet = Fleet::start(SERVERS, NO_SLOW_START);
    let stop = AtomicBool::new(false);
    let mut moved_requests = 0;
    let late_server = MediaServer::start(LATE_SERVER, &fleet.recorder);
    let listed = late_server.endpoint("Ready");
    let (recorder, nodes) = (&fleet.recorder, &fleet.nodes);
    thread::scope(|scope| {
        for node in nodes {
            let behaviors = steady_behaviors(node.number);
            scope.spawn(|| send_load(node, recorder, behaviors, millis(100), &stop));
        }
        let cuts = scope.spawn(|| cut_in_turn(&fleet, &stop));
        thread::sleep(millis(500));
        for (n, group) in nodes.chunks(RESTARTED_TOGETHER).enumerate() {
            let next = &nodes[(n + 1) * RESTARTED_TOGETHER % NODES..][..RESTARTED_TOGETHER];
            restart_group(group, next, recorder);
            if n == 1 {
                moved_requests = move_discovery(&fleet, &listed);
            }
        }
        thread::sleep(millis(500));
        stop.store(true, Ordering::SeqCst);
        let _ = cuts.join();
    });
    let run = RestartRun {
        events: fleet.recorder.events(),
        attempts: fleet.recorder.attempts.attempts(),
        logs: fleet.logs(),
        max_delay: fleet.recorder.max_scheduling_delay(),
        moved_requests,
        late_server: LATE_SERVER,
    };
    fleet.media_servers.push(late_server);
    run
}

/// What the departures while processes were stopped gave.
pub struct DepartureRun {
    pub events: Vec<Event>,
    /// The longest that a thread of the fakes waited to be scheduled, in microseconds.
    pub max_delay: u64,
}

/// Clients depart while the process is stopped, so that the departures lie in the kernel's buffers as it wakes: behind their
/// set-ups, which it has not read either, and beside the errors of the media servers that have their set-ups.
pub fn run_departures_while_stopped() -> DepartureRun {
    let _exclusive = exclusive();
    let fleet = Fleet::start(6, NO_SLOW_START);
    let recorder = &fleet.recorder;
    let opened = |node: &FrontNode| -> Vec<Arc<ClientConnection>> {
        let all: Vec<_> =
            (0..6).filter_map(|_| ClientConnection::open(node.number, node.addr, recorder)).collect();
        for connection in &all {
            connection.passes_test();
        }
        all
    };
    thread::scope(|scope| {
        for node in &fleet.nodes {
            scope.spawn(move || {
                let (held, unread) = (opened(node), opened(node));
                let ids: Vec<u64> =
                    held.iter().filter_map(|c| c.send_set_up(Behavior::ErrorAfterDeparture)).collect();
                let deadline = Instant::now() + millis(1_000);
                while !ids.iter().all(|id| recorder.has_reached_a_server(*id)) && Instant::now() < deadline {
                    thread::sleep(millis(2));
                }
                node.signal(Signal::STOP);
                for connection in &unread {
                    connection.send_set_up(Behavior::Accept);
                }
                held.iter()
                    .chain(&unread)
                    .enumerate()
                    .for_each(|(n, c)| c.depart(DEPARTURES[n % DEPARTURES.len()]));
                // The media servers' errors come meanwhile.
                thread::sleep(ERROR_DELAY + millis(200));
                node.signal(Signal::CONT);
                thread::sleep(millis(1_000));
            });
        }
    });
    DepartureRun { events: recorder.events(), max_delay: recorder.max_scheduling_delay() }
}

/// What the restart of a media server gave.
pub struct SlowStartRun {
    pub events: Vec<Event>,
    /// When its start was published.
    pub published_at: u64,
    /// Its number.
    pub server: usize,
}

fn restart_all(fleet: &Fleet) {
    thread::scope(|scope| {
        for node in &fleet.nodes {
            scope.spawn(move || {
                node.terminate(RestartStyle::Plain);
                node.wait_exit();
                node.start();
                node.wait_ready();
            });
        }
    });
}

/// A media server restarts while many times its allowance is sent. `restarted`: all front nodes are restarted soon after its
/// start was published, and are back within the window.
pub fn run_slow_start(slow_start: SlowStart, restarted: bool) -> SlowStartRun {
    let _exclusive = exclusive();
    let mut fleet = Fleet::start(4, slow_start);
    let old = fleet.media_servers.remove(2);
    let gone = old.endpoint("Gone");
    let mut new = old.restart_as(10, &fleet.recorder);
    let number = new.number;
    new.since_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
    let ready = new.endpoint("Ready");
    fleet.media_servers.push(new);
    let stop = AtomicBool::new(false);
    // No other has the titles that are requested.
    let published_at = thread::scope(|scope| {
        let published_at = fleet.recorder.now();
        fleet.buses[0].publish(2, false, &[gone, ready]);
        for node in &fleet.nodes {
            let (recorder, stop) = (&fleet.recorder, &stop);
            scope.spawn(move || send_load(node, recorder, &[Behavior::OneCellOnly], millis(15), stop));
        }
        thread::sleep(millis(400));
        if restarted {
            fleet.configure(0, 2);
            restart_all(&fleet);
        }
        thread::sleep(millis(1_400));
        stop.store(true, Ordering::SeqCst);
        published_at
    });
    SlowStartRun { events: fleet.recorder.events(), published_at, server: number }
}

/// What the empty snapshot gave.
pub struct EmptySnapshotRun {
    pub events: Vec<Event>,
    /// When it was published.
    pub published_at: u64,
}

/// A snapshot is published that names no media server.
pub fn run_empty_snapshot() -> EmptySnapshotRun {
    let _exclusive = exclusive();
    let fleet = Fleet::start(6, NO_SLOW_START);
    let stop = AtomicBool::new(false);
    let published_at = thread::scope(|scope| {
        for node in &fleet.nodes {
            let (recorder, stop) = (&fleet.recorder, &stop);
            scope.spawn(move || send_load(node, recorder, &[Behavior::Accept], millis(50), stop));
        }
        thread::sleep(millis(1_000));
        let published_at = fleet.recorder.now();
        fleet.buses[0].publish(2, true, &[]);
        thread::sleep(millis(2_500));
        stop.store(true, Ordering::SeqCst);
        published_at
    });
    EmptySnapshotRun { events: fleet.recorder.events(), published_at }
}

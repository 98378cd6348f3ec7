//! Scenarios of the tests: rolling restarts with set-ups in flight, clients that depart while the process is stopped, a media
//! server that warms up, and an empty endpoint list.

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
/// Number of the media server that only the second event bus lists.
const LATE_SERVER: usize = 8;
const RESTARTED_TOGETHER: usize = 5;
const DEPARTURES: [Departure; 3] = [Departure::Fin, Departure::Rst, Departure::Cancel];

/// Media servers warm up within 1 ms.
pub const NO_SLOW_START: SlowStart =
    SlowStart { streams: 6_000, initial_share: 0.4, ramp_us: 1_000, multiple: 3.0, window_us: 2_000 };
/// 80 set-ups are allowed within 1 s.
pub const SLOW_START: SlowStart =
    SlowStart { streams: 256, initial_share: 0.5, ramp_us: 4_000_000, multiple: 2.5, window_us: 1_000_000 };

/// 80 set-ups are allowed within 4 s, in which a front node can restart.
pub const LONG_SLOW_START: SlowStart = SlowStart { ramp_us: 16_000_000, window_us: 4_000_000, ..SLOW_START };

/// Ensures that only one scenario runs at a time, because each starts twenty processes.
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
    let mut opened = Vec::new();
    // Passing a test ensures that the process has accepted the connections before it is stopped.
    for connection in &open {
        connection.passes_test();
    }
    let stop_time = Duration::from_micros(CROSSING_WINDOW_US) + millis(100);
    if style != RestartStyle::Plain {
        node.paused.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + millis(2_500);
        while recorder.has_pending(node.number) && Instant::now() < deadline {
            thread::sleep(millis(10));
        }
    }
    // Only some of the stopped processes get set-ups on open connections. The others get those in the backlog only.
    let open_while_stopped = if node.number % 8 >= 6 { &open[..] } else { &[] };
    match style {
        RestartStyle::Plain => {
            for behavior in [Behavior::Silent, Behavior::Slow, Behavior::ErrorOnce, Behavior::Accept] {
                for connection in &open {
                    connection.send_set_up(behavior);
                }
            }
            node.terminate(style);
            thread::sleep(millis(100));
            burst(node, recorder, &open, &mut opened);
            thread::sleep(millis(200));
            burst(node, recorder, &open, &mut opened);
        }
        RestartStyle::StoppedBeforeTerm => {
            node.signal(Signal::STOP);
            burst(node, recorder, open_while_stopped, &mut opened);
            // The process is stopped for longer than the window in which a set-up counts as crossing a close.
            thread::sleep(stop_time);
            node.terminate(style);
            node.signal(Signal::CONT);
        }
        RestartStyle::StoppedWhileDraining => {
            node.terminate(style);
            thread::sleep(millis(150));
            node.signal(Signal::STOP);
            burst(node, recorder, open_while_stopped, &mut opened);
            thread::sleep(millis(1_200));
            node.signal(Signal::CONT);
        }
    }
    node.wait_exit();
    node.start();
    node.wait_ready();
    node.paused.store(false, Ordering::SeqCst);
}

/// Results of the rolling restarts.
pub struct RestartRun {
    pub events: Vec<Event>,
    pub attempts: Attempts,
    pub logs: String,
    /// Maximum scheduling delay of the fakes' threads in microseconds.
    pub max_delay: u64,
    /// Number of requests to the second event bus after discovery moved.
    pub moved_requests: usize,
    /// Media server that only the second event bus lists.
    pub late_server: usize,
}

/// Closes or resets the connections of one media server after another until `stop` is set.
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
/// Returns the number of requests to that bus.
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
    // All front nodes are running, and none has sent a second request yet.
    let requests = fleet.buses[1].request_count();
    fleet.buses[1].publish(2, false, std::slice::from_ref(listed_there));
    requests
}

/// Returns the behaviors of the steady set-ups to a front node. If nothing may be pending when it stops, all answers are quick.
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

/// Results of departures while processes were stopped.
pub struct DepartureRun {
    pub events: Vec<Event>,
    /// Maximum scheduling delay of the fakes' threads in microseconds.
    pub max_delay: u64,
}

/// Lets clients depart while the process is stopped. When it continues, the departures are in the kernel's buffers: behind unread
/// set-ups, and together with errors of the media servers that have the set-ups.
pub fn run_departures_while_stopped() -> DepartureRun {
    let _exclusive = exclusive();
    let fleet = Fleet::start(6, NO_SLOW_START);
    let recorder = &fleet.recorder;
    let open_connections = |node: &FrontNode| -> Vec<Arc<ClientConnection>> {
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
                let (with_attempt, unread) = (open_connections(node), open_connections(node));
                let ids: Vec<u64> = with_attempt
                    .iter()
                    .filter_map(|connection| connection.send_set_up(Behavior::ErrorAfterDeparture))
                    .collect();
                let deadline = Instant::now() + millis(1_000);
                while !ids.iter().all(|id| recorder.has_reached_a_server(*id)) && Instant::now() < deadline {
                    thread::sleep(millis(2));
                }
                node.signal(Signal::STOP);
                for connection in &unread {
                    connection.send_set_up(Behavior::Accept);
                }
                with_attempt
                    .iter()
                    .chain(&unread)
                    .enumerate()
                    .for_each(|(n, connection)| connection.depart(DEPARTURES[n % DEPARTURES.len()]));
                // The media servers' errors arrive meanwhile.
                thread::sleep(ERROR_DELAY + millis(200));
                node.signal(Signal::CONT);
                thread::sleep(millis(1_000));
            });
        }
    });
    DepartureRun { events: recorder.events(), max_delay: recorder.max_scheduling_delay() }
}

/// Results of the restart of a media server.
pub struct SlowStartRun {
    pub events: Vec<Event>,
    /// Time at which the start of the media server was published.
    pub published_at: u64,
    /// Number of the media server.
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

/// Restarts a media server while many times its allowance is sent. If `restarted` is set, all front nodes are restarted soon after
/// the start was published, and are ready again within the window.
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
    // No other media server has the requested titles.
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

/// Results of the empty snapshot.
pub struct EmptySnapshotRun {
    pub events: Vec<Event>,
    /// Time at which the snapshot was published.
    pub published_at: u64,
}

/// Publishes a snapshot without media servers.
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

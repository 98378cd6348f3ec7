//! Faults planted in what three keepers do with a topic, over their real sockets and disks: each is found by what writers were told
//! and readers saw, and without one nothing is.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use beechloft_checker::topic::{Recorded, Verdict};
use beechloft_coordinator::{CoordinatorServer, FleetSettings};
use beechloft_fakes::topic::{Pace, Reader, Writer};
use beechloft_fault_proxy::ports::ReservedPort;
use beechloft_fault_proxy::{LinkFault, TcpProxy};
use beechloft_topic::{Fault, Layout, Name, SubscriberSettings};

const KEEPERS: usize = 3;
const TOPIC: &str = "planted";
/// Some messages to one batch, so that whoever joins gets several.
const PACE: Pace = Pace { every: Duration::from_millis(2), keys: 60, bytes: 2_000, deletes: 25 };

/// Its keys are seldom written again, so that some deletions are overtaken by nothing when their retention is over, however fast the
/// machine is.
const SELDOM: Pace = Pace { every: Duration::from_millis(5), keys: 400, bytes: 100, deletes: 40 };

/// All that write at once.
const ALL: [Pace; 3] = [PACE, PACE, SELDOM];
/// One writer with few keys: two messages of one key come one after the other.
const FEW_KEYS: [Pace; 1] = [Pace { keys: 3, ..PACE }];

struct Fleet {
    _dir: tempfile::TempDir,
    _ports: Vec<ReservedPort>,
    addresses: Vec<SocketAddr>,
    end: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    fn new(retention_ms: u32, fault: Option<Fault>) -> Fleet {
        let dir = tempfile::tempdir().expect("a folder");
        let ports = ReservedPort::reserve_all(KEEPERS).expect("ports");
        let addresses: Vec<SocketAddr> = ports.iter().map(ReservedPort::address).collect();
        let end = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (n, address) in addresses.iter().enumerate() {
            let more = format!(
                "  listen: {address}\n  store: {}\n  topics: [{{name: {TOPIC}, retention_ms: {retention_ms}}}]\n",
                dir.path().join(n.to_string()).display()
            );
            let mut keeping =
                CoordinatorServer::start(settings(&addresses, &more), Arc::clone(&end)).expect("it starts");
            if let Some(fault) = fault {
                keeping.inject_fault(fault);
            }
            threads.push(thread::spawn(move || keeping.run().expect("it keeps")));
        }
        Fleet { _dir: dir, _ports: ports, addresses, end, threads }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

fn settings(addresses: &[SocketAddr], more: &str) -> FleetSettings {
    let list: Vec<String> = addresses.iter().map(|a| format!("'{a}'")).collect();
    let text = format!("fleet:\n  name: planted\n  keepers: [{}]\n{more}", list.join(", "));
    FleetSettings::read(&text).expect("sound")
}

/// A reader that is caught up before anything is written, and that takes nothing while more is written than a subscription's window
/// and the log's tail hold together: its feed is following then, and finds the reader's place outside the tail.
struct StalledReader(Reader);

impl StalledReader {
    const NAME: &str = "stalls";
    /// The writer whose values are counted.
    const WRITER: &str = "w0/";
    const MAX_WAIT: Duration = Duration::from_secs(30);

    /// Starts to read an empty topic, and pauses once it is caught up.
    fn start(set: &FleetSettings, topic: &Name, record: &Recorded) -> StalledReader {
        let reader = Reader::start(set, topic, Self::NAME, Duration::ZERO, record).expect("it starts");
        let began = Instant::now();
        while record.lock().caught_up(Self::NAME) == 0 {
            assert!(began.elapsed() < Self::MAX_WAIT, "the stalled reader is not caught up");
            thread::sleep(Duration::from_millis(5));
        }
        reader.pause();
        StalledReader(reader)
    }

    /// Waits until its place is outside the log's tail, and reads on.
    fn resume_outside_tail(self, record: &Recorded) -> Reader {
        let at = self.0.complete_to().expect("it was caught up");
        // The window is what the feed may have sent ahead; the second tail allows for a batch that exceeds it.
        let window = usize::try_from(SubscriberSettings::default().window_bytes).expect("a window in memory");
        let bytes = window + 2 * Layout::default().min_tail_bytes;
        let values = bytes / PACE.bytes + 1;
        let began = Instant::now();
        while record.lock().values_since(Self::WRITER, at) < values {
            assert!(began.elapsed() < Self::MAX_WAIT, "too little is written to leave the tail");
            thread::sleep(Duration::from_millis(20));
        }
        self.0.resume();
        self.0
    }
}

/// Some write; one follows, one is slow, one sleeps for `sleep` and wakes, and others join every while.
fn play(fault: Option<Fault>, paces: &[Pace], retention_ms: u32, sleep: Duration) -> Verdict {
    let fleet = Fleet::new(retention_ms, fault);
    let (set, record) = (settings(&fleet.addresses, ""), Recorded::default());
    let name = Name::try_from(TOPIC.to_owned()).expect("a name");
    let stalls = matches!(fault, None | Some(Fault::BacklogSkipped));
    let stalled = stalls.then(|| StalledReader::start(&set, &name, &record));
    let writers: Vec<Writer> = paces
        .iter()
        .enumerate()
        .map(|(n, pace)| Writer::start(&set, &name, &format!("w{n}"), *pace, &record).expect("it starts"))
        .collect();
    let relays: Vec<TcpProxy> =
        fleet.addresses.iter().map(|a| TcpProxy::start(*a).expect("a relay")).collect();
    let via: Vec<String> =
        fleet.addresses.iter().zip(&relays).map(|(a, r)| format!("'{a}={}'", r.address())).collect();
    let by_relays = settings(&fleet.addresses, &format!("  test_via: [{}]\n", via.join(", ")));
    let reader = |set: &FleetSettings, who: &str, takes| {
        Reader::start(set, &name, who, Duration::from_millis(takes), &record).expect("it starts")
    };
    let mut readers =
        vec![reader(&set, "follows", 0), reader(&set, "slow", 10), reader(&by_relays, "sleeps", 0)];
    let began = Instant::now();
    while readers[2].complete_to().is_none_or(|to| to < 1_500) && began.elapsed() < Duration::from_secs(30) {
        thread::sleep(Duration::from_millis(20));
    }
    readers.extend(stalled.map(|reader| reader.resume_outside_tail(&record)));
    relays.iter().for_each(|r| r.set_fault(LinkFault::partition()));
    relays.iter().for_each(TcpProxy::close_connections);
    let until = Instant::now() + sleep;
    let mut late = 0;
    while Instant::now() < until {
        late += 1;
        readers.push(reader(&set, &format!("late-{late}"), 0));
        thread::sleep(Duration::from_millis(400));
    }
    relays.iter().for_each(|r| r.set_fault(LinkFault::default()));
    thread::sleep(Duration::from_secs(1));
    writers.into_iter().for_each(Writer::finish);
    let needs = record.lock().highest().map_or(0, |h| h + 1);
    for reader in &readers {
        reader.ends(needs, Duration::from_secs(20));
    }
    let sound = record.lock().clone();
    if stalls {
        assert!(sound.fell_behind(StalledReader::NAME) > 0, "the stalled reader did not leave the tail");
    }
    sound.judge()
}

fn counts(v: &Verdict) -> [usize; 4] {
    [v.gaps.len(), v.revived.len(), v.lost.len(), v.twice.len()]
}

#[test]
fn without_a_fault_nothing_is_found() {
    let verdict = play(None, &ALL, 1_000, Duration::from_secs(4));
    assert!(verdict.is_clean(), "{verdict:#?}");
    assert!(verdict.acknowledged > 300 && verdict.caught_up >= 8, "{verdict:?}");
}

#[test]
fn planted_faults_are_found() {
    let long = (60_000, Duration::from_secs(4));
    let all = [
        (Fault::BatchClaimsHead, long),
        (Fault::HorizonIgnored, (1_000, Duration::from_secs(6))),
        (Fault::BacklogSkipped, long),
        (Fault::OffsetReused, long),
    ];
    let found: Vec<(Fault, [usize; 4])> = thread::scope(|scope| {
        let runs: Vec<_> = all
            .into_iter()
            .map(|(fault, (retention, sleep))| {
                let paces: &[Pace] = if fault == Fault::OffsetReused { &FEW_KEYS } else { &ALL };
                scope.spawn(move || (fault, counts(&play(Some(fault), paces, retention, sleep))))
            })
            .collect();
        runs.into_iter().map(|r| r.join().expect("it ends")).collect()
    });
    for (fault, counts) in &found {
        println!("{fault:?}: gaps, revived, lost, twice {counts:?}");
    }
    for (fault, counts) in found {
        assert!(counts.iter().any(|n| *n > 0), "{fault:?} is not found");
    }
}

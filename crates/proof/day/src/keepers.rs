//! The keepers of a day, the candidates for a lease, and the links between all of them and the fronts: processes that are
//! killed, stopped and let go on, and relays that cut and delay.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, What};
use beechloft_config::Section;
use beechloft_keeper::{FleetSettings, client};
use beechloft_standin::resource::Resource;
use beechloft_trouble::ports::Port;
use beechloft_trouble::{Mood, Relay, Way};
use rustix::process::{Pid, Signal, kill_process_group};
use serde_json::{Value, json};

/// How long a group of keepers may take to come together.
const UP_WITHIN: Duration = Duration::from_secs(20);
/// A candidate's command that has ended is started again after this.
const AGAIN: Duration = Duration::from_millis(100);

/// What a script says of them.
#[derive(Debug, Clone, PartialEq)]
pub struct KeepersSpec {
    /// Keepers.
    pub count: u64,
    /// Candidates for a lease, who act while they hold it.
    pub candidates: u64,
    /// The lease's time, milliseconds.
    pub ttl_ms: u64,
    /// From one act to the next, milliseconds.
    pub act_ms: u64,
    /// The drift that is allowed for, parts of a million.
    pub drift_ppm: u64,
    /// How far clocks are apart: each process's is fast or slow by up to half of it, parts of a million.
    pub clocks_apart_ppm: u64,
    /// Fronts have their numbers by lease, of this time in milliseconds; none: as written.
    pub number_ttl_ms: Option<u64>,
    /// Fronts have seats: a front takes over the number that it had before it was told to restart.
    pub seats: bool,
    /// Fronts restart in turn: so many at once, each back within so many milliseconds.
    pub restart: Option<(u64, u64)>,
}

impl KeepersSpec {
    /// Reads the section.
    pub fn of(s: &Section<'_>) -> KeepersSpec {
        let drift_ppm = s.whole("drift_ppm", 0..=99_999).unwrap_or(20_000);
        let clocks_apart_ppm = s.whole("clocks_apart_ppm", 0..=99_999).unwrap_or(10_000);
        if clocks_apart_ppm > 2 * drift_ppm {
            s.fault("clocks_apart_ppm", "that is more than the drift allows for");
        }
        let count = s.whole("count", 1..=9).unwrap_or(3);
        if count.is_multiple_of(2) {
            s.fault("count", "an odd number is needed");
        }
        let restart = s.has("restart").then(|| {
            let r = s.section("restart");
            (r.needed_whole("at_most", 1..=64), r.whole("back_ms", 500..=60_000).unwrap_or(3_000))
        });
        KeepersSpec {
            count,
            candidates: s.whole("candidates", 0..=256).unwrap_or(4),
            ttl_ms: s.whole("ttl_ms", 500..=60_000).unwrap_or(1_500),
            act_ms: s.whole("act_ms", 1..=10_000).unwrap_or(20),
            drift_ppm,
            clocks_apart_ppm,
            number_ttl_ms: s.whole("number_ttl_ms", 500..=60_000),
            seats: s.flag("seats", false),
            restart,
        }
    }
}

/// Which keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Which {
    /// Whoever leads when it begins.
    Leader,
    /// This one, counted from nought.
    Keeper(usize),
}

/// A trouble between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Between {
    /// A keeper is killed outright, and started again at the end.
    KillKeeper(Which),
    /// It is stopped, and goes on at the end.
    StopKeeper(Which),
    /// All are killed at once.
    KillKeepers,
    /// It hears nobody and nobody hears it; one way: it is heard by nobody.
    CutKeeper {
        /// Which.
        which: Which,
        /// It still hears others.
        one_way: bool,
    },
    /// All that it says and hears is late.
    SlowKeeper(Which, Duration),
    /// The leader is cut off together with whoever holds the lease.
    CutLeaderWithHolder,
    /// Whoever holds the lease is killed with all that it runs, and another candidate comes at the end.
    KillHolder,
    /// It is stopped with all that it runs, and goes on at the end.
    StopHolder,
    /// A front can't reach any keeper.
    CutFront(usize),
}

impl Between {
    /// Reads one, if this is one.
    pub fn of(s: &Section<'_>, keepers: u64, fronts: usize) -> Option<Between> {
        let which = |key: &'static str| match s.text(key)?.as_str() {
            "leader" => Some(Which::Leader),
            text => match text.parse() {
                Ok(n) if n < keepers as usize => Some(Which::Keeper(n)),
                _ => {
                    s.fault(key, format!("'leader' or a keeper's number under {keepers} is needed"));
                    None
                }
            },
        };
        if s.has("kill_keeper") {
            which("kill_keeper").map(Between::KillKeeper)
        } else if s.has("stop_keeper") {
            which("stop_keeper").map(Between::StopKeeper)
        } else if s.has("kill_keepers") {
            s.flag("kill_keepers", true).then_some(Between::KillKeepers)
        } else if s.has("cut_keeper") {
            let one_way = s.flag("one_way", false);
            which("cut_keeper").map(|which| Between::CutKeeper { which, one_way })
        } else if s.has("slow_keeper") {
            let ms = s.needed_whole("ms", 1..=60_000);
            which("slow_keeper").map(|which| Between::SlowKeeper(which, Duration::from_millis(ms)))
        } else if s.has("cut_leader_with_holder") {
            s.flag("cut_leader_with_holder", true).then_some(Between::CutLeaderWithHolder)
        } else if s.has("kill_holder") {
            s.flag("kill_holder", true).then_some(Between::KillHolder)
        } else if s.has("stop_holder") {
            s.flag("stop_holder", true).then_some(Between::StopHolder)
        } else if s.has("cut_front") {
            Some(Between::CutFront(s.whole("cut_front", 0..=fronts as u64 - 1)? as usize))
        } else {
            None
        }
    }
}

/// A process in a group of its own, ended with all that it runs.
struct Group(Child);

impl Group {
    fn start(command: &mut Command, log: &Path) -> io::Result<Group> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).process_group(0);
        Ok(Group(command.spawn()?))
    }

    fn signal(&self, signal: Signal) {
        let _ = kill_process_group(Pid::from_child(&self.0), signal);
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.0.wait();
    }
}

/// What a trouble chose when it began, to be undone at its end.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Chosen {
    Keeper(usize),
    Candidate(usize),
    Nobody,
}

/// The keepers and candidates of a day.
pub struct Keepers {
    spec: KeepersSpec,
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    _ports: Vec<Port>,
    keepers: Vec<Option<Group>>,
    candidates: Vec<Option<Group>>,
    ended_at: Vec<Option<Instant>>,
    /// From a process to a keeper: keepers come first, then candidates, then fronts.
    relays: BTreeMap<(usize, usize), Relay>,
    resource: Resource,
    recorder: Recorder,
    asks: FleetSettings,
    chosen: BTreeMap<usize, Chosen>,
    over: bool,
}

impl Keepers {
    /// Starts the keepers, and waits until they have come together.
    ///
    /// # Errors
    /// Sockets, files, processes; or they do not come together in time.
    pub fn start(
        spec: &KeepersSpec,
        fronts: usize,
        program: &Path,
        folder: &Path,
        recorder: &Recorder,
    ) -> io::Result<Keepers> {
        let ports = Port::draw_all(spec.count as usize)?;
        let addresses: Vec<SocketAddr> = ports.iter().map(Port::address).collect();
        let all = addresses.len() + spec.candidates as usize + fronts;
        let mut relays = BTreeMap::new();
        for from in 0..all {
            for (to, address) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                relays.insert((from, to), Relay::start(*address)?);
            }
        }
        let mut made = Keepers {
            spec: spec.clone(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            keepers: addresses.iter().map(|_| None).collect(),
            candidates: (0..spec.candidates).map(|_| None).collect(),
            ended_at: (0..spec.candidates).map(|_| Some(Instant::now() - AGAIN)).collect(),
            relays,
            resource: Resource::start(recorder)?,
            recorder: recorder.clone(),
            asks: FleetSettings::default(),
            addresses,
            _ports: ports,
            chosen: BTreeMap::new(),
            over: false,
        };
        let text = json!({ "fleet": made.section(None) }).to_string();
        made.asks = FleetSettings::read(&text).map_err(|e| io::Error::other(e.to_string()))?;
        for n in 0..made.keepers.len() {
            made.start_keeper(n)?;
        }
        let until = Instant::now() + UP_WITHIN;
        while made.leader().is_none() {
            if Instant::now() >= until {
                return Err(io::Error::other("the keepers do not come together"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(made)
    }

    /// A section of settings: for a keeper, a candidate or a front by its place among all, or for whoever only looks.
    fn section(&self, place: Option<usize>) -> Value {
        let texts: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        let via = self.relays.iter().filter(|(way, _)| Some(way.0) == place);
        let via: Vec<String> =
            via.map(|((_, to), r)| format!("{}={}", self.addresses[*to], r.address())).collect();
        // From the slowest to the fastest and back, by place.
        let half = self.spec.clocks_apart_ppm as f64 / 2e6;
        let rate = 1.0 + half * [-1.0, 1.0, 0.0, 0.5, -0.5][place.unwrap_or(2) % 5];
        json!({
            "name": "day", "keepers": texts, "drift_ppm": self.spec.drift_ppm,
            "test_clock_rate": rate, "test_via": via,
        })
    }

    /// A front's section.
    pub fn of_front(&self, front: usize) -> Value {
        let mut section = self.section(Some(self.addresses.len() + self.candidates.len() + front));
        if let Some(ttl) = self.spec.number_ttl_ms {
            section["number"] = json!("lease");
            section["number_ttl_ms"] = json!(ttl);
            if self.spec.seats {
                section["seat"] = json!(format!("front-{front}"));
            }
        }
        if let Some((at_most, back_ms)) = self.spec.restart {
            section["restart"] = json!({ "at_most": at_most, "back_ms": back_ms });
        }
        section
    }

    fn write(&self, name: &str, section: &Value) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        fs::write(&path, json!({ "fleet": section }).to_string())?;
        Ok(path)
    }

    fn start_keeper(&mut self, n: usize) -> io::Result<()> {
        let mut section = self.section(Some(n));
        section["listen"] = json!(self.addresses[n].to_string());
        section["store"] = json!(self.folder.join(format!("keeper-{n}")).display().to_string());
        let file = self.write(&format!("keeper-{n}.json"), &section)?;
        let log = self.folder.join(format!("keeper-{n}.log"));
        self.keepers[n] = Some(Group::start(Command::new(&self.program).arg("keeper").arg(file), &log)?);
        Ok(())
    }

    fn candidate_name(n: usize) -> String {
        format!("candidate-{n}")
    }

    fn start_candidate(&mut self, n: usize) -> io::Result<()> {
        let name = Keepers::candidate_name(n);
        let section = self.section(Some(self.addresses.len() + n));
        let file = self.write(&format!("{name}.json"), &section)?;
        let (at, ttl) = (self.resource.address().to_string(), self.spec.ttl_ms.to_string());
        let every = self.spec.act_ms.to_string();
        let mut command = Command::new(&self.program);
        command.args(["lease", "hold"]).arg(file).args(["task", "--ttl-ms", &ttl, "--"]).arg(&self.program);
        command.args(["lease", "act", &at, "--as", &name, "--every-ms", &every]);
        let log = self.folder.join(format!("{name}.log"));
        self.candidates[n] = Some(Group::start(&mut command, &log)?);
        Ok(())
    }

    /// The keeper that leads, by what each says of itself.
    fn leader(&self) -> Option<usize> {
        let voters = self.addresses.len();
        let says = |(n, at): (usize, &SocketAddr)| {
            let s = client::status(&self.asks, *at, Duration::from_millis(300))?;
            let all = s.members.iter().filter(|m| m.voter).count() == voters;
            (s.role == "leader" && all).then_some((s.term, n))
        };
        self.addresses.iter().enumerate().filter_map(says).max().map(|l| l.1)
    }

    /// Who acted last.
    fn holder(&self) -> Option<usize> {
        let name = self.resource.holder()?;
        (0..self.candidates.len()).find(|n| Keepers::candidate_name(*n) == name)
    }

    /// Starts candidates whose command has ended; to be called now and then.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn look(&mut self) -> io::Result<()> {
        for n in 0..self.candidates.len() {
            let ended = |g: &mut Group| matches!(g.0.try_wait(), Ok(Some(_)));
            if self.candidates[n].as_mut().is_some_and(ended) {
                self.candidates[n] = None;
                self.ended_at[n] = Some(Instant::now());
            }
            let due = self.ended_at[n].is_some_and(|at| at.elapsed() >= AGAIN);
            if !self.over && self.candidates[n].is_none() && due {
                self.ended_at[n] = None;
                self.start_candidate(n)?;
            }
        }
        Ok(())
    }

    fn choose(&self, which: Which) -> Option<usize> {
        match which {
            Which::Keeper(n) => Some(n),
            Which::Leader => self.leader(),
        }
    }

    /// Between a keeper and all others: what others say to it, and what it says.
    fn way(&self, keeper: usize, heard: Mood, says: Mood) {
        for ((from, to), relay) in &self.relays {
            if *to == keeper {
                relay.set(Way { there: heard, back: says });
            } else if *from == keeper {
                relay.set(Way { there: says, back: heard });
            }
        }
    }

    /// From a process that is no keeper to all keepers but one.
    fn cut(&self, place: usize, but: Option<usize>, cut: bool) {
        let way = if cut { Way::cut() } else { Way::default() };
        let of = |k: &(usize, usize)| k.0 == place && Some(k.1) != but;
        self.relays.iter().filter(|(k, _)| of(k)).for_each(|(_, r)| r.set(way));
    }

    /// A trouble begins.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn begin(&mut self, trouble: usize, between: &Between) -> io::Result<()> {
        let cut = Mood { cut: true, ..Mood::default() };
        let chosen = match between {
            Between::KillKeeper(which) => self.choose(*which).map(|n| {
                self.keepers[n] = None;
                Chosen::Keeper(n)
            }),
            Between::StopKeeper(which) => self.choose(*which).map(|n| {
                self.signal(n, Signal::STOP);
                Chosen::Keeper(n)
            }),
            Between::KillKeepers => {
                self.keepers.iter_mut().for_each(|k| *k = None);
                None
            }
            Between::CutKeeper { which, one_way } => self.choose(*which).map(|n| {
                self.way(n, if *one_way { Mood::default() } else { cut }, cut);
                Chosen::Keeper(n)
            }),
            Between::SlowKeeper(which, by) => self.choose(*which).map(|n| {
                let late = Mood { late: *by, ..Mood::default() };
                self.way(n, late, late);
                Chosen::Keeper(n)
            }),
            Between::CutLeaderWithHolder => self.leader().map(|n| {
                self.way(n, cut, cut);
                if let Some(holder) = self.holder() {
                    let place = self.addresses.len() + holder;
                    self.cut(place, Some(n), true);
                    if let Some(relay) = self.relays.get(&(place, n)) {
                        relay.set(Way::default());
                    }
                }
                Chosen::Keeper(n)
            }),
            Between::KillHolder => self.holder().map(|n| {
                (self.candidates[n], self.ended_at[n]) = (None, None);
                Chosen::Candidate(n)
            }),
            Between::StopHolder => self.holder().map(|n| {
                self.recorder.note(What::Stopped { holder: Keepers::candidate_name(n) });
                self.candidates[n].iter().for_each(|g| g.signal(Signal::STOP));
                Chosen::Candidate(n)
            }),
            Between::CutFront(front) => {
                self.cut(self.addresses.len() + self.candidates.len() + front, None, true);
                None
            }
        };
        self.chosen.insert(trouble, chosen.unwrap_or(Chosen::Nobody));
        Ok(())
    }

    fn signal(&self, keeper: usize, signal: Signal) {
        self.keepers[keeper].iter().for_each(|g| g.signal(signal));
    }

    /// A trouble ends.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn end(&mut self, trouble: usize, between: &Between) -> io::Result<()> {
        let Some(chosen) = self.chosen.remove(&trouble) else { return Ok(()) };
        let none = Mood::default();
        match (between, chosen) {
            (Between::KillKeeper(_), Chosen::Keeper(n)) => self.start_keeper(n)?,
            (Between::StopKeeper(_), Chosen::Keeper(n)) => self.signal(n, Signal::CONT),
            (Between::KillKeepers, _) => {
                for n in 0..self.keepers.len() {
                    self.start_keeper(n)?;
                }
            }
            (Between::CutKeeper { .. } | Between::SlowKeeper(..), Chosen::Keeper(n)) => {
                self.way(n, none, none)
            }
            (Between::CutLeaderWithHolder, Chosen::Keeper(_)) => {
                self.relays.values().for_each(|r| r.set(Way::default()));
            }
            (Between::KillHolder, Chosen::Candidate(n)) => self.ended_at[n] = Some(Instant::now()),
            (Between::StopHolder, Chosen::Candidate(n)) => {
                self.recorder.note(What::WentOn { holder: Keepers::candidate_name(n) });
                self.candidates[n].iter().for_each(|g| g.signal(Signal::CONT));
            }
            (Between::CutFront(front), _) => {
                self.cut(self.addresses.len() + self.candidates.len() + front, None, false);
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends the candidates: nobody is to act any more.
    pub fn end_acts(&mut self) {
        if !std::mem::replace(&mut self.over, true) && !self.candidates.is_empty() {
            self.recorder.note(What::ActsEnd);
        }
        self.candidates.iter_mut().for_each(|c| *c = None);
    }
}

//! Keepers and candidates as processes, with relays between them where a test asks for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use beechloft_fault_proxy::{LinkFault, TcpProxy};
use serde_json::Value;

use super::{PATIENCE, Process, beechloft, kept_addresses};

/// Of the lease that candidates are after.
pub const TTL_MS: u64 = 1_500;

pub struct Fleet {
    pub dir: tempfile::TempDir,
    pub addresses: Vec<SocketAddr>,
    pub keepers: Vec<Option<Process>>,
    pub candidates: Vec<Process>,
    /// More lines of the keepers' section.
    pub more: String,
    /// Between each two: who opens the connection (keepers first, then candidates) and the keeper that it leads to.
    pub relays: BTreeMap<(usize, usize), TcpProxy>,
}

impl Fleet {
    pub fn new(keepers: usize) -> Fleet {
        Fleet::relayed(keepers, 0)
    }

    /// With a relay between each two keepers, and between each of so many candidates and each keeper.
    pub fn relayed(keepers: usize, relayed: usize) -> Fleet {
        Fleet::with(keepers, relayed, "")
    }

    /// The same with more lines in the keepers' section.
    pub fn with(keepers: usize, relayed: usize, more: &str) -> Fleet {
        let addresses = kept_addresses(keepers);
        let dir = tempfile::tempdir().expect("a folder");
        let mut fleet = Fleet {
            dir,
            addresses,
            keepers: Vec::new(),
            candidates: Vec::new(),
            more: more.to_owned(),
            relays: BTreeMap::new(),
        };
        // All keepers that are to be, and as many candidates as any test has.
        for from in 0..keepers + relayed {
            for to in (0..keepers).filter(|to| relayed > 0 && *to != from) {
                fleet.relays.insert((from, to), TcpProxy::start(fleet.addresses[to]).expect("a relay"));
            }
        }
        for n in 0..keepers {
            fleet.keepers.push(None);
            fleet.start(n);
        }
        fleet
    }

    /// A file of settings; each keeper's clock runs at a rate of its own, 1% apart.
    pub fn settings(&self, keeper: Option<usize>) -> PathBuf {
        self.settings_of(keeper, keeper)
    }

    /// Of a keeper, of a candidate (whose place comes after all keepers), or of whoever only looks.
    pub fn settings_of(&self, keeper: Option<usize>, from: Option<usize>) -> PathBuf {
        let list: Vec<String> = self.addresses.iter().map(|a| format!("'{a}'")).collect();
        let mut text =
            format!("fleet:\n  name: test\n  keepers: [{}]\n  drift_ppm: 20000\n", list.join(", "));
        let rate = keeper.map_or(1.005, |n| 0.995 + 0.005 * (n % 3) as f64);
        text += &format!("  test_clock_rate: {rate}\n");
        let of = |r: &((usize, usize), &TcpProxy)| Some(r.0.0) == from;
        let by = self.relays.iter().map(|(k, r)| (*k, r)).filter(of);
        let via: Vec<String> =
            by.map(|((_, to), r)| format!("'{}={}'", self.addresses[to], r.address())).collect();
        text += &format!("  test_via: [{}]\n", via.join(", "));
        if let Some(n) = keeper {
            text += &format!("  listen: {}\n  store: {}\n", self.addresses[n], self.folder(n).display());
            text += &self.more;
        }
        if keeper.is_none() && from.is_some() {
            text += &format!("  test_history: {}\n", self.history().display());
        }
        let path = self.dir.path().join(from.map_or("asks.yaml".into(), |n| format!("p{n}.yaml")));
        std::fs::write(&path, text).expect("written");
        path
    }

    pub fn folder(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("store{n}"))
    }

    pub fn start(&mut self, n: usize) {
        let file = self.settings(Some(n));
        self.keepers[n] = Some(Process::start(beechloft().arg("keeper").arg(file).stderr(Stdio::null())));
    }

    pub fn kill(&mut self, n: usize) {
        self.keepers[n] = None;
    }

    /// What candidates have asked and heard.
    pub fn history(&self) -> PathBuf {
        self.dir.path().join("history")
    }

    pub fn acts(&self) -> PathBuf {
        self.dir.path().join("acts")
    }

    /// A candidate whose command acts every 20 ms for as long as it holds the lease, and which begins again when it ends.
    pub fn candidate(&mut self) {
        self.candidate_for(TTL_MS);
    }

    /// The same with a lease of another time.
    pub fn candidate_for(&mut self, ttl_ms: u64) {
        let act = format!("while :; do echo $BEECHLOFT_FENCE >> {}; sleep 0.02; done", self.acts().display());
        let program = env!("CARGO_BIN_EXE_beechloft");
        let place = self.addresses.len() + self.candidates.len();
        let (file, ttl) = (self.settings_of(None, Some(place)).display().to_string(), ttl_ms.to_string());
        let again = "while :; do \"$@\"; sleep 0.05; done";
        let mut command = Command::new("sh");
        command.args(["-c", again, "sh", program, "lease", "hold", &file, "task", "--ttl-ms", &ttl, "--"]);
        command.args(["sh", "-c", &act]).stderr(Stdio::null());
        self.candidates.push(Process::start(&mut command));
    }

    pub fn status(&self) -> Vec<Value> {
        let file = self.settings(None);
        let out = beechloft().args(["fleet", "status", "--json"]).arg(file).output().expect("it runs");
        String::from_utf8_lossy(&out.stdout).lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// The place of the keeper that leads in the newest term, with so many voters.
    pub fn leader(&self, voters: usize) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            let all = self.status();
            let leads = |v: &(usize, &Value)| {
                let s = &v.1["status"];
                let count =
                    s["members"].as_array().map_or(0, |m| m.iter().filter(|m| m["voter"] == true).count());
                s["role"] == "leader" && count == voters
            };
            let found = all.iter().enumerate().filter(leads).max_by_key(|v| v.1["status"]["term"].as_u64());
            if let Some((n, _)) = found {
                return n;
            }
            assert!(Instant::now() < until, "nobody leads {voters} voters: {all:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Between two, whoever opened the connection: what `from` says to `to` and the way back.
    pub fn way(&self, from: usize, to: usize, way: LinkFault) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set_fault(way);
        }
        if let Some(relay) = self.relays.get(&(to, from)) {
            relay.set_fault(LinkFault { forward: way.reverse, reverse: way.forward });
        }
    }

    pub fn heal(&self) {
        self.relays.values().for_each(|r| r.set_fault(LinkFault::default()));
    }

    /// A keeper's disk is emptied, and it starts again.
    pub fn empty(&mut self, n: usize) {
        self.kill(n);
        std::fs::remove_dir_all(self.folder(n)).expect("removed");
        self.start(n);
    }

    /// Has a keeper whose disk was emptied take the place of its old self, by its own new id or by another.
    pub fn replace(&self, lost: usize, new: Option<&str>) -> std::process::Output {
        let until = Instant::now() + PATIENCE;
        let address = self.addresses[lost].to_string();
        loop {
            let all = self.status();
            let own = all[lost]["status"]["id"].as_str().map(str::to_owned);
            let leads = |v: &&Value| v["status"]["role"] == "leader";
            let members = all.iter().find(leads).and_then(|v| v["status"]["members"].as_array().cloned());
            let old = members.into_iter().flatten().find(|m| m["address"] == address.as_str());
            if let (Some(own), Some(old)) = (own, old.as_ref().and_then(|m| m["id"].as_str())) {
                let mut c = beechloft();
                c.args(["keeper", "replace"]).arg(self.settings(None)).args([old, new.unwrap_or(&own)]);
                let out = c.output().expect("it runs");
                // The new one says who it is now and then; until it has, nobody is known to be there.
                if !text_of(&out).contains("no new replica has started")
                    && !text_of(&out).contains("is in progress")
                {
                    return out;
                }
            }
            assert!(Instant::now() < until, "nobody can be replaced: {all:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    pub fn tokens(&self) -> Vec<u64> {
        let text = std::fs::read_to_string(self.acts()).unwrap_or_default();
        // The last line may be half written.
        let whole = text.rfind('\n').map_or("", |at| &text[..at]);
        whole.lines().map(|l| l.parse().unwrap_or_else(|_| panic!("'{l}' is no token"))).collect()
    }

    /// Waits for acts past so many; how long it took.
    pub fn goes_on(&self, what: &str) -> Duration {
        let (before, began) = (self.tokens().len(), Instant::now());
        while self.tokens().len() < before + 3 {
            assert!(began.elapsed() < PATIENCE, "no acts after {what}");
            std::thread::sleep(Duration::from_millis(10));
        }
        began.elapsed()
    }

    /// Waits for acts by a grant above this one.
    pub fn another_holds(&self, than: u64, what: &str) {
        let began = Instant::now();
        while self.tokens().last().is_none_or(|t| *t <= than) {
            assert!(began.elapsed() < PATIENCE, "nobody else after {what}: {:?}", self.status());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The candidate that holds it now: the one whose group has the process that acts.
    pub fn holder(&self) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            for (n, c) in self.candidates.iter().enumerate() {
                if group_acts(c.0.id()) {
                    return n;
                }
            }
            assert!(Instant::now() < until, "nobody acts");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Whether a process of this group has the fence in its environment.
pub fn group_acts(group: u32) -> bool {
    let Ok(all) = std::fs::read_dir("/proc") else { return false };
    all.flatten().any(|entry| {
        let path = entry.path();
        let of_group = || {
            let stat = std::fs::read_to_string(path.join("stat")).ok()?;
            let after = stat.rsplit_once(')')?.1.split_whitespace().nth(2)?.parse::<u32>().ok()?;
            Some(after == group)
        };
        let acts = || std::fs::read(path.join("environ")).is_ok_and(|e| has(&e, b"BEECHLOFT_FENCE="));
        path.file_name().is_some_and(|n| n.as_encoded_bytes()[0].is_ascii_digit())
            && of_group() == Some(true)
            && acts()
    })
}

pub fn has(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|w| w == part)
}

pub fn text_of(out: &std::process::Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

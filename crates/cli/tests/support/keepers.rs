//! Replicas of a coordinator and candidates for a lease as processes, optionally with fault proxies between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use beechloft_fault_proxy::{LinkFault, TcpProxy};
use serde_json::Value;

use super::{PATIENCE, Process, beechloft, reserve_addresses};

/// Time to live in milliseconds of the lease that candidates ask for.
pub const TTL_MS: u64 = 1_500;

/// Replicas of a coordinator and candidates for its lease `task`. Processes are numbered: replicas first, then candidates.
pub struct Fleet {
    pub dir: tempfile::TempDir,
    pub addresses: Vec<SocketAddr>,
    /// Processes of the replicas that are running.
    pub replicas: Vec<Option<Process>>,
    pub candidates: Vec<Process>,
    /// Additional lines of the replicas' `fleet` section.
    pub more: String,
    /// Fault proxies by the number of the process that connects and the number of the replica that it connects to.
    pub proxies: BTreeMap<(usize, usize), TcpProxy>,
}

impl Fleet {
    /// Starts a fleet without fault proxies.
    pub fn new(replicas: usize) -> Fleet {
        Fleet::with_proxies(replicas, 0)
    }

    /// Starts a fleet with a fault proxy between each two replicas and between each of the given number of candidates and each
    /// replica. There are no proxies if the number is 0.
    pub fn with_proxies(replicas: usize, proxied_candidates: usize) -> Fleet {
        Fleet::with_options(replicas, proxied_candidates, "")
    }

    /// Starts a fleet with fault proxies and with additional lines in the replicas' `fleet` section.
    pub fn with_options(replicas: usize, proxied_candidates: usize, more: &str) -> Fleet {
        let addresses = reserve_addresses(replicas);
        let dir = tempfile::tempdir().expect("create a temporary directory");
        let mut fleet = Fleet {
            dir,
            addresses,
            replicas: Vec::new(),
            candidates: Vec::new(),
            more: more.to_owned(),
            proxies: BTreeMap::new(),
        };
        for from in 0..replicas + proxied_candidates {
            for to in (0..replicas).filter(|to| proxied_candidates > 0 && *to != from) {
                let proxy = TcpProxy::start(fleet.addresses[to]).expect("start a proxy");
                fleet.proxies.insert((from, to), proxy);
            }
        }
        for n in 0..replicas {
            fleet.replicas.push(None);
            fleet.start(n);
        }
        fleet
    }

    /// Writes the settings file of a replica, or of a client if `replica` is `None`. The replicas' clocks run at up to three
    /// different rates, from 0.995 to 1.005.
    pub fn settings(&self, replica: Option<usize>) -> PathBuf {
        self.settings_of(replica, replica)
    }

    /// Writes the settings file of the process with the number `from`, which is a replica if `replica` is set and a candidate
    /// otherwise. A client without a number connects to the replicas directly.
    pub fn settings_of(&self, replica: Option<usize>, from: Option<usize>) -> PathBuf {
        let addresses: Vec<String> = self.addresses.iter().map(|address| format!("'{address}'")).collect();
        let mut text =
            format!("fleet:\n  name: test\n  keepers: [{}]\n  drift_ppm: 20000\n", addresses.join(", "));
        let rate = replica.map_or(1.005, |n| 0.995 + 0.005 * (n % 3) as f64);
        text += &format!("  test_clock_rate: {rate}\n");
        let own_proxies = self.proxies.iter().filter(|((source, _), _)| Some(*source) == from);
        let via: Vec<String> = own_proxies
            .map(|((_, to), proxy)| format!("'{}={}'", self.addresses[*to], proxy.address()))
            .collect();
        text += &format!("  test_via: [{}]\n", via.join(", "));
        if let Some(n) = replica {
            text +=
                &format!("  listen: {}\n  store: {}\n", self.addresses[n], self.store_directory(n).display());
            text += &self.more;
        }
        if replica.is_none() && from.is_some() {
            text += &format!("  test_history: {}\n", self.history().display());
        }
        let path = self.dir.path().join(from.map_or("asks.yaml".into(), |n| format!("p{n}.yaml")));
        std::fs::write(&path, text).expect("write the settings");
        path
    }

    pub fn store_directory(&self, n: usize) -> PathBuf {
        self.dir.path().join(format!("store{n}"))
    }

    /// Starts a replica.
    pub fn start(&mut self, n: usize) {
        let file = self.settings(Some(n));
        self.replicas[n] = Some(Process::start(beechloft().arg("keeper").arg(file).stderr(Stdio::null())));
    }

    /// Kills a replica.
    pub fn kill(&mut self, n: usize) {
        self.replicas[n] = None;
    }

    /// File to which candidates write their requests and the answers.
    pub fn history(&self) -> PathBuf {
        self.dir.path().join("history")
    }

    /// File to which the commands of candidates append their token for each action.
    pub fn action_log(&self) -> PathBuf {
        self.dir.path().join("actions")
    }

    /// Starts a candidate whose command performs an action every 20 ms while it holds the lease. The candidate asks for the lease
    /// again when it has lost it.
    pub fn start_candidate(&mut self) {
        self.start_candidate_with_ttl(TTL_MS);
    }

    /// Starts a candidate that asks for a lease with this time to live.
    pub fn start_candidate_with_ttl(&mut self, ttl_ms: u64) {
        let action =
            format!("while :; do echo $BEECHLOFT_FENCE >> {}; sleep 0.02; done", self.action_log().display());
        let program = env!("CARGO_BIN_EXE_beechloft");
        let number = self.addresses.len() + self.candidates.len();
        let (file, ttl) = (self.settings_of(None, Some(number)).display().to_string(), ttl_ms.to_string());
        let repeat = "while :; do \"$@\"; sleep 0.05; done";
        let mut command = Command::new("sh");
        command.args(["-c", repeat, "sh", program, "lease", "hold", &file, "task", "--ttl-ms", &ttl, "--"]);
        command.args(["sh", "-c", &action]).stderr(Stdio::null());
        self.candidates.push(Process::start(&mut command));
    }

    /// Returns a line of `fleet status --json` for each replica.
    pub fn status(&self) -> Vec<Value> {
        let file = self.settings(None);
        let output =
            beechloft().args(["fleet", "status", "--json"]).arg(file).output().expect("run beechloft");
        String::from_utf8_lossy(&output.stdout)
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Waits for a leader whose configuration has the given number of voters. Returns the leader of the newest term.
    pub fn leader(&self, voters: usize) -> usize {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let all = self.status();
            let is_leader = |(_, line): &(usize, &Value)| {
                let status = &line["status"];
                let voter_count = status["members"]
                    .as_array()
                    .map_or(0, |members| members.iter().filter(|member| member["voter"] == true).count());
                status["role"] == "leader" && voter_count == voters
            };
            let found = all
                .iter()
                .enumerate()
                .filter(is_leader)
                .max_by_key(|(_, line)| line["status"]["term"].as_u64());
            if let Some((n, _)) = found {
                return n;
            }
            assert!(Instant::now() < deadline, "no leader of {voters} voters: {all:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sets the fault of the link between two processes, whichever of them opened the connection. The fault's forward direction
    /// is the one from `from` to `to`.
    pub fn set_link_fault(&self, from: usize, to: usize, fault: LinkFault) {
        if let Some(proxy) = self.proxies.get(&(from, to)) {
            proxy.set_fault(fault);
        }
        if let Some(proxy) = self.proxies.get(&(to, from)) {
            proxy.set_fault(LinkFault { forward: fault.reverse, reverse: fault.forward });
        }
    }

    /// Removes the faults of all links.
    pub fn clear_link_faults(&self) {
        self.proxies.values().for_each(|proxy| proxy.set_fault(LinkFault::default()));
    }

    /// Kills a replica, removes its store and starts it.
    pub fn restart_with_empty_store(&mut self, n: usize) {
        self.kill(n);
        std::fs::remove_dir_all(self.store_directory(n)).expect("remove the store");
        self.start(n);
    }

    /// Replaces the lost member of a replica that was restarted with an empty store. The new member's id is `new`, or the restarted
    /// replica's id if `new` is `None`. Returns the output of the command.
    pub fn replace(&self, lost: usize, new: Option<&str>) -> std::process::Output {
        let deadline = Instant::now() + PATIENCE;
        let address = self.addresses[lost].to_string();
        loop {
            let all = self.status();
            let restarted_id = all[lost]["status"]["id"].as_str().map(str::to_owned);
            let is_leader = |line: &&Value| line["status"]["role"] == "leader";
            let members =
                all.iter().find(is_leader).and_then(|line| line["status"]["members"].as_array().cloned());
            let lost_member =
                members.into_iter().flatten().find(|member| member["address"] == address.as_str());
            let lost_id = lost_member.as_ref().and_then(|member| member["id"].as_str());
            if let (Some(restarted_id), Some(lost_id)) = (restarted_id, lost_id) {
                let mut command = beechloft();
                command.args(["keeper", "replace"]).arg(self.settings(None));
                command.args([lost_id, new.unwrap_or(&restarted_id)]);
                let output = command.output().expect("run beechloft");
                // The restarted replica announces its id periodically. Until then the command fails and is retried.
                if !error_text(&output).contains("no new replica has started")
                    && !error_text(&output).contains("is in progress")
                {
                    return output;
                }
            }
            assert!(Instant::now() < deadline, "the replica can't be replaced: {all:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns the tokens of all actions in order.
    pub fn tokens(&self) -> Vec<u64> {
        let text = std::fs::read_to_string(self.action_log()).unwrap_or_default();
        // The last line may be incomplete.
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        complete
            .lines()
            .map(|line| line.parse().unwrap_or_else(|_| panic!("'{line}' is not a token")))
            .collect()
    }

    /// Waits for three more actions. Returns the time that this took.
    pub fn wait_for_actions(&self, after: &str) -> Duration {
        let (before, start) = (self.tokens().len(), Instant::now());
        while self.tokens().len() < before + 3 {
            assert!(start.elapsed() < PATIENCE, "no actions after {after}");
            std::thread::sleep(Duration::from_millis(10));
        }
        start.elapsed()
    }

    /// Waits for an action with a higher token than this one.
    pub fn wait_for_higher_token(&self, old: u64, after: &str) {
        let start = Instant::now();
        while self.tokens().last().is_none_or(|token| *token <= old) {
            assert!(start.elapsed() < PATIENCE, "no higher token after {after}: {:?}", self.status());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits for a candidate whose process group performs actions. Returns the index of this holder of the lease.
    pub fn holder(&self) -> usize {
        let deadline = Instant::now() + PATIENCE;
        loop {
            for (n, candidate) in self.candidates.iter().enumerate() {
                if group_has_token(candidate.0.id()) {
                    return n;
                }
            }
            assert!(Instant::now() < deadline, "no candidate holds the lease");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Whether a process of this group has a fencing token in its environment.
pub fn group_has_token(group: u32) -> bool {
    let Ok(processes) = std::fs::read_dir("/proc") else { return false };
    processes.flatten().any(|entry| {
        let path = entry.path();
        let process_group = || {
            let stat = std::fs::read_to_string(path.join("stat")).ok()?;
            stat.rsplit_once(')')?.1.split_whitespace().nth(2)?.parse::<u32>().ok()
        };
        let has_token = || {
            std::fs::read(path.join("environ"))
                .is_ok_and(|environment| contains(&environment, b"BEECHLOFT_FENCE="))
        };
        path.file_name().is_some_and(|name| name.as_encoded_bytes()[0].is_ascii_digit())
            && process_group() == Some(group)
            && has_token()
    })
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

/// Returns the standard error of a finished command.
pub fn error_text(output: &std::process::Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

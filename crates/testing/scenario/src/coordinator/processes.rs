//! Processes of replicas and candidates, and queries for the leader and the lease holder.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use beechloft_coordinator::client;
use serde_json::{Value, json};

use super::Coordinator;
use super::process_group::ProcessGroup;

/// Time after which the command of a candidate is started again when it has exited.
pub(super) const RESTART_DELAY: Duration = Duration::from_millis(100);

impl Coordinator {
    /// Returns the `fleet` section of the settings of a process by its number among all processes, or of a client without
    /// fault proxies for `None`.
    pub(super) fn section(&self, process: Option<usize>) -> Value {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        let proxies = self.proxies.iter().filter(|(link, _)| Some(link.0) == process);
        let via: Vec<String> =
            proxies.map(|((_, to), proxy)| format!("{}={}", self.addresses[*to], proxy.address())).collect();
        // Clock rates cover the whole range from the slowest to the fastest process.
        let max_deviation = self.spec.clocks_apart_ppm as f64 / 2e6;
        let rate = 1.0 + max_deviation * [-1.0, 1.0, 0.0, 0.5, -0.5][process.unwrap_or(2) % 5];
        json!({
            "name": "day", "keepers": addresses, "drift_ppm": self.spec.drift_ppm,
            "test_clock_rate": rate, "test_via": via,
        })
    }

    /// Returns the `fleet` section of the settings of a front.
    pub fn front_section(&self, front: usize) -> Value {
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

    fn write_settings(&self, name: &str, section: &Value) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        fs::write(&path, json!({ "fleet": section }).to_string())?;
        Ok(path)
    }

    pub(super) fn start_replica(&mut self, replica: usize) -> io::Result<()> {
        let mut section = self.section(Some(replica));
        section["listen"] = json!(self.addresses[replica].to_string());
        section["store"] = json!(self.folder.join(format!("keeper-{replica}")).display().to_string());
        if let Some(topic) = &self.spec.topic {
            section["topics"] = topic.section();
        }
        let file = self.write_settings(&format!("keeper-{replica}.json"), &section)?;
        let log = self.folder.join(format!("keeper-{replica}.log"));
        self.replicas[replica] =
            Some(ProcessGroup::start(Command::new(&self.program).arg("keeper").arg(file), &log)?);
        Ok(())
    }

    pub(super) fn candidate_name(n: usize) -> String {
        format!("candidate-{n}")
    }

    fn start_candidate(&mut self, n: usize) -> io::Result<()> {
        let name = Coordinator::candidate_name(n);
        let section = self.section(Some(self.addresses.len() + n));
        let file = self.write_settings(&format!("{name}.json"), &section)?;
        let (at, ttl) = (self.resource.address().to_string(), self.spec.ttl_ms.to_string());
        let every = self.spec.act_ms.to_string();
        let mut command = Command::new(&self.program);
        command.args(["lease", "hold"]).arg(file).args(["task", "--ttl-ms", &ttl, "--"]).arg(&self.program);
        command.args(["lease", "act", &at, "--as", &name, "--every-ms", &every]);
        let log = self.folder.join(format!("{name}.log"));
        self.candidates[n] = Some(ProcessGroup::start(&mut command, &log)?);
        Ok(())
    }

    /// Returns the replica that reports to be the leader of a cluster with all voters, or `None` if there is none.
    ///
    /// If several do, the one with the highest term is returned.
    pub(super) fn leader(&self) -> Option<usize> {
        let voters = self.addresses.len();
        let leader_term = |(replica, address): (usize, &SocketAddr)| {
            let status = client::status(&self.client_settings, *address, Duration::from_millis(300))?;
            let has_all_voters = status.members.iter().filter(|member| member.voter).count() == voters;
            (status.role == "leader" && has_all_voters).then_some((status.term, replica))
        };
        self.addresses.iter().enumerate().filter_map(leader_term).max().map(|leader| leader.1)
    }

    /// Returns the candidate that operated on the resource last, or `None` if none has.
    pub(super) fn holder(&self) -> Option<usize> {
        let name = self.resource.holder()?;
        (0..self.candidates.len()).find(|n| Coordinator::candidate_name(*n) == name)
    }

    /// Starts candidates whose command has exited, and readers of the topic that are due. It must be called periodically.
    ///
    /// # Errors
    /// Returns an error if a process can't be started.
    pub fn poll(&mut self) -> io::Result<()> {
        self.start_late_readers()?;
        for n in 0..self.candidates.len() {
            let has_exited = |group: &mut ProcessGroup| matches!(group.0.try_wait(), Ok(Some(_)));
            if self.candidates[n].as_mut().is_some_and(has_exited) {
                self.candidates[n] = None;
                self.ended_at[n] = Some(Instant::now());
            }
            let is_due = self.ended_at[n].is_some_and(|at| at.elapsed() >= RESTART_DELAY);
            if !self.is_over && self.candidates[n].is_none() && is_due {
                self.ended_at[n] = None;
                self.start_candidate(n)?;
            }
        }
        Ok(())
    }
}

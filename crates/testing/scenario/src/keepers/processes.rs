//! Keepers and candidates as processes, and who of them leads and holds.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use beechloft_coordinator::client;
use serde_json::{Value, json};

use super::Keepers;
use super::group::Group;

/// A candidate's command that has ended is started again after this.
pub(super) const AGAIN: Duration = Duration::from_millis(100);

impl Keepers {
    /// A section of settings: for a keeper, a candidate or a front by its place among all, or for whoever only looks.
    pub(super) fn section(&self, place: Option<usize>) -> Value {
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

    pub(super) fn start_keeper(&mut self, n: usize) -> io::Result<()> {
        let mut section = self.section(Some(n));
        section["listen"] = json!(self.addresses[n].to_string());
        section["store"] = json!(self.folder.join(format!("keeper-{n}")).display().to_string());
        if let Some(topic) = &self.spec.topic {
            section["topics"] = topic.section();
        }
        let file = self.write(&format!("keeper-{n}.json"), &section)?;
        let log = self.folder.join(format!("keeper-{n}.log"));
        self.keepers[n] = Some(Group::start(Command::new(&self.program).arg("keeper").arg(file), &log)?);
        Ok(())
    }

    pub(super) fn candidate_name(n: usize) -> String {
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
    pub(super) fn leader(&self) -> Option<usize> {
        let voters = self.addresses.len();
        let says = |(n, at): (usize, &SocketAddr)| {
            let s = client::status(&self.asks, *at, Duration::from_millis(300))?;
            let all = s.members.iter().filter(|m| m.voter).count() == voters;
            (s.role == "leader" && all).then_some((s.term, n))
        };
        self.addresses.iter().enumerate().filter_map(says).max().map(|l| l.1)
    }

    /// Who acted last.
    pub(super) fn holder(&self) -> Option<usize> {
        let name = self.resource.holder()?;
        (0..self.candidates.len()).find(|n| Keepers::candidate_name(*n) == name)
    }

    /// Starts candidates whose command has ended; to be called now and then.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn look(&mut self) -> io::Result<()> {
        self.look_at_topic()?;
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
}

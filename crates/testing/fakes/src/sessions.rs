//! The sessions of a box, and the pace of its set-ups while it is cold.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::media;

/// A session at a box.
#[derive(Debug, Clone)]
pub struct Session {
    /// The offer it came with.
    pub offer: String,
    /// The box's user fragment for it.
    pub name: String,
    /// Version of its ICE session.
    pub version: u32,
    /// Rates of its title's rungs, kB a second.
    pub rates_kb: Vec<f64>,
    /// Its rate now.
    pub rate_kb: f64,
    /// Without consent by then it is freed.
    pub expires: Instant,
    /// What its front gave to be kept with it.
    pub tag: Option<String>,
}

/// All sessions of a box, by path.
#[derive(Debug, Default)]
pub struct Sessions {
    by_path: BTreeMap<String, Session>,
    by_name: BTreeMap<String, String>,
    next: u64,
    asked_kb: f64,
}

impl Sessions {
    /// Adds one; its path.
    pub fn add(&mut self, boot: u64, session: Session) -> String {
        self.next += 1;
        let path = format!("/resource/{boot:x}-{}", self.next);
        self.by_name.insert(session.name.clone(), path.clone());
        self.asked_kb += session.rate_kb;
        self.by_path.insert(path.clone(), session);
        path
    }

    /// Takes one out.
    pub fn remove(&mut self, path: &str) -> Option<Session> {
        let session = self.by_path.remove(path)?;
        self.by_name.remove(&session.name);
        self.asked_kb -= session.rate_kb;
        if self.by_path.is_empty() {
            self.asked_kb = 0.0; // no remainder of rounding outlives the sessions
        }
        Some(session)
    }

    /// One by its path.
    pub fn get_mut(&mut self, path: &str) -> Option<&mut Session> {
        self.by_path.get_mut(path)
    }

    /// Sets a rung; the offer and the new rate.
    pub fn set_rung(&mut self, path: &str, rung: usize) -> Option<(String, f64)> {
        let session = self.by_path.get_mut(path)?;
        let rate = *session.rates_kb.get(rung)?;
        self.asked_kb += rate - session.rate_kb;
        session.rate_kb = rate;
        Some((session.offer.clone(), rate))
    }

    /// Sets a rate outside the ladder's steps; the offer.
    pub fn set_rate(&mut self, path: &str, rate_kb: f64) -> Option<String> {
        let session = self.by_path.get_mut(path)?;
        self.asked_kb += rate_kb - session.rate_kb;
        session.rate_kb = rate_kb;
        Some(session.offer.clone())
    }

    /// Notes a consent; the rate of the session.
    pub fn consent(&mut self, name: &str, now: Instant) -> Option<f64> {
        let session = self.by_path.get_mut(self.by_name.get(name)?)?;
        session.expires = now + Duration::from_millis(media::EXPIRES_MS);
        Some(session.rate_kb)
    }

    /// Paths of those without consent.
    pub fn expired(&self, now: Instant) -> Vec<String> {
        self.by_path.iter().filter(|(_, s)| s.expires <= now).map(|(p, _)| p.clone()).collect()
    }

    /// How many have which tag.
    pub fn tags(&self) -> BTreeMap<&str, u64> {
        let mut all = BTreeMap::new();
        for tag in self.by_path.values().filter_map(|s| s.tag.as_deref()) {
            *all.entry(tag).or_default() += 1;
        }
        all
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_path.len()
    }

    /// What they ask together, kB a second.
    pub fn asked_kb(&self) -> f64 {
        self.asked_kb
    }

    /// Drops all, as when the process ends.
    pub fn clear(&mut self) {
        *self = Sessions { next: self.next, ..Sessions::default() };
    }
}

/// How a box warms up, and what pushes it over meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Warming {
    /// It is warm after this long.
    pub after: Duration,
    /// It begins at this share.
    pub from: f64,
    /// It falls when sent this multiple of its pace...
    pub multiple: f64,
    /// ...over this long.
    pub span: Duration,
}

/// The warmth of one run of a box, and its recent set-ups.
#[derive(Debug)]
pub struct Warmth {
    rule: Option<Warming>,
    since: Instant,
    recent: VecDeque<Instant>,
}

impl Warmth {
    /// A run that starts now; none: it is warm.
    pub fn new(rule: Option<Warming>) -> Self {
        Warmth { rule, since: Instant::now(), recent: VecDeque::new() }
    }

    /// Part of its capacity that it has now.
    pub fn now(&self) -> f64 {
        let Some(rule) = self.rule else { return 1.0 };
        let part = self.since.elapsed().as_secs_f64() / rule.after.as_secs_f64().max(1e-6);
        if part >= 1.0 { 1.0 } else { rule.from + (1.0 - rule.from) * part }
    }

    /// Takes a set-up; whether it pushes the box over.
    pub fn topples(&mut self, streams: f64) -> bool {
        let Some(rule) = self.rule.filter(|r| r.multiple > 0.0) else { return false };
        if self.since.elapsed() >= rule.after {
            return false;
        }
        let now = Instant::now();
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|t| now - *t > rule.span) {
            self.recent.pop_front();
        }
        let pace = streams / rule.after.as_secs_f64() * self.now();
        let bears = rule.multiple * pace * rule.span.as_secs_f64();
        self.recent.len() as f64 > bears.max(1.0) + 1.0
    }
}

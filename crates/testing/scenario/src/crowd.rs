//! The players of a day: they come, ask, watch, leave, and come again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::trace::Ending;
use beechloft_checker::{Recorder, What};
use beechloft_fakes::caller::Caller;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::media;
use beechloft_fakes::offer::Credentials;
use beechloft_fakes::player::{self, Playing, Wish};
use beechloft_http::client::Pool;

use crate::script::{Day, Load};

/// Without media for so long a player takes its session for broken.
const BROKEN_AFTER: Duration = Duration::from_millis(1500);
/// Players that ask at once, at most.
const AT_ONCE: usize = 4096;
/// How often the clock is looked at.
const LOOK: Duration = Duration::from_millis(2);

/// One viewer, over all tries.
#[derive(Debug, Clone)]
struct Viewer {
    title: usize,
    zone: String,
    max_rate_kb: Option<f64>,
    watches: Duration,
    tries: u32,
}

enum Came {
    /// It plays.
    Plays(Viewer, Box<Playing>),
    /// It was turned away, or its session never came about.
    Not(Viewer),
    /// It left by itself.
    Left,
}

struct Watching {
    viewer: Viewer,
    playing: Playing,
    ends: Instant,
    consents: Instant,
    heard: Instant,
}

/// Where a front is reached.
#[derive(Debug, Clone)]
pub struct Reach {
    /// For WHEP.
    pub http: SocketAddr,
    /// For calls.
    pub sip: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// The crowd of a day.
pub struct CrowdRun<'a> {
    day: &'a Day,
    fronts: Vec<Reach>,
    recorder: Recorder,
    dice: Dice,
    pool: Arc<Pool>,
    began: Instant,
    weights: Vec<f64>,
    came: Arc<Mutex<Vec<Came>>>,
    asking: Arc<AtomicUsize>,
    socket: UdpSocket,
    watching: BTreeMap<String, Watching>,
    /// Those who come again, by when.
    again: BinaryHeap<Reverse<(Instant, u64)>>,
    later: BTreeMap<u64, Viewer>,
    next: u64,
}

impl<'a> CrowdRun<'a> {
    /// A crowd for these fronts.
    pub fn new(day: &'a Day, fronts: Vec<Reach>, seed: u64, recorder: Recorder) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let weights = (1..=day.fleet.titles.len()).map(|n| (n as f64).powf(-day.load.zipf)).collect();
        Ok(CrowdRun {
            day,
            fronts,
            recorder,
            dice: Dice::new(seed ^ 0xc0d),
            pool: Arc::default(),
            began: Instant::now(),
            weights,
            came: Arc::default(),
            asking: Arc::default(),
            socket,
            watching: BTreeMap::new(),
            again: BinaryHeap::new(),
            later: BTreeMap::new(),
            next: 0,
        })
    }

    /// Lets the day pass; `each` is called often, with the time of day. Ends when the last player has left.
    pub fn run(&mut self, mut each: impl FnMut(Duration)) {
        self.began = Instant::now();
        let load = &self.day.load;
        let mut next = self.gap(0.0);
        // After the last newcomer, those who watch still do, and a bound for all.
        let end = load.lasts + Duration::from_secs_f64(load.watch_s.1) + Duration::from_secs(10);
        loop {
            let now = self.began.elapsed();
            each(now);
            while now >= next && next < load.lasts {
                let viewer = self.newcomer(now);
                self.ask(viewer);
                next += self.gap(next.as_secs_f64());
            }
            self.returning(now);
            self.arrivals();
            self.media();
            let done =
                now >= load.lasts && self.watching.is_empty() && self.asking.load(Ordering::SeqCst) == 0;
            if done || now >= end {
                break;
            }
            thread::sleep(LOOK);
        }
        for (_, w) in std::mem::take(&mut self.watching) {
            self.end(w.playing);
        }
        while self.asking.load(Ordering::SeqCst) > 0 {
            thread::sleep(LOOK);
        }
    }

    /// The time to the next newcomer, with the rate at this second of the day.
    fn gap(&mut self, second: f64) -> Duration {
        let rate = rate_at(&self.day.load.curve, second);
        // Where nobody comes, the curve is looked at again soon.
        if rate < 0.01 {
            Duration::from_millis(100)
        } else {
            Duration::from_secs_f64(self.dice.gap(rate).min(60.0))
        }
    }

    fn newcomer(&mut self, now: Duration) -> Viewer {
        let load: &Load = &self.day.load;
        let crowd = self.day.crowds.iter().find(|c| now >= c.at && now < c.at + c.lasts);
        let title = match crowd {
            // The crowd is after the least wanted titles, which few boxes hold in mind.
            Some(c) if self.dice.chance(c.share) => {
                let last = self.weights.len() - 1;
                last - (self.dice.number() as usize % c.titles.min(last + 1))
            }
            _ => self.dice.weighted(&self.weights),
        };
        let rates = &self.day.fleet.titles[title].rates_kb;
        let capped = self.dice.chance(load.capped);
        let max_rate_kb = if capped { rates.get(rates.len() / 2).map(|r| r * 1.01) } else { None };
        let zone = self.fronts[self.dice.number() as usize % self.fronts.len()].zone.clone();
        let watches = Duration::from_secs_f64(self.dice.between(load.watch_s.0, load.watch_s.1));
        Viewer { title, zone, max_rate_kb, watches, tries: 0 }
    }

    fn ask(&mut self, mut viewer: Viewer) {
        if self.asking.load(Ordering::SeqCst) >= AT_ONCE {
            return;
        }
        viewer.tries += 1;
        let near: Vec<usize> =
            (0..self.fronts.len()).filter(|f| self.fronts[*f].zone == viewer.zone).collect();
        let number = near[self.dice.number() as usize % near.len()];
        let load = &self.day.load;
        let title = &self.day.fleet.titles[viewer.title];
        let patience = self.day.service.settings.classes
            [self.day.service.classes.iter().position(|c| *c == title.class).unwrap_or(0)]
        .deadline;
        if self.dice.chance(load.sip) {
            let (name, patience) = (title.name.clone(), Duration::from_micros(patience.0));
            return self.call(viewer, number, name, patience);
        }
        let mut wish = Wish::new(self.fronts[number].http, number as u32, &title.name);
        wish.max_rate_kb = viewer.max_rate_kb;
        wish.patience = Duration::from_micros(patience.0);
        if self.dice.chance(load.hangs_up) {
            wish.hangs_up = Some(Duration::from_millis(self.dice.number() % 200));
        }
        let (trickles, repeats) = (self.dice.chance(load.trickles), self.dice.chance(load.repeats));
        let credentials = Credentials::draw(&mut self.dice);
        let (recorder, pool, came, asking) =
            (self.recorder.clone(), self.pool.clone(), self.came.clone(), self.asking.clone());
        asking.fetch_add(1, Ordering::SeqCst);
        let counted = self.asking.clone();
        let thread = thread::Builder::new().name("player".into()).stack_size(256 * 1024);
        let spawned = thread.spawn(move || {
            let twin = repeats.then(|| {
                let (wish, credentials, recorder) = (wish.clone(), credentials.clone(), recorder.clone());
                thread::spawn(move || {
                    player::ask_with(&Wish { hangs_up: None, ..wish }, &credentials, &recorder)
                })
            });
            let asked = player::ask_with(&wish, &credentials, &recorder);
            let again = twin.and_then(|t| t.join().ok());
            let playing = asked.playing.or(again.and_then(|a| a.playing));
            let what = match (playing, asked.ending) {
                (Some(playing), _) => {
                    if trickles {
                        let _ = playing.trickle(&pool, &playing.etag);
                    }
                    Came::Plays(viewer, Box::new(playing))
                }
                (None, Ending::HungUp) => Came::Left,
                (None, _) => Came::Not(viewer),
            };
            came.lock().unwrap_or_else(PoisonError::into_inner).push(what);
            asking.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            counted.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// One that calls: a thread for the whole call.
    fn call(&mut self, viewer: Viewer, number: usize, title: String, patience: Duration) {
        let load = &self.day.load;
        let cancels =
            self.dice.chance(load.hangs_up).then(|| Duration::from_millis(self.dice.number() % 200));
        let Ok(mut caller) = Caller::new(self.fronts[number].sip, number as u32, self.dice.number()) else {
            return;
        };
        (caller.loses, caller.swaps) = (load.loses, load.overtakes);
        (caller.patience, caller.cancels) = (patience, cancels);
        let (recorder, came, asking) = (self.recorder.clone(), self.came.clone(), self.asking.clone());
        asking.fetch_add(1, Ordering::SeqCst);
        let counted = self.asking.clone();
        let thread = thread::Builder::new().name("caller".into()).stack_size(256 * 1024);
        let spawned = thread.spawn(move || {
            let called = caller.call(&title, viewer.max_rate_kb, &recorder);
            let what = match called.standing {
                Some(mut standing) => {
                    caller.acknowledge(&standing);
                    if caller.is_hung_up(&standing, viewer.watches) {
                        Came::Not(viewer)
                    } else {
                        caller.hang_up(&mut standing, &recorder);
                        Came::Left
                    }
                }
                None if called.response.is_some_and(|r| r.status == 487) => Came::Left,
                None => Came::Not(viewer),
            };
            came.lock().unwrap_or_else(PoisonError::into_inner).push(what);
            asking.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            counted.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn arrivals(&mut self) {
        let came = std::mem::take(&mut *self.came.lock().unwrap_or_else(PoisonError::into_inner));
        let now = Instant::now();
        for what in came {
            match what {
                Came::Plays(viewer, playing) => {
                    let ends = now + viewer.watches;
                    let watching = Watching { viewer, ends, consents: now, heard: now, playing: *playing };
                    self.watching.insert(watching.playing.name.clone(), watching);
                }
                Came::Not(viewer) => self.perhaps_again(viewer),
                Came::Left => {}
            }
        }
    }

    fn perhaps_again(&mut self, viewer: Viewer) {
        let load = &self.day.load;
        if viewer.tries < 20 && self.dice.chance(load.returns) {
            let after = Duration::from_secs_f64(self.dice.between(load.again_s.0, load.again_s.1));
            self.next += 1;
            self.again.push(Reverse((Instant::now() + after, self.next)));
            self.later.insert(self.next, viewer);
        }
    }

    fn returning(&mut self, now: Duration) {
        while self.again.peek().is_some_and(|r| r.0.0 <= Instant::now()) {
            let Some(Reverse((_, id))) = self.again.pop() else { break };
            if let Some(viewer) = self.later.remove(&id)
                && now < self.day.load.lasts
            {
                self.ask(viewer);
            }
        }
    }

    fn media(&mut self) {
        let mut buf = [0; 256];
        let now = Instant::now();
        while let Ok((n, _)) = self.socket.recv_from(&mut buf) {
            if let Some((name, delivered, _)) = media::framed(&buf[..n])
                && delivered > 0.0
                && let Some(w) = self.watching.get_mut(name)
            {
                w.heard = now;
            }
        }
        let mut over = BTreeSet::new();
        for (name, w) in &mut self.watching {
            if now >= w.consents {
                let _ = self.socket.send_to(&media::consent(name), w.playing.media);
                w.consents = now + Duration::from_millis(media::EVERY_MS);
            }
            if now >= w.ends || now - w.heard >= BROKEN_AFTER {
                over.insert(name.clone());
            }
        }
        for name in over {
            let Some(w) = self.watching.remove(&name) else { continue };
            let broken = now < w.ends;
            if !broken && self.dice.chance(self.day.load.vanishes) {
                self.recorder.note(What::Left { offer: w.playing.offer });
                continue;
            }
            self.end(w.playing);
            if broken {
                self.perhaps_again(w.viewer);
            }
        }
    }

    fn end(&self, playing: Playing) {
        let (pool, recorder, asking) = (self.pool.clone(), self.recorder.clone(), self.asking.clone());
        asking.fetch_add(1, Ordering::SeqCst);
        let counted = self.asking.clone();
        let spawned = thread::Builder::new().name("leaver".into()).stack_size(128 * 1024).spawn(move || {
            let _ = playing.end(&pool, &recorder);
            asking.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            counted.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn rate_at(curve: &[(f64, f64)], second: f64) -> f64 {
    let after = curve.iter().position(|p| p.0 > second).unwrap_or(curve.len());
    match (after.checked_sub(1).and_then(|n| curve.get(n)), curve.get(after)) {
        (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (second - a.0) / (b.0 - a.0),
        (Some(last), None) => last.1,
        (None, Some(first)) => first.1,
        (None, None) => 0.0,
    }
}

#[cfg(test)]
mod tests {
    use super::rate_at;

    #[test]
    fn the_rate_runs_straight_between_its_points() {
        let curve = [(0.0, 10.0), (10.0, 20.0), (20.0, 0.0)];
        assert_eq!([0.0, 5.0, 10.0, 15.0, 30.0].map(|s| rate_at(&curve, s)), [10.0, 15.0, 20.0, 10.0, 0.0]);
    }
}

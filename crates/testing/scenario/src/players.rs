//! Simulated players of a day, which request titles, watch, leave and return.

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

/// Time without media after which a player ends its session as broken.
const MEDIA_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of players with an outstanding request or call.
const MAX_CONCURRENT_REQUESTS: usize = 4096;
/// Interval at which the simulation advances.
const TICK: Duration = Duration::from_millis(2);
/// Maximum number of requests of one viewer.
const MAX_ATTEMPTS: u32 = 20;

/// Viewer across all its requests.
#[derive(Debug, Clone)]
struct Viewer {
    title: usize,
    zone: String,
    max_rate_kb: Option<f64>,
    watch_time: Duration,
    attempts: u32,
}

/// Result of a viewer's request or call.
enum RequestOutcome {
    /// The viewer plays its title.
    Playing(Viewer, Box<Playing>),
    /// The request was refused, or the session broke or was never established.
    Failed(Viewer),
    /// The viewer left by itself.
    Left,
}

/// Session that a WHEP player watches.
struct WatchedSession {
    viewer: Viewer,
    playing: Playing,
    ends_at: Instant,
    next_consent_at: Instant,
    last_media_at: Instant,
}

/// Addresses and zone of a front.
#[derive(Debug, Clone)]
pub struct FrontAddresses {
    /// Address for WHEP.
    pub http: SocketAddr,
    /// Address for SIP calls.
    pub sip: SocketAddr,
    /// Name of the zone.
    pub zone: String,
}

/// Simulation of all players of a day.
pub struct PlayerSimulation<'a> {
    day: &'a Day,
    fronts: Vec<FrontAddresses>,
    recorder: Recorder,
    dice: Dice,
    pool: Arc<Pool>,
    started_at: Instant,
    title_weights: Vec<f64>,
    outcomes: Arc<Mutex<Vec<RequestOutcome>>>,
    /// Number of outstanding requests, calls and session ends.
    pending: Arc<AtomicUsize>,
    socket: UdpSocket,
    watching: BTreeMap<String, WatchedSession>,
    /// Times at which viewers return, with their keys in `returning_viewers`.
    return_times: BinaryHeap<Reverse<(Instant, u64)>>,
    returning_viewers: BTreeMap<u64, Viewer>,
    last_return_id: u64,
}

impl<'a> PlayerSimulation<'a> {
    /// Creates a simulation of players that use these fronts.
    pub fn new(
        day: &'a Day,
        fronts: Vec<FrontAddresses>,
        seed: u64,
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let title_weights = (1..=day.fleet.titles.len()).map(|n| (n as f64).powf(-day.load.zipf)).collect();
        Ok(PlayerSimulation {
            day,
            fronts,
            recorder,
            dice: Dice::new(seed ^ 0xc0d),
            pool: Arc::default(),
            started_at: Instant::now(),
            title_weights,
            outcomes: Arc::default(),
            pending: Arc::default(),
            socket,
            watching: BTreeMap::new(),
            return_times: BinaryHeap::new(),
            returning_viewers: BTreeMap::new(),
            last_return_id: 0,
        })
    }

    /// Runs the day until the last player has left.
    ///
    /// `on_tick` is called at short intervals with the time since the start of the day.
    pub fn run(&mut self, mut on_tick: impl FnMut(Duration)) {
        self.started_at = Instant::now();
        let load = &self.day.load;
        let mut next_arrival = self.arrival_gap(0.0);
        // Viewers that arrive last still watch to their end. The bound ends the day even if a session does not.
        let end = load.lasts + Duration::from_secs_f64(load.watch_s.1) + Duration::from_secs(10);
        loop {
            let now = self.started_at.elapsed();
            on_tick(now);
            while now >= next_arrival && next_arrival < load.lasts {
                let viewer = self.new_viewer(now);
                self.send_request(viewer);
                next_arrival += self.arrival_gap(next_arrival.as_secs_f64());
            }
            self.send_returning_viewers(now);
            self.handle_outcomes();
            self.handle_media();
            let is_done =
                now >= load.lasts && self.watching.is_empty() && self.pending.load(Ordering::SeqCst) == 0;
            if is_done || now >= end {
                break;
            }
            thread::sleep(TICK);
        }
        for (_, session) in std::mem::take(&mut self.watching) {
            self.end_session(session.playing);
        }
        while self.pending.load(Ordering::SeqCst) > 0 {
            thread::sleep(TICK);
        }
    }

    /// Returns a random time to the next arrival of a viewer, with the rate at this second of the day.
    fn arrival_gap(&mut self, second: f64) -> Duration {
        let rate = rate_at(&self.day.load.curve, second);
        // While the rate is near zero, the curve is sampled again after a short time.
        if rate < 0.01 {
            Duration::from_millis(100)
        } else {
            Duration::from_secs_f64(self.dice.gap(rate).min(60.0))
        }
    }

    /// Draws a new viewer with its title, zone and time to watch.
    fn new_viewer(&mut self, now: Duration) -> Viewer {
        let load: &Load = &self.day.load;
        let crowd = self.day.crowds.iter().find(|crowd| now >= crowd.at && now < crowd.at + crowd.lasts);
        let title = match crowd {
            // A flash crowd requests the least popular titles, which few media servers have cached.
            Some(crowd) if self.dice.chance(crowd.share) => {
                let last = self.title_weights.len() - 1;
                last - (self.dice.number() as usize % crowd.titles.min(last + 1))
            }
            _ => self.dice.weighted(&self.title_weights),
        };
        let rates = &self.day.fleet.titles[title].rates_kb;
        let is_capped = self.dice.chance(load.capped);
        let max_rate_kb = if is_capped { rates.get(rates.len() / 2).map(|rate| rate * 1.01) } else { None };
        let zone = self.fronts[self.dice.number() as usize % self.fronts.len()].zone.clone();
        let watch_time = Duration::from_secs_f64(self.dice.between(load.watch_s.0, load.watch_s.1));
        Viewer { title, zone, max_rate_kb, watch_time, attempts: 0 }
    }

    /// Sends a viewer's request or call from a thread of its own, unless too many are outstanding.
    fn send_request(&mut self, mut viewer: Viewer) {
        if self.pending.load(Ordering::SeqCst) >= MAX_CONCURRENT_REQUESTS {
            return;
        }
        viewer.attempts += 1;
        let fronts_in_zone: Vec<usize> =
            (0..self.fronts.len()).filter(|front| self.fronts[*front].zone == viewer.zone).collect();
        let number = fronts_in_zone[self.dice.number() as usize % fronts_in_zone.len()];
        let load = &self.day.load;
        let title = &self.day.fleet.titles[viewer.title];
        let patience = self.day.service.settings.classes
            [self.day.service.classes.iter().position(|class| *class == title.class).unwrap_or(0)]
        .deadline;
        if self.dice.chance(load.sip) {
            let (name, patience) = (title.name.clone(), Duration::from_micros(patience.0));
            return self.place_call(viewer, number, name, patience);
        }
        let mut wish = Wish::new(self.fronts[number].http, number as u32, &title.name);
        wish.max_rate_kb = viewer.max_rate_kb;
        wish.patience = Duration::from_micros(patience.0);
        if self.dice.chance(load.hangs_up) {
            wish.hangs_up = Some(Duration::from_millis(self.dice.number() % 200));
        }
        let (trickles, repeats) = (self.dice.chance(load.trickles), self.dice.chance(load.repeats));
        let credentials = Credentials::draw(&mut self.dice);
        let (recorder, pool, outcomes, pending) =
            (self.recorder.clone(), self.pool.clone(), self.outcomes.clone(), self.pending.clone());
        pending.fetch_add(1, Ordering::SeqCst);
        let pending_count = self.pending.clone();
        let thread = thread::Builder::new().name("player".into()).stack_size(256 * 1024);
        let spawned = thread.spawn(move || {
            let repeated = repeats.then(|| {
                let (wish, credentials, recorder) = (wish.clone(), credentials.clone(), recorder.clone());
                thread::spawn(move || {
                    player::ask_with(&Wish { hangs_up: None, ..wish }, &credentials, &recorder)
                })
            });
            let asked = player::ask_with(&wish, &credentials, &recorder);
            let repeated = repeated.and_then(|request| request.join().ok());
            let playing = asked.playing.or(repeated.and_then(|answer| answer.playing));
            let outcome = match (playing, asked.ending) {
                (Some(playing), _) => {
                    if trickles {
                        let _ = playing.trickle(&pool, &playing.etag);
                    }
                    RequestOutcome::Playing(viewer, Box::new(playing))
                }
                (None, Ending::HungUp) => RequestOutcome::Left,
                (None, _) => RequestOutcome::Failed(viewer),
            };
            outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
            pending.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            pending_count.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Places a SIP call from a thread that runs until the call has ended.
    fn place_call(&mut self, viewer: Viewer, number: usize, title: String, patience: Duration) {
        let load = &self.day.load;
        let cancels =
            self.dice.chance(load.hangs_up).then(|| Duration::from_millis(self.dice.number() % 200));
        let Ok(mut caller) = Caller::new(self.fronts[number].sip, number as u32, self.dice.number()) else {
            return;
        };
        (caller.loses, caller.swaps) = (load.loses, load.overtakes);
        (caller.patience, caller.cancels) = (patience, cancels);
        let (recorder, outcomes, pending) =
            (self.recorder.clone(), self.outcomes.clone(), self.pending.clone());
        pending.fetch_add(1, Ordering::SeqCst);
        let pending_count = self.pending.clone();
        let thread = thread::Builder::new().name("caller".into()).stack_size(256 * 1024);
        let spawned = thread.spawn(move || {
            let called = caller.call(&title, viewer.max_rate_kb, &recorder);
            let outcome = match called.standing {
                Some(mut standing) => {
                    caller.acknowledge(&standing);
                    if caller.is_hung_up(&standing, viewer.watch_time) {
                        RequestOutcome::Failed(viewer)
                    } else {
                        caller.hang_up(&mut standing, &recorder);
                        RequestOutcome::Left
                    }
                }
                None if called.response.is_some_and(|response| response.status == 487) => {
                    RequestOutcome::Left
                }
                None => RequestOutcome::Failed(viewer),
            };
            outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
            pending.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            pending_count.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Starts the sessions of players that were accepted, and schedules the return of others.
    fn handle_outcomes(&mut self) {
        let reported = std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner));
        let now = Instant::now();
        for outcome in reported {
            match outcome {
                RequestOutcome::Playing(viewer, playing) => {
                    let ends_at = now + viewer.watch_time;
                    let watching = WatchedSession {
                        viewer,
                        ends_at,
                        next_consent_at: now,
                        last_media_at: now,
                        playing: *playing,
                    };
                    self.watching.insert(watching.playing.name.clone(), watching);
                }
                RequestOutcome::Failed(viewer) => self.schedule_return(viewer),
                RequestOutcome::Left => {}
            }
        }
    }

    /// Schedules the return of a viewer with the probability that the script sets.
    fn schedule_return(&mut self, viewer: Viewer) {
        let load = &self.day.load;
        if viewer.attempts < MAX_ATTEMPTS && self.dice.chance(load.returns) {
            let delay = Duration::from_secs_f64(self.dice.between(load.again_s.0, load.again_s.1));
            self.last_return_id += 1;
            self.return_times.push(Reverse((Instant::now() + delay, self.last_return_id)));
            self.returning_viewers.insert(self.last_return_id, viewer);
        }
    }

    /// Sends the requests of viewers whose time to return has come.
    fn send_returning_viewers(&mut self, now: Duration) {
        while self.return_times.peek().is_some_and(|next| next.0.0 <= Instant::now()) {
            let Some(Reverse((_, id))) = self.return_times.pop() else { break };
            if let Some(viewer) = self.returning_viewers.remove(&id)
                && now < self.day.load.lasts
            {
                self.send_request(viewer);
            }
        }
    }

    /// Receives media, sends consent, and ends the sessions that are over or broken.
    fn handle_media(&mut self) {
        let mut buf = [0; 256];
        let now = Instant::now();
        while let Ok((n, _)) = self.socket.recv_from(&mut buf) {
            if let Some((name, delivered, _)) = media::framed(&buf[..n])
                && delivered > 0.0
                && let Some(session) = self.watching.get_mut(name)
            {
                session.last_media_at = now;
            }
        }
        let mut ended = BTreeSet::new();
        for (name, session) in &mut self.watching {
            if now >= session.next_consent_at {
                let _ = self.socket.send_to(&media::consent(name), session.playing.media);
                session.next_consent_at = now + Duration::from_millis(media::EVERY_MS);
            }
            if now >= session.ends_at || now - session.last_media_at >= MEDIA_TIMEOUT {
                ended.insert(name.clone());
            }
        }
        for name in ended {
            let Some(session) = self.watching.remove(&name) else { continue };
            let is_broken = now < session.ends_at;
            if !is_broken && self.dice.chance(self.day.load.vanishes) {
                self.recorder.note(What::Left { offer: session.playing.offer });
                continue;
            }
            self.end_session(session.playing);
            if is_broken {
                self.schedule_return(session.viewer);
            }
        }
    }

    /// Ends a session from a thread of its own.
    fn end_session(&self, playing: Playing) {
        let (pool, recorder, pending) = (self.pool.clone(), self.recorder.clone(), self.pending.clone());
        pending.fetch_add(1, Ordering::SeqCst);
        let pending_count = self.pending.clone();
        let spawned = thread::Builder::new().name("leaver".into()).stack_size(128 * 1024).spawn(move || {
            let _ = playing.end(&pool, &recorder);
            pending.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            pending_count.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// Returns the arrival rate at a second of the day, interpolated linearly between the points of the curve.
fn rate_at(curve: &[(f64, f64)], second: f64) -> f64 {
    let after = curve.iter().position(|point| point.0 > second).unwrap_or(curve.len());
    match (after.checked_sub(1).and_then(|index| curve.get(index)), curve.get(after)) {
        (Some(from), Some(to)) => from.1 + (to.1 - from.1) * (second - from.0) / (to.0 - from.0),
        (Some(last), None) => last.1,
        (None, Some(first)) => first.1,
        (None, None) => 0.0,
    }
}

#[cfg(test)]
mod tests;

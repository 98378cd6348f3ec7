//! What is asked of a box, which faults it has, and how it works on set-ups.

use std::net::TcpStream;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_http::wait;

use super::{Inner, State};
use crate::fault::Fault;
use crate::link::Share;

/// A set-up's client has gone, or the box.
pub(super) struct Gone;

impl Inner {
    pub(super) fn has(&self, pick: impl Fn(&Fault) -> bool) -> bool {
        self.lock().faults.iter().any(|f| pick(&f.0))
    }

    pub(super) fn stands_still(&self) -> bool {
        self.has(|f| *f == Fault::StandStill)
    }

    /// What a fault that strikes a share of the set-ups strikes now.
    pub(super) fn strikes(&self, pick: impl Fn(&Fault) -> Option<f64>) -> bool {
        let mut state = self.lock();
        let share = state.faults.iter().filter_map(|f| pick(&f.0)).fold(0.0, f64::max);
        share > 0.0 && state.dice.chance(share)
    }

    pub(super) fn link_kb(&self, state: &State) -> f64 {
        let taken = state
            .faults
            .iter()
            .filter_map(|f| if let Fault::TakeLink { share } = f.0 { Some(share) } else { None });
        self.spec.link_kb * (1.0 - taken.fold(0.0, f64::max)).max(0.01) * state.warmth.now()
    }

    pub(super) fn share(&self, state: &State) -> Share {
        self.racks.share(self.spec.rack, self.spec.id, state.sessions.asked_kb(), self.link_kb(state))
    }

    pub(super) fn delay(&self) -> Duration {
        let state = self.lock();
        let of = |(fault, since): &(Fault, Instant)| match fault {
            Fault::Late { ms } => Duration::from_millis(*ms),
            Fault::GrowSlow { ms_per_s, .. } => {
                Duration::from_secs_f64(since.elapsed().as_secs_f64() * ms_per_s / 1000.0)
            }
            _ => Duration::ZERO,
        };
        state.faults.iter().map(of).sum()
    }

    /// Counts a set-up that has come; whether it pushes a cold box over, which it then has.
    pub(super) fn topples(self: &Arc<Self>) -> bool {
        let toppled = self.lock().warmth.topples(self.spec.streams as f64);
        if toppled {
            self.topple();
        }
        toppled
    }

    /// Whether it turns set-ups away: all its streams run, or its link is asked for too much.
    pub(super) fn is_full(&self) -> bool {
        let state = self.lock();
        let over = self.spec.guard > 0.0 && self.share(&state).link >= self.spec.guard;
        over || state.sessions.len() >= self.spec.streams
    }

    /// Waits while the client is there.
    pub(super) fn pause(&self, socket: &TcpStream, until: Instant) -> Result<(), Gone> {
        while Instant::now() < until {
            let slice = until.min(Instant::now() + Duration::from_millis(20));
            match wait::readable([Some(socket)], slice) {
                Ok([true]) if wait::hung_up(socket) => return Err(Gone),
                // Something was sent behind the offer; it is read later.
                Ok([true]) => thread::sleep(Duration::from_millis(2)),
                Ok([false]) => {}
                Err(_) => return Err(Gone),
            }
            if self.lock().down {
                return Err(Gone);
            }
        }
        Ok(())
    }

    /// Waits while the box stands still or is told never to answer.
    pub(super) fn hold(&self, socket: &TcpStream) -> Result<(), Gone> {
        while self.has(|f| matches!(f, Fault::NeverAnswer | Fault::StandStill)) {
            self.pause(socket, Instant::now() + Duration::from_millis(20))?;
        }
        Ok(())
    }

    /// Works on a set-up: takes a core for its time.
    pub(super) fn work(&self, socket: &TcpStream) -> Result<(), Gone> {
        let mut cores = self.cores.lock().unwrap_or_else(PoisonError::into_inner);
        while *cores == 0 {
            let wait = Duration::from_millis(20);
            cores = self.core_free.wait_timeout(cores, wait).unwrap_or_else(PoisonError::into_inner).0;
            if *cores == 0 && (wait::hung_up(socket) || self.lock().down) {
                return Err(Gone);
            }
        }
        *cores -= 1;
        drop(cores);
        let spent = self.spec.set_up.div_f64(self.lock().warmth.now().max(0.05));
        let done = self.pause(socket, Instant::now() + spent);
        *self.cores.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.core_free.notify_one();
        done
    }
}

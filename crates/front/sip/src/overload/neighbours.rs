//! Who says that it keeps calls back when told, and whether it does.
//!
//! A neighbour that claims the control of RFC 7339 is not thinned by us, since it has thinned already. That would be a
//! way past the control for one that claims and does nothing. So what each sends is compared with what it sent before
//! it was told anything: one that goes on at more than twice its part is thinned like those that claim nothing, until
//! the overload is over.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use beechloft_session::api::Micros;

/// Neighbours that are remembered; further ones count as claiming nothing.
pub const MOST: usize = 1024;
/// One that was not heard of for so long is forgotten.
const FORGOTTEN: Micros = Micros(10_000_000);
/// Intervals in a row of more than its part that make a neighbour a cheat.
const STRIKES: u32 = 4;
/// More than its part begins at this many times of it, and so many calls a second on top, as small numbers swing.
const SLACK: (f64, f64) = (2.0, 20.0);
/// The weight of an interval in a neighbour's usual rate.
const WEIGHT: f64 = 0.2;

/// What a neighbour counts as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It keeps nothing back, or has not been told yet, or is not believed.
    Plain,
    /// It was told what to keep back, and does as far as is known.
    Told,
}

#[derive(Debug, Clone, Copy)]
struct Neighbour {
    heard: Micros,
    /// New calls in this interval.
    sent: u32,
    /// Calls a second that it sends when it is told nothing.
    usual: f64,
    /// The part that it was last told to send; none: it was told nothing yet.
    told: Option<f64>,
    /// The part that it had been told when the interval began.
    known: Option<f64>,
    strikes: u32,
}

/// The neighbours of one front.
#[derive(Debug, Default)]
pub struct Neighbours {
    all: BTreeMap<SocketAddr, Neighbour>,
}

impl Neighbours {
    /// A new call came from one that claims the control.
    pub fn sent(&mut self, now: Micros, from: SocketAddr) -> Standing {
        if self.all.len() >= MOST && !self.all.contains_key(&from) {
            return Standing::Plain;
        }
        let new = Neighbour { heard: now, sent: 0, usual: 0.0, told: None, known: None, strikes: 0 };
        let neighbour = self.all.entry(from).or_insert(new);
        neighbour.heard = now;
        neighbour.sent += 1;
        if neighbour.known.is_some() && neighbour.strikes < STRIKES {
            Standing::Told
        } else {
            Standing::Plain
        }
    }

    /// Notes what a neighbour is told to send; whether there is any need to tell it.
    pub fn tell(&mut self, to: SocketAddr, share: f64) -> bool {
        let Some(neighbour) = self.all.get_mut(&to) else { return false };
        // One that was told something is told when it is over, too.
        if share >= 1.0 && neighbour.told.is_none() {
            return false;
        }
        neighbour.told = (share < 1.0).then_some(share);
        true
    }

    /// An interval of so many seconds is over; `share` holds from now on.
    pub fn interval(&mut self, now: Micros, seconds: f64, share: f64) {
        self.all.retain(|_, n| now - n.heard < FORGOTTEN);
        for n in self.all.values_mut() {
            let rate = f64::from(std::mem::take(&mut n.sent)) / seconds;
            match n.known {
                // Nothing was asked of it: that is what it usually sends.
                None => {
                    let weight = if n.usual == 0.0 { 1.0 } else { WEIGHT };
                    n.usual += (rate - n.usual) * weight;
                }
                Some(part) if rate > SLACK.0 * n.usual * part + SLACK.1 => n.strikes += 1,
                Some(_) if n.strikes < STRIKES => n.strikes = 0,
                Some(_) => {}
            }
            if share >= 1.0 {
                // The overload is over, and with it every doubt.
                (n.known, n.strikes) = (None, 0);
            } else {
                n.known = n.told;
            }
        }
    }
}

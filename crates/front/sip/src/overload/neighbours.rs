//! Neighbours that claim to support overload control, and whether they follow its feedback.
//!
//! Calls of a neighbour that supports RFC 7339 are not thinned here, since the neighbour has thinned them already. To
//! prevent a neighbour from bypassing the control by a false claim, its rate is compared with the rate at which it sent
//! before any feedback. One that exceeds twice its allowed fraction is thinned like a neighbour without support until the
//! overload ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use beechloft_session::api::Micros;

/// Maximum number of tracked neighbours. Further ones count as not supporting overload control.
pub const MOST: usize = 1024;
/// Time after its last call at which a neighbour is forgotten.
const FORGOTTEN: Micros = Micros(10_000_000);
/// Number of consecutive intervals above its allowance after which a neighbour is treated as not compliant.
const STRIKES: u32 = 4;
/// Tolerance of a neighbour's allowance: a factor, and calls per second on top because small numbers fluctuate.
const SLACK: (f64, f64) = (2.0, 20.0);
/// Weight of an interval in a neighbour's usual rate.
const WEIGHT: f64 = 0.2;

/// How the calls of a neighbour are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The neighbour doesn't reduce its load: no support, no feedback yet, or not compliant.
    Plain,
    /// The neighbour got feedback and complies as far as is known.
    Told,
}

#[derive(Debug, Clone, Copy)]
struct Neighbour {
    heard: Micros,
    /// New calls in the current interval.
    sent: u32,
    /// Usual rate without feedback, in calls per second.
    usual: f64,
    /// Fraction of its calls that the neighbour was last asked to send, or `None` before any feedback.
    told: Option<f64>,
    /// Fraction that applied when the current interval began.
    known: Option<f64>,
    strikes: u32,
}

/// Tracked neighbours of a front.
#[derive(Debug, Default)]
pub struct Neighbours {
    all: BTreeMap<SocketAddr, Neighbour>,
}

impl Neighbours {
    /// Records a new call from a neighbour that claims support.
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

    /// Records the fraction that a neighbour is to send, and returns whether the neighbour must be informed.
    pub fn tell(&mut self, to: SocketAddr, share: f64) -> bool {
        let Some(neighbour) = self.all.get_mut(&to) else { return false };
        // A neighbour that got feedback is also informed of its end.
        if share >= 1.0 && neighbour.told.is_none() {
            return false;
        }
        neighbour.told = (share < 1.0).then_some(share);
        true
    }

    /// Ends an interval of the given length. The fraction `share` applies from now on.
    pub fn interval(&mut self, now: Micros, seconds: f64, share: f64) {
        self.all.retain(|_, n| now - n.heard < FORGOTTEN);
        for n in self.all.values_mut() {
            let rate = f64::from(std::mem::take(&mut n.sent)) / seconds;
            match n.known {
                // No feedback applied, so this is the usual rate.
                None => {
                    let weight = if n.usual == 0.0 { 1.0 } else { WEIGHT };
                    n.usual += (rate - n.usual) * weight;
                }
                Some(part) if rate > SLACK.0 * n.usual * part + SLACK.1 => n.strikes += 1,
                Some(_) if n.strikes < STRIKES => n.strikes = 0,
                Some(_) => {}
            }
            if share >= 1.0 {
                // The end of the overload clears all violations.
                (n.known, n.strikes) = (None, 0);
            } else {
                n.known = n.told;
            }
        }
    }
}

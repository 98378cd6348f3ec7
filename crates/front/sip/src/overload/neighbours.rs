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
pub const MAX_NEIGHBOURS: usize = 1024;
/// Time after its last call at which a neighbour is forgotten.
const RETENTION: Micros = Micros(10_000_000);
/// Number of consecutive intervals above its allowance after which a neighbour is treated as not compliant.
const MAX_VIOLATIONS: u32 = 4;
/// Tolerance of a neighbour's allowance: a factor, and calls per second on top because small numbers fluctuate.
const ALLOWANCE_TOLERANCE: (f64, f64) = (2.0, 20.0);
/// Weight of an interval in a neighbour's usual rate.
const USUAL_RATE_WEIGHT: f64 = 0.2;

/// How the calls of a neighbour are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// The neighbour doesn't reduce its load: no support, no feedback yet, or not compliant.
    Thinned,
    /// The neighbour got feedback and complies as far as is known.
    SelfLimited,
}

#[derive(Debug, Clone, Copy)]
struct Neighbour {
    last_call_at: Micros,
    /// New calls in the current interval.
    calls: u32,
    /// Usual rate without feedback, in calls per second.
    usual_rate: f64,
    /// Fraction of its calls that the neighbour was last asked to send, or `None` before any feedback.
    requested: Option<f64>,
    /// Fraction that applied when the current interval began.
    in_effect: Option<f64>,
    violations: u32,
}

/// Tracked neighbours of a front.
#[derive(Debug, Default)]
pub struct Neighbours {
    by_address: BTreeMap<SocketAddr, Neighbour>,
}

impl Neighbours {
    /// Records a new call from a neighbour that claims support.
    pub fn record_call(&mut self, now: Micros, from: SocketAddr) -> Treatment {
        if self.by_address.len() >= MAX_NEIGHBOURS && !self.by_address.contains_key(&from) {
            return Treatment::Thinned;
        }
        let new = Neighbour {
            last_call_at: now,
            calls: 0,
            usual_rate: 0.0,
            requested: None,
            in_effect: None,
            violations: 0,
        };
        let neighbour = self.by_address.entry(from).or_insert(new);
        neighbour.last_call_at = now;
        neighbour.calls += 1;
        if neighbour.in_effect.is_some() && neighbour.violations < MAX_VIOLATIONS {
            Treatment::SelfLimited
        } else {
            Treatment::Thinned
        }
    }

    /// Records the fraction that a neighbour is to send, and returns whether the neighbour must be informed.
    pub fn record_feedback(&mut self, to: SocketAddr, fraction: f64) -> bool {
        let Some(neighbour) = self.by_address.get_mut(&to) else { return false };
        // A neighbour that got feedback is also informed of its end.
        if fraction >= 1.0 && neighbour.requested.is_none() {
            return false;
        }
        neighbour.requested = (fraction < 1.0).then_some(fraction);
        true
    }

    /// Ends an interval of the given length. `fraction` applies from now on.
    pub fn end_interval(&mut self, now: Micros, seconds: f64, fraction: f64) {
        self.by_address.retain(|_, n| now - n.last_call_at < RETENTION);
        for n in self.by_address.values_mut() {
            let rate = f64::from(std::mem::take(&mut n.calls)) / seconds;
            match n.in_effect {
                // No feedback applied, so this is the usual rate.
                None => {
                    let weight = if n.usual_rate == 0.0 { 1.0 } else { USUAL_RATE_WEIGHT };
                    n.usual_rate += (rate - n.usual_rate) * weight;
                }
                Some(part) if rate > ALLOWANCE_TOLERANCE.0 * n.usual_rate * part + ALLOWANCE_TOLERANCE.1 => {
                    n.violations += 1
                }
                Some(_) if n.violations < MAX_VIOLATIONS => n.violations = 0,
                Some(_) => {}
            }
            if fraction >= 1.0 {
                // The end of the overload clears all violations.
                (n.in_effect, n.violations) = (None, 0);
            } else {
                n.in_effect = n.requested;
            }
        }
    }
}

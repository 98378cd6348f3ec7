//! A front's number by lease: which part of what all fronts may do together is this one's, now.
//!
//! The place of a front's grant is its number, so that no two that hold one at once have the same. What else must agree is of
//! how many the numbers are, and fronts learn of a change at different moments. Four things keep the sum of all parts under the
//! whole at each moment, and over any span of the pace:
//!
//! - `of` is a power of two. Of a larger one a front's part is no more than of a smaller one, and where parts are under one,
//!   those that have one of the larger are among those that have one of the smaller (a turn that is under the bound modulo `2n`
//!   is under it modulo `n`). So fronts that go by different ones are together no more than all by the smallest in use, as
//!   long as no number is past that one.
//! - A new holder waits before it goes by its number: for the longest time of any grant of this lease, after which every
//!   other front has either renewed since, and heard how far numbers reach, or has lost its own; and for the span, after which
//!   nothing counts that others did by larger parts, or that the number's last holder did.
//! - A larger `of` is gone by at once, a smaller one after the span: what those did that had the numbers past it is over then.
//! - Without a lease a front has no part at all: with no bound on how many such fronts there are, any part above nought
//!   would make a sum without bound.
//!
//! # A number that is taken over
//!
//! A front that ends stops acting by its number for good ([`Numbering::stop`]), and leaves the place to the next one of its seat
//! ([`Numbering::farewell`]); that one is granted the same place by another token and waits for the rest alone. Why the four things
//! above hold then:
//!
//! - The place is never free in between. For all other fronts nothing has changed: none that has renewed goes by an `of` that is
//!   not above it, as the one before it had waited until they had.
//! - What the one before did counts for the span from when it stopped. By its clock a part of that is over when it leaves; the rest
//!   goes with the place, and is waited for from when the new one hears of its grant, which is later. Both parts by clocks within
//!   the drift come to the span made longer by it, so that the span is over by true time. If the one before was itself
//!   waiting, what is left of that goes with it instead.
//! - Going by a smaller `of` than somebody with a number past it did within the span: the new one begins with the `of` of the one
//!   before, and goes to a smaller one after a span like any other. The one before knew of all whose grants were there at its last
//!   renewal. A grant that was made after that and has ended again before the place is taken over is seen by the table, as its
//!   token is above the newest that the one before had heard of; then the new one waits like any new number.
//! - Two that sit in one seat at once: the place is left once and taken over once; the other has another number, and waits.
//!
//! If the word that leaves the place is lost, or its sender was killed, the place runs out as it always did.

use std::time::Duration;

use crate::drift::Drift;
use crate::holder::{Farewell, Permit};
use crate::planted::Fault;
use crate::words::Token;

/// What a front may go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    /// Nothing.
    None,
    /// The part of this number, of so many: a power of two above each number.
    Of {
        /// Counted from nought.
        number: u32,
        /// Of how many.
        of: u32,
    },
}

/// A grant, as it is gone by.
#[derive(Debug, Clone, Copy)]
struct Held {
    token: Token,
    number: u32,
    from: Duration,
    until: Duration,
    of: u32,
    /// A smaller one, and when it is gone by.
    smaller: Option<(u32, Duration)>,
}

/// A front's number as it changes.
#[derive(Debug)]
pub struct Numbering {
    drift: Drift,
    span: Duration,
    held: Option<Held>,
    /// Since when it acts by no number any more.
    stopped: Option<Duration>,
    fault: Option<Fault>,
}

impl Numbering {
    /// No number yet. `span` is that over which the pace counts what was done.
    pub fn new(drift: Drift, span: Duration) -> Numbering {
        Numbering { drift, span: drift.longer(span), held: None, stopped: None, fault: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Looks at the holder's permit; to be called whenever the holder has heard something or lost its lease, and before
    /// [`Numbering::part`] at any other time.
    pub fn look(&mut self, now: Duration, permit: Option<&Permit>) {
        let Some((token, permit)) = permit.and_then(|p| Some((p.token_at(now)?, p))) else {
            self.held = None;
            return;
        };
        let standing = permit.standing();
        // Up to 4,096 places: no overflow.
        let needs = u32::from(standing.reach).next_power_of_two();
        let known = self.held.filter(|h| h.token == token);
        let mut held = known.unwrap_or_else(|| {
            let longest = self.drift.longer(Duration::from_millis(u64::from(standing.longest_ms)));
            let mut wait =
                if self.planted(Fault::NumberAtOnce) { Duration::ZERO } else { longest + self.span };
            let mut of = needs;
            if let Some(inherited) = permit.inherited() {
                wait = wait.min(Duration::from_millis(u64::from(inherited.rest_ms)));
                if self.planted(Fault::RestForgotten) {
                    wait = Duration::ZERO;
                }
                // What the table lets pass is a power of two; whoever said something else has a smaller part for it.
                let before = inherited.of.min(1 << 20).next_power_of_two();
                of = if self.planted(Fault::OfForgotten) { needs } else { needs.max(before) };
            }
            let number = u32::from(standing.place);
            Held { token, number, from: now + wait, until: permit.until(), of, smaller: None }
        });
        held.until = permit.until();
        let at_once = self.planted(Fault::SmallerAtOnce);
        if needs >= held.of || at_once {
            (held.of, held.smaller) = (needs, None);
        } else {
            // What was enough before is still: the wait goes on. A larger need takes the place of a smaller one.
            let (least, at) = held.smaller.unwrap_or((needs, now + self.span));
            held.smaller = Some((least.max(needs), at));
        }
        if let Some((of, _)) = held.smaller.filter(|s| now >= s.1) {
            held.of = of;
            // What is needed now may be less than what was when the wait began.
            held.smaller = (needs < of).then_some((needs, now + self.span));
        }
        self.held = Some(held);
    }

    /// This front's part, now.
    pub fn part(&self, now: Duration) -> Part {
        match self.held {
            _ if self.stopped.is_some() && !self.planted(Fault::ActsAfterLeaving) => Part::None,
            Some(h) if now >= h.from && now < h.until => Part::Of { number: h.number, of: h.of },
            _ => Part::None,
        }
    }

    /// Acts by no number any more, from now on.
    pub fn stop(&mut self, now: Duration) {
        self.stopped.get_or_insert(now);
    }

    /// Since when it acts by no number any more, and how long that counts.
    pub fn stopped(&self) -> Option<(Duration, Duration)> {
        self.stopped.map(|at| (at, self.span))
    }

    /// What goes with the number when it is left; none: it has none, or it has not stopped. `keep_ms` is how long the place
    /// is kept.
    pub fn farewell(&self, now: Duration, keep_ms: u32) -> Option<Farewell> {
        let (held, stopped) = (self.held?, self.stopped?);
        // Until it goes by its number it did nothing by it.
        let over = if stopped < held.from { held.from } else { stopped + self.span };
        let rest = over.saturating_sub(now);
        let rest_ms = u32::try_from(rest.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX);
        Some(Farewell { of: held.of, rest_ms, keep_ms })
    }

    /// Its number, whether it goes by it yet or not.
    pub fn number(&self) -> Option<u32> {
        self.held.map(|h| h.number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// As the module paces (`Policy::pace_allows`): how much of `all` a front may do at one server.
    fn allowed(server: u32, all: u32, part: Part) -> u32 {
        let Part::Of { number, of } = part else { return 0 };
        let turn = (server + number) % of;
        match all / of {
            0 => u32::from(turn < all),
            part => part,
        }
    }

    #[test]
    fn fronts_that_go_by_different_powers_of_two_are_together_under_the_whole() {
        // All ways for up to eight fronts to go by 8, 16, 32 or 64, numbers under 8, at all servers and wholes.
        for ways in 0..4u32.pow(8) {
            let of = |n: u32| 8 << ((ways >> (2 * n)) & 3);
            for all in [0, 1, 2, 3, 5, 7, 8, 9, 15, 16, 17, 40] {
                let server = ways % 64;
                let sum: u32 = (0..8).map(|n| allowed(server, all, Part::Of { number: n, of: of(n) })).sum();
                assert!(sum <= all, "{ways} {all}: {sum}");
            }
        }
    }

    #[test]
    fn with_any_other_numbers_they_are_not() {
        // Why it is a power of two: of 5 and of 7, with a whole of 2, three have a turn.
        let by = |of: u32| move |number: u32| allowed(0, 2, Part::Of { number, of });
        let sum: u32 = (0..2).map(by(5)).sum::<u32>() + (2..5).map(by(3)).sum::<u32>();
        assert!(sum > 2, "{sum}");
    }
}

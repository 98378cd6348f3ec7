//! What a verdict needs, and how long it holds.

use std::time::Duration;

use thiserror::Error;

use crate::planted::Fault;

/// What a verdict needs, and how long it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// Accusers that must be left, in two zones, when any one is not counted.
    pub fronts: usize,
    /// Bad attempts of all accusers together, at most three of each.
    pub failures: u32,
    /// Of a thousand parts of a zone's capacity, and of a title's ready holders, so many are held bad at most.
    pub part: u16,
    /// Attempts are remembered for so long.
    pub window: Duration,
    /// Reports older than this are no evidence.
    pub fresh: Duration,
    /// A verdict that is not judged anew for so long is not acted on any more.
    pub hold: Duration,
    /// From the last verdict to the first trial: the window, and until all others know that it has passed.
    pub quiet: Duration,
    /// From a trial that went badly to the next in the fleet.
    pub trial_gap: Duration,
    /// How long a trial waits for an attempt.
    pub trial_for: Duration,
    /// Fronts whose trials must go well.
    pub trials: usize,
    /// How long each step of the way back takes.
    pub step: Duration,
    /// A fault of a test's.
    pub(crate) fault: Option<Fault>,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            fronts: 2,
            failures: 4,
            part: 500,
            window: Duration::from_secs(10),
            fresh: Duration::from_secs(6),
            hold: Duration::from_secs(60),
            quiet: Duration::from_secs(16),
            trial_gap: Duration::from_secs(10),
            trial_for: Duration::from_secs(8),
            trials: 2,
            step: Duration::from_secs(5),
            fault: None,
        }
    }
}

/// Rules that can't hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RulesError {
    /// One front alone could condemn.
    #[error("fewer than 2 fronts besides one that may lie")]
    Fronts,
    /// Reports would be old before they are around.
    #[error("evidence is fresh for {fresh:?}, and comes around in {staleness:?}")]
    Fresh {
        /// As asked for.
        fresh: Duration,
        /// What is needed.
        staleness: Duration,
    },
    /// Trials would be judged by what was seen before them.
    #[error("trials after {quiet:?}, and what was seen before is remembered for {needed:?}")]
    Quiet {
        /// As asked for.
        quiet: Duration,
        /// What is needed.
        needed: Duration,
    },
    /// A verdict would end before the first trial.
    #[error("verdicts hold for {hold:?}, and the first trial is after {quiet:?}")]
    Hold {
        /// As asked for.
        hold: Duration,
        /// What is needed.
        quiet: Duration,
    },
}

impl Rules {
    /// Whether they can hold where reports come around within `staleness`.
    ///
    /// # Errors
    /// They can't.
    pub fn check(&self, staleness: Duration) -> Result<(), RulesError> {
        let needed = self.window + staleness;
        if self.fronts < 2 {
            Err(RulesError::Fronts)
        } else if self.fresh < staleness {
            Err(RulesError::Fresh { fresh: self.fresh, staleness })
        } else if self.quiet < needed {
            Err(RulesError::Quiet { quiet: self.quiet, needed })
        } else if self.hold <= self.quiet {
            Err(RulesError::Hold { hold: self.hold, quiet: self.quiet })
        } else {
            Ok(())
        }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    pub(crate) fn planted(&self, fault: Fault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }
}

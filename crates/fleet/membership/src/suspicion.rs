//! How long a suspicion lasts before it is believed (Lifeguard, section IV-B).

use std::collections::BTreeSet;
use std::time::Duration;

use crate::words::{Incarnation, MemberId};

/// Others that must say so for the shortest time.
const ENOUGH: usize = 3;
/// The paper's alpha: the shortest time, in periods for each power of ten of members.
const SHORTEST: f64 = 5.0;
/// Its beta: the longest time, in shortest ones.
const LONGEST: f64 = 6.0;

/// A suspicion.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    pub incarnation: Incarnation,
    began: Duration,
    /// Who says so, its first one not counted.
    by: BTreeSet<MemberId>,
    first: MemberId,
}

impl Suspicion {
    pub fn new(incarnation: Incarnation, by: MemberId, now: Duration) -> Suspicion {
        Suspicion { incarnation, began: now, by: BTreeSet::new(), first: by }
    }

    /// Another says so too; whether that is news.
    pub fn confirm(&mut self, by: MemberId) -> bool {
        by != self.first && self.by.len() < ENOUGH && self.by.insert(by)
    }

    /// When it is believed, among so many members: the sooner the more have said so.
    pub fn ends(&self, members: usize, period: Duration) -> Duration {
        let shortest = SHORTEST * (members as f64).log10().max(1.0) * period.as_secs_f64();
        let longest = LONGEST * shortest;
        // A fleet of three has nobody else to say so.
        let enough = ENOUGH.min(members.saturating_sub(2));
        let heard =
            if enough == 0 { 1.0 } else { (self.by.len() as f64 + 1.0).ln() / (enough as f64 + 1.0).ln() };
        let lasts = (longest - (longest - shortest) * heard).max(shortest);
        self.began + Duration::from_secs_f64(lasts)
    }

    /// The time that this process slept is not counted.
    pub fn slept(&mut self, span: Duration) {
        self.began += span;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_that_says_so_shortens_it_and_nobody_twice() {
        let period = Duration::from_secs(1);
        let mut s = Suspicion::new(Incarnation(0), MemberId(1), Duration::ZERO);
        let mut last = s.ends(300, period);
        assert!(last > Duration::from_secs(74) && last < Duration::from_secs(75));
        assert!(!s.confirm(MemberId(1)));
        for by in 2..5 {
            assert!(s.confirm(MemberId(by)) && !s.confirm(MemberId(by)));
            assert!(s.ends(300, period) < last);
            last = s.ends(300, period);
        }
        assert!(!s.confirm(MemberId(9)), "enough said so");
        assert!(last > Duration::from_secs(12) && last < Duration::from_secs(13));
        // Of two nobody else can say so.
        assert_eq!(Suspicion::new(Incarnation(0), MemberId(1), Duration::ZERO).ends(2, period), 5 * period);
    }
}

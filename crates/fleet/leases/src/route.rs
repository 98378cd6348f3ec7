//! Which keeper a request goes to.

/// A holder's way to the keeper that leads. One that says nothing to a request is left for the next one, so that a keeper that
/// is dead, stopped or cut off costs one try; one that names the leader is believed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    keepers: usize,
    at: usize,
    /// Something went there, and nothing has come back since.
    unheard: bool,
}

impl Route {
    /// A way to one of so many keepers, beginning at this one; different ones for different holders spread them.
    pub fn new(keepers: usize, first: usize) -> Route {
        let keepers = keepers.max(1);
        Route { keepers, at: first % keepers, unheard: false }
    }

    /// The keeper that a request goes to now.
    pub fn take(&mut self) -> usize {
        if std::mem::replace(&mut self.unheard, true) {
            self.at = (self.at + 1) % self.keepers;
        }
        self.at
    }

    /// A keeper has answered.
    pub fn answered(&mut self) {
        self.unheard = false;
    }

    /// A keeper does not lead: the one that it names does, or the next may know.
    pub fn not_leader(&mut self, leader: Option<usize>) {
        self.unheard = false;
        self.at = leader.filter(|l| *l < self.keepers).unwrap_or((self.at + 1) % self.keepers);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_silent_keeper_is_left_and_a_named_leader_is_believed() {
        let mut route = Route::new(3, 4);
        assert_eq!((route.take(), route.take(), route.take()), (1, 2, 0));
        route.answered();
        assert_eq!(route.take(), 0);
        route.not_leader(Some(2));
        assert_eq!(route.take(), 2);
        route.not_leader(None);
        assert_eq!(route.take(), 0);
        route.not_leader(Some(9));
        assert_eq!(route.take(), 1);
    }
}

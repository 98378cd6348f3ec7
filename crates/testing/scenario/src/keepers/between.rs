//! Troubles between processes, as a script says them.

use std::time::Duration;

use beechloft_config_reader::Section;

/// Which keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Which {
    /// Whoever leads when it begins.
    Leader,
    /// This one, counted from nought.
    Keeper(usize),
}

/// A trouble between processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Between {
    /// A keeper is killed outright, and started again at the end.
    KillKeeper(Which),
    /// It is stopped, and goes on at the end.
    StopKeeper(Which),
    /// All are killed at once.
    KillKeepers,
    /// It hears nobody and nobody hears it; one way: it is heard by nobody.
    CutKeeper {
        /// Which.
        which: Which,
        /// It still hears others.
        one_way: bool,
    },
    /// All that it says and hears is late.
    SlowKeeper(Which, Duration),
    /// The leader is cut off together with whoever holds the lease.
    CutLeaderWithHolder,
    /// Whoever holds the lease is killed with all that it runs, and another candidate comes at the end.
    KillHolder,
    /// It is stopped with all that it runs, and goes on at the end.
    StopHolder,
    /// A front can't reach any keeper.
    CutFront(usize),
}

impl Between {
    /// Reads one, if this is one.
    pub fn of(s: &Section<'_>, keepers: u64, fronts: usize) -> Option<Between> {
        let which = |key: &'static str| match s.text(key)?.as_str() {
            "leader" => Some(Which::Leader),
            text => match text.parse() {
                Ok(n) if n < keepers as usize => Some(Which::Keeper(n)),
                _ => {
                    s.report(key, format!("'leader' or a keeper's number under {keepers} is needed"));
                    None
                }
            },
        };
        if s.has("kill_keeper") {
            which("kill_keeper").map(Between::KillKeeper)
        } else if s.has("stop_keeper") {
            which("stop_keeper").map(Between::StopKeeper)
        } else if s.has("kill_keepers") {
            s.flag("kill_keepers", true).then_some(Between::KillKeepers)
        } else if s.has("cut_keeper") {
            let one_way = s.flag("one_way", false);
            which("cut_keeper").map(|which| Between::CutKeeper { which, one_way })
        } else if s.has("slow_keeper") {
            let ms = s.required_integer("ms", 1..=60_000);
            which("slow_keeper").map(|which| Between::SlowKeeper(which, Duration::from_millis(ms)))
        } else if s.has("cut_leader_with_holder") {
            s.flag("cut_leader_with_holder", true).then_some(Between::CutLeaderWithHolder)
        } else if s.has("kill_holder") {
            s.flag("kill_holder", true).then_some(Between::KillHolder)
        } else if s.has("stop_holder") {
            s.flag("stop_holder", true).then_some(Between::StopHolder)
        } else if s.has("cut_front") {
            Some(Between::CutFront(s.integer("cut_front", 0..=fronts as u64 - 1)? as usize))
        } else {
            None
        }
    }
}

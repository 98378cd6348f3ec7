//! What players do, by a script.

use std::time::Duration;

use beechloft_config_reader::Section;

use super::seconds;

/// A crowd for few titles.
#[derive(Debug, Clone, PartialEq)]
pub struct Crowd {
    /// It comes.
    pub at: Duration,
    /// It stays.
    pub lasts: Duration,
    /// How many titles it is after.
    pub titles: usize,
    /// Part of all viewers that it makes up meanwhile.
    pub share: f64,
}

/// What players do.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// New viewers come for so long.
    pub lasts: Duration,
    /// New viewers a second: second of the day, rate; straight between.
    pub curve: Vec<(f64, f64)>,
    /// They watch so many seconds.
    pub watch_s: (f64, f64),
    /// Part of them that comes again after a refusal or a break.
    pub returns: f64,
    /// So many seconds later.
    pub again_s: (f64, f64),
    /// Part that hangs up before the answer.
    pub hangs_up: f64,
    /// Part that leaves without a word.
    pub vanishes: f64,
    /// Part that can't use the upper rungs.
    pub capped: f64,
    /// Part that trickles candidates.
    pub trickles: f64,
    /// Part whose offer is posted twice by a proxy.
    pub repeats: f64,
    /// How unevenly titles are wanted.
    pub zipf: f64,
    /// Part that calls by SIP rather than WHEP.
    pub sip: f64,
    /// Part of SIP datagrams that is lost, both ways.
    pub loses: f64,
    /// Part of SIP datagrams that is overtaken by later ones, both ways.
    pub overtakes: f64,
}

pub(super) fn load(s: &Section<'_>) -> Load {
    let lasts = seconds(s, "seconds", 10.0);
    let flat = s.numbers("per_s", 0.0..=1e5);
    if flat.is_empty() {
        s.report("per_s", "rates of new viewers a second, evenly over the day, are needed");
    }
    let step = lasts.as_secs_f64() / (flat.len().max(2) - 1) as f64;
    let curve = flat.iter().enumerate().map(|(n, rate)| (n as f64 * step, *rate)).collect();
    let part = |key, default| s.number(key, 0.0..=1.0).unwrap_or(default);
    Load {
        lasts,
        curve,
        watch_s: s.pair("watch_s", 0.0..=86_400.0, (2.0, 6.0)),
        returns: part("returns", 0.9),
        again_s: s.pair("again_s", 0.0..=3600.0, (0.6, 2.6)),
        hangs_up: part("hangs_up", 0.02),
        vanishes: part("vanishes", 0.05),
        capped: part("capped", 0.2),
        trickles: part("trickles", 0.2),
        repeats: part("repeats", 0.01),
        sip: protocol(s),
        loses: part("loses", 0.0),
        overtakes: part("overtakes", 0.0),
        zipf: s.number("zipf", 0.0..=3.0).unwrap_or(0.8),
    }
}

/// The part of viewers that calls by SIP.
fn protocol(s: &Section<'_>) -> f64 {
    let words = [("whep", Some(0.0)), ("sip", Some(1.0)), ("mix", None)];
    let share = s.number("sip_share", 0.0..=1.0);
    match s.choice("protocol", &words) {
        Some(None) => share.unwrap_or(0.5),
        said => {
            if share.is_some() {
                s.report("sip_share", "makes sense with 'protocol: mix' alone");
            }
            said.flatten().unwrap_or(0.0)
        }
    }
}

pub(super) fn crowd(s: &Section<'_>) -> Crowd {
    Crowd {
        at: seconds(s, "at_s", 0.0),
        lasts: seconds(s, "for_s", 5.0),
        titles: s.integer("titles", 1..=1000).unwrap_or(2) as usize,
        share: s.required_number("share", 0.0..=1.0),
    }
}

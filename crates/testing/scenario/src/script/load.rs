//! Behaviour of players in a script.

use std::time::Duration;

use beechloft_config_reader::Section;

use super::seconds;

/// Flash crowd for a few titles.
#[derive(Debug, Clone, PartialEq)]
pub struct FlashCrowd {
    /// Start, from the start of the day.
    pub at: Duration,
    /// Duration.
    pub lasts: Duration,
    /// Number of titles that the crowd requests.
    pub titles: usize,
    /// Share of all new viewers that belong to the crowd.
    pub share: f64,
}

/// Arrival and behaviour of players.
#[derive(Debug, Clone, PartialEq)]
pub struct Load {
    /// Time during which new viewers arrive.
    pub lasts: Duration,
    /// Points of the arrival rate, each as a second of the day and a number of new viewers per second, with linear
    /// interpolation between them.
    pub curve: Vec<(f64, f64)>,
    /// Minimum and maximum time that a viewer watches, in seconds.
    pub watch_s: (f64, f64),
    /// Share of viewers that return after a refusal or a broken session.
    pub returns: f64,
    /// Minimum and maximum time until a viewer returns, in seconds.
    pub again_s: (f64, f64),
    /// Share of viewers that hang up before the answer.
    pub hangs_up: f64,
    /// Share of viewers that leave without ending their session.
    pub vanishes: f64,
    /// Share of viewers that can't use the upper rungs.
    pub capped: f64,
    /// Share of viewers that trickle ICE candidates.
    pub trickles: f64,
    /// Share of viewers whose offer a proxy posts twice.
    pub repeats: f64,
    /// Exponent of the Zipf distribution of the titles' popularity.
    pub zipf: f64,
    /// Share of viewers that use SIP instead of WHEP.
    pub sip: f64,
    /// Share of SIP datagrams that are lost in each direction.
    pub loses: f64,
    /// Share of SIP datagrams that later ones overtake in each direction.
    pub overtakes: f64,
}

/// Reads the load section.
pub(super) fn load(section: &Section<'_>) -> Load {
    let lasts = seconds(section, "seconds", 10.0);
    let rates = section.numbers("per_s", 0.0..=1e5);
    if rates.is_empty() {
        section.report("per_s", "rates of new viewers a second, evenly over the day, are needed");
    }
    let step = lasts.as_secs_f64() / (rates.len().max(2) - 1) as f64;
    let curve = rates.iter().enumerate().map(|(n, rate)| (n as f64 * step, *rate)).collect();
    let share = |key, default| section.number(key, 0.0..=1.0).unwrap_or(default);
    Load {
        lasts,
        curve,
        watch_s: section.pair("watch_s", 0.0..=86_400.0, (2.0, 6.0)),
        returns: share("returns", 0.9),
        again_s: section.pair("again_s", 0.0..=3600.0, (0.6, 2.6)),
        hangs_up: share("hangs_up", 0.02),
        vanishes: share("vanishes", 0.05),
        capped: share("capped", 0.2),
        trickles: share("trickles", 0.2),
        repeats: share("repeats", 0.01),
        sip: sip_share(section),
        loses: share("loses", 0.0),
        overtakes: share("overtakes", 0.0),
        zipf: section.number("zipf", 0.0..=3.0).unwrap_or(0.8),
    }
}

/// Reads the share of viewers that use SIP.
fn sip_share(section: &Section<'_>) -> f64 {
    let protocols = [("whep", Some(0.0)), ("sip", Some(1.0)), ("mix", None)];
    let share = section.number("sip_share", 0.0..=1.0);
    match section.choice("protocol", &protocols) {
        Some(None) => share.unwrap_or(0.5),
        protocol => {
            if share.is_some() {
                section.report("sip_share", "makes sense with 'protocol: mix' alone");
            }
            protocol.flatten().unwrap_or(0.0)
        }
    }
}

/// Reads a crowd.
pub(super) fn crowd(section: &Section<'_>) -> FlashCrowd {
    FlashCrowd {
        at: seconds(section, "at_s", 0.0),
        lasts: seconds(section, "for_s", 5.0),
        titles: section.integer("titles", 1..=1000).unwrap_or(2) as usize,
        share: section.required_number("share", 0.0..=1.0),
    }
}

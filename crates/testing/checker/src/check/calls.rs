//! Extraction of players' calls, attempts at media servers and starts and kills of fronts from a trace.

use std::collections::BTreeMap;

use crate::trace::{Ending, Seen, Speaks, What};

/// Call of a player to a front, with its start and timeout in microseconds.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) offer: String,
    pub(super) front: u32,
    pub(super) at: u64,
    pub(super) patience: u64,
    pub(super) speaks: Speaks,
    /// Time, outcome and number of surplus responses, or `None` if the call did not end.
    pub(super) end: Option<(u64, Ending, u32)>,
}

/// Set-up that a front sent to a media server.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: u32,
    pub(super) front: u32,
    pub(super) title: String,
    pub(super) at: u64,
    /// Time at which the attempt ended, or `None` if it did not.
    pub(super) ended_at: Option<u64>,
    /// Status of the answer, or `None` if there was none.
    pub(super) status: Option<u16>,
}

/// Returns the players' calls in the order in which they began.
pub(super) fn player_calls(trace: &[&Seen]) -> Vec<Call> {
    let mut calls: Vec<Call> = Vec::new();
    // A proxy may post the same offer more than once. An end belongs to the earliest call of the offer that is open.
    let mut open: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for seen in trace {
        match &seen.what {
            What::Asked { offer, front, patience_us, speaks, .. } => {
                open.entry(offer).or_default().push(calls.len());
                let (offer, patience) = (offer.clone(), *patience_us);
                let (front, speaks) = (*front, *speaks);
                calls.push(Call { offer, front, at: seen.at, patience, speaks, end: None });
            }
            What::Ended { offer, ending, extra } => {
                if let Some(call) = open
                    .get_mut(offer.as_str())
                    .and_then(|calls| if calls.is_empty() { None } else { Some(calls.remove(0)) })
                {
                    calls[call].end = Some((seen.at, *ending, *extra));
                }
            }
            _ => {}
        }
    }
    calls
}

/// Returns the attempts of each offer in the order in which media servers received them.
pub(super) fn attempts_by_offer(trace: &[&Seen]) -> BTreeMap<String, Vec<Attempt>> {
    let mut all: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for seen in trace {
        let (server, offer, status) = match &seen.what {
            What::Offered { server, offer, front, title, .. } => {
                let attempt = Attempt {
                    server: *server,
                    front: *front,
                    title: title.clone(),
                    at: seen.at,
                    ended_at: None,
                    status: None,
                };
                all.entry(offer.clone()).or_default().push(attempt);
                continue;
            }
            What::Answered { server, offer, status } => (server, offer, Some(*status)),
            What::Dropped { server, offer } => (server, offer, None),
            What::Died { server } | What::Toppled { server } => {
                // Attempts that are outstanding at a process end with it.
                for attempt in all
                    .values_mut()
                    .flatten()
                    .filter(|attempt| attempt.server == *server && attempt.ended_at.is_none())
                {
                    attempt.ended_at = Some(seen.at);
                }
                continue;
            }
            _ => continue,
        };
        let outstanding = all
            .get_mut(offer)
            .into_iter()
            .flatten()
            .find(|attempt| attempt.server == *server && attempt.ended_at.is_none());
        if let Some(attempt) = outstanding {
            (attempt.ended_at, attempt.status) = (Some(seen.at), status);
        }
    }
    all
}

/// Returns the times at which each front was killed.
pub(super) fn front_kills(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut killed: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontKilled { front } = seen.what {
            killed.entry(front).or_default().push(seen.at);
        }
    }
    killed
}

/// Returns the times at which each front started.
pub(super) fn front_starts(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut started: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontUp { front } = seen.what {
            started.entry(front).or_default().push(seen.at);
        }
    }
    started
}

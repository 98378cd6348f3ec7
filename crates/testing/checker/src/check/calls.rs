//! What a trace tells of players' calls, of attempts at boxes and of fronts' processes.

use std::collections::BTreeMap;

use crate::trace::{Ending, Seen, Speaks, What};

#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) offer: String,
    pub(super) front: u32,
    pub(super) at: u64,
    pub(super) patience: u64,
    pub(super) speaks: Speaks,
    pub(super) end: Option<(u64, Ending, u32)>,
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: u32,
    pub(super) front: u32,
    pub(super) title: String,
    pub(super) at: u64,
    pub(super) over: Option<u64>,
    pub(super) status: Option<u16>,
}

pub(super) fn calls(trace: &[&Seen]) -> Vec<Call> {
    let mut calls: Vec<Call> = Vec::new();
    // The same offer may be posted again by a proxy: the latest call without an end is the one that ends.
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
                    .and_then(|o| if o.is_empty() { None } else { Some(o.remove(0)) })
                {
                    calls[call].end = Some((seen.at, *ending, *extra));
                }
            }
            _ => {}
        }
    }
    calls
}

pub(super) fn attempts(trace: &[&Seen]) -> BTreeMap<String, Vec<Attempt>> {
    let mut all: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for seen in trace {
        let (server, offer, status) = match &seen.what {
            What::Offered { server, offer, front, title, .. } => {
                let attempt = Attempt {
                    server: *server,
                    front: *front,
                    title: title.clone(),
                    at: seen.at,
                    over: None,
                    status: None,
                };
                all.entry(offer.clone()).or_default().push(attempt);
                continue;
            }
            What::Answered { server, offer, status } => (server, offer, Some(*status)),
            What::Dropped { server, offer } => (server, offer, None),
            What::Died { server } | What::Toppled { server } => {
                // With its process, whatever was out there is over.
                for attempt in all.values_mut().flatten().filter(|a| a.server == *server && a.over.is_none())
                {
                    attempt.over = Some(seen.at);
                }
                continue;
            }
            _ => continue,
        };
        let out = all.get_mut(offer).into_iter().flatten().find(|a| a.server == *server && a.over.is_none());
        if let Some(attempt) = out {
            (attempt.over, attempt.status) = (Some(seen.at), status);
        }
    }
    all
}

pub(super) fn killings(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut killed: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontKilled { front } = seen.what {
            killed.entry(front).or_default().push(seen.at);
        }
    }
    killed
}

pub(super) fn starts(trace: &[&Seen]) -> BTreeMap<u32, Vec<u64>> {
    let mut up: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for seen in trace {
        if let What::FrontUp { front } = seen.what {
            up.entry(front).or_default().push(seen.at);
        }
    }
    up
}

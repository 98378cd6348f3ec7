//! Histories of a lease as its clients saw them, checked: is there an order of all that was done, each thing at some moment between
//! its asking and its answer, that a table of leases explains? (Herlihy and Wing, "Linearizability: A Correctness Condition for
//! Concurrent Objects", TOPLAS 1990; the search is that of Wing and Gong, "Testing and Verifying Concurrent Objects", JPDC 1993,
//! with what was tried remembered, as in Lowe, "Testing for linearizability", 2017.)
//!
//! An end by time is nobody's request: it may come at any moment that lies past the lease's whole time after its holder asked for the
//! grant or for the last renewal that was done. All clocks of a test run within the drift, so that this holds by true time.

use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::time::Duration;

use beechloft_coordinator::history::{HistoryEvent, HistoryRecord};
use beechloft_leases::{Answer, Op as Wanted, Rejection};

/// States that are tried at most: a history that some order explains needs about as many as it has requests.
const MOST_TRIED: usize = 100_000;

/// What was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Asked {
    Acquire,
    Renew(u64),
    Release(u64),
}

/// What was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Answered {
    Granted(u64),
    Renewed,
    Released,
    Taken,
    NotHeld,
}

/// A request, from before its first copy left to its first answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Op {
    pub holder: u64,
    /// A holder's numbers rise; what comes to the table after a higher one is not done.
    pub seq: u64,
    pub asked: Asked,
    pub from: Duration,
    /// None: nobody heard of it, and it may have been done at any later moment, or not at all.
    pub answered: Option<(Answered, Duration)>,
}

/// The lease, of one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Lease {
    /// Token, holder, and the moment before which it can't run out.
    held: Option<(u64, u64, Duration)>,
    last: u64,
    /// Nothing that comes from here on was answered before this.
    past: Duration,
}

impl Lease {
    /// How it may stand after this, with this answer; several ways if an end by time may or may not have come first.
    fn does(self, op: &Op, answered: Option<Answered>, ttl: Duration) -> Vec<Lease> {
        let mut ways = vec![self];
        if let Some((_, _, over)) = self.held {
            ways.push(Lease { held: None, past: self.past.max(over), ..self });
        }
        ways.into_iter().filter_map(|w| w.one(op, answered, ttl)).collect()
    }

    fn one(self, op: &Op, answered: Option<Answered>, ttl: Duration) -> Option<Lease> {
        let past = self.past.max(op.from);
        let in_time = op.answered.is_none_or(|(_, at)| at >= past);
        let own = |token: u64| self.held.is_some_and(|h| (h.0, h.1) == (token, op.holder));
        let over = op.from + ttl;
        let (held, last, fits) = match (op.asked, answered) {
            // What it held before ends with a new grant of its own.
            (Asked::Acquire, Some(Answered::Granted(token))) => {
                let free = self.held.is_none_or(|h| h.1 == op.holder);
                (Some((token, op.holder, over)), token, free && token > self.last)
            }
            (Asked::Acquire, Some(Answered::Taken)) => {
                (self.held, self.last, self.held.is_some_and(|h| h.1 != op.holder))
            }
            // Nobody heard of the token: it is above the last, and below the next that was heard of.
            (Asked::Acquire, None) => {
                let free = self.held.is_none_or(|h| h.1 == op.holder);
                (Some((0, op.holder, over)), self.last, free)
            }
            (Asked::Renew(token), Some(Answered::Renewed) | None) => {
                let held = self.held.map(|h| (h.0, h.1, over.max(h.2)));
                (held, self.last, own(token))
            }
            (Asked::Release(token), Some(Answered::Released) | None) => (None, self.last, own(token)),
            (Asked::Renew(token) | Asked::Release(token), Some(Answered::NotHeld)) => {
                (self.held, self.last, !own(token))
            }
            _ => return None,
        };
        (fits && in_time).then_some(Lease { held, last, past })
    }
}

/// Whether some order explains the history of a lease with one place; if not, what could not be placed after all orders that
/// went furthest.
pub fn check(history: &[Op], ttl: Duration) -> Result<(), String> {
    // A renewal that nobody heard of, if it was done, only puts an end off: what some order with it explains, one without does.
    let unheard = |op: &&Op| op.answered.is_none() && matches!(op.asked, Asked::Renew(_));
    let mut all: Vec<Op> = history.iter().filter(|op| !unheard(op)).copied().collect();
    all.sort_by_key(|op| op.from);
    // The search goes as deep as the history is long.
    let deep = std::thread::Builder::new().stack_size(256 << 20);
    let search = deep.spawn(move || {
        let mut search = Search { all: &all, ttl, tried: HashSet::new(), furthest: 0, stuck: String::new() };
        let answered = all.iter().filter(|op| op.answered.is_some()).count();
        let found = search.goes_on(&mut vec![false; all.len()], 0, answered, Lease::default());
        if found { Ok(()) } else { Err(search.stuck) }
    });
    search.expect("a thread").join().expect("it ends")
}

struct Search<'a> {
    all: &'a [Op],
    ttl: Duration,
    tried: HashSet<(usize, Vec<u64>, Lease)>,
    furthest: usize,
    stuck: String,
}

impl Search<'_> {
    /// `first` is the first that is not done yet; `left` are answered ones that are not done yet.
    fn goes_on(&mut self, done: &mut Vec<bool>, first: usize, left: usize, lease: Lease) -> bool {
        if left == 0 {
            return true;
        }
        let first = (first..done.len()).find(|n| !done[*n]).unwrap_or(done.len());
        // The state and what is done past the first that is not.
        let beyond: Vec<u64> = (first..done.len()).filter(|n| done[*n]).map(|n| n as u64).collect();
        if self.tried.len() >= MOST_TRIED || !self.tried.insert((first, beyond, lease)) {
            return false;
        }
        // Whatever was answered before something else was asked comes before it.
        let open = || (first..done.len()).filter(|n| !done[*n]);
        let ends = |n: usize| self.all[n].answered.map_or(Duration::MAX, |a| a.1);
        let earliest = open().map(ends).min().unwrap_or(Duration::MAX);
        let mut may: Vec<usize> = open().take_while(|n| self.all[*n].from <= earliest).collect();
        // Most of what nobody heard of was never done.
        may.sort_by_key(|n| self.all[*n].answered.is_none());
        if self.all.len() - left >= self.furthest {
            self.furthest = self.all.len() - left;
            let some: Vec<&Op> = may.iter().take(6).map(|n| &self.all[*n]).collect();
            self.stuck = format!(
                "after {} of {}: {lease:?}, and next one of {some:?}",
                done.iter().filter(|d| **d).count(),
                done.len()
            );
        }
        for n in may {
            let op = self.all[n];
            let overtaken = |m: usize| done[m] && self.all[m].holder == op.holder && self.all[m].seq > op.seq;
            if (0..done.len()).any(overtaken) {
                continue;
            }
            let answered = op.answered.map(|a| a.0);
            for next in lease.does(&op, answered, self.ttl) {
                done[n] = true;
                if self.goes_on(done, first, left - usize::from(op.answered.is_some()), next) {
                    return true;
                }
                done[n] = false;
            }
        }
        false
    }
}

/// What processes wrote down: of each request its first asking and its first answer.
#[derive(Debug, Default)]
pub struct Book {
    ops: BTreeMap<(u64, u64), Op>,
}

impl Book {
    /// A request leaves; later copies of it count for nothing.
    pub fn asks(&mut self, holder: u64, seq: u64, asked: Asked, at: Duration) {
        self.ops.entry((holder, seq)).or_insert(Op { holder, seq, asked, from: at, answered: None });
    }

    /// An answer comes; a second one must say the same.
    pub fn hears(&mut self, holder: u64, seq: u64, answered: Answered, at: Duration) -> Result<(), String> {
        let op = self
            .ops
            .get_mut(&(holder, seq))
            .ok_or(format!("{holder} {seq} is answered and was not asked"))?;
        match op.answered {
            Some((before, _)) if before != answered => {
                Err(format!("{holder} {seq} is {before:?} and then {answered:?}"))
            }
            Some(_) => Ok(()),
            None => {
                op.answered = Some((answered, at));
                Ok(())
            }
        }
    }

    pub fn history(&self) -> Vec<Op> {
        self.ops.values().copied().collect()
    }
}

/// The history of a task that processes have written down.
pub fn read(path: &Path, task: &str) -> Result<Vec<Op>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut book = Book::default();
    for line in text.lines() {
        let line: HistoryRecord = serde_json::from_str(line).map_err(|e| format!("{line}: {e}"))?;
        let at = Duration::from_nanos(line.at_ns);
        match line.event {
            HistoryEvent::Request(request) => {
                let (name, asked) = match &request.op {
                    Wanted::Acquire { name, .. } => (name, Asked::Acquire),
                    Wanted::Renew { name, token } => (name, Asked::Renew(token.0)),
                    Wanted::Release { name, token } => (name, Asked::Release(token.0)),
                    other => return Err(format!("{other:?} is not of a task")),
                };
                if name.to_string() == task {
                    book.asks(request.holder.0, request.seq, asked, at);
                }
            }
            HistoryEvent::Response { holder, seq, answer } => {
                let answered = match answer {
                    Answer::Granted(token, _) => Answered::Granted(token.0),
                    Answer::Renewed(..) => Answered::Renewed,
                    Answer::Released => Answered::Released,
                    Answer::Rejected(Rejection::NoFreeSlot) => Answered::Taken,
                    Answer::Rejected(Rejection::NotHeld) => Answered::NotHeld,
                    // A later one was done before this: whether this was, too, nobody heard.
                    Answer::Rejected(Rejection::Superseded) => continue,
                    other => return Err(format!("{other:?} of a task")),
                };
                book.hears(holder.0, seq, answered, at)?;
            }
        }
    }
    Ok(book.history())
}

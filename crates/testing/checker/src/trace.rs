//! What was seen, by whom and when. All times are microseconds of one clock.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// How a player's call ended, as the player saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// A response with this status came.
    Status(u16),
    /// The connection was refused: nobody took the request.
    NotTaken,
    /// The connection closed or broke without a response.
    Broken,
    /// No response in the player's time.
    TimedOut,
    /// The player hung up by itself.
    HungUp,
}

/// What a player speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Speaks {
    /// WHEP or WHIP over HTTP.
    #[default]
    Whep,
    /// SIP.
    Sip,
}

/// One thing seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// Somebody acted at something that a lease guards.
    Acted {
        /// By which token.
        token: u64,
        /// Who.
        holder: String,
        /// It was done; otherwise a higher token had been seen, and nothing happened.
        done: bool,
    },
    /// A holder's process was stopped, with all that it runs.
    Stopped {
        /// Whose.
        holder: String,
    },
    /// It was let go on.
    WentOn {
        /// Whose.
        holder: String,
    },
    /// From here on nobody is to act any more.
    ActsEnd,
    /// A player's offer went to a front. An offer is named by its ICE user fragment.
    Asked {
        /// The offer.
        offer: String,
        /// The front.
        front: u32,
        /// The title.
        title: String,
        /// How long the player waits.
        patience_us: u64,
        /// What it speaks.
        #[serde(default)]
        speaks: Speaks,
    },
    /// Its call ended.
    Ended {
        /// The offer.
        offer: String,
        /// How.
        ending: Ending,
        /// Responses that came on the connection after the first.
        extra: u32,
    },
    /// A player ended its session, or left without a word.
    Left {
        /// The offer.
        offer: String,
    },
    /// An offer reached a box.
    Offered {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
        /// The front that sent it.
        front: u32,
        /// The title.
        title: String,
        /// The rate that the offer is limited to, kB a second.
        rate_kb: f64,
    },
    /// The box answered it.
    Answered {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
        /// The status; 0: it closed the connection without an answer.
        status: u16,
    },
    /// The front closed its side before an answer.
    Dropped {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
    },
    /// A session began at a box.
    Began {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
    },
    /// A session's rate was set at a box.
    Rate {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
        /// Its rate, kB a second.
        rate_kb: f64,
    },
    /// A session ended at a box.
    Freed {
        /// The box.
        server: u32,
        /// The offer.
        offer: String,
        /// By itself, as no player kept it alive.
        expired: bool,
    },
    /// A box's process started.
    Started {
        /// The box.
        server: u32,
        /// It was taken to be warm.
        warm: bool,
    },
    /// A box's process ended.
    Died {
        /// The box.
        server: u32,
    },
    /// A cold box was sent more than it bears, and fell over.
    Toppled {
        /// The box.
        server: u32,
    },
    /// The list service told a front the state of a box.
    Listed {
        /// The front.
        front: u32,
        /// The box.
        server: u32,
        /// It takes sessions.
        ready: bool,
    },
    /// A front's process started.
    FrontUp {
        /// The front.
        front: u32,
    },
    /// A front's process was killed.
    FrontKilled {
        /// The front.
        front: u32,
    },
}

/// One thing seen, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// When.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// Whether the front has closed its side of a set-up's connection, as the socket tells it.
type Closed = Box<dyn Fn() -> bool + Send>;

#[derive(Default)]
struct Book {
    seen: Vec<Seen>,
    /// Set-ups that are out, by offer: the box, and what its socket tells.
    out: BTreeMap<String, Vec<(u32, Closed)>>,
}

/// Collects what is seen by all stand-ins of a process.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    book: Arc<Mutex<Book>>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder").field("start", &self.start).finish_non_exhaustive()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { start: Instant::now(), book: Arc::default() }
    }
}

impl Recorder {
    /// Now, in the trace's time.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes something seen now.
    pub fn note(&self, what: What) {
        let mut book = self.book();
        if let What::Answered { server, offer, .. } | What::Dropped { server, offer } = &what
            && let Some(out) = book.out.get_mut(offer)
        {
            out.retain(|(at, _)| at != server);
            if out.is_empty() {
                book.out.remove(offer);
            }
        }
        book.seen.push(Seen { at: self.now(), what });
    }

    /// Notes that a set-up has reached a box. Whether the front had given up another of the same offer before is what that
    /// one's socket tells at this moment, not when its thread comes to look: on a machine that is short of cores that may
    /// be much later. One whose own connection is closed already was given up before anybody read it, and is over at once.
    pub fn offered(&self, what: What, closed: impl Fn() -> bool + Send + 'static) {
        let What::Offered { server, offer, .. } = &what else { return self.note(what) };
        let (server, offer) = (*server, offer.clone());
        let mut book = self.book();
        let at = self.now();
        let mut out = book.out.remove(&offer).unwrap_or_default();
        out.retain(|(server, closed)| {
            let over = closed();
            if over {
                book.seen.push(Seen { at, what: What::Dropped { server: *server, offer: offer.clone() } });
            }
            !over
        });
        book.seen.push(Seen { at, what });
        if closed() {
            book.seen.push(Seen { at, what: What::Dropped { server, offer: offer.clone() } });
        } else {
            out.push((server, Box::new(closed)));
        }
        if !out.is_empty() {
            book.out.insert(offer, out);
        }
    }

    /// Notes something that was seen at an earlier time.
    pub fn note_at(&self, at: u64, what: What) {
        self.book().seen.push(Seen { at, what });
    }

    /// All that was seen so far, in order of time.
    pub fn trace(&self) -> Vec<Seen> {
        self.book().seen.clone()
    }
}

//! Events that players, media servers and the endpoint list service observed, and the recorder that collects them.
//!
//! All times are microseconds since the recorder was created.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Outcome of a player's call as the player observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The player received a response with this status.
    Status(u16),
    /// The connection was refused, so no front took the request.
    NotTaken,
    /// The connection was closed or reset without a response.
    Broken,
    /// No response arrived before the player's timeout.
    TimedOut,
    /// The player ended the call itself.
    HungUp,
}

/// Signalling protocol of a player.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Speaks {
    /// WHEP or WHIP over HTTP.
    #[default]
    Whep,
    /// SIP.
    Sip,
}

/// Observed event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A process operated on the resource that a lease guards.
    Acted {
        /// Fencing token that the process presented.
        token: u64,
        /// Name of the process.
        holder: String,
        /// Whether the operation was carried out. It is refused, without effect, once the resource has seen a higher token.
        done: bool,
    },
    /// A lease holder's process was suspended together with its children.
    Stopped {
        /// Name of the process.
        holder: String,
    },
    /// A suspended process was resumed.
    WentOn {
        /// Name of the process.
        holder: String,
    },
    /// The period in which processes are expected to operate on the resource ended.
    ActsEnd,
    /// A player sent its offer to a front. Offers are identified by their ICE user fragment.
    Asked {
        /// ICE user fragment of the offer.
        offer: String,
        /// Number of the front.
        front: u32,
        /// Title that the offer asks for.
        title: String,
        /// Player's timeout in microseconds.
        patience_us: u64,
        /// Signalling protocol of the player.
        #[serde(default)]
        speaks: Speaks,
    },
    /// A player's call ended.
    Ended {
        /// ICE user fragment of the offer.
        offer: String,
        /// Outcome of the call.
        ending: Ending,
        /// Number of responses that followed the first on the connection.
        extra: u32,
    },
    /// A player ended its session or left without ending it.
    Left {
        /// ICE user fragment of the offer.
        offer: String,
    },
    /// A media server received an offer.
    Offered {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
        /// Number of the front that sent the offer.
        front: u32,
        /// Title that the offer asks for.
        title: String,
        /// Rate that the offer is limited to, in kB/s.
        rate_kb: f64,
    },
    /// A media server answered an offer.
    Answered {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
        /// Status of the answer, or 0 if the media server closed the connection without one.
        status: u16,
    },
    /// The front closed its side of the connection before the media server answered.
    Dropped {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
    },
    /// A session began at a media server.
    Began {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
    },
    /// The rate of a session was set at a media server.
    Rate {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
        /// Rate of the session in kB/s.
        rate_kb: f64,
    },
    /// A session ended at a media server.
    Freed {
        /// Number of the media server.
        server: u32,
        /// ICE user fragment of the offer.
        offer: String,
        /// Whether the session expired because no player kept it alive.
        expired: bool,
    },
    /// The process of a media server started.
    Started {
        /// Number of the media server.
        server: u32,
        /// Whether the media server takes its full load from the start, without a warm-up.
        warm: bool,
    },
    /// The process of a media server ended.
    Died {
        /// Number of the media server.
        server: u32,
    },
    /// A media server failed because it received too many set-ups during its warm-up.
    Toppled {
        /// Number of the media server.
        server: u32,
    },
    /// The endpoint list service sent the state of a media server to a front.
    Listed {
        /// Number of the front.
        front: u32,
        /// Number of the media server.
        server: u32,
        /// Whether the media server takes new sessions.
        ready: bool,
    },
    /// The process of a front started.
    FrontUp {
        /// Number of the front.
        front: u32,
    },
    /// The process of a front was killed.
    FrontKilled {
        /// Number of the front.
        front: u32,
    },
}

/// Observed event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Time of the event, in microseconds since the recorder was created.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub what: What,
}

/// Reads from the socket whether the front has closed its side of a set-up's connection.
type ClosedProbe = Box<dyn Fn() -> bool + Send>;

#[derive(Default)]
struct RecorderState {
    events: Vec<Seen>,
    /// Set-ups without an outcome so far, by offer.
    outstanding: BTreeMap<String, Vec<OutstandingSetUp>>,
}

/// Set-up that a media server has received and neither answered nor seen dropped.
struct OutstandingSetUp {
    server: u32,
    is_closed: ClosedProbe,
}

/// Collects the events that all fakes of a process observe.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    state: Arc<Mutex<RecorderState>>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder").field("start", &self.start).finish_non_exhaustive()
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { start: Instant::now(), state: Arc::default() }
    }
}

impl Recorder {
    /// Returns the microseconds since the recorder was created.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn state(&self) -> std::sync::MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the present time.
    pub fn note(&self, what: What) {
        let mut state = self.state();
        if let What::Answered { server, offer, .. } | What::Dropped { server, offer } = &what
            && let Some(set_ups) = state.outstanding.get_mut(offer)
        {
            set_ups.retain(|set_up| set_up.server != *server);
            if set_ups.is_empty() {
                state.outstanding.remove(offer);
            }
        }
        state.events.push(Seen { at: self.now(), what });
    }

    /// Records that a set-up has reached a media server, and that earlier set-ups of the same offer were dropped if the
    /// front has closed their connections.
    ///
    /// The sockets of the earlier set-ups are read here, because on a machine that is short of cores the threads that
    /// serve them may notice the close much later. A set-up whose own connection is closed already was abandoned before
    /// the media server read it, so it is recorded as dropped at once.
    pub fn offered(&self, what: What, closed: impl Fn() -> bool + Send + 'static) {
        let What::Offered { server, offer, .. } = &what else { return self.note(what) };
        let (server, offer) = (*server, offer.clone());
        let dropped = |server| What::Dropped { server, offer: offer.clone() };
        let mut state = self.state();
        let at = self.now();
        let mut set_ups = state.outstanding.remove(&offer).unwrap_or_default();
        set_ups.retain(|set_up| {
            let is_closed = (set_up.is_closed)();
            if is_closed {
                state.events.push(Seen { at, what: dropped(set_up.server) });
            }
            !is_closed
        });
        state.events.push(Seen { at, what });
        if closed() {
            state.events.push(Seen { at, what: dropped(server) });
        } else {
            set_ups.push(OutstandingSetUp { server, is_closed: Box::new(closed) });
        }
        if !set_ups.is_empty() {
            state.outstanding.insert(offer, set_ups);
        }
    }

    /// Records an event with an earlier time.
    pub fn note_at(&self, at: u64, what: What) {
        self.state().events.push(Seen { at, what });
    }

    /// Returns a copy of all events so far in the order in which they were recorded.
    pub fn trace(&self) -> Vec<Seen> {
        self.state().events.clone()
    }
}

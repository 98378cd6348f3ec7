//! The client of one lease: it acquires and renews the lease and issues permits.

mod io;
mod permit;
mod response;
mod retry;
mod spec;
mod state;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::state::{EndingGrant, HeldGrant, State};
use crate::drift_bound::DriftBound;
use crate::fault_injection::Fault;
use crate::message::{Handoff, HolderId, Op, Request, Token};
use crate::name::Name;

pub use self::io::{HandoffOffer, HolderInput, HolderOutput};
pub use self::permit::Permit;
pub use self::spec::{LeaseSpec, LeaseSpecError};

/// The client of one lease, as a state machine without I/O.
#[derive(Debug, Clone)]
pub struct Holder {
    id: HolderId,
    spec: LeaseSpec,
    instance: Option<Name>,
    drift: DriftBound,
    state: State,
    handed_off: bool,
    last_seq: u64,
    rng: ChaCha8Rng,
    now: Duration,
    fault: Option<Fault>,
}

/// All that decides its next outputs, except the random numbers.
impl std::hash::Hash for Holder {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.id, &self.state, self.last_seq, self.now).hash(hasher);
    }
}

impl Holder {
    /// An idle holder. `id` must be drawn at random for each run of the process.
    pub fn new(id: HolderId, spec: LeaseSpec, drift: DriftBound, seed: u64) -> Holder {
        Holder {
            id,
            spec,
            instance: None,
            drift,
            state: State::Idle,
            handed_off: false,
            last_seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            now: Duration::ZERO,
            fault: None,
        }
    }

    /// Gives the holder an instance name, which stays the same over restarts of the process: it takes over a slot that was
    /// handed off to the instance, and may hand off its own. One process at a time is to use a name; if two do, they hold two
    /// slots.
    pub fn with_instance(mut self, instance: Name) -> Holder {
        self.instance = Some(instance);
        self
    }

    /// Injects a fault.
    #[cfg(feature = "fault_injection")]
    pub fn inject(&mut self, fault: Fault) {
        self.fault = Some(fault);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        cfg!(feature = "fault_injection") && self.fault == Some(fault)
    }

    /// The part of the time to live in which the lease may be used, counted from the creation of the request.
    fn usable_ttl(&self) -> Duration {
        let ttl = self.spec.ttl();
        if self.has_fault(Fault::DriftIgnored) { ttl } else { self.drift.shorter(ttl) }
    }

    /// Its id.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// A permit, if the lease is held at `now`.
    pub fn permit(&self, now: Duration) -> Option<Permit> {
        match self.state {
            State::Held(held) if now < held.expires_at => Some(Permit {
                token: held.token,
                position: held.position,
                succession: held.instance_grant.succession,
                expires_at: held.expires_at,
            }),
            _ => None,
        }
    }

    /// When it needs a [`HolderInput::Tick`].
    pub fn next_due(&self) -> Option<Duration> {
        self.state.next_due()
    }

    /// Whether nothing is held and no request is pending.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Whether its slot is reserved for the next holder of the instance.
    pub fn has_handed_off(&self) -> bool {
        self.handed_off
    }

    /// Handles an input. `now` is of the clock that permits are checked against, which never goes back.
    pub fn handle(&mut self, now: Duration, input: HolderInput) -> Vec<HolderOutput> {
        self.now = self.now.max(now);
        let mut outputs = Vec::new();
        // Comes before the input: a process that was paused beyond its time has lost the lease, whatever messages wait for it.
        self.expire(&mut outputs);
        match input {
            HolderInput::Tick => self.on_tick(&mut outputs),
            HolderInput::Acquire if self.state == State::Idle => self.acquire(&mut outputs),
            HolderInput::Acquire => {}
            HolderInput::Release => self.end(None, &mut outputs),
            HolderInput::HandOff(offer) => self.end(Some(offer), &mut outputs),
            HolderInput::Response(response) => self.on_response(&response, &mut outputs),
        }
        outputs
    }

    /// Ends a state whose time has passed.
    fn expire(&mut self, outputs: &mut Vec<HolderOutput>) {
        match self.state {
            State::Held(held) if self.now >= held.expires_at => {
                outputs.push(HolderOutput::Lost(held.token));
                self.acquire(outputs);
            }
            State::Ending(ending) if self.now >= ending.until => self.state = State::Idle,
            _ => {}
        }
    }

    fn send(&self, seq: u64, op: Op) -> HolderOutput {
        HolderOutput::Send(Request { holder: self.id, seq, op })
    }

    fn acquire(&mut self, outputs: &mut Vec<HolderOutput>) {
        let request = self.new_request();
        self.state = State::Acquiring(request);
        outputs.push(self.send(request.seq, self.spec.acquire(self.instance.as_ref())));
    }

    /// The operation that ends a grant.
    fn ending_op(&self, token: Token, handoff: Option<Handoff>) -> Op {
        let name = self.spec.name.clone();
        match handoff {
            Some(handoff) => Op::HandOff { name, token, handoff },
            None => Op::Release { name, token },
        }
    }

    /// Releases what is held, or hands it off.
    fn end(&mut self, offer: Option<HandoffOffer>, outputs: &mut Vec<HolderOutput>) {
        match self.state {
            State::Held(held) => self.end_held(held, offer, outputs),
            State::Ending(_) => {}
            // A grant that is not known yet expires by itself.
            State::Idle | State::Acquiring(_) | State::Waiting(_) => self.state = State::Idle,
        }
    }

    fn end_held(&mut self, held: HeldGrant, offer: Option<HandoffOffer>, outputs: &mut Vec<HolderOutput>) {
        let request = self.new_request();
        let offer = offer.filter(|_| self.instance.is_some());
        let handoff = offer.map(|HandoffOffer { slot_count, remaining_ms, reserve_ms }| Handoff {
            slot_count,
            remaining_ms,
            reserve_ms,
            newest_token: held.instance_grant.newest_token,
        });
        // A handoff is valid for as long as a table may have the grant, which is longer than the grant may be used.
        let until = handoff.map_or(held.expires_at, |_| held.expires_at + self.spec.ttl());
        self.state = State::Ending(EndingGrant { token: held.token, until, request, handoff });
        outputs.push(self.send(request.seq, self.ending_op(held.token, handoff)));
    }

    fn on_tick(&mut self, outputs: &mut Vec<HolderOutput>) {
        let now = self.now;
        match self.state.clone() {
            State::Acquiring(request) if now >= request.retry_at => {
                let next = self.retry(request);
                self.state = State::Acquiring(next);
                outputs.push(self.send(next.seq, self.spec.acquire(self.instance.as_ref())));
            }
            State::Waiting(until) if now >= until => self.acquire(outputs),
            State::Held(held) => self.renew(held, outputs),
            State::Ending(ending) if now >= ending.request.retry_at => {
                let request = self.retry_same(ending.request);
                self.state = State::Ending(EndingGrant { request, ..ending });
                outputs.push(self.send(request.seq, self.ending_op(ending.token, ending.handoff)));
            }
            _ => {}
        }
    }

    /// Sends a renewal, if one is due.
    fn renew(&mut self, held: HeldGrant, outputs: &mut Vec<HolderOutput>) {
        let next = match held.renewal {
            Some(renewal) if self.now >= renewal.retry_at => self.retry(renewal),
            None if self.now >= held.renew_at => self.new_request(),
            _ => return,
        };
        self.state = State::Held(HeldGrant { renewal: Some(next), ..held });
        let op = Op::Renew { name: self.spec.name.clone(), token: held.token };
        outputs.push(self.send(next.seq, op));
    }
}

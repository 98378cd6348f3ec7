//! Client of one lease, which acquires and renews the lease and issues permits.

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

/// Client of one lease, as a state machine without I/O.
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

/// Hashes everything that determines the next outputs, except for the random numbers.
impl std::hash::Hash for Holder {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        (self.id, &self.state, self.last_seq, self.now).hash(hasher);
    }
}

impl Holder {
    /// Creates an idle holder. `id` must be drawn at random for each run of the process.
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

    /// Sets the instance name, which stays the same across restarts of the process.
    ///
    /// A holder with an instance name takes over a slot that was handed off to the instance, and may hand off its own. Only one
    /// process at a time should use a name. If two processes use the same name, they hold two slots.
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

    /// Returns the part of the time to live in which the lease may be used, measured from the creation of the request.
    fn usable_ttl(&self) -> Duration {
        let ttl = self.spec.ttl();
        if self.has_fault(Fault::DriftIgnored) { ttl } else { self.drift.shorter(ttl) }
    }

    /// Returns the id of the holder.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Returns a permit. Returns `None` if the lease is not held at `now`.
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

    /// Returns when the next [`HolderInput::Tick`] is due. Returns `None` if the holder is idle.
    pub fn next_due(&self) -> Option<Duration> {
        self.state.next_due()
    }

    /// Returns whether the lease is not held and no request for it is pending.
    pub fn is_idle(&self) -> bool {
        self.state == State::Idle
    }

    /// Returns whether the holder has handed its slot off to the next holder of the instance.
    pub fn has_handed_off(&self) -> bool {
        self.handed_off
    }

    /// Handles an input. `now` is read from the monotonic clock that permits are checked against.
    pub fn handle(&mut self, now: Duration, input: HolderInput) -> Vec<HolderOutput> {
        self.now = self.now.max(now);
        let mut outputs = Vec::new();
        // Expiry comes before the input, because a process that was paused beyond the time to live has lost the lease even if a
        // renewal's answer is waiting.
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

    /// Leaves a state whose time has passed.
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

    /// Returns the operation that ends a grant.
    fn ending_op(&self, token: Token, handoff: Option<Handoff>) -> Op {
        let name = self.spec.name.clone();
        match handoff {
            Some(handoff) => Op::HandOff { name, token, handoff },
            None => Op::Release { name, token },
        }
    }

    /// Releases the grant, or hands it off if there is an offer.
    fn end(&mut self, offer: Option<HandoffOffer>, outputs: &mut Vec<HolderOutput>) {
        match self.state {
            State::Held(held) => self.end_grant(held, offer, outputs),
            State::Ending(_) => {}
            // A grant whose answer has not arrived expires without a release.
            State::Idle | State::Acquiring(_) | State::Waiting(_) => self.state = State::Idle,
        }
    }

    fn end_grant(&mut self, held: HeldGrant, offer: Option<HandoffOffer>, outputs: &mut Vec<HolderOutput>) {
        let request = self.new_request();
        let offer = offer.filter(|_| self.instance.is_some());
        let handoff = offer.map(|HandoffOffer { slot_count, remaining_ms, reserve_ms }| Handoff {
            slot_count,
            remaining_ms,
            reserve_ms,
            newest_token: held.instance_grant.newest_token,
        });
        // A handoff can succeed as long as the table may contain the grant, which is longer than the grant may be used.
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

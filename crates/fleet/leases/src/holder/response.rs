//! Handling of replicas' responses.

use std::time::Duration;

use super::state::{HeldGrant, PendingRequest, State};
use super::{Holder, HolderOutput};
use crate::fault_injection::Fault;
use crate::message::{Answer, GrantPosition, InstanceGrant, Rejection, Response, Token};

/// Maximum delay before the next attempt to acquire a lease that had no free slot.
const MAX_ACQUIRE_DELAY: Duration = Duration::from_secs(1);

/// Description of a grant in an answer.
struct GrantReport {
    token: Token,
    position: GrantPosition,
    instance_grant: InstanceGrant,
}

/// A renewal is due when one part in this many of the time to live has passed.
const RENEWAL_DIVISOR: u32 = 3;

impl GrantReport {
    fn of_acquisition(answer: Answer) -> Option<GrantReport> {
        match answer {
            Answer::Granted(token, position) => {
                Some(GrantReport { token, position, instance_grant: InstanceGrant::default() })
            }
            Answer::HeldByInstance(token, position, instance_grant) => {
                Some(GrantReport { token, position, instance_grant })
            }
            _ => None,
        }
    }

    fn of_renewal(answer: Answer) -> Option<GrantReport> {
        match answer {
            Answer::Renewed(token, position) => {
                Some(GrantReport { token, position, instance_grant: InstanceGrant::default() })
            }
            Answer::HeldByInstance(token, position, instance_grant) => {
                Some(GrantReport { token, position, instance_grant })
            }
            _ => None,
        }
    }
}

impl Holder {
    pub(super) fn on_response(&mut self, response: &Response, outputs: &mut Vec<HolderOutput>) {
        match self.state.clone() {
            State::Acquiring(request) => {
                if let Some(answer) = response.answer_to(self.id, request.seq) {
                    self.on_acquisition(request, answer, outputs);
                }
            }
            State::Held(held) => {
                if let Some(request) = held.renewal
                    && let Some(answer) = response.answer_to(self.id, request.seq)
                {
                    self.on_renewal(held, request, answer, outputs);
                }
            }
            State::Ending(ending) => {
                if let Some(answer) = response.answer_to(self.id, ending.request.seq) {
                    self.handed_off = answer == Answer::HandedOff;
                    self.state = State::Idle;
                }
            }
            State::Idle | State::Waiting(_) => {}
        }
    }

    fn on_acquisition(&mut self, request: PendingRequest, answer: Answer, outputs: &mut Vec<HolderOutput>) {
        if let Some(report) = GrantReport::of_acquisition(answer) {
            let held = self.held_grant(request, report);
            if self.now >= held.expires_at {
                // The answer arrived after the grant had expired.
                return self.acquire(outputs);
            }
            outputs.push(HolderOutput::Acquired(held.token));
            self.state = State::Held(held);
            return;
        }
        match answer {
            Answer::Rejected(Rejection::NoFreeSlot | Rejection::Superseded) => {
                let delay = self.jittered(self.spec.ttl().min(MAX_ACQUIRE_DELAY) / 2);
                self.state = State::Waiting(self.now + delay);
            }
            Answer::Rejected(rejection) => {
                self.state = State::Idle;
                outputs.push(HolderOutput::Rejected(rejection));
            }
            _ => {}
        }
    }

    fn on_renewal(
        &mut self,
        held: HeldGrant,
        request: PendingRequest,
        answer: Answer,
        outputs: &mut Vec<HolderOutput>,
    ) {
        if let Some(report) = GrantReport::of_renewal(answer).filter(|report| report.token == held.token) {
            let mut renewed = self.held_grant(request, report);
            // Answers to renewals do not repeat the succession.
            renewed.instance_grant.succession = held.instance_grant.succession;
            self.state = State::Held(renewed);
            self.expire(outputs);
        } else if answer == Answer::Rejected(Rejection::NotHeld) {
            outputs.push(HolderOutput::Lost(held.token));
            self.acquire(outputs);
        }
    }

    /// Creates the state of a grant. Its times are measured from the creation of the request.
    fn held_grant(&self, request: PendingRequest, report: GrantReport) -> HeldGrant {
        let from_arrival = self.has_fault(Fault::TtlFromArrival);
        let measured_from = if from_arrival { self.now } else { request.created_at };
        let GrantReport { token, position, instance_grant } = report;
        HeldGrant {
            token,
            position,
            instance_grant,
            expires_at: measured_from + self.usable_ttl(),
            renew_at: measured_from + self.spec.ttl() / RENEWAL_DIVISOR,
            renewal: None,
        }
    }
}

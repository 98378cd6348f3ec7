//! Handling of the ledger's responses.

use std::time::Duration;

use super::slot::Slot;
use super::state::{PendingRequest, State};
use super::{Front, FrontOutput, MIN_REPORT_INTERVAL};
use crate::fault_injection::Fault;
use crate::message::{Answer, Rejection, Response, ShareGrant};

impl Front {
    pub(super) fn on_response(&mut self, heard: Response, out: &mut Vec<FrontOutput>) {
        let Response::Answer { front, seq, answer } = heard else { return };
        let any = self.has_fault(Fault::StaleAnswerAccepted);
        let mine = |of: &PendingRequest| front == self.id && (seq == of.seq || any);
        let from = |of: &PendingRequest| {
            if self.has_fault(Fault::TtlFromArrival) { self.now } else { of.created_at }
        };
        match (self.state.clone(), answer) {
            (State::Opening(of), Answer::Opened(account, told)) if mine(&of) => {
                let until = from(&of) + self.usable_ttl();
                if self.now >= until {
                    // The answer came too late to be of use.
                    return self.reopen(out);
                }
                self.state = State::Open { account, until, reported_at: self.now, out: None };
                (self.urgent, self.gap) = (true, Duration::ZERO);
                for slot in self.slots.values_mut() {
                    slot.bucket.empty(self.now);
                }
                self.apply_grants(told);
                out.push(FrontOutput::Opened(account));
            }
            (State::Open { account, reported_at, out: Some(of), .. }, answer) if mine(&of) => {
                let until = from(&of) + self.usable_ttl();
                match answer {
                    Answer::Settled(told, revision) => {
                        self.apply_grants(told);
                        if self.revision != Some(revision) {
                            (self.revision, self.urgent, self.gap) = (None, true, Duration::ZERO);
                        }
                    }
                    Answer::Limits(all, revision) => self.limits(all, revision),
                    // It requests all limits again, its own included.
                    Answer::Declared => (self.revision, self.urgent, self.gap) = (None, true, Duration::ZERO),
                    Answer::Rejected(Rejection::NoAccount) => {
                        out.push(FrontOutput::Lost(account));
                        return self.reopen(out);
                    }
                    _ => return,
                }
                self.state = State::Open { account, until, reported_at, out: None };
                self.expire(out);
            }
            (State::Closing { out: of, .. }, Answer::Closed | Answer::Rejected(_)) if mine(&of) => {
                self.state = State::Closed;
                out.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    fn apply_grants(&mut self, told: Vec<ShareGrant>) {
        let now = self.now;
        let (mut grew, mut lacks) = (false, false);
        for line in told {
            let Some(of) = self.definitions.get(&line.claim.limit) else {
                // A limit unknown to this front: it will report that it holds nothing of it.
                self.slots.entry(line.claim).or_insert_with(|| Slot::new(now)).share = line.share;
                continue;
            };
            let slot = self.slots.entry(line.claim).or_insert_with(|| Slot::new(now));
            grew |= line.share > slot.share;
            (slot.share, slot.recall, slot.closed) = (line.share, line.recall, line.closed);
            if of.counts.is_rate() {
                slot.bucket.set(now, slot.share, of.burst_milli);
            }
            lacks |= slot.is_lacking() || line.recall > 0 || line.closed && slot.share > slot.used;
        }
        // A front that lacks units reports again, with increasing intervals while none are granted.
        if lacks {
            self.urgent = true;
            self.gap = if grew {
                MIN_REPORT_INTERVAL
            } else {
                (self.gap.max(MIN_REPORT_INTERVAL / 2) * 2).min(self.report_interval())
            };
        } else {
            self.gap = MIN_REPORT_INTERVAL;
        }
    }
}

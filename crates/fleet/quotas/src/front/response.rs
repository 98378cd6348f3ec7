//! Handling of the ledger's responses.

use std::time::Duration;

use super::local_share::LocalShare;
use super::state::{PendingRequest, State};
use super::{Front, FrontOutput, MIN_REPORT_INTERVAL};
use crate::fault_injection::Fault;
use crate::message::{Answer, Rejection, Response, ShareGrant};

impl Front {
    pub(super) fn on_response(&mut self, response: Response, outputs: &mut Vec<FrontOutput>) {
        let Response::Answer { front, seq, answer } = response else { return };
        let accepts_any = self.has_fault(Fault::StaleAnswerAccepted);
        let is_answer_to = |request: &PendingRequest| front == self.id && (seq == request.seq || accepts_any);
        match (self.state.clone(), answer) {
            (State::Opening(request), Answer::Opened(account, grants)) if is_answer_to(&request) => {
                let until = self.usable_until(&request);
                if self.now >= until {
                    // The answer came too late to be of use.
                    return self.reopen(outputs);
                }
                self.state = State::Open { account, until, reported_at: self.now, pending: None };
                self.report_at_once();
                for share in self.shares.values_mut() {
                    share.bucket.clear(self.now);
                }
                self.apply_grants(grants);
                outputs.push(FrontOutput::Opened(account));
            }
            (State::Open { account, reported_at, pending: Some(request), .. }, answer)
                if is_answer_to(&request) =>
            {
                let until = self.usable_until(&request);
                match answer {
                    Answer::Reported(grants, revision) => {
                        self.apply_grants(grants);
                        if self.revision != Some(revision) {
                            self.request_limits();
                        }
                    }
                    Answer::Limits(definitions, revision) => self.set_limits(definitions, revision),
                    // All limits are requested again, including the one that was declared.
                    Answer::Declared => self.request_limits(),
                    Answer::Rejected(Rejection::NoAccount) => {
                        outputs.push(FrontOutput::Lost(account));
                        return self.reopen(outputs);
                    }
                    _ => return,
                }
                self.state = State::Open { account, until, reported_at, pending: None };
                self.expire(outputs);
            }
            (State::Closing { request, .. }, Answer::Closed | Answer::Rejected(_))
                if is_answer_to(&request) =>
            {
                self.state = State::Closed;
                outputs.push(FrontOutput::Closed);
            }
            _ => {}
        }
    }

    /// Returns until when the account may be used after an answer to this request.
    fn usable_until(&self, request: &PendingRequest) -> Duration {
        let start = if self.has_fault(Fault::TtlFromArrival) { self.now } else { request.created_at };
        start + self.usable_ttl()
    }

    fn report_at_once(&mut self) {
        (self.urgent, self.urgent_interval) = (true, Duration::ZERO);
    }

    /// Requests all limits with the next report.
    fn request_limits(&mut self) {
        self.revision = None;
        self.report_at_once();
    }

    fn apply_grants(&mut self, grants: Vec<ShareGrant>) {
        let now = self.now;
        let (mut has_grown, mut is_lacking) = (false, false);
        for grant in grants {
            let share = self.shares.entry(grant.claim.clone()).or_insert_with(|| LocalShare::new(now));
            let Some(limit) = self.definitions.get(&grant.claim.limit) else {
                // The limit is not known here yet. The share is kept so that a later report gives it back.
                share.granted = grant.share;
                continue;
            };
            has_grown |= grant.share > share.granted;
            (share.granted, share.recall, share.closed) = (grant.share, grant.recall, grant.closed);
            if limit.resource.is_rate() {
                share.bucket.set_rate(now, share.granted, limit.burst_ms);
            }
            is_lacking |=
                share.is_lacking() || grant.recall > 0 || grant.closed && share.granted > share.used;
        }
        self.urgent |= is_lacking;
        self.urgent_interval = if is_lacking && !has_grown {
            // Reports are sent at increasing intervals while no units are granted.
            (self.urgent_interval.max(MIN_REPORT_INTERVAL / 2) * 2).min(self.report_interval())
        } else {
            MIN_REPORT_INTERVAL
        };
    }
}

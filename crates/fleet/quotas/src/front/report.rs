//! Reports of a front's shares to the ledger.

use std::time::Duration;

use super::local_share::{LocalShare, has_many_keys};
use super::state::State;
use super::{Front, FrontOutput};
use crate::message::{AccountId, Claim, Key, MAX_REPORTS, Op, ShareReport};

impl Front {
    /// Sends the next request under an account, which also renews it: a request of all limits if they may have changed, a declaration
    /// if one is outstanding, and otherwise a report of the shares that have changed.
    pub(super) fn send_report(
        &mut self,
        account: AccountId,
        until: Duration,
        outputs: &mut Vec<FrontOutput>,
    ) {
        let op = if self.revision.is_none() {
            Op::ListLimits { account }
        } else if let Some(definition) = self.undeclared.pop() {
            Op::DeclareLimit { account, definition }
        } else {
            Op::Report { account, reports: self.reports() }
        };
        let request = self.new_request(op);
        outputs.push(self.send(&request));
        self.urgent = false;
        self.state = State::Open { account, until, reported_at: self.now, pending: Some(request) };
    }

    fn reports(&mut self) -> Vec<ShareReport> {
        let (now, surplus_delay) = (self.now, 2 * self.report_interval());
        let mut reports = Vec::new();
        // Limits with a single claim are reported from the start, so that the first session finds a share.
        for limit in self.definitions.values().filter(|d| d.is_hard() && !has_many_keys(d)) {
            let key = limit.only_key.clone().unwrap_or_default();
            let claim = Claim { limit: limit.name.clone(), key, customer: Key::default() };
            self.shares.entry(claim).or_insert_with(|| LocalShare::new(now));
        }
        for (claim, share) in &mut self.shares {
            let Some(limit) = self.definitions.get(&claim.limit).filter(|d| d.is_hard()) else { continue };
            // The others are reported with the next request.
            if reports.len() >= MAX_REPORTS {
                break;
            }
            if let Some(report) = share.report(now, claim, limit, surplus_delay) {
                if limit.resource.is_rate() {
                    share.bucket.set_rate(now, share.granted, limit.burst_ms);
                }
                reports.push(report);
            }
        }
        self.shares.retain(|_, share| !share.is_removable());
        reports
    }
}

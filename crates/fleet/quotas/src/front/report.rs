//! Reports of a front's shares to the ledger.

use std::time::Duration;

use super::slot::Slot;
use super::state::State;
use super::{Front, FrontOutput, slot};
use crate::message::{AccountId, Claim, Key, MAX_REPORTS, Op, ShareReport};

impl Front {
    /// Sends a report of the shares that have changed, which renews the account.
    pub(super) fn send_report(&mut self, account: AccountId, until: Duration, out: &mut Vec<FrontOutput>) {
        let op = if self.revision.is_none() {
            Op::Limits { account }
        } else if let Some(definition) = self.declares.pop() {
            Op::Declare { account, definition }
        } else {
            Op::Settle { account, lines: self.reports() }
        };
        let new = self.new_request(op);
        out.push(self.send(&new));
        self.urgent = false;
        self.state = State::Open { account, until, reported_at: self.now, out: Some(new) };
    }

    fn reports(&mut self) -> Vec<ShareReport> {
        let (now, patience) = (self.now, 2 * self.report_interval());
        let mut lines = Vec::new();
        // Limits without many keys are held from the start, so that the first session finds a share.
        for of in self.definitions.values().filter(|d| d.is_hard() && !slot::keyed(d)) {
            let key = of.only.clone().unwrap_or_default();
            let claim = Claim { limit: of.name.clone(), key, customer: Key::default() };
            self.slots.entry(claim).or_insert_with(|| Slot::new(now));
        }
        for (claim, slot) in &mut self.slots {
            let Some(of) = self.definitions.get(&claim.limit).filter(|d| d.is_hard()) else { continue };
            // The others are reported with the next request.
            if lines.len() >= MAX_REPORTS {
                break;
            }
            if let Some(line) = slot.say(now, of, patience) {
                if of.counts.is_rate() {
                    slot.bucket.set(now, slot.share, of.burst_milli);
                }
                lines.push(slot::said(claim, line));
            }
        }
        self.slots.retain(|_, slot| !slot.is_gone());
        lines
    }
}

//! Verdicts on boxes from what all fronts have seen.
//!
//! [`Ledger`] counts what this front's own attempts came to, in a window. Its [`Report`] goes to the others. [`Evidence`] is the merge of
//! all fronts' reports, in which order, repeats and loss do no harm. [`judge`] is a pure function of evidence: those who have the same judge
//! the same. [`Verdicts`] keeps what was judged, lets it age, hands out trials to whoever holds their lease, and lets boxes back in steps.
//!
//! `docs/verdicts.md` weighs the options and argues each bound. Nothing here has I/O, a clock or threads.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod evidence;
mod judge;
mod ledger;
mod planted;
mod report;
mod rules;
mod standing;

pub use evidence::{Evidence, FrontLife, Witness};
pub use judge::{Judged, Place, Places, judge, judge_titles, judge_viewers};
pub use ledger::{Ledger, Outcome, Tried};
pub use planted::Fault;
pub use report::{BoxKey, BoxLine, MOST_REPORT, Report, ReportError, Seen, TitleLine, ViewerLine, title_key};
pub use rules::{Rules, RulesError};
pub use standing::{Change, Outlook, Shy, Verdicts};

//! Many front nodes in one process under one simulated clock: the real state machines, a network that only delays, and
//! media servers that count. It shows what is harmless in one front node and harmful in all of them: probes, new
//! connections and set-ups on cold media servers, all at the same instant. The same seed gives the same run.
//!
//! [`Fleet`] moves time on and carries messages; [`media`] has the media servers and their counts; [`settings`] the
//! platform's settings as text.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]
#![forbid(unsafe_code)]

mod fleet;
pub mod media;
pub mod settings;

pub use fleet::{Fleet, Sum};

//! Tests of the dissemination of rows in simulated clusters, and of the packets that a single front accepts.

mod bounds;
mod dissemination;
mod unsolicited;

use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

//! Simulated fleets of members that start, fail, are partitioned and meet again.

mod cluster;
mod failures;
mod invalid_packets;
mod scale;

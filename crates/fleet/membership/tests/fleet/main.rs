//! Tests of simulated fleets whose members start, fail, are partitioned and converge.

mod cluster;
mod failures;
mod invalid_packets;
mod scale;

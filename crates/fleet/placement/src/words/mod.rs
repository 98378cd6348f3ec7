//! What is said: names, shards, requests.

pub mod answers;
pub mod commands;
pub mod names;
pub mod orders;
pub mod request;
pub mod shard;

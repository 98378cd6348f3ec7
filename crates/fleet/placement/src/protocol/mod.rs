//! The types of the placement's messages: ids, shards, requests, commands, answers, and orders to media servers.

pub mod answers;
pub mod commands;
pub mod names;
pub mod orders;
pub mod request;
pub mod shard;

//! Planning: the choice of media servers for copies.

pub mod capacity;
pub mod inventory;
pub mod rebalance;
pub mod selection;
pub mod shortage;

//! Where copies go.

pub mod ground;
pub mod inventory;
pub mod nearest;
pub mod spread;
pub mod whole;

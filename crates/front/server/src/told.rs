//! What passes between the engine and those who ask.

use std::net::SocketAddr;

use beechloft_quotas::{Gate, No};
use beechloft_session::Exchange;
use beechloft_session::api::{Micros, ServerId, SlotAssignment};
use beechloft_session::io::{Answer, AttemptId, Input, Output};

use crate::observe::Observer;

/// An attempt to be made by the thread of its viewer.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// Which.
    pub attempt: AttemptId,
    /// The box.
    pub server: ServerId,
    /// Its address.
    pub address: Option<SocketAddr>,
    /// The rung's rate, kB a second.
    pub rate_kb: f64,
    /// When to drop it.
    pub until: Micros,
    /// For the box to keep with the session, if limits of the fleet count it.
    pub tag: Option<String>,
}

/// What a waiting thread is told.
#[derive(Debug, Clone)]
pub enum Told {
    /// Make an attempt.
    SetUp(SetUp),
    /// The reply; nothing comes after it.
    Answer(Answer),
    /// A limit of the fleet has no room; nothing comes after it.
    Limited(No),
}

/// What a front knows and holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// It has seen a list.
    pub listed: bool,
    /// Boxes on it.
    pub boxes: usize,
    /// Titles on it.
    pub titles: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Sessions still to be ended at boxes.
    pub releasing: usize,
    /// Nobody waits.
    pub idle: bool,
}

/// All that a front's core was told and did, in order.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// What it was told, and when.
    pub inputs: Vec<(Micros, Input)>,
    /// What it had done.
    pub outputs: Vec<Output>,
    /// What passed between it and the module.
    pub exchanged: Vec<Exchange>,
}

/// A front's number among others, now; none: as its settings say. It is asked before each input and must not wait.
pub type Numbers = Box<dyn Fn() -> Option<SlotAssignment> + Send>;

/// What a front is told by its fleet, and tells it.
#[derive(Default)]
pub struct Hooks {
    /// Its number among others; none: as its settings say.
    pub numbers: Option<Numbers>,
    /// Who keeps evidence of boxes, and narrows by it what the module is offered.
    pub observer: Option<Box<dyn Observer>>,
    /// It admits by limits that hold for all fronts.
    pub gate: Option<Gate>,
}

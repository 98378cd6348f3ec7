//! A front node of the simulated cluster.

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_front_node::{Node, ServerIncarnation};

pub(super) struct FrontNode {
    pub node: Node,
    /// Number of restarts.
    pub restarts: u32,
    /// Media server of each incarnation that the front node knows.
    pub servers: BTreeMap<ServerIncarnation, usize>,
    /// Connections, with the time at which each was or will be established.
    pub connections: BTreeMap<ServerIncarnation, Micros>,
}

impl FrontNode {
    pub fn new(node: Node) -> Self {
        FrontNode { node, restarts: 0, servers: BTreeMap::new(), connections: BTreeMap::new() }
    }

    /// Replaces the process by a new one.
    pub fn restart(&mut self, node: Node) {
        *self = FrontNode { restarts: self.restarts + 1, ..FrontNode::new(node) };
    }

    /// Returns the incarnation under which the front node knows a media server. Returns `None` if it knows none.
    pub fn incarnation_of(&self, server: usize) -> Option<ServerIncarnation> {
        self.servers.iter().find(|(_, known)| **known == server).map(|(incarnation, _)| *incarnation)
    }

    /// Returns the incarnation of a media server that the front node is connected to. Returns `None` without a connection.
    pub fn connected_incarnation_of(&self, server: usize) -> Option<ServerIncarnation> {
        self.incarnation_of(server).filter(|incarnation| self.connections.contains_key(incarnation))
    }
}

//! A front node in the cluster.

use std::collections::BTreeMap;

use beechloft::api::Micros;
use beechloft_front_node::{Node, ServerIncarnation};

pub(super) struct FrontNode {
    pub node: Node,
    /// How often it has restarted.
    pub restarts: u32,
    /// The media server of each incarnation.
    pub servers: BTreeMap<ServerIncarnation, usize>,
    /// Its connections, and when each was or will be established.
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

    /// Its incarnation of a media server.
    pub fn incarnation_of(&self, server: usize) -> Option<ServerIncarnation> {
        self.servers.iter().find(|(_, known)| **known == server).map(|(incarnation, _)| *incarnation)
    }

    /// Its incarnation of a media server, if it has a connection there.
    pub fn connected_incarnation_of(&self, server: usize) -> Option<ServerIncarnation> {
        self.incarnation_of(server).filter(|incarnation| self.connections.contains_key(incarnation))
    }
}

//! External events: changes of the endpoint list, and ends and starts of processes.

use beechloft::api::Micros;
use beechloft_front_node::Input;
use beechloft_protocol::bus::{Endpoint, Topology};
use beechloft_protocol::viewer::FromViewer;
use rand::RngExt;

use super::{Cluster, NETWORK_DELAY, VIEWERS, set_up};

impl Cluster {
    /// Publishes the present state of media servers to all front nodes at the same instant.
    pub fn publish_endpoints(&mut self, servers: &[usize]) {
        let endpoints: Vec<Endpoint> =
            servers.iter().map(|server| self.servers[*server].endpoint(&self.settings)).collect();
        for front_node in 0..self.front_nodes.len() {
            let topology = Topology { snapshot: false, endpoints: endpoints.clone() };
            self.schedule_input(Micros(0), front_node, Input::Topology(topology));
        }
    }

    /// Replaces the process of a media server by a new one with the same name and address. The list informs each front
    /// node at a random time within `spread`. Front nodes with a connection notice the end of the old process.
    pub fn restart_server(&mut self, server: usize, spread: Micros) {
        self.kill_server(server);
        let known_since = self.now + NETWORK_DELAY;
        let witnesses = self.front_nodes.iter().enumerate();
        let start_known_since = witnesses
            .filter(|(_, front_node)| front_node.connected_incarnation_of(server).is_some())
            .map(|(number, _)| (number, known_since))
            .collect();
        let restarted = &mut self.servers[server];
        restarted.is_running = true;
        restarted.started_at = Some(self.now);
        restarted.start_known_since = start_known_since;
        let endpoint = restarted.endpoint(&self.settings);
        for front_node in 0..self.front_nodes.len() {
            let delay = Micros(self.rng.random_range(0..spread.0));
            let told_at = self.now + delay;
            self.servers[server].start_known_since.entry(front_node).or_insert(told_at);
            let topology = Topology { snapshot: false, endpoints: vec![endpoint.clone()] };
            self.schedule_input(delay, front_node, Input::Topology(topology));
        }
    }

    /// Ends the process of a media server. Its connections are reset and new ones refused. All front nodes with a connection
    /// notice it at the same instant.
    pub fn kill_server(&mut self, server: usize) {
        self.servers[server].is_running = false;
        let interrupted = std::mem::take(&mut self.servers[server].sessions);
        self.totals.interrupted += interrupted.len();
        for front_node in 0..self.front_nodes.len() {
            if let Some(incarnation) = self.front_nodes[front_node].connected_incarnation_of(server) {
                self.schedule_input(NETWORK_DELAY, front_node, Input::ServerDown(incarnation));
            }
        }
    }

    /// Kills front nodes and restarts them at the same instant. Their sessions continue, and the viewers present them to the
    /// new processes.
    pub fn restart_front_nodes(&mut self, front_nodes: impl Iterator<Item = usize>) {
        for front_node in front_nodes {
            let number = u32::try_from(front_node).expect("fewer than 2^32 front nodes");
            let node = self.new_node(number);
            self.front_nodes[front_node].restart(node);
            self.give_initial_list(front_node);
            self.learn_starts(front_node);
            self.name_playing_sessions(front_node);
        }
    }

    /// Marks all starts of media servers so far as known to a front node, which receives them with the list at its own start.
    fn learn_starts(&mut self, front_node: usize) {
        let now = self.now;
        for server in self.servers.iter_mut().filter(|server| server.started_at.is_some()) {
            let known_since = server.start_known_since.entry(front_node).or_insert(now);
            *known_since = now.min(*known_since);
        }
    }

    fn name_playing_sessions(&mut self, front_node: usize) {
        let mut playing = Vec::new();
        for server in &self.servers {
            let own = server.sessions.iter().filter(|(_, holder)| **holder == front_node);
            playing.extend(own.map(|(id, _)| (*id, server.name())));
        }
        for (id, server_name) in playing {
            let setup = set_up::playing_session(id, server_name, &self.settings);
            let input = Input::ViewerMessage(VIEWERS, FromViewer::SetUp(id, Ok(setup)));
            self.schedule_input(NETWORK_DELAY, front_node, input);
        }
    }
}

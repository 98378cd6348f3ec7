//! Handling of a replica's inputs, which become proposals to the consensus node or reads from it.

use std::time::Duration;

use beechloft_consensus::{Input, PendingOutputs};
use beechloft_topic::TopicCommand;

use super::Replica;
use crate::command::Command;
use crate::components::{
    PendingLeaseRequest, PendingPlacementRequest, PendingQuotaRequest, PendingRequest, PendingTopicRequest,
};
use crate::input::{ClientId, ReplicaInput};

impl Replica {
    /// Handles an input and adds the effects to `out`.
    ///
    /// After the storage has made `out` durable, the caller passes the remaining outputs to [`Replica::process_ready`].
    pub fn handle(&mut self, now: Duration, input: ReplicaInput, out: &mut PendingOutputs) {
        self.now = self.now.max(now);
        match input {
            ReplicaInput::Tick => self.raft.handle(now, Input::Tick, out),
            ReplicaInput::Peer(message) => self.raft.handle(now, Input::Message(message), out),
            ReplicaInput::LeaseRequest(client, request) => self.request_lease(client, request, out),
            ReplicaInput::ListLeases(client) => {
                self.start_read(PendingRequest::Leases(PendingLeaseRequest::List(client)), out);
            }
            ReplicaInput::WatchLeases(client, name) => {
                let pending = PendingRequest::Leases(PendingLeaseRequest::Watch(client));
                if self.state.leases.watch(client, name) {
                    self.start_read(pending, out);
                } else {
                    self.rejected.push(pending);
                }
            }
            ReplicaInput::TopicRequest(client, request) => {
                let pending = PendingTopicRequest::Publish(client, request.publisher, request.id());
                let command = Command::Topics(TopicCommand::Request(request));
                self.propose(&command, PendingRequest::Topics(pending), out);
            }
            ReplicaInput::DeclareTopic(incarnation, topic, config) => {
                let command = Command::Topics(TopicCommand::Declare { topic, incarnation, config });
                self.propose(&command, PendingRequest::Topics(PendingTopicRequest::Internal), out);
            }
            ReplicaInput::QuotaRequest(client, request) => {
                let pending = PendingQuotaRequest::Request(client, request.front, request.seq);
                let command = Command::Quotas(beechloft_quotas::Command::Request(request));
                self.propose(&command, PendingRequest::Quotas(pending), out);
            }
            ReplicaInput::PlacementCommand(client, number, command) => {
                let pending = PendingPlacementRequest::Command(client, number);
                self.propose(&Command::Placement(*command), PendingRequest::Placement(pending), out);
            }
            ReplicaInput::ReadPlacement(client, number) => {
                let pending = PendingPlacementRequest::Read(client, number);
                self.start_read(PendingRequest::Placement(pending), out);
            }
            ReplicaInput::ClientDisconnected(client) => self.state.client_disconnected(client),
            ReplicaInput::Raft(raft_input) => self.raft.handle(now, raft_input, out),
        }
        self.observe_leadership();
        self.propose_due_commands(out);
        self.compact(out);
    }

    fn request_lease(
        &mut self,
        client: ClientId,
        request: beechloft_leases::Request,
        out: &mut PendingOutputs,
    ) {
        let pending = PendingLeaseRequest::Request(client, request.holder, request.seq);
        let command = Command::Leases(beechloft_leases::Command::Request(request));
        self.propose(&command, PendingRequest::Leases(pending), out);
    }

    fn start_read(&mut self, pending: PendingRequest, out: &mut PendingOutputs) {
        let request = self.pending.add(pending);
        self.raft.handle(self.now, Input::Read(request), out);
    }

    /// Proposes a command. Rejects it without asking the consensus node if too many requests are pending.
    pub(super) fn propose(&mut self, command: &Command, pending: PendingRequest, out: &mut PendingOutputs) {
        if self.pending.is_full() {
            return self.rejected.push(pending);
        }
        let Some(bytes) = command.write() else { return self.rejected.push(pending) };
        let request = self.pending.add(pending);
        self.raft.handle(self.now, Input::Propose(request, bytes.into()), out);
    }
}

//! Queues to the SIP agent's thread.
//!
//! New calls have the lowest priority. Messages within dialogs may end a call and free its capacity, and the agent rejects
//! calls that waited too long.

use std::time::Duration;

use beechloft_session::api::Micros;
use beechloft_sip::agent::Input;
use beechloft_sip::message::Message;
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select, unbounded};

/// Maximum number of queued messages within dialogs.
const MAX_IN_DIALOG: usize = 16_384;
/// Maximum number of queued new calls, which is more than the agent handles in the time that a caller waits.
const MAX_NEW_CALLS: usize = 4_096;

/// The sending ends of the queues.
#[derive(Clone)]
pub(crate) struct AgentSender {
    /// Inputs that must not be lost: the session controller's outputs, media servers' answers and lost streams.
    reliable: Sender<Input>,
    /// Messages of callers within dialogs.
    in_dialog: Sender<Input>,
    /// Requests of callers for new calls.
    new_calls: Sender<Input>,
}

/// The receiving ends of the queues.
pub(crate) struct AgentQueues {
    reliable: Receiver<Input>,
    in_dialog: Receiver<Input>,
    new_calls: Receiver<Input>,
}

/// Creates the queues.
pub(crate) fn queues() -> (AgentSender, AgentQueues) {
    let (reliable, reliable_receiver) = unbounded();
    let (in_dialog, in_dialog_receiver) = bounded(MAX_IN_DIALOG);
    let (new_calls, new_calls_receiver) = bounded(MAX_NEW_CALLS);
    let queues = AgentQueues {
        reliable: reliable_receiver,
        in_dialog: in_dialog_receiver,
        new_calls: new_calls_receiver,
    };
    (AgentSender { reliable, in_dialog, new_calls }, queues)
}

impl AgentQueues {
    /// Returns the next input by priority. Waits at most `wait` for one, and then returns `None`.
    pub(crate) fn next(&self, wait: Duration) -> Option<Input> {
        let ready = self
            .reliable
            .try_recv()
            .or_else(|_| self.in_dialog.try_recv())
            .or_else(|_| self.new_calls.try_recv());
        ready.ok().or_else(|| {
            select! {
                recv(self.reliable) -> input => input.ok(),
                recv(self.in_dialog) -> input => input.ok(),
                recv(self.new_calls) -> input => input.ok(),
                default(wait) => None,
            }
        })
    }
}

impl AgentSender {
    fn queue_of(&self, input: &Input) -> &Sender<Input> {
        let Input::Received(_, message, _) = input else { return &self.reliable };
        match &**message {
            Message::Request(request) if request.starts_call() => &self.new_calls,
            _ => &self.in_dialog,
        }
    }

    /// Queues a message received in a datagram. The message is dropped if its queue is full, as its sender retransmits it.
    pub(crate) fn datagram(&self, peer: Peer, message: Message, at: Micros) {
        let input = Input::Received(peer, Box::new(message), at);
        let _ = self.queue_of(&input).try_send(input);
    }

    /// Queues a message received on a caller's stream. Such messages are not retransmitted, so the message is returned as
    /// the error if its queue is full.
    pub(crate) fn streamed(&self, input: Input) -> Result<(), Input> {
        match self.queue_of(&input).try_send(input) {
            Err(TrySendError::Full(input)) => Err(input),
            // The agent's thread has ended, so the message has no effect.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// Queues an input that must not be lost.
    pub(crate) fn reliable(&self, input: Input) {
        let _ = self.reliable.send(input);
    }

    /// Returns the queue of inputs that must not be lost, for the engine's thread.
    pub(crate) fn for_engine(&self) -> Sender<Input> {
        self.reliable.clone()
    }
}

#[cfg(test)]
mod tests;

//! The queues to the SIP agent's thread. New calls wait behind everything else: what is within a dialog ends a call or
//! frees its capacity, and a call that waits too long is rejected by the agent.

use std::time::Duration;

use beechloft_session::api::Micros;
use beechloft_sip::agent::Input;
use beechloft_sip::message::{Message, Method};
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select, unbounded};

/// Messages within dialogs that wait for the agent.
const MAX_IN_DIALOG: usize = 16_384;
/// New calls that wait for it: more than it handles in the time that a caller waits.
const MAX_NEW_CALLS: usize = 4_096;

/// The sending ends.
#[derive(Clone)]
pub(crate) struct AgentSender {
    /// What must not be lost: the session controller's outputs, media servers' answers, streams that end.
    reliable: Sender<Input>,
    /// Callers' messages within dialogs.
    in_dialog: Sender<Input>,
    new_calls: Sender<Input>,
}

/// The receiving ends.
pub(crate) struct AgentQueues {
    reliable: Receiver<Input>,
    in_dialog: Receiver<Input>,
    new_calls: Receiver<Input>,
}

/// All queues, empty.
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
    /// The next input, waited for at most so long.
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
            Message::Request(request)
                if request.method() == Method::Invite && request.ids.to_tag.is_none() =>
            {
                &self.new_calls
            }
            _ => &self.in_dialog,
        }
    }

    /// Queues a caller's datagram. One that finds its queue full is lost, as it is when the socket's buffer is: its
    /// sender retransmits it.
    pub(crate) fn datagram(&self, peer: Peer, message: Message, at: Micros) {
        let input = Input::Received(peer, Box::new(message), at);
        let _ = self.queue_of(&input).try_send(input);
    }

    /// Queues a message of a caller's stream, which nobody retransmits; it is returned if its queue is full.
    pub(crate) fn streamed(&self, input: Input) -> Result<(), Input> {
        match self.queue_of(&input).try_send(input) {
            Err(TrySendError::Full(input)) => Err(input),
            // The agent's thread ends last; what comes after concerns nobody any more.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// Queues what must not be lost.
    pub(crate) fn reliable(&self, input: Input) {
        let _ = self.reliable.send(input);
    }

    /// The queue for what must not be lost, for the engine's thread.
    pub(crate) fn for_engine(&self) -> Sender<Input> {
        self.reliable.clone()
    }
}

#[cfg(test)]
mod tests;

//! The ways to the SIP agent's thread. New calls wait behind everything else: what is within a call ends it or frees its
//! room, and a call that waits too long is turned away by the agent.

use std::time::Duration;

use beechloft_session::api::Micros;
use beechloft_sip::agent::Input;
use beechloft_sip::message::{Message, Method};
use beechloft_sip::transaction::layer::Peer;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, select, unbounded};

/// Messages within calls that wait for the agent.
const WITHIN: usize = 16_384;
/// New calls that wait for it: more than it works off in the time that a caller waits.
const NEW: usize = 4_096;

/// The sending ends.
#[derive(Clone)]
pub(crate) struct ToAgent {
    /// What must not be lost: the core's word, boxes' answers, streams that end.
    certain: Sender<Input>,
    /// Callers' messages within calls.
    within: Sender<Input>,
    /// New calls.
    new: Sender<Input>,
}

/// The receiving ends.
pub(crate) struct Lanes {
    certain: Receiver<Input>,
    within: Receiver<Input>,
    new: Receiver<Input>,
}

/// All lanes.
pub(crate) fn lanes() -> (ToAgent, Lanes) {
    let ((certain, a), (within, b), (new, c)) = (unbounded(), bounded(WITHIN), bounded(NEW));
    (ToAgent { certain, within, new }, Lanes { certain: a, within: b, new: c })
}

impl Lanes {
    /// The next input, waited for at most so long.
    pub(crate) fn next(&self, wait: Duration) -> Option<Input> {
        let ready =
            self.certain.try_recv().or_else(|_| self.within.try_recv()).or_else(|_| self.new.try_recv());
        ready.ok().or_else(|| {
            select! {
                recv(self.certain) -> input => input.ok(),
                recv(self.within) -> input => input.ok(),
                recv(self.new) -> input => input.ok(),
                default(wait) => None,
            }
        })
    }
}

impl ToAgent {
    fn lane(&self, input: &Input) -> &Sender<Input> {
        match input {
            Input::Received(_, message, _) => match &**message {
                Message::Request(r) if r.method() == Method::Invite && r.names.to_tag.is_none() => &self.new,
                _ => &self.within,
            },
            _ => &self.certain,
        }
    }

    /// A caller's datagram. One that finds its lane full is lost, as it is when the socket's buffer is: its sender
    /// repeats it.
    pub(crate) fn datagram(&self, peer: Peer, message: Message, at: Micros) {
        let input = Input::Received(peer, Box::new(message), at);
        let _ = self.lane(&input).try_send(input);
    }

    /// What a caller's stream said, which nobody repeats; it comes back if there is no room.
    pub(crate) fn streamed(&self, input: Input) -> Result<(), Input> {
        match self.lane(&input).try_send(input) {
            Err(TrySendError::Full(input)) => Err(input),
            // The agent's thread ends last; what comes after is nobody's any more.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// What must not be lost.
    pub(crate) fn certain(&self, input: Input) {
        let _ = self.certain.send(input);
    }

    /// The lane for that, as the core's thread has it.
    pub(crate) fn of_core(&self) -> Sender<Input> {
        self.certain.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beechloft_sip::transaction::Transport;

    fn said(method: &str, to_tag: &str) -> Input {
        let text = format!(
            "{method} sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a:1;branch=z9hG4bK1\r\nFrom: <sip:c@d>;tag=1\r\n\
             To: <sip:a@b>{to_tag}\r\nCall-ID: 1\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
        );
        let address = ([127, 0, 0, 1], 1).into();
        let peer = Peer { address, transport: Transport::Tcp, conn: 1 };
        Input::Received(peer, Box::new(Message::parse(text.as_bytes()).expect("a message")), Micros(0))
    }

    #[test]
    fn new_calls_wait_behind_all_else_and_when_full_keep_nobody_else_out() {
        let (sender, lanes) = lanes();
        let (new, again, bye) = (said("INVITE", ""), said("INVITE", ";tag=2"), said("BYE", ";tag=2"));
        for _ in 0..NEW {
            assert_eq!(sender.streamed(new.clone()), Ok(()));
        }
        assert_eq!(sender.streamed(new.clone()), Err(new.clone()), "it comes back to be kept by its stream");
        assert_eq!((sender.streamed(again.clone()), sender.streamed(bye.clone())), (Ok(()), Ok(())));
        sender.certain(Input::Tick);
        let order: Vec<Input> = (0..4).filter_map(|_| lanes.next(Duration::ZERO)).collect();
        assert_eq!(order, [Input::Tick, again, bye, new]);
    }
}

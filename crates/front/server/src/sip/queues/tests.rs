//! Tests of the priorities and limits of the agent's queues.

use super::*;
use beechloft_sip::transaction::Transport;

fn received(method: &str, to_tag: &str) -> Input {
    let text = format!(
        "{method} sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a:1;branch=z9hG4bK1\r\nFrom: <sip:c@d>;tag=1\r\n\
         To: <sip:a@b>{to_tag}\r\nCall-ID: 1\r\nCSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    );
    let address = ([127, 0, 0, 1], 1).into();
    let peer = Peer { address, transport: Transport::Tcp, conn: 1 };
    Input::Received(peer, Box::new(Message::parse(text.as_bytes()).expect("a message")), Micros(0))
}

#[test]
fn new_calls_have_lowest_priority_and_do_not_block_other_messages() {
    let (sender, queues) = queues();
    let (new_call, reinvite, bye) =
        (received("INVITE", ""), received("INVITE", ";tag=2"), received("BYE", ";tag=2"));
    for _ in 0..MAX_NEW_CALLS {
        assert_eq!(sender.streamed(new_call.clone()), Ok(()));
    }
    assert_eq!(
        sender.streamed(new_call.clone()),
        Err(new_call.clone()),
        "the message is returned to its stream"
    );
    assert_eq!((sender.streamed(reinvite.clone()), sender.streamed(bye.clone())), (Ok(()), Ok(())));
    sender.reliable(Input::Tick);
    let order: Vec<Input> = (0..4).filter_map(|_| queues.next(Duration::ZERO)).collect();
    assert_eq!(order, [Input::Tick, reinvite, bye, new_call]);
}

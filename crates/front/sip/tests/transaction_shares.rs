//! Shares of peers in the server transactions of a front.

use beechloft_session::api::Micros;
use beechloft_sip::message::{Message, Request};
use beechloft_sip::transaction::layer::{MAX_SERVER_TRANSACTIONS, Peer};
use beechloft_sip::transaction::{Input, Layer, Output, Transport};

const NOW: Micros = Micros(1_000_000);

fn peer(port: u16) -> Peer {
    Peer { address: ([127, 0, 0, 1], port).into(), transport: Transport::Udp, conn: 0 }
}

fn options() -> Request {
    let text = "OPTIONS sip:stall@127.0.0.1:5060 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKb\r\n\
        Max-Forwards: 70\r\nFrom: <sip:a@example.org>;tag=f\r\nTo: <sip:stall@example.org>\r\n\
        Call-ID: c@example.org\r\nCSeq: 7 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

/// Receives a request with a branch of its own, responds to it, and returns whether it was passed to the user.
fn is_served(layer: &mut Layer, request: &Request, from: Peer, branch: usize) -> bool {
    let mut request = request.clone();
    request.ids.branch = format!("z9hG4bK{branch}");
    let mut outputs = Vec::new();
    let response = request.response(200, "t");
    layer.handle(NOW, Input::Received(from, Box::new(Message::Request(request))), &mut outputs);
    let served = outputs.into_iter().find_map(|output| match output {
        Output::Request(key, ..) => Some(key),
        _ => None,
    });
    let Some(key) = served else { return false };
    layer.handle(NOW, Input::Respond(key, Box::new(response)), &mut Vec::new());
    true
}

/// Guards against a client that uses up all transactions with requests under ever new branches, so that nobody else is served
/// for half a minute.
#[test]
fn flooding_peer_leaves_transactions_for_others() {
    let (mut layer, request) = (Layer::default(), options());
    let served =
        (0..MAX_SERVER_TRANSACTIONS).filter(|n| is_served(&mut layer, &request, peer(5070), *n)).count();
    assert_eq!(served, MAX_SERVER_TRANSACTIONS / 2);
    assert!(is_served(&mut layer, &request, peer(5071), MAX_SERVER_TRANSACTIONS));
    // Transactions that have ended no longer count.
    layer.handle(Micros(NOW.0 * 100), Input::Tick, &mut Vec::new());
    assert!(layer.is_empty());
    assert!(is_served(&mut layer, &request, peer(5070), 0));
}

//! Tests of the faults of a UDP proxy between a client and a server.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::ops::Range;
use std::thread;
use std::time::Duration;

use beechloft_fault_proxy::udp::{DatagramFault, DatagramLinkFault, UdpProxy};

const QUIET: Duration = Duration::from_millis(300);
const SEED: u64 = 1;

/// A client and a server with a proxy between them.
struct Link {
    client: UdpSocket,
    server: UdpSocket,
    proxy: UdpProxy,
}

impl Link {
    fn new() -> Link {
        let bind = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
            socket.set_read_timeout(Some(QUIET)).expect("set");
            socket
        };
        let (client, server) = (bind(), bind());
        let proxy = UdpProxy::start(server.local_addr().expect("an address"), SEED).expect("it starts");
        Link { client, server, proxy }
    }

    /// Sends a datagram for each number from the client.
    fn send(&self, numbers: Range<u16>) {
        for number in numbers {
            self.client.send_to(&number.to_be_bytes(), self.proxy.address()).expect("sent");
        }
    }
}

/// Receives datagrams until none arrives within the read timeout.
fn receive_all(socket: &UdpSocket) -> Vec<u16> {
    let mut received = Vec::new();
    let mut buffer = [0; 8];
    while let Ok((2, _)) = socket.recv_from(&mut buffer) {
        received.push(u16::from_be_bytes([buffer[0], buffer[1]]));
    }
    received
}

#[test]
fn datagrams_pass_in_both_directions_until_one_drops_all() {
    let link = Link::new();
    let (client, server) = (&link.client, &link.server);
    link.send(0..10);
    assert_eq!(receive_all(server), (0..10).collect::<Vec<_>>());
    link.send(10..11);
    let mut buffer = [0; 8];
    let (count, from) = server.recv_from(&mut buffer).expect("it arrives");
    server.send_to(&buffer[..count], from).expect("sent");
    assert_eq!(receive_all(client), [10]);
    let drop_all = DatagramFault::drop_all();
    link.proxy.set_fault(DatagramLinkFault { forward: drop_all, ..DatagramLinkFault::default() });
    link.send(0..10);
    server.send_to(&[0, 9], from).expect("sent");
    assert_eq!((receive_all(server), receive_all(client)), (vec![], vec![9]));
    link.proxy.set_fault(DatagramLinkFault { reverse: drop_all, ..DatagramLinkFault::default() });
    link.send(0..3);
    server.send_to(&[0, 9], from).expect("sent");
    assert_eq!((receive_all(server), receive_all(client)), (vec![0, 1, 2], vec![]));
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered() {
    let link = Link::new();
    let max_delay = Duration::from_millis(30);
    let fault = DatagramFault { loss_per_mille: 300, duplicate_per_mille: 300, max_delay };
    link.proxy.set_fault(DatagramLinkFault::symmetric(fault));
    for part in 0..4 {
        link.send(part * 100..part * 100 + 100);
        thread::sleep(Duration::from_millis(20));
    }
    let received = receive_all(&link.server);
    let distinct: BTreeSet<u16> = received.iter().copied().collect();
    assert!(distinct.len() > 200 && distinct.len() < 360, "{} of 400", distinct.len());
    assert!(received.len() > distinct.len() + 20, "none was duplicated");
    assert!(received.windows(2).any(|pair| pair[1] < pair[0]), "none was reordered");
}

//! Tests of reserved ports and other sockets on the same machine.

use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream, UdpSocket};

use super::ReservedPort;

#[test]
fn a_reserved_port_is_refused_to_others_and_can_be_listened_on_repeatedly() {
    let port = ReservedPort::reserve().expect("a port");
    let at = port.address();
    assert!(ReservedPort::reserve_number(at.port()).is_err(), "two have it");
    for _ in 0..3 {
        assert!(TcpStream::connect(at).is_err(), "somebody listens");
        let listener = TcpListener::bind(at).expect("it is reserved for a process");
        let _datagrams = UdpSocket::bind(at).expect("for UDP as well");
        TcpStream::connect(at).expect("a connection");
        drop(listener);
    }
    drop(port);
    ReservedPort::reserve_number(at.port()).expect("it is free again");
}

#[test]
fn no_socket_with_an_ephemeral_port_gets_a_reserved_one() {
    let reserved: BTreeSet<u16> =
        ReservedPort::reserve_all(200).expect("ports").iter().map(|p| p.address().port()).collect();
    assert_eq!(reserved.len(), 200);
    let ephemeral: Vec<UdpSocket> =
        (0..2_000).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let drawn = ephemeral.iter().map(|s| s.local_addr().expect("an address").port());
    assert_eq!(drawn.filter(|p| reserved.contains(p)).count(), 0);
}

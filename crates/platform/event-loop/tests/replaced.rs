//! Repeated replacement of media servers. This test has a process of its own, as it counts the file descriptors.

mod support;

use beechloft_protocol::CallId;
use support::threaded::{FakeMediaServer, RunningFrontNode, ServerBehavior, ViewerClient};
use support::wait_until;

#[test]
fn replaced_servers_leave_no_connections_open() {
    let mut front = RunningFrontNode::start(&[ServerBehavior::Accept]);
    let mut viewer = ViewerClient::connect(front.addr);
    let mut offset = 1;
    for number in 1..=30 {
        // The new media server has the address of the previous one and a new name.
        let old = front.servers.remove(0);
        old.crash();
        let new = loop {
            // The port is free once the old listener is closed.
            if std::net::TcpStream::connect(old.addr).is_err() {
                break FakeMediaServer::start_at(number, ServerBehavior::Accept, old.addr);
            }
        };
        offset += 1;
        front.event_bus.send_event(offset, false, &[old.endpoint(0, "Gone"), new.endpoint(0, "Ready")]);
        front.servers.push(new);
        let mut id = offset * 1_000;
        wait_until("a session at the new server", || {
            id += 1;
            viewer.request_session(id, 3_000);
            loop {
                let frame = viewer.receive_message();
                if frame.id == CallId(id) {
                    break frame.kind == 9;
                }
            }
        });
    }
    let open = std::fs::read_dir("/proc/self/fd").expect("cannot list file descriptors").count();
    assert!(open < 150, "{open} descriptors");
    front.stop();
}

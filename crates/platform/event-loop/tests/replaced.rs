//! Media servers that are replaced all day. Alone in its process, as it counts that process's descriptors.
// Not reworked yet, see docs/ROADMAP.md.
#![allow(clippy::shadow_unrelated)]

mod support;

use beechloft_protocol::CallId;
use support::{Front, Media, Mood, Viewer, wait};

#[test]
fn servers_replaced_all_day_leave_no_connections_behind() {
    let mut front = Front::start(&[Mood::Accept]);
    let mut viewer = Viewer::connect(front.addr);
    let mut offset = 1;
    for n in 1..=30 {
        // A new server at the address of the one before, under a new id.
        let old = front.media.remove(0);
        old.die();
        let new = loop {
            // The port is free once the old listener has ended.
            if std::net::TcpStream::connect(old.addr).is_err() {
                break Media::at(n, Mood::Accept, old.addr);
            }
        };
        offset += 1;
        front.bus.tell(offset, false, &[old.endpoint(0, "Gone"), new.endpoint(0, "Ready")]);
        front.media.push(new);
        let mut id = offset * 1_000;
        wait("it is asked", || {
            id += 1;
            viewer.ask(id, 3_000);
            loop {
                let frame = viewer.hear().expect("an answer");
                if frame.id == CallId(id) {
                    break frame.kind == 9;
                }
            }
        });
    }
    let held = std::fs::read_dir("/proc/self/fd").expect("a list").count();
    assert!(held < 150, "{held} descriptors");
    front.stop();
}

//! Stand-ins for clients: connections with set-ups on them, and what becomes of each.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use beechloft_protocol::CallId;
use beechloft_protocol::binary::{Frame, FrameDecoder};

use crate::facts::{Behaviour, End, Record, What, behaviour_of, id_of, lock, node_of};
use crate::media::{description, reset};
use crate::rules::CROSSING;

static SERIAL: AtomicU64 = AtomicU64::new(1);
/// For how long clients wait for their answers.
pub const LEFT: Duration = Duration::from_millis(1_500);
pub const CLASS: &str = "stall-video";

/// How a client goes.
#[derive(Debug, Clone, Copy)]
pub enum Leave {
    Fin,
    Rst,
    Cancel,
}

/// A client's connection; one thread reads from it.
pub struct Conn {
    number: u64,
    node: usize,
    addr: SocketAddr,
    /// Only the thread that reads holds it for long, so that a reset goes out as soon as that lets go.
    stream: Mutex<Option<Arc<TcpStream>>>,
    record: Record,
    /// Set-ups without an answer, and when each was written.
    open: Mutex<BTreeMap<u64, (u64, bool)>>,
    /// The client itself has closed it; those that it leaves by a reset are noted once that has gone out.
    left: AtomicBool,
    leaves: Mutex<Vec<u64>>,
    /// It ended.
    pub ended: AtomicBool,
    tested: AtomicU64,
}

fn set_up(id: u64) -> Frame {
    let lies = if behaviour_of(id) == Behaviour::Lone { "home:2;copies:1" } else { "home:0;copies:4" };
    Frame::new(1, CallId(id))
        .with(1, CLASS)
        .with(3, LEFT.as_millis().to_string())
        .with(9, "00000000000000aa")
        .with(11, format!("{lies};top:1;viewer:{:016x}", id & 0xffff_ffff))
        .with(31, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

impl Conn {
    /// None: refused.
    pub fn open(node: usize, addr: SocketAddr, record: &Record) -> Option<Arc<Conn>> {
        let Ok(stream) = TcpStream::connect(addr) else {
            record.note(What::Refused { node });
            return None;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
        let stream = Arc::new(stream);
        let number = SERIAL.fetch_add(1, Ordering::SeqCst);
        record.note(What::Connected { node, conn: number });
        let conn = Arc::new(Conn {
            number,
            node,
            addr,
            stream: Mutex::new(Some(Arc::clone(&stream))),
            record: record.clone(),
            open: Mutex::default(),
            left: AtomicBool::new(false),
            leaves: Mutex::default(),
            ended: AtomicBool::new(false),
            tested: AtomicU64::new(0),
        });
        let reads = Arc::clone(&conn);
        thread::spawn(move || reads.read(stream));
        Some(conn)
    }

    /// Sends a set-up; none: the connection had ended before all of it was written.
    pub fn ask(&self, behaviour: Behaviour) -> Option<u64> {
        let id = id_of(behaviour, self.node, SERIAL.fetch_add(1, Ordering::SeqCst));
        self.send(id, None).then_some(id)
    }

    fn write(&self, bytes: &[u8]) -> bool {
        lock(&self.stream).as_ref().is_some_and(|s| (&**s).write_all(bytes).is_ok())
    }

    fn send(&self, id: u64, again: Option<u64>) -> bool {
        let bytes = set_up(id).encode().expect("short");
        let mut open = lock(&self.open);
        if self.ended.load(Ordering::SeqCst) || !self.write(&bytes) {
            return false;
        }
        let at = self.record.note(What::Taken { conn: self.number, id, again });
        open.insert(id, (at, again.is_some()));
        true
    }

    /// Sends a test, and waits a while for its answer: whether it passed.
    pub fn passes(&self) -> bool {
        let test = Frame::new(52, CallId(SERIAL.fetch_add(1, Ordering::SeqCst))).with(29, [0]);
        if !self.write(&test.encode().expect("short")) {
            return false;
        }
        for _ in 0..400 {
            match self.tested.load(Ordering::SeqCst) {
                0 if self.ended.load(Ordering::SeqCst) => return false,
                0 => thread::sleep(Duration::from_millis(5)),
                said => return said == 2,
            }
        }
        false
    }

    pub fn waits(&self) -> bool {
        !lock(&self.open).is_empty()
    }

    /// Its client goes, with all that is open.
    pub fn leave(&self, how: Leave) {
        let open = lock(&self.open);
        match how {
            Leave::Cancel => {
                for id in open.keys() {
                    let cancel = Frame::new(12, CallId(*id)).with(29, [16]).encode().expect("short");
                    self.write(&cancel);
                }
            }
            Leave::Fin => {
                self.left.store(true, Ordering::SeqCst);
                if let Some(stream) = &*lock(&self.stream) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            Leave::Rst => {
                self.left.store(true, Ordering::SeqCst);
                lock(&self.leaves).extend(open.keys());
                if let Some(stream) = lock(&self.stream).take() {
                    reset(&stream);
                    let _ = stream.shutdown(Shutdown::Read);
                }
                return;
            }
        }
        for id in open.keys() {
            self.record.note(What::Gone { id: *id });
        }
    }

    fn heard(&self, frame: &Frame) {
        let id = frame.id.0;
        let cause = frame
            .parameters
            .iter()
            .find(|p| p.code == 29)
            .and_then(|p| p.value.first())
            .copied()
            .unwrap_or(0);
        let served = frame.kind == 9;
        match frame.kind {
            9 | 12 => {
                let was_open = lock(&self.open).remove(&id).is_some();
                // A release of what stood is no answer; a second answer is one.
                if was_open || served {
                    let text = frame.parameters.iter().find(|p| p.code == 31).map(|p| p.value.as_slice());
                    let right = !served || text == Some(description(id).as_bytes());
                    self.record.note(What::Answer { id, served, right });
                }
            }
            53 => self.tested.store(1 + u64::from(cause == 1), Ordering::SeqCst),
            _ => {}
        }
    }

    fn read(&self, stream: Arc<TcpStream>) {
        let (mut decoder, mut buf) = (FrameDecoder::default(), [0; 4096]);
        let how = loop {
            while let Ok(Some(frame)) = decoder.next_frame() {
                self.heard(&frame);
            }
            match (&*stream).read(&mut buf) {
                Ok(0) => break End::Fin,
                Ok(n) => decoder.push(&buf[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break End::Rst,
            }
        };
        let open = {
            let mut open = lock(&self.open);
            self.ended.store(true, Ordering::SeqCst);
            std::mem::take(&mut *open)
        };
        drop((stream, lock(&self.stream).take()));
        if self.left.load(Ordering::SeqCst) {
            for id in lock(&self.leaves).drain(..) {
                self.record.note(What::Gone { id });
            }
            return;
        }
        let at = self.record.note(What::Closed { conn: self.number, how });
        // What crossed the close goes again on a new connection, once.
        for (id, (taken, again)) in open {
            if again || at > taken + CROSSING {
                continue;
            }
            let new = id_of(behaviour_of(id), node_of(id), SERIAL.fetch_add(1, Ordering::SeqCst));
            if let Some(conn) = Conn::open(self.node, self.addr, &self.record) {
                conn.send(new, Some(id));
            }
        }
    }
}

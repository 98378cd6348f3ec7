//! Fake clients: connections to front nodes that send set-ups and record their results.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use beechloft_protocol::CallId;
use beechloft_protocol::binary::{Frame, FrameDecoder};

use crate::behavior::{Behavior, behavior_of, node_of, set_up_id};
use crate::invariants::CROSSING_WINDOW_US;
use crate::media_server::{description, reset_on_close};
use crate::recorder::{CloseKind, EventKind, Recorder, lock};

static SERIAL: AtomicU64 = AtomicU64::new(1);
/// Time that clients wait for an answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
pub const CLASS: &str = "stall-video";

/// How a client departs.
#[derive(Debug, Clone, Copy)]
pub enum Departure {
    /// Closes the connection.
    Fin,
    /// Resets the connection.
    Rst,
    /// Sends a cancel message for each pending set-up.
    Cancel,
}

/// Message kinds and parameters of the client protocol.
const KIND_SET_UP: u8 = 1;
const KIND_ANSWER: u8 = 9;
const KIND_RELEASE: u8 = 12;
const KIND_TEST: u8 = 52;
const KIND_TEST_RESULT: u8 = 53;
const PARAM_CLASS: u8 = 1;
const PARAM_TIME_LEFT_MS: u8 = 3;
const PARAM_VIEWER: u8 = 9;
const PARAM_TITLE: u8 = 11;
const PARAM_CAUSE: u8 = 29;
const PARAM_DESCRIPTION: u8 = 31;
const CAUSE_NORMAL: u8 = 16;
const RESULT_PASSED: u8 = 1;

const TEST_PENDING: u8 = 0;
const TEST_FAILED: u8 = 1;
const TEST_PASSED: u8 = 2;
const TEST_POLL_INTERVAL: Duration = Duration::from_millis(5);
const TEST_POLLS: usize = 400;
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const READ_BUFFER_BYTES: usize = 4096;

/// Set-up without an answer.
struct PendingSetUp {
    sent_at: u64,
    is_retry: bool,
}

/// Connection of a client. A thread of its own reads from it.
pub struct ClientConnection {
    number: u64,
    node: usize,
    addr: SocketAddr,
    /// Stream to write to. Only the reading thread holds another reference for long, so that a reset is sent as soon as that thread
    /// drops it.
    stream: Mutex<Option<Arc<TcpStream>>>,
    recorder: Recorder,
    /// Set-ups without an answer by id.
    pending: Mutex<BTreeMap<u64, PendingSetUp>>,
    /// Whether the client has closed the connection.
    departed: AtomicBool,
    /// Set-ups that were pending at a reset. They are recorded as departed once the reset has been sent.
    reset_set_ups: Mutex<Vec<u64>>,
    /// Whether either end has closed the connection.
    pub closed: AtomicBool,
    /// One of the `TEST_` constants.
    test_result: AtomicU8,
}

fn set_up(id: u64) -> Frame {
    let location =
        if behavior_of(id) == Behavior::OneCellOnly { "home:2;copies:1" } else { "home:0;copies:4" };
    Frame::new(KIND_SET_UP, CallId(id))
        .with(PARAM_CLASS, CLASS)
        .with(PARAM_TIME_LEFT_MS, ANSWER_TIMEOUT.as_millis().to_string())
        .with(PARAM_VIEWER, "00000000000000aa")
        .with(PARAM_TITLE, format!("{location};top:1;viewer:{:016x}", id & 0xffff_ffff))
        .with(PARAM_DESCRIPTION, format!("offer-{id:016x}\r\nc=IN IP4 10.9.9.9\r\n"))
}

impl ClientConnection {
    /// Opens a connection. Returns `None` if it was refused.
    pub fn open(node: usize, addr: SocketAddr, recorder: &Recorder) -> Option<Arc<ClientConnection>> {
        let Ok(stream) = TcpStream::connect(addr) else {
            recorder.record(EventKind::ConnectionRefused { node });
            return None;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let stream = Arc::new(stream);
        let number = SERIAL.fetch_add(1, Ordering::SeqCst);
        recorder.record(EventKind::ClientConnected { node, connection: number });
        let connection = Arc::new(ClientConnection {
            number,
            node,
            addr,
            stream: Mutex::new(Some(Arc::clone(&stream))),
            recorder: recorder.clone(),
            pending: Mutex::default(),
            departed: AtomicBool::new(false),
            reset_set_ups: Mutex::default(),
            closed: AtomicBool::new(false),
            test_result: AtomicU8::new(TEST_PENDING),
        });
        let reader = Arc::clone(&connection);
        thread::spawn(move || reader.read_frames(stream));
        Some(connection)
    }

    /// Sends a set-up and returns its id. Returns `None` if the connection ended before all of it was written.
    pub fn send_set_up(&self, behavior: Behavior) -> Option<u64> {
        let id = set_up_id(behavior, self.node, SERIAL.fetch_add(1, Ordering::SeqCst));
        self.write_set_up(id, None).then_some(id)
    }

    fn write(&self, bytes: &[u8]) -> bool {
        lock(&self.stream).as_ref().is_some_and(|stream| (&**stream).write_all(bytes).is_ok())
    }

    fn write_set_up(&self, id: u64, retry_of: Option<u64>) -> bool {
        let bytes = set_up(id).encode().expect("frame within the size limit");
        let mut pending = lock(&self.pending);
        if self.closed.load(Ordering::SeqCst) || !self.write(&bytes) {
            return false;
        }
        let sent_at = self.recorder.record(EventKind::SetUpSent { connection: self.number, id, retry_of });
        pending.insert(id, PendingSetUp { sent_at, is_retry: retry_of.is_some() });
        true
    }

    /// Sends a test and waits up to 2 s for its answer. Returns whether the test passed.
    pub fn passes_test(&self) -> bool {
        let test =
            Frame::new(KIND_TEST, CallId(SERIAL.fetch_add(1, Ordering::SeqCst))).with(PARAM_CAUSE, [0]);
        if !self.write(&test.encode().expect("frame within the size limit")) {
            return false;
        }
        for _ in 0..TEST_POLLS {
            match self.test_result.load(Ordering::SeqCst) {
                TEST_PENDING if self.closed.load(Ordering::SeqCst) => return false,
                TEST_PENDING => thread::sleep(TEST_POLL_INTERVAL),
                result => return result == TEST_PASSED,
            }
        }
        false
    }

    /// Whether a set-up has no answer yet.
    pub fn has_pending(&self) -> bool {
        !lock(&self.pending).is_empty()
    }

    /// Lets the client depart while its set-ups are pending.
    pub fn depart(&self, how: Departure) {
        let pending = lock(&self.pending);
        match how {
            Departure::Cancel => {
                for id in pending.keys() {
                    let cancel = Frame::new(KIND_RELEASE, CallId(*id))
                        .with(PARAM_CAUSE, [CAUSE_NORMAL])
                        .encode()
                        .expect("frame within the size limit");
                    self.write(&cancel);
                }
            }
            Departure::Fin => {
                self.departed.store(true, Ordering::SeqCst);
                if let Some(stream) = &*lock(&self.stream) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
            Departure::Rst => {
                self.departed.store(true, Ordering::SeqCst);
                lock(&self.reset_set_ups).extend(pending.keys());
                if let Some(stream) = lock(&self.stream).take() {
                    reset_on_close(&stream);
                    let _ = stream.shutdown(Shutdown::Read);
                }
                return;
            }
        }
        for id in pending.keys() {
            self.recorder.record(EventKind::ClientDeparted { id: *id });
        }
    }

    fn on_frame(&self, frame: &Frame) {
        let id = frame.id.0;
        let cause = frame
            .parameters
            .iter()
            .find(|parameter| parameter.code == PARAM_CAUSE)
            .and_then(|parameter| parameter.value.first())
            .copied()
            .unwrap_or(0);
        let served = frame.kind == KIND_ANSWER;
        match frame.kind {
            KIND_ANSWER | KIND_RELEASE => {
                let was_pending = lock(&self.pending).remove(&id).is_some();
                // The release of an established session doesn't count as an answer, but a second answer does.
                if was_pending || served {
                    let text = frame
                        .parameters
                        .iter()
                        .find(|parameter| parameter.code == PARAM_DESCRIPTION)
                        .map(|parameter| parameter.value.as_slice());
                    let correct = !served || text == Some(description(id).as_bytes());
                    self.recorder.record(EventKind::AnswerReceived { id, served, correct });
                }
            }
            KIND_TEST_RESULT => {
                let result = if cause == RESULT_PASSED { TEST_PASSED } else { TEST_FAILED };
                self.test_result.store(result, Ordering::SeqCst);
            }
            _ => {}
        }
    }

    fn read_frames(&self, stream: Arc<TcpStream>) {
        let (mut decoder, mut buf) = (FrameDecoder::default(), [0; READ_BUFFER_BYTES]);
        let kind = loop {
            while let Ok(Some(frame)) = decoder.next_frame() {
                self.on_frame(&frame);
            }
            match (&*stream).read(&mut buf) {
                Ok(0) => break CloseKind::Fin,
                Ok(n) => decoder.push(&buf[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break CloseKind::Rst,
            }
        };
        let pending = {
            let mut pending = lock(&self.pending);
            self.closed.store(true, Ordering::SeqCst);
            std::mem::take(&mut *pending)
        };
        drop((stream, lock(&self.stream).take()));
        if self.departed.load(Ordering::SeqCst) {
            for id in lock(&self.reset_set_ups).drain(..) {
                self.recorder.record(EventKind::ClientDeparted { id });
            }
            return;
        }
        let closed_at = self.recorder.record(EventKind::ConnectionClosed { connection: self.number, kind });
        // Set-ups that were in flight when the front node closed the connection are sent once more on a new connection.
        for (id, set_up) in pending {
            if set_up.is_retry || closed_at > set_up.sent_at + CROSSING_WINDOW_US {
                continue;
            }
            let new = set_up_id(behavior_of(id), node_of(id), SERIAL.fetch_add(1, Ordering::SeqCst));
            if let Some(connection) = ClientConnection::open(self.node, self.addr, &self.recorder) {
                connection.write_set_up(new, Some(id));
            }
        }
    }
}

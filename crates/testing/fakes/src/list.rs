//! A list service: pushes a snapshot and changes to every front, late, not at all, or in pieces when told to.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, What};
use beechloft_discovery::mirror::Mirror;
use beechloft_discovery::{CHANGE, MediaServerJson, Message, PATH, SNAPSHOT, TitleJson};
use beechloft_http::server::{Handler, Link, Reply, Server, Sizes};
use beechloft_http::{Method, Request, Response, StatusCode, header, sse, wait};
use beechloft_whep::{EVENTS, media_server};

/// How often a stream looks for changes.
const LOOK: Duration = Duration::from_millis(10);
/// A comment is sent this often.
const BEAT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    /// What was published and when, in order.
    log: Vec<(Instant, Message)>,
    lag: Duration,
    /// Time from a request to the begin of its response.
    response_time: Duration,
    /// Streams of an earlier age are broken.
    age: u64,
}

struct Inner {
    state: Mutex<State>,
    recorder: Recorder,
    end: AtomicBool,
    served: AtomicU64,
}

/// A list service that runs until it is dropped.
pub struct ListService {
    inner: Arc<Inner>,
    address: SocketAddr,
    server: Mutex<Option<Server>>,
}

impl ListService {
    /// Starts one on a free port, with nothing on it.
    pub fn start(recorder: Recorder) -> io::Result<ListService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (end, served) = (AtomicBool::new(false), AtomicU64::new(0));
        let inner = Arc::new(Inner { state: Mutex::default(), recorder, end, served });
        let service = ListService { inner, address, server: Mutex::default() };
        service.open(listener)?;
        Ok(service)
    }

    fn open(&self, listener: TcpListener) -> io::Result<()> {
        let server = Server::start(listener, Sizes::default(), Arc::new(Door(self.inner.clone())))?;
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server);
        Ok(())
    }

    /// Where fronts read it.
    pub fn url(&self) -> String {
        format!("http://{}{PATH}", self.address)
    }

    /// Publishes lines of boxes and titles. Lines may be anything, so that a sick service can be played too.
    pub fn publish(&self, message: Message) {
        self.inner.lock().log.push((Instant::now(), message));
    }

    /// Publishes boxes.
    pub fn boxes(&self, boxes: &[MediaServerJson]) {
        let boxes = boxes.iter().filter_map(|b| serde_json::to_value(b).ok()).collect();
        self.publish(Message { media_servers: boxes, ..Message::default() });
    }

    /// Publishes titles.
    pub fn titles(&self, titles: &[TitleJson]) {
        let titles = titles.iter().filter_map(|t| serde_json::to_value(t).ok()).collect();
        self.publish(Message { titles, ..Message::default() });
    }

    /// From now on fronts hear of changes so much later.
    pub fn lag(&self, lag: Duration) {
        self.inner.lock().lag = lag;
    }

    /// From now on each response begins so long after its request.
    pub fn respond_after(&self, response_time: Duration) {
        self.inner.lock().response_time = response_time;
    }

    /// Breaks all streams; they may be opened again at once.
    pub fn flap(&self) {
        self.inner.lock().age += 1;
    }

    /// Goes out of reach, or comes back.
    pub fn reach(&self, reachable: bool) {
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner).take();
        self.flap();
        match server {
            Some(server) if !reachable => server.kill(),
            None if reachable => {
                let until = Instant::now() + Duration::from_secs(2);
                while Instant::now() < until {
                    if let Ok(listener) = TcpListener::bind(self.address) {
                        let _ = self.open(listener);
                        return;
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            }
            other => *self.server.lock().unwrap_or_else(PoisonError::into_inner) = other,
        }
    }

    /// Streams opened so far.
    pub fn served(&self) -> u64 {
        self.inner.served.load(Ordering::SeqCst)
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        self.inner.end.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap_or_else(PoisonError::into_inner).take() {
            server.kill();
        }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what a front is told of boxes' states.
    fn note(&self, front: u32, message: &Message) {
        for line in &message.media_servers {
            let (Some(id), Some(state)) = (line.get("id").and_then(|i| i.as_u64()), line.get("state")) else {
                continue;
            };
            let ready = state.as_str() == Some("ready");
            self.recorder.note(What::Listed { front, server: id as u32, ready });
        }
    }

    fn stream(&self, front: u32, mut socket: &TcpStream) {
        let age = self.lock().age;
        let mut mirror = Mirror::default();
        let mut at = 0;
        let mut sent = Instant::now();
        let mut begun = false;
        while !self.end.load(Ordering::SeqCst) {
            let mut due = Vec::new();
            {
                let state = self.lock();
                if state.age != age {
                    return;
                }
                while state.log.get(at).is_some_and(|(t, _)| t.elapsed() >= state.lag) {
                    due.push(state.log[at].1.clone());
                    at += 1;
                }
            }
            let mut events = Vec::new();
            if begun {
                events.extend(due.into_iter().map(|m| (CHANGE, m)));
            } else {
                due.iter().for_each(|m| mirror.apply(false, m));
                let all = mirror.message();
                // A service that knows of nothing yet has nothing to say.
                if !all.media_servers.is_empty() {
                    begun = true;
                    events.push((SNAPSHOT, all));
                }
            }
            for (name, message) in events {
                let data = serde_json::to_string(&message).unwrap_or_default();
                let event = sse::Event { name: name.into(), data, ..sse::Event::default() };
                if socket.write_all(&event.encode()).is_err() {
                    return;
                }
                self.note(front, &message);
                sent = Instant::now();
            }
            if sent.elapsed() >= BEAT {
                if socket.write_all(sse::KEEP_ALIVE).is_err() {
                    return;
                }
                sent = Instant::now();
            }
            if wait::hung_up(socket) {
                return;
            }
            thread::sleep(LOOK);
        }
    }
}

struct Door(Arc<Inner>);

impl Handler for Door {
    fn handle(&self, request: Request, _: &Link<'_>) -> Reply {
        if request.method != Method::GET || request.path() != PATH {
            return Reply::Complete(Response::text(StatusCode::NOT_FOUND, "nothing here"));
        }
        let inner = self.0.clone();
        inner.served.fetch_add(1, Ordering::SeqCst);
        let response_time = inner.lock().response_time;
        thread::sleep(response_time);
        let front = media_server::front_slot(request.field(header::VIA)).unwrap_or(u32::MAX);
        let head = Response::new(StatusCode::OK).with(header::CONTENT_TYPE, EVENTS);
        Reply::Stream(head, Box::new(move |socket| inner.stream(front, socket)))
    }
}

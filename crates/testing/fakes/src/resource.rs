//! Something that one front of a fleet acts on at a time, and that checks fencing tokens: a stand-in for what a lease guards.
//!
//! Whoever acts opens a connection and says lines `TOKEN HOLDER`. Each is answered `done`, or `stale` where a higher token
//! has been seen: then nothing happened. All of it is recorded.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use beechloft_checker::{Recorder, What};

/// Connections at once, at most.
const MOST: usize = 256;
/// Bytes of a line, at most.
const LINE: u64 = 80;
/// A connection on which nothing is said for so long is closed.
const IDLE: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Last {
    token: u64,
    holder: Option<String>,
}

struct Shared {
    last: Mutex<Last>,
    recorder: Recorder,
    open: AtomicUsize,
    end: AtomicBool,
}

/// The resource, until it is dropped.
pub struct Resource {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Resource {
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    /// No port or no thread.
    pub fn start(recorder: &Recorder) -> io::Result<Resource> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (open, end) = (AtomicUsize::new(0), AtomicBool::new(false));
        let shared = Arc::new(Shared { last: Mutex::default(), recorder: recorder.clone(), open, end });
        let its = Arc::clone(&shared);
        thread::Builder::new().name("resource".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                if its.end.load(Ordering::Relaxed) {
                    return;
                }
                if its.open.load(Ordering::Relaxed) >= MOST {
                    continue;
                }
                its.open.fetch_add(1, Ordering::Relaxed);
                let all = Arc::clone(&its);
                let served = thread::Builder::new().spawn(move || {
                    // A connection that breaks is over, whatever the reason.
                    let _ = all.serve(&stream);
                    all.open.fetch_sub(1, Ordering::Relaxed);
                });
                if served.is_err() {
                    its.open.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
        Ok(Resource { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Who acted last.
    pub fn holder(&self) -> Option<String> {
        self.shared.last.lock().unwrap_or_else(PoisonError::into_inner).holder.clone()
    }
}

impl Drop for Resource {
    fn drop(&mut self) {
        self.shared.end.store(true, Ordering::Relaxed);
        // Wakes the one that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE))?;
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while lines.by_ref().take(LINE).read_line(&mut line)? > 0 {
            let Some((token, holder)) = line.trim_end().split_once(' ') else { return Ok(()) };
            let Ok(token) = token.parse::<u64>() else { return Ok(()) };
            let answer: &[u8] = if self.act(token, holder) { b"done\n" } else { b"stale\n" };
            stream.write_all(answer)?;
            line.clear();
        }
        Ok(())
    }

    /// Acts, if no higher token was seen. The record is made under the same lock, so that its order is the order of acts.
    fn act(&self, token: u64, holder: &str) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let done = token >= last.token;
        if done {
            *last = Last { token, holder: Some(holder.to_owned()) };
        }
        self.recorder.note(What::Acted { token, holder: holder.to_owned(), done });
        done
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn says(lines: &mut BufReader<TcpStream>, text: &str) -> String {
        lines.get_mut().write_all(text.as_bytes()).expect("written");
        let mut line = String::new();
        lines.read_line(&mut line).expect("read");
        line
    }

    #[test]
    fn a_token_under_one_that_was_seen_does_nothing_and_is_recorded() {
        let recorder = Recorder::default();
        let resource = Resource::start(&recorder).expect("it starts");
        let open = || BufReader::new(TcpStream::connect(resource.address()).expect("a connection"));
        let (mut a, mut b) = (open(), open());
        assert_eq!(says(&mut a, "3 a\n"), "done\n");
        assert_eq!(says(&mut b, "4 b\n"), "done\n");
        assert_eq!(says(&mut a, "3 a\n"), "stale\n");
        assert_eq!(says(&mut b, "4 b\n"), "done\n");
        assert_eq!(resource.holder().as_deref(), Some("b"));
        // Rubbish ends its connection and nothing else.
        assert_eq!(says(&mut a, "x\n"), "");
        assert_eq!(says(&mut open(), &"9".repeat(200)), "");
        let seen: Vec<(u64, bool)> = recorder
            .trace()
            .iter()
            .filter_map(|s| match &s.what {
                What::Acted { token, done, .. } => Some((*token, *done)),
                _ => None,
            })
            .collect();
        assert_eq!(seen, [(3, true), (4, true), (3, false), (4, true)]);
    }
}

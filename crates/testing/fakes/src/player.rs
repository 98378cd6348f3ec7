//! A player (or publisher): posts an offer, reads one answer, keeps media alive, ends.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::trace::{Ending, Speaks};
use beechloft_checker::{Recorder, What};
use beechloft_http::client::{CallError, Conn, Pool};
use beechloft_http::{Method, Request, Response, header};
use beechloft_whep::{FRAG, SDP, route};

use crate::dice::Dice;
use crate::offer::{self, Credentials};

/// What a player wants.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The front.
    pub front: SocketAddr,
    /// Its number.
    pub number: u32,
    /// The title.
    pub title: String,
    /// It publishes.
    pub publishes: bool,
    /// The highest rate that it can use, kB a second.
    pub max_rate_kb: Option<f64>,
    /// How long it waits.
    pub patience: Duration,
    /// It hangs up after so long, if it has no answer by then.
    pub hangs_up: Option<Duration>,
    /// Its token.
    pub token: Option<String>,
}

impl Wish {
    /// To watch a title at a front.
    pub fn new(front: SocketAddr, number: u32, title: &str) -> Self {
        Wish {
            front,
            number,
            title: title.to_owned(),
            publishes: false,
            max_rate_kb: None,
            patience: Duration::from_secs(4),
            hangs_up: None,
            token: None,
        }
    }
}

/// A session that a player got.
#[derive(Debug, Clone)]
pub struct Playing {
    /// The offer's user fragment.
    pub offer: String,
    /// The player's own credentials.
    pub credentials: Credentials,
    /// The front.
    pub front: SocketAddr,
    /// Its path there.
    pub path: String,
    /// Version of its ICE session.
    pub etag: String,
    /// Where its media comes from.
    pub media: SocketAddr,
    /// The box's user fragment.
    pub name: String,
}

/// How asking went.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The offer's user fragment.
    pub offer: String,
    /// How it ended.
    pub ending: Ending,
    /// The response.
    pub response: Option<Response>,
    /// The session, if it plays.
    pub playing: Option<Playing>,
    /// From asking to the end.
    pub took: Duration,
}

/// Posts an offer and reads its answer. What is seen is noted.
pub fn ask(wish: &Wish, dice: &mut Dice, recorder: &Recorder) -> Asked {
    let credentials = Credentials::draw(dice);
    ask_with(wish, &credentials, recorder)
}

/// The same with given credentials: the same offer may be posted again.
pub fn ask_with(wish: &Wish, credentials: &Credentials, recorder: &Recorder) -> Asked {
    let text = offer::offer(credentials, wish.publishes, wish.max_rate_kb);
    let mut request = Request::new(Method::POST, route::endpoint_path(&wish.title, wish.publishes))
        .body(SDP, text)
        .with(header::CONNECTION, "close");
    if let Some(token) = &wish.token {
        request = request.with(header::AUTHORIZATION, token);
    }
    let offer = credentials.name.clone();
    let patience_us = wish.patience.as_micros() as u64;
    let (front, title) = (wish.number, wish.title.clone());
    recorder.note(What::Asked { offer: offer.clone(), front, title, patience_us, speaks: Speaks::Whep });
    let began = Instant::now();
    let (ending, response, extra) = exchange(wish, &request, began);
    let took = began.elapsed();
    recorder.note(What::Ended { offer: offer.clone(), ending, extra });
    let playing = response.as_ref().filter(|r| r.status == 201).and_then(|r| playing(wish, credentials, r));
    Asked { offer, ending, response, playing, took }
}

fn exchange(wish: &Wish, request: &Request, began: Instant) -> (Ending, Option<Response>, u32) {
    let until = began + wish.patience;
    let conn = match Conn::open(wish.front, until) {
        Ok(conn) => conn,
        Err(_) => return (Ending::NotTaken, None, 0),
    };
    let mut exchange = match conn.send(request, until) {
        Ok(exchange) => exchange,
        Err(_) => return (Ending::Broken, None, 0),
    };
    let hangs_up = wish.hangs_up.map(|after| began + after).filter(|at| *at < until);
    match exchange.wait(hangs_up.unwrap_or(until)) {
        Ok(response) => {
            // A second answer would follow on the same connection, before it closes.
            let rest = exchange.into_conn().read_to_end(Instant::now() + Duration::from_millis(500));
            let extra = rest.windows(9).filter(|w| w.starts_with(b"HTTP/1.1 ")).count() as u32;
            (Ending::Status(response.status.as_u16()), Some(response), extra)
        }
        Err(CallError::TimedOut) if hangs_up.is_some() => {
            let _ = exchange.socket().shutdown(Shutdown::Both);
            (Ending::HungUp, None, 0)
        }
        Err(CallError::TimedOut) => (Ending::TimedOut, None, 0),
        Err(_) => (Ending::Broken, None, 0),
    }
}

fn playing(wish: &Wish, credentials: &Credentials, response: &Response) -> Option<Playing> {
    let text = std::str::from_utf8(&response.body).ok()?;
    Some(Playing {
        offer: credentials.name.clone(),
        credentials: credentials.clone(),
        front: wish.front,
        path: response.field(header::LOCATION)?.to_owned(),
        etag: response.field(header::ETAG).unwrap_or("*").to_owned(),
        media: offer::candidate(text)?,
        name: offer::name_of(text)?,
    })
}

impl Playing {
    /// Ends the session at the front. The front may be gone; the box frees it by itself then.
    pub fn end(&self, pool: &Pool, recorder: &Recorder) -> Result<Response, CallError> {
        recorder.note(What::Left { offer: self.offer.clone() });
        let request = Request::new(Method::DELETE, self.path.clone());
        pool.call(self.front, &request, Instant::now() + Duration::from_secs(2))
    }

    /// Trickles a candidate, or restarts ICE with `*` as the version.
    pub fn trickle(&self, pool: &Pool, version: &str) -> Result<Response, CallError> {
        let request = Request::new(Method::PATCH, self.path.clone())
            .body(FRAG, offer::fragment(&self.credentials))
            .with(header::IF_MATCH, version);
        pool.call(self.front, &request, Instant::now() + Duration::from_secs(3))
    }
}

/// A caller that never finishes what it sends: opens, writes a part, and waits for the answer or the close.
pub fn slow_sender(front: SocketAddr, part: &[u8], wait: Duration) -> Vec<u8> {
    use std::io::{Read, Write};
    let Ok(mut socket) = TcpStream::connect(front) else { return Vec::new() };
    let _ = socket.set_read_timeout(Some(wait));
    let _ = socket.write_all(part);
    thread::sleep(Duration::from_millis(1));
    let mut all = Vec::new();
    let _ = socket.read_to_end(&mut all);
    all
}

//! A call that stands at a media server: what is still asked of the media server while it does.
//!
//! Two things are asked, both by an UPDATE (RFC 3311) and one at a time (section 5.1): a change of the rung, and a
//! refresh (RFC 4028), by which each side learns that the other still has the call. Without refreshes the media server ends the
//! call by itself: a front that is gone leaves nothing there for longer than the interval. An answer that says that the
//! media server does not know the call any more, or none at all, ends it on our side.

use beechloft_session::api::Micros;
use rsip::Header;
use rsip::headers::UntypedHeader;

use crate::caller::{MIN_SE, SESSION, session_expires};
use crate::dialog::{Dialog, Local, Mint};
use crate::message::{Method, Request, Response};
use crate::transaction::{Key, Layer};

/// After a broken connection the media server is asked within this time, spread, whether it still has the call.
const ASKS: (Micros, Micros) = (Micros(500_000), Micros(2_500_000));
/// An UPDATE that crossed another (491) is sent again within this time (RFC 3261, section 14.1, for the side that made
/// the `Call-ID`).
const CROSSED: (Micros, Micros) = (Micros(2_100_000), Micros(4_000_000));

/// What an answer means for the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Means {
    /// It stands.
    Stands,
    /// The media server does not have it any more.
    Gone,
}

#[derive(Debug)]
struct Sent {
    key: Key,
    offer: Option<String>,
}

/// The call.
#[derive(Debug)]
pub struct Standing {
    dialog: Dialog,
    /// Between two refreshes; none: the media server takes no UPDATE.
    every: Option<Micros>,
    refresh: Micros,
    /// The UPDATE that is out.
    sent: Option<Sent>,
    /// The offer that is to be sent, and not before when.
    wanted: Option<(String, Micros)>,
}

/// The extension fields of a request that sets or refreshes the interval.
pub fn timer_fields() -> [Header; 3] {
    [
        Header::Supported("timer".into()),
        Header::Other("Session-Expires".into(), format!("{SESSION};refresher=uac")),
        Header::Other("Min-SE".into(), MIN_SE.to_string()),
    ]
}

fn spread(between: (Micros, Micros), mint: &mut Mint) -> Micros {
    Micros(between.0.0 + mint.number() % (between.1.0 - between.0.0))
}

impl Standing {
    /// A call that was just accepted.
    pub fn new(now: Micros, dialog: Dialog, answer: &Response) -> Standing {
        let every = interval(answer);
        Standing { dialog, every: Some(every), refresh: now + every, sent: None, wanted: None }
    }

    /// Its dialog.
    pub fn dialog(&mut self) -> &mut Dialog {
        &mut self.dialog
    }

    /// The dialog alone.
    pub fn into_dialog(self) -> Dialog {
        self.dialog
    }

    /// The key of the UPDATE that is out.
    pub fn key(&self) -> Option<&Key> {
        self.sent.as_ref().map(|s| &s.key)
    }

    /// When [`Standing::due`] is next needed.
    pub fn next_due(&self) -> Option<Micros> {
        if self.sent.is_some() {
            return None; // its transaction ends by itself
        }
        let refresh = self.every.map(|_| self.refresh);
        refresh.into_iter().chain(self.wanted.as_ref().map(|w| w.1)).min()
    }

    /// Another rung: the newest offer counts, whatever was wanted before.
    pub fn change(&mut self, now: Micros, offer: &str) {
        self.wanted = Some((offer.to_owned(), now));
    }

    /// Its connection broke. That ends no call, but perhaps the media server broke with it.
    pub fn broken(&mut self, now: Micros, mint: &mut Mint) {
        self.refresh = self.refresh.min(now + spread(ASKS, mint));
    }

    /// The UPDATE that is due, if one is.
    pub fn due(&mut self, now: Micros, at: &Local, mint: &mut Mint) -> Option<Request> {
        if self.next_due().is_none_or(|due| due > now) {
            return None;
        }
        let offer = self.wanted.take_if(|w| w.1 <= now).map(|w| w.0);
        let update = self.dialog.request(Method::Update, at, &mint.branch(), offer.as_deref());
        let Some(mut update) = update else {
            // What the media server gave as its address makes no request: nothing can be asked of it, now or later.
            (self.every, self.wanted) = (None, None);
            return None;
        };
        // Content-Length stays last: what reads a stream looks for the empty line anyway, people look for the order.
        let length = update.raw.headers.iter().position(|h| matches!(h, Header::ContentLength(_)));
        let mut headers: Vec<Header> = update.raw.headers.iter().cloned().collect();
        let place = length.unwrap_or(headers.len());
        headers.splice(place..place, timer_fields());
        update.raw.headers = headers.into();
        self.sent = Some(Sent { key: Layer::key_of(&update), offer });
        Some(update)
    }

    /// The final answer to the UPDATE of this key, or none in time.
    pub fn answered(&mut self, now: Micros, key: &Key, answer: Option<&Response>, mint: &mut Mint) -> Means {
        let Some(sent) = self.sent.take_if(|s| s.key == *key) else { return Means::Stands };
        let Some(answer) = answer else { return Means::Gone };
        match answer.status {
            200..=299 => {
                let every = interval(answer);
                (self.every, self.refresh) = (Some(every), now + every);
            }
            // Section 12.2.1.2.
            408 | 481 => return Means::Gone,
            491 | 500 => {
                let wait = retry_after(answer).unwrap_or_else(|| spread(CROSSED, mint));
                self.refresh = self.refresh.max(now + wait);
                if let (Some(offer), None) = (sent.offer, &self.wanted) {
                    self.wanted = Some((offer, now + wait));
                }
            }
            // It knows no UPDATE. The call stands as it is; its end is learned from the media server's events alone.
            405 | 501 => (self.every, self.wanted) = (None, None),
            // It has the call and does not want this.
            _ => self.refresh = now + self.every.unwrap_or_default(),
        }
        Means::Stands
    }
}

/// Half of what the media server allows between refreshes (RFC 4028, section 10).
fn interval(answer: &Response) -> Micros {
    let seconds = session_expires(&answer.raw.headers).map_or(SESSION, |s| s.clamp(MIN_SE, SESSION));
    Micros(u64::from(seconds) * 500_000)
}

/// A wait that a failure names, 0 to 10 s as RFC 3311, section 5.2, has it.
fn retry_after(answer: &Response) -> Option<Micros> {
    let named = answer
        .raw
        .headers
        .iter()
        .find_map(|h| if let Header::RetryAfter(r) = h { Some(r.value()) } else { None })?;
    let seconds: u64 = named.split([' ', ';', '(']).next()?.parse().ok()?;
    Some(Micros(seconds.min(10) * 1_000_000))
}

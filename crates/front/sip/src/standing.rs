//! An established call at a media server: session refreshes and rung changes.
//!
//! Both use an UPDATE (RFC 3311), and only one is outstanding at a time (section 5.1). A refresh (RFC 4028) tells each side
//! that the other still has the call. Without refreshes the media server ends the call by itself, so a front that failed
//! leaves no call there for longer than the refresh interval. A response that says that the media server doesn't have the
//! call any more, or no response at all, ends the call on the front's side.

use beechloft_session::api::Micros;
use rsip::Header;
use rsip::headers::UntypedHeader;

use crate::caller::{MIN_SE, SESSION, session_expires};
use crate::dialog::{Dialog, Local, Mint};
use crate::message::{Method, Request, Response};
use crate::transaction::{Key, Layer};

/// Range of the random delay before a refresh after the connection to the media server was lost.
const ASKS: (Micros, Micros) = (Micros(500_000), Micros(2_500_000));
/// Range of the random delay before an UPDATE that crossed another (491) is retried, for the side that generated the
/// `Call-ID` (RFC 3261, section 14.1).
const CROSSED: (Micros, Micros) = (Micros(2_100_000), Micros(4_000_000));

/// State of the call after a response to an UPDATE.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Means {
    /// The call is still established.
    Stands,
    /// The media server doesn't have the call any more.
    Gone,
}

#[derive(Debug)]
struct Sent {
    key: Key,
    offer: Option<String>,
}

/// An established call at a media server.
#[derive(Debug)]
pub struct Standing {
    dialog: Dialog,
    /// Interval between two refreshes, or `None` if the media server doesn't support UPDATE.
    every: Option<Micros>,
    refresh: Micros,
    /// The outstanding UPDATE.
    sent: Option<Sent>,
    /// The next offer and the earliest time at which it may be sent.
    wanted: Option<(String, Micros)>,
}

/// Returns the header fields of a request that sets or refreshes the session interval.
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
    /// Creates the state of a call from the 2xx that accepted it.
    pub fn new(now: Micros, dialog: Dialog, answer: &Response) -> Standing {
        let every = interval(answer);
        Standing { dialog, every: Some(every), refresh: now + every, sent: None, wanted: None }
    }

    /// Returns the dialog of the call.
    pub fn dialog(&mut self) -> &mut Dialog {
        &mut self.dialog
    }

    /// Converts the call into its dialog.
    pub fn into_dialog(self) -> Dialog {
        self.dialog
    }

    /// Returns the key of the outstanding UPDATE.
    pub fn key(&self) -> Option<&Key> {
        self.sent.as_ref().map(|s| &s.key)
    }

    /// Returns the time at which [`Standing::due`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        if self.sent.is_some() {
            return None; // the transaction has its own timeout
        }
        let refresh = self.every.map(|_| self.refresh);
        refresh.into_iter().chain(self.wanted.as_ref().map(|w| w.1)).min()
    }

    /// Sets the offer to send next, in place of any offer that is still unsent.
    pub fn change(&mut self, now: Micros, offer: &str) {
        self.wanted = Some((offer.to_owned(), now));
    }

    /// Schedules an early refresh after the connection was lost, since the media server may have failed with it.
    pub fn broken(&mut self, now: Micros, mint: &mut Mint) {
        self.refresh = self.refresh.min(now + spread(ASKS, mint));
    }

    /// Returns the UPDATE that is due, or `None` if there is none.
    pub fn due(&mut self, now: Micros, at: &Local, mint: &mut Mint) -> Option<Request> {
        if self.next_due().is_none_or(|due| due > now) {
            return None;
        }
        let offer = self.wanted.take_if(|w| w.1 <= now).map(|w| w.0);
        let update = self.dialog.request(Method::Update, at, &mint.branch(), offer.as_deref());
        let Some(mut update) = update else {
            // The media server's contact address makes no valid request, so that no UPDATE can ever be sent.
            (self.every, self.wanted) = (None, None);
            return None;
        };
        // `Content-Length` remains the last field by convention. Parsers don't depend on it.
        let length = update.raw.headers.iter().position(|h| matches!(h, Header::ContentLength(_)));
        let mut headers: Vec<Header> = update.raw.headers.iter().cloned().collect();
        let place = length.unwrap_or(headers.len());
        headers.splice(place..place, timer_fields());
        update.raw.headers = headers.into();
        self.sent = Some(Sent { key: Layer::key_of(&update), offer });
        Some(update)
    }

    /// Handles the final response to the UPDATE with this key, or its timeout if `answer` is `None`.
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
            // The media server doesn't support UPDATE. Only its events report the end of the call.
            405 | 501 => (self.every, self.wanted) = (None, None),
            // The media server has the call but rejects the change.
            _ => self.refresh = now + self.every.unwrap_or_default(),
        }
        Means::Stands
    }
}

/// Returns half of the interval that the media server allows between refreshes (RFC 4028, section 10).
fn interval(answer: &Response) -> Micros {
    let seconds = session_expires(&answer.raw.headers).map_or(SESSION, |s| s.clamp(MIN_SE, SESSION));
    Micros(u64::from(seconds) * 500_000)
}

/// Returns the delay of `Retry-After`, limited to 10 s (RFC 3311, section 5.2).
fn retry_after(answer: &Response) -> Option<Micros> {
    let named = answer
        .raw
        .headers
        .iter()
        .find_map(|h| if let Header::RetryAfter(r) = h { Some(r.value()) } else { None })?;
    let seconds: u64 = named.split([' ', ';', '(']).next()?.parse().ok()?;
    Some(Micros(seconds.min(10) * 1_000_000))
}

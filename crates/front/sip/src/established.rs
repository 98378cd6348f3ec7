//! An established call at a media server: session refreshes and rung changes.
//!
//! Both use an UPDATE (RFC 3311), and only one is outstanding at a time (section 5.1). A refresh (RFC 4028) tells each side
//! that the other still has the call. Without refreshes the media server ends the call by itself, so a front that failed
//! leaves no call there for longer than the refresh interval. A response that says that the media server doesn't have the
//! call any more, or no response at all, ends the call on the front's side.

use beechloft_session::api::Micros;
use rsip::Header;
use rsip::headers::UntypedHeader;

use crate::caller::{DEFAULT_SESSION_SECONDS, MIN_SE_SECONDS, session_expires};
use crate::dialog::{Dialog, IdGenerator, LocalEndpoint};
use crate::message::{Method, Request, Response};
use crate::transaction::{Key, Layer};

/// Range of the random delay before a refresh after the connection to the media server was lost.
const RECONNECT_REFRESH_DELAY: (Micros, Micros) = (Micros(500_000), Micros(2_500_000));
/// Range of the random delay before an UPDATE that crossed another (491) is retried, for the side that generated the
/// `Call-ID` (RFC 3261, section 14.1).
const RETRY_DELAY: (Micros, Micros) = (Micros(2_100_000), Micros(4_000_000));

/// State of the call after a response to an UPDATE.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallStatus {
    /// The call is still established.
    Active,
    /// The media server doesn't have the call any more.
    Terminated,
}

#[derive(Debug)]
struct PendingUpdate {
    key: Key,
    offer: Option<String>,
}

/// An established call at a media server.
#[derive(Debug)]
pub struct EstablishedCall {
    dialog: Dialog,
    /// Interval between two refreshes, or `None` if the media server doesn't support UPDATE.
    refresh_interval: Option<Micros>,
    refresh_at: Micros,
    /// The outstanding UPDATE.
    pending_update: Option<PendingUpdate>,
    /// The next offer and the earliest time at which it may be sent.
    next_offer: Option<(String, Micros)>,
}

/// Returns the header fields of a request that sets or refreshes the session interval.
pub fn timer_fields() -> [Header; 3] {
    [
        Header::Supported("timer".into()),
        Header::Other("Session-Expires".into(), format!("{DEFAULT_SESSION_SECONDS};refresher=uac")),
        Header::Other("Min-SE".into(), MIN_SE_SECONDS.to_string()),
    ]
}

fn random_delay(range: (Micros, Micros), id_generator: &mut IdGenerator) -> Micros {
    Micros(range.0.0 + id_generator.random() % (range.1.0 - range.0.0))
}

impl EstablishedCall {
    /// Creates the state of a call from the 2xx that accepted it.
    pub fn new(now: Micros, dialog: Dialog, answer: &Response) -> EstablishedCall {
        let refresh_interval = half_session_interval(answer);
        EstablishedCall {
            dialog,
            refresh_interval: Some(refresh_interval),
            refresh_at: now + refresh_interval,
            pending_update: None,
            next_offer: None,
        }
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
    pub fn pending_key(&self) -> Option<&Key> {
        self.pending_update.as_ref().map(|s| &s.key)
    }

    /// Returns the time at which [`EstablishedCall::next_update`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        if self.pending_update.is_some() {
            return None; // the transaction has its own timeout
        }
        let refresh = self.refresh_interval.map(|_| self.refresh_at);
        refresh.into_iter().chain(self.next_offer.as_ref().map(|w| w.1)).min()
    }

    /// Sets the offer to send next, in place of any offer that is still unsent.
    pub fn change_offer(&mut self, now: Micros, offer: &str) {
        self.next_offer = Some((offer.to_owned(), now));
    }

    /// Schedules an early refresh after the connection was lost, since the media server may have failed with it.
    pub fn connection_lost(&mut self, now: Micros, id_generator: &mut IdGenerator) {
        self.refresh_at = self.refresh_at.min(now + random_delay(RECONNECT_REFRESH_DELAY, id_generator));
    }

    /// Returns the UPDATE that is due, or `None` if there is none.
    pub fn next_update(
        &mut self,
        now: Micros,
        local: &LocalEndpoint,
        id_generator: &mut IdGenerator,
    ) -> Option<Request> {
        if self.next_due().is_none_or(|due| due > now) {
            return None;
        }
        let offer = self.next_offer.take_if(|w| w.1 <= now).map(|w| w.0);
        let update = self.dialog.request(Method::Update, local, &id_generator.branch(), offer.as_deref());
        let Some(mut update) = update else {
            // The media server's contact address makes no valid request, so that no UPDATE can ever be sent.
            (self.refresh_interval, self.next_offer) = (None, None);
            return None;
        };
        // `Content-Length` remains the last field by convention. Parsers don't depend on it.
        let length_position = update.raw.headers.iter().position(|h| matches!(h, Header::ContentLength(_)));
        let mut headers: Vec<Header> = update.raw.headers.iter().cloned().collect();
        let position = length_position.unwrap_or(headers.len());
        headers.splice(position..position, timer_fields());
        update.raw.headers = headers.into();
        self.pending_update = Some(PendingUpdate { key: Layer::key_of(&update), offer });
        Some(update)
    }

    /// Handles the final response to the UPDATE with this key, or its timeout if `answer` is `None`.
    pub fn update_answered(
        &mut self,
        now: Micros,
        key: &Key,
        answer: Option<&Response>,
        id_generator: &mut IdGenerator,
    ) -> CallStatus {
        let Some(update) = self.pending_update.take_if(|s| s.key == *key) else { return CallStatus::Active };
        let Some(answer) = answer else { return CallStatus::Terminated };
        match answer.status {
            200..=299 => {
                let refresh_interval = half_session_interval(answer);
                (self.refresh_interval, self.refresh_at) = (Some(refresh_interval), now + refresh_interval);
            }
            // Section 12.2.1.2.
            408 | 481 => return CallStatus::Terminated,
            491 | 500 => {
                let delay = retry_after(answer).unwrap_or_else(|| random_delay(RETRY_DELAY, id_generator));
                self.refresh_at = self.refresh_at.max(now + delay);
                if let (Some(offer), None) = (update.offer, &self.next_offer) {
                    self.next_offer = Some((offer, now + delay));
                }
            }
            // The media server doesn't support UPDATE. Only its events report the end of the call.
            405 | 501 => (self.refresh_interval, self.next_offer) = (None, None),
            // The media server has the call but rejects the change.
            _ => self.refresh_at = now + self.refresh_interval.unwrap_or_default(),
        }
        CallStatus::Active
    }
}

/// Returns half of the interval that the media server allows between refreshes (RFC 4028, section 10).
fn half_session_interval(answer: &Response) -> Micros {
    let seconds = session_expires(&answer.raw.headers)
        .map_or(DEFAULT_SESSION_SECONDS, |s| s.clamp(MIN_SE_SECONDS, DEFAULT_SESSION_SECONDS));
    Micros(u64::from(seconds) * 500_000)
}

/// Returns the delay of `Retry-After`, limited to 10 s (RFC 3311, section 5.2).
fn retry_after(answer: &Response) -> Option<Micros> {
    let value = answer
        .raw
        .headers
        .iter()
        .find_map(|h| if let Header::RetryAfter(r) = h { Some(r.value()) } else { None })?;
    let seconds: u64 = value.split([' ', ';', '(']).next()?.parse().ok()?;
    Some(Micros(seconds.min(10) * 1_000_000))
}

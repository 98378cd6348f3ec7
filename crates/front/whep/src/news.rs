//! What a box tells a front about the sessions that play there: server-sent events, one stream for each front.
//!
//! WHEP's server-sent events extension has a stream for each session. A front with a thousand sessions at a box would
//! hold a thousand streams, so the box offers one for all sessions of a front, with the event names below.

use beechloft_http::sse::Event;
use beechloft_session::api::{Feedback, Micros};
use beechloft_session::io::MediaServerEvent;
use serde::{Deserialize, Serialize};

/// Path of the stream at a box.
pub const PATH: &str = "/front-events";
/// Path of the load at a box.
pub const LOAD_PATH: &str = "/load";
/// Longest event, bytes.
pub const EVENT_BYTES: usize = 4096;
/// A box sends at least a comment this often; a stream silent for three times as long is broken.
pub const BEAT: Micros = Micros(1_000_000);

/// An event's data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(default)]
struct Data {
    #[serde(skip_serializing_if = "Option::is_none")]
    boot: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    share: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource: Option<String>,
}

/// Reads an event; none: it says nothing that a front knows.
pub fn read(event: &Event) -> Option<MediaServerEvent> {
    let data: Data = serde_json::from_str(&event.data).ok()?;
    let share = data.share.filter(|s| s.is_finite() && *s >= 0.0);
    match event.name.as_str() {
        "hello" => Some(MediaServerEvent::Connected { boot: data.boot? }),
        "delivered" => Some(MediaServerEvent::Note(Feedback::DeliveredFraction(share?))),
        "link" => Some(MediaServerEvent::Note(Feedback::LinkUtilization(share?))),
        "uplink" => Some(MediaServerEvent::Note(Feedback::UplinkUtilization(share?))),
        "over" => Some(MediaServerEvent::SessionEnded { resource: data.resource? }),
        _ => None,
    }
}

/// Writes an event; none: it is not one that a box sends.
pub fn write(news: &MediaServerEvent) -> Option<Event> {
    let (name, data) = match news {
        MediaServerEvent::Connected { boot } => ("hello", Data { boot: Some(*boot), ..Data::default() }),
        MediaServerEvent::Note(Feedback::DeliveredFraction(x)) => {
            ("delivered", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::Note(Feedback::LinkUtilization(x)) => {
            ("link", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::Note(Feedback::UplinkUtilization(x)) => {
            ("uplink", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::SessionEnded { resource } => {
            ("over", Data { resource: Some(resource.clone()), ..Data::default() })
        }
        MediaServerEvent::Note(Feedback::Rung(_))
        | MediaServerEvent::Disconnected
        | MediaServerEvent::ConnectionRefused => return None,
    };
    Some(Event { name: name.into(), data: serde_json::to_string(&data).ok()?, ..Event::default() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn news_is_read_as_written_and_the_rest_is_passed_over() {
        for news in [
            MediaServerEvent::Connected { boot: 7 },
            MediaServerEvent::Note(Feedback::DeliveredFraction(0.9)),
            MediaServerEvent::Note(Feedback::UplinkUtilization(1.2)),
            MediaServerEvent::SessionEnded { resource: "/r/1".into() },
        ] {
            assert_eq!(write(&news).as_ref().and_then(read), Some(news));
        }
        for (name, data) in
            [("hello", "{}"), ("link", "{\"share\":-1}"), ("link", "1"), ("viewercount", "{}"), ("over", "")]
        {
            assert_eq!(read(&Event { name: name.into(), data: data.into(), ..Event::default() }), None);
        }
    }
}

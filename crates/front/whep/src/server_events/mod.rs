//! Events that a media server sends to a front about its sessions: server-sent events, one stream for each front.
//!
//! WHEP's server-sent events extension has one stream for each session. A front with a thousand sessions at a media server
//! would hold a thousand streams. The media server therefore offers one stream for all sessions of a front, with the
//! event names below.

use beechloft_http::sse::Event;
use beechloft_session::api::{Feedback, Micros};
use beechloft_session::io::MediaServerEvent;
use serde::{Deserialize, Serialize};

/// Path of the event stream at a media server.
pub const PATH: &str = "/front-events";
/// Path of the load report at a media server.
pub const LOAD_PATH: &str = "/load";
/// Maximum length of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 4096;
/// Maximum interval between two messages of a media server, which sends a comment when there is no event.
///
/// A front treats a stream that is silent for three times as long as broken.
pub const HEARTBEAT: Micros = Micros(1_000_000);

/// Data of an event.
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

/// Decodes an event. Returns `None` if its name is unknown or its data is malformed.
pub fn decode(event: &Event) -> Option<MediaServerEvent> {
    let data: Data = serde_json::from_str(&event.data).ok()?;
    let share = data.share.filter(|share| share.is_finite() && *share >= 0.0);
    match event.name.as_str() {
        "hello" => Some(MediaServerEvent::Connected { boot: data.boot? }),
        "delivered" => Some(MediaServerEvent::Feedback(Feedback::DeliveredFraction(share?))),
        "link" => Some(MediaServerEvent::Feedback(Feedback::LinkUtilization(share?))),
        "uplink" => Some(MediaServerEvent::Feedback(Feedback::UplinkUtilization(share?))),
        "over" => Some(MediaServerEvent::SessionEnded { resource: data.resource? }),
        _ => None,
    }
}

/// Encodes an event. Returns `None` if media servers don't send events of this kind.
pub fn encode(event: &MediaServerEvent) -> Option<Event> {
    let (name, data) = match event {
        MediaServerEvent::Connected { boot } => ("hello", Data { boot: Some(*boot), ..Data::default() }),
        MediaServerEvent::Feedback(Feedback::DeliveredFraction(x)) => {
            ("delivered", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::Feedback(Feedback::LinkUtilization(x)) => {
            ("link", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::Feedback(Feedback::UplinkUtilization(x)) => {
            ("uplink", Data { share: Some(*x), ..Data::default() })
        }
        MediaServerEvent::SessionEnded { resource } => {
            ("over", Data { resource: Some(resource.clone()), ..Data::default() })
        }
        MediaServerEvent::Feedback(Feedback::Rung(_))
        | MediaServerEvent::Disconnected
        | MediaServerEvent::ConnectionRefused => return None,
    };
    Some(Event { name: name.into(), data: serde_json::to_string(&data).ok()?, ..Event::default() })
}

#[cfg(test)]
mod tests;

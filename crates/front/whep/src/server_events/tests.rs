//! Tests of the `server_events` module.

use super::*;

#[test]
fn events_round_trip_and_unknown_ones_are_ignored() {
    for event in [
        MediaServerEvent::Connected { boot: 7 },
        MediaServerEvent::Feedback(Feedback::DeliveredFraction(0.9)),
        MediaServerEvent::Feedback(Feedback::UplinkUtilization(1.2)),
        MediaServerEvent::SessionEnded { resource: "/r/1".into() },
    ] {
        assert_eq!(encode(&event).as_ref().and_then(decode), Some(event));
    }
    for (name, data) in
        [("hello", "{}"), ("link", "{\"share\":-1}"), ("link", "1"), ("viewercount", "{}"), ("over", "")]
    {
        assert_eq!(decode(&Event { name: name.into(), data: data.into(), ..Event::default() }), None);
    }
}

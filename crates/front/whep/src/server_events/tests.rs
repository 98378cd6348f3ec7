//! Tests of the `server_events` module.

use super::*;

#[test]
fn news_is_read_as_written_and_the_rest_is_passed_over() {
    for news in [
        MediaServerEvent::Connected { boot: 7 },
        MediaServerEvent::Feedback(Feedback::DeliveredFraction(0.9)),
        MediaServerEvent::Feedback(Feedback::UplinkUtilization(1.2)),
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

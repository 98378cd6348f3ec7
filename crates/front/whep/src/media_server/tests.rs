//! Tests of the `media_server` module.

use super::*;

const ANSWER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n\
        c=IN IP4 0.0.0.0\r\na=mid:0\r\na=sendonly\r\na=rtpmap:96 VP8/90000\r\na=rtcp-mux\r\n";

fn created(location: &str, body: &str) -> Response {
    let r = Response::new(StatusCode::CREATED).body(SDP, body).with(header::LOCATION, location);
    r.with(header::LINK, format!("</l/1>; rel=\"{}\"", layers::REL))
        .with(header::LINK, "<stun:a.example>; rel=\"ice-server\"")
        .with(load::FIELD, "TEXT named_metrics.link=0.4")
}

#[test]
fn accepted_set_up_yields_path_layers_and_load() {
    for location in ["/r/1", "http://127.0.0.1:9/r/1"] {
        let (verdict, report) = super::attempt_result(&created(location, ANSWER));
        let AttemptResult::Accepted { resource, reply } = verdict else { panic!("{verdict:?}") };
        assert_eq!(
            (resource.as_str(), reply.layers.as_deref(), report.link_utilization),
            ("/r/1", Some("/l/1"), Some(0.4))
        );
        assert_eq!(reply.links, ["<stun:a.example>; rel=\"ice-server\""]);
    }
}

#[test]
fn unusable_answers_keep_the_resource_for_release() {
    let of = |r: &Response| super::attempt_result(r).0;
    assert!(matches!(of(&created("/r/1", "nonsense")), AttemptResult::Unusable { .. }));
    assert!(matches!(
        of(&created("/r/1", &ANSWER.replace("video 9", "video 0"))),
        AttemptResult::Unusable { .. }
    ));
    assert_eq!(of(&created("r/1", ANSWER)), AttemptResult::Ended(Outcome::Error));
    assert_eq!(of(&created(&format!("/{}", "a".repeat(600)), ANSWER)), AttemptResult::Ended(Outcome::Error));
    let status = |code: u16| of(&Response::new(StatusCode::from_u16(code).expect("a status")));
    assert_eq!(status(503), AttemptResult::Ended(Outcome::Overloaded));
    assert_eq!(status(401), AttemptResult::Declined(401));
    assert_eq!(
        (status(500), status(404), status(200)),
        (
            AttemptResult::Ended(Outcome::Error),
            AttemptResult::Ended(Outcome::Error),
            AttemptResult::Ended(Outcome::Error),
        )
    );
}

//! Tests of the `answer` module.

use super::*;

fn post(kind: &'static str, accept: Option<&str>) -> Request {
    let request = Request::new(Method::POST, "/whep/a").body(kind, "v=0");
    accept.map_or(request.clone(), |a| request.with(header::ACCEPT, a))
}

#[test]
fn rejects_invalid_requests_with_standard_statuses() {
    let status = |r: &Request| endpoint_call(r).map(|r| r.status.as_u16());
    assert_eq!(status(&post(SDP, None)), None);
    assert_eq!(status(&post("text/plain", None)), Some(415));
    assert_eq!(status(&post(SDP, Some("text/html"))), Some(406));
    assert_eq!(status(&Request::new(Method::GET, "/whep/a")), Some(405));
    let options = endpoint_call(&Request::new(Method::OPTIONS, "/whep/a")).expect("answered");
    assert_eq!(options.field(ACCEPT_POST), Some(SDP));
    assert!(options.field(header::ACCESS_CONTROL_ALLOW_METHODS).is_some());

    let frag = "a=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\n";
    let patch = |kind, tag: bool, body: &str| {
        let r = Request::new(Method::PATCH, "/").body(kind, body);
        match session_call(&if tag { r.with(header::IF_MATCH, "\"1\"") } else { r }) {
            SessionCall::Answer(r) => r.status.as_u16(),
            _ => 0,
        }
    };
    assert_eq!(patch(SDP, true, frag), 415);
    assert_eq!(patch(FRAG, false, frag), 428);
    assert_eq!(patch(FRAG, true, "a=mid"), 400);
    assert_eq!(patch(FRAG, true, frag), 0);
    assert!(
        matches!(session_call(&Request::new(Method::POST, "/")), SessionCall::Answer(r) if r.status == 405)
    );
}

#[test]
fn retry_after_is_never_earlier_than_advised() {
    let wait =
        |us| response(&Answer::Rejected(Some(Micros(us)))).field(header::RETRY_AFTER).map(str::to_owned);
    assert_eq!(
        (wait(0), wait(500_000), wait(1_000_001)),
        (Some("1".into()), Some("1".into()), Some("2".into()))
    );
    assert!(response(&Answer::Rejected(None)).field(header::RETRY_AFTER).is_none());
}

//! Tests of the overload control parameters.

use super::*;
use crate::message::{Message, Request};

fn invite(via: &str) -> Request {
    let text = format!(
        "INVITE sip:a@b SIP/2.0\r\nVia: {via}\r\nMax-Forwards: 70\r\nFrom: <sip:c@d>;tag=1\r\nTo: <sip:a@b>\r\n\
             Call-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    );
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn support_requires_the_loss_algorithm() {
    let with = |rest: &str| {
        supports_loss_control(&invite(&format!("SIP/2.0/UDP a:1;branch=z9hG4bK1{rest}")).raw.headers)
    };
    assert!(with(";oc;oc-algo=\"loss\""));
    assert!(with(";OC;oc-algo=\"rate,loss\""));
    assert!(!with(";oc;oc-algo=\"rate\""));
    assert!(!with(";oc-algo=\"loss\""));
    assert!(!with(";x=\";oc;oc-algo=loss\""), "a quoted string contains no parameters");
    assert!(!with(""));
}

#[test]
fn feedback_replaces_the_request_parameters() {
    let request = invite("SIP/2.0/UDP a:1;oc;branch=z9hG4bK1;oc-algo=\"loss\";rport");
    let mut response = request.response(503, "t");
    add_feedback(&mut response, Feedback { percent: 20, validity: Micros(500_000), seq: 7 });
    let text = String::from_utf8(response.encode()).expect("text");
    let via =
        "Via: SIP/2.0/UDP a:1;branch=z9hG4bK1;rport;oc=20;oc-algo=\"loss\";oc-validity=500;oc-seq=7.0\r\n";
    assert!(text.contains(via), "{text}");
}

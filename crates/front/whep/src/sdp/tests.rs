//! Tests of the `sdp` module.

use super::*;
use proptest::prelude::*;

const OFFER: &str = "v=0\r\no=- 46 2 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n\
        m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n\
        a=rtpmap:96 VP8/90000\r\na=ice-ufrag:EsAw\r\na=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\na=setup:actpass\r\n\
        a=fingerprint:sha-256 D2:FA:0E:C3:22:59:5E:14:95:69:92:3D:13:B4:84:24:2C:C2:A2:C0:3E:FD:34:8E:5E:EA:6F:AF:52:CE:E6:0F\r\n";

fn offer(from: &str, to: &str) -> Result<Offer, SdpError> {
    assert!(OFFER.contains(from), "{from}");
    Offer::parse(OFFER.replace(from, to).as_bytes(), false)
}

#[test]
fn rejects_unusable_offers_with_reason() {
    assert!(offer("v=0", "v=0").is_ok());
    let unusable = |from, to| match offer(from, to) {
        Err(e @ SdpError::Unusable(_)) => e.status(),
        other => panic!("{from} to {to}: {other:?}"),
    };
    assert_eq!(unusable("a=recvonly", "a=sendonly"), 422);
    assert_eq!(unusable("a=recvonly", "a=inactive"), 422);
    assert_eq!(unusable("m=video 9", "m=video 0"), 422);
    assert_eq!(unusable("m=video 9", "m=audio 9"), 422);
    assert_eq!(unusable("a=ice-ufrag:EsAw\r\n", ""), 422);
    assert_eq!(unusable("a=ice-pwd:P2uYro0UCOQ4zxjKXaWCBui1\r\n", ""), 422);
    for bad in [&b""[..], b"\xff\xfe", b"{\"sdp\":1}", b"v=0\r\n"] {
        assert_eq!(Offer::parse(bad, false).expect_err("no offer").status(), 400);
    }
    assert_eq!(Offer::parse("a=x\r\n".repeat(3000).as_bytes(), false), Err(SdpError::TooLong));
    assert!(Offer::parse(OFFER.as_bytes(), true).is_err(), "a publisher must send");
    assert!(Offer::parse(OFFER.replace("recvonly", "sendonly").as_bytes(), true).is_ok());
}

#[test]
fn rate_limit_replaces_other_limits_and_changes_nothing_else() {
    let capped = offer("a=mid:0", "b=AS:4000\r\na=mid:0").expect("valid");
    assert_eq!(capped.max_rate_kb, Some(500.0));
    let limited = capped.with_rate_limit(450.0);
    assert_eq!(rate_limit_kb(limited.as_bytes()), Some(450.0));
    assert_eq!(limited.replace("b=TIAS:3600000\r\n", ""), OFFER);
    assert!(limited.contains("c=IN IP4 0.0.0.0\r\nb=TIAS:3600000\r\na=mid:0"), "in its place: {limited}");
    assert!(Offer::parse(limited.as_bytes(), false).is_ok());
}

#[test]
fn keys_identify_offer_title_and_token() {
    let a = offer("v=0", "v=0").expect("valid");
    let b = offer("EsAw", "EsAx").expect("valid");
    assert_eq!(a.idempotency_key("t", None), a.clone().idempotency_key("t", None));
    let others =
        [b.idempotency_key("t", None), a.idempotency_key("u", None), a.idempotency_key("t", Some("x"))];
    assert!(others.iter().all(|k| *k != a.idempotency_key("t", None)));
    assert_eq!(user_fragment(OFFER.as_bytes()).as_deref(), Some("EsAw"));
}

proptest! {
    #[test]
    fn malformed_offers_never_panic(at in 0..OFFER.len(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut bytes = OFFER.as_bytes().to_vec();
        bytes[at] = byte;
        if cut {
            bytes.truncate(at);
        }
        if let Ok(offer) = Offer::parse(&bytes, false) {
            let _ = offer.with_rate_limit(100.0);
        }
        let _ = check_answer(&bytes);
    }
}

//! Descriptions as a browser and a media server write them, cut to what is needed.

use std::net::SocketAddr;

use crate::dice::Dice;

/// An ICE user fragment and password (RFC 8839, section 5.4).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The user fragment.
    pub name: String,
    /// The password.
    pub password: String,
}

impl Credentials {
    /// Draws a pair.
    pub fn draw(dice: &mut Dice) -> Self {
        Credentials {
            name: format!("{:016x}", dice.number()),
            password: format!("{:016x}{:016x}", dice.number(), dice.number()),
        }
    }
}

const FINGERPRINT: &str =
    "sha-256 49:66:12:17:0D:1C:91:AE:57:4C:C6:36:DD:D5:97:D2:7D:62:C9:9A:7F:B9:A3:F4:70:03:E7:43:91:73:23:5E";

/// A player's or publisher's offer, perhaps with the highest rate it can use, kB a second.
pub fn offer(of: &Credentials, publishes: bool, max_rate_kb: Option<f64>) -> String {
    let limit = max_rate_kb.map_or(String::new(), |kb| format!("b=TIAS:{}\r\n", (kb * 8000.0) as u64));
    let flow = if publishes { "sendonly" } else { "recvonly" };
    format!(
        "v=0\r\no=- 4610 2 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n\
         m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\n{limit}a=mid:0\r\na={flow}\r\na=rtcp-mux\r\n\
         a=rtpmap:96 VP8/90000\r\na=ice-ufrag:{}\r\na=ice-pwd:{}\r\na=setup:actpass\r\na=fingerprint:{FINGERPRINT}\r\n",
        of.name, of.password
    )
}

/// A box's answer: its media comes from this address.
pub fn answer(of: &Credentials, publishes: bool, media: SocketAddr) -> String {
    let flow = if publishes { "recvonly" } else { "sendonly" };
    format!(
        "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\na=ice-lite\r\n\
         m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na={flow}\r\na=rtcp-mux\r\n\
         a=rtpmap:96 VP8/90000\r\na=ice-ufrag:{}\r\na=ice-pwd:{}\r\na=setup:passive\r\na=fingerprint:{FINGERPRINT}\r\n\
         a=candidate:1 1 udp 2130706431 {} {} typ host\r\na=end-of-candidates\r\n",
        of.name,
        of.password,
        media.ip(),
        media.port()
    )
}

/// A fragment that trickles a candidate.
pub fn fragment(of: &Credentials) -> String {
    format!(
        "a=group:BUNDLE 0\r\na=ice-ufrag:{}\r\na=ice-pwd:{}\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\na=mid:0\r\n\
         a=candidate:2 1 udp 1694498815 127.0.0.1 50000 typ host\r\na=end-of-candidates\r\n",
        of.name, of.password
    )
}

/// A description of plain RTP, as SIP callers and boxes make it; its origin names it.
pub fn plain(origin: &str, max_rate_kb: Option<f64>) -> String {
    let limit = max_rate_kb.map_or(String::new(), |kb| format!("b=TIAS:{}\r\n", (kb * 8000.0) as u64));
    let id = origin.bytes().fold(7u64, |n, b| n.wrapping_mul(31).wrapping_add(u64::from(b))) >> 2;
    format!(
        "v=0\r\no=- {id} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\nm=video 40000 RTP/AVP 96\r\nc=IN IP4 127.0.0.1\r\n\
         {limit}a=rtpmap:96 H264/90000\r\na=sendrecv\r\n"
    )
}

/// The number in a description's origin line, which names it on the whole way.
pub fn origin(description: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(description).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("o=- "))?;
    line.split(' ').next().map(str::to_owned)
}

/// Where an answer says that its media comes from.
pub fn candidate(answer: &str) -> Option<SocketAddr> {
    let line = answer.lines().find_map(|l| l.strip_prefix("a=candidate:"))?;
    let mut words = line.split(' ').skip(4);
    let (ip, port) = (words.next()?, words.next()?);
    format!("{ip}:{port}").parse().ok()
}

/// The user fragment of a description.
pub fn name_of(description: &str) -> Option<String> {
    description.lines().find_map(|l| l.trim_end().strip_prefix("a=ice-ufrag:")).map(str::to_owned)
}

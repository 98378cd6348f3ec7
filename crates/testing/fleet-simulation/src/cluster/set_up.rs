//! Set-ups of viewers, whose class, title and viewer are derived from the identifier of the session.

use beechloft_protocol::CallId;
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::viewer::SetUp;

use crate::settings::ClusterSettings;

/// Number of titles.
const TITLES: u64 = 97;
/// Time that a viewer waits for the answer, milliseconds.
const TIMEOUT_MS: u64 = 4_000;
/// Timeout in the set-up of a session that is playing already, whose viewer does not wait for an answer.
const NO_TIMEOUT_MS: u64 = 4_294_967;

/// Returns the set-up of a new session.
pub(super) fn new_session(id: CallId, settings: &ClusterSettings) -> Box<SetUp> {
    set_up(id, None, settings)
}

/// Returns the set-up of a session that is already playing at a media server.
pub(super) fn playing_session(id: CallId, server_name: String, settings: &ClusterSettings) -> Box<SetUp> {
    set_up(id, Some(server_name), settings)
}

fn set_up(id: CallId, playing_at: Option<String>, settings: &ClusterSettings) -> Box<SetUp> {
    // The multiplicative hash makes consecutive identifiers differ in class, title and viewer.
    let hash = id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    let title = hash % TITLES;
    // The casts lose nothing, since the values are remainders of small divisors.
    let class = (hash / TITLES) as usize % settings.classes.len();
    Box::new(SetUp {
        class: settings.classes[class].name.into(),
        timeout_ms: if playing_at.is_some() { NO_TIMEOUT_MS } else { TIMEOUT_MS },
        title: format!("{title:016x}"),
        title_id: title,
        attributes: Attributes {
            home_cell: (title % u64::from(settings.cells)) as u32,
            copies: 1 + (title % 2) as u32,
            max_rung: 1,
            viewer: hash,
            is_retry: false,
            playing_at,
        },
        description: format!("{id}\r\n"),
    })
}

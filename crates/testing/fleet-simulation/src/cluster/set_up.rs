//! Set-ups of viewers. Class, title and viewer follow from the session's identifier.

use beechloft_protocol::CallId;
use beechloft_protocol::attributes::Attributes;
use beechloft_protocol::viewer::SetUp;

use crate::settings::ClusterSettings;

/// How many titles there are.
const TITLES: u64 = 97;
/// How long a viewer waits for the answer, in milliseconds.
const TIMEOUT_MS: u64 = 4_000;
/// The timeout that is stated for a session that plays already, as it waits for no answer.
const NO_TIMEOUT_MS: u64 = 4_294_967;

/// The set-up of a new session.
pub(super) fn new_session(id: CallId, settings: &ClusterSettings) -> Box<SetUp> {
    set_up(id, None, settings)
}

/// The set-up of a session that plays already at a media server.
pub(super) fn playing_session(id: CallId, server_name: String, settings: &ClusterSettings) -> Box<SetUp> {
    set_up(id, Some(server_name), settings)
}

fn set_up(id: CallId, playing_at: Option<String>, settings: &ClusterSettings) -> Box<SetUp> {
    // A multiplicative hash, so that consecutive identifiers differ in all three.
    let hash = id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    let title = hash % TITLES;
    // The casts are of remainders by small numbers.
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

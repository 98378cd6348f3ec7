//! Translation between the records of the wire and the policy's events and actions.

use beechloft::api;
use beechloft::api::{Attempt, Micros, ServerId, SessionId};

use crate::host::{HostError, ServerLists};
use crate::wire::{Action, Event, ListEntry, SessionRequest};

/// Rounds a count that is given as a float. Negative and non-finite values give zero.
#[expect(clippy::cast_possible_truncation, reason = "rounded on purpose; casts from floats saturate")]
fn rounded_count(count: f32) -> u32 {
    if count.is_finite() && count > 0.0 { count.round() as u32 } else { 0 }
}

fn request(record: SessionRequest) -> api::Request {
    let has_flag = |flag| record.flags & flag != 0;
    let max_rung = rounded_count(record.max_rung.floor());
    let expected_duration = Micros(record.expected_duration_us.into());
    api::Request {
        session: SessionId(record.session),
        class: api::ClassId(record.class),
        title: api::TitleId(record.title),
        viewer: api::ViewerId(record.viewer),
        first_cell: rounded_count(record.first_cell),
        cell_count: rounded_count(record.cell_count),
        eligible_servers: None,
        max_rung: api::Rung(u8::try_from(max_rung).unwrap_or(u8::MAX)),
        deadline: Micros(record.deadline_us),
        expected_duration: has_flag(SessionRequest::HAS_DURATION).then_some(expected_duration),
        tenant: api::TenantId(record.tenant),
        migrated: has_flag(SessionRequest::MIGRATED),
        is_retry: has_flag(SessionRequest::IS_RETRY),
    }
}

/// Converts a rung that is given as a non-negative float.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero; casts from floats saturate")]
fn rung(value: f64) -> api::Rung {
    api::Rung(value as u8)
}

fn outcome(outcome: u8) -> api::Outcome {
    match outcome {
        0 => api::Outcome::Ok,
        1 => api::Outcome::Error,
        2 => api::Outcome::Overloaded,
        3 => api::Outcome::Timeout,
        4 => api::Outcome::ConnectFailed,
        5 => api::Outcome::Reset,
        6 => api::Outcome::Cancelled,
        _ => api::Outcome::NotSent,
    }
}

/// Converts the values of a load report. Negative and non-finite values are left out.
fn load_report(values: &[f32], fields: &[api::ReportField]) -> api::LoadReport {
    let mut report = api::LoadReport::default();
    for (field, value) in fields.iter().zip(values) {
        let value = Some(f64::from(*value)).filter(|v| v.is_finite() && *v >= 0.0);
        match field {
            api::ReportField::Streams => report.streams = value,
            api::ReportField::LinkUtilization => report.link_utilization = value,
            api::ReportField::UplinkUtilization => report.uplink_utilization = value,
            api::ReportField::Other => {}
        }
    }
    report
}

/// Converts feedback. Returns `None` for an unknown kind and for a negative or non-finite value.
fn feedback(kind: u8, value: f32) -> Option<api::Feedback> {
    let value = f64::from(value);
    if !value.is_finite() || value < 0.0 {
        return None;
    }
    match kind {
        1 => Some(api::Feedback::DeliveredFraction(value)),
        2 => Some(api::Feedback::Rung(rung(value))),
        3 => Some(api::Feedback::LinkUtilization(value)),
        4 => Some(api::Feedback::UplinkUtilization(value)),
        _ => None,
    }
}

/// Converts an update of the endpoint list, resolving the number of the list.
fn endpoint_update(kind: u8, list: u16, index: usize, lists: &ServerLists) -> Result<api::Event, HostError> {
    let kind = match kind {
        0 => api::UpdateKind::Delta,
        1 => api::UpdateKind::Full,
        2 => api::UpdateKind::Cached,
        _ => {
            let failed = api::UpdateKind::Failed;
            return Ok(api::Event::EndpointsUpdated { kind: failed, endpoints: Vec::new() });
        }
    };
    let entries = lists.get(&list).ok_or(HostError::UnknownList { index, list })?;
    Ok(api::Event::EndpointsUpdated { kind, endpoints: entries.iter().map(endpoint).collect() })
}

/// Converts an event record into the policy's event.
///
/// Returns `None` if the record has no meaning for the policy.
///
/// # Errors
///
/// Returns an error if the record refers to a server list that was never sent.
pub(crate) fn policy_event(
    event: Event,
    index: usize,
    fields: &[api::ReportField],
    lists: &ServerLists,
) -> Result<Option<api::Event>, HostError> {
    let event = match event {
        Event::Started { session, attempt, server, elapsed_us } => api::Event::Started {
            session: SessionId(session),
            attempt: Attempt(attempt),
            server: ServerId(server),
            elapsed: Micros(elapsed_us.into()),
        },
        Event::SessionAdopted { request: record, server } => {
            api::Event::SessionAdopted { request: request(record), server: ServerId(server) }
        }
        Event::SessionRequested { request: record } => api::Event::Request(request(record)),
        Event::Timer { token } => api::Event::Timer(api::TimerToken(token)),
        Event::Feedback { session, server, kind, value } => {
            let Some(feedback) = feedback(kind, value) else { return Ok(None) };
            api::Event::FeedbackReceived { session: SessionId(session), server: ServerId(server), feedback }
        }
        Event::AttemptEnded { session, server, outcome: code, attempt, is_final, elapsed_us, load } => {
            api::Event::AttemptEnded {
                session: SessionId(session),
                attempt: Attempt(attempt),
                server: ServerId(server),
                outcome: outcome(code),
                is_final,
                elapsed: Micros(elapsed_us.into()),
                report: load_report(&load, fields),
            }
        }
        Event::Withdrawn { session } => api::Event::Withdrawn(SessionId(session)),
        Event::EndpointsUpdated { kind, list } => endpoint_update(kind, list, index, lists)?,
        Event::PeerMessage { sender, payload } => api::Event::PeerMessage { sender, payload },
        Event::HealthChecked { server, outcome: code, load } => api::Event::HealthChecked {
            server: ServerId(server),
            outcome: outcome(code),
            report: load_report(&load, fields),
        },
        Event::ServerList { .. } | Event::InstanceStarted { .. } | Event::InstanceStopped => return Ok(None),
    };
    Ok(Some(event))
}

fn endpoint(entry: &ListEntry) -> api::Endpoint {
    api::Endpoint {
        server: ServerId(entry.server),
        state: match entry.state {
            2 => api::EndpointState::Ready,
            1 => api::EndpointState::Draining,
            _ => api::EndpointState::Removed,
        },
        cell: api::CellId(entry.cell),
        zone: api::ZoneId(entry.zone),
        server_type: api::ServerType(entry.server_type),
        started_at: Micros(entry.started_at_us),
        weight: if entry.weight.is_finite() { f64::from(entry.weight) } else { 0.0 },
    }
}

/// Converts a duration to the 32 bits that the wire has for it. Longer durations saturate.
fn wire_duration(duration: Micros) -> u32 {
    u32::try_from(duration.0).unwrap_or(u32::MAX)
}

/// Converts a policy's action into its record.
pub(crate) fn action_record(action: api::Action) -> Action {
    match action {
        api::Action::StartAttempt { session, server, deadline } => {
            Action::StartAttempt { session: session.0, server: server.0, deadline_us: deadline.0 }
        }
        api::Action::SetRung { session, rung } => Action::SetRung { session: session.0, rung: rung.0 },
        api::Action::Reject { session, retry_after } => {
            Action::Reject { session: session.0, retry_after_us: retry_after.map_or(0, wire_duration) }
        }
        api::Action::Fail(session) => Action::Fail { session: session.0 },
        api::Action::CancelAttempt { session, attempt } => {
            Action::CancelAttempt { session: session.0, attempt: attempt.0 }
        }
        api::Action::Migrate(session) => Action::Migrate { session: session.0 },
        api::Action::HealthCheck(server) => Action::HealthCheck { server: server.0 },
        api::Action::Subscribe => Action::Subscribe { active: true },
        api::Action::SetTimer { delay, token } => {
            Action::SetTimer { delay_us: wire_duration(delay), token: token.0 }
        }
        api::Action::Log(text) => Action::Log { text },
    }
}

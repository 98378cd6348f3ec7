//! Translation between the wire's terms and the policy's.

use std::collections::BTreeMap;

use beechloft::api;

use crate::host::HostError;
use crate::wire::{self, Action, Event};

/// The nearest count; zero for what is none.
#[expect(clippy::cast_possible_truncation, reason = "rounded on purpose; casts from floats saturate")]
fn whole(count: f32) -> u32 {
    if count.is_finite() && count > 0.0 { count.round() as u32 } else { 0 }
}

fn request(visit: wire::Visit) -> api::Request {
    api::Request {
        session: api::SessionId(visit.txn),
        class: api::ClassId(visit.qos),
        title: api::TitleId(visit.show),
        viewer: api::ViewerId(visit.item),
        first_cell: whole(visit.home),
        cell_count: whole(visit.holders),
        eligible_servers: None,
        max_rung: api::Rung(u8::try_from(whole(visit.top.floor())).unwrap_or(u8::MAX)),
        deadline: api::Micros(visit.drop_dead_us),
        expected_duration: (visit.flags & 1 != 0).then_some(api::Micros(visit.hint_us.into())),
        tenant: api::TenantId(visit.user_group),
        migrated: visit.flags & 8 != 0,
        is_retry: visit.flags & 16 != 0,
    }
}

/// The rung of a level that is not negative.
#[expect(clippy::cast_possible_truncation, reason = "rounded towards zero; casts from floats saturate")]
fn rung(level: f64) -> api::Rung {
    api::Rung(level as u8)
}

fn outcome(reason: u8) -> api::Outcome {
    match reason {
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

fn report(values: &[f32], fields: &[api::ReportField]) -> api::LoadReport {
    let mut out = api::LoadReport::default();
    for (field, value) in fields.iter().zip(values) {
        let value = Some(f64::from(*value)).filter(|v| v.is_finite() && *v >= 0.0);
        match field {
            api::ReportField::Streams => out.streams = value,
            api::ReportField::LinkUtilization => out.link_utilization = value,
            api::ReportField::UplinkUtilization => out.uplink_utilization = value,
            api::ReportField::Other => {}
        }
    }
    out
}

/// The policy's event of a record; none if it tells the policy nothing.
pub(crate) fn policy_event(
    event: Event,
    index: usize,
    fields: &[api::ReportField],
    tables: &BTreeMap<u16, Vec<wire::Entry>>,
) -> Result<Option<api::Event>, HostError> {
    use api::{Attempt, Micros, ServerId, SessionId};
    Ok(Some(match event {
        Event::Headers { txn, round_no, server, spent_us } => api::Event::Started {
            session: SessionId(txn),
            attempt: Attempt(round_no),
            server: ServerId(server),
            elapsed: Micros(spent_us.into()),
        },
        Event::Open { visit, server } => {
            api::Event::SessionAdopted { request: request(visit), server: ServerId(server) }
        }
        Event::Knock { visit } => api::Event::Request(request(visit)),
        Event::Timer { cookie } => api::Event::Timer(api::TimerToken(cookie)),
        Event::Note { txn, server, kind, level } => {
            let level = f64::from(level);
            if !level.is_finite() || level < 0.0 {
                return Ok(None);
            }
            let note = match kind {
                1 => api::Feedback::DeliveredFraction(level),
                2 => api::Feedback::Rung(rung(level)),
                3 => api::Feedback::LinkUtilization(level),
                4 => api::Feedback::UplinkUtilization(level),
                _ => return Ok(None),
            };
            api::Event::FeedbackReceived { session: SessionId(txn), server: ServerId(server), feedback: note }
        }
        Event::Outcome { txn, server, reason, round_no, complete, spent_us, pressure } => {
            api::Event::AttemptEnded {
                session: SessionId(txn),
                attempt: Attempt(round_no),
                server: ServerId(server),
                outcome: outcome(reason),
                is_final: complete,
                elapsed: Micros(spent_us.into()),
                report: report(&pressure, fields),
            }
        }
        Event::Withdrawn { txn } => api::Event::Withdrawn(SessionId(txn)),
        Event::BackendsChanged { form, roster_id } => {
            let form = match form {
                0 => api::UpdateKind::Delta,
                1 => api::UpdateKind::Full,
                2 => api::UpdateKind::Cached,
                _ => {
                    return Ok(Some(api::Event::EndpointsUpdated {
                        kind: api::UpdateKind::Failed,
                        endpoints: Vec::new(),
                    }));
                }
            };
            let table = tables.get(&roster_id).ok_or(HostError::NoTable { index, roster: roster_id })?;
            api::Event::EndpointsUpdated { kind: form, endpoints: table.iter().map(endpoint).collect() }
        }
        Event::Heard { src, payload } => api::Event::PeerMessage { sender: src, payload },
        Event::Checked { server, reason, pressure } => api::Event::HealthChecked {
            server: ServerId(server),
            outcome: outcome(reason),
            report: report(&pressure, fields),
        },
        Event::Table { .. } | Event::Born { .. } | Event::Shutdown => return Ok(None),
    }))
}

fn endpoint(entry: &wire::Entry) -> api::Endpoint {
    api::Endpoint {
        server: api::ServerId(entry.server),
        state: match entry.status {
            2 => api::EndpointState::Ready,
            1 => api::EndpointState::Draining,
            _ => api::EndpointState::Removed,
        },
        cell: api::CellId(entry.place),
        zone: api::ZoneId(entry.site),
        server_type: api::ServerType(entry.flavor),
        started_at: api::Micros(entry.up_since_us),
        weight: if entry.size.is_finite() { f64::from(entry.size) } else { 0.0 },
    }
}

/// A time as the wire has it, cut to what 32 bits hold.
fn short(time: api::Micros) -> u32 {
    u32::try_from(time.0).unwrap_or(u32::MAX)
}

/// The record of a policy's action.
pub(crate) fn action_record(action: api::Action) -> Action {
    match action {
        api::Action::StartAttempt { session, server, deadline } => {
            Action::Relay { txn: session.0, server: server.0, until_us: deadline.0 }
        }
        api::Action::SetRung { session, rung } => Action::Grade { txn: session.0, step: rung.0 },
        api::Action::Reject { session, retry_after } => {
            Action::Deny { txn: session.0, pause_us: retry_after.map_or(0, short) }
        }
        api::Action::Fail(session) => Action::Lose { txn: session.0 },
        api::Action::CancelAttempt { session, attempt } => {
            Action::AbortAttempt { txn: session.0, round_no: attempt.0 }
        }
        api::Action::Migrate(session) => Action::Rebalance { txn: session.0 },
        api::Action::HealthCheck(server) => Action::Probe { server: server.0 },
        api::Action::Subscribe => Action::KeepInformed { active: true },
        api::Action::SetTimer { delay, token } => Action::Defer { delay_us: short(delay), cookie: token.0 },
        api::Action::Log(text) => Action::WriteLog { text },
    }
}

//! Hosts instances of the decision module and translates between the wire's terms and the module's.

use std::collections::BTreeMap;

use beechloft::api;
use beechloft::policy::Policy;
use thiserror::Error;

use crate::wire::{self, Action, Batch, Event, WireError};
use beechloft_settings as setup;

/// Why hosting can't go on.
#[derive(Debug, Error)]
pub enum HostError {
    /// A frame is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A settings text is not the stated JSON.
    #[error("settings of instance {who} can't be read: {source}")]
    Setup {
        /// The instance.
        who: u16,
        /// What the parser says.
        source: serde_json::Error,
    },
    /// A list number that no `Table` has set.
    #[error("record {index} names list {roster}, which was never sent")]
    NoTable {
        /// Position of the record.
        index: usize,
        /// The list's number.
        roster: u16,
    },
}

struct Instance {
    policy: Policy,
    fields: Vec<api::ReportField>,
}

/// All instances of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    tables: BTreeMap<u16, Vec<wire::Entry>>,
}

impl Host {
    /// Handles a batch and gives the reply's actions in order.
    pub fn handle(&mut self, batch: Batch) -> Result<Vec<(u16, Action)>, HostError> {
        let now = api::Micros(batch.now);
        let mut reply = Vec::new();
        let mut actions = Vec::new();
        for (index, (who, event)) in batch.events.into_iter().enumerate() {
            match event {
                Event::Table { roster_id, records } => {
                    self.tables.insert(roster_id, records);
                }
                Event::Born { prng, setup } => {
                    let parsed = setup::parse(&setup).map_err(|source| HostError::Setup { who, source })?;
                    let policy = Policy::new(parsed.settings, prng);
                    self.instances.insert(who, Instance { policy, fields: parsed.report_fields });
                }
                Event::Shutdown => {
                    self.instances.remove(&who);
                }
                event => {
                    let Some(instance) = self.instances.get_mut(&who) else { continue };
                    let Some(event) = translate(event, index, &instance.fields, &self.tables)? else {
                        continue;
                    };
                    instance.policy.handle(now, event, &mut actions);
                    reply.extend(actions.drain(..).filter_map(|a| Some((who, outbound(a)?))));
                }
            }
        }
        Ok(reply)
    }
}

fn whole(x: f32) -> u32 {
    if x.is_finite() && x > 0.0 { x.round() as u32 } else { 0 }
}

fn visit(v: wire::Visit) -> api::Request {
    api::Request {
        session: api::SessionId(v.txn),
        class: api::ClassId(v.qos),
        title: api::TitleId(v.show),
        viewer: api::ViewerId(v.item),
        first_cell: whole(v.home),
        cell_count: whole(v.holders),
        eligible_servers: None,
        max_rung: api::Rung(whole(v.top.floor()).min(u8::MAX.into()) as u8),
        deadline: api::Micros(v.drop_dead_us),
        expected_duration: (v.flags & 1 != 0).then_some(api::Micros(v.hint_us.into())),
        tenant: api::TenantId(v.user_group),
        migrated: v.flags & 8 != 0,
        is_retry: v.flags & 16 != 0,
    }
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

fn translate(
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
        Event::Open { visit: v, server } => {
            api::Event::SessionAdopted { request: visit(v), server: ServerId(server) }
        }
        Event::Knock { visit: v } => api::Event::Request(visit(v)),
        Event::Timer { cookie } => api::Event::Timer(api::TimerToken(cookie)),
        Event::Note { txn, server, kind, level } => {
            let level = f64::from(level);
            if !level.is_finite() || level < 0.0 {
                return Ok(None);
            }
            let note = match kind {
                1 => api::Feedback::DeliveredFraction(level),
                2 => api::Feedback::Rung(api::Rung(level as u8)),
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
            api::Event::EndpointsUpdated { kind: form, endpoints: table.iter().map(entry).collect() }
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

fn entry(e: &wire::Entry) -> api::Endpoint {
    api::Endpoint {
        server: api::ServerId(e.server),
        state: match e.status {
            2 => api::EndpointState::Ready,
            1 => api::EndpointState::Draining,
            _ => api::EndpointState::Removed,
        },
        cell: api::CellId(e.place),
        zone: api::ZoneId(e.site),
        server_type: api::ServerType(e.flavor),
        started_at: api::Micros(e.up_since_us),
        weight: if e.size.is_finite() { f64::from(e.size) } else { 0.0 },
    }
}

fn short(t: api::Micros) -> u32 {
    t.0.min(u32::MAX.into()) as u32
}

fn outbound(action: api::Action) -> Option<Action> {
    Some(match action {
        api::Action::StartAttempt { session: s, server, deadline: until } => {
            Action::Relay { txn: s.0, server: server.0, until_us: until.0 }
        }
        api::Action::SetRung { session: s, rung } => Action::Grade { txn: s.0, step: rung.0 },
        api::Action::Reject { session: s, retry_after: pause } => {
            Action::Deny { txn: s.0, pause_us: pause.map_or(0, short) }
        }
        api::Action::Fail(s) => Action::Lose { txn: s.0 },
        api::Action::CancelAttempt { session: s, attempt } => {
            Action::AbortAttempt { txn: s.0, round_no: attempt.0 }
        }
        api::Action::Migrate(s) => Action::Rebalance { txn: s.0 },
        api::Action::HealthCheck(server) => Action::Probe { server: server.0 },
        api::Action::Subscribe => Action::KeepInformed { active: true },
        api::Action::SetTimer { delay, token } => Action::Defer { delay_us: short(delay), cookie: token.0 },
        api::Action::Log(text) => Action::WriteLog { text },
    })
}

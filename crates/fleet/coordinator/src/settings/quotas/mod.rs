//! Settings of the quotas that all fronts share, read from the section `fleet.limits`.

use std::collections::BTreeMap;

use beechloft_config_reader::Section;
use beechloft_leases::{DriftBound, Name};
use beechloft_quotas::definition::{MAX_FRONTS, MAX_LIMIT};
use beechloft_quotas::{Enforcement, Key, LimitDefinition, QuotaParameters, Resource, Scope, bounds};

use super::integer_u32;

/// Default allowance of a soft quota above its limit, as a share of the limit.
const DEFAULT_SOFT_EXCESS: f64 = 0.1;
/// Default maximum duration of a session.
const DEFAULT_MAX_SESSION_S: u64 = 4 * 3_600;
const DEFAULT_BURST_MS: u32 = 1_000;

/// The settings of quotas.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaSettings {
    /// The durations, and the maximum number of fronts.
    pub rules: QuotaParameters,
    /// The quotas, until the topic defines others.
    pub definitions: Vec<LimitDefinition>,
    /// Whether media servers store a tag with each session of this front, so that they can report the sessions of a lost front.
    pub tagged: bool,
}

impl QuotaSettings {
    /// Returns whether any quota is soft. Fronts enforce soft quotas by the shares that they gossip to each other.
    pub fn has_soft(&self) -> bool {
        self.definitions.iter().any(|d| !d.is_hard())
    }
}

/// Names that the rest of a front's settings file defines.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownNames<'a> {
    /// The names of customers.
    pub customers: &'a [String],
    /// The names of classes.
    pub classes: &'a [String],
}

/// Reads the section. `known` are the names against which the quotas' keys are checked.
pub(super) fn read(
    section: &Section<'_>,
    drift_bound: DriftBound,
    known: Option<KnownNames<'_>>,
) -> QuotaSettings {
    let default = QuotaParameters::default();
    let rules = QuotaParameters {
        fronts: u32::try_from(section.required_integer("fronts", 1..=u64::from(MAX_FRONTS)))
            .unwrap_or(MAX_FRONTS),
        ttl_ms: integer_u32(section, "ttl_ms", 1..=600_000).unwrap_or(default.ttl_ms),
        settle_ms: integer_u32(section, "settle_ms", 100..=600_000).unwrap_or(default.settle_ms),
        horizon_ms: integer_u32(section, "horizon_ms", 100..=600_000).unwrap_or(default.horizon_ms),
    };
    if let Err(error) = rules.check(drift_bound) {
        section.report("ttl_ms", error.to_string());
    }
    let mut definitions: Vec<LimitDefinition> = Vec::new();
    for quota in section.sections("list") {
        let Some(definition) = read_definition(&quota, &rules, known) else { continue };
        if definitions.iter().any(|other| other.name == definition.name) {
            quota.report("name", "another limit has the same name");
        }
        definitions.push(definition);
    }
    QuotaSettings { rules, definitions, tagged: true }
}

fn read_definition(
    section: &Section<'_>,
    rules: &QuotaParameters,
    known: Option<KnownNames<'_>>,
) -> Option<LimitDefinition> {
    let text = section.required_text("name");
    let name = Name::try_from(text).map_err(|error| section.report("name", error.to_string())).ok();
    let resources = [
        ("sessions", Resource::Sessions),
        ("kbits", Resource::Kbits),
        ("set_ups", Resource::SetUps),
        ("attempts", Resource::Attempts),
    ];
    let scopes = [
        ("all", Scope::All),
        ("customer", Scope::Customer),
        ("title", Scope::Title),
        ("class", Scope::Class),
        ("viewer", Scope::Viewer),
        ("uplink", Scope::Uplink),
        ("box", Scope::MediaServer),
    ];
    for key in ["counts", "of", "kind"] {
        if !section.has(key) {
            section.report(key, "missing");
        }
    }
    let resource = section.choice("counts", &resources).unwrap_or(Resource::Sessions);
    let scope = section.choice("of", &scopes).unwrap_or(Scope::All);
    #[expect(clippy::cast_possible_truncation, reason = "the ranges limit shares to 10")]
    let milli = |share: f64| (share * 1_000.0).round() as u32;
    let soft_excess = section.number("over", 0.0..=10.0);
    let is_hard = section.choice("kind", &[("hard", true), ("soft", false)]).unwrap_or(true);
    if is_hard && soft_excess.is_some() {
        section.report("over", "not applicable to a hard limit");
    }
    let enforcement = if is_hard {
        Enforcement::Hard
    } else {
        Enforcement::Soft { over_milli: milli(soft_excess.unwrap_or(DEFAULT_SOFT_EXCESS)) }
    };
    let key = section.text("key");
    // The guaranteed part of a rate is in thousandths per second, as it may be less than one per second.
    let scale = if resource.is_rate() { 1_000.0 } else { 1.0 };
    let guaranteed = section.number("least", 0.0..=1e9).unwrap_or(0.0) * scale;
    let weights = read_weights(section, known);
    check_key(section, scope, key.as_deref(), known);
    #[expect(clippy::cast_possible_truncation, reason = "the range limits it to 1e12")]
    let guaranteed = guaranteed.round() as u64;
    let definition = LimitDefinition {
        name: name?,
        version: 0,
        resource,
        scope,
        only_key: key.as_deref().map(Key::of),
        limit: section.required_integer("limit", 1..=MAX_LIMIT),
        enforcement,
        min_share: guaranteed,
        weights,
        reserved_milli: milli(section.number("keep", 0.0..=1.0).unwrap_or(0.0)),
        max_session_ms: section.integer("longest_s", 1..=604_800).unwrap_or(DEFAULT_MAX_SESSION_S) * 1_000,
        burst_ms: integer_u32(section, "burst_ms", 0..=60_000).unwrap_or(DEFAULT_BURST_MS),
        fronts: rules.fronts,
        settle_ms: rules.settle_ms,
    };
    for error in definition.validate() {
        section.report(error.key(), error.to_string());
    }
    if !bounds::soft_can_grow(&definition) {
        section.report(
            "over",
            format!("too small for any of {} fronts to grow: increase it or use a hard limit", rules.fronts),
        );
    }
    Some(definition)
}

/// Reports an error if the key of a limit is not among the known names of its scope.
fn check_key(section: &Section<'_>, scope: Scope, key: Option<&str>, known: Option<KnownNames<'_>>) {
    let (Some(key), Some(known)) = (key, known) else { return };
    let (kind, names) = match scope {
        Scope::Customer => ("customer", known.customers),
        Scope::Class => ("class", known.classes),
        _ => return,
    };
    if !names.iter().any(|name| name == key) {
        section.report("key", format!("unknown {kind} '{key}'"));
    }
}

fn read_weights(section: &Section<'_>, known: Option<KnownNames<'_>>) -> BTreeMap<Key, u32> {
    let mut weights = BTreeMap::new();
    for entry in section.sections("weights") {
        let customer = entry.required_text("customer");
        if known.is_some_and(|known| !known.customers.contains(&customer)) {
            entry.report("customer", format!("unknown customer '{customer}'"));
        }
        let weight = u32::try_from(entry.required_integer("weight", 1..=1_000_000)).unwrap_or(1);
        if weights.insert(Key::of(&customer), weight).is_some() {
            entry.report("customer", format!("'{customer}' is listed twice"));
        }
    }
    weights
}

#[cfg(test)]
mod tests;

//! The section `fleet.limits`: quotas of all fronts together.

use std::collections::BTreeMap;

use beechloft_config_reader::Section;
use beechloft_leases::{DriftBound, Name};
use beechloft_quotas::definition::{MAX_FRONTS, MAX_LIMIT};
use beechloft_quotas::{Enforcement, Key, LimitDefinition, QuotaParameters, Resource, Scope, bounds};

use super::integer_u32;

/// The settings of quotas.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaSettings {
    /// Times, and the maximum number of fronts.
    pub rules: QuotaParameters,
    /// The quotas, until the topic defines others.
    pub definitions: Vec<LimitDefinition>,
    /// Whether media servers keep a tag with each session of this front, by which they can report what it left.
    pub tagged: bool,
}

impl QuotaSettings {
    /// Whether some quota is soft: kept by the shares that fronts gossip to each other.
    pub fn any_soft(&self) -> bool {
        self.definitions.iter().any(|d| !d.is_hard())
    }
}

/// Names that the rest of a file defines.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownNames<'a> {
    /// Customers.
    pub customers: &'a [String],
    /// Classes.
    pub classes: &'a [String],
}

/// Reads the section.
pub(super) fn quotas(
    s: &Section<'_>,
    drift_bound: DriftBound,
    known: Option<KnownNames<'_>>,
) -> QuotaSettings {
    let default = QuotaParameters::default();
    let rules = QuotaParameters {
        fronts: u32::try_from(s.required_integer("fronts", 1..=u64::from(MAX_FRONTS))).unwrap_or(MAX_FRONTS),
        ttl_ms: integer_u32(s, "ttl_ms", 1..=600_000).unwrap_or(default.ttl_ms),
        settle_ms: integer_u32(s, "settle_ms", 100..=600_000).unwrap_or(default.settle_ms),
        horizon_ms: integer_u32(s, "horizon_ms", 100..=600_000).unwrap_or(default.horizon_ms),
    };
    if let Err(error) = rules.check(drift_bound) {
        s.report("ttl_ms", error.to_string());
    }
    let mut definitions: Vec<LimitDefinition> = Vec::new();
    for one in s.sections("list") {
        let Some(definition) = definition(&one, &rules, known) else { continue };
        if definitions.iter().any(|other| other.name == definition.name) {
            one.report("name", "a second limit of this name");
        }
        definitions.push(definition);
    }
    QuotaSettings { rules, definitions, tagged: true }
}

fn definition(
    s: &Section<'_>,
    rules: &QuotaParameters,
    known: Option<KnownNames<'_>>,
) -> Option<LimitDefinition> {
    let text = s.required_text("name");
    let name = Name::try_from(text).map_err(|e| s.report("name", e.to_string())).ok();
    let counts = [
        ("sessions", Resource::Sessions),
        ("kbits", Resource::Kbits),
        ("set_ups", Resource::SetUps),
        ("attempts", Resource::Attempts),
    ];
    let of = [
        ("all", Scope::All),
        ("customer", Scope::Customer),
        ("title", Scope::Title),
        ("class", Scope::Class),
        ("viewer", Scope::Viewer),
        ("uplink", Scope::Uplink),
        ("box", Scope::MediaServer),
    ];
    for key in ["counts", "of", "kind"] {
        if !s.has(key) {
            s.report(key, "missing");
        }
    }
    let counts = s.choice("counts", &counts).unwrap_or(Resource::Sessions);
    let of = s.choice("of", &of).unwrap_or(Scope::All);
    #[expect(clippy::cast_possible_truncation, reason = "shares are 10 at most by their ranges")]
    let milli = |share: f64| (share * 1_000.0).round() as u32;
    let over = s.number("over", 0.0..=10.0);
    let hard = s.choice("kind", &[("hard", true), ("soft", false)]).unwrap_or(true);
    if hard && over.is_some() {
        s.report("over", "a hard limit is never over");
    }
    let kind =
        if hard { Enforcement::Hard } else { Enforcement::Soft { over_milli: milli(over.unwrap_or(0.1)) } };
    let only = s.text("key");
    // The guaranteed part of a rate may be a fraction of one a second.
    let scale = if counts.is_rate() { 1_000.0 } else { 1.0 };
    let least = s.number("least", 0.0..=1e9).unwrap_or(0.0) * scale;
    let weights = weights(s, known);
    let names = known.map(|k| match of {
        Scope::Customer => ("customer", k.customers),
        Scope::Class => ("class", k.classes),
        _ => ("", &[][..]),
    });
    if let (Some(only), Some((what, all))) = (&only, names)
        && !what.is_empty()
        && !all.contains(only)
    {
        s.report("key", format!("no {what} is called '{only}'"));
    }
    #[expect(clippy::cast_possible_truncation, reason = "1e12 at most by its range")]
    let least = least.round() as u64;
    let definition = LimitDefinition {
        name: name?,
        version: 0,
        resource: counts,
        scope: of,
        only_key: only.as_deref().map(Key::of),
        limit: s.required_integer("limit", 1..=MAX_LIMIT),
        enforcement: kind,
        min_share: least,
        weights,
        reserved_milli: milli(s.number("keep", 0.0..=1.0).unwrap_or(0.0)),
        max_session_ms: s.integer("longest_s", 1..=604_800).unwrap_or(4 * 3_600) * 1_000,
        burst_ms: integer_u32(s, "burst_ms", 0..=60_000).unwrap_or(1_000),
        fronts: rules.fronts,
        settle_ms: rules.settle_ms,
    };
    for error in definition.validate() {
        s.report(error.key(), error.to_string());
    }
    if !bounds::soft_can_grow(&definition) {
        s.report(
            "over",
            format!("it lets none of {} fronts grow by one: a larger over, or hard", rules.fronts),
        );
    }
    Some(definition)
}

fn weights(s: &Section<'_>, known: Option<KnownNames<'_>>) -> BTreeMap<Key, u32> {
    let mut all = BTreeMap::new();
    for one in s.sections("weights") {
        let customer = one.required_text("customer");
        if known.is_some_and(|k| !k.customers.contains(&customer)) {
            one.report("customer", format!("no customer is called '{customer}'"));
        }
        let weight = u32::try_from(one.required_integer("weight", 1..=1_000_000)).unwrap_or(1);
        if all.insert(Key::of(&customer), weight).is_some() {
            one.report("customer", "it is there twice");
        }
    }
    all
}

#[cfg(test)]
mod tests;

//! The section `fleet.limits`: limits that hold for all fronts.

use std::collections::BTreeMap;

use beechloft_config_reader::Section;
use beechloft_leases::{DriftBound, Name};
use beechloft_quotas::definition::{MAX_FRONTS, MAX_LIMIT};
use beechloft_quotas::{Enforcement, Key, LimitDefinition, QuotaParameters, Resource, Scope, bounds};

/// What the section says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QuotaSettings {
    /// Times, and how many fronts there are at most.
    pub rules: QuotaParameters,
    /// Limits, until the topic says something else.
    pub definitions: Vec<LimitDefinition>,
    /// Boxes keep a tag with each session of this front, and can be asked by it.
    pub tagged: bool,
}

impl QuotaSettings {
    /// Whether some limit is kept by parts that fronts tell each other.
    pub fn any_soft(&self) -> bool {
        self.definitions.iter().any(|d| !d.is_hard())
    }
}

/// Names that the rest of a file has, to be looked up.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownNames<'a> {
    /// Customers.
    pub customers: &'a [String],
    /// Classes.
    pub classes: &'a [String],
}

/// Reads the section.
pub(super) fn quotas(s: &Section<'_>, drift: DriftBound, known: Option<KnownNames<'_>>) -> QuotaSettings {
    let d = QuotaParameters::default();
    let rules = QuotaParameters {
        fronts: s.required_integer("fronts", 1..=u64::from(MAX_FRONTS)) as u32,
        ttl_ms: s.integer("ttl_ms", 1..=600_000).unwrap_or(u64::from(d.ttl_ms)) as u32,
        settle_ms: s.integer("settle_ms", 100..=600_000).unwrap_or(u64::from(d.settle_ms)) as u32,
        horizon_ms: s.integer("horizon_ms", 100..=600_000).unwrap_or(u64::from(d.horizon_ms)) as u32,
    };
    if let Err(why) = rules.check(drift) {
        s.report("ttl_ms", why.to_string());
    }
    let mut definitions: Vec<LimitDefinition> = Vec::new();
    for one in s.sections("list") {
        let Some(definition) = definition(&one, &rules, known) else { continue };
        if definitions.iter().any(|d| d.name == definition.name) {
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
        ("box", Scope::Box),
    ];
    for key in ["counts", "of", "kind"] {
        if !s.has(key) {
            s.report(key, "missing");
        }
    }
    let counts = s.choice("counts", &counts).unwrap_or(Resource::Sessions);
    let of = s.choice("of", &of).unwrap_or(Scope::All);
    let milli = |part: f64| (part * 1_000.0).round() as u32;
    let over = s.number("over", 0.0..=10.0);
    let hard = s.choice("kind", &[("hard", true), ("soft", false)]).unwrap_or(true);
    if hard && over.is_some() {
        s.report("over", "a hard limit is never over");
    }
    let kind =
        if hard { Enforcement::Hard } else { Enforcement::Soft { over_milli: milli(over.unwrap_or(0.1)) } };
    let only = s.text("key");
    // A rate's least part may be a fraction of one a second.
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
    let definition = LimitDefinition {
        name: name?,
        version: 0,
        counts,
        of,
        only: only.as_deref().map(Key::of),
        limit: s.required_integer("limit", 1..=MAX_LIMIT),
        kind,
        least: least.round() as u64,
        weights,
        keep_milli: milli(s.number("keep", 0.0..=1.0).unwrap_or(0.0)),
        longest_ms: s.integer("longest_s", 1..=604_800).unwrap_or(4 * 3_600) * 1_000,
        burst_milli: s.integer("burst_ms", 0..=60_000).unwrap_or(1_000) as u32,
        fronts: rules.fronts,
        settle_ms: rules.settle_ms,
    };
    for fault in definition.validate() {
        s.report(fault.key(), fault.to_string());
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
        if all.insert(Key::of(&customer), one.required_integer("weight", 1..=1_000_000) as u32).is_some() {
            one.report("customer", "it is there twice");
        }
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;
    use beechloft_config_reader as config_reader;

    fn read(list: &str) -> Result<QuotaSettings, String> {
        let customers = ["market".to_owned(), "school".to_owned()];
        let known = KnownNames { customers: &customers, classes: &[] };
        let drift = DriftBound::ppm(10_000).expect("within bounds");
        let text = format!("limits:\n  fronts: 10\n  list:\n{list}");
        config_reader::read(&text, |top| quotas(&top.section("limits"), drift, Some(known)))
            .map_err(|f| f.to_string())
    }

    #[test]
    fn a_sound_section_is_read() {
        let all = read(
            "    - {name: all, counts: sessions, of: all, limit: 900, kind: hard, least: 3, weights: [{customer: market, weight: 2}, {customer: school, weight: 1}]}\n    - {name: pace, counts: set_ups, of: all, limit: 20, kind: hard, least: 0.5}\n    - {name: box, counts: kbits, of: box, limit: 90000, kind: soft, over: 0.2}\n",
        )
        .expect("sound");
        assert_eq!((all.rules.fronts, all.definitions.len()), (10, 3));
        assert_eq!((all.definitions[0].weights.len(), all.definitions[1].least), (2, 500));
    }

    #[test]
    fn each_fault_is_named_with_its_line_and_key() {
        let one = |line: &str, said: &str| {
            let faults = read(&format!("    - {{{line}}}\n")).expect_err(line);
            assert!(faults.starts_with("4:") && faults.contains(said), "{line}: {faults}");
        };
        let head = "name: x, counts: sessions, of: all, kind: hard";
        one(&format!("{head}, limit: 20, least: 3"), "least: 3 for each of 10");
        one(&format!("{head}, limit: 0"), "limit: 0 is out of range");
        one(&format!("{head}, limit: 9, over: 0.1"), "over: a hard limit is never over");
        one(&format!("{head}, limit: 9, most: 1"), "most: unknown key");
        one(
            &format!("{head}, limit: 9, weights: [{{customer: dairy, weight: 1}}]"),
            "no customer is called 'dairy'",
        );
        one(
            "name: x, counts: sessions, of: customer, key: dairy, kind: hard, limit: 9",
            "key: no customer is called 'dairy'",
        );
        one(
            "name: x, counts: sessions, of: all, kind: soft, limit: 20, over: 0.1",
            "over: it lets none of 10 fronts grow",
        );
        one("name: a b, counts: sessions, of: all, kind: hard, limit: 20", "name: a name has");
        one("name: x, counts: seats, of: all, kind: hard, limit: 20", "counts");
        let short = config_reader::read("limits: {fronts: 3, ttl_ms: 300}", |top| {
            quotas(&top.section("limits"), DriftBound::default(), None)
        });
        assert!(short.expect_err("short").to_string().contains("limits.ttl_ms: 300 ms leave 300 ms"));
    }
}

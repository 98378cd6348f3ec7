//! The boxes and titles of a script.

use std::collections::BTreeSet;

use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::{FleetBox, TitleSpec};

pub(super) fn boxes(s: &Section<'_>, service: &Service) -> Vec<FleetBox> {
    let mut all = Vec::new();
    let racks = u64::from(service.settings.racks.max(1));
    for b in s.sections("boxes") {
        let count = b.integer("count", 1..=10_000).unwrap_or(1);
        b.index("zone", &service.zones, "zone");
        let kind = b.index("kind", &service.kinds, "kind").unwrap_or(0);
        let mut in_racks = b.integers("racks", 0..=racks - 1);
        if in_racks.is_empty() {
            in_racks = (0..racks).collect();
        }
        let made = FleetBox {
            rack: 0,
            zone: b.required_text("zone"),
            kind: service.kinds.get(kind).cloned().unwrap_or_default(),
            size: b.number("size", 0.001..=1e6).unwrap_or(1.0),
            link_kb: b.required_number("link_kb", 1.0..=1e9),
            streams: service.settings.max_streams_by_type.get(kind).map_or(1, |n| *n as usize),
            cores: b.integer("cores", 1..=1024).unwrap_or(2) as usize,
        };
        for n in 0..count {
            let rack = in_racks[(n % in_racks.len() as u64) as usize] as u16;
            all.push(FleetBox { rack, ..made.clone() });
        }
    }
    if all.is_empty() {
        s.report("boxes", "at least one box is needed");
    }
    all
}

pub(super) fn titles(
    sections: &[Section<'_>],
    service: &Service,
    boxes: u32,
    dice: &mut Dice,
) -> Vec<TitleSpec> {
    let mut all = Vec::new();
    for t in sections {
        let count = t.integer("count", 1..=100_000).unwrap_or(1);
        let name = t.required_text("name");
        let class = t.index("class", &service.classes, "class").unwrap_or(0);
        let holders = t.integer("holders", 0..=u64::from(boxes.max(1))).unwrap_or(3);
        let scale = service.settings.classes.get(class).map_or(1.0, |c| c.rate_scale);
        let rates_kb: Vec<f64> = service.settings.ladder.rates_kb.iter().map(|r| r * scale).collect();
        for n in 0..count {
            // Boxes in a row from a drawn one, as libraries are copied.
            let home = dice.number() % u64::from(boxes.max(1));
            let row = (0..holders).map(|k| ((home + k) % u64::from(boxes.max(1))) as u32 + 1);
            all.push(TitleSpec {
                name: if count == 1 { name.clone() } else { format!("{name}-{n}") },
                class: service.classes.get(class).cloned().unwrap_or_default(),
                rates_kb: rates_kb.clone(),
                holders: row.collect::<BTreeSet<u32>>(),
            });
        }
    }
    all
}

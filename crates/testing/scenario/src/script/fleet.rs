//! Media servers and titles of a script.

use std::collections::BTreeSet;

use beechloft_config::Service;
use beechloft_config_reader::Section;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::{FleetBox, TitleSpec};

/// Reads the media servers of the fleet section.
pub(super) fn media_servers(section: &Section<'_>, service: &Service) -> Vec<FleetBox> {
    let mut servers = Vec::new();
    let racks = u64::from(service.settings.racks.max(1));
    for group in section.sections("boxes") {
        let count = group.integer("count", 1..=10_000).unwrap_or(1);
        group.index("zone", &service.zones, "zone");
        let kind = group.index("kind", &service.kinds, "kind").unwrap_or(0);
        let mut in_racks = group.integers("racks", 0..=racks - 1);
        if in_racks.is_empty() {
            in_racks = (0..racks).collect();
        }
        let template = FleetBox {
            rack: 0,
            zone: group.required_text("zone"),
            kind: service.kinds.get(kind).cloned().unwrap_or_default(),
            size: group.number("size", 0.001..=1e6).unwrap_or(1.0),
            link_kb: group.required_number("link_kb", 1.0..=1e9),
            streams: service.settings.max_streams_by_type.get(kind).map_or(1, |n| *n as usize),
            cores: group.integer("cores", 1..=1024).unwrap_or(2) as usize,
        };
        for n in 0..count {
            let rack = in_racks[(n % in_racks.len() as u64) as usize] as u16;
            servers.push(FleetBox { rack, ..template.clone() });
        }
    }
    if servers.is_empty() {
        section.report("boxes", "at least one media server is needed");
    }
    servers
}

/// Reads the titles and draws the media servers that hold each.
pub(super) fn titles(
    sections: &[Section<'_>],
    service: &Service,
    server_count: u32,
    dice: &mut Dice,
) -> Vec<TitleSpec> {
    let mut titles = Vec::new();
    for section in sections {
        let count = section.integer("count", 1..=100_000).unwrap_or(1);
        let name = section.required_text("name");
        let class = section.index("class", &service.classes, "class").unwrap_or(0);
        let holders = section.integer("holders", 0..=u64::from(server_count.max(1))).unwrap_or(3);
        let scale = service.settings.classes.get(class).map_or(1.0, |class| class.rate_scale);
        let rates_kb: Vec<f64> = service.settings.ladder.rates_kb.iter().map(|rate| rate * scale).collect();
        for n in 0..count {
            // Titles are held by consecutive media servers from a random one on, as libraries are copied.
            let first = dice.number() % u64::from(server_count.max(1));
            let holder_ids =
                (0..holders).map(|offset| ((first + offset) % u64::from(server_count.max(1))) as u32 + 1);
            titles.push(TitleSpec {
                name: if count == 1 { name.clone() } else { format!("{name}-{n}") },
                class: service.classes.get(class).cloned().unwrap_or_default(),
                rates_kb: rates_kb.clone(),
                holders: holder_ids.collect::<BTreeSet<u32>>(),
            });
        }
    }
    titles
}

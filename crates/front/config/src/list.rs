//! A list written in the settings, for sites too small for a list service.

use std::collections::BTreeSet;

use beechloft::api::*;
use beechloft_config_reader::Section;
use beechloft_session::catalog::{MediaServerEntry, TitleEntry};

use crate::service::Service;

/// Reads `boxes` and `titles` of a section.
pub fn written(s: &Section<'_>, service: &Service) -> (Vec<MediaServerEntry>, Vec<TitleEntry>) {
    let mut boxes: Vec<MediaServerEntry> = Vec::new();
    for b in s.sections("boxes") {
        let line = box_line(&b, service);
        if boxes.iter().any(|known| known.id == line.id) {
            b.report("id", "a second box of this number");
        }
        boxes.push(line);
    }
    let mut titles: Vec<TitleEntry> = Vec::new();
    for t in s.sections("titles") {
        let line = title_line(&t, service, &boxes);
        if titles.iter().any(|known| known.name == line.name) {
            t.report("name", "a second title of this name");
        }
        titles.push(line);
    }
    (boxes, titles)
}

fn box_line(b: &Section<'_>, service: &Service) -> MediaServerEntry {
    let id = ServerId(b.required_integer("id", 0..=u64::from(u32::MAX)) as u32);
    let address: Option<std::net::SocketAddr> = b.address("address");
    if !b.has("address") {
        b.report("address", "missing");
    }
    let sip: Option<std::net::SocketAddr> = b.address("sip");
    let states = [("ready", EndpointState::Ready), ("draining", EndpointState::Draining)];
    let last = u64::from(service.settings.racks.saturating_sub(1));
    MediaServerEntry {
        id,
        name: b.text("name").unwrap_or_else(|| format!("box-{}", id.0)).into(),
        url: address.map_or_else(String::new, |a| a.to_string()).into(),
        sip: sip.map(|a| a.to_string().into()),
        state: b.choice("state", &states).unwrap_or(EndpointState::Ready),
        rack: b.integer("rack", 0..=last).unwrap_or(0) as u16,
        zone: ZoneId(b.index("zone", &service.zones, "zone").unwrap_or(0) as u16),
        kind: ServerType(b.index("kind", &service.kinds, "kind").unwrap_or(0) as u8),
        started: Micros(0),
        size: b.number("size", 0.0..=1e6).unwrap_or(1.0),
    }
}

fn title_line(t: &Section<'_>, service: &Service, boxes: &[MediaServerEntry]) -> TitleEntry {
    let mut holders = BTreeSet::new();
    for text in t.texts("holders") {
        match boxes.iter().find(|b| *b.name == *text || b.id.0.to_string() == text) {
            Some(known) => {
                holders.insert(known.id);
            }
            None => t.report("holders", format!("no box is called '{text}'")),
        }
    }
    TitleEntry {
        name: t.required_text("name").into(),
        class: ClassId(t.index("class", &service.classes, "class").unwrap_or(0) as u16),
        tenant: TenantId(t.index("tenant", &service.tenants, "tenant").unwrap_or(0) as u16),
        holders,
        length: t.number("length_s", 0.0..=1e7).map(Micros::from_secs),
    }
}

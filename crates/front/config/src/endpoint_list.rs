//! A static endpoint list in the settings, for sites that are too small for a list service.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechloft::api::{ClassId, EndpointState, Micros, ServerId, ServerType, TenantId, ZoneId};
use beechloft_config_reader::Section;
use beechloft_session::catalog::{MediaServerEntry, TitleEntry};

use crate::narrow::{narrow, narrow_index};
use crate::service::Service;

/// Reads the media servers and titles of a static list.
pub fn static_list(section: &Section<'_>, service: &Service) -> (Vec<MediaServerEntry>, Vec<TitleEntry>) {
    let mut servers: Vec<MediaServerEntry> = Vec::new();
    for server_section in section.sections("boxes") {
        let entry = media_server(&server_section, service);
        if servers.iter().any(|known| known.id == entry.id) {
            server_section.report("id", "another media server has the same id");
        }
        servers.push(entry);
    }
    let mut titles: Vec<TitleEntry> = Vec::new();
    for title_section in section.sections("titles") {
        let entry = title(&title_section, service, &servers);
        if titles.iter().any(|known| known.name == entry.name) {
            title_section.report("name", "another title has the same name");
        }
        titles.push(entry);
    }
    (servers, titles)
}

fn media_server(section: &Section<'_>, service: &Service) -> MediaServerEntry {
    let id = ServerId(narrow(section.required_integer("id", 0..=u64::from(u32::MAX))));
    let address: Option<SocketAddr> = section.address("address");
    if !section.has("address") {
        section.report("address", "missing");
    }
    let sip: Option<SocketAddr> = section.address("sip");
    let states = [("ready", EndpointState::Ready), ("draining", EndpointState::Draining)];
    let last_rack = u64::from(service.settings.racks.saturating_sub(1));
    let zone = section.index("zone", &service.zones, "zone").unwrap_or(0);
    let server_type = section.index("kind", &service.kinds, "kind").unwrap_or(0);
    MediaServerEntry {
        id,
        name: section.text("name").unwrap_or_else(|| format!("box-{}", id.0)).into(),
        url: address.map_or_else(String::new, |address| address.to_string()).into(),
        sip: sip.map(|sip_address| sip_address.to_string().into()),
        state: section.choice("state", &states).unwrap_or(EndpointState::Ready),
        rack: narrow(section.integer("rack", 0..=last_rack).unwrap_or(0)),
        zone: ZoneId(narrow_index(zone)),
        kind: ServerType(narrow_index(server_type)),
        started: Micros(0),
        size: section.number("size", 0.0..=1e6).unwrap_or(1.0),
    }
}

fn title(section: &Section<'_>, service: &Service, servers: &[MediaServerEntry]) -> TitleEntry {
    let mut holders = BTreeSet::new();
    for text in section.texts("holders") {
        let named = |server: &&MediaServerEntry| *server.name == *text || server.id.0.to_string() == text;
        match servers.iter().find(named) {
            Some(known) => {
                holders.insert(known.id);
            }
            None => section.report("holders", format!("no media server is called '{text}'")),
        }
    }
    let class = section.index("class", &service.classes, "class").unwrap_or(0);
    let tenant = section.index("tenant", &service.tenants, "tenant").unwrap_or(0);
    TitleEntry {
        name: section.required_text("name").into(),
        class: ClassId(narrow_index(class)),
        tenant: TenantId(narrow_index(tenant)),
        holders,
        length: section.number("length_s", 0.0..=1e7).map(Micros::from_secs),
    }
}

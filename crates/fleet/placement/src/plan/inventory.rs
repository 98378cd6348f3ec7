//! The inventory of media servers, racks and regions, and the resources that copies have reserved.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::protocol::names::{RackId, Region, ServerId, Zone};
use crate::protocol::request::Resources;

/// A media server as described by the operator.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerInfo {
    /// Zone of the media server.
    pub zone: Zone,
    /// Rack of the media server.
    pub rack: RackId,
    /// Total resources.
    #[serde(rename = "has")]
    pub total: Resources,
    /// Resources that are reserved for purposes other than pinned shards.
    #[serde(default, rename = "held")]
    pub reserved: Resources,
}

/// The uplink of a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackInfo {
    /// Rate of the uplink, in kB per second.
    pub uplink_kb_s: u64,
    /// Rate that is reserved for purposes other than pinned shards, in kB per second.
    #[serde(default, rename = "held_kb_s")]
    pub reserved_kb_s: u64,
}

/// Media servers, racks and regions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Inventory {
    /// Media servers.
    pub servers: BTreeMap<ServerId, ServerInfo>,
    /// Racks.
    pub racks: BTreeMap<RackId, RackInfo>,
    /// Regions: sets of zones, which may overlap.
    pub regions: BTreeMap<Region, BTreeSet<Zone>>,
}

/// The resources that admitted requests have reserved. They are reserved at admission, and released once the copy is
/// known to be deleted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Usage {
    servers: BTreeMap<ServerId, Resources>,
    uplinks: BTreeMap<RackId, u64>,
}

impl Usage {
    /// Reserves the resources of a copy. `rack` is the rack of the media server at that time, and is passed again on
    /// release.
    pub fn reserve(&mut self, id: ServerId, rack: RackId, resources: Resources) {
        let reserved = self.servers.entry(id).or_default();
        *reserved = reserved.saturating_add(resources);
        *self.uplinks.entry(rack).or_default() += resources.kb_s;
    }

    /// Releases the resources of a copy.
    pub fn release(&mut self, id: ServerId, rack: RackId, resources: Resources) {
        if let Some(reserved) = self.servers.get_mut(&id) {
            *reserved = reserved.saturating_sub(resources);
            if *reserved == Resources::default() {
                self.servers.remove(&id);
            }
        }
        if let Some(reserved) = self.uplinks.get_mut(&rack) {
            *reserved = reserved.saturating_sub(resources.kb_s);
            if *reserved == 0 {
                self.uplinks.remove(&rack);
            }
        }
    }

    /// Returns the reserved resources of a media server.
    pub fn of_server(&self, id: ServerId) -> Resources {
        self.servers.get(&id).copied().unwrap_or_default()
    }

    /// Returns the reserved rate of a rack's uplink, in kB per second.
    pub fn of_uplink(&self, rack: RackId) -> u64 {
        self.uplinks.get(&rack).copied().unwrap_or_default()
    }
}

//! The allowed media servers of titles as the front's core knows them.
//!
//! The core passes only the allowed media servers to the decision module, and checks again before each further
//! attempt. Its driver therefore calls this module before each client request and before each input of the core, so
//! that an expired lease removes all media servers at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{AllowedServers, View};
use crate::protocol::names::{Customer, ServerId};

/// A title and the media servers that may serve it from now on, or `None` if it is not pinned.
pub type Change = (Arc<str>, Option<Arc<BTreeSet<ServerId>>>);

#[derive(Debug, Clone)]
struct KnownTitle {
    customer: Customer,
    servers: Option<Arc<BTreeSet<ServerId>>>,
}

/// The allowed media servers that the core knows. It has an entry for each requested title, whose number is bounded by
/// that of the endpoint list.
#[derive(Debug, Clone, Default)]
pub struct ServerFilter {
    known: BTreeMap<Arc<str>, KnownTitle>,
    /// The view's count of records and whether it had a lease, at the last full comparison.
    last_compared: Option<(u64, bool)>,
}

impl ServerFilter {
    /// Returns a change for a title that a client requests, if the allowed media servers differ from those that the
    /// core knows. `usable` returns whether a media server can be used: a shard with a home region is served elsewhere
    /// only while no media server there is usable.
    pub fn request_title(
        &mut self,
        view: &View,
        now: Duration,
        customer: &str,
        title: &str,
        usable: impl Fn(ServerId) -> bool,
    ) -> Option<Change> {
        let customer_name = Customer::try_from(customer).ok().filter(|c| view.may_be_pinned(c))?;
        let servers = servers(view.allowed_servers(now, customer, title), usable);
        let known = self.known.get(title);
        if known.is_some_and(|t| t.servers == servers && t.customer == customer_name)
            || known.is_none() && servers.is_none()
        {
            return None;
        }
        let title: Arc<str> = title.into();
        self.known.insert(title.clone(), KnownTitle { customer: customer_name, servers: servers.clone() });
        Some((title, servers))
    }

    /// Returns the changes for all titles that were requested before. Costs nothing unless the view or the lease has
    /// changed.
    pub fn changes(&mut self, view: &View, now: Duration, usable: impl Fn(ServerId) -> bool) -> Vec<Change> {
        let current = Some((view.update_count(), view.has_lease(now)));
        if self.last_compared == current {
            return Vec::new();
        }
        self.last_compared = current;
        let mut changes = Vec::new();
        for (title, known) in &mut self.known {
            let servers = servers(view.allowed_servers(now, known.customer.as_str(), title), &usable);
            if servers != known.servers {
                known.servers = servers.clone();
                changes.push((title.clone(), servers));
            }
        }
        changes
    }
}

fn servers(allowed: AllowedServers, usable: impl Fn(ServerId) -> bool) -> Option<Arc<BTreeSet<ServerId>>> {
    match allowed {
        AllowedServers::Unpinned => None,
        AllowedServers::Refused(_) => Some(Arc::default()),
        AllowedServers::Servers { all, home, .. } => {
            Some(Arc::new(if home.iter().any(|id| usable(*id)) { home } else { all }))
        }
    }
}

//! What a front's core is told of a title: the boxes that it may be played by, whenever they are others than it was told before.
//!
//! The core offers the decision module only those, and looks again before each further attempt. So whoever drives it asks here before
//! each request of a client's, and before each input of the core: a right that has run out takes all boxes away at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{Offer, View};
use crate::words::names::{BoxId, Customer};

/// The boxes that a title may be played by from now on; none: it is not pinned.
pub type Change = (Arc<str>, Option<Arc<BTreeSet<BoxId>>>);

#[derive(Debug, Clone)]
struct Told {
    customer: Customer,
    boxes: Option<Arc<BTreeSet<BoxId>>>,
}

/// What the core was told. It holds titles that were asked for, of which there are as many as the list has at most.
#[derive(Debug, Clone, Default)]
pub struct Narrower {
    told: BTreeMap<Arc<str>, Told>,
    /// The view's last record and right when all of it was looked at last.
    looked: Option<(u64, bool)>,
}

impl Narrower {
    /// A client asks for a title of the list, and its customer. `usable` says which boxes can be used: a shard that is played at home
    /// first is played elsewhere only while none there can.
    pub fn asked(
        &mut self,
        view: &View,
        now: Duration,
        customer: &str,
        title: &str,
        usable: impl Fn(BoxId) -> bool,
    ) -> Option<Change> {
        let whose = Customer::try_from(customer).ok().filter(|c| view.concerns(c))?;
        let boxes = boxes(view.offer(now, customer, title), usable);
        let told = self.told.get(title);
        if told.is_some_and(|t| t.boxes == boxes && t.customer == whose) || told.is_none() && boxes.is_none()
        {
            return None;
        }
        let title: Arc<str> = title.into();
        self.told.insert(title.clone(), Told { customer: whose, boxes: boxes.clone() });
        Some((title, boxes))
    }

    /// What has changed of titles that were asked for: new records, or the right is had or lost. It costs nothing where neither is so.
    pub fn changes(&mut self, view: &View, now: Duration, usable: impl Fn(BoxId) -> bool) -> Vec<Change> {
        let is = Some((view.taken(), view.has_right(now)));
        if self.looked == is {
            return Vec::new();
        }
        self.looked = is;
        let mut changes = Vec::new();
        for (title, told) in &mut self.told {
            let boxes = boxes(view.offer(now, told.customer.as_str(), title), &usable);
            if boxes != told.boxes {
                told.boxes = boxes.clone();
                changes.push((title.clone(), boxes));
            }
        }
        changes
    }
}

fn boxes(offer: Offer, usable: impl Fn(BoxId) -> bool) -> Option<Arc<BTreeSet<BoxId>>> {
    match offer {
        Offer::Free => None,
        Offer::Refuse(_) => Some(Arc::default()),
        Offer::Boxes { all, home, .. } => {
            Some(Arc::new(if home.iter().any(|id| usable(*id)) { home } else { all }))
        }
    }
}

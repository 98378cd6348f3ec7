//! A front as a witness of its boxes: what its attempts showed goes to the fleet's evidence, and what the fleet holds of boxes narrows what
//! its module is offered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use beechloft_coordinator::{Noted, OutlierDetector};
use beechloft_outlier_detection::{Outcome, ServerInstance, ServerLocation, title_key};
use beechloft_server::evidence::{Evidence, Observer, Verdict};
use beechloft_session::api::{EndpointState, Micros, ServerId};
use beechloft_session::catalog::Catalog;
use beechloft_session::holder_filter::{Exclusion, Exclusions, HolderFilter};

/// Between a front's core and the fleet's evidence.
pub struct OutlierObserver {
    verdicts: Arc<OutlierDetector>,
    seen: u64,
    titles: BTreeMap<u32, Arc<str>>,
}

impl OutlierObserver {
    pub fn new(verdicts: Arc<OutlierDetector>) -> OutlierObserver {
        OutlierObserver { verdicts, seen: 0, titles: BTreeMap::new() }
    }
}

impl Observer for OutlierObserver {
    fn endpoints_changed(&mut self, catalog: &Catalog) {
        let listed = catalog.servers().filter(|b| b.state != EndpointState::Removed);
        let place = |zone, size: f64| ServerLocation { zone, capacity: if size > 0.0 { size } else { 1.0 } };
        self.verdicts.list(listed.map(|b| (b.id.0, place(b.zone.0, b.size))).collect());
        // Names change seldom, and there may be many.
        if catalog.titles().count() == self.titles.len() {
            return;
        }
        self.titles = catalog.titles().map(|name| (title_key(name), name.clone())).collect();
    }

    fn connected(&mut self, server: ServerId, boot: u64) {
        self.verdicts.life(server.0, boot);
    }

    fn attempt_ended(&mut self, evidence: Evidence, now: Micros) {
        let outcome = match evidence.verdict {
            Verdict::Accepted(took) if Duration::from_micros(took.0) > self.verdicts.slow() => Outcome::Slow,
            Verdict::Accepted(_) => Outcome::Success,
            Verdict::Error => Outcome::Error,
            Verdict::Timeout => Outcome::Timeout,
            Verdict::Declined => Outcome::Declined,
        };
        let ago = Duration::from_micros((now - evidence.sent_at).0);
        self.verdicts.tried(Noted {
            server: evidence.server.0,
            title: title_key(&evidence.title),
            outcome,
            ago,
        });
    }

    fn holder_filter(&mut self) -> Option<HolderFilter> {
        let (version, outlook) = self.verdicts.outlook(self.seen)?;
        self.seen = version;
        let exclusion = |key: &ServerInstance, admitted_per_mille| Exclusion {
            server: ServerId(key.server),
            admitted_per_mille,
        };
        let mut titles: BTreeMap<Arc<str>, Vec<Exclusion>> = BTreeMap::new();
        for excluded in &outlook.excluded_titles {
            if let Some(name) = self.titles.get(&excluded.title) {
                titles.entry(name.clone()).or_default().push(exclusion(&excluded.instance, 0));
            }
        }
        let servers =
            outlook.exclusions.iter().map(|s| exclusion(&s.instance, s.admitted_per_mille)).collect();
        Some(HolderFilter::Exclude(Exclusions {
            servers,
            titles,
            max_excluded_per_mille: self.verdicts.part(),
        }))
    }
}

//! Connects a front to outlier detection: the results of its attempts go to the detector, and the media servers that the detector
//! ejects are excluded from what the front chooses from.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use beechloft_coordinator::{AttemptReport, OutlierDetector};
use beechloft_outlier_detection::{Outcome, ServerInstance, ServerLocation, title_key};
use beechloft_server::evidence::{AttemptOutcome, Evidence, Observer};
use beechloft_session::api::{EndpointState, Micros, ServerId};
use beechloft_session::catalog::Catalog;
use beechloft_session::holder_filter::{Exclusion, Exclusions, HolderFilter};

/// Connects a front's controller to the outlier detector.
pub struct OutlierObserver {
    detector: Arc<OutlierDetector>,
    /// Version of the result that was read last.
    seen_version: u64,
    /// Names of titles by their keys.
    titles: BTreeMap<u32, Arc<str>>,
}

impl OutlierObserver {
    /// An observer that has reported nothing yet.
    pub fn new(detector: Arc<OutlierDetector>) -> OutlierObserver {
        OutlierObserver { detector, seen_version: 0, titles: BTreeMap::new() }
    }
}

impl Observer for OutlierObserver {
    fn endpoints_changed(&mut self, catalog: &Catalog) {
        let listed = catalog.servers().filter(|b| b.state != EndpointState::Removed);
        let place = |zone, size: f64| ServerLocation { zone, capacity: if size > 0.0 { size } else { 1.0 } };
        self.detector.set_servers(listed.map(|b| (b.id.0, place(b.zone.0, b.size))).collect());
        // Names change seldom, and there may be many.
        if catalog.titles().count() == self.titles.len() {
            return;
        }
        self.titles = catalog.titles().map(|name| (title_key(name), name.clone())).collect();
    }

    fn connected(&mut self, server: ServerId, boot: u64) {
        self.detector.server_booted(server.0, boot);
    }

    fn attempt_ended(&mut self, evidence: Evidence, now: Micros) {
        let outcome = match evidence.outcome {
            AttemptOutcome::Accepted(took)
                if Duration::from_micros(took.0) > self.detector.slow_threshold() =>
            {
                Outcome::Slow
            }
            AttemptOutcome::Accepted(_) => Outcome::Success,
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Timeout => Outcome::Timeout,
            AttemptOutcome::Declined => Outcome::Declined,
        };
        let age = Duration::from_micros((now - evidence.sent_at).0);
        self.detector.attempt_ended(AttemptReport {
            server: evidence.server.0,
            title: title_key(&evidence.title),
            outcome,
            age,
        });
    }

    fn holder_filter(&mut self) -> Option<HolderFilter> {
        let (version, outlook) = self.detector.evaluation_since(self.seen_version)?;
        self.seen_version = version;
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
            max_excluded_per_mille: self.detector.max_ejected_per_mille(),
        }))
    }
}

//! Connects a front to outlier detection: results of attempts go to the detector, and media servers that the detector ejects are
//! excluded from the candidates that the front chooses from.

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
    /// Version of the evaluation that was read last.
    seen_version: u64,
    /// Title names by key.
    titles: BTreeMap<u32, Arc<str>>,
}

impl OutlierObserver {
    /// Creates an observer that has reported nothing yet.
    pub fn new(detector: Arc<OutlierDetector>) -> OutlierObserver {
        OutlierObserver { detector, seen_version: 0, titles: BTreeMap::new() }
    }
}

impl Observer for OutlierObserver {
    fn endpoints_changed(&mut self, catalog: &Catalog) {
        let listed = catalog.servers().filter(|server| server.state != EndpointState::Removed);
        let location =
            |zone, size: f64| ServerLocation { zone, capacity: if size > 0.0 { size } else { 1.0 } };
        self.detector
            .set_servers(listed.map(|server| (server.id.0, location(server.zone.0, server.size))).collect());
        // The list of names is rebuilt only when its length changes: names change rarely, and there may be many.
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
            AttemptOutcome::Accepted(duration)
                if Duration::from_micros(duration.0) > self.detector.slow_threshold() =>
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
        let (version, evaluation) = self.detector.evaluation_since(self.seen_version)?;
        self.seen_version = version;
        let exclusion = |key: &ServerInstance, admitted_per_mille| Exclusion {
            server: ServerId(key.server),
            admitted_per_mille,
        };
        let mut titles: BTreeMap<Arc<str>, Vec<Exclusion>> = BTreeMap::new();
        for excluded in &evaluation.excluded_titles {
            if let Some(name) = self.titles.get(&excluded.title) {
                titles.entry(name.clone()).or_default().push(exclusion(&excluded.instance, 0));
            }
        }
        let servers = evaluation
            .exclusions
            .iter()
            .map(|excluded| exclusion(&excluded.instance, excluded.admitted_per_mille))
            .collect();
        Some(HolderFilter::Exclude(Exclusions {
            servers,
            titles,
            max_excluded_per_mille: self.detector.max_ejected_per_mille(),
        }))
    }
}

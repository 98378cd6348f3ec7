//! `overload`: callers at more than a front's rate, with overload control and without, in the same run.

use std::collections::BTreeMap;
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use beechloft_checker::Recorder;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::trunk::{Plan, Tally, Trunk};
use beechloft_server::Front;

use crate::{demo, fail, log};

/// Boxes of the fleet; all hold all titles, so that the front is the limit and not the module's caution with each.
const BOXES: u32 = 40;
/// Trunks that share the calls.
const TRUNKS: u64 = 2;
/// How long a call stands.
const HOLDS: Duration = Duration::from_millis(500);

/// Measures and prints. `rate`: the front's own rate in calls a second, where it is known; none: it is looked for.
pub fn overload(rate: Option<f64>, times: f64, seconds: u64) -> ExitCode {
    match run(rate, times, Duration::from_secs(seconds)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

/// How the trunks take part.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    /// They know nothing of overload control.
    Plain,
    /// The same, and the front has no control.
    Without,
    /// They claim it and do what they are told.
    Obeys,
    /// They claim it and do nothing.
    Cheats,
}

fn run(rate: Option<f64>, times: f64, lasts: Duration) -> io::Result<()> {
    println!("simulated servers on {} cores", thread::available_parallelism().map_or(0, |n| n.get()));
    let own = match rate {
        Some(rate) => rate,
        None => find()?,
    };
    println!(
        "the front's own rate: {own:.0} calls a second; now {times} times as many, {} s each:",
        lasts.as_secs()
    );
    for manner in [Manner::Without, Manner::Plain, Manner::Obeys, Manner::Cheats] {
        let tally = load(own * times, lasts, manner)?;
        print(&format!("{manner:?}"), &tally, lasts);
    }
    Ok(())
}

/// The highest of rising rates at which all calls are taken.
fn find() -> io::Result<f64> {
    let (mut rate, mut held) = (400.0, 0.0);
    loop {
        let lasts = Duration::from_secs(3);
        let tally = load(rate, lasts, Manner::Without)?;
        print(&format!("{rate:.0} a second"), &tally, lasts);
        if (tally.accepted as f64) < 0.99 * tally.wanted as f64
            || tally.accepted_us.value_at_quantile(0.5) > 200_000
        {
            return Ok(held);
        }
        held = rate;
        rate *= 1.25;
    }
}

fn load(rate: f64, lasts: Duration, manner: Manner) -> io::Result<Tally> {
    let (link, streams) = (1e9, 1_000_000);
    let mut spec = demo::fleet(BOXES, link, streams, 1024, Duration::ZERO);
    for title in &mut spec.titles {
        title.holders = (1..=BOXES).collect();
    }
    let fleet = Fleet::start(&spec, &Recorder::default())?;
    let mut settings = demo::settings(&fleet.list.url(), link, streams, "error").map_err(io::Error::other)?;
    settings.sip = Some(([127, 0, 0, 1], 0).into());
    settings.sip_control = manner != Manner::Without;
    log::start(&settings.log);
    let front = Front::start(settings, None)?;
    if !demo::wait_for(&front, BOXES as usize) {
        return Err(io::Error::other("the list did not come"));
    }
    let address = front.sip_address().ok_or_else(|| io::Error::other("SIP is not up"))?;
    let run = |n: u64| {
        let plan = Plan {
            front: address,
            number: 0,
            titles: spec.titles.iter().map(|t| t.name.clone()).collect(),
            rate: rate / TRUNKS as f64,
            lasts,
            holds: HOLDS,
            patience: Duration::from_secs(4),
            obeys: manner == Manner::Obeys,
            claims: matches!(manner, Manner::Obeys | Manner::Cheats),
            returns: false,
            seed: n + 1,
        };
        thread::Builder::new().name("trunk".into()).spawn(move || Trunk::new(plan, None)?.run())
    };
    let trunks: Vec<_> = (0..TRUNKS).map(run).collect::<io::Result<_>>()?;
    let mut all: Option<Tally> = None;
    for trunk in trunks {
        let tally = trunk.join().map_err(|_| io::Error::other("a trunk ended"))??;
        all = Some(match all.take() {
            None => tally,
            Some(sum) => sum.with(&tally),
        });
    }
    front.stop(Duration::from_secs(6));
    all.ok_or_else(|| io::Error::other("no trunk"))
}

fn print(name: &str, t: &Tally, lasts: Duration) {
    let ms = |h: &hdrhistogram::Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
    let refused: BTreeMap<_, _> = t.refused.iter().collect();
    println!(
        "  {name}: {} wanted, {} kept back, {} accepted ({:.0} a second, {:.0} of them within 800 ms; p50 {:.1} ms, p99 {:.1} ms), refused {refused:?} \
         (p99 {:.1} ms), {} late, {} not taken, {} answered twice, {} INVITEs repeated, spared {:?}",
        t.wanted,
        t.kept_back,
        t.accepted,
        t.accepted as f64 / lasts.as_secs_f64(),
        t.accepted_us.count_between(0, 800_000) as f64 / lasts.as_secs_f64(),
        ms(&t.accepted_us, 0.5),
        ms(&t.accepted_us, 0.99),
        ms(&t.refused_us, 0.99),
        t.timed_out,
        t.not_taken,
        t.twice,
        t.repeated,
        t.spared,
    );
}

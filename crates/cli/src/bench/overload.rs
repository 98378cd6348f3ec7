//! The command `overload`: offers a front more calls than it can handle, with and without overload control, in the same run.

use std::collections::BTreeMap;
use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use beechloft_checker::Recorder;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::trunk::{Plan, Tally, Trunk};
use beechloft_server::Front;

use crate::serve::STOP_TIMEOUT;
use crate::{demo, fail, log};

/// Number of media servers. Each holds all titles, so that the front is the bottleneck and not its limit on concurrent set-ups
/// to one media server.
const MEDIA_SERVERS: u32 = 40;
/// Number of trunks that share the calls.
const TRUNKS: u64 = 2;
/// Duration of a call.
const CALL_DURATION: Duration = Duration::from_millis(500);

/// Runs the benchmark and prints the results. `rate` is the front's capacity in calls per second. The capacity is measured if it
/// is `None`.
pub fn overload(rate: Option<f64>, times: f64, seconds: u64) -> ExitCode {
    match run(rate, times, Duration::from_secs(seconds)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

/// Use of overload control by the front and the trunks.
#[derive(Clone, Copy, PartialEq)]
enum ControlMode {
    /// The front has overload control, and the trunks don't support it.
    UnsupportedByTrunks,
    /// The front has no overload control, and the trunks don't support it.
    Disabled,
    /// The trunks announce support and obey the front's rate limits.
    Obeyed,
    /// The trunks announce support and ignore the front's rate limits.
    Ignored,
}

impl ControlMode {
    /// Name of the mode in the output.
    fn label(self) -> &'static str {
        match self {
            ControlMode::UnsupportedByTrunks => "Plain",
            ControlMode::Disabled => "Without",
            ControlMode::Obeyed => "Obeys",
            ControlMode::Ignored => "Cheats",
        }
    }
}

fn run(rate: Option<f64>, times: f64, duration: Duration) -> io::Result<()> {
    println!("simulated servers on {} cores", thread::available_parallelism().map_or(0, |n| n.get()));
    let capacity = match rate {
        Some(rate) => rate,
        None => find_capacity()?,
    };
    println!(
        "the front's own rate: {capacity:.0} calls a second; now {times} times as many, {} s each:",
        duration.as_secs()
    );
    for mode in
        [ControlMode::Disabled, ControlMode::UnsupportedByTrunks, ControlMode::Obeyed, ControlMode::Ignored]
    {
        let tally = run_load(capacity * times, duration, mode)?;
        print(mode.label(), &tally, duration);
    }
    Ok(())
}

/// Raises the offered rate until calls fail or slow down. Returns the highest rate that the front handled, in calls per second.
fn find_capacity() -> io::Result<f64> {
    let (mut rate, mut handled_rate) = (400.0, 0.0);
    loop {
        let duration = Duration::from_secs(3);
        let tally = run_load(rate, duration, ControlMode::Disabled)?;
        print(&format!("{rate:.0} a second"), &tally, duration);
        if (tally.accepted as f64) < 0.99 * tally.wanted as f64
            || tally.accepted_us.value_at_quantile(0.5) > 200_000
        {
            return Ok(handled_rate);
        }
        handled_rate = rate;
        rate *= 1.25;
    }
}

/// Offers calls at the given rate to a new front and returns the sum over all trunks.
fn run_load(rate: f64, duration: Duration, mode: ControlMode) -> io::Result<Tally> {
    let (link, streams) = (1e9, 1_000_000);
    let mut spec = demo::fleet(MEDIA_SERVERS, link, streams, 1024, Duration::ZERO);
    for title in &mut spec.titles {
        title.holders = (1..=MEDIA_SERVERS).collect();
    }
    let fleet = Fleet::start(&spec, &Recorder::default())?;
    let mut settings = demo::settings(&fleet.list.url(), link, streams, "error").map_err(io::Error::other)?;
    settings.sip = Some(([127, 0, 0, 1], 0).into());
    settings.sip_control = mode != ControlMode::Disabled;
    log::start(&settings.log);
    let front = Front::start(settings, None)?;
    if !demo::wait_for_endpoints(&front, MEDIA_SERVERS as usize) {
        return Err(io::Error::other("no endpoint list received within 10 s"));
    }
    let address = front.sip_address().ok_or_else(|| io::Error::other("the front has no SIP address"))?;
    let start_trunk = |index: u64| {
        let plan = Plan {
            front: address,
            number: 0,
            titles: spec.titles.iter().map(|title| title.name.clone()).collect(),
            rate: rate / TRUNKS as f64,
            lasts: duration,
            holds: CALL_DURATION,
            patience: Duration::from_secs(4),
            obeys: mode == ControlMode::Obeyed,
            claims: matches!(mode, ControlMode::Obeyed | ControlMode::Ignored),
            returns: false,
            seed: index + 1,
        };
        thread::Builder::new().name("trunk".into()).spawn(move || Trunk::new(plan, None)?.run())
    };
    let trunks: Vec<_> = (0..TRUNKS).map(start_trunk).collect::<io::Result<_>>()?;
    let mut total: Option<Tally> = None;
    for trunk in trunks {
        let tally = trunk.join().map_err(|_| io::Error::other("a trunk's thread panicked"))??;
        total = Some(match total.take() {
            None => tally,
            Some(sum) => sum.with(&tally),
        });
    }
    front.stop(STOP_TIMEOUT);
    total.ok_or_else(|| io::Error::other("no trunks"))
}

fn print(name: &str, tally: &Tally, duration: Duration) {
    let ms = |histogram: &hdrhistogram::Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    };
    let refused: BTreeMap<_, _> = tally.refused.iter().collect();
    println!(
        "  {name}: {} wanted, {} kept back, {} accepted ({:.0} a second, {:.0} of them within 800 ms; p50 {:.1} ms, p99 {:.1} ms), refused {refused:?} \
         (p99 {:.1} ms), {} late, {} not taken, {} answered twice, {} INVITEs repeated, spared {:?}",
        tally.wanted,
        tally.kept_back,
        tally.accepted,
        tally.accepted as f64 / duration.as_secs_f64(),
        tally.accepted_us.count_between(0, 800_000) as f64 / duration.as_secs_f64(),
        ms(&tally.accepted_us, 0.5),
        ms(&tally.accepted_us, 0.99),
        ms(&tally.refused_us, 0.99),
        tally.timed_out,
        tally.not_taken,
        tally.twice,
        tally.repeated,
        tally.spared,
    );
}

//! A day from start to end.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, Report, Seen, check};
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::Fleet;
use thiserror::Error;

use crate::crowd::{CrowdRun, Reach};
use crate::fronts::{FrontProcess, Place};
use crate::keepers::Keepers;
use crate::script::{Day, Timed, Trouble};

/// How long boxes may take to free what nobody plays, after the last player has left. A call whose answer was never
/// acknowledged is hung up after 32 s.
const SETTLES_WITHIN: Duration = Duration::from_secs(60);

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum DayError {
    /// A socket, file or process.
    #[error("the day can't be run: {0}")]
    Io(#[from] io::Error),
    /// A front did not end when asked.
    #[error("front {0} did not end well when it was asked to stop")]
    Stop(usize),
}

/// What is to be done at a time of the day.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Begin(usize),
    End(usize),
    Drain(u32),
    Flap,
}

/// Runs a day with this program as its fronts; what was seen, and what the check comes to.
pub fn run(
    day: &Day,
    program: &Path,
    seed: u64,
    folder: Option<&Path>,
) -> Result<(Vec<Seen>, Report), DayError> {
    let temporary = tempfile::tempdir()?;
    let folder = folder.unwrap_or(temporary.path());
    std::fs::create_dir_all(folder)?;
    let recorder = Recorder::default();
    let fleet = Fleet::start(&day.fleet, &recorder)?;
    let started = |spec| Keepers::start(spec, day.fronts.len(), program, folder, &recorder);
    let mut keepers = day.keepers.as_ref().map(started).transpose()?;
    let (mut fronts, url) = (Vec::new(), fleet.list.url());
    for number in 0..day.fronts.len() as u32 {
        let section = keepers.as_ref().map(|k| k.of_front(number as usize));
        let place = Place { list: &url, program, folder, seed, recorder: &recorder };
        let mut front = FrontProcess::new(day, number, &place, section)?;
        front.start()?;
        fronts.push(front);
    }
    let addresses = fronts
        .iter()
        .zip(&day.fronts)
        .map(|(f, spec)| Reach { http: f.address(), sip: f.sip(), zone: spec.zone.clone() })
        .collect();
    let mut crowd = CrowdRun::new(day, addresses, seed, recorder.clone())?;
    let mut plan = plan(day);
    let mut failed = None;
    let mut told = BTreeSet::new();
    crowd.run(|now| {
        let went_on =
            keepers.as_mut().map_or(Ok(()), Keepers::look).and_then(|()| again(&mut told, &mut fronts));
        if let Err(e) = went_on {
            failed.get_or_insert(e);
        }
        while plan.first_key_value().is_some_and(|(at, _)| at.0 <= now) {
            let Some((_, step)) = plan.pop_first() else { break };
            if let Err(e) = take(&step, day, &fleet, &mut fronts, (&mut keepers, &mut told)) {
                failed.get_or_insert(e);
            }
        }
    });
    // What is still to end, ends now.
    for (_, step) in plan {
        if matches!(step, Step::End(_)) {
            take(&step, day, &fleet, &mut fronts, (&mut keepers, &mut told))?;
        }
    }
    // Those that wait for their turn yet.
    let until = Instant::now() + SETTLES_WITHIN;
    while !told.is_empty() && Instant::now() < until {
        again(&mut told, &mut fronts)?;
        thread::sleep(Duration::from_millis(20));
    }
    keepers.iter_mut().for_each(Keepers::end_acts);
    let topic = keepers.as_mut().and_then(Keepers::end_topic);
    if let Some(e) = failed {
        return Err(e.into());
    }
    let until = Instant::now() + SETTLES_WITHIN;
    while fleet.sessions() > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    for (n, front) in fronts.iter_mut().enumerate() {
        if !front.stop() {
            return Err(DayError::Stop(n));
        }
    }
    let trace = recorder.trace();
    let mut report = check(&trace, &day.rules);
    if let Some(verdict) = topic {
        report.topic(&verdict);
    }
    Ok((trace, report))
}

/// All steps by time; the number keeps those of one time in order.
fn plan(day: &Day) -> BTreeMap<(Duration, usize), Step> {
    let mut plan = BTreeMap::new();
    let mut count = 0;
    let mut add = |at: Duration, step| {
        count += 1;
        plan.insert((at, count), step);
    };
    for (n, Timed { at, lasts, trouble }) in day.troubles.iter().enumerate() {
        add(*at, Step::Begin(n));
        match trouble {
            // One after the other, over the first half of its time.
            Trouble::Drain(boxes) => {
                for (k, id) in boxes.iter().enumerate() {
                    add(*at + lasts.mul_f64(0.5 * k as f64 / boxes.len() as f64), Step::Drain(*id));
                }
            }
            Trouble::ListFlaps(per_s) => {
                for k in 0..(lasts.as_secs_f64() * per_s) as u32 {
                    add(*at + Duration::from_secs_f64(f64::from(k) / per_s), Step::Flap);
                }
            }
            _ => {}
        }
        add(*at + *lasts, Step::End(n));
    }
    plan
}

/// Starts those again that were told to restart and have ended.
fn again(told: &mut BTreeSet<u32>, fronts: &mut [FrontProcess]) -> io::Result<()> {
    for n in told.clone() {
        match fronts[n as usize].ended() {
            Some(true) => {
                told.remove(&n);
                fronts[n as usize].start()?;
            }
            Some(false) => return Err(io::Error::other(format!("front {n} did not end well"))),
            None => {}
        }
    }
    Ok(())
}

fn take(
    step: &Step,
    day: &Day,
    fleet: &Fleet,
    fronts: &mut [FrontProcess],
    (keepers, told): (&mut Option<Keepers>, &mut BTreeSet<u32>),
) -> io::Result<()> {
    let (n, begins) = match step {
        Step::Drain(id) => {
            fleet.list_as(*id, "draining");
            return Ok(());
        }
        Step::Flap => {
            fleet.list.flap();
            return Ok(());
        }
        Step::Begin(n) => (*n, true),
        Step::End(n) => (*n, false),
    };
    match &day.troubles[n].trouble {
        Trouble::Boxes(boxes, fault) => {
            for id in boxes {
                if begins { fleet.fault(*id, *fault) } else { fleet.mend(*id) }
            }
        }
        Trouble::Drain(boxes) if !begins => boxes.iter().for_each(|id| fleet.list_as(*id, "ready")),
        Trouble::Drain(_) | Trouble::ListFlaps(_) => {}
        Trouble::ListLags(lag) => fleet.list.lag(if begins { *lag } else { Duration::ZERO }),
        Trouble::ListDown => fleet.list.reach(!begins),
        Trouble::Uplink(rack, left) => fleet.racks().leave(*rack, if begins { *left } else { 1.0 }),
        Trouble::KillFront(front) => {
            if begins {
                fronts[*front as usize].kill();
            } else {
                fronts[*front as usize].start()?;
            }
        }
        Trouble::RestartFronts(which) if begins => {
            for front in which {
                fronts[*front as usize].tell();
                told.insert(*front);
            }
        }
        Trouble::RestartFronts(_) => {}
        Trouble::Between(between) => match keepers {
            Some(keepers) if begins => keepers.begin(n, between)?,
            Some(keepers) => keepers.end(n, between)?,
            None => {}
        },
        Trouble::ZoneLost(zone, with_fronts) => {
            for (id, b) in (1..).zip(&day.fleet.boxes) {
                if b.zone == *zone {
                    if begins { fleet.fault(id, Fault::Die) } else { fleet.mend(id) }
                }
            }
            if *with_fronts {
                for (front, _) in fronts.iter_mut().zip(&day.fronts).filter(|f| f.1.zone == *zone) {
                    if begins { front.kill() } else { front.start()? }
                }
            }
        }
    }
    Ok(())
}

//! Run of a day from start to end.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::{Recorder, Report, Seen, check};
use beechloft_fakes::fault::Fault;
use beechloft_fakes::fleet::Fleet;
use thiserror::Error;

use crate::coordinator::Coordinator;
use crate::fronts::{FrontEnvironment, FrontProcess};
use crate::players::{FrontAddresses, PlayerSimulation};
use crate::script::{Day, Disruption, TimedDisruption};

/// Time within which media servers must free the sessions that nobody plays after the last player has left.
///
/// A call whose answer was never acknowledged is hung up after 32 s.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Error that prevents the run of a day.
#[derive(Debug, Error)]
pub enum DayError {
    /// A socket, file or process failed.
    #[error("the day can't be run: {0}")]
    Io(#[from] io::Error),
    /// A front did not exit with success after a request to stop.
    #[error("front {0} did not exit with success after a request to stop")]
    Stop(usize),
}

/// Scheduled action of a day. `Begin` and `End` refer to a disruption by its index.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Begin(usize),
    End(usize),
    Drain(u32),
    Flap,
}

/// Runs a day with `program` as its fronts, and returns the trace of observed events and the report of the check.
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
    let start_coordinator = |spec| Coordinator::start(spec, day.fronts.len(), program, folder, &recorder);
    let mut coordinator = day.coordinator.as_ref().map(start_coordinator).transpose()?;
    let (mut fronts, url) = (Vec::new(), fleet.list.url());
    for number in 0..day.fronts.len() as u32 {
        let section = coordinator.as_ref().map(|coordinator| coordinator.front_section(number as usize));
        let environment = FrontEnvironment { list: &url, program, folder, seed, recorder: &recorder };
        let mut front = FrontProcess::new(day, number, &environment, section)?;
        front.start()?;
        fronts.push(front);
    }
    let addresses = fronts
        .iter()
        .zip(&day.fronts)
        .map(|(front, spec)| FrontAddresses {
            http: front.address(),
            sip: front.sip(),
            zone: spec.zone.clone(),
        })
        .collect();
    let mut players = PlayerSimulation::new(day, addresses, seed, recorder.clone())?;
    let mut schedule = schedule(day);
    let mut first_error = None;
    let mut restarting = BTreeSet::new();
    players.run(|now| {
        let polled = coordinator
            .as_mut()
            .map_or(Ok(()), Coordinator::poll)
            .and_then(|()| start_exited_fronts(&mut restarting, &mut fronts));
        if let Err(e) = polled {
            first_error.get_or_insert(e);
        }
        while schedule.first_key_value().is_some_and(|(at, _)| at.0 <= now) {
            let Some((_, step)) = schedule.pop_first() else { break };
            if let Err(e) = execute(&step, day, &fleet, &mut fronts, (&mut coordinator, &mut restarting)) {
                first_error.get_or_insert(e);
            }
        }
    });
    // Disruptions that are still active end now.
    for (_, step) in schedule {
        if matches!(step, Step::End(_)) {
            execute(&step, day, &fleet, &mut fronts, (&mut coordinator, &mut restarting))?;
        }
    }
    // Some fronts may still wait for their turn to restart.
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !restarting.is_empty() && Instant::now() < deadline {
        start_exited_fronts(&mut restarting, &mut fronts)?;
        thread::sleep(Duration::from_millis(20));
    }
    coordinator.iter_mut().for_each(Coordinator::end_candidates);
    let topic = coordinator.as_mut().and_then(Coordinator::end_topic);
    if let Some(e) = first_error {
        return Err(e.into());
    }
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while fleet.sessions() > 0 && Instant::now() < deadline {
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

/// Returns all steps by time, with a number that keeps steps of the same time in order.
fn schedule(day: &Day) -> BTreeMap<(Duration, usize), Step> {
    let mut schedule = BTreeMap::new();
    let mut count = 0;
    let mut add = |at: Duration, step| {
        count += 1;
        schedule.insert((at, count), step);
    };
    for (n, TimedDisruption { at, lasts, disruption }) in day.disruptions.iter().enumerate() {
        add(*at, Step::Begin(n));
        match disruption {
            // The media servers are drained one after the other over the first half of the disruption.
            Disruption::Drain(servers) => {
                for (index, id) in servers.iter().enumerate() {
                    add(*at + lasts.mul_f64(0.5 * index as f64 / servers.len() as f64), Step::Drain(*id));
                }
            }
            Disruption::ListFlaps(per_s) => {
                for k in 0..(lasts.as_secs_f64() * per_s) as u32 {
                    add(*at + Duration::from_secs_f64(f64::from(k) / per_s), Step::Flap);
                }
            }
            _ => {}
        }
        add(*at + *lasts, Step::End(n));
    }
    schedule
}

/// Starts the fronts that have exited for a restart.
fn start_exited_fronts(restarting: &mut BTreeSet<u32>, fronts: &mut [FrontProcess]) -> io::Result<()> {
    for n in restarting.clone() {
        match fronts[n as usize].poll_exit() {
            Some(true) => {
                restarting.remove(&n);
                fronts[n as usize].start()?;
            }
            Some(false) => return Err(io::Error::other(format!("front {n} did not exit with success"))),
            None => {}
        }
    }
    Ok(())
}

/// Executes a step.
fn execute(
    step: &Step,
    day: &Day,
    fleet: &Fleet,
    fronts: &mut [FrontProcess],
    (coordinator, restarting): (&mut Option<Coordinator>, &mut BTreeSet<u32>),
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
    match &day.disruptions[n].disruption {
        Disruption::MediaServers(servers, fault) => {
            for id in servers {
                if begins { fleet.fault(*id, *fault) } else { fleet.mend(*id) }
            }
        }
        Disruption::Drain(servers) if !begins => servers.iter().for_each(|id| fleet.list_as(*id, "ready")),
        Disruption::Drain(_) | Disruption::ListFlaps(_) => {}
        Disruption::ListLags(lag) => fleet.list.lag(if begins { *lag } else { Duration::ZERO }),
        Disruption::ListDown => fleet.list.reach(!begins),
        Disruption::Uplink(rack, left) => fleet.racks().leave(*rack, if begins { *left } else { 1.0 }),
        Disruption::KillFront(front) => {
            if begins {
                fronts[*front as usize].kill();
            } else {
                fronts[*front as usize].start()?;
            }
        }
        Disruption::RestartFronts(numbers) if begins => {
            for front in numbers {
                fronts[*front as usize].terminate();
                restarting.insert(*front);
            }
        }
        Disruption::RestartFronts(_) => {}
        Disruption::Process(fault) => match coordinator {
            Some(coordinator) if begins => coordinator.begin(n, fault)?,
            Some(coordinator) => coordinator.end(n, fault)?,
            None => {}
        },
        Disruption::ZoneLost(zone, with_fronts) => {
            for (id, server) in (1..).zip(&day.fleet.boxes) {
                if server.zone == *zone {
                    if begins { fleet.fault(id, Fault::Die) } else { fleet.mend(id) }
                }
            }
            if *with_fronts {
                for (front, _) in fronts.iter_mut().zip(&day.fronts).filter(|front| front.1.zone == *zone) {
                    if begins { front.kill() } else { front.start()? }
                }
            }
        }
    }
    Ok(())
}

//! The command `bench`: compares sessions through a front with sessions directly at the media servers, in the same run.
//!
//! The media servers are simulated in this process, with enough capacity not to be the bottleneck. The front runs in this
//! process too, except for the memory benchmark, which starts it as a process.

mod calls;
mod memory;
pub mod overload;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use beechloft_checker::Recorder;
use beechloft_fakes::dice::Dice;
use beechloft_fakes::fleet::Fleet;
use beechloft_fakes::offer::{self, Credentials};
use beechloft_http::client::Pool;
use beechloft_http::{Method, Request};
use beechloft_server::Front;
use beechloft_whep::{SDP, route};
use hdrhistogram::Histogram;

use crate::{demo, fail, log};

/// Runs the benchmark and prints the results.
pub fn bench(rate: f64, seconds: u64, clients: usize, playing: usize) -> ExitCode {
    match run(rate, Duration::from_secs(seconds), clients).and_then(|()| memory::measure(playing)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

/// Results of one phase.
struct PhaseResult {
    /// Times to the answer in microseconds.
    answer_times_us: Histogram<u64>,
    succeeded: u64,
    failed: u64,
    elapsed: Duration,
}

fn run(rate: f64, time: Duration, clients: usize) -> io::Result<()> {
    let (link, streams) = (1e9, 1_000_000);
    let fleet = Fleet::start(&demo::fleet(4, link, streams, 1024, Duration::ZERO), &Recorder::default())?;
    let mut settings = demo::settings(&fleet.list.url(), link, streams, "error").map_err(io::Error::other)?;
    settings.sip = Some(([127, 0, 0, 1], 0).into());
    log::start(&settings.log);
    let front = Front::start(settings, None)?;
    if !demo::wait_for_endpoints(&front, 4) {
        return Err(io::Error::other("no endpoint list received within 10 s"));
    }
    println!("simulated servers on {} cores", thread::available_parallelism().map_or(0, |n| n.get()));
    let sip: Vec<SocketAddr> = fleet.boxes().filter_map(|(_, b)| b.sip_address()).collect();
    let whep = fleet.boxes().map(|(_, b)| b.address()).collect();
    println!("WHEP:");
    compare(run_whep_session, whep, vec![front.address()], rate, time, clients)?;
    println!("SIP over TCP, a connection for each call:");
    compare(calls::run_call, sip, front.sip_address().into_iter().collect(), rate, time, clients)
}

/// Sets up and ends one session of a protocol at a media server or a front. Returns the time to the answer.
type RunSession = fn(&Pool, SocketAddr, &mut Dice) -> io::Result<Duration>;

/// Compares sessions directly at the media servers with sessions through the front, first at a fixed rate, then at full speed.
fn compare(
    run_session: RunSession,
    direct: Vec<SocketAddr>,
    through: Vec<SocketAddr>,
    rate: f64,
    time: Duration,
    clients: usize,
) -> io::Result<()> {
    println!("{rate} new sessions a second, {} s each:", time.as_secs());
    let direct_result = run_at_rate(run_session, &direct, rate, time)?;
    print("direct to the media servers", &direct_result);
    let front_result = run_at_rate(run_session, &through, rate, time)?;
    print("through the front", &front_result);
    let added_ms = |quantile| {
        let through_front_us = front_result.answer_times_us.value_at_quantile(quantile) as f64;
        let direct_us = direct_result.answer_times_us.value_at_quantile(quantile) as f64;
        (through_front_us - direct_us) / 1000.0
    };
    println!("  added: p50 {:.3} ms, p99 {:.3} ms", added_ms(0.5), added_ms(0.99));
    println!("as fast as {clients} clients can, {} s each:", time.as_secs());
    let direct_result = run_at_full_speed(run_session, &direct, clients, time)?;
    print("direct to the media servers", &direct_result);
    let front_result = run_at_full_speed(run_session, &through, clients, time)?;
    print("through the front", &front_result);
    let per_s = |result: &PhaseResult| result.succeeded as f64 / result.elapsed.as_secs_f64();
    println!("  share of the direct rate: {:.2}", per_s(&front_result) / per_s(&direct_result));
    Ok(())
}

fn print(name: &str, result: &PhaseResult) {
    let ms = |quantile| result.answer_times_us.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "  {name}: {} sessions, {:.0} a second, {} failed; p50 {:.3} ms, p99 {:.3} ms, longest {:.3} ms",
        result.succeeded,
        result.succeeded as f64 / result.elapsed.as_secs_f64(),
        result.failed,
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)
}

/// Sets up and ends one WHEP session. Returns the time to the answer.
fn run_whep_session(pool: &Pool, to: SocketAddr, dice: &mut Dice) -> io::Result<Duration> {
    let text = offer::offer(&Credentials::draw(dice), false, None);
    let request = Request::new(Method::POST, route::endpoint_path("asparagus", false)).body(SDP, text);
    let deadline = Instant::now() + Duration::from_secs(4);
    let start = Instant::now();
    let response = pool.call(to, &request, deadline).map_err(io::Error::other)?;
    let answer_time = start.elapsed();
    match response.field("location") {
        Some(path) if response.status == 201 => {
            pool.call(to, &Request::new(Method::DELETE, path), deadline).map_err(io::Error::other)?;
            Ok(answer_time)
        }
        _ => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Returns the media servers that hold the requested title.
fn title_holders(to: &[SocketAddr]) -> &[SocketAddr] {
    &to[..to.len().min(3)]
}

/// Starts sessions at random intervals with the given mean rate.
fn run_at_rate(
    run_session: RunSession,
    to: &[SocketAddr],
    rate: f64,
    time: Duration,
) -> io::Result<PhaseResult> {
    let pool = Arc::new(Pool::default());
    let mut dice = Dice::new(7);
    let start = Instant::now();
    let mut next = Duration::ZERO;
    let mut running = Vec::new();
    while next < time {
        thread::sleep(next.saturating_sub(start.elapsed()));
        let holders = title_holders(to);
        let (pool, to) = (pool.clone(), holders[dice.number() as usize % holders.len()]);
        let mut session_dice = Dice::new(dice.number());
        running.push(
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || run_session(&pool, to, &mut session_dice))?,
        );
        next += Duration::from_secs_f64(dice.gap(rate));
    }
    let (mut answer_times_us, mut succeeded, mut failed) = (histogram()?, 0, 0);
    for session in running {
        match session.join() {
            Ok(Ok(answer_time)) => {
                succeeded += 1;
                answer_times_us.saturating_record(answer_time.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    Ok(PhaseResult { answer_times_us, succeeded, failed, elapsed: start.elapsed() })
}

/// Runs sessions one after another in each of the concurrent clients.
fn run_at_full_speed(
    run_session: RunSession,
    to: &[SocketAddr],
    clients: usize,
    time: Duration,
) -> io::Result<PhaseResult> {
    let pool = Arc::new(Pool::new(clients * 2, Duration::from_secs(10)));
    let (stop, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let start = Instant::now();
    let mut running = Vec::new();
    for n in 0..clients {
        let (pool, stop, failed, to) =
            (pool.clone(), stop.clone(), failed.clone(), title_holders(to).to_vec());
        let thread = thread::Builder::new().stack_size(256 * 1024);
        running.push(thread.spawn(move || {
            let mut dice = Dice::new(n as u64);
            let mut times_us = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                match run_session(&pool, to[dice.number() as usize % to.len()], &mut dice) {
                    Ok(answer_time) => times_us.push(answer_time.as_micros() as u64),
                    Err(_) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            times_us
        })?);
    }
    thread::sleep(time);
    stop.store(true, Ordering::Relaxed);
    let elapsed = start.elapsed();
    let (mut answer_times_us, mut succeeded) = (histogram()?, 0);
    for client in running {
        for time_us in client.join().unwrap_or_default() {
            succeeded += 1;
            answer_times_us.saturating_record(time_us);
        }
    }
    Ok(PhaseResult { answer_times_us, succeeded, failed: failed.load(Ordering::Relaxed), elapsed })
}

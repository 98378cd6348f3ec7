//! `bench`: what the front costs, against players that go straight to the boxes, in the same run.
//!
//! The boxes are stand-ins in this process, large enough not to be the limit; the front is a process of its own.

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

/// Measures and prints.
pub fn bench(rate: f64, seconds: u64, clients: usize, playing: usize) -> ExitCode {
    match run(rate, Duration::from_secs(seconds), clients).and_then(|()| memory::measure(playing)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(1, e),
    }
}

struct Part {
    times: Histogram<u64>,
    done: u64,
    failed: u64,
    took: Duration,
}

fn run(rate: f64, time: Duration, clients: usize) -> io::Result<()> {
    let (link, streams) = (1e9, 1_000_000);
    let fleet = Fleet::start(&demo::fleet(4, link, streams, 1024, Duration::ZERO), &Recorder::default())?;
    let mut settings = demo::settings(&fleet.list.url(), link, streams, "error").map_err(io::Error::other)?;
    settings.sip = Some(([127, 0, 0, 1], 0).into());
    log::start(&settings.log);
    let front = Front::start(settings, None)?;
    if !demo::wait_for(&front, 4) {
        return Err(io::Error::other("the list did not come"));
    }
    println!("simulated servers on {} cores", thread::available_parallelism().map_or(0, |n| n.get()));
    let sip: Vec<SocketAddr> = fleet.boxes().filter_map(|(_, b)| b.sip_address()).collect();
    let whep = fleet.boxes().map(|(_, b)| b.address()).collect();
    println!("WHEP:");
    compare(one, whep, vec![front.address()], rate, time, clients)?;
    println!("SIP over TCP, a connection for each call:");
    compare(calls::one, sip, front.sip_address().into_iter().collect(), rate, time, clients)
}

/// One session of a protocol, straight to a box or through the front.
type One = fn(&Pool, SocketAddr, &mut Dice) -> io::Result<Duration>;

fn compare(
    one: One,
    direct: Vec<SocketAddr>,
    through: Vec<SocketAddr>,
    rate: f64,
    time: Duration,
    clients: usize,
) -> io::Result<()> {
    println!("{rate} new sessions a second, {} s each:", time.as_secs());
    let a = steady(one, &direct, rate, time)?;
    print("straight to the boxes", &a);
    let b = steady(one, &through, rate, time)?;
    print("through the front", &b);
    let added = |q| (b.times.value_at_quantile(q) as f64 - a.times.value_at_quantile(q) as f64) / 1000.0;
    println!("  added: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
    println!("as fast as {clients} clients can, {} s each:", time.as_secs());
    let a = flood(one, &direct, clients, time)?;
    print("straight to the boxes", &a);
    let b = flood(one, &through, clients, time)?;
    print("through the front", &b);
    let per_s = |p: &Part| p.done as f64 / p.took.as_secs_f64();
    println!("  share of the direct rate: {:.2}", per_s(&b) / per_s(&a));
    Ok(())
}

fn print(name: &str, p: &Part) {
    let ms = |q| p.times.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "  {name}: {} sessions, {:.0} a second, {} failed; p50 {:.3} ms, p99 {:.3} ms, longest {:.3} ms",
        p.done,
        p.done as f64 / p.took.as_secs_f64(),
        p.failed,
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)
}

/// Sets one session up and ends it; the time to the answer.
fn one(pool: &Pool, to: SocketAddr, dice: &mut Dice) -> io::Result<Duration> {
    let text = offer::offer(&Credentials::draw(dice), false, None);
    let request = Request::new(Method::POST, route::endpoint_path("asparagus", false)).body(SDP, text);
    let until = Instant::now() + Duration::from_secs(4);
    let began = Instant::now();
    let response = pool.call(to, &request, until).map_err(io::Error::other)?;
    let took = began.elapsed();
    match response.field("location") {
        Some(path) if response.status == 201 => {
            pool.call(to, &Request::new(Method::DELETE, path), until).map_err(io::Error::other)?;
            Ok(took)
        }
        _ => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Boxes that hold the title that is asked for.
fn holders(to: &[SocketAddr]) -> &[SocketAddr] {
    &to[..to.len().min(3)]
}

fn steady(one: One, to: &[SocketAddr], rate: f64, time: Duration) -> io::Result<Part> {
    let pool = Arc::new(Pool::default());
    let mut dice = Dice::new(7);
    let began = Instant::now();
    let mut next = Duration::ZERO;
    let mut running = Vec::new();
    while next < time {
        thread::sleep(next.saturating_sub(began.elapsed()));
        let holders = holders(to);
        let (pool, to) = (pool.clone(), holders[dice.number() as usize % holders.len()]);
        let mut own = Dice::new(dice.number());
        running.push(thread::Builder::new().stack_size(256 * 1024).spawn(move || one(&pool, to, &mut own))?);
        next += Duration::from_secs_f64(dice.gap(rate));
    }
    let (mut times, mut done, mut failed) = (histogram()?, 0, 0);
    for session in running {
        match session.join() {
            Ok(Ok(took)) => {
                done += 1;
                times.saturating_record(took.as_micros() as u64);
            }
            _ => failed += 1,
        }
    }
    Ok(Part { times, done, failed, took: began.elapsed() })
}

fn flood(one: One, to: &[SocketAddr], clients: usize, time: Duration) -> io::Result<Part> {
    let pool = Arc::new(Pool::new(clients * 2, Duration::from_secs(10)));
    let (stop, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let began = Instant::now();
    let mut running = Vec::new();
    for n in 0..clients {
        let (pool, stop, failed, to) = (pool.clone(), stop.clone(), failed.clone(), holders(to).to_vec());
        let thread = thread::Builder::new().stack_size(256 * 1024);
        running.push(thread.spawn(move || {
            let mut dice = Dice::new(n as u64);
            let mut times = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                match one(&pool, to[dice.number() as usize % to.len()], &mut dice) {
                    Ok(took) => times.push(took.as_micros() as u64),
                    Err(_) => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            times
        })?);
    }
    thread::sleep(time);
    stop.store(true, Ordering::Relaxed);
    let took = began.elapsed();
    let (mut times, mut done) = (histogram()?, 0);
    for client in running {
        for t in client.join().unwrap_or_default() {
            done += 1;
            times.saturating_record(t);
        }
    }
    Ok(Part { times, done, failed: failed.load(Ordering::Relaxed), took })
}

//! Tests of overload control on a simulated clock, with a front that processes calls one by one and various neighbours.
#![allow(clippy::cast_possible_truncation)]

use std::collections::VecDeque;
use std::net::SocketAddr;

use beechloft_session::api::Micros;
use beechloft_sip::message::{Message, Request};
use beechloft_sip::overload::control::{INTERVAL, MAX_CALL_DELAY, MAX_QUEUE_DELAY};
use beechloft_sip::overload::rejections::{RETENTION, RejectionCache};
use beechloft_sip::overload::{Control, Decision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Time in which the simulated front processes a call, and in which it rejects one.
const CALL_US: u64 = 600;
const REJECTION_US: u64 = 40;
/// Maximum throughput of the front, in calls per second.
const CAPACITY: f64 = 1e6 / CALL_US as f64;

/// Neighbour that sends calls.
#[derive(Debug, Clone, Copy)]
struct Sender {
    /// Offered calls per second, from one time to another.
    rate: f64,
    from: u64,
    to: u64,
    supports_control: bool,
    complies: bool,
}

impl Sender {
    fn unsupported(times: f64) -> Sender {
        Sender { rate: times * CAPACITY, from: 0, to: 10 * S, supports_control: false, complies: false }
    }

    fn compliant(times: f64) -> Sender {
        Sender { supports_control: true, complies: true, ..Sender::unsupported(times) }
    }

    fn non_compliant(times: f64) -> Sender {
        Sender { supports_control: true, ..Sender::unsupported(times) }
    }
}

/// Outcome of a sender's calls.
#[derive(Debug, Clone, Default)]
struct SenderStats {
    offered: u64,
    withheld: u64,
    accepted: u64,
    rejected: u64,
    /// Arrival times of accepted calls, and the delays until they were processed.
    waits: Vec<(u64, u64)>,
    /// Values of `Retry-After`.
    retry_after: Vec<u64>,
}

impl SenderStats {
    fn max_wait(&self, from: u64) -> u64 {
        self.waits.iter().filter(|w| w.0 >= from).map(|w| w.1).max().unwrap_or(0)
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 6000 + n as u16))
}

fn gap(rng: &mut ChaCha8Rng, rate: f64) -> u64 {
    let uniform = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    (-(1.0 - uniform).ln() / rate * 1e6) as u64
}

/// Simulates senders and a front for a duration in microseconds.
fn run(control: &mut Control, senders: &[Sender], duration: u64, seed: u64) -> Vec<SenderStats> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stats = vec![SenderStats::default(); senders.len()];
    let mut next: Vec<u64> = senders.iter().map(|s| s.from + gap(&mut rng, s.rate)).collect();
    // Fraction that each sender was last asked to withhold, and the end of its validity.
    let mut feedback_by_sender = vec![(0.0, 0u64); senders.len()];
    let mut queue: VecDeque<(u64, usize)> = VecDeque::new();
    let mut free_at = 0;
    let mut now = 0;
    while now < duration {
        let next_arrival = next.iter().copied().enumerate().min_by_key(|n| n.1).filter(|n| n.1 < duration);
        let next_service = (!queue.is_empty()).then_some(free_at.max(now));
        match (next_arrival, next_service) {
            (Some((n, at)), next_service) if next_service.is_none_or(|w| at <= w) => {
                now = at;
                let s = senders[n];
                next[n] = at + gap(&mut rng, s.rate).max(1);
                if next[n] >= s.to {
                    next[n] = u64::MAX;
                }
                stats[n].offered += 1;
                let reduces = s.complies && feedback_by_sender[n].1 > now;
                if reduces && ((rng.next_u64() % 1000) as f64) < feedback_by_sender[n].0 * 1000.0 {
                    stats[n].withheld += 1;
                } else {
                    queue.push_back((at, n));
                }
            }
            (_, Some(at)) => {
                now = at;
                let Some((arrived, n)) = queue.pop_front() else { continue };
                let decision =
                    control.decide(Micros(now), Micros(arrived), address(n), senders[n].supports_control);
                match decision {
                    Decision::Accept => {
                        free_at = now + CALL_US;
                        control.record_response(Micros(free_at), Micros(arrived));
                        stats[n].accepted += 1;
                        stats[n].waits.push((arrived, free_at - arrived));
                    }
                    Decision::Reject(after) => {
                        free_at = now + REJECTION_US;
                        stats[n].rejected += 1;
                        stats[n].retry_after.extend(after);
                    }
                }
                if senders[n].supports_control
                    && let Some(feedback) = control.feedback(Micros(free_at), address(n))
                {
                    feedback_by_sender[n] =
                        (f64::from(feedback.percent) / 100.0, free_at + feedback.validity.0);
                }
            }
            _ => break,
        }
    }
    stats
}

fn throughput_ratio(stats: &[SenderStats], seconds: f64) -> f64 {
    stats.iter().map(|c| c.accepted).sum::<u64>() as f64 / seconds / CAPACITY
}

#[test]
fn accepts_every_call_below_capacity() {
    for (times, seed) in [(0.3, 1), (0.6, 2), (0.85, 3)] {
        let stats = run(&mut Control::new(1, true), &[Sender::unsupported(times)], 10 * S, seed);
        assert_eq!(stats[0].rejected, 0, "{times}");
    }
}

#[test]
fn burst_is_not_overload() {
    // A hundred calls within a few milliseconds, every two seconds, on top of a third of the capacity.
    let burst = |n: u64| Sender {
        rate: 30_000.0,
        from: n * 2 * S,
        to: n * 2 * S + 3 * MS,
        ..Sender::unsupported(1.0)
    };
    let senders = [vec![Sender::unsupported(0.33)], (1..5).map(burst).collect()].concat();
    let stats = run(&mut Control::new(1, true), &senders, 10 * S, 4);
    assert_eq!(stats.iter().map(|c| c.rejected).sum::<u64>(), 0);
    assert!(stats[1].offered > 50, "{stats:?}");
}

#[test]
fn at_triple_capacity_delays_are_bounded_and_throughput_is_kept() {
    let without = run(&mut Control::new(1, false), &[Sender::unsupported(3.0)], 10 * S, 5);
    assert!(without[0].max_wait(0) > 2 * S, "without control calls wait for seconds");
    for (sender, seed) in
        [(Sender::unsupported(3.0), 5), (Sender::compliant(3.0), 6), (Sender::non_compliant(3.0), 7)]
    {
        let stats = run(&mut Control::new(1, true), &[sender], 10 * S, seed);
        let ratio = throughput_ratio(&stats, 10.0);
        assert!(ratio > 0.75, "{sender:?}: {ratio}");
        assert!(
            stats[0].max_wait(0) <= MAX_CALL_DELAY.0 + MAX_QUEUE_DELAY.0,
            "{sender:?}: {}",
            stats[0].max_wait(0)
        );
        if sender.complies {
            assert!(
                stats[0].withheld > 10 * stats[0].rejected,
                "feedback arrives too late: {} {}",
                stats[0].withheld,
                stats[0].rejected
            );
        } else {
            assert!(stats[0].rejected > 0 && stats[0].withheld == 0);
        }
    }
}

#[test]
fn neighbours_with_and_without_support_are_thinned_equally() {
    let stats =
        run(&mut Control::new(1, true), &[Sender::unsupported(1.5), Sender::compliant(1.5)], 10 * S, 8);
    let fractions: Vec<f64> = stats.iter().map(|c| c.accepted as f64 / c.offered as f64).collect();
    assert!(throughput_ratio(&stats, 10.0) > 0.75, "{fractions:?}");
    assert!(fractions[0] > 0.6 * fractions[1] && fractions[1] > 0.6 * fractions[0], "{fractions:?}");
}

#[test]
fn non_compliant_neighbour_gains_little() {
    let stats =
        run(&mut Control::new(1, true), &[Sender::compliant(1.5), Sender::non_compliant(1.5)], 10 * S, 9);
    let fractions: Vec<f64> = stats.iter().map(|c| c.accepted as f64 / c.offered as f64).collect();
    assert!(fractions[0] > 0.5 * fractions[1], "{fractions:?}");
}

#[test]
fn accepts_all_calls_after_the_overload() {
    let mut crowd = Sender::unsupported(3.0);
    crowd.to = 4 * S;
    let steady = Sender { to: 20 * S, ..Sender::unsupported(0.5) };
    let mut control = Control::new(1, true);
    let stats = run(&mut control, &[crowd, steady], 20 * S, 10);
    assert!(stats[0].rejected > 0);
    let late = stats[1].waits.iter().filter(|w| w.0 >= 10 * S).count() as f64;
    assert!(late > 0.99 * 10.0 * 0.5 * CAPACITY * 0.95, "{late}");
    assert_eq!(control.rate(), None, "the control has ended");
}

#[test]
fn retry_after_is_spread_and_grows_with_the_overload() {
    let of = |times: f64| {
        let stats = run(&mut Control::new(1, true), &[Sender::unsupported(times)], 10 * S, 11);
        let retry_after = &stats[0].retry_after;
        assert!(retry_after.iter().all(|a| (1..=8).contains(a)));
        (
            retry_after.iter().collect::<std::collections::BTreeSet<_>>().len(),
            retry_after.iter().sum::<u64>() as f64 / retry_after.len() as f64,
        )
    };
    let ((kinds, mild), (_, strong)) = (of(1.3), of(5.0));
    assert!(kinds > 2 && strong > mild + 0.5, "{kinds} {mild} {strong}");
}

fn invite(branch: &str) -> Request {
    let text = format!(
        "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/UDP a:1;branch=z9hG4bK{branch}\r\nFrom: <sip:c@d>;tag=1\r\nTo: <sip:a@b>\r\n\
         Call-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    );
    match Message::parse(text.as_bytes()) {
        Ok(Message::Request(request)) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn rejections_are_remembered_for_one_to_two_retention_times() {
    let mut rejections = RejectionCache::with_capacity(3, 2);
    let (a, b, c) = (
        rejections.fingerprint(&invite("a")),
        rejections.fingerprint(&invite("b")),
        rejections.fingerprint(&invite("c")),
    );
    assert_eq!(a, rejections.fingerprint(&invite("a")));
    assert_ne!(
        a,
        RejectionCache::with_capacity(4, 2).fingerprint(&invite("a")),
        "the hash depends on the seed"
    );
    let at = |s: u64| Micros(RETENTION.0 + s * S);
    assert!(rejections.remember(at(0), a, Some(3)));
    assert!(rejections.remember(at(1), b, None));
    assert!(!rejections.remember(at(2), c, None), "the cache is full");
    assert_eq!((rejections.get(a), rejections.get(b), rejections.get(c)), (Some(Some(3)), Some(None), None));
    // The first rotation keeps the recent generation, the second drops it.
    assert!(rejections.remember(at(0) + RETENTION, c, None));
    assert_eq!(rejections.get(a), Some(Some(3)));
    assert!(rejections.remember(at(0) + RETENTION + RETENTION, a, None));
    assert_eq!((rejections.get(b), rejections.len()), (None, 2));
}

#[derive(Debug, Clone)]
enum Step {
    Decide { after: u32, waited: u32, from: u8, supports_control: bool },
    Respond { after: u32, waited: u32 },
    Feedback { after: u32, to: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let after = || prop_oneof![0u32..2_000, 0u32..300_000];
    let waited = || prop_oneof![0u32..30_000, 0u32..2_000_000];
    prop_oneof![
        (after(), waited(), 0u8..4, any::<bool>()).prop_map(|(after, waited, from, supports_control)| {
            Step::Decide { after, waited, from, supports_control }
        }),
        (after(), waited()).prop_map(|(after, waited)| Step::Respond { after, waited }),
        (after(), 0u8..4).prop_map(|(after, to)| Step::Feedback { after, to }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any history the front still accepts calls, its fraction and rate stay valid, and sequence numbers never decrease.
    #[test]
    fn calls_without_delay_are_accepted_after_any_history(steps in prop::collection::vec(step(), 0..400)) {
        let mut control = Control::new(7, true);
        let (mut now, mut seq) = (10 * S, 0);
        for step in steps {
            match step {
                Step::Decide { after, waited, from, supports_control } => {
                    now += u64::from(after);
                    let decision = control.decide(Micros(now), Micros(now - u64::from(waited)), address(from.into()), supports_control);
                    if u64::from(waited) > MAX_CALL_DELAY.0 {
                        prop_assert!(matches!(decision, Decision::Reject(_)));
                    }
                    if let Decision::Reject(retry_after) = decision {
                        prop_assert_eq!(retry_after.is_none(), supports_control);
                    }
                }
                Step::Respond { after, waited } => {
                    now += u64::from(after);
                    control.record_response(Micros(now), Micros(now - u64::from(waited)));
                }
                Step::Feedback { after, to } => {
                    now += u64::from(after);
                    if let Some(feedback) = control.feedback(Micros(now), address(to.into())) {
                        prop_assert!(feedback.percent < 100 && feedback.seq >= seq);
                        seq = feedback.seq;
                    }
                }
            }
            prop_assert!(control.admitted_fraction() > 0.0 && control.admitted_fraction() <= 1.0);
            prop_assert!(control.rate().is_none_or(|r| r >= 1.0 && r.is_finite()));
        }
        // Twenty calls a second without delay for half a minute. The last ones are all accepted.
        let mut accepted = 0;
        for n in 0..600u64 {
            now += 50 * MS;
            if control.decide(Micros(now), Micros(now), address(9), false) == Decision::Accept {
                control.record_response(Micros(now + 100), Micros(now));
                accepted += u64::from(n >= 500);
            }
        }
        prop_assert_eq!(accepted, 100);
        prop_assert!(control.admitted_fraction() == 1.0);
    }
}

#[test]
fn interval_covers_several_calls() {
    assert!(CAPACITY * INTERVAL.secs() > 10.0);
}

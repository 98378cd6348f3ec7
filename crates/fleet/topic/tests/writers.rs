//! Topic with one writer: a writer with an older token writes nothing after a newer one has opened its session, even if
//! requests are late or duplicated. Retention of tombstones with clocks that run at different rates.
#![allow(clippy::cast_possible_truncation, clippy::shadow_unrelated)]

mod support;

use std::time::Duration;

use beechloft_topic::{
    DriftBound, Epoch, Expect, Fault, Layout, Offset, Outcome, Publisher, PublisherId, PublisherInput,
    PublisherOutput, PublisherSettings, PublisherTicket, Record, Retention, TopicAnswer, TopicCommand,
    TopicConfig, TopicEvent, TopicOp, TopicRequest, TopicResponse, Topics, Value, Writers,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{key, name};

/// Runs a sequence of writers with increasing tokens. Earlier writers continue for a while.
fn run_exclusive_writers(seed: u64, fault: Option<Fault>) -> (Option<String>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut topics = Topics::new(Layout::default());
    if let Some(fault) = fault {
        topics.inject(fault);
    }
    let config = TopicConfig { writers: Writers::One, ..TopicConfig::default() };
    topics.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
    let mut writers: Vec<Publisher> = Vec::new();
    let (mut requests, mut answers) = (Vec::<TopicRequest>::new(), Vec::<TopicResponse>::new());
    let (mut now, mut last_ticket, mut written) = (Duration::ZERO, 0, 0);
    // Highest token of an opened session or a written message.
    let mut highest = 0;
    for step in 0..600 {
        now += Duration::from_millis(rng.random_range(1..40));
        if step % 100 == 0 {
            let token = writers.len() as u64 + 1;
            let id = PublisherId(rng.random());
            let settings = PublisherSettings {
                delivery_timeout: Duration::from_secs(2),
                ..PublisherSettings::default()
            };
            writers.push(Publisher::exclusive(id, Epoch(token), name(), settings, seed));
        }
        let n = rng.random_range(0..writers.len());
        let mut outputs = Vec::new();
        if rng.random_range(0..3) == 0 {
            last_ticket += 1;
            let value = Value::new(format!("{}", n + 1).as_bytes()).expect("valid value");
            let record = Record { key: key(rng.random_range(0..3)), value: Some(value) };
            let (ticket, expect) = (PublisherTicket(last_ticket), Expect::Anything);
            outputs.extend(writers[n].handle(now, PublisherInput::Publish { ticket, record, expect }));
        } else {
            outputs.extend(writers[n].handle(now, PublisherInput::Tick));
        }
        if !requests.is_empty() && rng.random_range(0..2) == 0 {
            let at = rng.random_range(0..requests.len());
            // Some copies remain in transit.
            let request =
                if rng.random_range(0..5) == 0 { requests[at].clone() } else { requests.swap_remove(at) };
            let (answer, event) = topics.apply(&TopicCommand::Request(request.clone()));
            let token = match (&request.op, &event) {
                (TopicOp::Begin { epoch }, Some(_)) => Some(epoch.0),
                (TopicOp::Publish { record, .. }, Some(TopicEvent::Appended(..))) => {
                    written += 1;
                    let text = record.value.as_ref().map(|v| String::from_utf8_lossy(v.bytes()).into_owned());
                    text.and_then(|t| t.parse().ok())
                }
                _ => None,
            };
            if let Some(token) = token {
                if token < highest {
                    return (Some(format!("step {step}: token {token} after {highest}")), written);
                }
                highest = token;
            }
            if rng.random_range(0..6) > 0 {
                answers.extend(answer.map(|a| TopicResponse::to(&request, a)));
            }
        }
        if !answers.is_empty() {
            let at = rng.random_range(0..answers.len());
            let response = answers.swap_remove(at);
            if let Some(writer) = writers.iter_mut().find(|w| w.id() == response.publisher) {
                outputs.extend(writer.handle(now, PublisherInput::Response(response)));
            }
        }
        for output in outputs {
            match output {
                PublisherOutput::Send(request) if rng.random_range(0..8) > 0 => requests.push(request),
                PublisherOutput::Fenced(epoch) if epoch.0 > writers.len() as u64 => {
                    return (Some(format!("fenced by {epoch:?}")), written);
                }
                PublisherOutput::Settled(_, Outcome::Written(Offset(offset))) if offset >= written as u64 => {
                    return (
                        Some(format!("written at {offset}, but only {written} messages exist")),
                        written,
                    );
                }
                _ => {}
            }
        }
    }
    (None, written)
}

#[test]
fn older_token_never_writes_after_newer_one() {
    let mut total = 0;
    for seed in 0..200 {
        let (violation, written) = run_exclusive_writers(seed, None);
        assert_eq!(violation, None, "seed {seed}");
        total += written;
    }
    println!("{total} written");
    assert!(total > 200 * 10, "{total}");
    let found = (0..200).find_map(|seed| {
        run_exclusive_writers(seed, Some(Fault::OldEpochAccepted)).0.map(|reason| (seed, reason))
    });
    println!("OldEpochAccepted: {found:?}");
    assert!(found.is_some());
}

const RETENTION: Duration = Duration::from_secs(10);

/// Runs a sequence of leaders with different clock rates. A tombstone must not be removed before the retention has passed in
/// real time. Without a change of leader it must be removed soon after.
fn run_retention(seed: u64, fault: Option<Fault>) -> (Option<String>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drift = DriftBound::ppm(50_000).expect("within bounds");
    let mut topics = Topics::new(Layout::default());
    let config = TopicConfig { retention_ms: RETENTION.as_millis() as u32, ..TopicConfig::default() };
    topics.apply(&TopicCommand::Declare { topic: name(), incarnation: 1, config });
    let (publisher, topic) = (PublisherId(1), name());
    let begin = TopicOp::Begin { epoch: Epoch(0) };
    let answer =
        topics.apply(&TopicCommand::Request(TopicRequest { publisher, topic: topic.clone(), op: begin })).0;
    let Some(TopicAnswer::Began(session)) = answer else { panic!("{answer:?}") };
    let rate = |rng: &mut ChaCha8Rng| [0.95, 1.05, 1.0][rng.random_range(0..3)];
    let (mut clock, mut now, mut seq, mut expired) = (rate(&mut rng), Duration::ZERO, 0, 0);
    let mut retention = Retention::new(drift);
    let changes_leader = seed.is_multiple_of(2);
    let mut tombstones: Vec<(Offset, Duration)> = Vec::new();
    if let Some(fault) = fault {
        retention.inject(fault);
    }
    retention.begin(now.mul_f64(clock), &topics);
    for step in 0..3_000 {
        now += Duration::from_millis(rng.random_range(1..60));
        if changes_leader && rng.random_range(0..400) == 0 {
            clock = rate(&mut rng);
            retention.begin(now.mul_f64(clock), &topics);
        }
        if rng.random_range(0..4) == 0 {
            seq += 1;
            let is_deletion = rng.random_range(0..2) == 0;
            let value = (!is_deletion).then(|| Value::new(b"v").expect("valid value"));
            let record = Record { key: key(rng.random_range(0..20)), value };
            let op = TopicOp::Publish { session, seq, record, expect: Expect::Anything };
            let request = TopicRequest { publisher, topic: topic.clone(), op };
            if let Some(TopicAnswer::Written(offset)) = topics.apply(&TopicCommand::Request(request)).0
                && is_deletion
            {
                tombstones.push((offset, now));
            }
        }
        for command in retention.poll(now.mul_f64(clock), &topics) {
            let Some(TopicEvent::Horizon(_, to)) = topics.apply(&command).1 else { continue };
            for (offset, at) in tombstones.extract_if(.., |(offset, _)| *offset < to) {
                expired += 1;
                if now < at + RETENTION {
                    return (
                        Some(format!("step {step}: tombstone {offset:?} removed after {:?}", now - at)),
                        expired,
                    );
                }
            }
        }
        // The bound allows for the interval of the marks, an eighth, for twice the drift, and for the steps of this test.
        let topic = topics.topic(&name()).expect("declared topic");
        let oldest = topic.oldest_tombstone().and_then(|o| tombstones.iter().find(|(d, _)| *d == o));
        if let Some((offset, at)) =
            oldest.filter(|(_, at)| !changes_leader && now > *at + RETENTION.mul_f64(1.30))
        {
            return (Some(format!("{offset:?} is still retained after {:?}", now - *at)), expired);
        }
    }
    (None, expired)
}

#[test]
fn tombstones_are_retained_for_configured_time() {
    let mut total = 0;
    for seed in 0..200 {
        let (violation, expired) = run_retention(seed, None);
        assert_eq!(violation, None, "seed {seed}");
        total += expired;
    }
    println!("{total} expired");
    assert!(total > 200 * 20, "{total}");
    let found = (0..200)
        .find_map(|seed| run_retention(seed, Some(Fault::RetentionTooShort)).0.map(|reason| (seed, reason)));
    println!("RetentionTooShort: {found:?}");
    assert!(found.is_some());
}

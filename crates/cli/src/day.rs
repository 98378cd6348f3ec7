//! `day`: a scripted day, its report and its verdict.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use beechloft_checker::{Report, Seen};

use crate::fail;

/// Runs a day. Exit 0: rules kept; 1: one broken or the run failed; 2: bad script.
pub fn day(file: &Path, seed: u64, json: bool, keep: Option<&Path>) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let day = match beechloft_scenario::parse(&text, seed) {
        Ok(day) => day,
        Err(faults) => {
            faults.0.iter().for_each(|f| eprintln!("{}:{f}", file.display()));
            return ExitCode::from(2);
        }
    };
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => return fail(1, e),
    };
    let (trace, report) = match beechloft_scenario::run(&day, &program, seed, keep) {
        Ok(done) => done,
        Err(e) => return fail(1, e),
    };
    if let Some(Err(e)) = keep.map(|folder| write_trace(&folder.join("trace.jsonl"), &trace)) {
        return fail(1, format_args!("the trace can't be written: {e}"));
    }
    if json {
        match serde_json::to_string(&report) {
            Ok(text) => println!("{text}"),
            Err(e) => return fail(1, e),
        }
    } else {
        print(&report);
    }
    if report.kept() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn write_trace(path: &Path, trace: &[Seen]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for seen in trace {
        serde_json::to_writer(&mut file, seen)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn print(r: &Report) {
    println!(
        "sessions {}: {} played, {} refused, {} failed, {} declined, {} hung up, {} lost with their front; {} not taken",
        r.sessions, r.playing, r.refused, r.failed, r.declined, r.hung_up, r.lost_with_front, r.not_taken
    );
    println!(
        "answers: p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
        r.answer_ms.p50, r.answer_ms.p99, r.answer_ms.max
    );
    if r.by.len() > 1 {
        for (speaks, p) in &r.by {
            println!(
                "  {speaks:?}: {} sessions, {} played, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
                p.sessions, p.playing, p.refused, p.failed, p.answer_ms.p50, p.answer_ms.p99, p.answer_ms.max
            );
        }
    }
    println!(
        "further attempts {}; sessions that boxes freed by themselves {}",
        r.further_attempts, r.expired_sessions
    );
    if r.leases_granted > 0 {
        println!(
            "leases: {} granted, {} overlaps, {} stale acts, {} acts refused by their tokens; longest without a holder {} ms",
            r.leases_granted, r.lease_overlaps, r.stale_acts, r.refused_acts, r.longest_without_holder_ms
        );
    }
    if r.topic_acknowledged > 0 {
        println!(
            "topic: {} acknowledged, {} seen, {} times caught up; {} gaps, {} revived, {} lost, {} twice",
            r.topic_acknowledged,
            r.topic_seen,
            r.topic_caught_up,
            r.topic_gaps,
            r.topic_revived,
            r.topic_lost,
            r.topic_twice
        );
    }
    println!("breaks: {}", r.broken().map(|(rule, n)| format!("{rule} {n}")).join(", "));
    for (rule, list) in &r.breaks {
        list.iter().for_each(|text| println!("  {rule}: {text}"));
    }
    println!("{}", if r.kept() { "all rules kept" } else { "RULES BROKEN" });
}

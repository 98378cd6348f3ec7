//! The command `day`: runs a scripted scenario and prints its report.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use beechloft_checker::{Report, Seen};

use crate::fail;

/// Runs a day script. Exits with 0 if all rules were kept, 1 if one was broken or the run failed, and 2 if the script is
/// invalid.
pub fn day(file: &Path, seed: u64, json: bool, keep: Option<&Path>) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return fail(2, format_args!("{}: {e}", file.display())),
    };
    let day = match beechloft_scenario::parse(&text, seed) {
        Ok(day) => day,
        Err(errors) => {
            errors.0.iter().for_each(|error| eprintln!("{}:{error}", file.display()));
            return ExitCode::from(2);
        }
    };
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => return fail(1, e),
    };
    let (trace, report) = match beechloft_scenario::run(&day, &program, seed, keep) {
        Ok(result) => result,
        Err(e) => return fail(1, e),
    };
    if let Some(Err(e)) = keep.map(|folder| write_trace(&folder.join("trace.jsonl"), &trace)) {
        return fail(1, format_args!("can't write the trace: {e}"));
    }
    if json {
        match serde_json::to_string(&report) {
            Ok(text) => println!("{text}"),
            Err(e) => return fail(1, e),
        }
    } else {
        print_report(&report);
    }
    if report.kept() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

/// Writes the trace as JSON lines.
fn write_trace(path: &Path, trace: &[Seen]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for event in trace {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn print_report(report: &Report) {
    println!(
        "sessions {}: {} played, {} refused, {} failed, {} declined, {} hung up, {} lost with their front; {} not taken",
        report.sessions,
        report.playing,
        report.refused,
        report.failed,
        report.declined,
        report.hung_up,
        report.lost_with_front,
        report.not_taken
    );
    println!(
        "answers: p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
        report.answer_ms.p50, report.answer_ms.p99, report.answer_ms.max
    );
    if report.by.len() > 1 {
        for (protocol, part) in &report.by {
            println!(
                "  {protocol:?}: {} sessions, {} played, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
                part.sessions,
                part.playing,
                part.refused,
                part.failed,
                part.answer_ms.p50,
                part.answer_ms.p99,
                part.answer_ms.max
            );
        }
    }
    println!(
        "further attempts {}; sessions that media servers freed by themselves {}",
        report.further_attempts, report.expired_sessions
    );
    if report.leases_granted > 0 {
        println!(
            "leases: {} granted, {} overlaps, {} stale acts, {} acts refused by their tokens; longest without a holder {} ms",
            report.leases_granted,
            report.lease_overlaps,
            report.stale_acts,
            report.refused_acts,
            report.longest_without_holder_ms
        );
    }
    if report.topic_acknowledged > 0 {
        println!(
            "topic: {} acknowledged, {} seen, {} times caught up; {} gaps, {} revived, {} lost, {} twice",
            report.topic_acknowledged,
            report.topic_seen,
            report.topic_caught_up,
            report.topic_gaps,
            report.topic_revived,
            report.topic_lost,
            report.topic_twice
        );
    }
    println!("breaks: {}", report.broken().map(|(rule, n)| format!("{rule} {n}")).join(", "));
    for (rule, list) in &report.breaks {
        list.iter().for_each(|text| println!("  {rule}: {text}"));
    }
    println!("{}", if report.kept() { "all rules kept" } else { "RULES BROKEN" });
}

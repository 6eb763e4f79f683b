//! Crashes under prompts of many parts: what gateways do about them costs other calls little.

use std::collections::HashSet;
use std::time::Duration;

use jayhall::core::gateway::crashes::CrashLog;
use jayhall::core::gateway::observed::Observer;
use jayhall::core::gateway::suspects::{Suspect, Suspects};
use jayhall::ops::gateway::load_wire::LoadSumWire;
use prost::Message;

use super::quarantine::{OTHER, at, crash_under, of_parts, take_causes};

/// Parts of the longest prompts that a head of 16 kB names, and those of one whose parts are blocks of 16 tokens.
const PART_COUNTS: [u64; 2] = [4_000, 1_064];
/// Longest time for which the search for a cause may hold the lock that each call takes: calls have to be answered 0.5 s
/// after the timeout of their route.
const MAX_LOCK_TIME: Duration = Duration::from_millis(500);
/// Longest time of a search, during which the thread for control renews no lease: a third of a lease of 3 s.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(1);

/// Returns the processor time of this thread, which does not grow with the load of the machine as a span of time does.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

/// Returns the suspects of a prompt with many parts: all but the last 64 are those of other prompts, too.
fn long_prompt(parts: u64, number: u64) -> Suspects {
    let own = (0..64).map(|part| 1_000_000 + 64 * number + part);
    let shared = 100..100 + parts - 64;
    let parts = shared.chain(own).map(Suspect::Part);
    parts.chain([Suspect::Request(number)]).collect()
}

/// Returns the log of a crash of one back end with this many calls.
fn log_of_one_crash(parts: u64, calls: u64) -> CrashLog {
    let mut log = CrashLog::default();
    for number in 0..calls {
        let crash = crash_under(&long_prompt(parts, number), 1, 1_000, 1_500);
        log.record_crash(crash, Observer::Node);
    }
    log
}

/// Guards against gateways that answer nothing for seconds after a crash under prompts of many parts, as the search for
/// its cause compares each part with each other one, while it holds the lock that each call takes (`review/6`).
#[test]
fn prompts_of_many_parts_do_not_hold_up_other_calls() {
    for parts in PART_COUNTS {
        let mut log = CrashLog::default();
        // The calls under way at three back ends, which crash one after the other.
        for number in 0..48 {
            let process = (number / 16) as u32;
            let sent = 1_000 + 1_000 * u64::from(process);
            let crash = crash_under(&long_prompt(parts, number), process, sent, sent + 500);
            log.record_crash(crash, Observer::Node);
        }
        log.record_answer(&of_parts(&[OTHER]), at(3_600));
        let began = processor_time();
        let open = log.open_crashes(at(5_000));
        let locked = processor_time() - began;
        let cause = open.find_cause().unwrap();
        let searched = processor_time() - began;
        assert_eq!(cause.suspects.len() as u64, parts - 64, "{parts}");
        assert!(searched < MAX_SEARCH_TIME, "{parts}: {searched:?}");
        let began = processor_time();
        log.explain(&cause.suspects);
        let locked = locked + processor_time() - began;
        assert!(locked < MAX_LOCK_TIME, "{parts}: {locked:?}");
        assert_eq!(take_causes(&mut log, at(5_000)), []);
    }
}

/// Guards against the same in the calls themselves: an answer was compared with each part of each crash.
#[test]
fn answers_to_prompts_of_many_parts_are_recorded_quickly() {
    for parts in PART_COUNTS {
        let mut log = log_of_one_crash(parts, 48);
        let unrelated: Suspects = (0..parts)
            .map(|part| Suspect::Part(2_000_000 + part))
            .collect();
        let began = processor_time();
        log.record_answer(&unrelated, at(1_600));
        log.record_answer(&long_prompt(parts, 0), at(1_600));
        let recorded = processor_time() - began;
        assert!(recorded < MAX_LOCK_TIME / 10, "{parts}: {recorded:?}");
        let answers = log.answers_to_report(Observer::Node, usize::MAX, at(1_700));
        assert_eq!(answers.len() as u64, parts + 1, "{parts}");
    }
}

/// Guards against reports that other nodes drop because they are larger than a datagram: with them went all that the
/// node had seen, the load of back ends included.
#[test]
fn crashes_under_prompts_of_many_parts_fit_into_a_datagram() {
    for parts in PART_COUNTS {
        let log = log_of_one_crash(parts, 8);
        let mut reported = HashSet::new();
        for ms in (2_000..6_000).step_by(200) {
            let mut report = LoadSumWire::default();
            report.set_crashes(&log, Observer::Node, at(ms));
            assert!(
                report.encoded_len() < 50 * 1024,
                "{parts}: {}",
                report.encoded_len()
            );
            assert!(!report.crashes.is_empty(), "{parts}");
            reported.extend(report.crashes.iter().map(|crash| crash.request));
        }
        assert_eq!(reported.len(), 8, "{parts}");
    }
}

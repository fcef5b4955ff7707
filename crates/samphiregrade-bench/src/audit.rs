//! Audits a run: compares the stand-ins' own logs with the responses that callers received.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use samphiregrade::contract::RanState;
use samphiregrade::workload::{ObservedCall, ObservedProgram, ProgramVerdict};
use samphiregrade_standins::engine::AuditEntry;
use smol_str::SmolStr;

use crate::cluster::Cluster;
use crate::faults::FaultLog;
use crate::report::{CacheCounts, ViolationCounts};

/// Time after which a leaving upstream must receive no new work.
const LEAVE_GRACE_MS: u64 = 4000;

/// One execution of a call by an upstream.
#[derive(Clone, Debug)]
struct Execution {
    upstream: SmolStr,
    at_ms: u64,
    prompt_digest: Option<u64>,
}

/// Executions and requests that the upstreams logged, executions by call key.
#[derive(Debug, Default)]
struct ExecutionLog {
    by_key: HashMap<SmolStr, Vec<Execution>>,
    generated: HashMap<SmolStr, u64>,
    requests: Vec<(SmolStr, AuditEntry)>,
    held_sessions: HashSet<SmolStr>,
    held_token_seconds: f64,
}

/// Splits a call key into its program and sequence number.
fn split_key(key: &str) -> (&str, u32) {
    let (program, sequence) = key.rsplit_once('/').unwrap_or((key, "0"));
    (program, sequence.parse().unwrap_or(0))
}

impl ExecutionLog {
    fn read(cluster: &Cluster) -> Self {
        let mut log = Self::default();
        for (name, engine) in &cluster.engines {
            let audit = engine.audit();
            log.held_token_seconds += audit.held_token_seconds;
            log.held_sessions.extend(audit.held_sessions);
            for entry in audit.requests {
                if entry.finished {
                    let tokens = entry.completion_tokens as u64;
                    let largest = log.generated.entry(entry.request.clone()).or_default();
                    *largest = (*largest).max(tokens);
                }
                log.by_key
                    .entry(entry.request.clone())
                    .or_default()
                    .push(Execution {
                        upstream: name.clone(),
                        at_ms: entry.at_ms,
                        prompt_digest: Some(entry.prompt_digest),
                    });
                log.requests.push((name.clone(), entry));
            }
        }
        for (name, service) in &cluster.services {
            for execution in service.executions() {
                log.by_key
                    .entry(execution.key.clone())
                    .or_default()
                    .push(Execution {
                        upstream: name.clone(),
                        at_ms: execution.at_ms,
                        prompt_digest: None,
                    });
            }
        }
        log
    }

    fn executions(&self, key: &str) -> &[Execution] {
        self.by_key.get(key).map_or(&[], Vec::as_slice)
    }
}

/// Counts broken guarantees, and cached and recomputed tokens.
#[must_use]
pub fn audit(
    cluster: &Cluster,
    observed_programs: &[ObservedProgram],
    faults: &FaultLog,
) -> (ViolationCounts, CacheCounts) {
    let log = ExecutionLog::read(cluster);
    let mut counts = ViolationCounts::default();
    for observed in observed_programs {
        audit_program(observed, &log, &mut counts);
    }
    counts.order = count_out_of_order(&log);
    counts.work_after_leaving = count_work_after_leaving(&log, faults);
    counts.configuration_reverted += u64::from(faults.lost_changes);
    (counts, count_cache(&log))
}

fn audit_program(observed: &ObservedProgram, log: &ExecutionLog, counts: &mut ViolationCounts) {
    counts.wrong_answer += u64::from(observed.wrong_answers);
    for call in &observed.calls {
        audit_call(call, log, counts);
    }
    if let Some((used, limit)) = observed.tokens {
        let generated: u64 = observed
            .calls
            .iter()
            .map(|call| {
                let generated = log.generated.get(&call.key).copied().unwrap_or(0);
                generated + call.prompt_tokens
            })
            .sum();
        if used > limit || generated > limit {
            counts.budget += 1;
        }
    }
    let finished = observed.verdict == ProgramVerdict::Finished;
    if finished
        && observed
            .program
            .as_ref()
            .is_some_and(|program| log.held_sessions.contains(program))
    {
        counts.holds_left += 1;
    }
}

fn audit_call(call: &ObservedCall, log: &ExecutionLog, counts: &mut ViolationCounts) {
    let executions = log.executions(&call.key);
    if !call.idempotent && executions.len() > 1 {
        counts.duplicate_non_idempotent += 1;
    }
    if call.reported_ran == Some(RanState::No) && !executions.is_empty() {
        counts.false_not_run += 1;
    }
    let Some(expected_digest) = call.prompt_digest else {
        return;
    };
    let mismatches = executions
        .iter()
        .filter(|execution| execution.prompt_digest != Some(expected_digest));
    counts.history += mismatches.count() as u64;
}

/// Counts calls that were first executed before an earlier call of their program.
fn count_out_of_order(log: &ExecutionLog) -> u64 {
    let mut programs: HashMap<&str, BTreeMap<u32, u64>> = HashMap::new();
    for (key, executions) in &log.by_key {
        let (program, sequence) = split_key(key);
        let first = executions
            .iter()
            .map(|execution| execution.at_ms)
            .min()
            .unwrap_or(0);
        programs.entry(program).or_default().insert(sequence, first);
    }
    let out_of_order = programs.values().map(|calls| {
        let times: Vec<u64> = calls.values().copied().collect();
        times.windows(2).filter(|pair| pair[1] < pair[0]).count() as u64
    });
    out_of_order.sum()
}

fn count_work_after_leaving(log: &ExecutionLog, faults: &FaultLog) -> u64 {
    let mut count = 0;
    for (name, since) in &faults.leaving {
        let late = log.by_key.values().flatten().filter(|execution| {
            execution.upstream == *name && execution.at_ms > since + LEAVE_GRACE_MS
        });
        count += late.count() as u64;
    }
    count
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn count_cache(log: &ExecutionLog) -> CacheCounts {
    let mut requests: Vec<&(SmolStr, AuditEntry)> = log.requests.iter().collect();
    requests.sort_by_key(|(_, entry)| entry.at_ms);
    let mut session_tokens: HashMap<&str, u64> = HashMap::new();
    let mut last_engines: HashMap<&str, &SmolStr> = HashMap::new();
    let mut counts = CacheCounts {
        idle_hold_token_seconds: log.held_token_seconds,
        ..CacheCounts::default()
    };
    for (engine, entry) in requests {
        let last_engine = last_engines.insert(entry.session.as_str(), engine);
        counts.moved_requests +=
            u64::from(last_engine.is_some_and(|last_engine| last_engine != engine));
        let prompt = entry.prompt_tokens as u64;
        let cached = entry.cached_tokens as u64;
        counts.prefill_tokens += prompt - cached.min(prompt);
        let cacheable_tokens = session_tokens.entry(entry.session.as_str()).or_default();
        counts.recomputed_tokens += (*cacheable_tokens).min(prompt).saturating_sub(cached);
        // Engines cache only complete blocks of 16 tokens; a shorter remainder is always recomputed.
        let blocks = (prompt + entry.completion_tokens as u64) / 16 * 16;
        *cacheable_tokens = (*cacheable_tokens).max(blocks);
    }
    if counts.prefill_tokens > 0 {
        counts.wasted_fraction = counts.recomputed_tokens as f64 / counts.prefill_tokens as f64;
    }
    counts
}

/// Returns the time from an interruption to the response, for the calls that were interrupted.
#[must_use]
pub fn recovery_times(observed_programs: &[ObservedProgram], faults: &FaultLog) -> Vec<Duration> {
    let calls = observed_programs
        .iter()
        .flat_map(|observed| &observed.calls);
    let interrupted = calls.filter(|call| call.attempts > 1);
    interrupted
        .filter_map(|call| {
            let interruption = faults
                .interruptions
                .iter()
                .filter(|at| **at <= call.ended && call.began < **at + Duration::from_secs(10))
                .max()?;
            Some(call.ended.duration_since(call.began.max(*interruption)))
        })
        .collect()
}

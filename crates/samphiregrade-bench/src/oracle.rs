//! Simulates an ideal scheduler, which knows every program's shape and has every prefix cached on every engine.
//!
//! The oracle runs the same arrivals on the same number of slots, always continues the program with the least
//! actual work left, and never recomputes a token. No real scheduler can do better on both measures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use samphiregrade::workload::{PlanStep, ProgramPlan};
use samphiregrade_standins::engine::EngineSettings;

use crate::load::{Arrival, TYPICAL_CONTEXT};

/// Duration of a service call without contention.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A sequential part of a program: time on an engine, or time outside the engines.
#[derive(Clone, Copy, Debug)]
enum PlanPart {
    Engine(f64),
    Outside(f64),
}

/// An event of the simulation: a program becomes ready for its next part, or its part on an engine ends.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ProgramEvent {
    at: f64,
    program: usize,
}

impl Eq for ProgramEvent {}

impl Ord for ProgramEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.program.cmp(&other.program))
    }
}

impl PartialOrd for ProgramEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct OracleRun {
    parts: Vec<Vec<PlanPart>>,
    next: Vec<usize>,
    work_left: Vec<f64>,
    ended: Vec<f64>,
    ready: BinaryHeap<Reverse<ProgramEvent>>,
    busy: BinaryHeap<Reverse<ProgramEvent>>,
    waiting: Vec<usize>,
    slots: usize,
}

/// Returns the program latencies under the oracle, in the order of the arrivals.
#[must_use]
pub fn oracle_latencies(
    arrivals: &[Arrival],
    engine: &EngineSettings,
    engines: usize,
) -> Vec<Duration> {
    let slots = engine.slots * engines;
    let parts: Vec<Vec<PlanPart>> = arrivals
        .iter()
        .map(|arrival| program_parts(&arrival.plan, engine))
        .collect();
    let work_left = parts.iter().map(|parts| engine_time(parts)).collect();
    let mut run = OracleRun {
        next: vec![0; parts.len()],
        ended: vec![0.0; parts.len()],
        work_left,
        parts,
        ready: BinaryHeap::new(),
        busy: BinaryHeap::new(),
        waiting: Vec::new(),
        slots,
    };
    for (program, arrival) in arrivals.iter().enumerate() {
        let at = arrival.at.as_secs_f64();
        run.ready.push(Reverse(ProgramEvent { at, program }));
    }
    run.run();
    arrivals
        .iter()
        .zip(run.ended)
        .map(|(arrival, ended)| {
            Duration::from_secs_f64((ended - arrival.at.as_secs_f64()).max(0.0))
        })
        .collect()
}

fn engine_time(parts: &[PlanPart]) -> f64 {
    let times = parts.iter().map(|part| match part {
        PlanPart::Engine(time) => *time,
        PlanPart::Outside(_) => 0.0,
    });
    times.sum()
}

#[expect(clippy::cast_precision_loss, reason = "numbers of tokens are small")]
fn program_parts(plan: &ProgramPlan, engine: &EngineSettings) -> Vec<PlanPart> {
    let slots = u32::try_from(engine.slots).unwrap_or(u32::MAX);
    let step = engine.step_base
        + engine.step_per_request * (slots / 2).max(1)
        + engine.step_per_thousand_context * (slots / 2 * TYPICAL_CONTEXT);
    let prefill = engine.prefill_per_step as f64;
    let mut parts = Vec::new();
    for step_kind in &plan.steps {
        match step_kind {
            PlanStep::Model { prompt, answer } => {
                let steps = *answer as f64 + (*prompt as f64 / prefill).ceil();
                parts.push(PlanPart::Engine(steps * step.as_secs_f64()));
            }
            PlanStep::Service { .. } => parts.push(PlanPart::Outside(SERVICE_TIME.as_secs_f64())),
            PlanStep::Pause(pause) => parts.push(PlanPart::Outside(pause.as_secs_f64())),
            PlanStep::SubAgents(plans) => {
                // Sub-agents run in parallel, so that only the longest counts.
                let longest = plans
                    .iter()
                    .map(|plan| program_parts(plan, engine))
                    .max_by(|one, other| total_time(one).total_cmp(&total_time(other)));
                parts.extend(longest.unwrap_or_default());
            }
        }
    }
    parts
}

fn total_time(parts: &[PlanPart]) -> f64 {
    let times = parts.iter().map(|part| match part {
        PlanPart::Engine(time) | PlanPart::Outside(time) => *time,
    });
    times.sum()
}

impl OracleRun {
    fn run(&mut self) {
        loop {
            let ready = self.ready.peek().map(|Reverse(ready)| ready.at);
            let free = self.busy.peek().map(|Reverse(busy)| busy.at);
            let now = match (ready, free) {
                (None, None) => return,
                (Some(ready), Some(free)) => ready.min(free),
                (Some(at), None) | (None, Some(at)) => at,
            };
            while let Some(Reverse(busy)) = self.busy.peek().copied() {
                if busy.at > now {
                    break;
                }
                self.busy.pop();
                self.advance(busy.program, now);
            }
            while let Some(Reverse(ready)) = self.ready.peek().copied() {
                if ready.at > now {
                    break;
                }
                self.ready.pop();
                self.start(ready.program, now);
            }
            self.fill_slots(now);
        }
    }

    /// Starts the program's next part.
    fn start(&mut self, program: usize, now: f64) {
        match self.parts[program].get(self.next[program]) {
            None => self.ended[program] = now,
            Some(PlanPart::Engine(_)) => self.waiting.push(program),
            Some(PlanPart::Outside(time)) => {
                let at = now + time;
                self.next[program] += 1;
                self.ready.push(Reverse(ProgramEvent { at, program }));
            }
        }
    }

    /// Ends the program's part on an engine.
    fn advance(&mut self, program: usize, now: f64) {
        if let Some(PlanPart::Engine(time)) = self.parts[program].get(self.next[program]) {
            self.work_left[program] -= time;
        }
        self.next[program] += 1;
        self.start(program, now);
    }

    /// Assigns free slots to the waiting programs with the least work left.
    fn fill_slots(&mut self, now: f64) {
        self.waiting
            .sort_by(|one, other| self.work_left[*other].total_cmp(&self.work_left[*one]));
        while self.busy.len() < self.slots {
            let Some(program) = self.waiting.pop() else {
                return;
            };
            if let Some(PlanPart::Engine(time)) = self.parts[program].get(self.next[program]) {
                let at = now + time;
                self.busy.push(Reverse(ProgramEvent { at, program }));
            }
        }
    }
}

//! The limit: a scheduler that knows every program's shape and has every prefix cached everywhere.
//!
//! It runs the same arrivals on the same number of slots, always continuing the program with the least
//! true work left, and nothing is ever computed twice. No real scheduler can do better on both measures.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use samphiregrade::workload::{PlanStep, ProgramPlan};
use samphiregrade_standins::engine::EngineSettings;

use crate::load::{Arrival, TYPICAL_CONTEXT};

/// Time of a service call that meets nobody else.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A part of a program in a row: engine time, or time outside of the engines.
#[derive(Clone, Copy, Debug)]
enum Part {
    Engine(f64),
    Outside(f64),
}

/// What happens next: a program becomes ready for its next part.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ready {
    at: f64,
    program: usize,
}

impl Eq for Ready {}

impl Ord for Ready {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at
            .total_cmp(&other.at)
            .then(self.program.cmp(&other.program))
    }
}

impl PartialOrd for Ready {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct OracleRun {
    parts: Vec<Vec<Part>>,
    next: Vec<usize>,
    left: Vec<f64>,
    ended: Vec<f64>,
    events: BinaryHeap<Reverse<Ready>>,
    busy: BinaryHeap<Reverse<Ready>>,
    waiting: Vec<usize>,
    slots: usize,
}

/// Returns the program latencies that the oracle reaches, in the order of the arrivals.
#[must_use]
pub fn oracle_latencies(
    arrivals: &[Arrival],
    engine: &EngineSettings,
    engines: usize,
) -> Vec<Duration> {
    let slots = engine.slots * engines;
    let parts: Vec<Vec<Part>> = arrivals
        .iter()
        .map(|arrival| program_parts(&arrival.plan, engine))
        .collect();
    let left = parts.iter().map(|parts| engine_time(parts)).collect();
    let mut run = OracleRun {
        next: vec![0; parts.len()],
        ended: vec![0.0; parts.len()],
        left,
        parts,
        events: BinaryHeap::new(),
        busy: BinaryHeap::new(),
        waiting: Vec::new(),
        slots,
    };
    for (program, arrival) in arrivals.iter().enumerate() {
        let at = arrival.at.as_secs_f64();
        run.events.push(Reverse(Ready { at, program }));
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

fn engine_time(parts: &[Part]) -> f64 {
    let times = parts.iter().map(|part| match part {
        Part::Engine(time) => *time,
        Part::Outside(_) => 0.0,
    });
    times.sum()
}

#[expect(clippy::cast_precision_loss, reason = "numbers of tokens are small")]
fn program_parts(plan: &ProgramPlan, engine: &EngineSettings) -> Vec<Part> {
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
                parts.push(Part::Engine(steps * step.as_secs_f64()));
            }
            PlanStep::Service { .. } => parts.push(Part::Outside(SERVICE_TIME.as_secs_f64())),
            PlanStep::Pause(pause) => parts.push(Part::Outside(pause.as_secs_f64())),
            PlanStep::SubAgents(plans) => {
                // They run at the same time: the longest of them counts.
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

fn total_time(parts: &[Part]) -> f64 {
    let times = parts.iter().map(|part| match part {
        Part::Engine(time) | Part::Outside(time) => *time,
    });
    times.sum()
}

impl OracleRun {
    fn run(&mut self) {
        loop {
            let ready = self.events.peek().map(|Reverse(ready)| ready.at);
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
            while let Some(Reverse(ready)) = self.events.peek().copied() {
                if ready.at > now {
                    break;
                }
                self.events.pop();
                self.start(ready.program, now);
            }
            self.fill(now);
        }
    }

    /// Begins the program's next part.
    fn start(&mut self, program: usize, now: f64) {
        match self.parts[program].get(self.next[program]) {
            None => self.ended[program] = now,
            Some(Part::Engine(_)) => self.waiting.push(program),
            Some(Part::Outside(time)) => {
                let at = now + time;
                self.next[program] += 1;
                self.events.push(Reverse(Ready { at, program }));
            }
        }
    }

    /// Ends the program's part at an engine.
    fn advance(&mut self, program: usize, now: f64) {
        if let Some(Part::Engine(time)) = self.parts[program].get(self.next[program]) {
            self.left[program] -= time;
        }
        self.next[program] += 1;
        self.start(program, now);
    }

    /// Fills free slots with the programs that have the least work left.
    fn fill(&mut self, now: f64) {
        self.waiting
            .sort_by(|one, other| self.left[*other].total_cmp(&self.left[*one]));
        while self.busy.len() < self.slots {
            let Some(program) = self.waiting.pop() else {
                return;
            };
            if let Some(Part::Engine(time)) = self.parts[program].get(self.next[program]) {
                let at = now + time;
                self.busy.push(Reverse(Ready { at, program }));
            }
        }
    }
}

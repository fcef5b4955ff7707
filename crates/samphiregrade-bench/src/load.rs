//! Open-loop load: the start times of programs do not depend on the progress of earlier programs.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use samphiregrade::workload::{ClassShape, PlanStep, ProgramPlan, draw_plan};
use samphiregrade_standins::engine::EngineSettings;

/// Number of programs drawn to estimate the mean work of a program.
const SAMPLE_SIZE: usize = 2000;

/// Engine steps of a call in addition to its prefill and its generated tokens.
const STEPS_PER_CALL: f64 = 2.0;

/// Average context of a request, in thousands of tokens.
pub const TYPICAL_CONTEXT: u32 = 4;

/// A program and its start time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start of the load.
    pub at: Duration,
    /// Steps of the program.
    pub plan: ProgramPlan,
    /// Index of the failure domain whose caller starts the program.
    pub domain: usize,
}

/// Draws the arrivals of a load, with exponential gaps and with shapes in proportion to the classes' shares.
#[must_use]
pub fn draw_arrivals(
    shapes: &[ClassShape],
    rate: f64,
    duration: Duration,
    domains: usize,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / rate;
        if at >= duration.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            plan: draw_plan(shapes, &mut rng),
            domain: rng.random_range(0..domains),
        });
    }
}

/// Returns the number of programs per second that the engines can serve if every prefix is cached.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of tokens and engines are small"
)]
pub fn engine_capacity(shapes: &[ClassShape], engine: &EngineSettings, engines: usize) -> f64 {
    let mut rng = SmallRng::seed_from_u64(0);
    let total: f64 = (0..SAMPLE_SIZE)
        .map(|_| slot_steps(&draw_plan(shapes, &mut rng), engine))
        .sum();
    let per_program = total / SAMPLE_SIZE as f64;
    let slots = u32::try_from(engine.slots).unwrap_or(u32::MAX);
    let step_time = full_step_time(engine);
    let steps_per_second = f64::from(slots) / step_time.as_secs_f64();
    steps_per_second * engines as f64 / per_program
}

/// Returns the duration of an engine step with every slot in use.
fn full_step_time(engine: &EngineSettings) -> Duration {
    let slots = u32::try_from(engine.slots).unwrap_or(u32::MAX);
    engine.step_base
        + engine.step_per_request * slots
        + engine.step_per_thousand_context * slots * TYPICAL_CONTEXT
}

#[expect(clippy::cast_precision_loss, reason = "numbers of tokens are small")]
fn slot_steps(plan: &ProgramPlan, engine: &EngineSettings) -> f64 {
    let prefill = engine.prefill_per_step as f64;
    let mut total = 0.0;
    for step in &plan.steps {
        match step {
            PlanStep::Model { prompt, answer } => {
                total += *answer as f64 + *prompt as f64 / prefill + STEPS_PER_CALL;
            }
            PlanStep::SubAgents(plans) => {
                total += plans
                    .iter()
                    .map(|plan| slot_steps(plan, engine))
                    .sum::<f64>();
            }
            PlanStep::Service { .. } | PlanStep::Pause(_) => {}
        }
    }
    total
}

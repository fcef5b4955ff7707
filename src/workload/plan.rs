//! Random distributions of programs by class, and plans drawn from them.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::ids::{ClassName, TokenCount};

/// Bytes per token in the texts of plans.
const TOKEN_BYTES: usize = 4;

/// Step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// Call of the model.
    Model {
        /// Number of new prompt tokens.
        prompt: TokenCount,
        /// Number of tokens that the model generates.
        answer: TokenCount,
    },
    /// Call of a service.
    Service {
        /// Name of the service.
        service: SmolStr,
        /// Whether the call may be repeated.
        idempotent: bool,
    },
    /// Time in which a tool or a person outside the system works.
    Pause(Duration),
    /// Sub-agents, which run concurrently.
    SubAgents(Vec<ProgramPlan>),
}

/// Steps that a program will take. The system sees each step only when it is requested.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramPlan {
    /// Class of the program.
    pub class: ClassName,
    /// Steps in order.
    pub steps: Vec<PlanStep>,
    /// Tokens of the first message, which the programs of the class share.
    pub shared_prompt: TokenCount,
}

/// Inclusive range from which a number is drawn: minimum and maximum.
type DrawRange = (u64, u64);

/// Random distribution of a class's programs.
#[derive(Clone, Debug)]
pub struct ClassShape {
    /// Name of the class.
    pub name: ClassName,
    /// Priority of the class; 0 is the highest.
    pub priority: u8,
    /// Weight of program latency relative to wasted cache.
    pub latency_weight: f64,
    /// Share of all programs, relative to the other classes.
    pub share: f64,
    /// Token budget of a program.
    pub tokens: TokenCount,
    /// Tokens of the first message, which the class's programs share.
    pub shared_prompt: TokenCount,
    turns: DrawRange,
    prompt: DrawRange,
    answer: DrawRange,
    pause_ms: DrawRange,
    tail: f64,
    tool_chance: f64,
    agent_chance: f64,
    service: SmolStr,
    tool: SmolStr,
}

impl ClassShape {
    fn new(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            name: name.into(),
            priority,
            latency_weight,
            share: 1.0,
            tokens: 60_000,
            shared_prompt: 1200,
            turns: (1, 1),
            prompt: (60, 400),
            answer: (20, 60),
            pause_ms: (30, 200),
            tail: 0.03,
            tool_chance: 0.0,
            agent_chance: 0.0,
            service: SmolStr::default(),
            tool: SmolStr::default(),
        }
    }

    /// Returns a class of programs with a single model call.
    #[must_use]
    pub fn question(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            share: 0.5,
            ..Self::new(name, priority, latency_weight)
        }
    }

    /// Returns a class of programs with several model calls, tool calls between them and some sub-agents.
    #[must_use]
    pub fn dossier(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            share: 0.5,
            turns: (3, 8),
            prompt: (200, 1500),
            answer: (30, 120),
            pause_ms: (40, 400),
            tool_chance: 0.5,
            agent_chance: 0.1,
            ..Self::new(name, priority, latency_weight)
        }
    }

    /// Returns a class of programs that draft long texts.
    #[must_use]
    pub fn draft(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            share: 0.55,
            turns: (4, 10),
            prompt: (300, 1800),
            answer: (60, 200),
            pause_ms: (50, 600),
            tail: 0.05,
            tool_chance: 0.2,
            ..Self::new(name, priority, latency_weight)
        }
    }

    /// Returns a class of short urgent programs.
    #[must_use]
    pub fn alert(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            share: 0.15,
            turns: (1, 2),
            answer: (15, 40),
            tool_chance: 0.5,
            ..Self::new(name, priority, latency_weight)
        }
    }

    /// Sets the service and the tool that the programs call.
    #[must_use]
    pub fn with_services(mut self, service: &str, tool: &str) -> Self {
        self.service = service.into();
        self.tool = tool.into();
        self
    }

    fn draw_pause(&self, rng: &mut SmallRng) -> Duration {
        let pause = Duration::from_millis(draw(rng, self.pause_ms));
        if rng.random_bool(self.tail) {
            // Heavy tail: some tools and people take many times as long.
            return pause * rng.random_range(4..12);
        }
        pause
    }

    fn draw_steps(&self, rng: &mut SmallRng, agents: bool) -> Vec<PlanStep> {
        let turns = draw(rng, self.turns);
        let mut steps = Vec::new();
        for turn in 0..turns {
            if turn > 0 {
                steps.push(PlanStep::Pause(self.draw_pause(rng)));
            }
            steps.push(PlanStep::Model {
                prompt: draw(rng, self.prompt),
                answer: draw(rng, self.answer),
            });
            if rng.random_bool(self.tool_chance) {
                // Half of the tool calls have a side effect that must not occur twice.
                let idempotent = rng.random_bool(0.5);
                let service = if idempotent {
                    &self.service
                } else {
                    &self.tool
                };
                steps.push(PlanStep::Service {
                    service: service.clone(),
                    idempotent,
                });
            }
            if agents && rng.random_bool(self.agent_chance) {
                let count = rng.random_range(1..=2);
                let sub_agents = (0..count).map(|_| ProgramPlan {
                    class: self.name.clone(),
                    steps: self.draw_steps(rng, false).into_iter().take(4).collect(),
                    shared_prompt: self.shared_prompt,
                });
                steps.push(PlanStep::SubAgents(sub_agents.collect()));
            }
        }
        steps
    }
}

fn draw(rng: &mut SmallRng, (minimum, maximum): DrawRange) -> u64 {
    rng.random_range(minimum..=maximum)
}

/// Draws a class by the shares of `shapes`, then a program of this class.
///
/// # Panics
///
/// Panics if `shapes` is empty.
#[must_use]
pub fn draw_plan(shapes: &[ClassShape], rng: &mut SmallRng) -> ProgramPlan {
    let total: f64 = shapes.iter().map(|shape| shape.share).sum();
    let mut position = rng.random_range(0.0..total);
    let mut chosen = &shapes[0];
    for shape in shapes {
        chosen = shape;
        if position < shape.share {
            break;
        }
        position -= shape.share;
    }
    ProgramPlan {
        class: chosen.name.clone(),
        steps: chosen.draw_steps(rng, true),
        shared_prompt: chosen.shared_prompt,
    }
}

impl ProgramPlan {
    /// Returns the tokens generated by the program and its sub-agents, and the prompt tokens of all their calls if
    /// no cache is used.
    #[must_use]
    pub fn work(&self) -> (TokenCount, TokenCount) {
        let mut context = self.shared_prompt;
        let (mut generated, mut prompts) = (0, 0);
        for step in &self.steps {
            match step {
                PlanStep::Model { prompt, answer } => {
                    context += prompt;
                    prompts += context;
                    generated += answer;
                    context += answer;
                }
                PlanStep::SubAgents(plans) => {
                    for plan in plans {
                        let (more_generated, more_prompts) = plan.work();
                        generated += more_generated;
                        prompts += more_prompts;
                    }
                }
                PlanStep::Service { .. } | PlanStep::Pause(_) => {}
            }
        }
        (generated, prompts)
    }

    /// Returns the text of the first message, which the programs of the class share.
    #[must_use]
    pub fn shared_text(&self) -> String {
        filler(&format!("[class {}] ", self.class), self.shared_prompt)
    }
}

/// Returns a text of at least `tokens` tokens that starts with `start`.
pub fn filler(start: &str, tokens: TokenCount) -> String {
    let length = usize::try_from(tokens)
        .unwrap_or(usize::MAX)
        .saturating_mul(TOKEN_BYTES);
    let mut text = start.to_owned();
    let mut word = 0;
    while text.len() < length {
        // Writing to a string does not fail.
        let _ = write!(text, "x{word:02} ");
        word = (word + 1) % 100;
    }
    text
}

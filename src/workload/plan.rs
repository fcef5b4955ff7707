//! Shapes of programs, and plans drawn from them.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::ids::{ClassName, TokenCount};

/// Bytes of a token in the texts of plans.
const TOKEN_BYTES: usize = 4;

/// A step of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanStep {
    /// A call of the model with so many new prompt tokens and so many tokens of answer.
    Model {
        /// New prompt tokens.
        prompt: TokenCount,
        /// Tokens of the answer.
        answer: TokenCount,
    },
    /// A call of a service.
    Service {
        /// The service.
        service: SmolStr,
        /// Whether it may be repeated.
        idempotent: bool,
    },
    /// Time in which a tool or a person outside of the system works.
    Pause(Duration),
    /// Sub-agents, which run at the same time.
    SubAgents(Vec<ProgramPlan>),
}

/// What a program is going to do; the system learns of it step by step.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramPlan {
    /// Class of the program.
    pub class: ClassName,
    /// The steps in order.
    pub steps: Vec<PlanStep>,
    /// First message, shared by the programs of the class.
    pub shared_prompt: TokenCount,
}

/// Numbers from which a class's programs are drawn: the least and the most.
type DrawRange = (u64, u64);

/// Shape of a class's programs.
#[derive(Clone, Debug)]
pub struct ClassShape {
    /// The class.
    pub name: ClassName,
    /// Priority of the class, from 0.
    pub priority: u8,
    /// Weight of program latency against wasted cache.
    pub latency_weight: f64,
    /// Share of all programs.
    pub share: f64,
    /// Tokens one program may use.
    pub tokens: TokenCount,
    /// Tokens of the first message that the class's programs share.
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

    /// A single question.
    #[must_use]
    pub fn question(name: &str, priority: u8, latency_weight: f64) -> Self {
        Self {
            share: 0.5,
            ..Self::new(name, priority, latency_weight)
        }
    }

    /// Several exchanges with tools in between.
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

    /// A long draft.
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

    /// An urgent alert.
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

    /// Names the service and the tool that the programs use.
    #[must_use]
    pub fn with_services(mut self, service: &str, tool: &str) -> Self {
        self.service = service.into();
        self.tool = tool.into();
        self
    }

    fn draw_pause(&self, rng: &mut SmallRng) -> Duration {
        let pause = Duration::from_millis(draw(rng, self.pause_ms));
        if rng.random_bool(self.tail) {
            // A heavy tail: some tools and people take many times as long.
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
                // Half of the tool calls have a side effect that must not come twice.
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
                let below = (0..count).map(|_| ProgramPlan {
                    class: self.name.clone(),
                    steps: self.draw_steps(rng, false).into_iter().take(4).collect(),
                    shared_prompt: self.shared_prompt,
                });
                steps.push(PlanStep::SubAgents(below.collect()));
            }
        }
        steps
    }
}

fn draw(rng: &mut SmallRng, (least, most): DrawRange) -> u64 {
    rng.random_range(least..=most)
}

/// Draws a program from the shapes by their shares.
///
/// # Panics
///
/// Panics where `shapes` is empty.
#[must_use]
pub fn draw_plan(shapes: &[ClassShape], rng: &mut SmallRng) -> ProgramPlan {
    let total: f64 = shapes.iter().map(|shape| shape.share).sum();
    let mut place = rng.random_range(0.0..total);
    let mut chosen = &shapes[0];
    for shape in shapes {
        chosen = shape;
        if place < shape.share {
            break;
        }
        place -= shape.share;
    }
    ProgramPlan {
        class: chosen.name.clone(),
        steps: chosen.draw_steps(rng, true),
        shared_prompt: chosen.shared_prompt,
    }
}

impl ProgramPlan {
    /// Returns the tokens generated by the program and its sub-agents, and the prompt tokens of all
    /// its calls without any cache.
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

    /// Returns the first message of the class.
    #[must_use]
    pub fn shared_text(&self) -> String {
        filler(&format!("[class {}] ", self.class), self.shared_prompt)
    }
}

/// Composes a text of so many tokens that begins with `start`.
pub fn filler(start: &str, tokens: TokenCount) -> String {
    let length = usize::try_from(tokens)
        .unwrap_or(usize::MAX)
        .saturating_mul(TOKEN_BYTES);
    let mut text = start.to_owned();
    let mut word = 0;
    while text.len() < length {
        // Writing to a string can't fail.
        let _ = write!(text, "x{word:02} ");
        word = (word + 1) % 100;
    }
    text
}

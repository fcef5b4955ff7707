//! Views of calls and engines: the inputs and results of scheduling decisions.

use std::time::Duration;

use crate::ids::{ProgramId, TokenCount, UpstreamName};

/// A waiting call as a decision sees it.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The program.
    pub program: ProgramId,
    /// Order of arrival at this instance.
    pub arrival: u64,
    /// Priority of the class, from 0 (first) to 9.
    pub priority: u8,
    /// Weight of program latency, from 0 to 1; the lower it is, the more wasted cache counts.
    pub latency_weight: f64,
    /// Time the call has waited.
    pub waited: Duration,
    /// Time since the program started.
    pub age: Duration,
    /// Time left until the program's deadline.
    pub time_left: Duration,
    /// Calls of the program before this one.
    pub calls: u32,
    /// Tokens of the entire prompt.
    pub prompt_tokens: TokenCount,
    /// Expected number of tokens in the response.
    pub answer_tokens: TokenCount,
    /// Engine time that the program is expected to need from now on, including this call.
    pub remaining_work: Duration,
    /// Home engine: the one that has the program's prefix cached, if known.
    pub home: Option<UpstreamName>,
}

/// An engine as a decision sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine.
    pub name: UpstreamName,
    /// Whether the engine is in this instance's failure domain.
    pub local: bool,
    /// Requests that the engine can run concurrently.
    pub slots: u32,
    /// Estimated requests at the engine, by its last report and by the calls that instances have in flight.
    pub in_flight: u32,
    /// Maximum number of requests to have in flight at the engine.
    pub limit: u32,
    /// Tokens of the job's prompt that the engine has probably cached.
    pub cached_tokens: TokenCount,
    /// Tokens of running programs whose prefixes are cached on the engine.
    pub resident_tokens: TokenCount,
    /// Capacity of the cache in tokens.
    pub cache_tokens: TokenCount,
    /// Time to prefill one token.
    pub prefill_time: Duration,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Mean duration of a call on the engine.
    pub call_time: Duration,
}

impl EngineView {
    /// Returns whether another request may be sent to the engine.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit
    }

    /// Estimates how long a request sent now would wait for a slot.
    #[must_use]
    pub fn queue_delay(&self) -> Duration {
        let ahead = (self.in_flight + 1).saturating_sub(self.slots);
        self.call_time * ahead / self.slots.max(1)
    }
}

/// Sort key of a waiting call; the smallest key is next.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct OrderKey {
    /// Priority band after ageing.
    pub band: u8,
    /// Rank within the band; lower is earlier.
    pub score: f64,
    /// Order of arrival.
    pub arrival: u64,
}

/// Placement of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementChoice {
    /// Send the call to the engine at this index.
    At(usize),
    /// Keep the call in the queue.
    Wait,
}

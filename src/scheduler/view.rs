//! What the decisions look at.

use std::time::Duration;

use crate::ids::{ProgramId, TokenCount, UpstreamName};

/// A waiting call.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The program.
    pub program: ProgramId,
    /// Order of arrival at this instance.
    pub arrival: u64,
    /// From 0, which runs first, to 9.
    pub priority: u8,
    /// Weight of program latency against wasted cache, from 0 to 1.
    pub latency_weight: f64,
    /// Time the call has waited.
    pub waited: Duration,
    /// Time since the program began.
    pub age: Duration,
    /// Time left until the program's deadline.
    pub time_left: Duration,
    /// Calls of the program before this one.
    pub calls: u32,
    /// Tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens the answer is expected to have.
    pub answer_tokens: TokenCount,
    /// Work that the program is expected to need still, this call included.
    pub remaining_work: Duration,
    /// Engine that has the program's prefix cached, as far as is known.
    pub home: Option<UpstreamName>,
}

/// An engine as a decision sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine.
    pub name: UpstreamName,
    /// Whether it stands in this instance's failure domain.
    pub local: bool,
    /// Requests that can run at once.
    pub slots: u32,
    /// Requests that are there by now, by its last report and what is known since.
    pub in_flight: u32,
    /// Most requests to send at once.
    pub limit: u32,
    /// Tokens of the job's prompt that are probably cached there.
    pub cached_tokens: TokenCount,
    /// Tokens of running programs that live there.
    pub resident_tokens: TokenCount,
    /// Tokens the cache can hold.
    pub cache_tokens: TokenCount,
    /// Time for prefilling one token.
    pub prefill_time: Duration,
    /// Time for generating one token.
    pub token_time: Duration,
    /// Mean time of a call there.
    pub call_time: Duration,
}

impl EngineView {
    /// Returns whether another request may be sent there.
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

/// Where waiting calls stand in line; the smallest is next.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct OrderKey {
    /// Band of priority after ageing.
    pub band: u8,
    /// Place within the band.
    pub score: f64,
    /// Order of arrival.
    pub arrival: u64,
}

/// Where a call goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementChoice {
    /// To the engine of this index.
    At(usize),
    /// Nowhere yet.
    Wait,
}

//! Priority rank of a turn at an engine: pure.
//!
//! Handles bursts in which more programs start than the engines can serve. Engines serve equal ranks in the order of
//! arrival, so without ranks every program is delayed a little at every turn and hardly any finishes in time. With
//! ranks, some of the programs finish in time and the others wait at their first turn, where the least work is lost:
//!
//! * programs that have started go before new ones; of those that have started, the ones that can still finish in time
//!   go first;
//! * new programs are ordered by a hash of the program, which is the same on every entry and for every attempt;
//! * new programs that have waited too long at their first turn go last of their class: they use what capacity remains;
//! * so do new programs of an organisation above its fair share of a contended service. In a service with more than two
//!   priorities, all new programs of a class have the same rank, so that shares have no effect there.
//!
//! The operators' priorities take precedence over these rules. Results of the paired runs, also for the rejected
//! alternatives, are in docs/design/urgency.md.

use std::time::Duration;

use super::service_times::ServiceTimes;

/// Number of ranks that an engine supports; 0 is the most urgent.
const RANKS: u8 = 10;

/// Maximum number of ranks in one urgency class: started and in time, started and late, two groups of new programs, and
/// new programs that have waited too long.
const CLASS_RANKS: u8 = 5;

/// Number of groups into which new programs are divided.
const NEW_PROGRAM_GROUPS: u16 = 2;

/// Time that a turn takes in addition to its prompt and its tokens: network latency, and the pause for tool calls after
/// it.
const TURN_OVERHEAD: Duration = Duration::from_millis(160);

/// Share of a program's total time that may be lost before the program can't finish in time any more: programs are
/// given 1.4 to 1.9 times what they take on idle engines, so about a third to a half of the time is slack.
const SLACK_SHARE: f64 = 0.4;

/// Position of a route's priority among the priorities of all routes to one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UrgencyClass {
    /// Position, from 0 (most urgent).
    pub index: u8,
    /// Number of distinct priorities.
    pub count: u8,
}

impl Default for UrgencyClass {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

/// Typical times of a service's turns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TurnPace {
    /// Time of a complete turn.
    pub turn: Duration,
    /// Time to the response head.
    pub time_to_head: Duration,
    /// Time per generated token.
    pub token: Duration,
}

impl From<&ServiceTimes> for TurnPace {
    fn from(times: &ServiceTimes) -> Self {
        Self {
            turn: times.slot_time(),
            time_to_head: times.time_to_head(),
            token: times.token(),
        }
    }
}

/// Progress of a program, as known when one of its turns is about to be sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgramProgress {
    /// Hash of the program, the same on every instance.
    pub tag: u8,
    /// Completed turns.
    pub completed_turns: u32,
    /// Tokens that the completed turns generated.
    pub generated_tokens: u64,
    /// Time before the program's deadline when its first turn arrived, if known.
    pub initial_time_left: Option<Duration>,
    /// Time before the program's deadline now, if the caller states one.
    pub time_left: Option<Duration>,
    /// Whether the program's organisation is above its fair share of a contended service.
    pub over_share: bool,
}

impl ProgramProgress {
    /// Returns whether the program has completed a turn.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.completed_turns > 0
    }

    /// Returns the group of new programs to which the program belongs, from 0.
    fn group(&self) -> u8 {
        let group = u16::from(self.tag) * NEW_PROGRAM_GROUPS / (u16::from(u8::MAX) + 1);
        u8::try_from(group).unwrap_or(0)
    }

    /// Returns whether the program can't finish in time any more.
    #[must_use]
    pub fn is_late(&self, pace: &TurnPace) -> bool {
        let Some(left) = self.time_left else {
            return false;
        };
        if left < pace.turn {
            return true;
        }
        let Some(initial_time_left) = self.initial_time_left else {
            return false;
        };
        let tokens = u32::try_from(self.generated_tokens).unwrap_or(u32::MAX);
        let overhead = TURN_OVERHEAD + pace.time_to_head;
        let worked =
            overhead.saturating_mul(self.completed_turns) + pace.token.saturating_mul(tokens);
        let lost = initial_time_left
            .saturating_sub(left)
            .saturating_sub(worked);
        lost > initial_time_left.mul_f64(SLACK_SHARE)
    }
}

/// Returns a turn's rank at an engine, from 0 (most urgent) to 9.
#[must_use]
pub fn turn_rank(class: UrgencyClass, progress: &ProgramProgress, pace: &TurnPace) -> u8 {
    let count = class.count.max(1);
    let index = class.index.min(count - 1);
    let width = (RANKS / count).clamp(1, CLASS_RANKS);
    let first = (index * width).min(RANKS - width);
    let late = progress.is_late(pace);
    let position = match (progress.has_begun(), late) {
        (true, false) => 0,
        (true, true) => 1,
        (false, false) if !progress.over_share => 2 + progress.group(),
        (false, _) => CLASS_RANKS - 1,
    };
    first + position.min(width - 1)
}

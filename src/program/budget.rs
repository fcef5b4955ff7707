//! Budgets: the limits of a program, and its reserved and spent tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{SequenceNumber, TokenCount};

/// Limits of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ProgramLimits {
    /// Maximum number of tokens, counting generated and newly sent ones.
    pub tokens: TokenCount,
    /// Maximum number of calls.
    pub calls: SequenceNumber,
    /// Maximum time from begin to end; written in seconds in records.
    #[serde(with = "seconds")]
    pub wall_time: Duration,
    /// Maximum nesting depth of sub-agents below the program.
    pub depth: u8,
    /// Maximum number of identical calls in a row.
    pub repeats: u16,
}

impl Default for ProgramLimits {
    fn default() -> Self {
        Self {
            tokens: 100_000,
            calls: 400,
            wall_time: Duration::from_hours(1),
            depth: 3,
            repeats: 5,
        }
    }
}

/// Serialisation of a duration as an integer number of seconds.
mod seconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<Target>(time: &Duration, target: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        target.serialize_u64(time.as_secs())
    }

    pub fn deserialize<'de, Source>(source: Source) -> Result<Duration, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        u64::deserialize(source).map(Duration::from_secs)
    }
}

/// A reservation that exceeds the remaining tokens.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{requested} tokens requested, {left} left; end the program or raise its budget")]
pub struct BudgetExceeded {
    /// Tokens requested.
    pub requested: TokenCount,
    /// Tokens left.
    pub left: TokenCount,
}

/// Tokens allowed, reserved and spent; `reserved + spent` never exceeds `limit`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BudgetAccount {
    /// Tokens allowed.
    pub limit: TokenCount,
    /// Tokens reserved for running calls and sub-agents.
    pub reserved: TokenCount,
    /// Tokens spent.
    pub spent: TokenCount,
}

impl BudgetAccount {
    /// Creates an account without reserved or spent tokens.
    #[must_use]
    pub fn new(limit: TokenCount) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the tokens that can still be reserved.
    #[must_use]
    pub fn left(&self) -> TokenCount {
        self.limit.saturating_sub(self.used())
    }

    /// Returns the tokens spent or reserved.
    #[must_use]
    pub fn used(&self) -> TokenCount {
        self.reserved.saturating_add(self.spent)
    }

    /// Reserves tokens.
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExceeded`] if fewer tokens are left; nothing is reserved then.
    pub fn reserve(&mut self, requested: TokenCount) -> Result<(), BudgetExceeded> {
        let left = self.left();
        if requested > left {
            return Err(BudgetExceeded { requested, left });
        }
        self.reserved += requested;
        Ok(())
    }

    /// Ends a reservation and counts the used tokens, at most the reserved ones, as spent.
    pub fn settle(&mut self, reserved: TokenCount, used: TokenCount) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(used.min(reserved));
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::quickcheck;

    use super::*;

    quickcheck! {
        fn account_is_never_overdrawn(limit: u32, steps: Vec<(u16, u16)>) -> bool {
            let mut account = BudgetAccount::new(limit.into());
            let mut open = Vec::new();
            for (requested, used) in steps {
                if account.reserve(requested.into()).is_ok() {
                    open.push((TokenCount::from(requested), TokenCount::from(used)));
                }
                if used % 2 == 0 && let Some((reserved, used)) = open.pop() {
                    account.settle(reserved, used);
                }
                if account.used() > account.limit {
                    return false;
                }
            }
            true
        }
    }
}

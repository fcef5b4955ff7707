//! One organisation as its home knows it: what counts in the window, and what each entry was granted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::ledger::LedgerTime;
use super::message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
use super::recent::RECENT_PARTS;

/// How long a token may be used after the question that brought it.
const TOKEN_LIFE: Duration = Duration::from_secs(2);

/// Step to which the times are rounded at which charges leave the window, so that many cost no more than a few.
const CHARGE_STEP: Duration = Duration::from_millis(20);

/// Part of the limit from which on tokens are granted only to requests that wait for them.
const NEAR_SHARE: f64 = 0.5;

/// Part of the limit that may be held in advance by all entries together.
const SPARE_SHARE: f64 = 0.125;

/// Silence of an instance after which it is taken to go on without its home: entries ask whether a keeper is there
/// several times a second.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(700);

/// Newest parts of an entry's window that a home which has just started again can't know from its disk: it was away for
/// about as long.
const UNKNOWN_PARTS: usize = 6;

/// Returns a part of a number of requests.
fn part_of(requests: u32, share: f64) -> i64 {
    // Both are small.
    #[allow(clippy::cast_possible_truncation)]
    let part = (f64::from(requests) * share).ceil() as i64;
    part
}

/// What one start of an entry was granted.
#[derive(Debug, Default)]
pub(super) struct EntryAccount {
    pub(super) instance: InstanceTag,
    pub(super) sequence: u64,
    /// When it asked last.
    pub(super) asked: LedgerTime,
    pub(super) granted: u64,
    pub(super) used: u64,
    pub(super) alone: u64,
    pub(super) lapses: LedgerTime,
    /// When its charges leave the window, and how many do.
    pub(super) charges: VecDeque<(LedgerTime, u32)>,
    /// What it had used in its window when it asked last: with as much it goes on by itself.
    pub(super) steady: u32,
    /// What is kept for it where it falls silent.
    pub(super) kept: u32,
    /// Programs that began with its tokens.
    pub(super) begun: u64,
    /// Tokens used or about to be that are told for the disk.
    pub(super) saved: u64,
}

impl EntryAccount {
    /// Returns whether the entry may be letting requests through without this home: it has fallen silent since it asked.
    pub(super) fn goes_on_alone(
        &self,
        heard: &HashMap<InstanceTag, LedgerTime>,
        rule: &LimitRule,
        now: LedgerTime,
    ) -> bool {
        let Some(heard) = heard.get(&self.instance) else {
            return false;
        };
        let silent = now.saturating_sub(*heard) >= SILENT_AFTER;
        // What it lets through last counts for a window more.
        silent && now < self.asked + rule.standalone_period + rule.window
    }

    fn outstanding(&self) -> i64 {
        i64::try_from(self.granted.saturating_sub(self.used)).unwrap_or(i64::MAX)
    }
}

/// One organisation.
#[derive(Debug, Default)]
pub(super) struct OrganisationLedger {
    pub(super) limit: WindowLimit,
    /// Tokens by the time at which they leave the window.
    pub(super) leaving: BTreeMap<LedgerTime, u32>,
    pub(super) total: i64,
    /// Programs that have begun, by the time at which they leave the window.
    pub(super) begun: VecDeque<(LedgerTime, u32)>,
    /// Tokens that entries hold and have not used, as far as they have told.
    pub(super) outstanding: i64,
    /// What is kept for all entries together.
    pub(super) kept: u32,
    pub(super) accounts: HashMap<EntryIncarnation, EntryAccount>,
    /// Until when what entries used before they asked may be known from the disk.
    pub(super) restored_until: Option<LedgerTime>,
}

impl OrganisationLedger {
    pub(super) fn expire(&mut self, now: LedgerTime) {
        while self.begun.front().is_some_and(|(leaves, _)| *leaves <= now) {
            self.begun.pop_front();
        }
        while let Some(first) = self.leaving.first_entry() {
            if *first.key() > now {
                return;
            }
            self.total -= i64::from(first.remove());
        }
    }

    fn count(&mut self, leaves: LedgerTime, count: u32) {
        *self.leaving.entry(leaves).or_default() += count;
        self.total += i64::from(count);
    }

    /// Counts tokens of an entry until they leave the window.
    pub(super) fn charge(&mut self, life: EntryIncarnation, leaves: LedgerTime, count: u32) {
        if count == 0 {
            return;
        }
        let leaves = rounded_up(leaves);
        self.count(leaves, count);
        let account = self.accounts.entry(life).or_default();
        account.charges.push_back((leaves, count));
    }

    /// Counts tokens of an entry no longer, the newest first.
    fn release(&mut self, life: EntryIncarnation, mut count: i64) {
        let Some(account) = self.accounts.get_mut(&life) else {
            return;
        };
        while count > 0 {
            let Some((leaves, charged)) = account.charges.pop_back() else {
                return;
            };
            let released = i64::from(charged).min(count);
            let rest = u32::try_from(i64::from(charged) - released).unwrap_or(0);
            if rest > 0 {
                account.charges.push_back((leaves, rest));
            }
            count -= released;
            // It may have left the window by itself.
            let Some(counted) = self.leaving.get_mut(&leaves) else {
                continue;
            };
            let released = released.min(i64::from(*counted));
            *counted -= u32::try_from(released).unwrap_or(0);
            self.total -= released;
        }
    }

    /// Counts the programs that have begun with an entry's tokens, or begin with what it was granted.
    pub(super) fn take_begun(
        &mut self,
        ask: &AllowanceRequest,
        grant: &AllowanceGrant,
        leaves: LedgerTime,
    ) -> u32 {
        let Some(account) = self.accounts.get_mut(&ask.life) else {
            return 0;
        };
        let granted = ask.begins && grant.granted > ask.used;
        let begun = ask.begun + u64::from(granted);
        let count = u32::try_from(begun.saturating_sub(account.begun)).unwrap_or(u32::MAX);
        account.begun = account.begun.max(begun);
        if count > 0 {
            self.begun.push_back((leaves, count));
        }
        count
    }

    /// Takes what an entry has used, and takes back what it can't use any more.
    pub(super) fn take_report(
        &mut self,
        ask: &AllowanceRequest,
        now: LedgerTime,
        window: Duration,
    ) {
        let fresh = !self.accounts.contains_key(&ask.life);
        if fresh {
            self.accounts.insert(
                ask.life,
                EntryAccount {
                    instance: ask.instance,
                    granted: ask.used,
                    used: ask.used,
                    alone: ask.alone,
                    saved: ask.used,
                    begun: ask.begun,
                    ..EntryAccount::default()
                },
            );
            self.charge_recent(ask, now, window);
        }
        let Some(account) = self.accounts.get_mut(&ask.life) else {
            return;
        };
        if ask.sequence < account.sequence {
            return;
        }
        account.sequence = ask.sequence;
        account.asked = now;
        account.steady = ask.recent.iter().sum();
        let before = account.outstanding();
        account.used = ask.used;
        let alone = ask.alone.saturating_sub(account.alone);
        account.alone = account.alone.max(ask.alone);
        account.granted += alone;
        // Another home granted these.
        let granted_elsewhere = ask.used.saturating_sub(account.granted);
        let unknown = granted_elsewhere + alone;
        account.granted = account.granted.max(ask.used);
        let unused = account.outstanding();
        let lapsed = now >= account.lapses && unused > 0;
        if lapsed {
            account.granted = account.used;
        }
        self.outstanding += account.outstanding() - before;
        let unknown = u32::try_from(unknown).unwrap_or(u32::MAX);
        self.charge(ask.life, now + window, unknown);
        if lapsed {
            self.release(ask.life, unused);
        }
    }

    /// Counts what an entry had used before this home heard of it.
    fn charge_recent(&mut self, ask: &AllowanceRequest, now: LedgerTime, window: Duration) {
        let part = window / u32::try_from(RECENT_PARTS).unwrap_or(1);
        let restored = self.restored_until.is_some_and(|until| now < until);
        let unknown = if restored {
            UNKNOWN_PARTS
        } else {
            RECENT_PARTS
        };
        let mut leaves = now + window;
        for &count in ask.recent.iter().take(unknown) {
            self.charge(ask.life, leaves, count);
            leaves = leaves.saturating_sub(part);
        }
    }

    /// Returns the tokens that the entry has used or is about to use beyond those that were told for the disk.
    pub(super) fn take_unsaved(&mut self, ask: &AllowanceRequest, grant: &AllowanceGrant) -> u32 {
        let Some(account) = self.accounts.get_mut(&ask.life) else {
            return 0;
        };
        let used = grant.granted.min(ask.used + u64::from(ask.waiting));
        let count = used.saturating_sub(account.saved);
        account.saved = account.saved.max(used);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns what silent instances may be using by themselves beyond what is counted.
    pub(super) fn reserved(
        &self,
        heard: &HashMap<InstanceTag, LedgerTime>,
        rule: &LimitRule,
        now: LedgerTime,
    ) -> i64 {
        let accounts = self.accounts.values();
        accounts
            .filter(|account| account.goes_on_alone(heard, rule, now))
            .map(|account| {
                let counted = account.charges.iter().filter(|(leaves, _)| *leaves > now);
                let counted: u32 = counted.map(|(_, count)| *count).sum();
                i64::from(account.kept.saturating_sub(counted))
            })
            .sum()
    }

    pub(super) fn grant(
        &mut self,
        ask: &AllowanceRequest,
        reserved: i64,
        fitting: Option<u32>,
        now: LedgerTime,
        window: Duration,
    ) -> AllowanceGrant {
        let limit = self.limit.requests;
        let taken = self.total + reserved;
        let near = taken >= part_of(limit, NEAR_SHARE);
        let bound = i64::from(limit);
        let begun: u32 = self.begun.iter().map(|(_, count)| count).sum();
        // One that can't be ended within the limit would use its part for nothing, and for others' loss.
        let fits = !ask.begins || fitting.is_none_or(|fitting| begun < fitting);
        let granted = self
            .accounts
            .get(&ask.life)
            .map_or(0, |account| account.granted);
        let wanted = (ask.used + u64::from(ask.waiting)).saturating_sub(granted);
        let wanted = i64::try_from(wanted).unwrap_or(i64::MAX);
        let given = if fits {
            wanted.min(bound - taken).max(0)
        } else {
            0
        };
        let spare = if near || given < wanted {
            0
        } else {
            let room = part_of(limit, SPARE_SHARE) - self.outstanding;
            let held = granted.saturating_sub(ask.used + u64::from(ask.waiting));
            let lacking = i64::from(ask.spare) - i64::try_from(held).unwrap_or(i64::MAX);
            lacking.min(room).max(0)
        };
        let (given_count, spare_count) = (small(given), small(spare));
        self.charge(ask.life, now + window, given_count);
        // Those are used later, and may be as late as their life allows.
        self.charge(ask.life, now + window + TOKEN_LIFE, spare_count);
        let total = {
            let account = self.accounts.entry(ask.life).or_default();
            let before = account.outstanding();
            account.granted += u64::from(given_count) + u64::from(spare_count);
            account.lapses = now + TOKEN_LIFE;
            self.outstanding += account.outstanding() - before;
            account.granted
        };
        let steady = self.keep_part(ask.life);
        AllowanceGrant {
            granted: total,
            lasts: TOKEN_LIFE,
            near,
            steady,
            use_now: WindowUse {
                limit,
                taken: small(taken),
                begun,
                fitting: fitting.unwrap_or(0),
            },
            retry_after: if fits {
                self.room_after(taken - bound + 1, now)
            } else {
                self.next_program(now)
            },
        }
    }

    /// Keeps a part of the limit for an entry that may fall silent; all parts together are no more than the limit. Returns
    /// the part.
    fn keep_part(&mut self, life: EntryIncarnation) -> u32 {
        let Some(account) = self.accounts.get_mut(&life) else {
            return 0;
        };
        let others = self.kept - account.kept;
        let room = self.limit.requests.saturating_sub(others);
        account.kept = kept_for(account.steady).min(room);
        self.kept = others + account.kept;
        account.kept
    }

    /// Returns the time until one more program may begin.
    fn next_program(&self, now: LedgerTime) -> Duration {
        let first = self.begun.front();
        first.map_or(CHARGE_STEP, |(leaves, _)| leaves.saturating_sub(now))
    }

    /// Returns the time until so many tokens have left the window.
    fn room_after(&self, mut count: i64, now: LedgerTime) -> Duration {
        for (&leaves, &leaving) in &self.leaving {
            count -= i64::from(leaving);
            if count <= 0 {
                return leaves.saturating_sub(now);
            }
        }
        CHARGE_STEP
    }

    /// Forgets accounts whose charges have all left and that are not kept a part any more.
    pub(super) fn forget(&mut self, rule: &LimitRule, now: LedgerTime) {
        let (mut forgotten, mut unkept) = (0, 0);
        self.accounts.retain(|_, account| {
            account.charges.retain(|(leaves, _)| *leaves > now);
            let kept = !account.charges.is_empty()
                || now < account.asked + rule.standalone_period + rule.window;
            if !kept {
                forgotten += account.outstanding();
                unkept += account.kept;
            }
            kept
        });
        self.outstanding -= forgotten;
        self.kept -= unkept;
    }
}

/// Returns how many requests a window an instance may go on with that used so many: one more, and a little more, since
/// what it counts as its window is not exact.
fn kept_for(steady: u32) -> u32 {
    steady + steady / 8 + 1
}

fn small(count: i64) -> u32 {
    u32::try_from(count).unwrap_or(0)
}

pub(super) fn rounded_up(time: LedgerTime) -> LedgerTime {
    let step = CHARGE_STEP.as_millis();
    let steps = time.as_millis().div_ceil(step);
    CHARGE_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

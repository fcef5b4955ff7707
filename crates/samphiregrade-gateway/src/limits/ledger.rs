//! The home's side: what all entries have been granted of the organisations' limits.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{AllowanceGrant, AllowanceRequest, InstanceTag, LimitRule};
use super::organisation::{OrganisationLedger, SILENT_AFTER, rounded_up};
use super::program_size::ProgramSize;
use crate::model::OrganisationTag;

/// Time on a home's own clock, which goes on where it stood when the home starts again.
pub type LedgerTime = Duration;

/// Time for which it is remembered when an instance was heard.
const HEARD_TIME: Duration = Duration::from_mins(2);

/// Times in a window at which what is kept for silent instances is written down.
const KEPT_NOTES: u32 = 4;

/// Newest uses among which one of the same time and organisation is looked for.
const UNSAVED_LOOK: usize = 16;

/// Tokens of an organisation by the time at which they leave the window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitUse {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The instance that used them.
    pub instance: InstanceTag,
    /// When they leave.
    pub leaves: LedgerTime,
    /// How many.
    pub count: u32,
}

/// What a home knows of the organisations that it is home to.
#[derive(Debug)]
pub struct LimitLedger {
    rule: LimitRule,
    organisations: HashMap<OrganisationTag, OrganisationLedger>,
    /// When each instance was heard last.
    heard: HashMap<InstanceTag, LedgerTime>,
    /// Uses that are not told for the disk yet.
    unsaved: Vec<LimitUse>,
    programs: ProgramSize,
    /// When what is kept for silent instances is written down next.
    next_kept_note: LedgerTime,
}

impl LimitLedger {
    /// Makes a ledger that knows of nothing.
    #[must_use]
    pub fn new(rule: LimitRule) -> Self {
        Self {
            rule,
            organisations: HashMap::new(),
            heard: HashMap::new(),
            unsaved: Vec::new(),
            programs: ProgramSize::default(),
            next_kept_note: LedgerTime::ZERO,
        }
    }

    /// Notes that an instance is within reach.
    pub fn record_contact(&mut self, instance: InstanceTag, now: LedgerTime) {
        self.heard.insert(instance, now);
    }

    /// Answers an entry.
    pub fn answer(&mut self, ask: &AllowanceRequest, now: LedgerTime) -> AllowanceGrant {
        self.record_contact(ask.instance, now);
        let organisation = self.organisations.entry(ask.organisation).or_default();
        organisation.expire(now);
        if ask.limit.version >= organisation.limit.version {
            organisation.limit = ask.limit;
        }
        organisation.take_report(ask, now, self.rule.window);
        let reserved = organisation.reserved(&self.heard, &self.rule, now);
        let fitting = self.programs.fitting(organisation.limit.requests);
        let grant = organisation.grant(ask, reserved, fitting, now, self.rule.window);
        let count = organisation.take_unsaved(ask, &grant);
        let begun = organisation.take_begun(ask, &grant, now + self.rule.window);
        // What is refused belongs to a program as well.
        let refused = !ask.begins && grant.granted < ask.used + u64::from(ask.waiting);
        self.programs.note(count + u32::from(refused), begun);
        self.note_unsaved(ask, now + self.rule.window, count);
        grant
    }

    fn note_unsaved(&mut self, ask: &AllowanceRequest, leaves: LedgerTime, count: u32) {
        if count == 0 {
            return;
        }
        let leaves = rounded_up(leaves);
        let same = |known: &&mut LimitUse| {
            known.organisation == ask.organisation
                && known.instance == ask.instance
                && known.leaves == leaves
        };
        if let Some(known) = self.unsaved.iter_mut().rev().take(UNSAVED_LOOK).find(same) {
            known.count += count;
            return;
        }
        self.unsaved.push(LimitUse {
            organisation: ask.organisation,
            instance: ask.instance,
            leaves,
            count,
        });
    }

    /// Returns the uses that came since it was asked last, to be kept over a start of the home.
    ///
    /// What is kept for silent instances is among them: nobody tells what these use.
    pub fn take_unsaved(&mut self, now: LedgerTime) -> Vec<LimitUse> {
        let mut uses = std::mem::take(&mut self.unsaved);
        if now < self.next_kept_note {
            return uses;
        }
        self.next_kept_note = now + self.rule.window / KEPT_NOTES;
        for (&organisation, ledger) in &self.organisations {
            for account in ledger.accounts.values() {
                let alone = account.goes_on_alone(&self.heard, &self.rule, now);
                if account.kept == 0 || !alone {
                    continue;
                }
                uses.push(LimitUse {
                    organisation,
                    instance: account.instance,
                    leaves: now + self.rule.window,
                    count: account.kept,
                });
            }
        }
        uses
    }

    /// Returns the tokens of an organisation that count in the window.
    pub fn total(&mut self, organisation: OrganisationTag, now: LedgerTime) -> i64 {
        let Some(organisation) = self.organisations.get_mut(&organisation) else {
            return 0;
        };
        organisation.expire(now);
        organisation.total
    }

    /// Returns all that counts, for a home that keeps it anew.
    #[must_use]
    pub fn all_uses(&self) -> Vec<LimitUse> {
        let mut uses = Vec::new();
        for (&organisation, ledger) in &self.organisations {
            for account in ledger.accounts.values() {
                uses.extend(account.charges.iter().map(|&(leaves, count)| LimitUse {
                    organisation,
                    instance: account.instance,
                    leaves,
                    count,
                }));
            }
        }
        uses
    }

    /// Takes uses that were kept, when the home starts again.
    ///
    /// An instance that stays silent from then on may be cut off, and go on as before.
    pub fn restore(&mut self, uses: &[LimitUse], now: LedgerTime) {
        for kept in uses.iter().filter(|kept| kept.leaves > now) {
            // Until it is heard it counts as silent.
            self.heard
                .insert(kept.instance, now.saturating_sub(SILENT_AFTER));
            let organisation = self.organisations.entry(kept.organisation).or_default();
            organisation.restored_until = Some(now + self.rule.window);
            // All lives of an instance before the start are one.
            let life = kept.instance;
            organisation.charge(life, kept.leaves, kept.count);
            let account = organisation.accounts.entry(life).or_default();
            account.instance = kept.instance;
            account.asked = now;
            account.steady += kept.count;
            account.kept += kept.count;
            organisation.kept += kept.count;
        }
    }

    /// Forgets what counts no longer.
    pub fn sweep(&mut self, now: LedgerTime) {
        self.heard
            .retain(|_, heard| now.saturating_sub(*heard) < HEARD_TIME);
        self.organisations.retain(|_, organisation| {
            organisation.expire(now);
            organisation.forget(&self.rule, now);
            organisation.total > 0 || !organisation.accounts.is_empty()
        });
    }
}

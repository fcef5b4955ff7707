//! Home side of the request limits: the tokens that all entries were granted of the organisations' limits.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{AllowanceGrant, AllowanceRequest, InstanceTag, LimitRule};
use super::organisation::{OrganisationLedger, UNRESPONSIVE_AFTER, rounded_up};
use super::program_size::ProgramSize;
use crate::model::OrganisationTag;

/// Time on a home's own clock, which continues at its last value after a restart of the home.
pub type LedgerTime = Duration;

/// Time for which the last contact with an instance is kept.
const CONTACT_MEMORY: Duration = Duration::from_mins(2);

/// How often in a window the reservations for unresponsive instances are written to disk.
const RESERVATION_WRITES: u32 = 4;

/// Number of the newest unsaved uses that are searched for one with the same time, instance and organisation.
const UNSAVED_SEARCH: usize = 16;

/// Tokens that an instance has used of an organisation's limit, with the time at which they leave the window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitUse {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The instance that used the tokens.
    pub instance: InstanceTag,
    /// Time at which the tokens leave the window.
    pub leaves: LedgerTime,
    /// Number of tokens.
    pub count: u32,
}

/// A home's ledger of all organisations that it is responsible for.
#[derive(Debug)]
pub struct LimitLedger {
    rule: LimitRule,
    organisations: HashMap<OrganisationTag, OrganisationLedger>,
    /// Time of the last contact with each instance.
    last_contacts: HashMap<InstanceTag, LedgerTime>,
    /// Uses that were not passed to the disk yet.
    unsaved: Vec<LimitUse>,
    programs: ProgramSize,
    /// Time at which the reservations for unresponsive instances are next written to disk.
    next_reservation_write: LedgerTime,
}

impl LimitLedger {
    /// Returns an empty ledger.
    #[must_use]
    pub fn new(rule: LimitRule) -> Self {
        Self {
            rule,
            organisations: HashMap::new(),
            last_contacts: HashMap::new(),
            unsaved: Vec::new(),
            programs: ProgramSize::default(),
            next_reservation_write: LedgerTime::ZERO,
        }
    }

    /// Records a contact with an instance, which shows that the instance is reachable.
    pub fn record_contact(&mut self, instance: InstanceTag, now: LedgerTime) {
        self.last_contacts.insert(instance, now);
    }

    /// Replies to an entry's request.
    pub fn answer(&mut self, request: &AllowanceRequest, now: LedgerTime) -> AllowanceGrant {
        self.record_contact(request.instance, now);
        let organisation = self.organisations.entry(request.organisation).or_default();
        organisation.expire(now);
        if request.limit.version >= organisation.limit.version {
            organisation.limit = request.limit;
        }
        organisation.apply_report(request, now, self.rule.window);
        let uncounted_use = organisation.uncounted_use(&self.last_contacts, &self.rule, now);
        let fitting = self.programs.fitting(organisation.limit.requests);
        let grant = organisation.grant(request, uncounted_use, fitting, now, self.rule.window);
        let count = organisation.take_unsaved(request, &grant);
        let started = organisation.record_started_programs(request, &grant, now + self.rule.window);
        // A refused request belongs to a program as well.
        let refused = !request.begins && grant.granted < request.used + u64::from(request.waiting);
        self.programs.record(count + u32::from(refused), started);
        self.record_unsaved(request, now + self.rule.window, count);
        grant
    }

    fn record_unsaved(&mut self, request: &AllowanceRequest, leaves: LedgerTime, count: u32) {
        if count == 0 {
            return;
        }
        let leaves = rounded_up(leaves);
        let same_use = |matching_use: &&mut LimitUse| {
            matching_use.organisation == request.organisation
                && matching_use.instance == request.instance
                && matching_use.leaves == leaves
        };
        if let Some(matching_use) = self
            .unsaved
            .iter_mut()
            .rev()
            .take(UNSAVED_SEARCH)
            .find(same_use)
        {
            matching_use.count += count;
            return;
        }
        self.unsaved.push(LimitUse {
            organisation: request.organisation,
            instance: request.instance,
            leaves,
            count,
        });
    }

    /// Returns the uses since the last call, which have to be kept over a restart of the home.
    ///
    /// They include the reservations for unresponsive instances, since nobody reports what these instances use.
    pub fn take_unsaved(&mut self, now: LedgerTime) -> Vec<LimitUse> {
        let mut uses = std::mem::take(&mut self.unsaved);
        if now < self.next_reservation_write {
            return uses;
        }
        self.next_reservation_write = now + self.rule.window / RESERVATION_WRITES;
        for (&organisation, ledger) in &self.organisations {
            for account in ledger.accounts.values() {
                let standalone = account.may_be_standalone(&self.last_contacts, &self.rule, now);
                if account.reserved == 0 || !standalone {
                    continue;
                }
                uses.push(LimitUse {
                    organisation,
                    instance: account.instance,
                    leaves: now + self.rule.window,
                    count: account.reserved,
                });
            }
        }
        uses
    }

    /// Returns the number of an organisation's tokens that count in the window.
    pub fn total(&mut self, organisation: OrganisationTag, now: LedgerTime) -> i64 {
        let Some(organisation) = self.organisations.get_mut(&organisation) else {
            return 0;
        };
        organisation.expire(now);
        organisation.total
    }

    /// Returns all uses that count, for a home that writes its state anew.
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

    /// Restores saved uses when the home restarts.
    ///
    /// An instance that stays unresponsive from then on may be cut off and continue at its previous rate.
    pub fn restore(&mut self, uses: &[LimitUse], now: LedgerTime) {
        for saved_use in uses.iter().filter(|saved_use| saved_use.leaves > now) {
            // Until the first contact, the instance counts as unresponsive.
            self.last_contacts
                .insert(saved_use.instance, now.saturating_sub(UNRESPONSIVE_AFTER));
            let organisation = self
                .organisations
                .entry(saved_use.organisation)
                .or_default();
            organisation.restored_until = Some(now + self.rule.window);
            // All starts of an instance before the home's restart are combined into one account.
            let incarnation = saved_use.instance;
            organisation.charge(incarnation, saved_use.leaves, saved_use.count);
            let account = organisation.accounts.entry(incarnation).or_default();
            account.instance = saved_use.instance;
            account.last_request = now;
            account.recent_use += saved_use.count;
            account.reserved += saved_use.count;
            organisation.reserved += saved_use.count;
        }
    }

    /// Drops state that no longer counts.
    pub fn sweep(&mut self, now: LedgerTime) {
        self.last_contacts
            .retain(|_, contact| now.saturating_sub(*contact) < CONTACT_MEMORY);
        self.organisations.retain(|_, organisation| {
            organisation.expire(now);
            organisation.drop_expired(&self.rule, now);
            organisation.total > 0 || !organisation.accounts.is_empty()
        });
    }
}

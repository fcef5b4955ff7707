//! What an entry holds of organisations' limits, and the tokens that requests take of it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::context::EntryContext;
use crate::access::BootTime;
use crate::hold::lock_ignoring_poison;
use crate::limits::{
    AllowanceGrant, AllowanceRequest, EntrySource, OrganisationAllowance, WindowLimit, WindowUse,
};
use crate::model::{OrganisationTag, name_tag};
use crate::settings::OrganisationSection;

/// What this entry holds of organisations' limits.
pub struct EntryLimiter {
    pub(super) source: EntrySource,
    allowances: Mutex<HashMap<OrganisationTag, OrganisationAllowance>>,
}

impl EntryLimiter {
    /// Makes the desk of an entry that has just started.
    #[must_use]
    pub fn new(instance: &str, organisations: &OrganisationSection) -> Self {
        Self {
            source: EntrySource {
                instance: name_tag(instance),
                life: rand::random(),
                rule: organisations.limit_rule(),
                prefetch: true,
            },
            allowances: Mutex::default(),
        }
    }

    pub(super) fn with_allowance<Output>(
        &self,
        organisation: OrganisationTag,
        action: impl FnOnce(&mut OrganisationAllowance) -> Output,
    ) -> Output {
        action(
            lock_ignoring_poison(&self.allowances)
                .entry(organisation)
                .or_default(),
        )
    }

    /// Takes a token that is at hand.
    pub(super) fn take_token(&self, demand: &TokenDemand) -> bool {
        let window = self.source.rule.window;
        self.with_allowance(demand.organisation, |allowance| {
            allowance.take(demand.begins, BootTime::now(), window)
        })
    }

    pub(super) fn take_standalone(&self, organisation: OrganisationTag) -> bool {
        let rule = self.source.rule;
        self.with_allowance(organisation, |allowance| {
            allowance.take_standalone(BootTime::now(), &rule)
        })
    }

    /// Composes a question; returns with it whether the organisation was near its limit.
    pub(super) fn compose_request(
        &self,
        demand: &TokenDemand,
        now: BootTime,
    ) -> (AllowanceRequest, bool) {
        let TokenDemand {
            organisation,
            limit,
            begins,
            ahead,
        } = *demand;
        let source = EntrySource {
            prefetch: ahead && self.source.prefetch,
            ..self.source
        };
        self.with_allowance(organisation, |allowance| {
            let ask = allowance.compose_request(organisation, &source, limit, begins, now);
            (ask, allowance.is_near_limit())
        })
    }

    pub(super) fn accept(
        &self,
        organisation: OrganisationTag,
        grant: &AllowanceGrant,
        sent: BootTime,
    ) {
        self.with_allowance(organisation, |allowance| {
            allowance.accept(grant, sent, BootTime::now());
        });
    }

    /// Returns whether the next request would have to wait for a home that may well refuse it.
    pub(super) fn is_near_limit(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| allowance.is_near_limit())
    }

    /// Returns for how long requests like this one are refused without asking anew.
    pub(super) fn refused_for(&self, demand: &TokenDemand) -> Option<(Duration, WindowUse)> {
        self.with_allowance(demand.organisation, |allowance| {
            allowance.refused_for(demand.begins, BootTime::now())
        })
    }

    pub(super) fn record_refusal(&self, demand: &TokenDemand, grant: &AllowanceGrant) {
        self.with_allowance(demand.organisation, |allowance| {
            allowance.record_refusal(demand.begins, grant, BootTime::now());
        });
    }

    pub(super) fn begins_prefetch(&self, organisation: OrganisationTag) -> bool {
        let ahead = self.source.prefetch;
        self.with_allowance(organisation, |allowance| {
            ahead && allowance.begin_prefetch(BootTime::now())
        })
    }

    pub(super) fn begins_report(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, OrganisationAllowance::begin_report)
    }

    pub(super) fn has_unreported_uses(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| allowance.has_unreported_uses())
    }

    pub(super) fn has_lapsed_tokens(&self, organisation: OrganisationTag) -> bool {
        self.with_allowance(organisation, |allowance| {
            allowance.has_lapsed_tokens(BootTime::now())
        })
    }

    pub(super) fn end_prefetch(&self, organisation: OrganisationTag) {
        self.with_allowance(organisation, OrganisationAllowance::end_prefetch);
    }
}

/// A request's need for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenDemand {
    pub(super) organisation: OrganisationTag,
    pub(super) limit: WindowLimit,
    /// Whether the request begins a program.
    pub(super) begins: bool,
    /// Whether tokens are asked for in advance as well.
    pub(super) ahead: bool,
}

impl TokenDemand {
    /// Returns the demand of one who only tells what it has used.
    pub(super) fn report(self) -> Self {
        Self {
            ahead: false,
            ..self
        }
    }
}

/// A token of an organisation's limit; it is given back unless the request may have run.
pub struct LimitToken {
    pub(super) context: Arc<EntryContext>,
    pub(super) organisation: OrganisationTag,
    pub(super) spent: bool,
}

impl LimitToken {
    /// Notes that the request may have run.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for LimitToken {
    fn drop(&mut self) {
        if self.spent {
            return;
        }
        let desk = &self.context.limits;
        desk.with_allowance(self.organisation, OrganisationAllowance::give_back);
    }
}

/// How a token came, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenSource {
    /// It had been granted in advance.
    Prefetched,
    /// A home granted it.
    Home,
    /// No home answered.
    Standalone,
}

impl TokenSource {
    /// Returns the name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefetched => "at-hand",
            Self::Home => "home",
            Self::Standalone => "alone",
        }
    }
}

/// A request that counts as waiting for a token until it is dropped.
pub(super) struct WaitingRequest<'desk> {
    desk: &'desk EntryLimiter,
    organisation: OrganisationTag,
}

impl<'desk> WaitingRequest<'desk> {
    pub(super) fn begin(desk: &'desk EntryLimiter, organisation: OrganisationTag) -> Self {
        desk.with_allowance(organisation, OrganisationAllowance::begin_waiting);
        Self { desk, organisation }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.desk
            .with_allowance(self.organisation, OrganisationAllowance::end_waiting);
    }
}

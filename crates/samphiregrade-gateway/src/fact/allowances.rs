//! Asking an organisation's home for tokens of its limit.

use std::time::Duration;

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::limits::{AllowanceGrant, AllowanceRequest};

/// Longest wait for a home: dozens of round trips, and short against the time of a request that waits for a token.
const HOME_TIMEOUT: Duration = Duration::from_millis(80);

impl KeeperClient {
    /// Asks the organisation's home, and the second one where it is silent; `None` where neither answers.
    ///
    /// Where the organisation is near its limit the second home is told as well, so that it knows what is used when it
    /// has to take over.
    pub async fn request_allowance(
        &self,
        ask: &AllowanceRequest,
        near: bool,
    ) -> Option<AllowanceGrant> {
        let placement = self.placement.load_full();
        let homes = self.accountants_within_reach(&placement, ask.organisation);
        for (index, &home) in homes.iter().enumerate() {
            let request = KeeperRequest::Allowance(ask.clone());
            let asking = self.ask(home.clone(), &placement, request, HOME_TIMEOUT);
            let Some(KeeperReply::Allowance(grant)) = asking.await else {
                continue;
            };
            if near || grant.near {
                self.tell_homes(&placement, &homes[index + 1..], ask);
            }
            return Some(grant);
        }
        None
    }

    fn tell_homes(
        &self,
        placement: &KeeperPlacement,
        homes: &[&KeeperSlot],
        ask: &AllowanceRequest,
    ) {
        let mut report = ask.clone();
        // It was granted elsewhere, and only has to be counted.
        report.used += u64::from(report.waiting);
        report.waiting = 0;
        report.spare = 0;
        for home in homes {
            self.tell_keeper(home, placement, KeeperRequest::Allowance(report.clone()));
        }
    }
}

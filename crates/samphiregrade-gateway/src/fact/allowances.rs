//! Requests for tokens of an organisation's limit, sent to the keeper that is the organisation's home.

use std::time::Duration;

use super::client::KeeperClient;
use super::message::{KeeperReply, KeeperRequest};
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::limits::{AllowanceGrant, AllowanceRequest};

/// Timeout of a request to a home: dozens of round trips, and short compared with the time that a client's request
/// may wait for a token.
const HOME_TIMEOUT: Duration = Duration::from_millis(80);

impl KeeperClient {
    /// Requests tokens from the organisation's home, or from the second home if the first one doesn't reply; `None`
    /// if neither replies.
    ///
    /// While the organisation is near its limit, the usage is also reported to the second home, so that the second home
    /// knows it when it has to take over.
    pub async fn request_allowance(
        &self,
        request: &AllowanceRequest,
        near: bool,
    ) -> Option<AllowanceGrant> {
        let placement = self.placement.load_full();
        let homes = self.reachable_account_keepers(&placement, request.organisation);
        for (index, &home) in homes.iter().enumerate() {
            let keeper_request = KeeperRequest::Allowance(request.clone());
            let reply = self.call(home.clone(), &placement, keeper_request, HOME_TIMEOUT);
            let Some(KeeperReply::Allowance(grant)) = reply.await else {
                continue;
            };
            if near || grant.near {
                self.report_to_homes(&placement, &homes[index + 1..], request);
            }
            return Some(grant);
        }
        None
    }

    fn report_to_homes(
        &self,
        placement: &KeeperPlacement,
        homes: &[&KeeperSlot],
        request: &AllowanceRequest,
    ) {
        let mut report = request.clone();
        // These tokens were granted by another home and only have to be counted.
        report.used += u64::from(report.waiting);
        report.waiting = 0;
        report.spare = 0;
        for home in homes {
            self.send_to_keeper(home, placement, KeeperRequest::Allowance(report.clone()));
        }
    }
}

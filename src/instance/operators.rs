//! The operators' interface: health, readiness, metrics and the dump of the process's state.

use samphiregrade_http::{IncomingRequest, OutgoingResponse};
use serde_json::json;

use super::InstanceState;
use crate::contract::{Refusal, RefusalKind};

impl InstanceState {
    /// Serves an operator's request.
    pub(super) async fn serve_operator(&self, request: &IncomingRequest) -> OutgoingResponse {
        match request.path.as_str() {
            "/healthz" => OutgoingResponse::json(200, &json!({"status": "alive"})),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics.response(),
            "/dump" => match self.check_operator(request) {
                Ok(()) => OutgoingResponse::json(200, &self.dump().await),
                Err(refusal) => refusal.response(),
            },
            path => {
                let detail =
                    format!("there is no {path}; use /healthz, /readyz, /metrics or /dump");
                Refusal::not_run(RefusalKind::UnknownAddress, detail).response()
            }
        }
    }

    /// Checks the token of an operator; no token is required as long as there is no organisation of operators.
    fn check_operator(&self, request: &IncomingRequest) -> Result<(), Refusal> {
        let config = self.config.load();
        if !config.has_operators() {
            return Ok(());
        }
        let refused = || Refusal::not_run(RefusalKind::Unauthorized, "not a token of operators");
        let token = request
            .header("authorization")
            .and_then(|header| header.strip_prefix("Bearer "))
            .ok_or_else(refused)?;
        let organisation = config.organisation_of(token.trim()).ok_or_else(refused)?;
        let spec = config.organisation(organisation).ok_or_else(refused)?;
        if spec.operator {
            Ok(())
        } else {
            Err(refused())
        }
    }
}

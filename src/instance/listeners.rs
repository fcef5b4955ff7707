//! Listeners of an instance, and its graceful shutdown.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join;
use ntex::server::Server;
use samphiregrade_http::{
    BudgetSettings, HeadCheck, HttpServer, IncomingRequest, ListenerCloser, MemoryBudget,
    OutgoingResponse, RequestGate, ServerSettings,
};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::{Instance, InstanceState};

/// Pause between two checks whether a graceful shutdown is complete.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// Time for reading the requests on the connections that were accepted last.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Longest time for writing the last responses; a caller that reads more slowly gets a truncated response.
const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory and connections of the listener for operators: records are small, and operators few.
const OPERATOR_BUDGET: BudgetSettings = BudgetSettings {
    bytes: 16 << 20,
    connection_bytes: 32 << 10,
    connections: 128,
};

/// The open listeners of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    callers: Server,
    operators: Server,
    closer: ListenerCloser,
}

impl InstanceListeners {
    /// Closes all listeners at once and aborts the requests that are running.
    pub async fn abort(self) {
        join(self.callers.stop(false), self.operators.stop(false)).await;
    }

    /// Closes all listeners after the last response, or after [`LAST_RESPONSES_TIMEOUT`].
    ///
    /// The event loops get the stop signal only once no request is running: an event loop that had no
    /// connections at any earlier time does not wait for its requests when it stops.
    async fn close(self, gate: &RequestGate) {
        log::info!("closing the listener for callers; its accept loop ends with a system error");
        if let Err(error) = self.closer.close().await {
            log::warn!("listener not closed before its event loop error={error}");
        }
        sleep(SETTLE_TIME).await;
        let responded = async {
            while gate.under_way() > 0 {
                sleep(DRAIN_PAUSE).await;
            }
        };
        if timeout(LAST_RESPONSES_TIMEOUT, responded).await.is_err() {
            let requests = gate.under_way();
            log::warn!("callers did not read their last responses in time requests={requests}");
        }
        join(self.callers.stop(true), self.operators.stop(true)).await;
    }
}

impl Instance {
    /// Starts the listeners for callers and operators; has to be called inside a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn listen(
        &self,
        callers: TcpListener,
        operators: TcpListener,
    ) -> io::Result<InstanceListeners> {
        let limits = &self.state.settings.limits;
        let settings = ServerSettings {
            body_limit: limits.body_bytes,
            body_timeout: Duration::from_secs(limits.body_seconds),
            workers: self.state.settings.listen.workers,
            budget: MemoryBudget::new(limits.caller_budget()),
            head_check: Some(self.head_check()),
            gate: self.state.gate.clone(),
            ..ServerSettings::default()
        };
        let closer = ListenerCloser::of(&callers)?;
        let instance = self.clone();
        let callers = HttpServer::start(callers, settings, move |request| {
            let instance = instance.clone();
            async move { instance.serve_caller(request).await }
        })?;
        let instance = self.clone();
        let settings = ServerSettings {
            budget: MemoryBudget::new(OPERATOR_BUDGET),
            ..ServerSettings::default()
        };
        let operators = HttpServer::start(operators, settings, move |request| {
            let instance = instance.clone();
            async move { instance.serve_operator(request).await }
        })?;
        Ok(InstanceListeners {
            callers,
            operators,
            closer,
        })
    }

    /// Returns the check of a caller's request whose body is long enough to be worth refusing before it is read.
    fn head_check(&self) -> HeadCheck {
        let state = self.state.clone();
        Arc::new(move |head| state.refuse_head(head))
    }

    /// Serves a caller's request on the instance's own runtime.
    ///
    /// The task is aborted when the caller closes the connection.
    async fn serve_caller(&self, request: IncomingRequest) -> OutgoingResponse {
        let state = self.state.clone();
        let task = self
            .runtime
            .spawn(async move { state.serve_caller(request).await });
        let response = tokio::select! {
            response = AbortOnDropHandle::new(task) => response,
            // The shutdown deadline has passed: the caller gets a refusal before the process ends.
            () = self.state.abort.cancelled() => return self.state.refuse_at_deadline(),
        };
        response.unwrap_or_else(|error| {
            log::error!("request handler failed error={error}");
            OutgoingResponse::full(500, "text/plain", "the instance has failed; ask again")
        })
    }

    async fn serve_operator(&self, request: IncomingRequest) -> OutgoingResponse {
        let state = self.state.clone();
        let task = self
            .runtime
            .spawn(async move { state.serve_operator(&request).await });
        task.await.unwrap_or_else(|error| {
            OutgoingResponse::full(
                500,
                "text/plain",
                format!("the instance has failed: {error}"),
            )
        })
    }

    /// Shuts down gracefully: hands shards over and responds to every request.
    ///
    /// Requests are served as before while load balancers notice the shutdown. Later requests are refused, so the
    /// shutdown completes however many callers stay connected. Requests that still run when the configured time
    /// (`drain-seconds`) is over are refused. Returns whether everything completed within that time.
    pub async fn shut_down(&self, listeners: InstanceListeners) -> bool {
        let state = &self.state;
        let limit = Duration::from_secs(state.settings.limits.drain_seconds);
        let deadline = Instant::now() + limit;
        state.draining.store(true, Ordering::Relaxed);
        log::info!("instance draining instance={}", state.peers.view().me);
        let drained = timeout_at(deadline, state.drain()).await.is_ok();
        state.gate.close();
        if !drained {
            let requests = state.gate.admitted();
            log::warn!("instance not drained in time requests={requests}");
        }
        state.abort.cancel();
        listeners.close(&state.gate).await;
        drained
    }
}

impl InstanceState {
    async fn drain(&self) {
        self.shards.drain().await;
        sleep(Duration::from_millis(self.settings.limits.linger_ms)).await;
        self.gate.close();
        while !self.is_drained() {
            sleep(DRAIN_PAUSE).await;
        }
    }

    fn is_drained(&self) -> bool {
        // Late requests don't count: they are refused at once, and callers may send them indefinitely.
        self.gate.admitted() == 0 && (self.own_primaries() == 0 || self.is_only_live_instance())
    }
}

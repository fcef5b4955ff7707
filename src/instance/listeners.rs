//! The listeners of an instance, and its graceful shutdown.

use std::io;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join;
use ntex::server::Server;
use samphiregrade_http::{
    HttpServer, IncomingRequest, ListenerCloser, OutgoingResponse, RequestGate, ServerSettings,
};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::{Instance, InstanceState};

/// Pause between two looks at whether a graceful shutdown is done.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// Time for the requests on connections that were accepted last to be read.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Longest time for last answers to be written; who reads them more slowly than this gets them cut.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(2);

/// The open listeners of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    callers: Server,
    operators: Server,
    closer: ListenerCloser,
}

impl InstanceListeners {
    /// Closes everything at once, whatever is under way.
    pub async fn abort(self) {
        join(self.callers.stop(false), self.operators.stop(false)).await;
    }

    /// Closes everything after the last answer.
    ///
    /// The event loops are told to stop only once nothing is under way: they wait for no request
    /// once they have been without connections at any time before.
    async fn close(self, gate: &RequestGate) {
        log::info!("listener for callers closes; accepting ends with an error of the system");
        if let Err(error) = self.closer.close().await {
            log::warn!("listener not closed before its event loop error={error}");
        }
        sleep(SETTLE_TIME).await;
        let answered = async {
            while gate.under_way() > 0 {
                sleep(DRAIN_PAUSE).await;
            }
        };
        if timeout(LAST_ANSWERS_TIMEOUT, answered).await.is_err() {
            let requests = gate.under_way();
            log::warn!("last answers not taken by their callers requests={requests}");
        }
        join(self.callers.stop(true), self.operators.stop(true)).await;
    }
}

impl Instance {
    /// Starts the listeners for callers and operators; to be called inside a running system.
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
        let settings = ServerSettings::default();
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

    /// Answers a caller's request on the instance's own runtime.
    ///
    /// A caller that hangs up drops the task, and with it its interest in the answer.
    async fn serve_caller(&self, request: IncomingRequest) -> OutgoingResponse {
        let state = self.state.clone();
        let task = self
            .runtime
            .spawn(async move { state.serve_caller(request).await });
        let answer = tokio::select! {
            answer = AbortOnDropHandle::new(task) => answer,
            // The shutdown takes no longer: a last word now, before the process ends.
            () = self.state.cut.cancelled() => return self.state.refuse_at_end(),
        };
        answer.unwrap_or_else(|error| {
            log::error!("request not answered error={error}");
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

    /// Shuts down gracefully: shards are handed over, and every request gets an answer.
    ///
    /// Requests are served as before while balancers notice; those that come later are refused, so that the end is
    /// reached however many callers stay. What is under way at the end of the settings' time gets a last word.
    /// Returns whether everything was done within that time.
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
        state.cut.cancel();
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
        // Late requests don't count: they are refused at once, and callers may send them for ever.
        self.gate.admitted() == 0 && (self.own_primaries() == 0 || self.is_alone())
    }
}

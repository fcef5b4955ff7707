//! A thin layer over `ntex`: one server entry point, and a client that any thread may use.
//!
//! `ntex` services and clients live on single-threaded event loops. The rest of the workspace
//! works with plain `Send` values instead: [`HttpServer`] turns every request into an
//! [`IncomingRequest`] and sends the handler's [`OutgoingResponse`] back, and [`HttpPool`] runs
//! requests on event-loop threads of its own.
//!
//! ```no_run
//! use samphiregrade_http::{HttpPool, OutgoingRequest, run_system};
//!
//! let status = run_system(async {
//!     let pool = HttpPool::start(1);
//!     let reply = pool.send(OutgoingRequest::get("http://127.0.0.1:8080/healthz")).await;
//!     reply.map(|response| response.status)
//! });
//! println!("{status:?}");
//! ```

mod budget;
mod client;
mod closing;
mod connections;
mod message;
mod server;
pub mod wire;

use std::future::Future;

pub use budget::{
    BudgetSettings, BudgetUse, LeaseState, MemoryBudget, MemoryLease, NoRoom, descriptor_limit,
};
pub use client::{HttpError, HttpPool, IncomingResponse};
pub use closing::{ListenerCloser, RequestGate};
pub use message::{
    HeaderList, IncomingRequest, OutgoingRequest, OutgoingResponse, ResponseBody, header_value,
};
pub use server::{HeadCheck, HttpServer, ServerSettings};

/// Runs a future on the main event loop of a new `ntex` system and returns its result.
///
/// Servers and client pools can be started only inside such a system.
pub fn run_system<Task, Output>(task: Task) -> Output
where
    Task: Future<Output = Output> + 'static,
    Output: 'static,
{
    ntex::rt::System::new("samphiregrade", ntex::rt::DefaultRuntime).block_on(task)
}

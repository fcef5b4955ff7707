//! Small stand-ins for the systems that samphiregrade communicates with.
//!
//! Each module contains one stand-in: a [model engine](engine), a [plain or tool service](service), a
//! [weight store](weights), the [key-value service](keyvalue) with etcd's JSON gateway protocol, the
//! [instance list](instances), and a [fault proxy](proxy) for any TCP or UDP link. The
//! stand-ins serve tests, experiments and the demo; they are not meant for production.
//!
//! ```no_run
//! use samphiregrade_http::run_system;
//! use samphiregrade_standins::service::{ServiceSettings, ServiceStandin};
//!
//! run_system(async {
//!     let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
//!     let service = ServiceStandin::new(ServiceSettings::default());
//!     service.start(listener).expect("a started server").await
//! })
//! .expect("a clean stop");
//! ```

pub mod engine;
pub mod instances;
pub mod keyvalue;
pub mod proxy;
pub mod service;
pub mod weights;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning, so that a stand-in keeps serving after a panic in another thread.
fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

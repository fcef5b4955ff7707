//! Small stand-ins for the systems that samphiregrade talks to.
//!
//! Each module holds one of them: a [model engine](engine), a [plain or tool service](service), a
//! [weight store](weights), the [key-value service](keyvalue) by etcd's JSON gateway protocol, the
//! [instance list](instances), and a [fault proxy](proxy) that sits on any TCP or UDP link. They
//! serve tests, experiments and the demo; they are not meant to hold real work.
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

/// Locks a mutex, also after a panic elsewhere: stand-ins keep answering.
fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

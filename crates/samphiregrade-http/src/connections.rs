//! Connections of one event loop, each counted in the server's budget. Where room is lacking, those that wait for a request
//! are closed; those with a request in progress never are.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::{Either, select};
use ntex::http::h1::{Control, ControlAck};
use ntex::io::{Filter, IoRef};
use ntex::web::HttpRequest;

use crate::budget::{LeaseState, MemoryBudget, MemoryLease};

/// Largest number of accepted connections that wait until others have given way: their descriptors are open already.
const WAITING_LIMIT: usize = 32;

/// The open connections of an event loop; cheap to clone.
#[derive(Clone)]
pub(crate) struct ConnectionTable {
    budget: MemoryBudget,
    leases: Rc<RefCell<HashMap<IoRef, MemoryLease>>>,
    /// Number of accepted connections that wait for room.
    waiting: Rc<Cell<usize>>,
}

/// A request in progress on a connection; the connection waits for the next one once it is dropped.
pub(crate) struct ConnectionUse {
    table: ConnectionTable,
    connection: Option<IoRef>,
}

impl ConnectionTable {
    pub(crate) fn new(budget: MemoryBudget) -> Self {
        Self {
            budget,
            leases: Rc::default(),
            waiting: Rc::default(),
        }
    }

    /// Counts a connection that has been accepted, before anything is read from it.
    pub(crate) async fn handle<Layer, Failure>(
        self,
        control: Control<Layer, Failure>,
    ) -> std::io::Result<ControlAck<Layer>>
    where
        Failure: ntex::http::ResponseError,
        Layer: Filter,
    {
        if let Control::Connect(connection) = &control {
            self.open(connection.get_ref().get_ref()).await;
        }
        Ok(control.ack())
    }

    async fn open(&self, connection: IoRef) {
        let Some(lease) = self.lease().await else {
            log::debug!("connection closed: no other one gives way in time");
            connection.terminate();
            return;
        };
        let ended = lease.token();
        self.leases.borrow_mut().insert(connection.clone(), lease);
        let leases = self.leases.clone();
        ntex::rt::spawn(async move {
            let giving_way = std::pin::pin!(ended.cancelled());
            if let Either::Left(_) = select(giving_way, connection.on_disconnect()).await {
                connection.terminate();
            }
            leases.borrow_mut().remove(&connection);
        });
    }

    /// Counts a new connection; waits for others that give way, unless too many wait already.
    async fn lease(&self) -> Option<MemoryLease> {
        if let Ok(lease) = self.budget.try_open_connection() {
            return Some(lease);
        }
        if self.waiting.get() >= WAITING_LIMIT {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        let lease = self.budget.open_connection().await;
        self.waiting.set(self.waiting.get() - 1);
        lease.ok()
    }

    /// Marks the connection of a request as in use.
    pub(crate) fn begin(&self, request: &HttpRequest) -> ConnectionUse {
        let connection = request.io().cloned();
        self.enter(connection.as_ref(), LeaseState::Running);
        ConnectionUse {
            table: self.clone(),
            connection,
        }
    }

    fn enter(&self, connection: Option<&IoRef>, state: LeaseState) {
        let mut leases = self.leases.borrow_mut();
        if let Some(lease) = connection.and_then(|connection| leases.get_mut(connection)) {
            let bytes = lease.bytes();
            lease.enter(state, bytes);
        }
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        self.table.enter(self.connection.as_ref(), LeaseState::Idle);
    }
}

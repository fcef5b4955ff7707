//! The stored keys with their revisions, leases and history of changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::protocol::{LeaseCall, Operation, PutCall, RangeCall, TxnCall, encode};

/// Number of changes kept for watches that start at a past revision.
const HISTORY_LIMIT: usize = 20_000;

/// One change of one key.
#[derive(Clone, Debug)]
pub struct StoreEvent {
    pub key: Vec<u8>,
    pub value: Option<Vec<u8>>,
    pub revision: u64,
}

impl StoreEvent {
    /// Returns the watch message that reports the change.
    pub fn message(&self) -> Value {
        let revision = self.revision.to_string();
        let event = match &self.value {
            Some(value) => json!({"kv": {
                "key": encode(&self.key), "value": encode(value), "mod_revision": revision}}),
            None => json!({"type": "DELETE", "kv": {
                "key": encode(&self.key), "mod_revision": revision}}),
        };
        json!({"result": {"header": {"revision": revision}, "events": [event]}})
    }
}

#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    lease: u64,
}

#[derive(Debug)]
struct StoredLease {
    ttl: Duration,
    expires: Instant,
}

/// The complete state of the service.
#[derive(Debug)]
pub struct StoreState {
    revision: u64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: HashMap<u64, StoredLease>,
    last_lease: u64,
    history: VecDeque<StoreEvent>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
        }
    }
}

impl StoreState {
    /// Reads a range.
    pub fn range(&self, call: &RangeCall) -> Value {
        let entries: Vec<Value> = self
            .keys
            .range(call.key.clone()..)
            .take_while(|(key, _)| call.covers(key))
            .map(|(key, stored)| {
                json!({
                    "key": encode(key), "value": encode(&stored.value),
                    "create_revision": stored.created.to_string(),
                    "mod_revision": stored.modified.to_string(),
                    "lease": stored.lease.to_string(),
                })
            })
            .collect();
        let count = entries.len().to_string();
        json!({"header": self.header(), "kvs": entries, "count": count})
    }

    /// Runs a transaction; returns the reply and the changes made.
    pub fn transact(&mut self, call: &TxnCall) -> (Value, Vec<StoreEvent>) {
        let holds = call.compare.iter().all(|condition| {
            let modified = self
                .keys
                .get(&condition.key)
                .map_or(0, |stored| stored.modified);
            modified == condition.mod_revision
        });
        let operations = if holds { &call.success } else { &call.failure };
        let writes = operations
            .iter()
            .any(|operation| operation.put.is_some() || operation.delete.is_some());
        if writes {
            self.revision += 1;
        }
        let mut events = Vec::new();
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.operate(operation, &mut events));
        }
        let reply = json!({
            "header": self.header(), "succeeded": holds, "responses": responses});
        (reply, events)
    }

    fn operate(&mut self, operation: &Operation, events: &mut Vec<StoreEvent>) -> Value {
        if let Some(put) = &operation.put {
            self.put(put, events);
            return json!({"response_put": {"header": self.header()}});
        }
        if let Some(range) = &operation.delete {
            self.delete(|key, _| range.covers(key), events);
            return json!({"response_delete_range": {"header": self.header()}});
        }
        let range = operation.range.as_ref();
        let found = range.map_or(Value::Null, |range| self.range(range));
        json!({"response_range": found})
    }

    fn put(&mut self, put: &PutCall, events: &mut Vec<StoreEvent>) {
        let created = self
            .keys
            .get(&put.key)
            .map_or(self.revision, |old| old.created);
        let stored = StoredValue {
            value: put.value.clone(),
            created,
            modified: self.revision,
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), stored);
        self.record(put.key.clone(), Some(put.value.clone()), events);
    }

    fn delete<Choice>(&mut self, choice: Choice, events: &mut Vec<StoreEvent>)
    where
        Choice: Fn(&[u8], &StoredValue) -> bool,
    {
        let deleted: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(key, stored)| choice(key, stored))
            .map(|(key, _)| key.clone())
            .collect();
        for key in deleted {
            self.keys.remove(&key);
            self.record(key, None, events);
        }
    }

    fn record(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, events: &mut Vec<StoreEvent>) {
        let event = StoreEvent {
            key,
            value,
            revision: self.revision,
        };
        self.history.push_back(event.clone());
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
        events.push(event);
    }

    /// Returns the past changes that a watch requests, and the current revision, which is the last one they cover.
    pub fn events_since(&self, call: &RangeCall) -> (Vec<StoreEvent>, u64) {
        if call.start_revision == 0 {
            return (Vec::new(), self.revision);
        }
        let events = self
            .history
            .iter()
            .filter(|event| event.revision >= call.start_revision && call.covers(&event.key))
            .cloned()
            .collect();
        (events, self.revision)
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, call: &LeaseCall, now: Instant) -> Value {
        self.last_lease += 1;
        let ttl = Duration::from_secs(call.ttl.max(1));
        let lease = StoredLease {
            ttl,
            expires: now + ttl,
        };
        self.leases.insert(self.last_lease, lease);
        json!({
            "header": self.header(),
            "ID": self.last_lease.to_string(), "TTL": call.ttl.to_string(),
        })
    }

    /// Renews a lease; the TTL in the reply is 0 if the lease doesn't exist.
    pub fn renew_lease(&mut self, call: &LeaseCall, now: Instant) -> Value {
        let ttl = match self.leases.get_mut(&call.id) {
            Some(lease) => {
                lease.expires = now + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        };
        json!({"result": {"ID": call.id.to_string(), "TTL": ttl.to_string()}})
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke_lease(&mut self, id: u64) -> Vec<StoreEvent> {
        let mut events = Vec::new();
        if self.leases.remove(&id).is_some() {
            self.revision += 1;
            self.delete(|_, stored| stored.lease == id, &mut events);
        }
        events
    }

    /// Revokes the leases that were not renewed in time.
    pub fn expire_leases(&mut self, now: Instant) -> Vec<StoreEvent> {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        expired
            .into_iter()
            .flat_map(|id| self.revoke_lease(id))
            .collect()
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }
}

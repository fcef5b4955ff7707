//! Orders to engines to load models.
//!
//! One instance in each failure domain, the orderer, sends them. Orders carry a fencing number, and the weight store
//! limits their rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio_util::sync::CancellationToken;

use crate::ids::{DomainId, InstanceRef, ModelName, UpstreamName};
use crate::keyvalue::{KeyValueClient, KeyValueError, SwapOutcome};
use crate::record::{ConfigView, UpstreamKind, UpstreamSpec};
use crate::scheduler::CallQueue;

/// Time between two checks of the loaded models.
const ORDER_INTERVAL: Duration = Duration::from_secs(2);

/// Duration of the orderer's lease without renewal.
const LEASE_TIME: Duration = Duration::from_secs(10);

/// Longest wait for an engine to acknowledge an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for an engine to load and report an ordered model; the order is not repeated earlier.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The instance that may send orders in a failure domain, and its fencing number, which increases with each new holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FenceRecord {
    holder: SmolStr,
    fence: u64,
}

/// Dependencies of the orderer on the rest of the instance.
#[derive(Clone, Debug)]
pub struct OrderContext {
    /// This process.
    pub me: InstanceRef,
    /// Its failure domain.
    pub domain: DomainId,
    /// Client of the key-value service.
    pub key_value: KeyValueClient,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// Queue with the load reports of engines.
    pub queue: Arc<CallQueue>,
    /// Client for engines and the weight store.
    pub pool: HttpPool,
    /// Base URL of the weight store, if there is one.
    pub weight_store: Option<SmolStr>,
}

struct ModelOrderer {
    context: OrderContext,
    /// This instance's fencing number, and when the instance acquired it.
    held_fence: Option<(u64, Instant)>,
    /// Time of the last order by engine and model.
    ordered: HashMap<(UpstreamName, ModelName), Instant>,
}

/// Sends orders while this instance holds the lease, until the token is cancelled.
pub async fn run_orders(context: OrderContext, stop: CancellationToken) {
    let mut orderer = ModelOrderer {
        context,
        held_fence: None,
        ordered: HashMap::new(),
    };
    loop {
        tokio::select! {
            () = tokio::time::sleep(ORDER_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if let Err(error) = orderer.order_missing().await {
            log::debug!("model orders failed; retrying in the next pass error={error}");
            // Without a usable response from the key-value service, the lease counts as lost.
            orderer.held_fence = None;
        }
    }
}

impl ModelOrderer {
    async fn order_missing(&mut self) -> Result<(), KeyValueError> {
        let config = self.context.config.load_full();
        let wanted = missing_models(&config, &self.context);
        if wanted.is_empty() {
            return Ok(());
        }
        if !self.hold_lease().await? {
            self.held_fence = None;
            return Ok(());
        }
        let (fence, since) = match self.held_fence {
            Some(held_fence) => held_fence,
            None => (self.acquire_fence().await?, Instant::now()),
        };
        self.held_fence = Some((fence, since));
        for (model, engine, spec) in wanted {
            // An engine that does not check fencing numbers could still accept a delayed order of the previous
            // holder, so it gets no order before that holder's lease and requests have expired.
            if !spec.checks_fencing && since.elapsed() < LEASE_TIME + ORDER_TIMEOUT {
                continue;
            }
            self.order(fence, &model, &engine, &spec).await;
        }
        Ok(())
    }

    async fn hold_lease(&self) -> Result<bool, KeyValueError> {
        let key = format_smolstr!("samphiregrade/orderer/{}", self.context.domain);
        let holder = format_smolstr!("{}", self.context.me);
        self.context
            .key_value
            .hold_lease(key, holder, LEASE_TIME)
            .await
    }

    /// Acquires the next fencing number, or returns the stored one if this instance is still its holder.
    async fn acquire_fence(&self) -> Result<u64, KeyValueError> {
        let key = format_smolstr!("samphiregrade/order-fence/{}", self.context.domain);
        let holder = format_smolstr!("{}", self.context.me);
        let entry = self.context.key_value.read_key(&key).await?;
        let known: Option<FenceRecord> = entry
            .as_ref()
            .and_then(|entry| serde_json::from_str(&entry.value).ok());
        let fence = match known {
            Some(record) if record.holder == holder => return Ok(record.fence),
            Some(record) => record.fence + 1,
            None => 1,
        };
        let record = FenceRecord { holder, fence };
        let text = serde_json::to_string(&record).unwrap_or_default();
        let expected = entry.map_or(0, |entry| entry.revision);
        match self
            .context
            .key_value
            .swap(&key, expected, Some(text))
            .await?
        {
            SwapOutcome::Swapped(_) => Ok(fence),
            SwapOutcome::Conflict(_) => Err(KeyValueError::Limited),
        }
    }

    async fn order(
        &mut self,
        fence: u64,
        model: &ModelName,
        engine: &UpstreamName,
        spec: &UpstreamSpec,
    ) {
        let key = (engine.clone(), model.clone());
        let is_pending = self
            .ordered
            .get(&key)
            .is_some_and(|at| at.elapsed() < LOAD_TIMEOUT);
        if is_pending || !self.may_load(model).await {
            return;
        }
        self.ordered.insert(key, Instant::now());
        let url = format_smolstr!("{}/orders", spec.address);
        let request =
            OutgoingRequest::post_json(&url, &json!({"fence": fence, "load-model": model}))
                .with_timeout(ORDER_TIMEOUT);
        let response = self.context.pool.send(request).await;
        match response.map(|response| response.status) {
            Ok(200) => log::info!(
                "engine accepted the load order model={model} engine={engine} fence={fence}"
            ),
            Ok(412) => {
                log::info!(
                    "engine rejected the order because of its fencing number engine={engine} fence={fence}"
                );
                self.held_fence = None;
            }
            Ok(status) => log::info!("engine refused the order engine={engine} status={status}"),
            Err(error) => log::info!("order failed engine={engine} error={error}"),
        }
    }

    /// Requests the model from the weight store, which limits the rate of loads; returns whether it may be loaded now.
    async fn may_load(&self, model: &str) -> bool {
        let Some(base) = &self.context.weight_store else {
            return true;
        };
        let url = format_smolstr!("{base}/weights/{model}");
        let response = self.context.pool.send(OutgoingRequest::get(&url)).await;
        response.is_ok_and(|response| response.status == 200)
    }
}

/// Returns the models that too few engines of this instance's failure domain have loaded, each with an engine that
/// should load it. Engines without a recent report are left out.
fn missing_models(
    config: &ConfigView,
    context: &OrderContext,
) -> Vec<(ModelName, UpstreamName, Arc<UpstreamSpec>)> {
    let mut missing = Vec::new();
    for (model, spec) in config.models() {
        let engines: Vec<_> = config
            .upstreams()
            .filter(|(_, upstream)| upstream.kind == UpstreamKind::Engine && !upstream.leaving)
            .filter(|(_, upstream)| {
                upstream.failure_domain == context.domain && upstream.models.contains(model)
            })
            .collect();
        let (with, without): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .filter(|(name, _)| context.queue.has_report(name))
            .partition(|(name, _)| context.queue.has_model(name, model));
        let shortfall = (spec.replicas as usize).saturating_sub(with.len());
        for (name, spec) in without.into_iter().take(shortfall) {
            missing.push((model.clone(), name.clone(), spec.clone()));
        }
    }
    missing
}

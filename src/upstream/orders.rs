//! Orders to engines to load models: one orderer in each failure domain, fenced and at a limited rate.

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

/// Time between two looks at what is loaded.
const ORDER_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the orderer's lease holds without renewal.
const LEASE_TIME: Duration = Duration::from_secs(10);

/// Longest wait for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for an engine to report a model that it was ordered to load.
const LOAD_TIME: Duration = Duration::from_secs(30);

/// Who may give orders in a failure domain, with the fencing number that goes up with each holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct OrdererTenure {
    holder: SmolStr,
    fence: u64,
}

/// What the orderer needs from the rest of the instance.
#[derive(Clone, Debug)]
pub struct OrderContext {
    /// This process.
    pub me: InstanceRef,
    /// Its failure domain.
    pub domain: DomainId,
    /// The platform.
    pub key_value: KeyValueClient,
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// What engines report.
    pub queue: Arc<CallQueue>,
    /// Client for engines and the weight store.
    pub pool: HttpPool,
    /// Base URL of the weight store, where there is one.
    pub weight_store: Option<SmolStr>,
}

struct ModelOrderer {
    context: OrderContext,
    /// The own fencing number with the time since which it holds.
    tenure: Option<(u64, Instant)>,
    /// When an engine was last ordered to load a model.
    ordered: HashMap<(UpstreamName, ModelName), Instant>,
}

/// Gives orders while this instance holds the lease, until the token is cancelled.
pub async fn run_orders(context: OrderContext, stop: CancellationToken) {
    let mut orderer = ModelOrderer {
        context,
        tenure: None,
        ordered: HashMap::new(),
    };
    loop {
        tokio::select! {
            () = tokio::time::sleep(ORDER_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if let Err(error) = orderer.look().await {
            log::debug!("orders wait error={error}");
            // Without an answer the lease counts as lost.
            orderer.tenure = None;
        }
    }
}

impl ModelOrderer {
    async fn look(&mut self) -> Result<(), KeyValueError> {
        let config = self.context.config.load_full();
        let wanted = missing_models(&config, &self.context);
        if wanted.is_empty() {
            return Ok(());
        }
        if !self.hold_lease().await? {
            self.tenure = None;
            return Ok(());
        }
        let (fence, since) = match self.tenure {
            Some(tenure) => tenure,
            None => (self.take_fence().await?, Instant::now()),
        };
        self.tenure = Some((fence, since));
        for (model, engine, spec) in wanted {
            // An engine that ignores fencing could still get an order of the holder before.
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

    /// Takes the next fencing number, or goes on with the own one.
    async fn take_fence(&self) -> Result<u64, KeyValueError> {
        let key = format_smolstr!("samphiregrade/order-fence/{}", self.context.domain);
        let holder = format_smolstr!("{}", self.context.me);
        let entry = self.context.key_value.read_key(&key).await?;
        let known: Option<OrdererTenure> = entry
            .as_ref()
            .and_then(|entry| serde_json::from_str(&entry.value).ok());
        let fence = match known {
            Some(tenure) if tenure.holder == holder => return Ok(tenure.fence),
            Some(tenure) => tenure.fence + 1,
            None => 1,
        };
        let tenure = OrdererTenure { holder, fence };
        let text = serde_json::to_string(&tenure).unwrap_or_default();
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
        let pending = self
            .ordered
            .get(&key)
            .is_some_and(|at| at.elapsed() < LOAD_TIME);
        if pending || !self.may_load(model).await {
            return;
        }
        self.ordered.insert(key, Instant::now());
        let url = format_smolstr!("{}/orders", spec.address);
        let request =
            OutgoingRequest::post_json(&url, &json!({"fence": fence, "load-model": model}))
                .with_timeout(ORDER_TIMEOUT);
        let answer = self.context.pool.send(request).await;
        match answer.map(|response| response.status) {
            Ok(200) => log::info!("model ordered model={model} engine={engine} fence={fence}"),
            Ok(412) => {
                log::info!("order fenced engine={engine} fence={fence}");
                self.tenure = None;
            }
            Ok(status) => log::info!("order refused engine={engine} status={status}"),
            Err(error) => log::info!("order not given engine={engine} error={error}"),
        }
    }

    /// Asks the weight store for the model, which it hands out at a limited rate.
    async fn may_load(&self, model: &str) -> bool {
        let Some(base) = &self.context.weight_store else {
            return true;
        };
        let url = format_smolstr!("{base}/weights/{model}");
        let answer = self.context.pool.send(OutgoingRequest::get(&url)).await;
        answer.is_ok_and(|response| response.status == 200)
    }
}

/// Returns the models that too few engines of the own failure domain report, each with an engine.
fn missing_models(
    config: &ConfigView,
    context: &OrderContext,
) -> Vec<(ModelName, UpstreamName, Arc<UpstreamSpec>)> {
    let mut missing = Vec::new();
    for (model, spec) in config.models() {
        let engines: Vec<_> = config
            .upstreams()
            .filter(|(_, one)| one.kind == UpstreamKind::Engine && !one.leaving)
            .filter(|(_, one)| one.failure_domain == context.domain && one.models.contains(model))
            .collect();
        let (with, without): (Vec<_>, Vec<_>) = engines
            .into_iter()
            .filter(|(name, _)| context.queue.has_report(name))
            .partition(|(name, _)| context.queue.has_model(name, model));
        let lacking = (spec.replicas as usize).saturating_sub(with.len());
        for (name, spec) in without.into_iter().take(lacking) {
            missing.push((model.clone(), name.clone(), spec.clone()));
        }
    }
    missing
}

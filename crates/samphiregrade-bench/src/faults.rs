//! Injects the faults of a scenario and ends them.

use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use samphiregrade::ids::InstanceName;
use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind};
use samphiregrade_standins::keyvalue::KeyValueFaults;
use samphiregrade_standins::proxy::LinkFaults;
use samphiregrade_standins::service::ServiceFaults;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::cluster::Cluster;
use crate::scenario::{FaultKind, FaultSpec};

/// Default number of operators that race to change a record.
const DEFAULT_WRITERS: usize = 4;

/// Record of the injected faults, for the audit.
#[derive(Clone, Debug, Default)]
pub struct FaultLog {
    /// Start times of the faults that interrupt instances.
    pub interruptions: Vec<Instant>,
    /// Upstreams that started to leave, with the time in milliseconds since the Unix epoch.
    pub leaving: Vec<(SmolStr, u64)>,
    /// Graceful stops of instances.
    pub stops: Vec<StopLog>,
    /// Accepted changes of records, with revision and time.
    pub changes: Vec<(u64, Instant)>,
    /// Changes that were accepted although the writer had not seen the previous accepted change.
    pub lost_changes: u32,
}

/// A graceful stop of an instance.
#[derive(Clone, Debug)]
pub struct StopLog {
    /// The instance.
    pub instance: InstanceName,
    /// Base URL of the instance for callers.
    pub entry: SmolStr,
    /// Time at which the instance received the stop signal.
    pub began: Instant,
    /// Time at which the process was seen to have ended, with its exit status.
    pub ended: Option<(Instant, i32)>,
}

/// An active fault, by the action that ends it.
#[derive(Clone, Debug)]
pub enum ActiveFault {
    /// Restart the instances.
    Restart(Vec<InstanceName>),
    /// Continue the paused instances.
    Resume(Vec<InstanceName>),
    /// Clear the faults of the key-value service.
    KeyValue,
    /// Clear the faults of the selected links.
    Links(LinkSelector),
    /// Clear the faults of the targeted services.
    Services(SmolStr),
    /// Resume the load reports and cache events of the targeted engines.
    Silence(SmolStr),
    /// Clear the leaving state of the upstream.
    Leaving(SmolStr),
    /// Nothing: the fault has no lasting effect.
    Nothing,
}

/// Selects links by their names.
#[derive(Clone, Debug)]
pub enum LinkSelector {
    /// Links whose names start with the prefix.
    Prefix(SmolStr),
    /// Links between a group of instances and the other instances, the key-value service and the instance list.
    Around(Vec<InstanceName>),
    /// The links between two groups of instances.
    Between(Vec<InstanceName>, Vec<InstanceName>),
}

impl LinkSelector {
    /// Returns whether a link is selected.
    #[must_use]
    pub fn selects(&self, link: &str) -> bool {
        let parts: Vec<&str> = link.split('/').collect();
        let within = |group: &[InstanceName], name: &str| group.iter().any(|member| member == name);
        match self {
            Self::Prefix(prefix) => link.starts_with(prefix.as_str()),
            Self::Around(group) => match parts[..] {
                ["peer", from, to] => within(group, from) != within(group, to),
                ["key-value" | "instance-list", name] => within(group, name),
                _ => false,
            },
            Self::Between(one, other) => match parts[..] {
                ["peer", from, to] => {
                    within(one, from) && within(other, to) || within(other, from) && within(one, to)
                }
                _ => false,
            },
        }
    }
}

/// Resolves the target of a fault to instances.
///
/// # Errors
///
/// Returns an error if the target names no instance.
pub async fn target_instances(cluster: &Cluster, target: &str) -> Result<Vec<InstanceName>> {
    if target == "primary" {
        return Ok(cluster.busiest_primary().await.into_iter().collect());
    }
    if let Some(domain) = target.strip_prefix("failure-domain:") {
        let of_domain = cluster
            .instances
            .values()
            .filter(|instance| instance.domain == domain);
        return Ok(of_domain.map(|instance| instance.name.clone()).collect());
    }
    if let Some(name) = target.strip_prefix("instance:") {
        let name = SmolStr::from(name.replace('/', "-"));
        if cluster.instances.contains_key(&name) {
            return Ok(vec![name]);
        }
    }
    bail!("`{target}` names no instance; use primary, instance:DOMAIN/INDEX or failure-domain:NAME")
}

/// Injects a fault.
///
/// # Errors
///
/// Returns an error if the target is not valid for the kind of fault.
pub async fn begin_fault(
    cluster: &mut Cluster,
    fault: &FaultSpec,
    log: &mut FaultLog,
) -> Result<ActiveFault> {
    log::info!("fault starts kind={:?} target={}", fault.kind, fault.target);
    match fault.kind {
        FaultKind::Kill | FaultKind::Pause | FaultKind::Stop => {
            interrupt(cluster, fault, log).await
        }
        FaultKind::Outage | FaultKind::Slow | FaultKind::LoseReplies => {
            degrade(cluster, fault, log).await
        }
        FaultKind::Cut => {
            log.interruptions.push(Instant::now());
            let selector = partition_selector(cluster, fault).await?;
            let faults = LinkFaults {
                cut: true,
                ..LinkFaults::default()
            };
            cluster
                .proxy
                .set_faults(&faults, |link| selector.selects(link));
            Ok(ActiveFault::Links(selector))
        }
        FaultKind::Leave => {
            let name = upstream_name(fault)?;
            set_leaving(cluster, &name, true);
            log.leaving.push((name.clone(), epoch_ms()));
            Ok(ActiveFault::Leaving(name))
        }
        FaultKind::Hang => {
            let faults = ServiceFaults {
                hang: true,
                ..ServiceFaults::default()
            };
            set_services(cluster, &fault.target, &faults);
            Ok(ActiveFault::Services(fault.target.clone()))
        }
        FaultKind::Silence => {
            set_silent(cluster, &fault.target, true);
            Ok(ActiveFault::Silence(fault.target.clone()))
        }
        FaultKind::ChangeRecord => {
            simulate_racing_writers(cluster, fault.writers.unwrap_or(DEFAULT_WRITERS), log).await?;
            Ok(ActiveFault::Nothing)
        }
    }
}

async fn interrupt(
    cluster: &mut Cluster,
    fault: &FaultSpec,
    log: &mut FaultLog,
) -> Result<ActiveFault> {
    let names = target_instances(cluster, &fault.target).await?;
    log.interruptions.push(Instant::now());
    for name in &names {
        let Some(instance) = cluster.instances.get_mut(name) else {
            continue;
        };
        match fault.kind {
            FaultKind::Kill => instance.kill(),
            FaultKind::Pause => instance.pause(),
            _ => {
                instance.terminate();
                log.stops.push(StopLog {
                    instance: name.clone(),
                    entry: instance.entry.clone(),
                    began: Instant::now(),
                    ended: None,
                });
            }
        }
    }
    Ok(match fault.kind {
        FaultKind::Pause => ActiveFault::Resume(names),
        _ => ActiveFault::Restart(names),
    })
}

async fn degrade(
    cluster: &mut Cluster,
    fault: &FaultSpec,
    log: &mut FaultLog,
) -> Result<ActiveFault> {
    let delay = fault.delay.unwrap_or_default();
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    if fault.target == "key-value" {
        cluster.key_value.set_faults(KeyValueFaults {
            outage: fault.kind == FaultKind::Outage,
            delay_ms,
            lose_replies: fault.fraction.unwrap_or(0.0),
        });
        return Ok(ActiveFault::KeyValue);
    }
    if fault.kind == FaultKind::LoseReplies {
        let faults = ServiceFaults {
            lose_replies: fault.fraction.unwrap_or(0.0),
            ..ServiceFaults::default()
        };
        set_services(cluster, &fault.target, &faults);
        return Ok(ActiveFault::Services(fault.target.clone()));
    }
    let selector = match fault.target.as_str() {
        "instance-list" => LinkSelector::Prefix("instance-list/".into()),
        "weight-store" => LinkSelector::Prefix("weight-store".into()),
        target => match target.strip_prefix("upstream:") {
            Some(name) => LinkSelector::Prefix(format_smolstr!("upstream/{name}")),
            None => LinkSelector::Around(target_instances(cluster, target).await?),
        },
    };
    log.interruptions.push(Instant::now());
    let faults = LinkFaults {
        delay_ms,
        cut: fault.kind == FaultKind::Outage,
        ..LinkFaults::default()
    };
    cluster
        .proxy
        .set_faults(&faults, |link| selector.selects(link));
    Ok(ActiveFault::Links(selector))
}

async fn partition_selector(cluster: &Cluster, fault: &FaultSpec) -> Result<LinkSelector> {
    if let [one, other] = fault.between.as_slice() {
        for (service, target) in [(one, other), (other, one)] {
            if service == "key-value" {
                let name = target_instances(cluster, target).await?;
                let first = name.first().cloned().unwrap_or_default();
                let prefix = first.trim_end_matches(|letter: char| letter.is_ascii_digit());
                let is_whole_domain = target.starts_with("failure-domain:");
                let name = if is_whole_domain {
                    prefix
                } else {
                    first.as_str()
                };
                return Ok(LinkSelector::Prefix(format_smolstr!("key-value/{name}")));
            }
        }
        let one = target_instances(cluster, one).await?;
        let other = target_instances(cluster, other).await?;
        return Ok(LinkSelector::Between(one, other));
    }
    if let Some(name) = fault.target.strip_prefix("upstream:") {
        return Ok(LinkSelector::Prefix(format_smolstr!("upstream/{name}")));
    }
    if fault.target == "key-value" {
        return Ok(LinkSelector::Prefix("key-value/".into()));
    }
    Ok(LinkSelector::Around(
        target_instances(cluster, &fault.target).await?,
    ))
}

fn upstream_name(fault: &FaultSpec) -> Result<SmolStr> {
    match fault.target.strip_prefix("upstream:") {
        Some(name) => Ok(name.into()),
        None => bail!("`{}` names no upstream; use upstream:NAME", fault.target),
    }
}

fn set_leaving(cluster: &Cluster, name: &str, leaving: bool) {
    if let Some(engine) = cluster.engines.get(name) {
        engine.set_leaving(leaving);
    }
    if let Some(service) = cluster.services.get(name) {
        service.set_faults(ServiceFaults {
            leaving,
            ..ServiceFaults::default()
        });
    }
}

fn set_services(cluster: &Cluster, target: &str, faults: &ServiceFaults) {
    let target_name = target.strip_prefix("upstream:");
    for (name, service) in &cluster.services {
        if target_name.is_none_or(|target_name| name == target_name) {
            service.set_faults(faults.clone());
        }
    }
}

fn set_silent(cluster: &Cluster, target: &str, silent: bool) {
    let target_name = target.strip_prefix("upstream:");
    for (name, engine) in &cluster.engines {
        if target_name.is_none_or(|target_name| name == target_name) {
            engine.set_silent(silent);
        }
    }
}

/// Simulates racing operators: each writes the same record in three rounds, by compare-and-swap.
async fn simulate_racing_writers(
    cluster: &Cluster,
    writers: usize,
    log: &mut FaultLog,
) -> Result<()> {
    use samphiregrade::keyvalue::{KeyValueStore, SwapOutcome};
    let key = samphiregrade::record::record_key(RecordKind::Model, "raced");
    let store = cluster.direct_store();
    let mut expected = vec![0; writers];
    let mut accepted: Vec<u64> = Vec::new();
    for round in 0..3 {
        for (writer, expected) in expected.iter_mut().enumerate() {
            let record = RecordEnvelope {
                schema: if writer % 2 == 0 { 1 } else { CURRENT_SCHEMA },
                kind: RecordKind::Model,
                name: "raced".into(),
                spec: json!({"version": format!("{writer}.{round}")}),
            };
            let text = serde_json::to_string(&record)?;
            match store.swap(key.clone(), *expected, Some(text)).await? {
                SwapOutcome::Swapped(revision) => {
                    // An accepted writer must have seen the previous accepted change.
                    if accepted.last().copied().unwrap_or(0) != *expected && !accepted.is_empty() {
                        log.lost_changes += 1;
                    }
                    accepted.push(revision);
                    log.changes.push((revision, Instant::now()));
                    *expected = revision;
                }
                SwapOutcome::Conflict(entry) => {
                    *expected = entry.map_or(0, |entry| entry.revision);
                }
            }
        }
    }
    Ok(())
}

/// Ends a fault.
///
/// # Errors
///
/// Returns an error if an instance can't be restarted.
pub fn end_fault(cluster: &mut Cluster, fault: &ActiveFault, log: &mut FaultLog) -> Result<()> {
    match fault {
        ActiveFault::Restart(names) => {
            for name in names {
                record_exit(cluster, name, log);
                if let Some(instance) = cluster.instances.get_mut(name) {
                    if instance.id().is_some() {
                        instance.kill();
                    }
                    instance.spawn()?;
                }
            }
        }
        ActiveFault::Resume(names) => {
            for name in names {
                if let Some(instance) = cluster.instances.get(name) {
                    instance.resume();
                }
            }
        }
        ActiveFault::KeyValue => cluster.key_value.set_faults(KeyValueFaults::default()),
        ActiveFault::Links(selector) => {
            cluster
                .proxy
                .set_faults(&LinkFaults::default(), |link| selector.selects(link));
        }
        ActiveFault::Services(target) => {
            set_services(cluster, target, &ServiceFaults::default());
        }
        ActiveFault::Silence(target) => set_silent(cluster, target, false),
        ActiveFault::Leaving(name) => set_leaving(cluster, name, false),
        ActiveFault::Nothing => {}
    }
    Ok(())
}

/// Records the exit of an instance that received the stop signal.
pub fn record_exit(cluster: &mut Cluster, name: &InstanceName, log: &mut FaultLog) {
    let Some(instance) = cluster.instances.get_mut(name) else {
        return;
    };
    let open_stop = log
        .stops
        .iter_mut()
        .find(|stop| stop.instance == *name && stop.ended.is_none());
    let Some(stop) = open_stop else { return };
    if let Some(status) = instance.exited() {
        stop.ended = Some((Instant::now(), status));
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

//! A cluster of real instance processes and stand-ins, connected through fault proxies.

mod ports;
mod process;

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use samphiregrade::client::CallerClient;
use samphiregrade::ids::{DomainId, InstanceName, ShardId, UpstreamName};
use samphiregrade::keyvalue::{EtcdGateway, KeyValueStore, SwapOutcome};
use samphiregrade::link::{make_authority, make_identity};
use samphiregrade::record::{CURRENT_SCHEMA, PolicySpec, RecordEnvelope, RecordKind, record_key};
use samphiregrade::settings::{
    InstanceSection, LimitSection, LinkSection, ListenSection, MembershipSection, PlatformSection,
    Settings, ShardSection, UpstreamSection,
};
use samphiregrade::workload::{Deployment, deployment_records};
use samphiregrade_http::{HttpPool, OutgoingRequest};
use samphiregrade_standins::engine::{EngineSettings, EngineStandin};
use samphiregrade_standins::instances::{InstanceListStandin, ListedInstance};
use samphiregrade_standins::keyvalue::{KeyValueSettings, KeyValueStandin};
use samphiregrade_standins::proxy::{FaultLink, FaultProxy};
use samphiregrade_standins::service::{ServiceSettings, ServiceStandin};
use samphiregrade_standins::weights::WeightStandin;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use ports::free_port;
pub use process::{InstanceProcess, ProcessUsage};

/// Timeout for the instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the weight store publishes a new model.
const WEIGHT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Executable of the instances.
    pub binary: PathBuf,
    /// Domains, upstreams and classes.
    pub deployment: Deployment,
    /// Scheduling policy.
    pub policy: PolicySpec,
    /// Shards of each failure domain.
    pub shards: u16,
    /// Settings of every engine.
    pub engine: EngineSettings,
    /// Settings of every service.
    pub service: ServiceSettings,
    /// Settings of the key-value service.
    pub key_value: KeyValueSettings,
    /// Delay with which the instance list shows a change.
    pub list_lag: Duration,
    /// Limits of the instances.
    pub limits: LimitSection,
    /// Shard settings; the count is replaced by `shards`.
    pub shard_section: ShardSection,
    /// Settings of the failure detection between instances.
    pub membership: MembershipSection,
    /// Names of the instances that have a data folder.
    pub with_disk: Vec<InstanceName>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            binary: default_binary(),
            deployment: Deployment::cantabrica(),
            policy: PolicySpec::default(),
            shards: 4,
            engine: EngineSettings::default(),
            service: ServiceSettings::default(),
            key_value: KeyValueSettings::default(),
            list_lag: Duration::from_millis(300),
            limits: LimitSection::default(),
            shard_section: ShardSection::default(),
            membership: MembershipSection::default(),
            with_disk: Vec::new(),
        }
    }
}

/// Returns the path of the instance executable in the folder of this executable.
#[must_use]
pub fn default_binary() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new(""));
    let candidate = folder.join("samphiregrade");
    if candidate.exists() {
        return candidate;
    }
    // Test executables are in a subfolder of the build folder.
    folder
        .parent()
        .unwrap_or(Path::new(""))
        .join("samphiregrade")
}

/// A running cluster; dropping it kills its processes.
#[derive(Debug)]
pub struct Cluster {
    /// Settings that the cluster was started with.
    pub settings: ClusterSettings,
    /// Proxy of every link, by the link's name.
    pub proxy: FaultProxy,
    /// The key-value service.
    pub key_value: KeyValueStandin,
    /// The engines.
    pub engines: BTreeMap<UpstreamName, EngineStandin>,
    /// The services.
    pub services: BTreeMap<UpstreamName, ServiceStandin>,
    /// The instances.
    pub instances: BTreeMap<InstanceName, InstanceProcess>,
    /// HTTP client for the tool's own requests.
    pub pool: HttpPool,
    key_value_address: SocketAddr,
    upstream_addresses: BTreeMap<UpstreamName, SmolStr>,
    weight_store: Option<SmolStr>,
    folder: TempDir,
    runtime: Option<Runtime>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in self.instances.values_mut() {
            instance.kill();
        }
        if std::thread::panicking() {
            for name in self.instances.keys() {
                eprintln!("last lines of {name}:\n{}", self.log_tail(name));
            }
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Name and addresses of an instance that is not started yet.
struct InstancePlan {
    name: InstanceName,
    domain: DomainId,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Cluster {
    /// Starts a cluster and waits until it is ready. Must be called inside a running ntex system.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started; for an instance that is not ready in time, with its last log lines.
    pub async fn start(settings: ClusterSettings) -> Result<Self> {
        let mut cluster = Self::start_standins(settings).await?;
        cluster.start_instances()?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    async fn start_standins(settings: ClusterSettings) -> Result<Self> {
        let runtime = Runtime::new().context("starting the proxies' runtime")?;
        let listener = TcpListener::bind(loopback(0))?;
        let key_value_address = listener.local_addr()?;
        let key_value = KeyValueStandin::new(settings.key_value.clone());
        key_value.start(listener)?;
        let mut cluster = Self {
            proxy: FaultProxy::default(),
            key_value,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            pool: HttpPool::start(2),
            key_value_address,
            upstream_addresses: BTreeMap::new(),
            weight_store: None,
            folder: TempDir::with_prefix("samphiregrade-")?,
            runtime: Some(runtime),
            settings,
        };
        cluster.weight_store = Some(cluster.start_weight_store()?);
        cluster.upstream_addresses = cluster.start_upstreams()?;
        let addresses = cluster.upstream_addresses.clone();
        let address = |name: &str| addresses.get(name).cloned().unwrap_or_default();
        for record in deployment_records(&cluster.settings.deployment, address) {
            cluster.put_record(&record).await?;
        }
        let policy = RecordEnvelope {
            schema: CURRENT_SCHEMA,
            kind: RecordKind::Policy,
            name: "default".into(),
            spec: serde_json::to_value(&cluster.settings.policy)?,
        };
        cluster.put_record(&policy).await?;
        Ok(cluster)
    }

    fn start_weight_store(&self) -> Result<SmolStr> {
        let listener = TcpListener::bind(loopback(0))?;
        let target = listener.local_addr()?;
        WeightStandin::new(WEIGHT_INTERVAL).start(listener)?;
        Ok(format_smolstr!(
            "http://{}",
            self.tcp_link("weight-store", target)?
        ))
    }

    fn start_upstreams(&mut self) -> Result<BTreeMap<UpstreamName, SmolStr>> {
        let deployment = self.settings.deployment.clone();
        let mut addresses = BTreeMap::new();
        for engine in &deployment.engines {
            let listener = TcpListener::bind(loopback(0))?;
            let target = listener.local_addr()?;
            let standin = EngineStandin::new(EngineSettings {
                models: vec![deployment.model.clone()],
                checks_fencing: engine.checks_fencing,
                ..self.settings.engine.clone()
            });
            standin.start(listener)?;
            let near = self.tcp_link(&format!("upstream/{}", engine.name), target)?;
            addresses.insert(engine.name.clone(), format_smolstr!("http://{near}"));
            self.engines.insert(engine.name.clone(), standin);
        }
        for service in &deployment.services {
            let listener = TcpListener::bind(loopback(0))?;
            let target = listener.local_addr()?;
            let standin = ServiceStandin::new(ServiceSettings {
                checks_fencing: service.checks_fencing,
                tells_outcome: service.tells_outcome,
                ..self.settings.service.clone()
            });
            standin.start(listener)?;
            let near = self.tcp_link(&format!("upstream/{}", service.name), target)?;
            addresses.insert(service.name.clone(), format_smolstr!("http://{near}"));
            self.services.insert(service.name.clone(), standin);
        }
        Ok(addresses)
    }

    fn spawn_link<Task>(&self, task: Task)
    where
        Task: Future<Output = std::io::Result<()>> + Send + 'static,
    {
        if let Some(runtime) = &self.runtime {
            runtime.spawn(task);
        }
    }

    fn link(&self, name: &str) -> FaultLink {
        self.proxy.link(name)
    }

    fn tcp_link(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind(loopback(0))?;
        let link_address = listener.local_addr()?;
        self.spawn_link(self.link(name).run_tcp(listener, target));
        Ok(link_address)
    }

    fn udp_link(&self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let socket = UdpSocket::bind(loopback(0))?;
        let link_address = socket.local_addr()?;
        self.spawn_link(self.link(name).run_udp(socket, target));
        Ok(link_address)
    }

    /// Stores a record and overwrites any earlier version.
    ///
    /// # Errors
    ///
    /// Returns the error of the key-value service.
    pub async fn put_record(&self, record: &RecordEnvelope) -> Result<u64> {
        let key = record_key(record.kind, &record.name);
        let text = serde_json::to_string(record)?;
        let store = self.direct_store();
        let mut expected = 0;
        loop {
            match store
                .swap(key.clone(), expected, Some(text.clone()))
                .await?
            {
                SwapOutcome::Swapped(revision) => return Ok(revision),
                SwapOutcome::Conflict(Some(entry)) => expected = entry.revision,
                SwapOutcome::Conflict(None) => expected = 0,
            }
        }
    }

    /// Returns a client that reaches the key-value service directly, not through the proxy.
    #[must_use]
    pub fn direct_store(&self) -> EtcdGateway {
        EtcdGateway::new(
            &format!("http://{}", self.key_value_address),
            self.pool.clone(),
        )
    }

    /// Returns the direct base URL of the key-value service, not through the proxy.
    #[must_use]
    pub fn key_value_url(&self) -> String {
        format!("http://{}", self.key_value_address)
    }

    fn plans(&self) -> Result<Vec<InstancePlan>> {
        let mut plans = Vec::new();
        for domain in &self.settings.deployment.domains {
            for index in 0..domain.instances {
                plans.push(InstancePlan {
                    name: format_smolstr!("{}-{index}", domain.name),
                    domain: domain.name.clone(),
                    callers: loopback(free_port()?),
                    operators: loopback(free_port()?),
                    peers: loopback(free_port()?),
                });
            }
        }
        Ok(plans)
    }

    fn start_instances(&mut self) -> Result<()> {
        let (authority, authority_key) = make_authority()?;
        let folder = self.folder.path().to_owned();
        fs::write(folder.join("authority.pem"), &authority)?;
        let plans = self.plans()?;
        for plan in &plans {
            let identity = make_identity(&authority, &authority_key, &plan.name)?;
            fs::write(
                folder.join(format!("{}.pem", plan.name)),
                identity.certificate,
            )?;
            fs::write(folder.join(format!("{}.key", plan.name)), identity.key)?;
            let list = self.start_list(plan, &plans)?;
            let key_value =
                self.tcp_link(&format!("key-value/{}", plan.name), self.key_value_address)?;
            let entry = self.tcp_link(&format!("caller/{}", plan.name), plan.callers)?;
            let settings = self.instance_settings(plan, list, key_value);
            let path = folder.join(format!("{}.toml", plan.name));
            fs::write(&path, toml::to_string(&settings)?)?;
            let mut process = InstanceProcess::new(
                plan.name.clone(),
                plan.domain.clone(),
                self.settings.binary.clone(),
                path,
                folder.join(format!("{}.log", plan.name)),
            );
            process.entry = format_smolstr!("http://{entry}");
            process.callers = format_smolstr!("http://{}", plan.callers);
            process.operators = format_smolstr!("http://{}", plan.operators);
            process.spawn()?;
            self.instances.insert(plan.name.clone(), process);
        }
        Ok(())
    }

    /// Starts the instance list for one instance. Each other instance is listed with the address of a link of its own.
    fn start_list(&self, viewer: &InstancePlan, plans: &[InstancePlan]) -> Result<SocketAddr> {
        let list = InstanceListStandin::new(self.settings.list_lag);
        for plan in plans.iter().filter(|plan| plan.name != viewer.name) {
            let link = format!("peer/{}/{}", viewer.name, plan.name);
            list.put(ListedInstance {
                name: plan.name.clone(),
                failure_domain: plan.domain.clone(),
                peer_address: format_smolstr!("{}", self.udp_link(&link, plan.peers)?),
                leaving: false,
            });
        }
        let listener = TcpListener::bind(loopback(0))?;
        let target = listener.local_addr()?;
        list.start(listener)?;
        self.tcp_link(&format!("instance-list/{}", viewer.name), target)
    }

    fn instance_settings(
        &self,
        plan: &InstancePlan,
        list: SocketAddr,
        key_value: SocketAddr,
    ) -> Settings {
        let folder = self.folder.path();
        let with_disk = self.settings.with_disk.contains(&plan.name);
        Settings {
            instance: InstanceSection {
                name: plan.name.clone(),
                failure_domain: plan.domain.clone(),
                data_folder: with_disk.then(|| folder.join(format!("{}-data", plan.name))),
            },
            listen: ListenSection {
                callers: plan.callers,
                operators: plan.operators,
                peers: plan.peers,
                workers: 1,
                runtime_threads: 2,
            },
            platform: PlatformSection {
                key_value: format_smolstr!("http://{key_value}"),
                instance_list: Some(format_smolstr!("http://{list}/instances")),
                instances: Vec::new(),
                weight_store: self.weight_store.clone(),
                calls_per_second: 20.0,
                call_burst: 60.0,
            },
            links: LinkSection {
                authority: folder.join("authority.pem"),
                certificate: folder.join(format!("{}.pem", plan.name)),
                key: folder.join(format!("{}.key", plan.name)),
            },
            shards: ShardSection {
                count: self.settings.shards,
                ..self.settings.shard_section.clone()
            },
            membership: self.settings.membership.clone(),
            upstreams: UpstreamSection::default(),
            limits: self.settings.limits.clone(),
        }
    }

    async fn wait_until_ready(&mut self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut waiting = Vec::new();
            for instance in self.instances.values() {
                if !self.is_ready(instance).await {
                    waiting.push(instance.name.clone());
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            ensure!(
                Instant::now() < deadline,
                "instances not ready in time: {waiting:?}\n{}",
                self.log_tail(&waiting[0])
            );
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns whether an instance reports that it is ready.
    pub async fn is_ready(&self, instance: &InstanceProcess) -> bool {
        let url = format!("{}/readyz", instance.operators);
        let request = OutgoingRequest::get(&url).with_timeout(Duration::from_secs(1));
        let response = self.pool.send(request).await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Reads an instance's dump.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown instance or a failed request.
    pub async fn dump(&self, instance: &str) -> Result<Value> {
        let process = self.instances.get(instance).context("no such instance")?;
        let url = format!("{}/dump", process.operators);
        let request = OutgoingRequest::get(&url).with_timeout(Duration::from_secs(3));
        let (_, dump) = self.pool.fetch_json(request).await?;
        Ok(dump)
    }

    /// Returns the last 30 lines of an instance's log.
    #[must_use]
    pub fn log_tail(&self, instance: &str) -> String {
        let path = self.folder.path().join(format!("{instance}.log"));
        let text = fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(30)..].join("\n")
    }

    /// Returns a client that prefers the instances of a failure domain and falls back to the others.
    #[must_use]
    pub fn caller(&self, domain: &str) -> CallerClient {
        let own = self
            .instances
            .values()
            .filter(|instance| instance.domain == domain);
        let mut entries: Vec<SmolStr> = own.map(|instance| instance.entry.clone()).collect();
        let preferred = entries.len();
        let others = self
            .instances
            .values()
            .filter(|instance| instance.domain != domain);
        entries.extend(others.map(|instance| instance.entry.clone()));
        let token = self.settings.deployment.token.clone();
        CallerClient::new(self.pool.clone(), entries, token).with_preferred(preferred)
    }

    /// Returns the folder of the cluster's files.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns an upstream's base URL, which leads through the fault proxy.
    #[must_use]
    pub fn direct_address(&self, upstream: &str) -> Option<SmolStr> {
        self.upstream_addresses.get(upstream).cloned()
    }

    /// Returns the base URL of a program's primary, by the dump of the first instance that responds.
    pub async fn primary_entry(&self, program: &str) -> Option<SmolStr> {
        let shard = ShardId::of_program(program).ok()?;
        for name in self.instances.keys() {
            let Ok(dump) = self.dump(name).await else {
                continue;
            };
            let maps = dump["maps"].as_array().cloned().unwrap_or_default();
            let map = maps
                .iter()
                .find(|map| map["map"]["domain"] == shard.domain.as_str())?;
            let primary = &map["map"]["shards"][usize::from(shard.index)]["primary"]["name"];
            let primary = self.instances.get(primary.as_str()?)?;
            return Some(primary.entry.clone());
        }
        None
    }

    /// Returns the instance whose primary shards have the most running programs, by the instances' dumps.
    pub async fn busiest_primary(&self) -> Option<InstanceName> {
        let mut best = None;
        for name in self.instances.keys() {
            let Ok(dump) = self.dump(name).await else {
                continue;
            };
            let shards = dump["shards"].as_array().cloned().unwrap_or_default();
            let primary = shards.iter().filter(|shard| shard["role"] == "primary");
            let programs: u64 = primary
                .filter_map(|shard| shard["book"]["running"].as_u64())
                .sum();
            if best.as_ref().is_none_or(|(most, _)| programs > *most) {
                best = Some((programs, name.clone()));
            }
        }
        best.map(|(_, name)| name)
    }
}

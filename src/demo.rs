//! Complete small deployment in one process on loopback, including stand-ins for engines and services.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use futures_util::future::join_all;
use ntex::server::Server;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use samphiregrade_http::HttpPool;
use samphiregrade_standins::engine::{EngineSettings, EngineStandin};
use samphiregrade_standins::service::{ServiceSettings, ServiceStandin};
use smol_str::{SmolStr, format_smolstr};
use tokio::runtime::Runtime;

use crate::client::CallerClient;
use crate::instance::{Instance, InstanceListeners, InstanceParts};
use crate::keyvalue::{InstanceList, KeyValueStore, ListedInstance, MemoryStore, SwapOutcome};
use crate::link::{make_authority, make_identity};
use crate::record::record_key;
use crate::settings::{
    InstanceSection, LimitSection, LinkSection, ListenSection, MembershipSection, PlatformSection,
    Settings, ShardSection, UpstreamSection,
};
use crate::workload::{
    Deployment, ObservedProgram, ProgramVerdict, deployment_records, draw_plan, run_program,
};

/// Timeout for the instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two readiness checks.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between the starts of two programs.
const START_INTERVAL: Duration = Duration::from_millis(60);

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Deployment whose program classes are run.
    pub deployment: Deployment,
    /// Number of programs, without sub-agents.
    pub programs: usize,
    /// Seed of the random program plans.
    pub seed: u64,
    /// Address of the first instance's listener for callers; a free port is chosen if this is `None`.
    pub listen: Option<SocketAddr>,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            deployment: Deployment::cantabrica().with_instances(2).with_engines(6),
            programs: 30,
            seed: 1,
            listen: None,
        }
    }
}

/// Results of the programs of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassSummary {
    /// Programs run, including sub-agents.
    pub programs: usize,
    /// Programs that finished.
    pub finished: usize,
    /// Calls with a response.
    pub calls: usize,
    /// Latencies of the programs, sorted.
    pub latencies: Vec<Duration>,
}

/// Results of the demo.
#[derive(Clone, Debug, Default)]
pub struct DemoReport {
    /// Results by class.
    pub classes: BTreeMap<SmolStr, ClassSummary>,
    /// Programs that did not finish, with the reason.
    pub failures: Vec<SmolStr>,
    /// Responses that differ from the expected ones.
    pub wrong_answers: u32,
    /// Instances and upstreams that were started.
    pub processes: usize,
    /// Time from the first start to the end of all programs.
    pub elapsed: Duration,
    /// Base URLs of the instances' listeners for callers.
    pub entries: Vec<SmolStr>,
}

/// Demo whose instances are still running.
#[derive(Debug)]
pub struct RunningDemo {
    /// Results of the programs.
    pub report: DemoReport,
    instances: Vec<Instance>,
    listeners: Vec<InstanceListeners>,
    upstreams: Vec<Server>,
}

impl RunningDemo {
    /// Stops the instances and stand-ins.
    pub async fn stop(self) {
        for instance in &self.instances {
            instance.stop();
        }
        for listeners in self.listeners {
            listeners.abort().await;
        }
        for upstream in self.upstreams {
            upstream.stop(false).await;
        }
    }
}

struct DemoInstance {
    instance_settings: Settings,
    callers: TcpListener,
    operators: TcpListener,
    peers: UdpSocket,
}

/// Runs the demo on the main event loop of a system. Calls `progress` for each program that has ended, without
/// its sub-agents.
///
/// # Errors
///
/// Returns an error if a part can't be started or the instances do not become ready in time.
pub async fn run_demo<Progress>(
    settings: DemoSettings,
    runtime: &Runtime,
    progress: Progress,
) -> Result<RunningDemo>
where
    Progress: Fn(&ObservedProgram),
{
    let deployment = &settings.deployment;
    let pool = HttpPool::start(1);
    let store: Arc<dyn KeyValueStore> = Arc::new(MemoryStore::default());
    let (upstreams, addresses) = start_upstreams(deployment).context("starting the stand-ins")?;
    write_records(deployment, &addresses, store.as_ref()).await?;
    let started = start_instances(&settings, &store, &pool, runtime);
    let (instances, entries, listeners) = started.context("starting the instances")?;
    wait_until_ready(&instances).await?;
    let client = CallerClient::new(pool, entries.clone(), deployment.token.clone());
    let started = Instant::now();
    let mut report = DemoReport {
        processes: instances.len() + addresses.len(),
        entries,
        ..DemoReport::default()
    };
    for program in run_programs(&settings, &client, &progress).await {
        report.add(program);
    }
    report.elapsed = started.elapsed();
    Ok(RunningDemo {
        report,
        instances,
        listeners,
        upstreams,
    })
}

type StartedUpstreams = (Vec<Server>, BTreeMap<SmolStr, SmolStr>);

fn start_upstreams(deployment: &Deployment) -> io::Result<StartedUpstreams> {
    let mut addresses = BTreeMap::new();
    let mut servers = Vec::new();
    for engine in &deployment.engines {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        addresses.insert(
            engine.name.clone(),
            format_smolstr!("http://{}", listener.local_addr()?),
        );
        let settings = EngineSettings {
            models: vec![deployment.model.clone()],
            checks_fencing: engine.checks_fencing,
            ..EngineSettings::default()
        };
        servers.push(EngineStandin::new(settings).start(listener)?);
    }
    for service in &deployment.services {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        addresses.insert(
            service.name.clone(),
            format_smolstr!("http://{}", listener.local_addr()?),
        );
        let settings = ServiceSettings {
            checks_fencing: service.checks_fencing,
            tells_outcome: service.tells_outcome,
            ..ServiceSettings::default()
        };
        servers.push(ServiceStandin::new(settings).start(listener)?);
    }
    Ok((servers, addresses))
}

async fn write_records(
    deployment: &Deployment,
    addresses: &BTreeMap<SmolStr, SmolStr>,
    store: &dyn KeyValueStore,
) -> Result<()> {
    let address = |name: &str| addresses.get(name).cloned().unwrap_or_default();
    for record in deployment_records(deployment, address) {
        let key = record_key(record.kind, &record.name);
        let text = serde_json::to_string(&record).context("writing a record")?;
        let outcome = store.swap(key, 0, Some(text)).await?;
        anyhow::ensure!(
            matches!(outcome, SwapOutcome::Swapped(_)),
            "a record of the deployment already exists in the key-value store"
        );
    }
    Ok(())
}

fn start_instances(
    settings: &DemoSettings,
    store: &Arc<dyn KeyValueStore>,
    pool: &HttpPool,
    runtime: &Runtime,
) -> Result<(Vec<Instance>, Vec<SmolStr>, Vec<InstanceListeners>)> {
    let (authority, authority_key) = make_authority()?;
    let mut first_address = settings.listen;
    let mut prepared = Vec::new();
    let mut listed = Vec::new();
    for domain in &settings.deployment.domains {
        for index in 0..domain.instances {
            let name = format_smolstr!("{}-{index}", domain.name);
            let instance =
                prepare_instance(name.clone(), domain.name.clone(), first_address.take())?;
            listed.push(ListedInstance {
                name,
                failure_domain: domain.name.clone(),
                peer_address: instance.peers.local_addr()?,
                leaving: false,
            });
            prepared.push(instance);
        }
    }
    let _runtime = runtime.enter();
    let mut instances = Vec::new();
    let mut entries = Vec::new();
    let mut listeners = Vec::new();
    for prepared in prepared {
        entries.push(format_smolstr!("http://{}", prepared.callers.local_addr()?));
        let name = prepared.instance_settings.instance.name.clone();
        let parts = InstanceParts {
            identity: make_identity(&authority, &authority_key, &name)?,
            settings: prepared.instance_settings,
            store: store.clone(),
            list: InstanceList::Fixed(listed.clone()),
            pool: pool.clone(),
            peer_socket: prepared.peers,
        };
        let instance = Instance::start(parts)?;
        listeners.push(instance.listen(prepared.callers, prepared.operators)?);
        instances.push(instance);
    }
    Ok((instances, entries, listeners))
}

fn prepare_instance(
    name: SmolStr,
    domain: SmolStr,
    listen: Option<SocketAddr>,
) -> Result<DemoInstance> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let callers = TcpListener::bind(listen.unwrap_or(any)).context("listening for callers")?;
    let operators = TcpListener::bind("127.0.0.1:0")?;
    let peers = UdpSocket::bind("127.0.0.1:0")?;
    let settings = Settings {
        instance: InstanceSection {
            name,
            failure_domain: domain,
            data_folder: None,
        },
        listen: ListenSection {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
            workers: 1,
            runtime_threads: 2,
        },
        platform: PlatformSection {
            key_value: "http://127.0.0.1".into(),
            instance_list: None,
            instances: Vec::new(),
            weight_store: None,
            calls_per_second: 20.0,
            call_burst: 60.0,
        },
        // The demo creates the certificates in memory; these paths are not read.
        links: LinkSection {
            authority: "authority.pem".into(),
            certificate: "instance.pem".into(),
            key: "instance.key".into(),
        },
        shards: ShardSection::default(),
        membership: MembershipSection::default(),
        upstreams: UpstreamSection::default(),
        limits: LimitSection::default(),
    };
    Ok(DemoInstance {
        instance_settings: settings,
        callers,
        operators,
        peers,
    })
}

async fn wait_until_ready(instances: &[Instance]) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !instances.iter().all(Instance::is_ready) {
        anyhow::ensure!(
            Instant::now() < deadline,
            "the instances did not become ready within {} s",
            READY_TIMEOUT.as_secs()
        );
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    Ok(())
}

async fn run_programs<Progress>(
    settings: &DemoSettings,
    client: &CallerClient,
    progress: &Progress,
) -> Vec<ObservedProgram>
where
    Progress: Fn(&ObservedProgram),
{
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let classes = &settings.deployment.classes;
    let plans: Vec<_> = (0..settings.programs)
        .map(|_| draw_plan(classes, &mut rng))
        .collect();
    let runs = plans.iter().zip(0..).map(async |(plan, number): (_, u32)| {
        tokio::time::sleep(START_INTERVAL * number).await;
        let key = format_smolstr!("demo-{}-{number}", settings.seed);
        let programs = run_program(client, plan, key, None, None).await;
        programs.first().inspect(|program| progress(program));
        programs
    });
    join_all(runs).await.into_iter().flatten().collect()
}

impl DemoReport {
    fn add(&mut self, program: ObservedProgram) {
        let class = self.classes.entry(program.class.clone()).or_default();
        class.programs += 1;
        class.calls += program.calls.iter().filter(|call| call.answered).count();
        class.latencies.push(program.latency);
        class.latencies.sort();
        self.wrong_answers += program.wrong_answers;
        if program.verdict == ProgramVerdict::Finished {
            class.finished += 1;
            return;
        }
        let reason = program.failure.unwrap_or_default();
        self.failures
            .push(format_smolstr!("{:?}: {reason}", program.verdict));
    }
}

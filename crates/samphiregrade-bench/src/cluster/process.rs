//! Starts, signals and measures one instance process.

use std::fs::{self, OpenOptions};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use samphiregrade::ids::{DomainId, InstanceName};
use smol_str::SmolStr;

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes in a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

/// The process of one instance; it can be started again after it was killed.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Name of the instance.
    pub name: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Base URL for callers, through the proxy.
    pub entry: SmolStr,
    /// Base URL for callers, without a proxy between.
    pub callers: SmolStr,
    /// Base URL for operators.
    pub operators: SmolStr,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Usage of the instance's earlier processes.
    earlier: ProcessUsage,
}

impl InstanceProcess {
    /// Creates the description of a process without starting it.
    #[must_use]
    pub fn new(
        name: InstanceName,
        domain: DomainId,
        binary: PathBuf,
        settings: PathBuf,
        log: PathBuf,
    ) -> Self {
        Self {
            name,
            domain,
            entry: SmolStr::default(),
            callers: SmolStr::default(),
            operators: SmolStr::default(),
            binary,
            settings,
            log,
            child: None,
            earlier: ProcessUsage::default(),
        }
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be opened or the executable can't be started.
    pub fn spawn(&mut self) -> Result<()> {
        let log = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&self.log)
            .with_context(|| format!("opening the log {}", self.log.display()))?;
        let child = Command::new(&self.binary)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the running process.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        let Some(id) = self.id().and_then(|id| i32::try_from(id).ok()) else {
            return;
        };
        // The error is ignored: a process that has already ended needs no signal.
        let _ = kill(Pid::from_raw(id), signal);
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        self.earlier = self.usage();
        let Some(mut child) = self.child.take() else {
            return;
        };
        // The error of `kill` is ignored: a process that has already ended can only be waited for.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Suspends the process with SIGSTOP, which the process can't detect.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM, on which the process shuts down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns the exit status once the process has ended.
    pub fn exited(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns the processor time of this process and its predecessors, and the current memory.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        let Some(id) = self.id() else {
            return ProcessUsage {
                memory: 0,
                ..self.earlier
            };
        };
        let current = read_usage(id).unwrap_or_default();
        ProcessUsage {
            cpu: self.earlier.cpu + current.cpu,
            memory: current.memory,
        }
    }
}

fn read_usage(id: u32) -> Option<ProcessUsage> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The fields follow the process name, which is in parentheses and may contain spaces.
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    Some(ProcessUsage {
        cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
        memory: pages * PAGE_BYTES,
    })
}

//! `samphiregrade record`: lists, reads and changes records of the operators.

use std::fs;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use pico_args::Arguments;
use samphiregrade::keyvalue::{
    EtcdGateway, KeyEntry, KeyRange, KeyValueClient, KeyValueLimits, SwapOutcome,
};
use samphiregrade::record::{RECORD_PREFIX, RecordEnvelope, RecordKind, record_diff, record_key};
use samphiregrade_http::{HttpPool, run_system};
use smol_str::{SmolStr, format_smolstr};

pub const USAGE: &str = "\
Lists, reads and changes the operators' records in the key-value service.

Usage: samphiregrade record list [KIND] --key-value URL
       samphiregrade record get KIND NAME --key-value URL
       samphiregrade record put FILE.json [--base REVISION] --key-value URL
       samphiregrade record remove KIND NAME --base REVISION --key-value URL
       samphiregrade record history KIND NAME [--from REVISION] --key-value URL
       samphiregrade record watch [KIND] --key-value URL

FILE may be `-` for standard input. `put` compares and swaps: without --base the record must not
exist yet; with --base its last change must be that revision. A stale base is refused with the newer
record and the lines that differ.
";

/// Subcommand with its operands.
pub enum RecordAction {
    /// Lists the records of a kind, or all records.
    List(Option<RecordKind>),
    /// Prints a record and its revision.
    Get(RecordKind, SmolStr),
    /// Stores a record from a file if it is still at the base revision; 0 means that it must not exist.
    Put(PathBuf, u64),
    /// Removes a record if it is still at the base revision.
    Remove(RecordKind, SmolStr, u64),
    /// Prints the changes of a record from a revision on.
    History(RecordKind, SmolStr, u64),
    /// Prints new changes of the records of a kind, or of all records, as they arrive.
    Watch(Option<RecordKind>),
}

/// Arguments of the command.
pub struct RecordArguments {
    action: RecordAction,
    key_value: SmolStr,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<RecordArguments> {
    let key_value: String = arguments.value_from_str("--key-value")?;
    let base: Option<u64> = arguments.opt_value_from_str("--base")?;
    let from: Option<u64> = arguments.opt_value_from_str("--from")?;
    let action: String = arguments.free_from_str()?;
    let action = match action.as_str() {
        "list" => RecordAction::List(arguments.opt_free_from_str()?),
        "get" => RecordAction::Get(arguments.free_from_str()?, free_text(&mut arguments)?),
        "put" => RecordAction::Put(arguments.free_from_str()?, base.unwrap_or(0)),
        "remove" => RecordAction::Remove(
            arguments.free_from_str()?,
            free_text(&mut arguments)?,
            base.context("--base is missing; `record get` shows the revision")?,
        ),
        "history" => RecordAction::History(
            arguments.free_from_str()?,
            free_text(&mut arguments)?,
            from.unwrap_or(1),
        ),
        "watch" => RecordAction::Watch(arguments.opt_free_from_str()?),
        other => bail!("there is no `record {other}`; see samphiregrade record --help"),
    };
    super::finish(arguments)?;
    let key_value = key_value.into();
    Ok(RecordArguments { action, key_value })
}

fn free_text(arguments: &mut Arguments) -> Result<SmolStr> {
    let text: String = arguments.free_from_str()?;
    Ok(text.into())
}

/// Runs the command.
pub fn execute(arguments: RecordArguments) -> Result<ExitCode> {
    run_system(async move {
        let pool = HttpPool::start(1);
        let store = Arc::new(EtcdGateway::new(&arguments.key_value, pool));
        let client = KeyValueClient::new(store, KeyValueLimits::default());
        run_action(&client, arguments.action).await
    })
}

async fn run_action(client: &KeyValueClient, action: RecordAction) -> Result<ExitCode> {
    match action {
        RecordAction::List(kind) => list(client, kind).await,
        RecordAction::Get(kind, name) => get(client, kind, &name).await,
        RecordAction::Put(path, base) => put(client, &path, base).await,
        RecordAction::Remove(kind, name, base) => {
            swap(client, &record_key(kind, &name), base, None).await
        }
        RecordAction::History(kind, name, from) => {
            let range = KeyRange::Single(record_key(kind, &name));
            follow(client, range, from, true).await
        }
        RecordAction::Watch(kind) => {
            let reading = client.read(KeyRange::Prefix(prefix(kind))).await?;
            follow(
                client,
                KeyRange::Prefix(prefix(kind)),
                reading.revision + 1,
                false,
            )
            .await
        }
    }
}

fn prefix(kind: Option<RecordKind>) -> SmolStr {
    kind.map_or(RECORD_PREFIX.into(), |kind| {
        format_smolstr!("{RECORD_PREFIX}{kind}/")
    })
}

async fn list(client: &KeyValueClient, kind: Option<RecordKind>) -> Result<ExitCode> {
    let reading = client.read(KeyRange::Prefix(prefix(kind))).await?;
    for entry in reading.entries {
        let name = entry.key.strip_prefix(RECORD_PREFIX).unwrap_or(&entry.key);
        let state = match RecordEnvelope::parse(&entry.value) {
            Ok(record) => match record.read() {
                Ok(_) => format!("schema={}", record.schema),
                Err(error) => format!("schema={} problem={error}", record.schema),
            },
            Err(error) => format!("problem={error}"),
        };
        println!("{name} revision={} {state}", entry.revision);
    }
    Ok(ExitCode::SUCCESS)
}

async fn get(client: &KeyValueClient, kind: RecordKind, name: &str) -> Result<ExitCode> {
    let entry = client.read_key(&record_key(kind, name)).await?;
    let entry = entry.with_context(|| format!("there is no record {kind}/{name}"))?;
    eprintln!("revision={}", entry.revision);
    println!("{}", entry.value);
    Ok(ExitCode::SUCCESS)
}

async fn put(client: &KeyValueClient, path: &PathBuf, base: u64) -> Result<ExitCode> {
    let text = if path.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .context("reading standard input")?;
        text
    } else {
        fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?
    };
    let record = RecordEnvelope::parse(&text)?;
    record
        .read()
        .with_context(|| format!("checking {}/{}", record.kind, record.name))?;
    let key = record_key(record.kind, &record.name);
    let current = client.read_key(&key).await?;
    let old = current.as_ref().map_or("{}", |entry| entry.value.as_str());
    let text = serde_json::to_string(&record)?;
    print!("{}", record_diff(old, &text));
    swap(client, &key, base, Some(text)).await
}

async fn swap(
    client: &KeyValueClient,
    key: &SmolStr,
    base: u64,
    value: Option<String>,
) -> Result<ExitCode> {
    match client.swap(key, base, value.clone()).await? {
        SwapOutcome::Swapped(revision) => {
            println!("accepted revision={revision}");
            Ok(ExitCode::SUCCESS)
        }
        SwapOutcome::Conflict(current) => {
            print_conflict(key, base, value.as_deref(), current.as_ref());
            Ok(ExitCode::FAILURE)
        }
    }
}

fn print_conflict(key: &str, base: u64, value: Option<&str>, current: Option<&KeyEntry>) {
    let Some(current) = current else {
        eprintln!("refused: {key} does not exist; put it without --base");
        return;
    };
    eprintln!(
        "refused: {key} is at revision {}, not {base}; the newer record is:",
        current.revision
    );
    eprintln!("{}", current.value);
    eprintln!("your change compared with it:");
    eprint!("{}", record_diff(&current.value, value.unwrap_or("{}")));
    eprintln!(
        "merge your change into it, then put again with --base {}",
        current.revision
    );
}

/// Prints changes: with `past_only` those up to the current revision, otherwise until the watch ends.
async fn follow(
    client: &KeyValueClient,
    range: KeyRange,
    from: u64,
    past_only: bool,
) -> Result<ExitCode> {
    let now = client.read(range.clone()).await?;
    let last = now
        .entries
        .iter()
        .map(|entry| entry.revision)
        .max()
        .unwrap_or(0);
    let mut changes = client.watch(range, from).await?;
    let mut old = "{}".to_owned();
    while let Some(change) = changes.recv().await {
        let text = change.value.clone().unwrap_or_else(|| "{}".to_owned());
        println!("revision={} key={}", change.revision, change.key);
        print!(
            "{}",
            record_diff(if past_only { &old } else { "{}" }, &text)
        );
        old = text;
        if past_only && change.revision >= last {
            break;
        }
    }
    Ok(ExitCode::SUCCESS)
}

//! `samphiregrade keys`: creates the certificates of instances.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use pico_args::Arguments;
use samphiregrade::link::{make_authority, make_identity};

pub const USAGE: &str = "\
Creates a certificate authority in the folder unless it has one, and a certificate for each instance.

Usage: samphiregrade keys --folder FOLDER NAME [NAME ...]
";

/// Arguments of the command.
pub struct KeysArguments {
    folder: PathBuf,
    names: Vec<String>,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<KeysArguments> {
    let folder = arguments.value_from_str("--folder")?;
    let remaining = arguments.finish();
    let names: Vec<String> = remaining
        .iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    if names.is_empty() {
        bail!("no instance given; pass at least one name");
    }
    Ok(KeysArguments { folder, names })
}

/// Runs the command.
pub fn execute(arguments: &KeysArguments) -> Result<ExitCode> {
    super::install_crypto();
    let folder = &arguments.folder;
    fs::create_dir_all(folder)
        .with_context(|| format!("creating the folder {}", folder.display()))?;
    let authority_path = folder.join("authority.pem");
    let authority_key_path = folder.join("authority.key");
    if !authority_path.exists() {
        let (certificate, key) = make_authority()?;
        write_file(&authority_path, &certificate)?;
        write_file(&authority_key_path, &key)?;
    }
    let authority = read_file(&authority_path)?;
    let authority_key = read_file(&authority_key_path)?;
    for name in &arguments.names {
        let identity = make_identity(&authority, &authority_key, name)?;
        write_file(&folder.join(format!("{name}.pem")), &identity.certificate)?;
        write_file(&folder.join(format!("{name}.key")), &identity.key)?;
        println!("created {name}.pem and {name}.key in {}", folder.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))
}

/// Writes a file with mode 0600, readable only by its owner.
fn write_file(path: &Path, text: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    options.create(true).truncate(true).write(true).mode(0o600);
    let mut file = options
        .open(path)
        .with_context(|| format!("writing {}", path.display()))?;
    file.write_all(text.as_bytes())
        .with_context(|| format!("writing {}", path.display()))
}

//! Command line: clear errors, and the commands that need no cluster.

use std::fs;
use std::process::{Command, Output};

use tempfile::TempDir;

use crate::support::binary;

fn run(arguments: &[&str]) -> Output {
    Command::new(binary())
        .args(arguments)
        .output()
        .expect("a run command")
}

fn error_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn unknown_command_and_argument_are_reported() {
    let output = run(&["sreve"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(error_of(&output).contains("sreve"));
    let output = run(&["dump", "--operators", "http://127.0.0.1:1", "--colour"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(error_of(&output).contains("--colour"));
}

#[test]
fn every_command_has_help() {
    for command in ["serve", "check", "record", "dump", "call", "demo", "keys"] {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{command}");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            text.contains(&format!("Usage: samphiregrade {command}")),
            "{text}"
        );
    }
}

#[test]
fn invalid_setting_is_reported_with_its_line() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, "[instance]\nname = \"a\"\nfailure-domian = \"b\"\n").expect("a written file");
    let output = run(&["check", "--settings", &path.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(2));
    let error = error_of(&output);
    assert!(
        error.contains("failure-domian") && error.contains("line 3"),
        "{error}"
    );
}

#[test]
fn keys_are_readable_only_by_their_owner() {
    use std::os::unix::fs::PermissionsExt;
    let folder = TempDir::new().expect("a folder");
    let output = run(&[
        "keys",
        "--folder",
        &folder.path().to_string_lossy(),
        "one",
        "two",
    ]);
    assert!(output.status.success(), "{}", error_of(&output));
    for file in ["authority.key", "one.key", "two.key"] {
        let mode = fs::metadata(folder.path().join(file))
            .expect("a file")
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{file}");
    }
}

#[test]
fn examples_are_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let settings = folder.join("settings.toml");
    let output = run(&["check", "--settings", &settings.to_string_lossy()]);
    assert!(output.status.success(), "{}", error_of(&output));
    for entry in fs::read_dir(folder.join("records")).expect("a folder") {
        let path = entry.expect("a file").path();
        let output = run(&["check", "--record", &path.to_string_lossy()]);
        assert!(output.status.success(), "{}", error_of(&output));
    }
    for entry in fs::read_dir(folder.join("scenarios")).expect("a folder") {
        let path = entry.expect("a file").path();
        samphiregrade_bench::scenario::Scenario::read(&path).expect("a valid scenario");
    }
}

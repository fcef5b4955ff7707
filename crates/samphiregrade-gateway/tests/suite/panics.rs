//! Panics in tasks of an instance are logged, and the process continues.

use std::process::Command;

use samphiregrade_gateway::observe::{Logbook, install_logger};

/// Environment variable that is set for the child process whose task panics. The child logs to its standard output.
const CHILD_VARIABLE: &str = "SAMPHIREGRADE_TEST_PANICS";

const TEST: &str = "panics::panic_of_a_task_is_told_in_the_log_and_the_process_goes_on";

async fn panic_in_a_task() {
    install_logger(log::LevelFilter::Info);
    let task = tokio::spawn(async { panic!("a task that fails") });
    assert!(task.await.expect_err("a failed task").is_panic());
    Logbook::global().record("goes-on", &());
    Logbook::global().flush();
}

#[tokio::test]
async fn panic_of_a_task_is_told_in_the_log_and_the_process_goes_on() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        panic_in_a_task().await;
        return;
    }
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    let output = command
        .args(["--exact", TEST])
        .env(CHILD_VARIABLE, "1")
        .output();
    let output = output.expect("a process that ran");
    let log = String::from_utf8_lossy(&output.stdout);
    let told = log
        .lines()
        .find(|line| line.contains("\"event\":\"panic\""));
    let told = told.expect("a line about the panic");
    assert!(told.contains("\"message\":\"a task that fails\""), "{told}");
    assert!(told.contains("panics.rs"), "{told}");
    assert!(log.contains("\"event\":\"goes-on\""), "{log}");
    assert!(output.status.success());
}

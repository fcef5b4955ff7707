//! `samphiregrade-standins proxy`: one link whose faults are set over HTTP.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::ExitCode;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade_http::run_system;
use samphiregrade_standins::proxy::FaultProxy;

/// Name of the proxy's single link at the control address.
const LINK_NAME: &str = "link";

/// Arguments of the command.
pub struct ProxyArguments {
    listen: SocketAddr,
    target: SocketAddr,
    control: SocketAddr,
    udp: bool,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<ProxyArguments> {
    let parsed = ProxyArguments {
        listen: arguments.value_from_str("--listen")?,
        target: arguments.value_from_str("--target")?,
        control: arguments.value_from_str("--control")?,
        udp: arguments.contains("--udp"),
    };
    super::reject_unused(arguments)?;
    Ok(parsed)
}

/// Runs the command until the process is terminated.
pub fn execute(arguments: &ProxyArguments) -> Result<ExitCode> {
    let (listen, target, control, udp) = (
        arguments.listen,
        arguments.target,
        arguments.control,
        arguments.udp,
    );
    run_system(async move {
        let proxy = FaultProxy::default();
        let control = TcpListener::bind(control).context("listening for control")?;
        proxy.start_control(control)?;
        let link = proxy.link(LINK_NAME);
        if udp {
            let socket = UdpSocket::bind(listen).context("listening")?;
            link.run_udp(socket, target).await?;
        } else {
            let listener = TcpListener::bind(listen).context("listening")?;
            link.run_tcp(listener, target).await?;
        }
        Ok(ExitCode::SUCCESS)
    })
}

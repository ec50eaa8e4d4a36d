//! A small deployment on loopback to try the operators' commands on.
//!
//! Run with `cargo run -p kumquatquay-cli --example first_day`. It starts a
//! stand-in of the platform's log, six hosts in three data centres and their
//! backend servers, prints what to set in another terminal, and runs until it
//! is interrupted.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_standins::{BackendServer, Call, PlatformLog, RunningBackendServer, ServiceTime};
use kumquatquayd::{DaemonSettings, OperatorAccount, RunningNode};

const SECRET: &str = "a secret for trying things out";
const HOSTS: [(&str, &str); 6] = [
    ("hall-a", "pitwatch"),
    ("hall-a", "settlement"),
    ("hall-a", "archive"),
    ("hall-b", "settlement"),
    ("hall-b", "archive"),
    ("hall-c", "archive"),
];

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let log = PlatformLog::new().start().await?;
    let mut hosts: Vec<(RunningNode, RunningBackendServer)> = Vec::new();
    for (data_centre, service) in HOSTS {
        let seeds: Vec<SocketAddr> = hosts
            .iter()
            .map(|(node, _)| node.control_address())
            .collect();
        hosts.push(start_host(log.address(), data_centre, service, seeds).await?);
    }
    let (first, _) = &hosts[0];
    println!("export KUMQUATQUAY_NODE={}", first.operator_address());
    println!("export KUMQUATQUAY_TOKEN=mei-s-token");
    println!("export KUMQUATQUAY_SECRET='{SECRET}'");
    println!(
        "# callers come in at http://{}, for instance:",
        first.entry_address()
    );
    println!(
        "#   curl -i -H 'kumquatquay-service: pitwatch' http://{}/pits/7",
        first.entry_address()
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn start_host(
    log: SocketAddr,
    data_centre: &str,
    service: &str,
    seeds: Vec<SocketAddr>,
) -> eyre::Result<(RunningNode, RunningBackendServer)> {
    let operators = [("mei", "mei-s-token"), ("lin", "lin-s-token")];
    let operators = operators.map(|(name, token)| OperatorAccount {
        name: String::from(name),
        token: String::from(token),
    });
    let settings = DaemonSettings::new(data_centre)
        .seeds(seeds)
        .log(log)
        .secret(SECRET)
        .operators(operators);
    let node = kumquatquayd::start(settings).await?;
    let mut server = BackendServer::new(service)
        .slots_count(20)
        .service_time(ServiceTime::Fixed(Duration::from_millis(20)))
        .egress(node.egress_address());
    if service == "pitwatch" {
        server = server.call(Call::read("archive"));
    }
    Ok((node, server.start().await?))
}

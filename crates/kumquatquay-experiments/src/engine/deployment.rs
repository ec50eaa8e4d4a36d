//! The log and all hosts of a scenario, in this process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kumquatquay_core::{Policy, StateDump};
use kumquatquay_standins::{EffectLedger, PlatformLog, RunningLog};
use kumquatquayd::RunningNode;
use tokio::task::JoinSet;

use super::{
    host::{Host, stop_node},
    mesh_node::{NodeSpec, dump},
};
use crate::{
    measure::DeploymentCounts,
    scenario::{Event, HostChoice, Scenario, ServiceSpec},
};

/// Nodes that a new node is told of.
const SEEDS_COUNT: usize = 3;

/// The log, the hosts and what they count.
pub struct Deployment {
    scenario: Scenario,
    policy: Policy,
    seed: u64,
    log: RunningLog,
    ledger: Arc<EffectLedger>,
    hosts: Vec<Host>,
    stopping: JoinSet<()>,
    started_count: u64,
    deaths_s: Vec<f64>,
    appends_before_count: u64,
    control_bytes_before_count: u64,
}

impl Deployment {
    /// Starts the log, then all hosts, callees before callers.
    ///
    /// # Errors
    ///
    /// If a port can't be had or a node doesn't start.
    pub async fn start(scenario: &Scenario, policy: Policy, seed: u64) -> eyre::Result<Self> {
        let mut deployment = Self {
            scenario: scenario.clone(),
            policy,
            seed,
            log: PlatformLog::new().start().await?,
            ledger: Arc::default(),
            hosts: Vec::new(),
            stopping: JoinSet::new(),
            started_count: 0,
            deaths_s: Vec::new(),
            appends_before_count: 0,
            control_bytes_before_count: 0,
        };
        for service in &scenario.services {
            for _ in 0..service.hosts_count {
                deployment.add_host(service).await?;
            }
        }
        Ok(deployment)
    }

    /// Record of what runs and what callers are told.
    pub fn ledger(&self) -> Arc<EffectLedger> {
        self.ledger.clone()
    }

    /// Entries of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.hosts.iter().filter_map(Host::entry).collect()
    }

    /// Entries of the nodes of some services.
    pub fn entries_of(&self, services: &[&str]) -> Vec<SocketAddr> {
        let is_meant = |host: &&Host| services.contains(&host.service.as_str());
        self.hosts
            .iter()
            .filter(is_meant)
            .filter_map(Host::entry)
            .collect()
    }

    /// Operator interfaces of all nodes.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let nodes = self.hosts.iter().filter_map(Host::node);
        nodes.map(RunningNode::operator_address).collect()
    }

    /// State dumps of the nodes of a service.
    pub(crate) fn dumps_of(&self, service: &str) -> Vec<StateDump> {
        let of_service = self.hosts.iter().filter(|host| host.service == service);
        of_service.filter_map(Host::node).map(dump).collect()
    }

    /// Counts from here on.
    pub fn begin_measures(&mut self) {
        self.appends_before_count = self.log.appends_count();
        self.control_bytes_before_count = self.control_bytes_count();
    }

    /// Makes an event happen, `at` after the start of the load.
    ///
    /// # Errors
    ///
    /// If a host that is to be added doesn't start.
    pub async fn apply(&mut self, event: &Event, at: Duration) -> eyre::Result<()> {
        match event {
            Event::Slowdown {
                service,
                hosts,
                factor,
            } => {
                for host in self.chosen(service, *hosts) {
                    if let Some(server) = host.server() {
                        server.set_slowdown(*factor);
                    }
                }
            }
            Event::Log(fault) => self.log.set_fault(*fault),
            Event::Drain { service, hosts } => self.drain(service, *hosts),
            Event::StopHosts { service, hosts } => self.stop_hosts(service, *hosts),
            Event::KillHosts { service, hosts } => {
                self.deaths_s.push(at.as_secs_f64());
                self.chosen(service, *hosts).for_each(Host::kill);
            }
            Event::AddHost { service } => {
                if let Some(service) = self.scenario.get_service(service).cloned() {
                    self.add_host(&service).await?;
                }
            }
        }
        Ok(())
    }

    /// What was counted since [`Deployment::begin_measures`].
    pub fn counts(&self) -> DeploymentCounts {
        let control_bytes = self.control_bytes_count();
        let before = self.control_bytes_before_count;
        DeploymentCounts {
            servers: self.hosts.iter().map(Host::statistics).collect(),
            promises: self.ledger.report(),
            log_appends_count: self.log.appends_count() - self.appends_before_count,
            control_bytes_count: (control_bytes > 0).then(|| control_bytes.saturating_sub(before)),
            nodes_count: self.hosts.iter().filter_map(Host::node).count(),
            deaths_s: self.deaths_s.clone(),
        }
    }

    /// Stops everything at once; nobody waits for answers any more.
    pub async fn stop(mut self) {
        self.stopping.shutdown().await;
        self.hosts.iter_mut().for_each(Host::kill);
    }

    fn chosen<'a>(
        &'a mut self,
        service: &'a str,
        hosts: HostChoice,
    ) -> impl Iterator<Item = &'a mut Host> {
        let of_service = self
            .hosts
            .iter_mut()
            .filter(move |host| host.service == service);
        of_service.filter(move |host| hosts.includes(host.index))
    }

    fn drain(&mut self, service: &str, hosts: HostChoice) {
        for host in self.chosen(service, hosts) {
            if let Some(server) = host.server() {
                server.drain();
            }
        }
    }

    /// Backend servers go on until their nodes have stopped.
    fn stop_hosts(&mut self, service: &str, hosts: HostChoice) {
        self.drain(service, hosts);
        let nodes: Vec<_> = self
            .chosen(service, hosts)
            .filter_map(Host::take_node)
            .collect();
        for node in nodes {
            self.stopping.spawn(stop_node(node));
        }
    }

    async fn add_host(&mut self, service: &ServiceSpec) -> eyre::Result<()> {
        let same = self
            .hosts
            .iter()
            .filter(|host| host.service == service.name);
        let index = same.count();
        let data_centres = &self.scenario.data_centres;
        self.started_count += 1;
        let spec = NodeSpec {
            data_centre: data_centres[index % data_centres.len()].clone(),
            seeds: self.seeds(),
            log: Some(self.log.address()),
            policy: self.policy,
            random_seed: self.seed.wrapping_mul(1009) + self.started_count,
        };
        let host = Host::start(service, index, spec, self.ledger.clone()).await?;
        self.hosts.push(host);
        Ok(())
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let nodes = self.hosts.iter().filter_map(Host::node);
        let addresses = nodes.map(RunningNode::control_address);
        addresses.take(SEEDS_COUNT).collect()
    }

    /// Bytes of control messages that all nodes sent, as far as they count them.
    fn control_bytes_count(&self) -> u64 {
        let dumps = self.hosts.iter().filter_map(Host::node).map(dump);
        let sent = dumps.flat_map(|dump| {
            let counts = dump.counters.iter();
            counts
                .filter(|(counter, _)| counter.to_string() == CONTROL_BYTES_COUNTER)
                .map(|(_, count)| count)
                .collect::<Vec<_>>()
        });
        sent.sum()
    }
}

/// Name of the nodes' counter of bytes of control messages sent.
const CONTROL_BYTES_COUNTER: &str = "control_sent_bytes";

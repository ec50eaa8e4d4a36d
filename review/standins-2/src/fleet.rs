//! A small deployment: hosts with a node and a backend server each, and one store.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    node::{NodePlan, NodeProcess},
    record::Record,
    store::Store,
    upstream::{Decide, Extra, Plan, Run, Upstream},
};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

const STORE_PORT: u16 = 8309;

/// Bytes a second of a machine's link of 1,000 Mbit/s.
pub const LINK_BYTES_PER_S: u64 = 125_000_000;

/// Routes of the first configuration.
pub const CONFIGURATION: &str = r#"{"version":"r7",
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "listeners":[{"host":"pits.example","rules":[
   {"name":"history","route_type":"idempotent","target_latency_ms":1200,"priority":2,
    "match":{"path_prefix":"/history/"},
    "action":{"service":"archive","timeout_ms":5000,"attempts":2}},
   {"name":"settle","route_type":"non_idempotent","target_latency_ms":1500,"priority":0,
    "match":{"path_prefix":"/settle/"},
    "action":{"service":"settlement","timeout_ms":5000,"attempts":2}}]}],
 "clusters":[{"name":"archive","health_path":"/healthz","max_connections":754,"protocol":"h1","tls":false},
             {"name":"settlement","health_path":"/healthz","max_connections":1084,"protocol":"h1","tls":false}]}"#;

/// What every script needs.
pub struct Stage {
    pub record: Record,
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub store_address: SocketAddr,
    net: [u8; 2],
    scratch: PathBuf,
}

impl Stage {
    /// Starts the store with the configuration. Addresses are taken from the id of this process, so that two scripts
    /// that run beside each other don't meet.
    pub fn open(record: Record) -> std::io::Result<Self> {
        let id = std::process::id();
        let net = [(id >> 8 & 0x7f) as u8 + 64, (id & 0xff) as u8];
        let scratch = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&scratch)?;
        let store_address = SocketAddr::new(address(net, 250), STORE_PORT);
        let store = Store::start(store_address)?;
        store.put("keyed.op", "config", CONFIGURATION.as_bytes());
        Ok(Self {
            record,
            store,
            runs: Arc::default(),
            store_address,
            net,
            scratch,
        })
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        address(self.net, host)
    }

    pub fn zone(host: u8) -> &'static str {
        ZONES[usize::from(host - 1) % ZONES.len()]
    }

    /// A node of a host, not started yet.
    pub fn node(&self, host: u8, service: &str) -> NodeProcess {
        let plan = NodePlan {
            ip: self.ip(host),
            name: format!("sidecar-{host}"),
            service: service.to_string(),
            zone: Self::zone(host).to_string(),
            store: self.store_address,
            more: String::new(),
        };
        NodeProcess::new(plan, &self.scratch, &self.record)
    }

    /// Starts the backend server of a host.
    pub fn upstream(
        &self,
        host: u8,
        service: &str,
        instance: &str,
        slots: u32,
        decide: Decide,
    ) -> std::io::Result<Arc<Upstream>> {
        self.upstream_with_extra(host, service, instance, slots, decide, Box::new(|| false))
    }

    /// [`Stage::upstream`], of which some answers are sent a second time.
    pub fn upstream_with_extra(
        &self,
        host: u8,
        service: &str,
        instance: &str,
        slots: u32,
        decide: Decide,
        sends_extra: Extra,
    ) -> std::io::Result<Arc<Upstream>> {
        let plan = Plan {
            ip: self.ip(host),
            service: service.to_string(),
            zone: Self::zone(host).to_string(),
            slots,
            link_bytes_per_s: LINK_BYTES_PER_S,
            decide,
            sends_extra,
        };
        Upstream::start(plan, instance, &self.record, &self.runs)
    }

    /// Waits until all nodes are ready; returns whether they are.
    pub fn wait_until_ready(&self, nodes: &[NodeProcess]) -> bool {
        let are_ready = nodes
            .iter()
            .all(|node| node.wait_until_ready(Duration::from_secs(15)));
        self.record.say(format!("all nodes ready: {are_ready}"));
        are_ready
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.scratch);
        }
    }
}

fn address(net: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host))
}

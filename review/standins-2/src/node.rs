//! A node as a process of its own, and the part of the platform that starts and ends it.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, encode},
    record::Record,
};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/kumquatquayd";

/// Memory of a machine, in megabytes; a process beyond it is killed.
pub const MEMORY_MB: u64 = 260;

const ENTRY_PORT: u16 = 8304;
const READY_PORT: u16 = 8302;

/// What the settings of a node say beside what all have in common.
#[derive(Clone)]
pub struct NodePlan {
    pub ip: IpAddr,
    pub name: String,
    pub service: String,
    pub zone: String,
    pub store: SocketAddr,
    /// Settings beside those that all have.
    pub more: String,
}

/// Notes a process for the script that ends it if the stand-ins can't.
fn note_process(id: u32) {
    let Some(path) = std::env::var_os("REVIEW_PROCESSES") else {
        return;
    };
    if let Ok(mut file) = File::options().append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// A node's process.
pub struct NodeProcess {
    pub plan: NodePlan,
    folder: PathBuf,
    record: Record,
    child: Option<Child>,
    starts: u32,
}

impl NodeProcess {
    pub fn new(plan: NodePlan, folder: &Path, record: &Record) -> Self {
        Self {
            plan,
            folder: folder.to_path_buf(),
            record: record.clone(),
            child: None,
            starts: 0,
        }
    }

    fn settings(&self) -> String {
        let NodePlan {
            ip,
            name,
            service,
            zone,
            store,
            more,
        } = &self.plan;
        let bootstrap = self.starts == 0;
        format!(
            "local.node={name}\nlocal.role=node\nlocal.machine_class=sidecar\nlocal.serves=sidecar\n\
             local.ip={ip}\nlocal.zone={zone}\nlocal.region=tw-north\nlocal.loss_counts=false\n\
             local.bootstrap={bootstrap}\nlocal.limits.cpu_share=0.4\nlocal.limits.cores=1\n\
             local.limits.memory_mb={MEMORY_MB}\nlocal.limits.max_fds=4100\n\
             local.limits.link_mbps=1000.0\nlocal.limits.disk_mb=0\nlocal.app_addr={ip}:8301\n\
             local.service={service}\nnetwork.listen.inbound={ip}:8300\n\
             network.listen.outbound={ip}:{ENTRY_PORT}\nnetwork.listen.ready={ip}:{READY_PORT}\n\
             network.listen.control={ip}:8306\nnetwork.port_range=7620,7635\nnetwork.seeds=\n\
             network.zones.hall-a=tw-north\nnetwork.zones.hall-b=tw-north\n\
             network.zones.hall-c=tw-north\nplatform.discovery=static\nplatform.entry_mode=static\n\
             platform.heartbeat_ms=1500\nplatform.platform.address={store}\n\
             platform.platform.form=log\nplatform.platform.writes_per_s=400\n\
             platform.platform.reads_per_s=2000\nplatform.platform.parts=24\n\
             platform.platform.append_ms=1.0\nplatform.platform.part_mb_s=20.0\n\
             platform.platform.read_mb_s=80.0\nplatform.platform.record_bytes=262144\n\
             platform.platform.call_bytes=2097152\nplatform.platform.keep_s=20\n\
             platform.platform.part_mb=200\nplatform.platform.ttl_min_ms=1000\n\
             terms.contracts=base,drain,config,cost,retry,recover,pressure,platform\n\
             terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=1\n\
             terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
             terms.bounds.reuse_after_s=2\nterms.bounds.stability_ms=3000\nterms.bounds.ack_ms=4000\n\
             terms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2000\nterms.bounds.grace_s=6\n\
             terms.bounds.loss_slack_ms=200\nterms.bounds.config_deadline_ms=2000\n\
             terms.bounds.rollback_slack_ms=250\nterms.bounds.max_stretch_ms=5000\n\
             terms.bounds.budget_ratio=0.2\nterms.bounds.budget_window_s=10\n\
             terms.bounds.budget_extra=49\nterms.bounds.recover_s=15\n{more}"
        )
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let name = &self.plan.name;
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("KUMQUATQUAY_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.starts += 1;
        note_process(child.id());
        self.record
            .say(format!("{name}: node process {} starts", child.id()));
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process, and waits until it has ended.
    pub fn kill(&mut self, why: &str) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.say(format!(
                "{}: node process {} is killed: {why}",
                self.plan.name,
                child.id()
            ));
        }
    }

    /// Whether the process has ended by itself, or after a signal; then it is forgotten.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        self.record.say(format!(
            "{}: node process {} ended: {status}",
            self.plan.name,
            child.id()
        ));
        self.child = None;
        true
    }

    /// Memory that the process takes now, in megabytes.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    pub fn entry(&self) -> SocketAddr {
        SocketAddr::new(self.plan.ip, ENTRY_PORT)
    }

    /// Asks the node whether it is ready, as the platform does once a second.
    pub fn is_ready(&self) -> bool {
        let to = SocketAddr::new(self.plan.ip, READY_PORT);
        let Ok(mut connection) = Connection::open(to, Duration::from_millis(500)) else {
            return false;
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(500)));
        let host = ("Host", to.to_string());
        let question = encode("GET /api/ready HTTP/1.1", &[host], b"");
        let asked = connection.write(&question);
        let answer = asked.ok().and_then(|()| connection.read().ok().flatten());
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_until_ready(&self, longest: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < longest {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

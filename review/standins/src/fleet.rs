//! A small deployment: hosts with a node and a backend server each, and the platform's store.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{backend::Backend, http::send, record::Record, store::Store};

pub const ZONE: &str = "hall-a";

/// The platform's `grace_s`.
const GRACE: Duration = Duration::from_secs(6);

/// After a process has ended, the platform starts it again this much later.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ports of a host, as in the settings example of the platform's pages, and the first of its range.
const APP_PORT: u16 = 8301;
const INBOUND_PORT: u16 = 8300;
const OUTBOUND_PORT: u16 = 8304;
const READY_PORT: u16 = 8302;
const REPORTS_PORT: u16 = 8306;
const RANGE_PORT: u16 = 7620;
const METRICS_PORT: u16 = 9464;
const OPERATOR_PORT: u16 = 9465;
const STORE_PORT: u16 = 8309;

pub struct Host {
    pub name: String,
    pub backend: Arc<Backend>,
    ip: IpAddr,
    service: String,
    bounds: String,
    folder: PathBuf,
    program: PathBuf,
    store: SocketAddr,
    child: Mutex<Option<Child>>,
    /// Whether the platform sends clients to it: false after two questions in a row without a 200.
    is_in: AtomicBool,
    /// How often the platform has asked whether it is ready.
    questions_count: AtomicU32,
    memory_ends_count: AtomicU32,
    has_started: AtomicBool,
    record: Arc<Record>,
}

pub struct Fleet {
    pub hosts: Vec<Arc<Host>>,
    pub store: Store,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &self.hosts {
            if let Some(mut child) = host.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a backend server for each service, and the store; the nodes are yet to be started.
    ///
    /// The control addresses of the hosts' nodes are suitable.
    pub fn start(
        root: &Path,
        services: &[&str],
        bounds: &str,
        work: Duration,
        record: &Arc<Record>,
        is_suitable: impl Fn(&[SocketAddr]) -> bool,
    ) -> io::Result<Self> {
        let program = root.join("target/release/kumquatquayd");
        if !program.exists() {
            return Err(io::Error::other("target/release/kumquatquayd isn't built"));
        }
        let folder = temporary_folder()?;
        let subnet = free_subnet(services.len(), is_suitable)?;
        let store_address = SocketAddr::new(subnet(250), STORE_PORT);
        let store = Store::start(store_address)?;
        let mut fleet = Self {
            hosts: Vec::new(),
            store,
            folder: folder.clone(),
        };
        for (index, service) in services.iter().enumerate() {
            let ip = subnet(index as u8 + 1);
            let address = |port| SocketAddr::new(ip, port);
            let record_of_runs = Arc::clone(record);
            let backend = Backend::start(
                service,
                ZONE,
                address(APP_PORT),
                address(REPORTS_PORT),
                work,
                record_of_runs,
            )?;
            let host = Arc::new(Host {
                name: format!("host-{}", index + 1),
                backend,
                ip,
                service: String::from(*service),
                bounds: String::from(bounds),
                folder: folder.clone(),
                program: program.clone(),
                store: store_address,
                child: Mutex::default(),
                is_in: AtomicBool::new(false),
                questions_count: AtomicU32::new(0),
                memory_ends_count: AtomicU32::new(0),
                has_started: AtomicBool::new(false),
                record: Arc::clone(record),
            });
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// [`Fleet::start`] with all nodes, within a moment of each other.
    pub fn start_all(
        root: &Path,
        services: &[&str],
        bounds: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let fleet = Self::start(root, services, bounds, work, record, |_| true)?;
        for host in &fleet.hosts {
            host.start_node(true)?;
        }
        Ok(fleet)
    }

    /// Starts to ask the nodes once a second whether they are ready, as the platform does.
    pub fn ask_readiness(&self) {
        for host in &self.hosts {
            let host = Arc::clone(host);
            thread::spawn(move || {
                let mut misses_count = 0;
                loop {
                    misses_count = if host.is_ready() { 0 } else { misses_count + 1 };
                    if misses_count == 0 && !host.is_in.swap(true, Ordering::Relaxed) {
                        host.record.add(format!("{} counts as ready", host.name));
                    }
                    if misses_count >= 2 && host.is_in.swap(false, Ordering::Relaxed) {
                        host.record
                            .add(format!("{} has missed two questions", host.name));
                    }
                    host.questions_count.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// Waits until all nodes have been ready for a moment; `false` if they aren't in time.
    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let has_started = |host: &&Arc<Host>| host.has_started.load(Ordering::Relaxed);
        while Instant::now() < until {
            let mut started = self.hosts.iter().filter(has_started);
            if started.all(|host| host.is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Host {
    /// Where its clients send their requests.
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND_PORT)
    }

    /// Where its node speaks with the other nodes about their members.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, RANGE_PORT)
    }

    /// Whether its clients get new work.
    pub fn is_in(&self) -> bool {
        self.is_in.load(Ordering::Relaxed)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let host = address.to_string();
        let fields = [("host", host.as_str())];
        let second = Duration::from_secs(1);
        let answer = send(address, "GET", "/api/ready", &fields, b"", second);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Memory of its process, without the pages of its program.
    pub fn memory_kb(&self) -> Option<u64> {
        let id = self.child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The platform kills a process that exceeds its memory, and starts it again.
    pub fn end_for_memory(&self) {
        let Some(mut child) = self.child.lock().unwrap().take() else {
            return;
        };
        let _ = child.kill();
        let _ = child.wait();
        self.memory_ends_count.fetch_add(1, Ordering::Relaxed);
        self.record
            .add(format!("{} was killed for its memory", self.name));
        self.start_again();
    }

    /// How often that happened.
    pub fn memory_ends_count(&self) -> u32 {
        self.memory_ends_count.load(Ordering::Relaxed)
    }

    /// Waits until the platform has just asked whether the node is ready.
    pub fn wait_for_question(&self) {
        let asked_count = self.questions_count.load(Ordering::Relaxed);
        while self.questions_count.load(Ordering::Relaxed) == asked_count {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The platform's SIGTERM, SIGKILL after the grace, and start.
    pub fn restart(&self) {
        self.record.add(format!("{} gets SIGTERM", self.name));
        let mut child = self.child.lock().unwrap().take().expect("its node runs");
        signal(&child, "TERM");
        let until = Instant::now() + GRACE;
        while matches!(child.try_wait(), Ok(None)) {
            if Instant::now() >= until {
                self.record.add(format!("{} gets SIGKILL", self.name));
                let _ = child.kill();
                let _ = child.wait();
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.add(format!("{} has ended", self.name));
        self.start_again();
    }

    fn start_again(&self) {
        thread::sleep(RESTART_DELAY);
        if self.start_node(false).is_ok() {
            self.record.add(format!("{} starts again", self.name));
        }
    }

    /// Starts its process; `is_first_start` if the whole deployment starts for the first time.
    pub fn start_node(&self, is_first_start: bool) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.conf", self.name));
        fs::write(&settings, self.settings(is_first_start))?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_process(child.id())?;
        *self.child.lock().unwrap() = Some(child);
        self.has_started.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn settings(&self, is_first_start: bool) -> String {
        let Self {
            name,
            ip,
            service,
            store,
            bounds,
            ..
        } = self;
        let range_end = RANGE_PORT + 15;
        format!(
            "local.node={name}
local.role=node
local.machine_class=sidecar
local.serves=sidecar
local.ip={ip}
local.zone={ZONE}
local.region=tw-north
local.loss_counts=false
local.bootstrap={is_first_start}
local.limits.cpu_share=0.4
local.limits.cores=1
local.limits.memory_mb=260
local.limits.max_fds=4100
local.limits.link_mbps=1000.0
local.limits.disk_mb=0
local.app_addr={ip}:{APP_PORT}
local.service={service}
network.listen.inbound={ip}:{INBOUND_PORT}
network.listen.outbound={ip}:{OUTBOUND_PORT}
network.listen.ready={ip}:{READY_PORT}
network.listen.control={ip}:{REPORTS_PORT}
network.port_range={RANGE_PORT},{range_end}
network.seeds=
network.zones.{ZONE}=tw-north
platform.discovery=static
platform.entry_mode=static
platform.heartbeat_ms=1500
platform.platform.address={store}
platform.platform.form=log
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.parts=24
platform.platform.append_ms=1.0
platform.platform.part_mb_s=20.0
platform.platform.read_mb_s=80.0
platform.platform.record_bytes=262144
platform.platform.call_bytes=2097152
platform.platform.keep_s=300
platform.platform.part_mb=200
platform.platform.ttl_min_ms=1000
{bounds}"
        )
    }
}

/// Notes a process for the script, which ends it if this program can't.
fn note_process(id: u32) -> io::Result<()> {
    let Some(path) = std::env::var_os("REVIEW_PROCESSES") else {
        return Ok(());
    };
    let mut processes = File::options().append(true).open(path)?;
    writeln!(processes, "{id}")
}

fn signal(child: &Child, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
}

fn temporary_folder() -> io::Result<PathBuf> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let name = format!("review-{}-{}", std::process::id(), since_epoch.as_nanos());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Finds a loopback subnet in which all ports are free; the result gives the address of a host.
fn free_subnet(
    hosts_count: usize,
    is_suitable: impl Fn(&[SocketAddr]) -> bool,
) -> io::Result<impl Fn(u8) -> IpAddr> {
    let seed = u64::from(std::process::id()) * 7_919;
    for attempt in 0..500 {
        let number = seed + attempt * 104_729;
        let (second, third) = ((number % 200 + 20) as u8, (number / 200 % 250 + 1) as u8);
        let ip = move |host: u8| IpAddr::V4(Ipv4Addr::new(127, second, third, host));
        let ports = [
            APP_PORT,
            INBOUND_PORT,
            OUTBOUND_PORT,
            READY_PORT,
            REPORTS_PORT,
            RANGE_PORT,
            METRICS_PORT,
            OPERATOR_PORT,
        ];
        let hosts = 1..=hosts_count as u8;
        let controls = hosts
            .clone()
            .map(|host| SocketAddr::new(ip(host), RANGE_PORT));
        if !is_suitable(&controls.collect::<Vec<_>>()) {
            continue;
        }
        let mut addresses =
            hosts.flat_map(|host| ports.map(|port| SocketAddr::new(ip(host), port)));
        let is_free =
            |address| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if addresses.all(is_free) && is_free(SocketAddr::new(ip(250), STORE_PORT)) {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free loopback subnet"))
}

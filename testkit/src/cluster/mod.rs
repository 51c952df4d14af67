//! Runs 1 to 12 real processes of the shipped binary behind fault-injecting proxies.
//!
//! Callers reach an instance through a TCP proxy, whose address the instance advertises. For each
//! pair of instances and each direction of connecting there is a UDP proxy, so that a link can be
//! cut one way or both ways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;

use rustix::process::Signal;
use tempfile::TempDir;

use crate::cluster::files::InstanceFile;
use crate::cluster::process::Process;
use crate::http;
use crate::proxy::Direction;
use crate::proxy::Faults;
use crate::proxy::Proxy;
use crate::wait;

pub mod binary;
pub mod file_limit;
pub mod files;
pub mod process;

pub use files::OPERATOR_KEY;

/// Where a proxy points until its target has started: a port on which nothing answers.
const NO_TARGET: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// How a cluster is set up.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// The instances.
    pub instances: usize,
    /// How many of them have a data folder and vote; the first ones.
    pub stores: usize,
    /// The data centres; instances are spread over them in turn.
    pub data_centres: usize,
    /// The longest time that callers keep an address answer, in milliseconds.
    pub addresses_ttl_ms: u64,
    /// How long a shutdown waits, in milliseconds.
    pub drain_limit_ms: u64,
    /// Further settings: section and line.
    pub extra: Vec<(String, String)>,
    /// The seed of the proxies.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            instances: 3,
            stores: 3,
            data_centres: 3,
            addresses_ttl_ms: 500,
            drain_limit_ms: 20_000,
            extra: Vec::new(),
            seed: 1,
        }
    }
}

struct Instance {
    settings: PathBuf,
    front: Proxy,
    process: Option<Process>,
}

/// A running cluster; dropping it ends its processes.
pub struct Cluster {
    folder: TempDir,
    instances: BTreeMap<String, Instance>,
    links: BTreeMap<(String, String), Proxy>,
}

impl Cluster {
    /// Starts all instances at once and waits until each is ready.
    ///
    /// # Panics
    /// Panics if an instance does not become ready.
    pub async fn start(options: ClusterOptions) -> Self {
        let mut cluster = Self::prepare(&options).await;
        let names = cluster.names();
        for name in &names {
            cluster.start_instance(name).await;
        }
        for name in &names {
            cluster.ready(name).await;
        }
        cluster
    }

    async fn prepare(options: &ClusterOptions) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let names: Vec<String> = (1..=options.instances).map(|n| format!("e{n}")).collect();
        files::write_keys(folder.path(), &names);
        let links = start_links(&names, options.seed).await;
        let mut instances = BTreeMap::new();
        for (index, name) in names.iter().enumerate() {
            let front = Proxy::start_tcp(NO_TARGET, options.seed).await.expect("a port is free");
            let others = names.iter().filter(|other| *other != name);
            let peers = others
                .map(|other| (other.clone(), links[&(name.clone(), other.clone())].address()));
            let file = InstanceFile {
                name: name.clone(),
                data_centre: format!("dc-{}", index % options.data_centres + 1),
                advertise: front.address(),
                peers: peers.collect(),
                voters: names[..options.stores].to_vec(),
                has_data: index < options.stores,
                addresses_ttl_ms: options.addresses_ttl_ms,
                drain_limit_ms: options.drain_limit_ms,
                extra: options.extra.clone(),
            };
            let settings = files::write_settings(folder.path(), &file);
            instances.insert(name.clone(), Instance { settings, front, process: None });
        }
        Self { folder, instances, links }
    }

    /// Returns the names of all instances.
    pub fn names(&self) -> Vec<String> {
        self.instances.keys().cloned().collect()
    }

    /// Returns the names of the instances that run.
    pub fn running(&self) -> Vec<String> {
        let running = self.instances.iter().filter(|(_, instance)| instance.process.is_some());
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address at which callers reach an instance.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.instances[name].front.address()
    }

    /// Returns the addresses of all instances, running or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.values().map(|instance| instance.front.address()).collect()
    }

    /// Returns the proxy between callers and an instance.
    pub fn front(&self, name: &str) -> &Proxy {
        &self.instances[name].front
    }

    /// Returns the address of an instance's process itself, past the proxy.
    pub fn direct_address(&self, name: &str) -> SocketAddr {
        self.process(name).listening.callers
    }

    /// Returns the process id of a running instance.
    pub fn process_id(&self, name: &str) -> u32 {
        self.process(name).id()
    }

    /// Returns the folder with settings, keys, data and logs.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    fn process(&self, name: &str) -> &Process {
        self.instances[name].process.as_ref().expect("the instance runs")
    }

    /// Starts an instance that does not run; the proxies point to it from then on.
    pub async fn start_instance(&mut self, name: &str) {
        let log = files::log_file(self.folder.path(), name);
        let instance = self.instances.get_mut(name).expect("a known name");
        let process = Process::start(&instance.settings, &log).await;
        instance.front.set_target(process.listening.callers);
        for ((_, to), link) in &self.links {
            if to == name {
                link.set_target(process.listening.peers);
            }
        }
        instance.process = Some(process);
    }

    /// Waits until an instance says that it is ready.
    pub async fn ready(&self, name: &str) {
        let url = format!("http://{}/readyz", self.direct_address(name));
        let what = format!("{name} is ready");
        wait::find(&what, || async {
            http::get(&url).await.ok().filter(|answer| answer.status == 200)
        })
        .await;
    }

    /// Kills an instance at once.
    pub async fn kill(&mut self, name: &str) {
        let instance = self.instances.get_mut(name).expect("a known name");
        if let Some(mut process) = instance.process.take() {
            process.kill().await;
        }
        instance.front.set_target(NO_TARGET);
        instance.front.close_connections();
    }

    /// Kills and starts an instance, then waits until it is ready.
    pub async fn restart(&mut self, name: &str) {
        self.kill(name).await;
        self.start_instance(name).await;
        self.ready(name).await;
    }

    /// Asks an instance to stop and does not wait.
    pub fn terminate(&self, name: &str) {
        self.process(name).signal(Signal::TERM);
    }

    /// Waits for an instance that was asked to stop.
    pub async fn stopped(&mut self, name: &str) -> ExitStatus {
        let instance = self.instances.get_mut(name).expect("a known name");
        let mut process = instance.process.take().expect("the instance runs");
        process.ended().await
    }

    /// Freezes a process without ending it and waits until it stands still.
    pub async fn freeze(&self, name: &str) {
        self.process(name).freeze().await;
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self, name: &str) {
        self.process(name).signal(Signal::CONT);
    }

    /// Removes the data folder of an instance that does not run.
    pub fn remove_data(&self, name: &str) {
        assert!(self.instances[name].process.is_none(), "{name} runs");
        let _ = std::fs::remove_dir_all(files::data_folder(self.folder.path(), name));
    }

    /// Sets the faults of everything that travels from one instance to another.
    pub fn set_link(&self, from: &str, to: &str, faults: Faults) {
        let link = |a: &str, b: &str| &self.links[&(a.to_owned(), b.to_owned())];
        link(from, to).set_faults(Direction::ToTarget, faults);
        // Answers on a connection that the other side opened travel this way too.
        link(to, from).set_faults(Direction::ToCaller, faults);
    }

    /// Cuts both ways between an instance and all others; callers still reach it.
    pub fn isolate(&self, name: &str) {
        self.set_all_links(name, Faults::blocked());
    }

    /// Takes the faults of all links of an instance away.
    pub fn rejoin(&self, name: &str) {
        self.set_all_links(name, Faults::default());
    }

    fn set_all_links(&self, name: &str, faults: Faults) {
        self.set_links(name, faults, true);
    }

    /// Sets the faults of everything that an instance sends to the others, and with `both_ways` also
    /// of what they send to it.
    pub fn set_links(&self, name: &str, faults: Faults, both_ways: bool) {
        for other in self.instances.keys().filter(|other| *other != name) {
            self.set_link(name, other, faults);
            if both_ways {
                self.set_link(other, name, faults);
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        // A failed test keeps its settings, data and logs.
        self.folder.disable_cleanup(true);
        eprintln!("the logs of the instances are in {}", self.folder.path().display());
    }
}

async fn start_links(names: &[String], seed: u64) -> BTreeMap<(String, String), Proxy> {
    let mut links = BTreeMap::new();
    for from in names {
        for to in names.iter().filter(|to| *to != from) {
            let link = Proxy::start_udp(NO_TARGET, seed).await.expect("a port is free");
            links.insert((from.clone(), to.clone()), link);
        }
    }
    links
}

//! The processes of a small deployment: settings files, start, kill and restart.

use crate::http;
use crate::servers::{self, Instance};
use crate::Record;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/fleet/lugwharf";
const FRONT: u16 = 8161;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const SERVER: u16 = 9100;
/// The first and the last port of `PortRange`, and the third one, on which the agent feeds its proxy.
const PORT_RANGE: (u16, u16) = (7720, 7735);
const FEED: u16 = 7722;
pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "board";

/// A process that was started, with what is needed to start it again.
struct Process {
    name: String,
    role: &'static str,
    child: Child,
}

/// Three core machines, some front machines, the platform and three servers of one plain service. Each machine
/// has a loopback address of its own.
pub struct Fleet {
    record: &'static Record,
    directory: PathBuf,
    block: (u8, u8),
    processes: Vec<Process>,
    is_first_start: bool,
    /// The number of front machines.
    pub fronts: u8,
    /// Whether the settings name the first front machines as seeds in place of the core machines.
    has_front_seeds: bool,
}

impl Fleet {
    pub const CORES: u8 = 3;

    /// Starts the stand-ins and all processes.
    pub fn start(record: &'static Record, fronts: u8) -> Result<Fleet, String> {
        let block = free_block().ok_or("no block of loopback addresses is free")?;
        let directory = std::env::temp_dir().join(format!("lugwharf-review-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(text)?;
        let mut fleet = Fleet {
            record,
            directory,
            block,
            processes: Vec::new(),
            is_first_start: true,
            fronts,
            has_front_seeds: false,
        };
        let list: Arc<Mutex<Vec<Instance>>> = Arc::default();
        for index in 0..3 {
            let address = SocketAddr::new(fleet.ip(100 + index), SERVER);
            let instance = Instance { id: format!("i-{index}"), service: SERVICE.to_owned(), address };
            servers::start_server(record, instance.clone()).map_err(text)?;
            list.lock().unwrap().push(instance);
        }
        servers::start_platform(fleet.platform(), list).map_err(text)?;
        for index in 0..Fleet::CORES {
            fleet.start_process(&format!("core-{index}"), "control", "7733")?;
        }
        for index in 0..fronts {
            fleet.start_process(&format!("front-{index}"), "agent", "7734")?;
            fleet.start_process(&format!("front-{index}"), "proxy", "7733")?;
        }
        fleet.is_first_start = false;
        Ok(fleet)
    }

    fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block.0, self.block.1, host).into()
    }

    fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(99), 8169)
    }

    pub fn control(&self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(10 + index), CONTROL)
    }

    pub fn front(&self, index: u8) -> SocketAddr {
        SocketAddr::new(self.ip(20 + index), FRONT)
    }

    fn machine_ip(&self, machine: &str) -> IpAddr {
        let index: u8 = machine.rsplit('-').next().and_then(|index| index.parse().ok()).unwrap_or(0);
        self.ip(if machine.starts_with("core") { 10 + index } else { 20 + index })
    }

    /// Starts a process with the command of `deploy/system.toml`.
    fn start_process(&mut self, machine: &str, role: &'static str, metrics: &str) -> Result<(), String> {
        let name = format!("{machine}-{role}");
        let path = self.directory.join(format!("{name}.toml"));
        fs::write(&path, self.settings(machine, role)).map_err(text)?;
        let log = File::options().create(true).append(true).open(self.directory.join(format!("{name}.log")));
        let log = log.map_err(text)?;
        let mut command = Command::new(PROGRAM);
        command
            .args([role, "--metrics", metrics])
            .env_clear()
            .env("LUGWHARF_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log);
        // SAFETY: the closure makes one system call and touches no memory of the parent.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.line(format!("start {name}, process {}", child.id()));
        self.processes.push(Process { name, role, child });
        Ok(())
    }

    fn settings(&self, machine: &str, role: &str) -> String {
        let ip = self.machine_ip(machine);
        let seed = |index: u8| match self.has_front_seeds {
            true => SocketAddr::new(self.ip(20 + index), CONTROL),
            false => self.control(index),
        };
        let seeds: Vec<String> = (0..3).map(|index| format!("\"{}\"", seed(index))).collect();
        let is_core = machine.starts_with("core");
        let data = self.directory.join(machine);
        let mut out = format!("Node = \"{machine}\"\nRole = \"{role}\"\n");
        out += &format!("MachineClass = \"{}\"\n", if is_core { "core" } else { "front" });
        let serves = if role == "proxy" { "front" } else { "control" };
        out += &format!("Serves = [\"{serves}\"]\nIp = \"{ip}\"\nZone = \"zone-a\"\nRegion = \"region-a\"\n");
        out += &format!("PortRange = [{}, {}]\n", PORT_RANGE.0, PORT_RANGE.1);
        out += &format!("Seeds = [{}]\nBootstrap = {}\n", seeds.join(", "), self.is_first_start);
        out += &format!("CountsForQuorum = {is_core}\nDiscovery = \"cloud_api\"\nEntry = \"vip\"\n");
        out += "HeartbeatMs = 1200\nContracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\"]\n";
        if is_core {
            let _ = fs::create_dir_all(&data);
            out += &format!("DataDir = \"{}\"\n", data.display());
        } else {
            out += &format!("FeedAddress = \"{ip}:{FEED}\"\n");
        }
        out += "[Zones]\nzone-a = \"region-a\"\n[Listen]\n";
        if role == "proxy" {
            out += &format!("Front = \"{ip}:{FRONT}\"\nReady = \"{ip}:{READY}\"\n");
        } else {
            out += &format!("Control = \"{ip}:{CONTROL}\"\n");
        }
        out += "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n";
        out += &format!("DiskMb = {}\n", if is_core { 128 } else { 0 });
        out += "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\n";
        out += "ReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 8\n";
        out += "LossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\n";
        out += "RetryBudget = 0.2\nBudgetWindowS = 10\nBudgetSlack = 58\nRecoveryS = 12\nTransitMs = 120\n";
        out += "again_s = 8\nFenced = true\nLeaseMs = 3000\nThawMs = 300\n";
        out += &format!(
            "[Cloud]\nAddress = \"{}\"\nRatePerS = 47.0\nDuties = []\nLagMs = 800\n",
            self.platform()
        );
        out
    }

    /// Puts a configuration as the operator does: at each core machine in turn, until there is a clear answer.
    /// Returns its status, or 0 if there is none within `patience`.
    pub fn put(&self, base: u64, body: &str, patience: Duration) -> u16 {
        let deadline = Instant::now() + patience;
        for attempt in 0.. {
            if Instant::now() >= deadline {
                break;
            }
            let to = self.control(attempt as u8 % Fleet::CORES);
            let head = format!(
                "PUT /config HTTP/1.1\r\nHost: {to}\r\nIf-Match: {base}\r\nContent-Type: application/json"
            );
            match http::call(to, &head, body.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) => {
                    let status = answer.status();
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    self.record.line(format!("operator: PUT /config on {base} at {to}: {status} {text}"));
                    if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                        return status;
                    }
                }
                Err(error) => self.record.line(format!("operator: PUT /config on {base} at {to}: {error}")),
            }
            thread::sleep(Duration::from_millis(200));
        }
        0
    }

    /// Reads the configuration back, from the first core machine that answers. Returns status and body.
    pub fn get(&self) -> (u16, String) {
        let answers = (0..Fleet::CORES).map(|index| self.get_at(index));
        answers.into_iter().find(|(status, _)| *status != 0).unwrap_or_default()
    }

    /// Reads the configuration back from one core machine. The status is 0 if there was no answer.
    pub fn get_at(&self, index: u8) -> (u16, String) {
        let to = self.control(index);
        let head = format!("GET /config HTTP/1.1\r\nHost: {to}");
        let answer = http::call(to, &head, b"", Duration::from_secs(1));
        answer.map_or_else(
            |_| (0, String::new()),
            |answer| (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
        )
    }

    /// Sends a client's request to a front machine on a new connection. Returns the status, 0 if there was no
    /// answer.
    pub fn request(&self, front: u8, target: &str, id: &str) -> u16 {
        let head = format!("POST {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000");
        let answer = http::call(self.front(front), &head, b"x", Duration::from_millis(2500));
        let status = answer.as_ref().map_or(0, http::Message::status);
        self.record.line(format!("client: {id} POST {target} at front-{front}: {status}"));
        status
    }

    /// Sends requests until one succeeds. Returns whether one did within `patience`.
    pub fn wait_served(&self, front: u8, target: &str, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        let mut count = 0;
        while Instant::now() < deadline {
            count += 1;
            if self.request(front, target, &format!("a{front:02}{count:04}")) == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// The processor time that a process has used, in ms.
    pub fn cpu_ms(&self, name: &str) -> u64 {
        let Some(process) = self.processes.iter().rev().find(|process| process.name == name) else {
            return 0;
        };
        let stat = fs::read_to_string(format!("/proc/{}/stat", process.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * 10
    }

    /// The number of lines in the output of a process that contain `part`.
    pub fn log_lines(&self, name: &str, part: &str) -> usize {
        let log = fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().filter(|line| line.contains(part)).count()
    }

    /// The first line in the output of a process that contains `part`.
    pub fn log_line(&self, name: &str, part: &str) -> String {
        let log = fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default();
        log.lines().find(|line| line.contains(part)).unwrap_or_default().to_owned()
    }

    /// Rewrites the settings files of all processes, so that the seeds are the first three front machines, which
    /// serve control too. Sends no signal.
    pub fn exchange_seeds(&mut self) -> Result<(), String> {
        self.has_front_seeds = true;
        for process in &self.processes {
            let machine = process.name.rsplit_once('-').map_or("", |(machine, _)| machine);
            let path = self.directory.join(format!("{}.toml", process.name));
            fs::write(&path, self.settings(machine, process.role)).map_err(text)?;
        }
        self.record.line("platform: the settings files of all machines name other seeds, no signal was sent");
        Ok(())
    }

    /// Sends SIGHUP to all processes.
    pub fn hang_up(&self) -> Result<(), String> {
        for process in &self.processes {
            let kill = format!("kill -HUP {}", process.child.id());
            Command::new("sh").args(["-c", &kill]).status().map_err(text)?;
        }
        self.record.line("platform: SIGHUP to all processes");
        Ok(())
    }

    /// Kills the processes of all front machines at the same moment, and starts them again 0.5 s later.
    pub fn kill_and_restart_fronts(&mut self) -> Result<(), String> {
        let is_front = |process: &Process| process.name.starts_with("front");
        for process in self.processes.iter_mut().filter(|process| is_front(process)) {
            process.child.kill().map_err(text)?;
        }
        for process in self.processes.iter_mut().filter(|process| is_front(process)) {
            process.child.wait().map_err(text)?;
        }
        self.record.line("platform: the processes of all front machines are killed");
        self.processes.retain(|process| !is_front(process));
        thread::sleep(Duration::from_millis(500));
        for index in 0..self.fronts {
            self.start_process(&format!("front-{index}"), "agent", "7734")?;
            self.start_process(&format!("front-{index}"), "proxy", "7733")?;
        }
        Ok(())
    }

    /// Kills a process of a machine and starts it again, as the platform does after a short delay.
    pub fn kill_and_restart(&mut self, machine: &str, role: &'static str) -> Result<(), String> {
        let name = format!("{machine}-{role}");
        let at = self.processes.iter().position(|process| process.name == name).ok_or("no such process")?;
        let mut process = self.processes.remove(at);
        process.child.kill().map_err(text)?;
        process.child.wait().map_err(text)?;
        self.record.line(format!("kill {name}"));
        thread::sleep(Duration::from_millis(500));
        self.start_process(machine, process.role, if role == "agent" { "7734" } else { "7733" })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(Path::new(&self.directory));
        }
    }
}

extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Has the kernel kill the calling process when its parent ends, in whatever way that happens.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: this option takes one number and no pointer.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Returns the second and third byte of a block of loopback addresses whose ports are free.
fn free_block() -> Option<(u8, u8)> {
    let start = std::process::id();
    (0..200).map(|step| start.wrapping_add(step * 7)).find_map(|number| {
        let block = (64 + (number / 250 % 128) as u8, 1 + (number % 250) as u8);
        let hosts = [10, 11, 12, 20, 21, 22, 99, 100, 101, 102];
        let ports = [FRONT, CONTROL, READY, SERVER, PORT_RANGE.0, PORT_RANGE.0 + 1, FEED, 7733, 7734, 8169];
        let is_free = |host: u8| {
            let ip = Ipv4Addr::new(127, block.0, block.1, host);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        hosts.into_iter().all(is_free).then_some(block)
    })
}

fn text(error: io::Error) -> String {
    error.to_string()
}

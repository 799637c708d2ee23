//! What the cases share: a record of events, HTTP/1.1 messages, relays between machines, the fleet's
//! processes, a platform and plain servers. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const BINARY: &str = "target/fleet/lugwharf";

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
/// Has the kernel send a signal to a process whose parent has ended.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The record of a run: `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &str) -> Arc<Record> {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }
}

/// A random number from the clock and a counter.
pub fn random() -> u64 {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64);
    let mut x = nanos ^ COUNT.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The addresses of one run: loopback addresses that no other run is likely to use, and a base port that is
/// free on all of them.
#[derive(Clone, Copy)]
pub struct Net {
    octet: u8,
    pub base: u16,
}

impl Net {
    pub fn new() -> Net {
        for _ in 0..200 {
            let net = Net { octet: (random() % 200 + 20) as u8, base: (random() % 20_000 + 12_000) as u16 };
            let ips = (1..=3).flat_map(|i| [net.core(i), net.core_private(i), net.front(i)]);
            let mut free = ips.flat_map(|ip| (0..10).map(move |p| (ip, net.base + p)));
            if free.all(|(ip, port)| TcpListener::bind((ip, port)).is_ok()) {
                return net;
            }
        }
        println!("no free ports");
        std::process::exit(NOT_RUN);
    }

    fn ip(&self, group: u8, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.octet, group, number))
    }
    /// The address at which others reach a core machine: that of its relay.
    pub fn core(&self, i: u8) -> IpAddr {
        self.ip(1, i)
    }
    /// The address that the processes of a core machine use themselves.
    pub fn core_private(&self, i: u8) -> IpAddr {
        self.ip(2, i)
    }
    pub fn front(&self, i: u8) -> IpAddr {
        self.ip(3, i)
    }
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(4, 1), self.base)
    }
    pub fn server(&self, i: u8) -> SocketAddr {
        SocketAddr::new(self.ip(5, i), self.base)
    }
    pub fn peer_port(&self) -> u16 {
        self.base
    }
    pub fn agent_port(&self) -> u16 {
        self.base + 1
    }
    pub fn control(&self, i: u8) -> SocketAddr {
        SocketAddr::new(self.core_private(i), self.base + 4)
    }
    pub fn front_address(&self, i: u8) -> SocketAddr {
        SocketAddr::new(self.front(i), self.base + 5)
    }
    pub fn ready_address(&self, i: u8) -> SocketAddr {
        SocketAddr::new(self.front(i), self.base + 6)
    }
}

/// An HTTP message: the first line, the header fields in lower case, and the body.
pub struct Message {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some(Message { first: first.trim_end().to_owned(), fields, body: Vec::new(), whole: false }))
}

/// Reads one message with a body of a stated length or in chunks.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Ok(Some(message));
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                message.whole = true;
                return Ok(Some(message));
            }
        }
    }
    let length: usize = message.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    message.whole = reader.read_exact(&mut body).is_ok();
    message.body = body;
    Ok(Some(message))
}

/// One call on a new connection.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

pub fn get(to: SocketAddr, path: &str) -> io::Result<Message> {
    call(to, &format!("GET {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n"), Duration::from_secs(1))
}

/// One call of the operator to change the configuration.
pub fn put_config(to: SocketAddr, base: u64, body: &str) -> io::Result<Message> {
    let request = format!(
        "PUT /config HTTP/1.1\r\nHost: {to}\r\nIf-Match: {base}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    call(to, &request, Duration::from_secs(1))
}

/// A relay in front of one port of one machine. It forwards connections of the machines that are not cut off
/// from it.
#[derive(Clone, Default)]
pub struct Links {
    /// The pairs of machines between which nothing passes, by the address from which they connect.
    cut: Arc<Mutex<Vec<(IpAddr, IpAddr)>>>,
    open: Arc<Mutex<Vec<(IpAddr, IpAddr, TcpStream, TcpStream)>>>,
}

impl Links {
    fn is_cut(&self, a: IpAddr, b: IpAddr) -> bool {
        self.cut.lock().unwrap().iter().any(|&(x, y)| (x, y) == (a, b) || (x, y) == (b, a))
    }

    /// Cuts machines from each other: open connections are closed, and new ones are closed at once.
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        self.cut.lock().unwrap().push((a, b));
        self.open.lock().unwrap().retain(|(x, y, one, two)| {
            let is_cut = (*x, *y) == (a, b) || (*x, *y) == (b, a);
            if is_cut {
                let _ = one.shutdown(Shutdown::Both);
                let _ = two.shutdown(Shutdown::Both);
            }
            !is_cut
        });
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }

    /// Forwards what arrives at `public` to `private`.
    pub fn relay(&self, public: SocketAddr, private: SocketAddr) {
        let listener = TcpListener::bind(public).expect("a relay's address");
        let links = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(from) = stream.peer_addr().map(|a| a.ip()) else { continue };
                if links.is_cut(from, private.ip()) {
                    continue;
                }
                let Ok(other) = TcpStream::connect_timeout(&private, Duration::from_millis(300)) else { continue };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                let mut open = links.open.lock().unwrap();
                let (Ok(a), Ok(b)) = (stream.try_clone(), other.try_clone()) else { continue };
                open.retain(|(_, _, one, _)| one.peer_addr().is_ok());
                open.push((from, private.ip(), a, b));
                drop(open);
                pump(stream.try_clone(), other.try_clone());
                pump(Ok(other), Ok(stream));
            }
        });
    }
}

fn pump(from: io::Result<TcpStream>, to: io::Result<TcpStream>) {
    let (Ok(mut from), Ok(mut to)) = (from, to) else { return };
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        loop {
            match from.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// The processes of the fleet, by a name such as `proxy-2`. All are killed when this is dropped.
pub struct Fleet {
    pub net: Net,
    pub folder: PathBuf,
    pub children: BTreeMap<String, Child>,
    pub cores: u8,
    pub fronts: u8,
}

impl Fleet {
    pub fn new(net: Net, cores: u8, fronts: u8) -> Fleet {
        let folder = std::env::temp_dir().join(format!("lw-review-{:x}", random()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Fleet { net, folder, children: BTreeMap::new(), cores, fronts }
    }

    fn settings(&self, role: &str, i: u8, bootstrap: bool) -> String {
        let net = self.net;
        let is_core = role == "control";
        let (class, serves) = match role {
            "control" => ("core", "control"),
            "agent" => ("front", "control"),
            _ => ("front", "front"),
        };
        let (ip, bind) = if is_core { (net.core(i), net.core_private(i)) } else { (net.front(i), net.front(i)) };
        let seeds: Vec<String> =
            (1..=self.cores.min(3)).map(|s| format!("\"{}:{}\"", net.core(s), net.control(s).port())).collect();
        let mut text = format!(
            "Node = \"{class}-{i}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = [\"{serves}\"]\nIp = \"{ip}\"\nBind = \"{bind}\"\nZone = \"z\"\nRegion = \"r\"\nPortRange = [{},{}]\nSeeds = [{}]\nBootstrap = {bootstrap}\nCountsForQuorum = {is_core}\nDiscovery = \"cloud_api\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nFeedAddress = \"{}:{}\"\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\"]\n",
            net.base,
            net.base + 3,
            seeds.join(","),
            bind,
            net.base + 2,
        );
        if is_core {
            text += &format!("DataDir = \"{}\"\n", self.data(i).display());
        }
        text += "[Zones]\nz = \"r\"\n[Listen]\n";
        match role {
            "control" => text += &format!("Control = \"{}\"\n", net.control(i)),
            "proxy" => {
                text += &format!("Front = \"{}\"\nReady = \"{}\"\n", net.front_address(i), net.ready_address(i))
            }
            _ => {}
        }
        let tolerated = (self.cores - 1) / 2;
        text += &format!(
            "[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = {}\n[FaultTolerance]\nMachines = {tolerated}\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nMaxSkewMs = 5000\nRetryBudget = 0.2\nBudgetWindowS = 10\nBudgetSlack = 56\nRecoveryS = 12\nTransitMs = 120\nagain_s = 7.5\nFenced = true\nLeaseMs = 3000\nThawMs = 300\n[Cloud]\nAddress = \"{}\"\nRatePerS = 44.0\nDuties = []\nLagMs = 800\n",
            if is_core { 128 } else { 0 },
            net.platform(),
        );
        text
    }

    pub fn data(&self, core: u8) -> PathBuf {
        self.folder.join(format!("data-{core}"))
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, role: &str, i: u8, bootstrap: bool) {
        let name = format!("{role}-{i}");
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, i, bootstrap)).expect("a settings file");
        if role == "control" {
            fs::create_dir_all(self.data(i)).expect("a data folder");
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log file");
        let port = if role == "agent" { "7734" } else { "7733" };
        let mut command = Command::new(BINARY);
        command.args([role, "--metrics", port]).env("LUGWHARF_BOOT", &settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        // The process ends with this one, in whatever way this one ends. Only the main thread starts processes.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => drop(self.children.insert(name, child)),
            Err(error) => {
                println!("{BINARY} can't be started: {error}");
                std::process::exit(NOT_RUN);
            }
        }
    }

    pub fn start_all(&mut self) {
        for i in 1..=self.cores {
            self.start("control", i, true);
        }
        for i in 1..=self.fronts {
            self.start("agent", i, true);
            self.start("proxy", i, true);
        }
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to a process that this fleet started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = self.children.get(name) {
            let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
        }
    }

    /// Waits until a process has ended, and kills it after a time. Returns whether it has ended by itself.
    pub fn await_end(&mut self, name: &str, limit_ms: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(limit_ms) {
            let Some(child) = self.children.get_mut(name) else { return true };
            if child.try_wait().is_ok_and(|status| status.is_some()) {
                self.children.remove(name);
                return true;
            }
            sleep_ms(10);
        }
        self.kill(name);
        false
    }

    /// Sends the first configuration until it is taken.
    pub fn configure(&self, base: u64, body: &str, limit_s: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(limit_s) {
            for i in 1..=self.cores {
                if let Ok(answer) = put_config(self.net.control(i), base, body) {
                    if answer.status() == 200 {
                        return true;
                    }
                }
            }
            sleep_ms(200);
        }
        false
    }

    /// Waits until all fronts are ready.
    pub fn await_ready(&self, limit_s: u64) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(limit_s) {
            let is_ready = |i| get(self.net.ready_address(i), "/ready").is_ok_and(|answer| answer.status() == 200);
            if (1..=self.fronts).all(is_ready) {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// The status text of a core machine.
    pub fn status(&self, i: u8) -> String {
        get(self.net.control(i), "/status").map(|m| m.text()).unwrap_or_default()
    }

    /// The core machine that reads the platform's list.
    pub fn holder(&self) -> Option<u8> {
        (1..=self.cores).find(|i| self.status(*i).contains("\"HeldHere\":true"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// One entry of the platform's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub draining: bool,
    /// `prefill`, `decode` or nothing.
    pub stage: &'static str,
}

/// The platform: `GET /instances`, on one page.
#[derive(Clone, Default)]
pub struct Platform {
    pub list: Arc<Mutex<Vec<Listed>>>,
    /// When the list was read last.
    last_read: Arc<Mutex<Option<Instant>>>,
}

impl Platform {
    pub fn serve(&self, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the platform's address");
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || platform.connection(stream));
            }
        });
    }

    /// How long ago the list was read last.
    pub fn since_read_ms(&self) -> u64 {
        self.last_read.lock().unwrap().map_or(0, |at| at.elapsed().as_millis() as u64)
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut write) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if request.first.contains(" /instances") {
                *self.last_read.lock().unwrap() = Some(Instant::now());
            }
            let entries: Vec<String> = self.list.lock().unwrap().iter().map(entry_json).collect();
            let body = format!("{{\"Instances\":[{}],\"NextToken\":null}}", entries.join(","));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if write.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn entry_json(entry: &Listed) -> String {
    let state = if entry.draining { "draining" } else { "ready" };
    let engine = match entry.stage {
        "" => String::new(),
        stage => format!(",\"Stage\":\"{stage}\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}]"),
    };
    format!(
        "{{\"Id\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0{engine}}}",
        entry.id, entry.service, entry.address
    )
}

/// A flag that ends the threads of a case.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

//! A sidecar process and its configuration.

use super::message::Call;
use super::{Answer, Discovery, Monitor, Upstream, WAIT_TIMEOUT};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub struct Sidecar {
    process: Child,
    addr: SocketAddr,
    pub discovery: Discovery,
    /// The log lines of the process since it started to listen.
    log: Arc<Monitor<Vec<String>>>,
    config: Value,
    file: String,
}

impl Sidecar {
    pub fn start(upstreams: &[&Upstream]) -> Sidecar {
        Sidecar::start_with(upstreams, |_| {})
    }

    /// Starts a sidecar in a shell, after this shell command.
    pub fn start_in_shell(shell: &str, upstreams: &[&Upstream]) -> Sidecar {
        Sidecar::launch(shell, upstreams, |_| {})
    }

    /// Starts a sidecar whose configuration is modified by `change`.
    pub fn start_with(upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Sidecar {
        Sidecar::launch(":", upstreams, change)
    }

    /// Starts a sidecar, and waits until the sidecar is ready and has called discovery, which lists these
    /// upstreams.
    fn launch(shell: &str, upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Sidecar {
        let members: Vec<Value> = upstreams.iter().map(|upstream| upstream.list_entry("Ready")).collect();
        let known = json!({"revision": 1, "complete": true, "members": members});
        let discovery = Discovery::start(&known);
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "5a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
            "settings": {
                "areas": ["a"], "skus": ["m"], "zone": 0, "me": 0, "instances": 1, "discovery": "pushed", "tick": 1.0,
                "policyLimits": {"cancel": true, "mostTries": 4, "retryAfter": true, "maxRetryAfter": 2000.0},
                "requestClasses": [
                    {"name": "pay", "idempotency": "fragile", "aim": 5000.0, "deadline": 20000.0},
                    {"name": "report", "idempotency": "dedup", "group": "cell", "dedupWindow": 7500.0,
                     "aim": 5000.0, "deadline": 20000.0},
                ],
            },
        });
        change(&mut config);
        discovery.registry.update(|r| r.complete_list = config["known"].clone());
        static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let file = format!("{}/{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&file, config.to_string()).expect("the configuration file is written");
        let mut process = Command::new("sh")
            .args(["-c", &format!("{shell}; exec {}", env!("CARGO_BIN_EXE_lugwharf-sidecar"))])
            .env("BALANCER_CONFIG", &file)
            .env(
                "BALANCER_DISCOVERY",
                config["discovery"].as_str().expect("the discovery address is a string"),
            )
            .stderr(Stdio::piped())
            .spawn()
            .expect("the sidecar is started");
        let mut lines = BufReader::new(process.stderr.take().expect("standard error is piped")).lines();
        let addr = lines.find_map(|line| line.ok()?.split_once("listening on ")?.1.parse().ok());
        let log = Monitor::new(Vec::new());
        let shared_log = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| shared_log.update(|log| log.push(line)))
        });
        let sidecar = Sidecar {
            process,
            addr: addr.expect("the sidecar logs its listen address"),
            discovery,
            log,
            config,
            file,
        };
        sidecar.wait_until("readiness", |sidecar| sidecar.readiness() == 200);
        if sidecar.config["settings"]["discovery"] == "pushed" {
            drop(sidecar.discovery.registry.wait("a call", |r| r.watches.iter().any(|w| w.0 == 1)));
        }
        sidecar
    }

    /// Replaces the configuration file by this text and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the configuration file is written");
        self.signal("HUP");
    }

    /// Reloads the configuration with the address of another discovery service.
    pub fn reload_with_discovery(&self, discovery: &Discovery) {
        let mut config = self.config.clone();
        config["discovery"] = json!(discovery.addr.to_string());
        self.reload(&config.to_string());
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("the sidecar accepts the connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        stream
    }

    /// Sends a request on a new connection and reads the answer.
    pub fn send(&self, call: &Call) -> Answer {
        let mut stream = self.connect();
        // The sidecar may reject a long body before all of the body is written.
        drop(stream.write_all(call.text().as_bytes()));
        Answer::read(&mut stream)
    }

    /// Returns the status of `/health/ready`; 0 if there is no answer.
    pub fn readiness(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.addr) else { return 0 };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        drop(stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n"));
        Answer::try_read(&mut stream).map_or(0, |answer| answer.status)
    }

    /// Returns the CPU time used so far, in hundredths of a second.
    pub fn cpu_time_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))
            .expect("/proc has the statistics of the process");
        let fields: Vec<&str> =
            stat.rsplit(')').next().expect("the statistics have fields").split_whitespace().collect();
        [11, 12].iter().map(|&at| fields[at].parse::<u64>().expect("the CPU time is a number")).sum()
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn(&Sidecar) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the process has logged a line with this prefix.
    pub fn wait_for_log_line(&self, prefix: &str) {
        drop(self.log.wait(prefix, |log| log.iter().any(|line| line.starts_with(prefix))));
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.process.id())).status();
        assert!(kill.expect("the shell can be run").success());
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for the process to exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .expect("/proc lists the open descriptors")
            .count()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
        drop(std::fs::remove_file(&self.file));
    }
}

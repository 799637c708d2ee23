//! A configuration raises the limit on bodies while clients keep connections open.

use crate::fleet::{Fleet, HOST, SERVICE};
use crate::{http, Record, Verdict};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The number of front machines.
const FRONTS: u8 = 2;
/// The number of kept connections to each front machine.
const KEPT: u32 = 10;
/// `ConfigMs` of the settings.
const CONFIG_MS: u64 = 2_000;
/// The limit on bodies before and after the change, and the body that only the later one allows, in bytes.
const LIMITS: [u32; 2] = [1_024, 4_194_304];
const BODY: usize = 4_000;
/// How long the first configuration and the first request may take.
const PATIENCE: Duration = Duration::from_secs(20);

fn configuration(version: u64, max_body_bytes: u32) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-work\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/work/\",\
         \"RouteKind\":\"unsafe\",\"TimeoutMs\":2500,\"SloMs\":300,\"Service\":\"{SERVICE}\",\"MaxAttempts\":1}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":110}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":{max_body_bytes},\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// A connection that a client keeps.
struct Kept {
    front: u8,
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Kept {
    fn open(fleet: &Fleet, front: u8) -> std::io::Result<Kept> {
        let stream = TcpStream::connect(fleet.front(front))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
        Ok(Kept { front, stream, rest: Vec::new() })
    }

    /// Sends one request. Returns the status, 0 if there was no answer, and whether a server has signed it.
    fn request(&mut self, record: &Record, id: &str, body: &[u8]) -> (u16, bool) {
        let head = format!("POST /work/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000");
        let answer = http::call_on(&mut self.stream, &mut self.rest, &head, body);
        let status = answer.as_ref().map_or(0, http::Message::status);
        let has_stamp = answer.is_ok_and(|answer| answer.field("server-stamp").is_some());
        let front = self.front;
        record.line(format!(
            "client: {id} body of {} bytes at front-{front}: {status}, stamp {has_stamp}",
            body.len()
        ));
        (status, has_stamp)
    }
}

pub fn run(record: &'static Record, has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::start(record, FRONTS)?;
    // Without the disruption the limit is the later one from the start.
    let first = if has_trouble { LIMITS[0] } else { LIMITS[1] };
    if fleet.put(0, &configuration(1, first), PATIENCE) != 200 {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    for front in 0..FRONTS {
        if !fleet.wait_served(front, "/work/1", PATIENCE) {
            return Err(format!("front-{front} does not serve"));
        }
    }
    let text = |error: std::io::Error| error.to_string();
    let mut kept = Vec::new();
    for number in 0..KEPT * u32::from(FRONTS) {
        let mut connection = Kept::open(&fleet, (number % u32::from(FRONTS)) as u8).map_err(text)?;
        if connection.request(record, &format!("b{number:06}"), b"small").0 != 200 {
            return Err("a request before the change was not served".to_owned());
        }
        kept.push(connection);
    }
    // The disruption: a configuration with a higher limit.
    let status = fleet.put(1, &configuration(2, LIMITS[1]), Duration::from_secs(8));
    if status != 200 {
        return Err(format!("version 2 was answered with {status}"));
    }
    thread::sleep(Duration::from_millis(CONFIG_MS + 1_000));
    let body = vec![b'x'; BODY];
    let mut sent = u32::from(FRONTS) + KEPT * u32::from(FRONTS);
    let mut denied_on_new = 0;
    for number in 0..KEPT * u32::from(FRONTS) {
        let mut connection = Kept::open(&fleet, (number % u32::from(FRONTS)) as u8).map_err(text)?;
        let (status, has_stamp) = connection.request(record, &format!("c{number:06}"), &body);
        denied_on_new += u32::from((400..500).contains(&status) && !has_stamp);
        sent += 1;
    }
    let mut denied_on_kept = 0;
    for (number, connection) in kept.iter_mut().enumerate() {
        let (status, has_stamp) = connection.request(record, &format!("d{number:06}"), &body);
        denied_on_kept +=
            u32::from((400..500).contains(&status) && !has_stamp && status != 408 && status != 429);
        sent += 1;
    }
    let bound = 5 + sent / 500;
    record.line(format!(
        "{} ms after version 2 was acknowledged: denied on new connections {denied_on_new}, on kept ones \
         {denied_on_kept} of {}; requests in all {sent}, bound of DENIED {bound}",
        CONFIG_MS + 1_000,
        kept.len()
    ));
    Ok(if denied_on_new + denied_on_kept > bound { Verdict::Broken } else { Verdict::Held })
}

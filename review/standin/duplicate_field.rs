//! An invalid configuration whose text names a field twice.

use crate::fleet::{Fleet, HOST, SERVICE};
use crate::{Record, Verdict};
use std::thread;
use std::time::Duration;

/// The number of front machines.
const FRONTS: u8 = 2;
/// `ConfigMs` of the settings.
const CONFIG_MS: u64 = 2_000;
/// How long the first configuration and the first request may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// A configuration with the routes `/work/` and, from version 2 on, `/new/`. `timeout` is the text of the
/// field `TimeoutMs` of the last route.
fn configuration(version: u64, timeout: &str) -> String {
    let route = |name: &str, prefix: &str, timeout: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"RouteKind\":\"unsafe\",{timeout},\
             \"SloMs\":300,\"Priority\":0,\"Service\":\"{SERVICE}\",\"MaxAttempts\":1,\"Sticky\":false,\
             \"Resumable\":false}}"
        )
    };
    let mut routes = vec![route("r-work", "/work/", "\"TimeoutMs\":2500")];
    if version > 1 {
        routes.push(route("r-new", "/new/", timeout));
    }
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\
         \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Sends `count` requests to each front machine. Returns how many of them were answered with 200.
fn served(fleet: &Fleet, target: &str, label: &str, count: u32) -> u32 {
    let mut served = 0;
    for number in 0..count {
        for front in 0..FRONTS {
            served +=
                u32::from(fleet.request(front, target, &format!("{label}{front:02}{number:04}")) == 200);
        }
        thread::sleep(Duration::from_millis(100));
    }
    served
}

pub fn run(record: &'static Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(record, FRONTS)?;
    if fleet.put(0, &configuration(1, ""), PATIENCE) != 200 {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    for front in 0..FRONTS {
        if !fleet.wait_served(front, "/work/1", PATIENCE) {
            return Err(format!("front-{front} does not serve version 1"));
        }
    }
    // The disruption: one invalid configuration. Its last route has the timeout 0, and in the same object the
    // timeout 2500.
    let timeout = if has_trouble { "\"TimeoutMs\":0,\"TimeoutMs\":2500" } else { "\"TimeoutMs\":2500" };
    let body = configuration(2, timeout);
    record.line(format!("operator: the text of version 2 is {body}"));
    let status = fleet.put(1, &body, Duration::from_secs(8));
    thread::sleep(Duration::from_millis(CONFIG_MS + 1_000));
    let busy = ["front-0-agent", "front-0-proxy"];
    let before = busy.map(|name| fleet.cpu_ms(name));
    let on_new = served(&fleet, "/new/1", "b", 10);
    let on_old = served(&fleet, "/work/1", "c", 10);
    let after = busy.map(|name| fleet.cpu_ms(name));
    let (read_status, read_body) = fleet.get();
    let is_read_back = read_status == 200 && read_body == body;
    record.line(format!(
        "operator: GET /config: {read_status}, the text that was sent as version 2: {is_read_back}"
    ));
    let sent = 10 * u32::from(FRONTS);
    record.line(format!(
        "version 2 was answered with {status}; {} ms later 200 for {on_new} of {sent} requests on its new route, \
         {on_old} of {sent} on the old one",
        CONFIG_MS + 1_000
    ));
    for (index, name) in busy.iter().enumerate() {
        let used = after[index].saturating_sub(before[index]);
        record.line(format!("{name} used {used} ms of processor time during these requests"));
    }
    let unreadable = fleet.log_lines("front-0-proxy", "outcome=unreadable");
    record.line(format!(
        "front-0-proxy logged outcome=unreadable {unreadable} times: {}",
        fleet.log_line("front-0-proxy", "outcome=unreadable")
    ));
    // Not part of the check: what a front machine does that starts from now on.
    fleet.kill_and_restart("front-0", "proxy")?;
    fleet.kill_and_restart("front-0", "agent")?;
    let is_served_again = fleet.wait_served(0, "/work/1", Duration::from_secs(6));
    record.line(format!("front-0 after its restart serves the old route: {is_served_again}"));
    // Broken under either reading: the text is invalid and was acknowledged, or it is valid, was acknowledged
    // and is not in force `ConfigMs` later.
    let is_in_force = on_new == sent;
    Ok(match status {
        200 if !is_in_force => Verdict::Broken,
        200 | 400 | 422 => Verdict::Held,
        _ => return Err(format!("version 2 got no clear answer: {status}")),
    })
}

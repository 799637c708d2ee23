//! Seeds that are exchanged in the settings files without a signal, and then fronts that are killed at the same
//! moment.

use crate::fleet::{Fleet, HOST, SERVICE};
use crate::{Record, Verdict};
use std::thread;
use std::time::{Duration, Instant};

/// The number of front machines: half of the machines, so that a herd kill of 0.55 of them reaches all.
const FRONTS: u8 = 3;
/// `SeedLagS` of the settings.
const SEED_LAG: Duration = Duration::from_secs(3);
/// `RecoveryS` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the first configuration and the first request may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// Sends requests to all front machines for some time. Returns how many were sent and how many got 200.
fn traffic(fleet: &Fleet, label: &str, time: Duration) -> (u32, u32) {
    let until = Instant::now() + time;
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        for front in 0..fleet.fronts {
            sent += 1;
            served += u32::from(fleet.request(front, "/work/1", &format!("{label}{sent:06}")) == 200);
        }
        thread::sleep(Duration::from_millis(100));
    }
    (sent, served)
}

pub fn run(record: &'static Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::start(record, FRONTS)?;
    let configuration = format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"r-work\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/work/\",\
         \"RouteKind\":\"unsafe\",\"TimeoutMs\":2500,\"SloMs\":300,\"Service\":\"{SERVICE}\",\"MaxAttempts\":1}}],\
         \"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":110}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    if fleet.put(0, &configuration, PATIENCE) != 200 {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    for front in 0..FRONTS {
        if !fleet.wait_served(front, "/work/1", PATIENCE) {
            return Err(format!("front-{front} does not serve"));
        }
    }
    // The disruption: the files change, with no signal. With SIGNAL=1 the signal is sent, for comparison.
    if has_trouble {
        fleet.exchange_seeds()?;
        if std::env::var("SIGNAL").is_ok_and(|value| value == "1") {
            fleet.hang_up()?;
        }
    }
    let (sent_before, served_before) = traffic(&fleet, "b", SEED_LAG + Duration::from_secs(2));
    // The final fault, with the disruption and without it.
    fleet.kill_and_restart_fronts()?;
    let _ = traffic(&fleet, "c", RECOVERY);
    let (sent, served) = traffic(&fleet, "d", Duration::from_secs(20));
    record.line(format!("before the kill 200 for {served_before} of {sent_before} requests"));
    record.line(format!("later than RecoveryS after it 200 for {served} of {sent} requests"));
    for core in 0..Fleet::CORES {
        let (status, _) = fleet.get_at(core);
        record.line(format!("operator: GET /config at core-{core}: {status}"));
    }
    if served_before * 4 < sent_before {
        return Err("less than a quarter was served before the kill".to_owned());
    }
    Ok(if served * 4 < sent { Verdict::Broken } else { Verdict::Held })
}

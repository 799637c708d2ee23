//! Observation of a cluster: status, metrics, logs, readiness and violated invariants.

use super::poll::poll;
use super::{Cluster, ControlPlacement, ports};
use crate::operator::{Operator, call_once};
use crate::wire::{Connection, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);

impl Cluster {
    /// The response of a control machine to `GET /status`; `None` without a response in JSON.
    pub async fn control_status(&self, index: usize) -> Option<serde_json::Value> {
        let response = call_once(self.control_address(index), &Request::new("GET", "/status")).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// An operator with the addresses of all control machines and gateways.
    pub fn operator(&self) -> Operator {
        let controls = (0..self.options.control_machines).map(|index| self.control_address(index));
        Operator::new(controls.chain(self.gateway_addresses()).collect())
    }

    /// The metrics of the proxy and of the agent of a front-end node; `None` for a process without a response
    /// of status 200.
    pub async fn front_metrics(&self, index: usize) -> [Option<String>; 2] {
        let ip = self.front_bind_ip(index);
        let proxy = metrics_text(SocketAddr::from((ip, ports::METRICS))).await;
        [proxy, metrics_text(SocketAddr::from((ip, ports::AGENT_METRICS))).await]
    }

    /// The metrics of a control process; `None` without a response of status 200.
    pub async fn control_metrics(&self, index: usize) -> Option<String> {
        let port = match self.options.placement {
            ControlPlacement::Dedicated => ports::METRICS,
            // The proxy of the node uses the port METRICS. A hosted replica serves its metrics on the port of
            // the operator's API.
            ControlPlacement::FrontEndNodes => ports::CONTROL,
        };
        metrics_text(SocketAddr::from((self.control_bind_ip(index), port))).await
    }

    /// The logged violations of invariants, for a caller that reports them itself. After this call, dropping
    /// the cluster does not panic because of violations.
    pub fn take_violations(&mut self) -> Vec<String> {
        self.are_violations_reported = true;
        self.violations()
    }

    /// The log lines that report a violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let logs = self.logs();
        let is_violation = |line: &&str| line.contains("[invariant]") || line.contains("outcome=violated");
        logs.lines().filter(is_violation).map(str::to_owned).collect()
    }

    /// The output of all processes so far, each under the name of the process.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for (name, process) in &self.processes {
            text.push_str(&format!("--- {name}\n{}", process.output()));
        }
        text
    }

    /// Waits until all front-end nodes are ready; false if a node is not ready after 15 s ([`poll`]).
    pub async fn wait_ready(&self) -> bool {
        for index in 0..self.options.front_ends {
            if !self.wait_front_ready(index).await {
                return false;
            }
        }
        true
    }

    /// Waits until a front-end node is ready; false if it is not ready after 15 s.
    pub async fn wait_front_ready(&self, index: usize) -> bool {
        let address = self.ready_address(index);
        poll(|| async move { readiness_status(address).await == Some(200) }).await
    }
}

/// The response to `GET /metrics` at an address; `None` unless its status is 200.
async fn metrics_text(address: SocketAddr) -> Option<String> {
    let response = call_once(address, &Request::new("GET", "/metrics")).await.ok()?;
    (response.status == 200).then(|| String::from_utf8_lossy(&response.body).into_owned())
}

/// The status of the response to `GET /ready` at an address; `None` without a response within 500 ms.
pub async fn readiness_status(address: SocketAddr) -> Option<u16> {
    let call = async {
        let mut connection = Connection::open(address).await.ok()?;
        let mut request = Request::new("GET", "/ready");
        request.headers.push("Host", address.to_string());
        connection.write(&request.encode()).await.ok()?;
        connection.read_response().await.ok().map(|response| response.status)
    };
    tokio::time::timeout(READINESS_TIMEOUT, call).await.ok().flatten()
}

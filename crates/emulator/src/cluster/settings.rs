//! The settings of each process of a cluster.

use super::settings_file::{SettingsSpec, machine_class};
use super::{AGENT, Cluster, ControlPlacement, control_name, ports};
use std::net::{IpAddr, SocketAddr};

impl Cluster {
    /// The seeds of processes that are started from now on.
    pub(super) fn current_seeds(&self) -> Vec<SocketAddr> {
        let default_seeds =
            || (0..self.options.control_machines.min(3)).map(|index| self.control_address(index)).collect();
        self.seeds.clone().unwrap_or_else(default_seeds)
    }

    /// The settings that all processes have in common.
    fn common_settings(&self, node: String) -> SettingsSpec {
        SettingsSpec {
            node,
            bootstrap: self.is_first_start,
            seeds: self.current_seeds(),
            fault_tolerance: self.options.fault_tolerance,
            cloud: Some(self.options.cloud),
            bounds: self.options.bounds.clone(),
            max_fds: self.options.max_fds,
            ..SettingsSpec::default()
        }
    }

    /// The settings of a control process, or of an agent that hosts a control process.
    pub(super) fn control_settings(&self, index: usize) -> SettingsSpec {
        let is_hosted = self.options.placement == ControlPlacement::FrontEndNodes;
        let (role, machine_class) =
            if is_hosted { (AGENT, machine_class::FRONT) } else { ("control", machine_class::CORE) };
        SettingsSpec {
            role: role.to_owned(),
            machine_class,
            serves: vec!["control".to_owned()],
            ip: self.control_ip(index).into(),
            feed_address: is_hosted.then(|| SocketAddr::from((self.subnet.front(index), ports::FEED))),
            bind: self.options.uses_relays.then(|| IpAddr::from(self.control_bind_ip(index))),
            control: Some(SocketAddr::from((self.control_bind_ip(index), ports::CONTROL))),
            data_dir: Some(self.data_directory(index)),
            counts_for_quorum: index < self.voting_machines,
            ..self.common_settings(control_name(index))
        }
    }

    /// The settings of a proxy, or of an agent that hosts no control process.
    pub(super) fn front_settings(&self, index: usize, role: &str) -> SettingsSpec {
        let is_proxy = role == "proxy";
        let is_gateway = !is_proxy && self.options.placement == ControlPlacement::FrontEndNodes;
        let serves = match (is_proxy, is_gateway) {
            (true, _) => vec!["front".to_owned()],
            (false, true) => vec!["control".to_owned()],
            (false, false) => Vec::new(),
        };
        SettingsSpec {
            control: is_gateway.then(|| SocketAddr::from((self.front_bind_ip(index), ports::CONTROL))),
            role: role.to_owned(),
            machine_class: machine_class::FRONT,
            serves,
            ip: self.subnet.front(index).into(),
            bind: self.options.uses_relays.then(|| IpAddr::from(self.front_bind_ip(index))),
            front: is_proxy.then(|| self.front_address(index)),
            ready: is_proxy.then(|| self.ready_address(index)),
            feed_address: Some(SocketAddr::from((self.subnet.front(index), ports::FEED))),
            ..self.common_settings(format!("front-{index}"))
        }
    }
}

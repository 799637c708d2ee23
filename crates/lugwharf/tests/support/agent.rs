//! A minimal agent: it pulls from one control process once.

use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A pull that waits for its reply.
pub struct Pull {
    link: TcpStream,
}

/// The reply to a pull.
pub struct Reply {
    pub has_quorum: bool,
    pub control: Vec<SocketAddr>,
    pub update: Update,
}

impl Reply {
    /// The version of its configuration; 0 without one.
    pub fn config_version(&self) -> u64 {
        self.update.config.as_ref().map_or(0, |config| config.version)
    }
}

impl Pull {
    /// Sends the pull of an agent that has nothing and does not wait.
    pub async fn from_nothing(address: SocketAddr) -> Option<Pull> {
        Pull::send(address, VersionVector::default(), 0).await
    }

    /// Sends the pull of an agent that has these versions and waits up to `wait_ms` for newer ones.
    pub async fn send(address: SocketAddr, have: VersionVector, wait_ms: u32) -> Option<Pull> {
        let mut link = TcpStream::connect(address).await.ok()?;
        let (node, incarnation, loads) = ("front-9".to_owned(), 1, Vec::new());
        let request = AgentRequest::Pull { node, incarnation, have, wait_ms, loads };
        write_frame(&mut link, &request).await.ok()?;
        Some(Pull { link })
    }

    /// Waits for the reply.
    pub async fn reply(mut self) -> Option<Reply> {
        let ControlReply::Update { has_quorum, control, update } =
            read_frame(&mut self.link).await.ok()??;
        Some(Reply { has_quorum, control, update })
    }
}

/// The reply of a control process to an agent that has nothing.
pub async fn pull(address: SocketAddr) -> Option<Reply> {
    Pull::from_nothing(address).await?.reply().await
}

/// Whether a control process says that it has a quorum.
pub async fn has_quorum(address: SocketAddr) -> Option<bool> {
    pull(address).await.map(|reply| reply.has_quorum)
}

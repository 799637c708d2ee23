//! A minimal agent, which sends one pull to one control process.

use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A pull whose reply has not been read yet.
pub struct Pull {
    stream: TcpStream,
}

/// The reply to a pull.
pub struct Reply {
    pub has_quorum: bool,
    pub control: Vec<SocketAddr>,
    pub update: Update,
}

impl Reply {
    /// Returns the version of the configuration in the reply; 0 if it has none.
    pub fn config_version(&self) -> u64 {
        self.update.config.as_ref().map_or(0, |config| config.version)
    }
}

impl Pull {
    /// Sends the pull of an agent that has no state and does not wait for changes.
    pub async fn send_initial(address: SocketAddr) -> Option<Pull> {
        Pull::send(address, VersionVector::default(), 0).await
    }

    /// Sends the pull of an agent that has the versions `have` and waits up to `wait_ms` for newer ones.
    pub async fn send(address: SocketAddr, have: VersionVector, wait_ms: u32) -> Option<Pull> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let (node, incarnation, loads) = ("front-9".to_owned(), 1, Vec::new());
        let request = AgentRequest::Pull { node, incarnation, have, wait_ms, loads };
        write_frame(&mut stream, &request).await.ok()?;
        Some(Pull { stream })
    }

    /// Reads the reply.
    pub async fn reply(mut self) -> Option<Reply> {
        let ControlReply::Update { has_quorum, control, update } =
            read_frame(&mut self.stream).await.ok()??;
        Some(Reply { has_quorum, control, update })
    }
}

/// Returns the reply of a control process to an agent that has no state.
pub async fn pull(address: SocketAddr) -> Option<Reply> {
    Pull::send_initial(address).await?.reply().await
}

/// Returns whether a control process reports a quorum; `None` without a reply.
pub async fn has_quorum(address: SocketAddr) -> Option<bool> {
    pull(address).await.map(|reply| reply.has_quorum)
}

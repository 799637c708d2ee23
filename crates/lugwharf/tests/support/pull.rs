//! An agent of a few lines: it asks one control process once.

use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A pull that was sent.
pub struct Pull {
    link: TcpStream,
}

/// Its answer.
pub struct Reply {
    pub has_quorum: bool,
    pub control: Vec<SocketAddr>,
    pub update: Update,
}

impl Reply {
    /// The configuration in it; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.update.config.as_ref().map_or(0, |config| config.version)
    }
}

impl Pull {
    /// The pull of an agent that has nothing and will not wait.
    pub async fn from_nothing(address: SocketAddr) -> Option<Pull> {
        Pull::send(address, VersionVector::default(), 0).await
    }

    /// The pull of an agent that has this, and waits for so long, in ms, until there is something newer.
    pub async fn send(address: SocketAddr, have: VersionVector, wait_ms: u32) -> Option<Pull> {
        let mut link = TcpStream::connect(address).await.ok()?;
        let (node, incarnation, loads) = ("front-9".to_owned(), 1, Vec::new());
        let request = AgentRequest::Pull { node, incarnation, have, wait_ms, loads };
        write_frame(&mut link, &request).await.ok()?;
        Some(Pull { link })
    }

    /// Waits for the answer.
    pub async fn reply(mut self) -> Option<Reply> {
        let ControlReply::Update { has_quorum, control, update } =
            read_frame(&mut self.link).await.ok()??;
        Some(Reply { has_quorum, control, update })
    }
}

/// What a control process answers to an agent that has nothing.
pub async fn ask(address: SocketAddr) -> Option<Reply> {
    Pull::from_nothing(address).await?.reply().await
}

/// Whether a control process calls itself in touch.
pub async fn is_in_touch(address: SocketAddr) -> Option<bool> {
    ask(address).await.map(|reply| reply.has_quorum)
}

//! Propagates view changes of the replica to the elector, the peer connections, the metrics and the process
//! log.

use super::Controller;
use lugwharf_chain as chain;
use lugwharf_election as election;
use spdlog::prelude::*;
use std::net::SocketAddr;

impl Controller {
    /// Reports the view of the replica to the elector if it is new. The view was either decided or
    /// recovered from disk.
    pub(super) fn report_view_to_elector(&mut self) {
        let status = self.replica.status();
        if self.views.enter(status.view_number) {
            self.enter_view(&status);
        }
        // The elector learns of the seal before the acceptance is sent, because the acceptance is sent only
        // after it is synced. From then on this process votes for no lease holder in this view, because the
        // next view may elect another process.
        if status.has_accepted_next_view && self.views.seal(status.view_number) {
            self.handle_elector_event(election::Event::ViewSealed { number: status.view_number });
        }
    }

    fn enter_view(&mut self, status: &chain::ReplicaStatus) {
        self.metrics.view_changes.inc();
        let position =
            status.chain_position.map_or_else(|| "none".to_owned(), |position| position.to_string());
        let chain: Vec<String> = status.chain.iter().map(SocketAddr::to_string).collect();
        info!("view", kv: {
            outcome = "installed", view = status.view_number, members = status.members.len(),
            replicas = status.chain.len(), position = position.as_str(), chain = chain.join(",").as_str()
        });
        // Closes connections to processes that are not listed. They are opened again for the next message.
        let all = self.process_directory.all(self.now(), self.local_address, &status.members);
        self.peer_transport.retain(|address| all.contains(address));
        let (number, members, is_voter) = (status.view_number, status.members.clone(), status.is_member);
        self.handle_elector_event(election::Event::ViewInstalled { number, members, is_voter });
    }
}

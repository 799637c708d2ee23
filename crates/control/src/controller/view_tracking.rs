//! The view of the replica, as the elector and the links are told of it.

use super::Controller;
use lugwharf_chain as chain;
use lugwharf_election as election;
use spdlog::prelude::*;

impl Controller {
    /// Tells the elector of the replica's view if it is another one than before: one that was agreed, or the one that
    /// was found on the disk.
    pub(super) fn follow_view(&mut self) {
        let status = self.replica.status();
        if status.view > self.current_view {
            self.enter_view(&status);
        }
        // Told before anybody hears of the acceptance, which waits for the disk: from then on this process helps nobody to
        // hold the role in this view, as the next one may elect another.
        if status.has_accepted_next_view && self.sealed_view < status.view {
            self.sealed_view = status.view;
            self.elect(election::Event::ViewSealed { number: status.view });
        }
    }

    fn enter_view(&mut self, status: &chain::ReplicaStatus) {
        self.current_view = status.view;
        self.metrics.view_changes.inc();
        info!("view", kv: {
            outcome = "agreed", view = status.view, members = status.members.len(), replicas = status.chain.len(),
            position:? = status.position
        });
        // Links to others are opened again when something is sent there.
        let all = self.process_directory.all(self.now(), self.local_address, &status.members);
        self.peer_transport.retain(|address| all.contains(address));
        let (number, members, is_voter) = (status.view, status.members.clone(), status.is_member);
        self.elect(election::Event::ViewInstalled { number, members, is_voter });
    }
}

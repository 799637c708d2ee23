//! The properties. Some are checked in each state here, the others by the steps that could violate them.

use super::collections::SmallSet;
use super::identity::machine_of;
use super::node::{Node, Records};
use super::state::State;

/// Violated when two changes on one base are committed, or two at one index of the history.
pub const ONE_CHANGE_PER_BASE: &str = "two changes on one base are never both acknowledged";
/// Violated when a replica whose history counts lacks an acknowledged change, or no member of the newest view has it on disk.
pub const ACKNOWLEDGED_NEVER_LOST: &str = "what was acknowledged is never lost";
/// Violated when a rejected change is committed later.
pub const REJECTED_NEVER_COMMITTED: &str = "a rejected change is never committed";
/// Violated when a committed change is rejected.
pub const COMMITTED_NEVER_REJECTED: &str = "no committed change is ever rejected";
/// Violated when a read or a rejection contradicts what was acknowledged before the request.
pub const NO_STALE_REPLY: &str = "a deposed replica does not reply";
/// Violated when two views are decided under one number.
pub const ONE_VIEW_PER_NUMBER: &str = "one view per number";
/// Violated when the source of a view holds less than the base of the view.
pub const SOURCE_HOLDS_BASE: &str = "the source of a view holds its base";

/// Violated when a history has an entry after one that is not committed: a restarted replica counts all but the last as
/// committed.
pub const ALL_BUT_LAST_COMMITTED: &str = "each entry but the last is committed";

/// The property that does not hold in a state.
pub(super) fn violated_property(state: &State) -> Option<&'static str> {
    if state.violated_property.is_some() {
        return state.violated_property;
    }
    let mut places = 0..state.committed.len();
    if !places.all(|place| is_on_all_holders(state, place) && is_on_member_disk(state, place)) {
        return Some(ACKNOWLEDGED_NEVER_LOST);
    }
    let all_but_last_committed = |node: &Node| {
        let history = &node.records.history;
        history.len() <= state.committed_prefix_len(history) + 1
    };
    (!state.nodes.iter().all(all_but_last_committed)).then_some(ALL_BUT_LAST_COMMITTED)
}

/// Whether the committed entry at a place is on each replica that has installed the view that committed it, or a later one.
fn is_on_all_holders(state: &State, place: usize) -> bool {
    let change = state.committed.items()[place];
    let view = state.committed_in_view[place];
    let holds =
        |records: &Records| records.installed < view || records.history.items().get(place) == Some(&change);
    let present = state.nodes.iter().filter(|node| !node.has_left);
    let mut all =
        present.flat_map(|node| [&node.records, state.synced_records_of(machine_of(node.identity))]);
    all.all(holds)
}

/// Whether the committed entry at a place is on the disk of a member of the newest view, whose promises the next proposer
/// needs.
fn is_on_member_disk(state: &State, place: usize) -> bool {
    let change = state.committed.items()[place];
    let newest = state.decided_views.iter().rfind(|view| view.number > 0);
    let members = newest.map_or(SmallSet::default(), |view| view.members);
    let present = state.nodes.iter().filter(|node| !node.has_left && members.contains(node.identity));
    let mut disks = present.map(|node| state.synced_records_of(machine_of(node.identity)));
    disks.any(|records| records.history.items().get(place) == Some(&change))
}

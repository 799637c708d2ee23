//! The properties. Some are checked here in each state, the others by the steps that could violate them.

use super::collections::SmallSet;
use super::identity::machine_of;
use super::node::{Node, Records};
use super::state::State;

/// Violated when two changes on one base are committed, or two at one index of the history.
pub const ONE_CHANGE_PER_BASE: &str = "two changes on one base are never both acknowledged";
/// Violated when a replica that has installed the view that committed an acknowledged change, or a later
/// view, lacks the change, or when no member of the newest view has it on disk.
pub const ACKNOWLEDGED_NEVER_LOST: &str = "what was acknowledged is never lost";
/// Violated when a rejected change is committed later.
pub const REJECTED_NEVER_COMMITTED: &str = "a rejected change is never committed";
/// Violated when a committed change is rejected.
pub const COMMITTED_NEVER_REJECTED: &str = "no committed change is ever rejected";
/// Violated when a read or a rejection contradicts what was acknowledged before the request.
pub const NO_STALE_REPLY: &str = "a deposed replica does not reply";
/// Violated when two views are decided under one number.
pub const ONE_VIEW_PER_NUMBER: &str = "one view per number";
/// Violated when the source of a view has not installed the base of the view, or a later view.
pub const SOURCE_HOLDS_BASE: &str = "the source of a view holds its base";

/// Violated when a history has an entry after an uncommitted one. A restarted replica relies on this: it
/// treats all entries but the last as committed.
pub const ALL_BUT_LAST_COMMITTED: &str = "each entry but the last is committed";

/// The property that a state violates, if any.
pub(super) fn violated_property(state: &State) -> Option<&'static str> {
    if state.violated_property.is_some() {
        return state.violated_property;
    }
    let mut positions = 0..state.committed.len();
    if !positions.all(|position| is_on_all_holders(state, position) && is_on_member_disk(state, position)) {
        return Some(ACKNOWLEDGED_NEVER_LOST);
    }
    let all_but_last_committed = |node: &Node| {
        let history = &node.records.history;
        history.len() <= state.committed_prefix_len(history) + 1
    };
    (!state.nodes.iter().all(all_but_last_committed)).then_some(ALL_BUT_LAST_COMMITTED)
}

/// Whether the committed entry at `position` is held by each replica that has installed the view that
/// committed the entry, or a later view.
fn is_on_all_holders(state: &State, position: usize) -> bool {
    let change = state.committed.items()[position];
    let view = state.committed_in_view[position];
    let holds = |records: &Records| {
        records.installed < view || records.history.items().get(position) == Some(&change)
    };
    let present = state.nodes.iter().filter(|node| !node.has_left);
    let mut all_records =
        present.flat_map(|node| [&node.records, state.synced_records_of(machine_of(node.identity))]);
    all_records.all(holds)
}

/// Whether the committed entry at `position` is on the disk of some member of the newest view. The next
/// proposer learns histories from the promises of these members only.
fn is_on_member_disk(state: &State, position: usize) -> bool {
    let change = state.committed.items()[position];
    let newest = state.decided_views.iter().rfind(|view| view.number > 0);
    let members = newest.map_or(SmallSet::default(), |view| view.members);
    let present = state.nodes.iter().filter(|node| !node.has_left && members.contains(node.identity));
    let mut disks = present.map(|node| state.synced_records_of(machine_of(node.identity)));
    disks.any(|records| records.history.items().get(position) == Some(&change))
}

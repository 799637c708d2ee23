//! Tags each record of the log with the state machine that it belongs to.
//!
//! The replica and the elector share one log. The first byte of each record is the tag of its owner. The tags
//! are stored on disk, so they must not change.

/// The state machine that wrote a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOwner {
    /// The replica of the configuration, with its views.
    Chain,
    /// The elector of the list watcher.
    Election,
}

impl RecordOwner {
    const ALL: [RecordOwner; 2] = [RecordOwner::Chain, RecordOwner::Election];

    fn tag(self) -> u8 {
        match self {
            RecordOwner::Chain => 1,
            RecordOwner::Election => 2,
        }
    }

    /// Prepends the tag of this owner to a record.
    pub fn tag_record(self, mut record: Vec<u8>) -> Vec<u8> {
        record.insert(0, self.tag());
        record
    }

    /// Returns the records of this owner without their tags.
    pub fn untagged_records(self, all: &[Vec<u8>]) -> Vec<Vec<u8>> {
        let own = all.iter().filter(|record| record.first() == Some(&self.tag()));
        own.map(|record| record[1..].to_vec()).collect()
    }

    /// Whether the record starts with the tag of a known owner.
    pub fn has_owner_tag(record: &[u8]) -> bool {
        RecordOwner::ALL.iter().any(|owner| record.first() == Some(&owner.tag()))
    }
}

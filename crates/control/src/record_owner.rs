//! Which state machine a record of the log belongs to.
//!
//! Replica and elector share one log. The first byte of each record is the tag of its owner; it is on disk, so it never
//! changes.

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

    /// Puts the tag of this owner before a record.
    pub fn tag_record(self, mut record: Vec<u8>) -> Vec<u8> {
        record.insert(0, self.tag());
        record
    }

    /// The records of this owner, without their tags.
    pub fn untagged_records(self, all: &[Vec<u8>]) -> Vec<Vec<u8>> {
        let own = all.iter().filter(|record| record.first() == Some(&self.tag()));
        own.map(|record| record[1..].to_vec()).collect()
    }

    /// Whether the record has the tag of an owner.
    pub fn is_owned(record: &[u8]) -> bool {
        RecordOwner::ALL.iter().any(|owner| record.first() == Some(&owner.tag()))
    }
}

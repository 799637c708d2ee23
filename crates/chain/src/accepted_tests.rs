//! A replica says whether it has accepted a proposal for the view after its own.

use crate::member::MemberId;
use crate::paxos::ProposalNumber;
use crate::record::Record;
use crate::view::View;
use crate::{Replica, ReplicaSettings};
use std::net::SocketAddr;
use std::time::Duration;

fn member(number: u8) -> MemberId {
    MemberId { address: SocketAddr::from(([10, 0, 0, number], 7000)), disk: u64::from(number) }
}

fn view(number: u64) -> View {
    let members: Vec<MemberId> = (1..=3).map(member).collect();
    let chain = members.clone();
    View {
        number,
        members,
        chain,
        source: Some(member(1)),
        lineage: Vec::new(),
        last_known_served: 0,
        fault_tolerance: 1,
        min_members: 3,
    }
}

fn recovered(records: &[Record]) -> Replica {
    let settings = ReplicaSettings::new(member(1).address, vec![member(2).address], false, 1, 7);
    let records: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
    Replica::recover(settings, &records, Duration::ZERO, &mut Vec::new()).expect("readable")
}

#[test]
fn status_reports_an_accepted_next_view_after_restart_until_it_is_decided() {
    let identity = Record::Identity { disk: 1, bootstrap_seeds: None };
    let proposal = ProposalNumber { round: 1, proposer: member(2) };
    let mut records = vec![identity, Record::Decided { view: view(1) }];
    assert!(!recovered(&records).status().has_accepted_next_view);
    records.push(Record::Promise { instance: 2, proposal });
    assert!(!recovered(&records).status().has_accepted_next_view, "a promise chooses no view");
    records.push(Record::Accept { proposal, view: view(2) });
    assert!(recovered(&records).status().has_accepted_next_view);
    records.push(Record::Decided { view: view(2) });
    assert!(!recovered(&records).status().has_accepted_next_view);
}

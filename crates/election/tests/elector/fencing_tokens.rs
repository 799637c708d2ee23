//! A process campaigns under a fencing token once, whatever restarts, lost records and late messages do. Several
//! electors, whose messages and writes the case lets through one by one.

use crate::harness::{FIRST_ELECTION, VIEW, settings};
use lugwharf_election::{Action, BatchId, Elector, Event, FencingToken, Message, MessageBody, Role};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// A campaign ends after a quarter of a lease.
const CAMPAIGN_TIMEOUT: u64 = 250;
/// The process that campaigns. It has the lowest address, so that other candidates yield to it.
const CANDIDATE: usize = 0;

struct InFlight {
    from: usize,
    to: usize,
    message: Message,
}

struct Write {
    process: usize,
    batch: BatchId,
    records: Vec<Vec<u8>>,
}

struct Cluster {
    electors: Vec<Elector>,
    logs: Vec<Vec<Vec<u8>>>,
    in_flight: Vec<InFlight>,
    writes: Vec<Write>,
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + process as u16))
}

fn process(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

fn recover(process: usize, records: &[Vec<u8>], now: u64) -> Elector {
    let settings = settings(address(process), Role::ListWatcher, now + process as u64);
    Elector::recover(settings, records, Duration::from_millis(now))
}

impl Cluster {
    fn new(members: usize) -> Self {
        let electors = (0..members).map(|process| recover(process, &[], 0)).collect();
        let mut cluster =
            Self { electors, logs: vec![Vec::new(); members], in_flight: Vec::new(), writes: Vec::new() };
        (0..members).for_each(|process| cluster.enter_view(process, 0, VIEW));
        cluster
    }

    fn enter_view(&mut self, process: usize, now: u64, number: u64) {
        let members = (0..self.electors.len()).map(address).collect();
        self.handle(process, now, Event::ViewInstalled { number, members, is_voter: true });
    }

    fn handle(&mut self, process: usize, now: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.electors[process].handle(Duration::from_millis(now), event, &mut actions);
        for action in &actions {
            self.record(process, action.clone());
        }
        actions
    }

    fn record(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.in_flight.push(InFlight { from, to: self::process(to), message });
            }
            Action::Persist { batch, records } => {
                self.writes.push(Write { process: from, batch, records });
            }
            Action::LeaseAcquired { .. } | Action::LeaseLost => {}
        }
    }

    /// Takes the messages of a kind from the links.
    fn take(&mut self, is_wanted: impl Fn(&InFlight) -> bool) -> Vec<InFlight> {
        let (wanted, others) = std::mem::take(&mut self.in_flight).into_iter().partition(is_wanted);
        self.in_flight = others;
        wanted
    }

    fn deliver(&mut self, now: u64, in_flight: Vec<InFlight>) -> Vec<Action> {
        let mut actions = Vec::new();
        for InFlight { from, to, message } in in_flight {
            actions.extend(self.handle(to, now, Event::Message { from: address(from), message }));
        }
        actions
    }

    fn sync(&mut self, process: usize, now: u64) {
        let (synced, others) =
            std::mem::take(&mut self.writes).into_iter().partition(|write| write.process == process);
        self.writes = others;
        let synced: Vec<Write> = synced;
        for Write { batch, records, .. } in synced {
            self.logs[process].extend(records);
            self.handle(process, now, Event::Persisted { batch });
        }
    }

    /// Ends a process and starts it again; what was not synced is lost.
    fn restart(&mut self, process: usize, now: u64) {
        self.writes.retain(|write| write.process != process);
        self.electors[process] = recover(process, &self.logs[process], now);
        self.enter_view(process, now, VIEW);
    }

    /// Lets a majority grant the candidate's pre-vote; returns when its vote for itself is on the way to its disk.
    fn wait_for_own_vote(&mut self, from: u64) -> u64 {
        let is_pre_vote = |sent: &InFlight| {
            sent.from == CANDIDATE && matches!(sent.message.body, MessageBody::PreVote { .. })
        };
        let mut now = from;
        while !self.in_flight.iter().any(is_pre_vote) {
            self.handle(CANDIDATE, now, Event::Tick);
            now += 5;
            assert!(now < from + 9_000, "no pre-vote is sent");
        }
        let pre_votes = self.take(is_pre_vote);
        self.deliver(now, pre_votes);
        let grants = self.take(|sent| {
            sent.to == CANDIDATE && matches!(sent.message.body, MessageBody::PreVoteGranted { .. })
        });
        self.deliver(now, grants);
        assert!(self.writes.iter().any(|write| write.process == CANDIDATE), "no own vote is written");
        now
    }

    /// Takes what the candidate has sent about a token from the links.
    fn take_sent_about_tokens(&mut self) -> Vec<InFlight> {
        self.take(|sent| sent.from == CANDIDATE && token_of(sent).is_some())
    }
}

fn token_of(sent: &InFlight) -> Option<FencingToken> {
    match sent.message.body {
        MessageBody::RequestVote { token, .. }
        | MessageBody::RenewLease { token, .. }
        | MessageBody::ReleaseLease { token, .. } => Some(token),
        _ => None,
    }
}

/// How a campaign ends whose token is not on the disk of the candidate.
#[derive(Clone, Copy)]
enum CampaignEnd {
    Restart,
    TimeOut,
    WriteFails,
}

#[rstest]
fn token_is_not_sent_before_the_own_disk_holds_it(
    #[values(3, 5)] members: usize,
    #[values(CampaignEnd::Restart, CampaignEnd::TimeOut, CampaignEnd::WriteFails)] end: CampaignEnd,
) {
    let mut cluster = Cluster::new(members);
    let now = cluster.wait_for_own_vote(FIRST_ELECTION);
    match end {
        CampaignEnd::Restart => cluster.restart(CANDIDATE, now),
        CampaignEnd::TimeOut => drop(cluster.handle(CANDIDATE, now + CAMPAIGN_TIMEOUT, Event::Tick)),
        CampaignEnd::WriteFails => {
            let batch = cluster.writes[0].batch;
            cluster.handle(CANDIDATE, now, Event::PersistFailed { batch });
        }
    }
    assert_eq!(cluster.take_sent_about_tokens().len(), 0);
}

/// All messages about the candidate's first token arrive after it holds the role under the next one: were they one
/// token, the late release would free its voters for another holder.
#[rstest]
fn late_release_of_an_earlier_incarnation_ends_no_lease(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let campaigned = cluster.wait_for_own_vote(FIRST_ELECTION);
    cluster.sync(CANDIDATE, campaigned);
    cluster.handle(CANDIDATE, campaigned + CAMPAIGN_TIMEOUT, Event::Tick);
    let late = cluster.take_sent_about_tokens();
    let first = late.iter().filter_map(token_of).max().expect("a first campaign");
    assert_eq!(late.len(), 2 * (members - 1), "a request and a release for each of the others");

    let restarted = campaigned + CAMPAIGN_TIMEOUT;
    cluster.restart(CANDIDATE, restarted);
    let now = cluster.wait_for_own_vote(restarted + FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let requests = cluster.take_sent_about_tokens();
    let second = requests.iter().filter_map(token_of).max().expect("a second campaign");
    assert!(second > first, "{second:?} after {first:?}");
    cluster.deliver(now, requests);
    (1..members).for_each(|voter| cluster.sync(voter, now));
    let votes = cluster.take(|sent| matches!(sent.message.body, MessageBody::VoteGranted { .. }));
    let acquired = cluster.deliver(now, votes);
    assert!(acquired.contains(&Action::LeaseAcquired { token: second }), "{acquired:?}");

    cluster.deliver(now, late);
    for voter in 1..members {
        let other = address(voter % (members - 1) + 1);
        let body = MessageBody::RequestVote { request_id: 1, token: FencingToken(second.0 + 1) };
        let message = Message { role: Role::ListWatcher, view: VIEW, body };
        let answer = cluster.handle(voter, now, Event::Message { from: other, message });
        assert!(!answer.iter().any(|action| matches!(action, Action::Persist { .. })), "voter {voter}");
    }
}

/// Nobody in the new view knows a token of the one before.
#[rstest]
fn later_view_has_higher_tokens_without_any_earlier_record(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let highest_before = FencingToken(((VIEW + 1) << 24) - 1);
    (0..members).for_each(|process| cluster.enter_view(process, FIRST_ELECTION, VIEW + 1));
    let now = cluster.wait_for_own_vote(2 * FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let tokens: Vec<_> = cluster.take_sent_about_tokens().iter().filter_map(token_of).collect();
    assert_eq!(tokens, vec![FencingToken(highest_before.0 + 2); members - 1]);
}

/// A response to an earlier request of the same process does not count for a later one.
#[rstest]
fn no_two_requests_share_an_id(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let now = cluster.wait_for_own_vote(FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let first = cluster.take_sent_about_tokens();
    let MessageBody::RequestVote { request_id: first, .. } = first[0].message.body else {
        panic!("a campaign")
    };
    cluster.handle(CANDIDATE, now + CAMPAIGN_TIMEOUT, Event::Tick);
    cluster.take_sent_about_tokens();
    let now = cluster.wait_for_own_vote(now + CAMPAIGN_TIMEOUT);
    cluster.sync(CANDIDATE, now);
    let second = cluster.take_sent_about_tokens();
    let MessageBody::RequestVote { request_id: second, .. } = second[0].message.body else {
        panic!("a second campaign")
    };
    assert_ne!(first, second);
}

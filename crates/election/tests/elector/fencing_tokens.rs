//! A process never campaigns twice under the same fencing token, despite restarts, lost records and delayed
//! messages. Each test runs several electors and controls the delivery of every message and write.

use crate::harness::{FIRST_ELECTION, VIEW, settings};
use lugwharf_election::{Action, BatchId, Elector, Event, FencingToken, Message, MessageBody, Role};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

/// A campaign times out after a quarter of the lease duration, in ms.
const CAMPAIGN_TIMEOUT: u64 = 250;
/// The campaigning process. It has the lowest address, so that other candidates yield to it.
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

    /// Removes and returns the messages in flight that match `is_wanted`.
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

    /// Restarts a process. Unsynced writes are lost.
    fn restart(&mut self, process: usize, now: u64) {
        self.writes.retain(|write| write.process != process);
        self.electors[process] = recover(process, &self.logs[process], now);
        self.enter_view(process, now, VIEW);
    }

    /// Lets a majority grant the candidate's pre-vote. Returns the time at which the candidate writes its
    /// vote for itself.
    fn wait_for_own_vote(&mut self, from: u64) -> u64 {
        let is_pre_vote = |sent: &InFlight| {
            sent.from == CANDIDATE && matches!(sent.message.body, MessageBody::PreVote { .. })
        };
        let mut now = from;
        while !self.in_flight.iter().any(is_pre_vote) {
            self.handle(CANDIDATE, now, Event::Tick);
            now += 5;
            assert!(now < from + 9_000, "no pre-vote was sent");
        }
        let pre_votes = self.take(is_pre_vote);
        self.deliver(now, pre_votes);
        let grants = self.take(|sent| {
            sent.to == CANDIDATE && matches!(sent.message.body, MessageBody::PreVoteGranted { .. })
        });
        self.deliver(now, grants);
        assert!(
            self.writes.iter().any(|write| write.process == CANDIDATE),
            "the candidate did not write its own vote"
        );
        now
    }

    /// Removes and returns the candidate's messages in flight that carry a token.
    fn take_candidate_token_messages(&mut self) -> Vec<InFlight> {
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

/// The way in which a campaign ends whose token was not persisted by the candidate.
#[derive(Clone, Copy)]
enum CampaignEnd {
    Restart,
    TimeOut,
    WriteFails,
}

#[rstest]
fn token_is_not_sent_before_it_is_persisted(
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
    assert_eq!(cluster.take_candidate_token_messages().len(), 0);
}

/// All messages about the candidate's first token arrive after it holds the role under its second token. If
/// both tokens were equal, the delayed release would allow its voters to elect another holder.
#[rstest]
fn delayed_release_of_an_earlier_incarnation_ends_no_lease(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let campaigned = cluster.wait_for_own_vote(FIRST_ELECTION);
    cluster.sync(CANDIDATE, campaigned);
    cluster.handle(CANDIDATE, campaigned + CAMPAIGN_TIMEOUT, Event::Tick);
    let delayed = cluster.take_candidate_token_messages();
    let first =
        delayed.iter().filter_map(token_of).max().expect("the first campaign sent no message with a token");
    assert_eq!(
        delayed.len(),
        2 * (members - 1),
        "a vote request and a release for each of the other members"
    );

    let restarted = campaigned + CAMPAIGN_TIMEOUT;
    cluster.restart(CANDIDATE, restarted);
    let now = cluster.wait_for_own_vote(restarted + FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let requests = cluster.take_candidate_token_messages();
    let second =
        requests.iter().filter_map(token_of).max().expect("the second campaign sent no message with a token");
    assert!(second > first, "{second:?} after {first:?}");
    cluster.deliver(now, requests);
    (1..members).for_each(|voter| cluster.sync(voter, now));
    let votes = cluster.take(|sent| matches!(sent.message.body, MessageBody::VoteGranted { .. }));
    let acquired = cluster.deliver(now, votes);
    assert!(acquired.contains(&Action::LeaseAcquired { token: second }), "{acquired:?}");

    cluster.deliver(now, delayed);
    for voter in 1..members {
        let other = address(voter % (members - 1) + 1);
        let body = MessageBody::RequestVote { request_id: 1, token: FencingToken(second.0 + 1) };
        let message = Message { role: Role::ListWatcher, view: VIEW, body };
        let response = cluster.handle(voter, now, Event::Message { from: other, message });
        assert!(!response.iter().any(|action| matches!(action, Action::Persist { .. })), "voter {voter}");
    }
}

/// No member of the new view knows a token of the previous view.
#[rstest]
fn later_view_has_higher_tokens_without_earlier_records(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let highest_before = FencingToken(((VIEW + 1) << 24) - 1);
    (0..members).for_each(|process| cluster.enter_view(process, FIRST_ELECTION, VIEW + 1));
    let now = cluster.wait_for_own_vote(2 * FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let tokens: Vec<_> = cluster.take_candidate_token_messages().iter().filter_map(token_of).collect();
    assert_eq!(tokens, vec![FencingToken(highest_before.0 + 2); members - 1]);
}

/// Otherwise a response to an earlier request of a process could count for a later one.
#[rstest]
fn no_two_requests_share_an_id(#[values(3, 5)] members: usize) {
    let mut cluster = Cluster::new(members);
    let now = cluster.wait_for_own_vote(FIRST_ELECTION);
    cluster.sync(CANDIDATE, now);
    let first = cluster.take_candidate_token_messages();
    let MessageBody::RequestVote { request_id: first, .. } = first[0].message.body else {
        panic!("expected a vote request of the first campaign")
    };
    cluster.handle(CANDIDATE, now + CAMPAIGN_TIMEOUT, Event::Tick);
    cluster.take_candidate_token_messages();
    let now = cluster.wait_for_own_vote(now + CAMPAIGN_TIMEOUT);
    cluster.sync(CANDIDATE, now);
    let second = cluster.take_candidate_token_messages();
    let MessageBody::RequestVote { request_id: second, .. } = second[0].message.body else {
        panic!("expected a vote request of the second campaign")
    };
    assert_ne!(first, second);
}

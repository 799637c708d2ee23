//! A fencing token is stood for once: what restarts, lost records and late messages may not change. Several electors,
//! whose messages and writes the case lets through one by one.

use lugwharf_election::{
    Action, BatchId, Elector, ElectorSettings, Event, FencingToken, Message, MessageBody, Role,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const VIEW: u64 = 1;
/// From a start on nobody is elected for a lease and the drift.
const SETTLED: u64 = 1_020;
/// A campaign ends after a quarter of a lease.
const CAMPAIGN: u64 = 250;
/// The process that stands. The lowest address: others that want the role too let it go on.
const CANDIDATE: usize = 0;

struct Letter {
    from: usize,
    to: usize,
    message: Message,
}

struct Write {
    process: usize,
    batch: BatchId,
    records: Vec<Vec<u8>>,
}

struct Core {
    electors: Vec<Elector>,
    logs: Vec<Vec<Vec<u8>>>,
    letters: Vec<Letter>,
    writes: Vec<Write>,
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + process as u16))
}

fn process(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

fn recover(process: usize, records: &[Vec<u8>], now: u64) -> Elector {
    let settings = ElectorSettings {
        local_address: address(process),
        role: Role::ListWatcher,
        lease_duration: Duration::from_millis(1_000),
        renew_interval: Duration::from_millis(250),
        clock_drift_percent: 2,
        seed: now + process as u64,
    };
    Elector::recover(settings, records, Duration::from_millis(now))
}

impl Core {
    fn new(members: usize) -> Self {
        let electors = (0..members).map(|process| recover(process, &[], 0)).collect();
        let mut core =
            Self { electors, logs: vec![Vec::new(); members], letters: Vec::new(), writes: Vec::new() };
        (0..members).for_each(|process| core.enter_view(process, 0, VIEW));
        core
    }

    fn enter_view(&mut self, process: usize, now: u64, number: u64) {
        let members = (0..self.electors.len()).map(address).collect();
        self.give(process, now, Event::ViewInstalled { number, members, is_voter: true });
    }

    fn give(&mut self, process: usize, now: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.electors[process].handle(Duration::from_millis(now), event, &mut actions);
        for action in &actions {
            self.note(process, action.clone());
        }
        actions
    }

    fn note(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.letters.push(Letter { from, to: self::process(to), message });
            }
            Action::Persist { batch, records } => {
                self.writes.push(Write { process: from, batch, records });
            }
            Action::LeaseAcquired { .. } | Action::LeaseLost => {}
        }
    }

    /// Takes the letters of a kind from the links.
    fn take(&mut self, is_wanted: impl Fn(&Letter) -> bool) -> Vec<Letter> {
        let (wanted, others) = std::mem::take(&mut self.letters).into_iter().partition(is_wanted);
        self.letters = others;
        wanted
    }

    fn deliver(&mut self, now: u64, letters: Vec<Letter>) -> Vec<Action> {
        let mut actions = Vec::new();
        for Letter { from, to, message } in letters {
            actions.extend(self.give(to, now, Event::Message { from: address(from), message }));
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
            self.give(process, now, Event::Persisted { batch });
        }
    }

    /// Ends a process and starts it again; what was not synced is lost.
    fn restart(&mut self, process: usize, now: u64) {
        self.writes.retain(|write| write.process != process);
        self.electors[process] = recover(process, &self.logs[process], now);
        self.enter_view(process, now, VIEW);
    }

    /// Lets the candidate find a majority willing; returns when its own grant is on the way to its disk.
    fn prepare(&mut self, from: u64) -> u64 {
        let asks = |letter: &Letter| {
            letter.from == CANDIDATE && matches!(letter.message.body, MessageBody::PreVote { .. })
        };
        let mut now = from;
        while !self.letters.iter().any(asks) {
            self.give(CANDIDATE, now, Event::Tick);
            now += 5;
            assert!(now < from + 9_000, "it never asks");
        }
        let asked = self.take(asks);
        self.deliver(now, asked);
        let willing = self.take(|letter| {
            letter.to == CANDIDATE && matches!(letter.message.body, MessageBody::PreVoteGranted { .. })
        });
        self.deliver(now, willing);
        assert!(self.writes.iter().any(|write| write.process == CANDIDATE), "it does not stand");
        now
    }

    /// What the candidate has on the links about a token.
    fn told(&mut self) -> Vec<Letter> {
        self.take(|letter| letter.from == CANDIDATE && token_of(letter).is_some())
    }
}

fn token_of(letter: &Letter) -> Option<FencingToken> {
    match letter.message.body {
        MessageBody::RequestVote { token, .. }
        | MessageBody::RenewLease { token, .. }
        | MessageBody::ReleaseLease { token, .. } => Some(token),
        _ => None,
    }
}

/// How a campaign ends whose token is not on the disk of the candidate.
#[derive(Clone, Copy)]
enum End {
    Restart,
    TimeOut,
    WriteFails,
}

#[rstest]
fn tells_nobody_of_a_token_that_its_own_disk_may_forget(
    #[values(3, 5)] members: usize, #[values(End::Restart, End::TimeOut, End::WriteFails)] end: End,
) {
    let mut core = Core::new(members);
    let now = core.prepare(SETTLED);
    match end {
        End::Restart => core.restart(CANDIDATE, now),
        End::TimeOut => drop(core.give(CANDIDATE, now + CAMPAIGN, Event::Tick)),
        End::WriteFails => {
            let batch = core.writes[0].batch;
            core.give(CANDIDATE, now, Event::PersistFailed { batch });
        }
    }
    assert_eq!(core.told().len(), 0);
}

/// All that the candidate said of its first token comes after it holds the role under the next one: were they one
/// token, the late release would free its voters for another holder.
#[rstest]
fn late_messages_of_an_earlier_start_free_no_grant(#[values(3, 5)] members: usize) {
    let mut core = Core::new(members);
    let stood = core.prepare(SETTLED);
    core.sync(CANDIDATE, stood);
    core.give(CANDIDATE, stood + CAMPAIGN, Event::Tick);
    let late = core.told();
    let first = late.iter().filter_map(token_of).max().expect("it stood");
    assert_eq!(late.len(), 2 * (members - 1), "a request and a release for each of the others");

    let restarted = stood + CAMPAIGN;
    core.restart(CANDIDATE, restarted);
    let now = core.prepare(restarted + SETTLED);
    core.sync(CANDIDATE, now);
    let requests = core.told();
    let second = requests.iter().filter_map(token_of).max().expect("it stands again");
    assert!(second > first, "{second:?} after {first:?}");
    core.deliver(now, requests);
    (1..members).for_each(|voter| core.sync(voter, now));
    let votes = core.take(|letter| matches!(letter.message.body, MessageBody::VoteGranted { .. }));
    let gained = core.deliver(now, votes);
    assert!(gained.contains(&Action::LeaseAcquired { token: second }), "{gained:?}");

    core.deliver(now, late);
    for voter in 1..members {
        let other = address(voter % (members - 1) + 1);
        let body = MessageBody::RequestVote { request_id: 1, token: FencingToken(second.0 + 1) };
        let message = Message { role: Role::ListWatcher, view: VIEW, body };
        let answer = core.give(voter, now, Event::Message { from: other, message });
        assert!(!answer.iter().any(|action| matches!(action, Action::Persist { .. })), "voter {voter}");
    }
}

/// Nobody in the new view remembers a token of the one before.
#[rstest]
fn a_later_view_has_higher_tokens_where_all_records_are_of_others(#[values(3, 5)] members: usize) {
    let mut core = Core::new(members);
    let highest_before = FencingToken(((VIEW + 1) << 24) - 1);
    (0..members).for_each(|process| core.enter_view(process, SETTLED, VIEW + 1));
    let now = core.prepare(2 * SETTLED);
    core.sync(CANDIDATE, now);
    let tokens: Vec<_> = core.told().iter().filter_map(token_of).collect();
    assert_eq!(tokens, vec![FencingToken(highest_before.0 + 2); members - 1]);
}

/// An answer to an earlier question of the same process does not count for a later one.
#[rstest]
fn numbers_no_two_questions_alike(#[values(3, 5)] members: usize) {
    let mut core = Core::new(members);
    let now = core.prepare(SETTLED);
    core.sync(CANDIDATE, now);
    let first = core.told();
    let MessageBody::RequestVote { request_id: first, .. } = first[0].message.body else {
        panic!("it stands")
    };
    core.give(CANDIDATE, now + CAMPAIGN, Event::Tick);
    core.told();
    let now = core.prepare(now + CAMPAIGN);
    core.sync(CANDIDATE, now);
    let second = core.told();
    let MessageBody::RequestVote { request_id: second, .. } = second[0].message.body else {
        panic!("it stands again")
    };
    assert_ne!(first, second);
}

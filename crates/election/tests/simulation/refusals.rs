//! Tests of holders that send orders to servers. A server stores the highest fencing token that it has seen
//! and refuses orders with lower tokens. Refusals are lost, delayed and duplicated; processes are paused,
//! killed and partitioned; servers restart, which resets their token or sets it to one that was never issued.

use crate::faults;
use crate::world::{POLL, World};
use lugwharf_election::FencingToken;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of seeds per case.
const SEEDS: u64 = 60;
/// The number of servers.
const SERVERS: usize = 4;
/// The time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(20);
/// The time after the faults within which a process must hold the role.
const HEALED_TIME: Duration = Duration::from_secs(40);
/// The time for which the holder must then stay the same.
const SETTLED_TIME: Duration = Duration::from_secs(3);
/// Longer than a lease duration of the simulated world, so that a refusal may arrive when the next lease is
/// already held.
const MAX_REFUSAL_DELAY_MS: u64 = 2_500;
/// Same as in `lugwharf-stages`: a server that has refused this many tokens of a process receives no more
/// orders from it.
const MAX_REFUSED_TOKENS: usize = 2;
/// A value that, shifted left by 20 bits, is a token far above all tokens of a run.
const UNISSUED_TOKEN_BASE: u64 = 1 << 40;

/// A refusal in flight to the process that sent the order.
#[derive(Clone, Copy)]
struct Refusal {
    due_at: Duration,
    process: usize,
    server: usize,
    token: FencingToken,
}

struct OrderSimulation {
    world: World,
    /// The highest token stored by each server.
    seen_tokens: [FencingToken; SERVERS],
    refusals: Vec<Refusal>,
    /// The processes that have been informed of the refusal of their token, with the token.
    refused: BTreeSet<(usize, FencingToken)>,
    /// The refused tokens by process and server.
    refused_by: BTreeMap<(usize, usize), BTreeSet<FencingToken>>,
    orders: usize,
}

impl OrderSimulation {
    fn new(seed: u64, members: usize) -> OrderSimulation {
        OrderSimulation {
            world: World::new(seed, members, 1),
            seen_tokens: Default::default(),
            refusals: Vec::new(),
            refused: BTreeSet::new(),
            refused_by: BTreeMap::new(),
            orders: 0,
        }
    }

    fn run_for(&mut self, time: Duration, loses_refusals: bool) {
        let end = self.world.now() + time;
        while self.world.now() < end {
            self.world.run_for(POLL);
            self.deliver_refusals();
            for process in 0..self.world.len() {
                if let Some(token) = self.world.acting_token(process)
                    && self.world.random.u8(..8) == 0
                {
                    self.order(process, token, loses_refusals);
                }
            }
        }
    }

    fn order(&mut self, process: usize, token: FencingToken, loses_refusals: bool) {
        let server = self.world.random.usize(..SERVERS);
        let is_suspended =
            self.refused_by.get(&(process, server)).is_some_and(|tokens| tokens.len() >= MAX_REFUSED_TOKENS);
        if is_suspended {
            return;
        }
        assert!(
            !self.refused.contains(&(process, token)),
            "seed {}: {process} acts under {token:?}, although it knows that the token was refused",
            self.world.seed
        );
        self.orders += 1;
        if token >= self.seen_tokens[server] {
            self.seen_tokens[server] = token;
            return;
        }
        let is_lost = loses_refusals && self.world.random.u8(..4) == 0;
        let copies = if is_lost { 0 } else { 1 + self.world.random.usize(..2) };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.world.random.u64(..MAX_REFUSAL_DELAY_MS));
            let due_at = self.world.now() + delay;
            self.refusals.push(Refusal { due_at, process, server, token });
        }
    }

    /// Delivers the refusals that are due. Refusals to a process that is down or paused are lost.
    fn deliver_refusals(&mut self) {
        let now = self.world.now();
        let (due, later) = self.refusals.iter().copied().partition(|refusal| refusal.due_at <= now);
        self.refusals = later;
        for Refusal { process, server, token, .. } in due {
            if self.world.receives_events(process) {
                self.world.refuse_token(process, token);
                self.refused.insert((process, token));
                self.refused_by.entry((process, server)).or_default().insert(token);
            }
        }
    }

    /// Restarts a random server, which resets its token or sets it to one that was never issued.
    fn restart_random_server(&mut self) {
        let server = self.world.random.usize(..SERVERS);
        self.seen_tokens[server] = match self.world.random.u8(..6) {
            0 => FencingToken(UNISSUED_TOKEN_BASE << 20),
            _ => FencingToken::default(),
        };
    }
}

/// A process that knows that its token was refused does not act under it again. A server that refuses all
/// orders because of a token that was never issued does not prevent the role from becoming stable.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn holder_acts_no_more_under_a_token_that_was_refused(#[case] members: usize) {
    let mut orders = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut simulation = OrderSimulation::new(seed, members);
        let end = simulation.world.now() + FAULT_TIME;
        while simulation.world.now() < end {
            let pause = Duration::from_millis(simulation.world.random.u64(5..900));
            simulation.run_for(pause, true);
            faults::inject_fault(&mut simulation.world);
            simulation.restart_random_server();
        }
        faults::heal(&mut simulation.world);
        // One server permanently keeps a token that was never issued.
        simulation.seen_tokens[0] = FencingToken(UNISSUED_TOKEN_BASE << 20);
        simulation.run_for(HEALED_TIME, false);
        let held = simulation.world.holder();
        assert!(held.is_some(), "seed {seed}: no process holds the role");
        simulation.run_for(SETTLED_TIME, false);
        assert_eq!(simulation.world.holder(), held, "seed {seed}: the holder changed without a fault");
        orders += simulation.orders;
        refused += simulation.refused.len();
    }
    assert!(
        orders > 0 && refused > 0,
        "{orders} orders, {refused} refused tokens: the test is not effective"
    );
    println!("{orders} orders, {refused} tokens refused");
}

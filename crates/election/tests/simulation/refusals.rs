//! Holders that order servers, which remember the highest fencing token that they have seen and refuse lower ones.
//!
//! Refusals are lost, late and doubled; processes are paused, killed and partitioned; servers restart, which makes them forget
//! their token, or remember a token that no holder ever had.

use crate::faults;
use crate::world::{POLL, World};
use lugwharf_election::FencingToken;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SEEDS: u64 = 60;
const SERVERS: usize = 4;
const FAULT_TIME: Duration = Duration::from_secs(20);
const HEALED_TIME: Duration = Duration::from_secs(40);
const SETTLED_TIME: Duration = Duration::from_secs(3);
/// Longer than a lease of the world, so that a refusal may come when the next one is held.
const MAX_REFUSAL_DELAY_MS: u64 = 2_500;
/// As in `lugwharf-stages`: a server that refused so many tokens of a process gets no more orders from it.
const MAX_REFUSED_TOKENS: usize = 2;
/// How far the wrong memory of a server is above all tokens of a run.
const WRONG_MEMORY: u64 = 1 << 40;

/// A refusal on its way to the process that sent the order.
#[derive(Clone, Copy)]
struct Refusal {
    due_at: Duration,
    process: usize,
    server: usize,
    token: FencingToken,
}

struct Scene {
    world: World,
    /// The highest token that each server remembers.
    seen_tokens: [FencingToken; SERVERS],
    refusals: Vec<Refusal>,
    /// The processes that know that their token was refused.
    refused: BTreeSet<(usize, FencingToken)>,
    /// By process and server: the tokens that were refused.
    refused_by: BTreeMap<(usize, usize), BTreeSet<FencingToken>>,
    orders: usize,
}

impl Scene {
    fn new(seed: u64, members: usize) -> Scene {
        Scene {
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
            "seed {}: {process} acts under {token:?}, though it knows that this was refused",
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

    /// Those that are due; a process that is down or paused gets none.
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

    /// A server restarts and forgets its token, or remembers one that nobody had.
    fn disturb_server(&mut self) {
        let server = self.world.random.usize(..SERVERS);
        self.seen_tokens[server] = match self.world.random.u8(..6) {
            0 => FencingToken(WRONG_MEMORY << 20),
            _ => FencingToken::default(),
        };
    }
}

/// Once a process knows that its token was refused, it acts under it no more; and a server with a wrong memory, which refuses
/// all, does not keep the role from settling.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn holder_acts_no_more_under_a_token_that_was_refused(#[case] members: usize) {
    let mut orders = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut scene = Scene::new(seed, members);
        let end = scene.world.now() + FAULT_TIME;
        while scene.world.now() < end {
            let pause = Duration::from_millis(scene.world.random.u64(5..900));
            scene.run_for(pause, true);
            faults::inject_fault(&mut scene.world);
            scene.disturb_server();
        }
        faults::heal(&mut scene.world);
        // One server stays wrong for good.
        scene.seen_tokens[0] = FencingToken(WRONG_MEMORY << 20);
        scene.run_for(HEALED_TIME, false);
        let held = scene.world.holder();
        assert!(held.is_some(), "seed {seed}: nobody holds the role");
        scene.run_for(SETTLED_TIME, false);
        assert_eq!(scene.world.holder(), held, "seed {seed}: the role goes round");
        orders += scene.orders;
        refused += scene.refused.len();
    }
    assert!(orders > 0 && refused > 0, "{orders} orders, {refused} tokens refused: nothing was tested");
    println!("{orders} orders, {refused} tokens refused");
}

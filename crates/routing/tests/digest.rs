//! Digests of routing decisions: seeded balancers under seeded sequences of events, compared with values
//! recorded before a refactoring.
//!
//! Every decision is added to an FNV-1a digest as explicit numbers, floating-point values by their bits. A
//! changed digest means that a decision, a random draw or the order of evaluation has changed. The values
//! were recorded on x86-64 Linux with glibc, whose `exp` they depend on.

mod common;

use common::*;
use fastrand::Rng;
use lugwharf_protocol::{ServerDelta, ServerEntry, ServerState, Stage, TablePosition};
use lugwharf_routing::{
    AffinityKey, Attempts, Balancer, FailureKind, KvTransferBreaker, LoadReport, Normalisation, Observation,
    OutlierEjection, PeakEwma, Phase, PrefixCacheTracker, Prompt, RetryBudget, RetryBudgetConfig, Selection,
    SelectionError, SelectionQuery, ServerKey, TrafficSplitter, Tuning, WorkSize, rendezvous_weight,
    weighted_index,
};
use std::time::Duration;

const SERVICES: [&str; 2] = ["service", "other"];
const ZONES: [&str; 3] = ["home", "away", "far"];
const MODELS: [Option<&str>; 3] = [Some("m"), None, Some("n")];
const PHASES: [Phase; 3] = [Phase::Prefill, Phase::Decode, Phase::Full];
const FAILURES: [FailureKind; 4] =
    [FailureKind::Connect, FailureKind::ConnectionBroken, FailureKind::Timeout, FailureKind::ServerError];
const STEP_COUNT: usize = 1_500;

/// FNV-1a over 64-bit numbers.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn float(&mut self, value: f64) {
        self.number(value.to_bits());
    }

    fn bool(&mut self, value: bool) {
        self.number(u64::from(value));
    }

    fn text(&mut self, text: &str) {
        text.bytes().for_each(|byte| self.number(byte.into()));
        self.number(u64::MAX);
    }

    fn time(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }
}

fn error_number(error: SelectionError) -> u64 {
    match error {
        SelectionError::NoServer => 1,
        SelectionError::Saturated => 2,
    }
}

/// Returns a tuning in which the seed switches mechanisms off and sets constants.
fn tuning(seed: u64) -> Tuning {
    let is_set = |bit: u32| seed >> bit & 1 == 1;
    Tuning {
        uses_two_choices: seed % 7 != 3,
        counts_in_flight: seed % 5 != 2,
        is_peak_sensitive: !is_set(0),
        starts_at_median: !is_set(1),
        samples_failures: !is_set(2),
        uses_prefix_affinity: seed % 9 != 4,
        prefers_local_zone: seed % 6 != 1,
        ejects_outliers: seed % 8 != 5,
        normalisation: if is_set(3) { Normalisation::Plain } else { Normalisation::ByTokens },
        affinity_key: if is_set(4) { AffinityKey::MostTokens } else { AffinityKey::LastShared },
        min_in_flight_limit: if is_set(5) { 2 } else { 16 },
        in_flight_limit_factor: if is_set(5) { 0.05 } else { 8.0 },
        prefix_cache_capacity: if is_set(1) { 6 } else { 512 },
        ..Tuning::default()
    }
}

struct Simulation {
    balancer: Balancer,
    rng: Rng,
    digest: Digest,
    now: Duration,
    sequence: u64,
    listed: Vec<ServerEntry>,
    started: Vec<(ServerKey, Phase)>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            balancer: Balancer::new(tuning(seed), retry_budget_config(), seed),
            rng: Rng::with_seed(seed ^ 0x5eed),
            digest: Digest::new(),
            now: ms(0),
            sequence: 0,
            listed: Vec::new(),
            started: Vec::new(),
        }
    }

    fn run(seed: u64) -> u64 {
        let mut simulation = Simulation::new(seed);
        simulation.replace_list();
        for _ in 0..STEP_COUNT {
            simulation.now += Duration::from_micros(simulation.rng.u64(..60_000));
            simulation.step();
        }
        simulation.digest.0
    }

    fn step(&mut self) {
        match self.rng.u32(..100) {
            0..40 => self.select(),
            40..55 => self.end_attempt(),
            55..72 => self.record_observation(),
            72..78 => self.record_load_report(),
            78..82 => self.record_prefill(),
            82..90 => self.use_retry_budget(),
            90..93 => self.use_kv_transfer(),
            93..97 => self.update_list(),
            97 => self.replace_list(),
            98 => self.change_settings(),
            _ => self.digest_state(),
        }
    }

    fn random_service(&mut self) -> &'static str {
        SERVICES[usize::from(self.rng.u8(..5) == 0)]
    }

    fn random_phase(&mut self) -> Phase {
        PHASES[self.rng.usize(..3)]
    }

    /// Returns the keys of the listed servers in ascending order.
    fn keys(&self) -> Vec<ServerKey> {
        let mut keys: Vec<ServerKey> = self.balancer.server_keys().collect();
        keys.sort_unstable();
        keys
    }

    fn random_key(&mut self) -> Option<ServerKey> {
        let keys = self.keys();
        (!keys.is_empty()).then(|| keys[self.rng.usize(..keys.len())])
    }

    fn random_prompt(&mut self) -> Prompt {
        let (subject, own) = (self.rng.u8(..12), self.rng.u16(..));
        match self.rng.u8(..4) {
            0 => Prompt::default(),
            1 => Prompt::parse(Some(&format!("s-{subject}:700")), Some("900,40")),
            _ => {
                let tokens = 100 + u32::from(subject) * 130;
                let text = format!("aa:800,b{subject:x}:{tokens},{own:x}:200");
                Prompt::parse(Some(&text), Some("3000,20"))
            }
        }
    }

    fn random_entry(&mut self, number: u8) -> ServerEntry {
        let stage = [None, Some(Stage::Prefill), Some(Stage::Decode)][self.rng.usize(..3)];
        let mut entry = entry(&format!("i-{number}"), ZONES[self.rng.usize(..3)], stage);
        entry.service = self.random_service().to_owned();
        entry.slots = 1 + self.rng.u32(..64);
        entry.warmup_remaining_ms = if self.rng.u8(..4) == 0 { 3_000 } else { 0 };
        if self.rng.u8(..10) == 0 {
            entry.state = ServerState::Draining;
        }
        match self.rng.u8(..8) {
            0 => entry.models.clear(),
            1 => entry.models[0].name = "n".to_owned(),
            _ => {}
        }
        entry
    }

    fn apply(&mut self, delta: &ServerDelta) {
        let is_applied = self.balancer.apply(self.now, delta);
        self.digest.bool(is_applied);
        let TablePosition { epoch, sequence } = self.balancer.position();
        self.digest.number(epoch);
        self.digest.number(sequence);
    }

    fn replace_list(&mut self) {
        self.sequence += 1;
        let count = self.rng.u8(6..16);
        self.listed = (0..count).map(|number| self.random_entry(number)).collect();
        self.apply(&full_delta(position(1, self.sequence), self.listed.clone()));
    }

    fn update_list(&mut self) {
        let number = self.rng.u8(..20);
        let id = format!("i-{number}");
        let old = self.listed.iter().position(|entry| entry.id == id);
        let (mut entries, mut removed) = (Vec::new(), Vec::new());
        match (old, self.rng.u8(..6)) {
            (Some(at), 0) => {
                self.listed.remove(at);
                removed.push(id);
            }
            (Some(at), 1) => {
                self.listed[at].address.set_port(9_000 + u16::from(number));
                entries.push(self.listed[at].clone());
            }
            (Some(at), 2) => entries.push(self.listed[at].clone()),
            (Some(at), 3) => {
                self.listed[at].slots += 1;
                entries.push(self.listed[at].clone());
            }
            (Some(at), _) => {
                self.listed[at] = self.random_entry(number);
                entries.push(self.listed[at].clone());
            }
            (None, 0) => {
                let outdated = full_delta(position(0, 99), Vec::new());
                return self.apply(&outdated);
            }
            (None, _) => {
                let entry = self.random_entry(number);
                self.listed.push(entry.clone());
                entries.push(entry);
            }
        }
        self.sequence += 1;
        let position = position(1, self.sequence);
        self.apply(&ServerDelta { position, is_full: false, base: None, entries, removed });
    }

    fn select(&mut self) {
        let (service, phase, prompt) = (self.random_service(), self.random_phase(), self.random_prompt());
        let keys = self.keys();
        let excluded: Vec<ServerKey> = keys.into_iter().filter(|_| self.rng.u8(..12) == 0).collect();
        let query = SelectionQuery {
            service,
            phase,
            model: MODELS[self.rng.usize(..6) / 4 + self.rng.usize(..2) / 2],
            prompt: &prompt,
            preferred_zone: ZONES[self.rng.usize(..2)],
            excluded: &excluded,
            objective: ms(50 + self.rng.u64(..400)),
        };
        match self.balancer.select(self.now, &query) {
            Ok(selection) => {
                self.digest_selection(&selection);
                if self.rng.u8(..4) != 0 {
                    self.balancer.record_start(selection.key, phase);
                    self.started.push((selection.key, phase));
                    self.digest.number(self.balancer.in_flight(selection.key, phase).into());
                }
            }
            Err(error) => self.digest.number(error_number(error)),
        }
    }

    fn digest_selection(&mut self, selection: &Selection) {
        self.digest.text(&selection.id);
        self.digest.text(&selection.zone);
        self.digest.number(selection.address.port().into());
        self.digest.time(selection.estimate);
        self.digest.bool(selection.is_busy);
        self.digest.number(selection.prefill_tokens.into());
    }

    fn end_attempt(&mut self) {
        if self.started.is_empty() {
            return;
        }
        let (key, phase) = self.started.swap_remove(self.rng.usize(..self.started.len()));
        self.balancer.record_end(key, phase);
        self.digest.number(self.balancer.in_flight(key, phase).into());
    }

    fn record_observation(&mut self) {
        let (Some(key), phase) = (self.random_key(), self.random_phase()) else { return };
        let elapsed = Duration::from_micros(self.rng.u64(500..400_000));
        let work = WorkSize { tokens: f64::from(self.rng.u32(..4_000)) };
        let sample = match self.rng.u8(..10) {
            0 => Observation::Inconclusive,
            1 => Observation::Rejected,
            2 | 3 => {
                let kind = FAILURES[self.rng.usize(..4)];
                Observation::Failure { kind, elapsed, timeout: ms(self.rng.u64(..900)), work }
            }
            _ => Observation::Success { elapsed, work },
        };
        self.balancer.record_observation(self.now, key, phase, sample);
    }

    fn record_load_report(&mut self) {
        let Some(key) = self.random_key() else { return };
        if self.rng.u8(..12) == 0 {
            return self.balancer.record_misdirected(self.now, key);
        }
        let (running, waiting) = (self.rng.u32(..40), self.rng.u32(..6).saturating_sub(3));
        let text = format!("{running}, {waiting},{}", self.rng.u32(..48));
        if let Some(report) = LoadReport::parse(&text, self.now) {
            self.digest.bool(report.is_saturated());
            self.digest.bool(report.is_busy());
            self.balancer.record_load_report(key, report);
        }
    }

    fn record_prefill(&mut self) {
        let prompt = self.random_prompt();
        if let Some(key) = self.random_key() {
            self.balancer.record_prefill(self.now, key, &prompt);
        }
    }

    fn use_retry_budget(&mut self) {
        let service = self.random_service();
        if self.rng.bool() {
            return self.balancer.record_request(self.now, service);
        }
        let is_withdrawn = self.balancer.try_withdraw_retry(self.now, service);
        self.digest.bool(is_withdrawn);
    }

    fn use_kv_transfer(&mut self) {
        let service = self.random_service();
        if self.rng.bool() {
            let succeeded = self.rng.u8(..3) == 0;
            return self.balancer.record_kv_transfer(self.now, service, succeeded);
        }
        let may_transfer = self.balancer.try_kv_transfer(self.now, service);
        self.digest.bool(may_transfer);
    }

    fn change_settings(&mut self) {
        match self.rng.u8(..3) {
            0 => self.balancer.set_live_proxies(self.rng.u32(..24)),
            1 => {
                let ratio = f64::from(self.rng.u32(..40)) / 100.0;
                let config = RetryBudgetConfig { ratio, reserve: 24.0, window: ms(4_000), local_share: 0.9 };
                self.balancer.set_retry_budget(config);
            }
            _ => self.balancer.retain_services(|service| service == "service"),
        }
        self.digest.number(self.balancer.proxy_count().into());
        self.digest.number(self.balancer.reported_proxy_count().into());
    }

    fn digest_state(&mut self) {
        for load in self.balancer.in_flight_loads() {
            self.digest.text(&load.service);
            self.digest.number(load.prefill.into());
            self.digest.number(load.decode.into());
        }
        for service in SERVICES {
            self.digest.bool(self.balancer.is_disaggregated(service));
        }
        for key in self.keys() {
            self.digest.text(self.balancer.server_id(key).expect("the server is listed"));
            self.digest.bool(self.balancer.is_listed(key));
            for phase in PHASES {
                self.digest.bool(self.balancer.is_eligible(self.now, key, phase));
                self.digest.number(self.balancer.in_flight(key, phase).into());
            }
        }
        self.digest.bool(self.balancer.has_servers());
    }
}

const BALANCER_DIGESTS: [u64; 64] = [
    0xc96e_6aca_111a_98c4,
    0x759a_60a8_c071_165f,
    0x3be6_1b9a_6d1d_8d4e,
    0x1e7d_2ba1_de90_843b,
    0x1d16_6724_dcd6_8c80,
    0xbe5f_60a0_3cdf_a9c3,
    0x6e36_0f94_3b4f_78ab,
    0xa5e7_d566_c6a5_b308,
    0xffbf_3736_931a_2772,
    0x45df_0947_5eb7_ded4,
    0x3b40_da17_d008_e816,
    0xd639_501c_651d_2dc3,
    0x1c36_ba46_8e52_8f27,
    0x8d89_675a_d969_f30f,
    0x74a3_e7e9_3190_2d7a,
    0xbde6_5e36_1350_dc5a,
    0x5d79_e92c_f861_c272,
    0xe7e3_5ac9_51d3_488e,
    0xb996_ca65_a129_fcf9,
    0x3fa9_f6c8_a8f9_b25a,
    0x6a89_accf_2aad_da6e,
    0x8d61_c63f_60e9_35c1,
    0x0785_7a6b_82e2_30b2,
    0x2b86_2821_1d75_f5dd,
    0x32f5_2055_c46f_f745,
    0xfd92_ecbf_8b04_5983,
    0x1ef0_6934_b781_afab,
    0xe46a_f8e9_daa6_789e,
    0x0eee_f74b_7a52_fe66,
    0x77ac_a122_486f_603e,
    0xf599_da23_570d_26b3,
    0xb04a_d1e3_cefe_9d47,
    0x5d4c_aaa0_f747_c23f,
    0xa05e_d5b1_2118_f302,
    0x985a_f33f_b087_5469,
    0xfc0f_f34c_b197_a314,
    0x9ee3_e1fd_5870_a5ff,
    0xceae_f046_285c_c8c2,
    0x7e78_f845_4bb9_7a75,
    0x273b_14f5_7e17_4822,
    0x21c4_f8c8_1eb3_d618,
    0x540c_c3f2_1cce_9ca0,
    0x5879_34c3_bad4_e093,
    0xa27f_bc51_f38e_7eca,
    0x40c1_5b70_1a0a_22d6,
    0x4435_19a7_bea0_b3e6,
    0x3461_de9a_1bd2_a5cf,
    0xef4b_c76a_9e7a_7c80,
    0x2e63_6827_ee3c_e4cf,
    0xd528_a09c_1b73_f2e4,
    0x61d8_5ed6_db75_5c8b,
    0x52ad_fc22_5271_a543,
    0xbb37_8506_46f8_d23d,
    0xe5fa_5c94_9eda_eb2c,
    0xae64_d26d_62f7_bf4b,
    0x17f8_40de_bd3c_4a27,
    0xf5cb_f935_7b4f_02ba,
    0x8edd_0b42_99e6_f429,
    0xe031_9941_0326_4141,
    0x60dc_42ae_8493_fa15,
    0x4782_2f21_3f6f_3caf,
    0xa9e2_4670_4c60_06b1,
    0x0f83_6be1_c6dd_b35c,
    0x6df7_740e_b3ac_c8b0,
];

#[test]
fn decisions_of_seeded_balancers_are_unchanged() {
    let digests: Vec<u64> = (0..BALANCER_DIGESTS.len() as u64).map(Simulation::run).collect();
    assert!(digests == BALANCER_DIGESTS, "{digests:#018x?}");
}

fn averages(rng: &mut Rng, digest: &mut Digest) {
    let (mut average, mut now) = (PeakEwma::default(), ms(0));
    for _ in 0..400 {
        now += Duration::from_micros(rng.u64(..900_000));
        let decay = ms(rng.u64(..8_000));
        average.observe(now, decay, rng.f64() * 500.0 - 1.0, rng.bool());
        digest.float(average.value().unwrap_or(-1.0));
        digest.float(average.decayed(now + ms(rng.u64(..5_000)), decay, rng.f64() * 100.0));
    }
}

fn budgets(rng: &mut Rng, digest: &mut Digest) {
    let (mut budget, mut now) = (RetryBudget::default(), ms(0));
    for _ in 0..600 {
        now += ms(rng.u64(..120));
        if rng.u8(..3) > 0 {
            budget.deposit(now, &retry_budget_config());
        } else {
            digest.bool(budget.try_withdraw(now, &retry_budget_config(), rng.u32(..40)));
        }
    }
}

fn ejections(rng: &mut Rng, digest: &mut Digest) {
    let (mut ejection, mut now, tuning) = (OutlierEjection::default(), ms(0), Tuning::default());
    for _ in 0..400 {
        now += ms(rng.u64(..700));
        match rng.u8(..12) {
            0 => ejection.record_success(),
            1..4 => ejection.record_start(),
            4..6 => ejection.record_inconclusive(),
            _ => {
                let should_eject = ejection.record_failure(FAILURES[rng.usize(..4)], &tuning);
                digest.bool(should_eject);
                if should_eject {
                    ejection.eject(now, &tuning);
                }
            }
        }
        digest.bool(ejection.is_ejected(now));
        digest.bool(ejection.is_ejected(now + ms(rng.u64(..9_000))));
    }
}

fn kv_transfers(rng: &mut Rng, digest: &mut Digest) {
    let (mut breaker, mut now) = (KvTransferBreaker::default(), ms(0));
    for _ in 0..400 {
        now += ms(rng.u64(..200));
        if rng.bool() {
            breaker.record(now, rng.u8(..3) == 0);
        }
        digest.bool(breaker.try_acquire(now));
    }
}

fn caches(rng: &mut Rng, digest: &mut Digest) {
    let (mut cache, mut now) = (PrefixCacheTracker::default(), ms(0));
    for _ in 0..400 {
        now += ms(1 + rng.u64(..50));
        let text = format!("aa:{},{:x}:40,{:x}:{}", rng.u16(..), rng.u8(..16), rng.u16(..64), rng.u32(..));
        let prompt = Prompt::parse(Some(&text), Some("70,8"));
        digest.number(prompt.input_tokens.into());
        digest.number(cache.cached_tokens(now, &prompt, ms(600)).into());
        if rng.bool() {
            cache.record_prefill(now, &prompt, 24);
        }
        digest.number(cache.len() as u64);
        digest.bool(cache.is_empty());
    }
}

fn splits(rng: &mut Rng, digest: &mut Digest) {
    let mut splitter = TrafficSplitter::new(rng.f64() * 9.0 - 4.0);
    for _ in 0..400 {
        let sample = splitter.next_sample();
        digest.float(sample);
        let weights: Vec<f64> = (0..rng.usize(..6)).map(|_| rng.f64() * 3.0 - 1.0).collect();
        digest.number(weighted_index(weights.into_iter(), sample).map_or(u64::MAX, |index| index as u64));
        digest.number(rendezvous_weight(rng.u64(..), rng.u64(..)));
    }
}

fn attempts(rng: &mut Rng, digest: &mut Digest) {
    for _ in 0..100 {
        let mut attempts = Attempts::new(rng.bool(), rng.u32(..5), rng.u32(..4));
        for _ in 0..8 {
            // As in the proxy, an attempt is made only if it is allowed.
            if rng.bool() && attempts.may_execute() {
                attempts.record_delivery();
                if rng.bool() { attempts.record_execution() } else { attempts.record_rejection() }
            } else if attempts.may_prefill() {
                attempts.record_delivery();
                if rng.bool() { attempts.record_prefill() } else { attempts.record_prefill_failure() }
            }
            let flags = [
                attempts.may_execute(),
                attempts.may_prefill(),
                attempts.needs_retry_budget(),
                attempts.has_free_prefill(),
                attempts.is_unexecuted(),
                attempts.was_attempted(),
            ];
            flags.into_iter().for_each(|flag| digest.bool(flag));
            digest.number(attempts.executions().into());
        }
    }
}

fn units(rng: &mut Rng, digest: &mut Digest) {
    for seed in 0..16 {
        for phase in PHASES {
            digest.float(WorkSize { tokens: rng.f64() * 9_000.0 }.units(phase, &tuning(seed)));
            for stage in [None, Some(Stage::Prefill), Some(Stage::Decode)] {
                digest.bool(phase.is_served_by(stage));
            }
        }
    }
}

type Mechanism = fn(&mut Rng, &mut Digest);

#[rstest::rstest]
#[case::averages(averages, 0x62b1_b2a6_5d8e_c50f)]
#[case::budgets(budgets, 0x2f55_efc2_2891_3dc5)]
#[case::ejections(ejections, 0x16b0_d348_b8c2_0644)]
#[case::kv_transfers(kv_transfers, 0xa522_ebf4_e4b8_10a4)]
#[case::caches(caches, 0x2002_16ed_eed4_5707)]
#[case::splits(splits, 0xef9e_e508_0bad_7469)]
#[case::attempts(attempts, 0x63ba_b58a_1024_1b46)]
#[case::units(units, 0x4477_6bd5_a44e_e802)]
fn results_of_seeded_mechanisms_are_unchanged(#[case] mechanism: Mechanism, #[case] expected: u64) {
    let mut digest = Digest::new();
    for seed in 0..32 {
        mechanism(&mut Rng::with_seed(seed), &mut digest);
    }
    assert!(digest.0 == expected, "{:#018x}", digest.0);
}

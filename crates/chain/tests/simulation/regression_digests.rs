//! Regression test of the digests of whole runs. The expected digests were captured from commit 1a8c4db,
//! before its names were changed, and are independent of names in the code. Only an intended change of
//! behaviour may alter them. In that case run the test with `--nocapture`, find the reason for the
//! difference, and only then capture them again.

use crate::runs::RunKind;
use rstest::rstest;

/// The number of seeds per kind of run, starting from 0.
const SEEDS: usize = 12;

/// Runs a seed and returns the digest of the run, including its final counters and the next draw of its
/// random number generator.
fn digest_of(kind: RunKind, seed: u64) -> u64 {
    let mut cluster = kind.cluster(seed);
    cluster.transcript = Some(Default::default());
    kind.run(&mut cluster).unwrap();
    let mut transcript = cluster.transcript.take().unwrap();
    let next_draw = cluster.rng.u64(..);
    let checker = &cluster.checker;
    let (acknowledged, rejected) = (checker.acknowledged_count as u64, checker.rejected_count as u64);
    transcript.record_numbers("end", &[next_draw, cluster.newest_view, acknowledged, rejected]);
    transcript.digest()
}

#[rstest]
#[case::ordinary(RunKind::Ordinary, ORDINARY)]
#[case::dueling_proposers(RunKind::DuelingProposers, DUELING_PROPOSERS)]
#[case::graceful_leaves(RunKind::GracefulLeaves, GRACEFUL_LEAVES)]
fn runs_have_the_captured_digests(#[case] kind: RunKind, #[case] expected: [u64; SEEDS]) {
    let digests: Vec<u64> = (0..SEEDS as u64).map(|seed| digest_of(kind, seed)).collect();
    println!("{digests:#018x?}");
    assert_eq!(digests, expected);
}

const ORDINARY: [u64; SEEDS] = [
    0x0b8b_13a1_0811_6540,
    0x6797_d3dc_5c0f_a8ff,
    0x5f8b_1657_b9c9_d691,
    0x124d_b5dd_b515_26d2,
    0x7a49_8be8_18b8_b80d,
    0x240c_4dcc_235d_8910,
    0x110c_bea6_2ef1_e9ef,
    0x9958_0102_f05a_320c,
    0xe3a9_3850_84fa_9fee,
    0x1abf_baa6_df14_11a4,
    0x1f81_d19b_7ace_27ea,
    0x3d8c_b5fc_8e2f_9105,
];
const DUELING_PROPOSERS: [u64; SEEDS] = [
    0x2279_1a45_a485_2a8a,
    0x4ed4_3fc2_e55c_cbc4,
    0x2f7b_bb87_34b0_db86,
    0xcb1d_992c_289f_f776,
    0x3b09_3608_a3c6_c16a,
    0x736b_cfae_2a79_78b6,
    0xe400_71fc_f78b_90c3,
    0x326f_48d1_1066_29c4,
    0x25ec_e792_f98e_20f5,
    0x7b29_b875_c113_7db5,
    0x4e8f_13d9_e935_0d83,
    0x6cf9_27b0_4b07_1436,
];
const GRACEFUL_LEAVES: [u64; SEEDS] = [
    0xc434_b46b_350c_6db2,
    0x23b7_0d5b_8f99_3be4,
    0x3abf_bd48_4727_80f5,
    0x3caf_9173_41ac_8352,
    0x9d87_fdbe_9da3_c191,
    0x9981_46ce_ca49_bebb,
    0xfb30_2d63_e343_f2e2,
    0x1640_f61e_d020_4e1e,
    0x9621_7738_856b_4dc3,
    0x48a1_0727_a26c_b39a,
    0xea6b_27e6_7543_bc0b,
    0x063d_9c21_777e_f700,
];

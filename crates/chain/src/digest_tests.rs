//! Tests the hashes against published values, and digests that have one or both of them.

use crate::digest::{Blake3, Digest, Fnv};
use rstest::rstest;

/// The BLAKE3 values are the first 128 bits of the authors' test vectors for the empty input and a single
/// zero byte. FNV-1a of the empty input is its offset basis.
#[test]
fn hashes_match_published_vectors() {
    assert_eq!(Blake3::of(b"").to_string(), "af1349b9f5f9a1a6a0404dea36dcc949");
    assert_eq!(Blake3::of(&[0]).to_string(), "2d3adedff11b61f14c886e35afa03673");
    assert_eq!(Fnv::of(b""), Fnv(0x6c62_272e_07bb_0142, 0x62b8_2175_6295_c58d));
}

#[test]
fn hash_of_parts_equals_hash_of_their_concatenation() {
    assert_eq!(Blake3::of_parts([&b"one"[..], b"", b"two"]), Blake3::of(b"onetwo"));
}

fn without_blake3(text: &str) -> Digest {
    Digest { blake3: None, ..Digest::of(text.as_bytes()) }
}

/// A digest with the same FNV-1a hash and a different BLAKE3 hash, as from a deliberate FNV-1a collision.
fn with_colliding_fnv(text: &str) -> Digest {
    Digest { blake3: Some(Blake3(1, 2)), ..Digest::of(text.as_bytes()) }
}

#[rstest]
#[case::same(Digest::of(b"text"), true)]
#[case::other(Digest::of(b"other"), false)]
#[case::of_an_earlier_version(without_blake3("text"), true)]
#[case::other_of_an_earlier_version(without_blake3("other"), false)]
#[case::collision_of_the_older_hash(with_colliding_fnv("text"), false)]
fn digests_match_by_the_strongest_common_hash(#[case] digest: Digest, #[case] matches: bool) {
    assert_eq!(digest.matches(&Digest::of(b"text")), matches);
    assert_eq!(Digest::of(b"text").matches(&digest), matches);
    assert_eq!(digest.matches_bytes(b"text"), matches);
}

#[test]
fn digest_of_earlier_version_is_completed_only_by_its_own_bytes() {
    assert_eq!(without_blake3("text").with_blake3(b"text"), Digest::of(b"text"));
    assert_eq!(without_blake3("text").with_blake3(b"other"), without_blake3("text"));
    assert_eq!(with_colliding_fnv("text").with_blake3(b"text"), with_colliding_fnv("text"));
}

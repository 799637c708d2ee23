//! The hashes against published values, and digests with one or both of them.

use crate::digest::{Blake3, Digest, Fnv};
use rstest::rstest;

/// BLAKE3 of nothing and of one zero byte begins so in the test vectors of its authors; FNV-1a of nothing is its offset.
#[test]
fn hashes_match_published_vectors() {
    assert_eq!(Blake3::of(b"").to_string(), "af1349b9f5f9a1a6a0404dea36dcc949");
    assert_eq!(Blake3::of(&[0]).to_string(), "2d3adedff11b61f14c886e35afa03673");
    assert_eq!(Fnv::of(b""), Fnv(0x6c62_272e_07bb_0142, 0x62b8_2175_6295_c58d));
}

#[test]
fn parts_hash_like_their_concatenation() {
    assert_eq!(Blake3::of_parts([&b"one"[..], b"", b"two"]), Blake3::of(b"onetwo"));
}

fn of_earlier_version(text: &str) -> Digest {
    Digest { blake3: None, ..Digest::of(text.as_bytes()) }
}

/// The same older hash under another newer one, as somebody could make it on purpose.
fn collided(text: &str) -> Digest {
    Digest { blake3: Some(Blake3(1, 2)), ..Digest::of(text.as_bytes()) }
}

#[rstest]
#[case::same(Digest::of(b"text"), true)]
#[case::other(Digest::of(b"other"), false)]
#[case::of_an_earlier_version(of_earlier_version("text"), true)]
#[case::other_of_an_earlier_version(of_earlier_version("other"), false)]
#[case::collision_of_the_older_hash(collided("text"), false)]
fn digests_match_by_the_strongest_common_hash(#[case] digest: Digest, #[case] matches: bool) {
    assert_eq!(digest.matches(&Digest::of(b"text")), matches);
    assert_eq!(Digest::of(b"text").matches(&digest), matches);
    assert_eq!(digest.fits(b"text"), matches);
}

#[test]
fn digest_of_earlier_version_is_completed_only_by_its_own_bytes() {
    assert_eq!(of_earlier_version("text").completed(b"text"), Digest::of(b"text"));
    assert_eq!(of_earlier_version("text").completed(b"other"), of_earlier_version("text"));
    assert_eq!(collided("text").completed(b"text"), collided("text"));
}

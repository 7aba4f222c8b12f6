//! Hash maps with a fast hasher, and the stable hash that placement uses.

use std::hash::Hasher as _;

/// A hash map with a fast, non-cryptographic hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, non-cryptographic hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Returns a 64-bit hash of `parts` that is the same in every process of a release.
///
/// Placement depends on it, so hosts of one fleet must run the same algorithm.
/// The final mixing step (SplitMix64) compensates for the weak low bits of the fast hasher.
pub fn stable<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    mix(hasher.finish())
}

/// Mixes the bits of `x` (SplitMix64's finalizer).
pub const fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

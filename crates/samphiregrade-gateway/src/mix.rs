//! A cheap hash of two numbers, the same on every instance: for orders that all draw alike without a word between them.

/// Mixes two numbers (the finisher of splitmix64, public domain).
pub(crate) fn hash_pair(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

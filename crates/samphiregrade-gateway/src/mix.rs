//! A cheap hash of two numbers that is the same on every instance, so that all instances compute the same order without
//! communication.

/// Hashes two numbers with the finalizer of splitmix64 (public domain).
pub(crate) fn hash_pair(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

//! Versions of the store over its eras.
//!
//! A store that comes back from an older copy gives versions out again and raises its era. A version
//! is therefore only compared together with its era: the two are packed into one number, of which that
//! of a later era is always higher. An era of 0 stands for a store that names none.

/// The bits of a packed version that hold the version itself, enough for ten thousand writes a second
/// over three years.
const VERSION_BITS: u32 = 40;

/// Packs an era and a version of the store within that era.
pub fn pack(era: u64, version: u64) -> u64 {
    (era << VERSION_BITS) | (version & ((1 << VERSION_BITS) - 1))
}

/// Returns the era of a packed version.
pub fn era(packed: u64) -> u64 {
    packed >> VERSION_BITS
}

/// Returns the version within its era, as the store knows it.
pub fn within_era(packed: u64) -> u64 {
    packed & ((1 << VERSION_BITS) - 1)
}

//! Merging of replies by the order of their records.

use bytes::Bytes;

/// Returns the `top` greatest records of `parts`, in descending order.
///
/// Records are `size` bytes each and are compared byte by byte; an incomplete record at the end
/// of a part is ignored. Duplicate records are kept.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a Bytes>, size: usize, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(size)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat().into()
}

//! Binary differences between two versions of an object.
//!
//! Objects are JSON lists, and a change usually affects few entries. The bytes are compared in
//! chunks that end at `}`, where entries end, so this works for any type of object.

use rattanmast_model::{exchange::Piece, hash::Map, store::MAX_VALUE_BYTES};

/// Returns the pieces that produce `new` when applied to `old`.
pub fn diff(old: &[u8], new: &[u8]) -> Vec<Piece> {
    let old_chunks: Vec<(usize, &[u8])> = chunks(old).collect();
    let mut index: Map<&[u8], usize> = Map::default();
    for (i, (_, chunk)) in old_chunks.iter().enumerate() {
        index.entry(chunk).or_insert(i);
    }
    let mut pieces = Vec::new();
    let mut next = 0;
    for (_, chunk) in chunks(new) {
        let follows = old_chunks.get(next).is_some_and(|(_, c)| *c == chunk);
        let found = if follows {
            Some(next)
        } else {
            index.get(chunk).copied()
        };
        match found {
            Some(i) => {
                push_copy(&mut pieces, old_chunks[i].0, chunk.len());
                next = i + 1;
            }
            None => push_insert(&mut pieces, chunk),
        }
    }
    pieces
}

/// Applies `pieces` to `old`.
///
/// Returns `None` if a piece is out of range or the result exceeds [`MAX_VALUE_BYTES`].
pub fn apply(old: &[u8], pieces: &[Piece]) -> Option<Vec<u8>> {
    let mut new = Vec::with_capacity(old.len());
    for piece in pieces {
        let bytes = match piece {
            Piece::Copy(start, len) => {
                let start = usize::try_from(*start).ok()?;
                let end = start.checked_add(usize::try_from(*len).ok()?)?;
                old.get(start..end)?
            }
            Piece::Insert(bytes) => bytes,
        };
        if new.len() + bytes.len() > MAX_VALUE_BYTES {
            return None;
        }
        new.extend_from_slice(bytes);
    }
    Some(new)
}

fn chunks(bytes: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut start = 0;
    bytes.split_inclusive(|b| *b == b'}').map(move |chunk| {
        let at = start;
        start += chunk.len();
        (at, chunk)
    })
}

fn push_copy(pieces: &mut Vec<Piece>, start: usize, len: usize) {
    // Values are at most 1 MB, so offsets fit into 32 bits.
    let (start, len) = (start as u32, len as u32);
    match pieces.last_mut() {
        Some(Piece::Copy(s, l)) if *s + *l == start => *l += len,
        _ => pieces.push(Piece::Copy(start, len)),
    }
}

fn push_insert(pieces: &mut Vec<Piece>, bytes: &[u8]) {
    match pieces.last_mut() {
        Some(Piece::Insert(last)) => last.extend_from_slice(bytes),
        _ => pieces.push(Piece::Insert(bytes.to_vec())),
    }
}

//! Settings of the root.

use std::time::Duration;

/// The limits that the root keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The most queries in hand at a time, by rank, as `Rank::ALL`.
    pub in_hand: [usize; 3],
    /// The most rows held for one query; parts beyond it are reported missing.
    pub rows: usize,
    /// Time kept back at each hop for the way back.
    pub hop_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // 530,000 queries a second over 2,200 hosts at 100 ms each are 24 in hand.
            in_hand: [512, 256, 128],
            rows: 100_000,
            // One way between failure domains takes about 1.5 ms.
            hop_margin: Duration::from_millis(2),
        }
    }
}

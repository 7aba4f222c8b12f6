//! Leaf access: limits, ranks, replica choice, hedging.

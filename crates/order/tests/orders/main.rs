//! Tests of orders in a fleet in memory.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod claims;
mod faults;
mod log;
mod sim;

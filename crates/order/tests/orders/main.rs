//! Tests of orders in a simulated fleet.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod claims;
mod faults;
mod log;
mod sim;

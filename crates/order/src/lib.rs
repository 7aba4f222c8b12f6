//! Orders: claims, tickets and outcomes.
//!
//! An order runs at most once, and an order that is reported as not run did not run.
//! The idempotency key of an order is claimed in a log in the platform store before the
//! order is sent to a leaf. A ticket is redeemed only by the process that issued it, so
//! it needs no store.

mod claim_log;
pub mod key;
mod orders;
mod partition;
mod reader;
mod record;
mod refusal;
mod registry;
mod root;
mod send;
pub mod settings;
mod stats;
mod table;
pub mod ticket;

pub use orders::{Orders, Request};
pub use settings::Settings;
pub use stats::Stats;

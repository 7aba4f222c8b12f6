//! Orders: claims, tickets and outcomes.
//!
//! An order runs at most once, and an order that is refused as not run was not
//! run. The key of an order is claimed in a log in the platform's store before
//! the order is sent to a leaf; a ticket is redeemed by the process that issued it.

pub mod key;
mod ledger;
mod log;
mod orders;
mod partition;
mod reader;
mod record;
mod refusal;
mod root;
mod send;
pub mod settings;
mod stats;
mod table;
pub mod ticket;

pub use orders::{Orders, Submit};
pub use settings::Settings;
pub use stats::Stats;

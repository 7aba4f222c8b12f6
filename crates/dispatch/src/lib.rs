//! Leaf access: everything one host decides about the leafs it dispatches to.

mod dispatcher;
mod settings;
mod stats;

pub use dispatcher::Dispatcher;
pub use settings::Settings;
pub use stats::Stats;

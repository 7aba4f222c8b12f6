//! The in-memory stand-ins, driven by tokio's clock.

pub use crate::{
    clock::Wall,
    data::Data,
    fleet::{Connector, Fleet, Link},
    store::Store,
};

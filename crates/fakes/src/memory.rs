//! The in-memory stand-ins, driven by tokio's clock.

pub use crate::{
    clock::Wall,
    data::Data,
    fleet::{Connection, Connector, Fleet},
    store::Store,
};

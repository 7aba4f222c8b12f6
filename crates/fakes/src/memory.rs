//! The stand-ins in memory, on tokio's clock.

pub use crate::{
    clock::Wall,
    data::Data,
    fleet::{Connector, Fleet, Link},
    store::Store,
};

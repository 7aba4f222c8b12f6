//! The entry host.

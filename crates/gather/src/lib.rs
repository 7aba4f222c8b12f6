//! Queries: snapshots, coverage, routing, merging.

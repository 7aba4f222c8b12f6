//! Configuration, plans, membership and its spreading.

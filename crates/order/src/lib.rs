//! Orders: claims, tickets and outcomes.

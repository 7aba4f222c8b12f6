//! Protocols of rattanmast.

//! Stand-ins for the platform, leafs and a faulty network.

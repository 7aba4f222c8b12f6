//! Command-line options of the stand-ins, not yet validated.

use bpaf::Bpaf;

/// Stands in for the platform's object service.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("rattanmast-platform"), version)]
pub struct Platform {
    /// IP address to listen on
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_ADDRESS"),
        argument("IP"),
        fallback("127.0.0.1".into()),
        display_fallback
    )]
    pub address: String,
    /// Port to listen on; 0 picks a free one
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_PORT"),
        argument("PORT"),
        fallback("16000".into()),
        display_fallback
    )]
    pub port: String,
    /// Installation whose objects are loaded at start: norway or switzerland
    #[bpaf(long, env("RATTANMAST_PLATFORM_PRESET"), argument("NAME"))]
    pub preset: Option<String>,
    /// Minimum latency of a call, in milliseconds
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_LATENCY_MIN_MS"),
        argument("MS"),
        fallback("2".into()),
        display_fallback
    )]
    pub latency_min_ms: String,
    /// Maximum latency of a call, in milliseconds
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_LATENCY_MAX_MS"),
        argument("MS"),
        fallback("8".into()),
        display_fallback
    )]
    pub latency_max_ms: String,
    /// Seed for all random choices
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_SEED"),
        argument("NUMBER"),
        fallback("1".into()),
        display_fallback
    )]
    pub seed: String,
    /// Least severe level that is logged: off, error, warn, info, debug or trace
    #[bpaf(
        long,
        env("RATTANMAST_PLATFORM_LOG"),
        argument("LEVEL"),
        fallback("info".into()),
        display_fallback
    )]
    pub log: String,
}

/// Stands in for leafs of an installation.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("rattanmast-leaf"), version)]
pub struct Leaf {
    /// IP address to listen on
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_ADDRESS"),
        argument("IP"),
        fallback("127.0.0.1".into()),
        display_fallback
    )]
    pub address: String,
    /// Port of the first leaf, the others follow; 0 picks free ones
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_PORT"),
        argument("PORT"),
        fallback("20000".into()),
        display_fallback
    )]
    pub port: String,
    /// Port of the admin paths; 0 picks a free one
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_ADMIN_PORT"),
        argument("PORT"),
        fallback("16001".into()),
        display_fallback
    )]
    pub admin_port: String,
    /// Installation whose leafs are served: norway or switzerland
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_PRESET"),
        argument("NAME"),
        fallback("norway".into()),
        display_fallback
    )]
    pub preset: String,
    /// Index of the first served leaf in the installation, from 0
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_FIRST"),
        argument("NUMBER"),
        fallback("0".into()),
        display_fallback
    )]
    pub first: String,
    /// Difference between the indexes of successive served leafs
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_STEP"),
        argument("NUMBER"),
        fallback("1".into()),
        display_fallback
    )]
    pub step: String,
    /// Maximum number of leafs to serve; by default all from the first one
    #[bpaf(long, env("RATTANMAST_LEAF_LEAFS"), argument("NUMBER"))]
    pub leafs: Option<String>,
    /// Median service time, in microseconds
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_MEDIAN_US"),
        argument("US"),
        fallback("4000".into()),
        display_fallback
    )]
    pub median_us: String,
    /// Seed for all random choices
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_SEED"),
        argument("NUMBER"),
        fallback("1".into()),
        display_fallback
    )]
    pub seed: String,
    /// Least severe level that is logged: off, error, warn, info, debug or trace
    #[bpaf(
        long,
        env("RATTANMAST_LEAF_LOG"),
        argument("LEVEL"),
        fallback("info".into()),
        display_fallback
    )]
    pub log: String,
}

/// Forwards TCP connections and injects faults.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("rattanmast-faults"), version)]
pub struct Faults {
    /// IP address of the admin paths
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_ADDRESS"),
        argument("IP"),
        fallback("127.0.0.1".into()),
        display_fallback
    )]
    pub address: String,
    /// Port of the admin paths; 0 picks a free one
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_PORT"),
        argument("PORT"),
        fallback("16002".into()),
        display_fallback
    )]
    pub port: String,
    /// Routes, such as 127.0.0.1:0=127.0.0.1:8080, separated by commas
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_ROUTES"),
        argument("LISTEN=TARGET,..."),
        fallback(String::new())
    )]
    pub routes: String,
    /// Time to keep the target side of a silent connection open, in milliseconds
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_HOLD_MS"),
        argument("MS"),
        fallback("15000".into()),
        display_fallback
    )]
    pub hold_ms: String,
    /// Seed for all random choices
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_SEED"),
        argument("NUMBER"),
        fallback("1".into()),
        display_fallback
    )]
    pub seed: String,
    /// Least severe level that is logged: off, error, warn, info, debug or trace
    #[bpaf(
        long,
        env("RATTANMAST_FAULTS_LOG"),
        argument("LEVEL"),
        fallback("info".into()),
        display_fallback
    )]
    pub log: String,
}

//! Tests of the command lines.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::process::{Command, Output};

const PLATFORM: &str = env!("CARGO_BIN_EXE_rattanmast-platform");
const LEAF: &str = env!("CARGO_BIN_EXE_rattanmast-leaf");
const FAULTS: &str = env!("CARGO_BIN_EXE_rattanmast-faults");

fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().unwrap()
}

/// Runs a program that must reject its settings; returns its error output.
fn refused(program: &str, args: &[&str]) -> String {
    let output = run(program, args);
    assert_eq!(output.status.code(), Some(2), "{args:?}");
    assert!(output.stdout.is_empty());
    String::from_utf8(output.stderr).unwrap()
}

/// Guards against an invalid setting that is accepted, or an error that omits its name or remedy.
#[test]
fn wrong_settings_are_named() {
    insta::assert_snapshot!(refused(PLATFORM, &["--port", "x"]), @"error: --port is `x`; set it (or RATTANMAST_PLATFORM_PORT) to a port from 0 to 65535");
    insta::assert_snapshot!(refused(PLATFORM, &["--preset", "sweden"]), @"error: --preset is `sweden`; set it (or RATTANMAST_PLATFORM_PRESET) to norway or switzerland");
    insta::assert_snapshot!(refused(PLATFORM, &["--latency-max-ms", "1"]), @"error: --latency-max-ms is `1`; set it (or RATTANMAST_PLATFORM_LATENCY_MAX_MS) to at least --latency-min-ms");
    insta::assert_snapshot!(refused(LEAF, &["--first", "107"]), @"error: --first is `107`; set it (or RATTANMAST_LEAF_FIRST) to less than the number of leafs of the installation");
    insta::assert_snapshot!(refused(LEAF, &["--step", "0"]), @"error: --step is `0`; set it (or RATTANMAST_LEAF_STEP) to a whole number from 1 to 65535");
    insta::assert_snapshot!(refused(LEAF, &["--port", "65500"]), @"error: --port is `65500`; set it (or RATTANMAST_LEAF_PORT) to a port that leaves room for all leafs below 65536");
    insta::assert_snapshot!(refused(FAULTS, &["--routes", "a=b"]), @"error: --routes is `a=b`; set it (or RATTANMAST_FAULTS_ROUTES) to pairs such as 127.0.0.1:0=127.0.0.1:8080, separated by commas");
    insta::assert_snapshot!(refused(FAULTS, &["--hold-ms=-1"]), @"error: --hold-ms is `-1`; set it (or RATTANMAST_FAULTS_HOLD_MS) to a whole number of milliseconds, at most 3600000");
}

/// Guards against environment variables that are ignored.
#[test]
fn settings_come_from_the_environment() {
    let output = Command::new(LEAF)
        .env("RATTANMAST_LEAF_SEED", "many")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("--seed is `many`")
    );
}

/// Guards against help that fails or omits settings or their environment variables.
#[test]
fn help_shows_settings() {
    for program in [PLATFORM, LEAF, FAULTS] {
        let output = run(program, &["--help"]);
        assert_eq!(output.status.code(), Some(0));
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains("--seed") && text.contains("[env:RATTANMAST_"));
    }
}

/// Guards against a failure to listen that is reported as a different error.
#[test]
fn unusable_addresses_are_named() {
    let output = run(PLATFORM, &["--address", "192.0.2.1", "--port", "0"]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.starts_with("error: cannot listen on 192.0.2.1:0"));
}

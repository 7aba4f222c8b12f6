//! Parsing and validation of intents.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use rattanmast_model::{config::Priority, rank::Rank};
use rattanmast_state::intent::{self, Fault};

const GOOD: &str = r#"
[floors]
urgent = 0.5
routine = 0.2
intake = 0.05

[[host]]
name = "a1"
domain = "ostland"
http = "10.0.0.1:8080"
hop = "10.0.0.1:8081"
exchange = "10.0.0.1:8082"

[[collection]]
name = "registry"
services = 20
leafs = 2
slots = 2
connections = 25
open_ms = 6

[[search]]
name = "hollow"
collection = "registry"
priority = "coverage"
least_coverage = 0.9
longest_wait_ms = 400

[[caller]]
name = "bench"
key_sha256 = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
rank = "urgent"
searches = ["hollow"]
orders = ["registry"]
"#;

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Returns the error for the valid intent with `old` replaced by `new`.
fn fault(old: &str, new: &str) -> intent::Error {
    assert!(GOOD.contains(old));
    let error = intent::parse("norway.toml", &GOOD.replacen(old, new, 1));
    error.expect_err("the intent has a fault")
}

/// Guards against fields that are lost while parsing.
#[test]
fn good_intent_is_read_whole() {
    let intent = intent::parse("norway.toml", GOOD).unwrap();
    assert_eq!(intent.hosts[0].domain, "ostland");
    assert_eq!(intent.collections[0].limits.connections, 25);
    assert_eq!(intent.searches[0].priority, Priority::Coverage);
    assert_eq!(intent.callers[0].rank, Rank::Urgent);
    assert_eq!(intent.callers[0].orders, ["registry"]);
    assert!((intent.floors.routine - 0.2).abs() < 1e-9);
}

/// Guards against errors without file, line or remedy.
#[test]
fn errors_name_file_line_and_remedy() {
    let error = fault("collection = \"registry\"", "collection = \"regsitry\"");
    assert_eq!(
        error.to_string(),
        "norway.toml:24: collection regsitry is not declared; declare it or remove the reference"
    );
    let error = fault("open_ms = 6", "open_ms = six");
    assert_eq!((error.file.as_str(), error.line), ("norway.toml", 20));
    let error = fault("open_ms = 6", "open_ms = 6\nspeed = 1");
    assert_eq!(error.line, 21);
    assert!(error.to_string().contains("unknown field `speed`"));
}

/// Guards against storing a caller's plaintext key, or quoting it in an error.
#[test]
fn plain_keys_are_refused_and_not_repeated() {
    let line = format!("key_sha256 = \"{HASH}\"");
    let cases = [
        "key = \"hunter2-secret\"",
        "key_sha256 = \"hunter2-secret\"",
        "key_sha256 = 774411",
        "key_sha256 = [\"hunter2-secret\"]",
        "key_sha256 = { hunter2-secret = 774411 }",
        "key = 774411",
        "key = hunter2-secret",
        "key_sha256 = hunter2-secret",
        "keys = \"hunter2-secret\"",
    ];
    for case in cases {
        let error = fault(&line, case).to_string();
        let shown = error.contains("hunter2") || error.contains("774411");
        assert!(!shown, "{case} gives {error}");
    }
    assert!(matches!(
        fault(&line, cases[0]).fault,
        Fault::PlaintextKey(_)
    ));
    assert!(matches!(
        fault(&line, cases[1]).fault,
        Fault::InvalidHash(_)
    ));
}

/// Guards against names, numbers and references that hosts could not use.
#[test]
fn faults_are_found() {
    let is = |error: intent::Error, fault: &str| {
        assert!(error.to_string().contains(fault), "{error}");
    };
    is(fault("\"a1\"", "\"A 1\""), "name of this host");
    is(fault("\"bench\"", "\"\""), "name of this caller");
    is(fault("8081", "8080"), "used twice");
    is(fault("8082", "0"), "port 0");
    is(
        fault("services = 20", "services = 0"),
        "services is out of bounds",
    );
    is(
        fault("least_coverage = 0.9", "least_coverage = 1.5"),
        "from 0.0 to 1.0",
    );
    is(
        fault("least_coverage = 0.9", "least_coverage = nan"),
        "from 0.0 to 1.0",
    );
    is(fault("urgent = 0.5", "urgent = -0.1"), "floors.urgent");
    is(
        fault("[\"hollow\"]", "[\"holow\"]"),
        "search holow is not declared",
    );
    is(
        fault("[\"registry\"]", "[\"x\"]"),
        "collection x is not declared",
    );
    let caller = GOOD.find("[[caller]]").unwrap();
    let twice = format!("{GOOD}{}", &GOOD[caller..]);
    let error = intent::parse("f", &twice).unwrap_err();
    assert_eq!(error.fault, Fault::Duplicate("caller", "bench".into()));
    let error = intent::parse("f", &twice.replacen("bench", "other", 1)).unwrap_err();
    assert_eq!(error.fault, Fault::DuplicateKey("bench".into()));
}

/// Guards against a panic on arbitrary bytes, and on a valid intent with arbitrary corruption.
#[test]
fn any_bytes_are_read_or_refused() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<u8>, u16, u16)>()
        .for_each(|(bytes, start, len)| {
            let noise = String::from_utf8_lossy(bytes);
            intent::parse("noise", &noise).ok();
            let start = usize::from(*start) % GOOD.len();
            let end = (start + usize::from(*len) % 16).min(GOOD.len());
            let spoilt = format!("{}{noise}{}", &GOOD[..start], &GOOD[end..]);
            if let Err(error) = intent::parse("noise", &spoilt) {
                assert!(error.line >= 1 && error.line <= spoilt.matches('\n').count() + 1);
            }
        });
}

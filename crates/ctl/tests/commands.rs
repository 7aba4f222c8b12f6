//! Runs the commands as processes against a platform in the test process.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rattanmast_fakes::{memory::Store, platform, serve, store::Faults};
use tokio::runtime::Runtime;

const INTENT: &str = r#"
[[host]]
name = "h1"
domain = "ostland"
http = "127.0.0.1:9"
hop = "127.0.0.1:10"
exchange = "127.0.0.1:11"

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
least_coverage = 0.9
longest_wait_ms = 400

[[caller]]
name = "bench"
key_sha256 = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
rank = "urgent"
searches = ["hollow"]
"#;

/// A platform in memory, and a directory for intents and plans.
struct Fixture {
    runtime: Runtime,
    store: Store,
    platform: String,
    dir: PathBuf,
}

impl Fixture {
    fn new(test: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let store = Store::new(1);
        let served_store = store.clone();
        let platform = runtime.block_on(async {
            let (listener, addr) = serve::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
            tokio::spawn(serve::serve_connections(listener, move |request| {
                let store = served_store.clone();
                async move { platform::handle(&store, request).await }
            }));
            addr.to_string()
        });
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&dir).unwrap();
        Self {
            runtime,
            store,
            platform,
            dir,
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rattanmast-ctl"));
        command
            .env_clear()
            .env("RATTANMAST_PLATFORM", &self.platform);
        command.env("USER", "anna").args(args).output().unwrap()
    }

    /// Plans the intent `text`; returns the path of the plan file.
    fn plan(&self, name: &str, text: &str) -> String {
        let intent = self.file(&format!("{name}.toml"), text);
        let plan = self.dir.join(format!("{name}.json"));
        let plan = plan.to_str().unwrap().to_owned();
        let output = self.run(&["plan", &intent, "--out", &plan]);
        assert_eq!(code(&output), 0, "{output:?}");
        plan
    }
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn error(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against a `confirm` that reports acceptance although no watcher has the change.
#[test]
fn change_without_watchers_is_not_accepted() {
    let fixture = Fixture::new("unaccepted");
    let plan = fixture.plan("first", INTENT);
    let output = fixture.run(&["confirm", &plan, "--wait", "0"]);
    assert_eq!(code(&output), 7, "{output:?}");
    let shown = text(&output);
    assert!(
        shown.contains("written, not yet accepted; watchers without it: h1"),
        "{shown}"
    );
    assert!(!shown.contains('\x1b'), "colours are for terminals only");
    let output = fixture.run(&["status", "--json"]);
    assert_eq!(code(&output), 8);
    // A roster change must wait until the previous version is accepted.
    let more = INTENT.replacen("[[collection]]", "[[host]]\nname = \"h2\"\ndomain = \"x\"\nhttp = \"127.0.0.1:12\"\nhop = \"127.0.0.1:13\"\nexchange = \"127.0.0.1:14\"\n[[collection]]", 1);
    let plan = fixture.plan("more", &more);
    let output = fixture.run(&["confirm", &plan, "--wait", "0"]);
    assert_eq!(code(&output), 3, "{output:?}");
    assert!(error(&output).contains("not yet accepted"));
}

/// Guards against exit codes that do not tell what happened to a change.
#[test]
fn exit_codes_tell_what_happened() {
    let fixture = Fixture::new("codes");
    let first = fixture.plan("first", INTENT);
    fixture.run(&["confirm", &first, "--wait", "0"]);
    let slow = fixture.plan("slow", &INTENT.replace("= 400", "= 500"));
    let fast = fixture.plan("fast", &INTENT.replace("= 400", "= 300"));
    assert_eq!(
        code(&fixture.run(&["confirm", &slow, "--wait", "0", "--json"])),
        7
    );
    let raced = fixture.run(&["confirm", &fast, "--by", "beat"]);
    assert_eq!(code(&raced), 4);
    assert!(error(&raced).contains("anna made version 2: ~ search hollow longest_wait_ms"));
    let altered = fs::read_to_string(&fast)
        .unwrap()
        .replace("urgent", "intake");
    let altered = fixture.file("altered.json", &altered);
    assert_eq!(code(&fixture.run(&["confirm", &altered])), 2);
    let floors = format!("[floors]\nurgent = 0.9\nroutine = 0.2\nintake = 0.1\n{INTENT}");
    let floors = fixture.file("floors.toml", &floors);
    assert_eq!(code(&fixture.run(&["plan", &floors])), 3);
    assert_eq!(code(&fixture.run(&["confirm"])), 2);
    assert_eq!(code(&fixture.run(&["explain", "nothing"])), 2);
    fixture.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(code(&fixture.run(&["history"])), 5);
    drop(fixture.runtime);
}

/// Guards against a plain key in the output, and against an error without file and line.
#[test]
fn plain_key_is_refused_without_showing_it() {
    let fixture = Fixture::new("key");
    let intent = INTENT.replace("key_sha256 = \"0", "key = \"hunter2");
    let output = fixture.run(&["plan", &fixture.file("key.toml", &intent)]);
    assert_eq!(code(&output), 2);
    assert!(
        error(&output).contains("key.toml:25: caller bench has a plain key"),
        "{output:?}"
    );
    assert!(!error(&output).contains("hunter2"));
}

/// Guards against `history` and `explain` output that does not match the current configuration.
#[test]
fn history_and_explain_show_what_is_in_force() {
    let fixture = Fixture::new("history");
    for ms in [400, 500] {
        let plan = fixture.plan("plan", &INTENT.replace("= 400", &format!("= {ms}")));
        fixture.run(&["confirm", &plan, "--wait", "0"]);
    }
    let plan = fixture.dir.join("back.json");
    let plan = plan.to_str().unwrap();
    assert_eq!(
        code(&fixture.run(&["plan", "--rollback", "1", "--out", plan])),
        0
    );
    fixture.run(&["confirm", plan, "--wait", "0", "--by", "beat"]);
    let shown = text(&fixture.run(&["history", "--count", "2"]));
    assert!(shown.starts_with("version 3 by beat at 20"), "{shown}");
    assert!(
        shown.contains("~ search hollow longest_wait_ms: 500 -> 400 (for bench)"),
        "{shown}"
    );
    assert!(!shown.contains("version 1 "), "{shown}");
    let shown = text(&fixture.run(&["explain", "hollow"]));
    assert!(shown.contains("waits 400 ms at most"), "{shown}");
    let shown = text(&fixture.run(&["explain", "h1"]));
    assert!(
        shown.contains("candidate dispatcher of 20 services as first choice"),
        "{shown}"
    );
}

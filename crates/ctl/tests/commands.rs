//! The commands, run as operators run them, against a platform in this process.

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

/// A platform, and a directory for the operator's files.
struct Desk {
    runtime: Runtime,
    store: Store,
    platform: String,
    dir: PathBuf,
}

impl Desk {
    fn new(test: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let store = Store::new(1);
        let served = store.clone();
        let platform = runtime.block_on(async {
            let (listener, addr) = serve::listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
            tokio::spawn(serve::forever(listener, move |request| {
                let store = served.clone();
                async move { platform::answer(&store, request).await }
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

    /// Plans `text`; returns the plan's file.
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

/// Guards against a confirm that claims acceptance when no watcher has the change.
#[test]
fn change_without_watchers_is_not_accepted() {
    let desk = Desk::new("unaccepted");
    let plan = desk.plan("first", INTENT);
    let output = desk.run(&["confirm", &plan, "--wait", "0"]);
    assert_eq!(code(&output), 7, "{output:?}");
    let shown = text(&output);
    assert!(
        shown.contains("written, not yet accepted; watchers without it: h1"),
        "{shown}"
    );
    assert!(!shown.contains('\x1b'), "colours are for terminals only");
    let output = desk.run(&["status", "--json"]);
    assert_eq!(code(&output), 8);
    // A roster change must not follow before that.
    let more = INTENT.replacen("[[collection]]", "[[host]]\nname = \"h2\"\ndomain = \"x\"\nhttp = \"127.0.0.1:12\"\nhop = \"127.0.0.1:13\"\nexchange = \"127.0.0.1:14\"\n[[collection]]", 1);
    let plan = desk.plan("more", &more);
    let output = desk.run(&["confirm", &plan, "--wait", "0"]);
    assert_eq!(code(&output), 3, "{output:?}");
    assert!(error(&output).contains("not yet accepted"));
}

/// Guards against operators who cannot tell by the exit code what happened to their change.
#[test]
fn exit_codes_tell_what_happened() {
    let desk = Desk::new("codes");
    let first = desk.plan("first", INTENT);
    desk.run(&["confirm", &first, "--wait", "0"]);
    let slow = desk.plan("slow", &INTENT.replace("= 400", "= 500"));
    let fast = desk.plan("fast", &INTENT.replace("= 400", "= 300"));
    assert_eq!(
        code(&desk.run(&["confirm", &slow, "--wait", "0", "--json"])),
        7
    );
    let raced = desk.run(&["confirm", &fast, "--by", "beat"]);
    assert_eq!(code(&raced), 4);
    assert!(error(&raced).contains("anna made version 2: ~ search hollow longest_wait_ms"));
    let altered = fs::read_to_string(&fast)
        .unwrap()
        .replace("urgent", "intake");
    let altered = desk.file("altered.json", &altered);
    assert_eq!(code(&desk.run(&["confirm", &altered])), 2);
    let floors = format!("[floors]\nurgent = 0.9\nroutine = 0.2\nintake = 0.1\n{INTENT}");
    let floors = desk.file("floors.toml", &floors);
    assert_eq!(code(&desk.run(&["plan", &floors])), 3);
    assert_eq!(code(&desk.run(&["confirm"])), 2);
    assert_eq!(code(&desk.run(&["explain", "nothing"])), 2);
    desk.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(code(&desk.run(&["history"])), 5);
    drop(desk.runtime);
}

/// Guards against a plain key in the output, and an error without file and line.
#[test]
fn plain_key_is_refused_without_showing_it() {
    let desk = Desk::new("key");
    let intent = INTENT.replace("key_sha256 = \"0", "key = \"hunter2");
    let output = desk.run(&["plan", &desk.file("key.toml", &intent)]);
    assert_eq!(code(&output), 2);
    assert!(
        error(&output).contains("key.toml:25: caller bench has a plain key"),
        "{output:?}"
    );
    assert!(!error(&output).contains("hunter2"));
}

/// Guards against a history and explanations that do not show what is in force.
#[test]
fn history_and_explain_show_what_is_in_force() {
    let desk = Desk::new("history");
    for ms in [400, 500] {
        let plan = desk.plan("plan", &INTENT.replace("= 400", &format!("= {ms}")));
        desk.run(&["confirm", &plan, "--wait", "0"]);
    }
    let plan = desk.dir.join("back.json");
    let plan = plan.to_str().unwrap();
    assert_eq!(
        code(&desk.run(&["plan", "--rollback", "1", "--out", plan])),
        0
    );
    desk.run(&["confirm", plan, "--wait", "0", "--by", "beat"]);
    let shown = text(&desk.run(&["history", "--count", "2"]));
    assert!(shown.starts_with("version 3 by beat at 20"), "{shown}");
    assert!(
        shown.contains("~ search hollow longest_wait_ms: 500 -> 400 (for bench)"),
        "{shown}"
    );
    assert!(!shown.contains("version 1 "), "{shown}");
    let shown = text(&desk.run(&["explain", "hollow"]));
    assert!(shown.contains("waits 400 ms at most"), "{shown}");
    let shown = text(&desk.run(&["explain", "h1"]));
    assert!(shown.contains("dispatches to 20 services first"), "{shown}");
}

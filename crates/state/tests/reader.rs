//! Reading of the platform's objects by one host, whose updates are not always taken at once.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "cuts/origin.rs"]
#[expect(dead_code, reason = "other tests use the rest of the store")]
mod origin;

use std::time::Duration;

use origin::{Access, Link, Store, number};
use rattanmast_model::feed::{Origin as _, Update};
use rattanmast_state::{follow::PlatformReader as _, reader::Reader, staleness::Limits};
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// Time by which a change must be in force.
const BOUND: Duration = Duration::from_secs(3);

/// Time within which a change arrives in spite of failed or slow calls.
const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// A reader, its store, and the updates that it reports.
struct Env {
    store: Store,
    link: Link,
    updates: mpsc::Receiver<Update>,
    reading: JoinHandle<()>,
}

impl Drop for Env {
    fn drop(&mut self) {
        self.reading.abort();
    }
}

impl Env {
    /// Starts a reader, and takes its updates until it has read everything.
    async fn start() -> Self {
        let store = Store::new();
        store.advance(Access::CONFIG);
        store.advance(Access::LEAFS);
        let link = Link::new();
        let (sink, updates) = mpsc::channel(1);
        let reader = Reader {
            origin: Access {
                store: store.clone(),
                link: link.clone(),
            },
            limits: Limits::new(BOUND),
        };
        let reading = tokio::spawn(async move { reader.read(sink).await });
        let mut env = Self {
            store,
            link,
            updates,
            reading,
        };
        env.take_for(Duration::from_secs(4)).await;
        env
    }

    /// Takes updates for some time.
    async fn take_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while let Ok(Some(_)) = tokio::time::timeout_at(end, self.updates.recv()).await {}
    }

    /// Takes updates until the newest leafs arrive.
    async fn take_newest_leafs(&mut self) {
        let newest = Some(self.store.newest_at(Access::LEAFS, Instant::now()));
        while leafs(&self.updates.recv().await.unwrap()) != newest {}
    }
}

/// Returns the number of the leafs in an update, if it has any.
fn leafs(update: &Update) -> Option<u64> {
    let objects = match update {
        Update::All { kind, objects, .. } if kind == Access::LEAFS => objects,
        Update::Changes { kind, put, .. } if kind == Access::LEAFS => put,
        _ => return None,
    };
    objects.iter().map(number).max()
}

/// Guards against changes that are never applied: their revision was recorded, and the read was ended by
/// the failure of another one before they were passed on.
#[tokio::test(start_paused = true)]
async fn changes_are_passed_on_although_another_read_fails_meanwhile() {
    let mut env = Env::start().await;
    // Answers about the configuration fill the channel, so that the next update has to wait.
    sleep(Duration::from_millis(500)).await;
    env.store.advance(Access::LEAFS);
    sleep(Duration::from_secs(1)).await;
    env.store.end_watches();
    sleep(Duration::from_secs(1)).await;
    let arrived = timeout(RECOVERY_TIME, env.take_newest_leafs()).await;
    assert!(arrived.is_ok(), "the change of the leafs does not arrive");
}

/// Guards against a check of the leafs that never ends because each further request for one drops it,
/// while the platform answers slowly.
#[tokio::test(start_paused = true)]
async fn leafs_are_read_although_their_answers_take_longer_than_the_refresh_interval() {
    let mut env = Env::start().await;
    env.link.delay_leafs(Duration::from_millis(1_500));
    env.take_for(RECOVERY_TIME).await;
    env.store.advance(Access::LEAFS);
    let arrived = timeout(RECOVERY_TIME, env.take_newest_leafs()).await;
    assert!(arrived.is_ok(), "the change of the leafs does not arrive");
}

/// Guards against a reader that calls its state current although it holds only the first of many changes,
/// so that its followers keep to it.
#[tokio::test(start_paused = true)]
async fn a_part_of_the_changes_is_not_called_current() {
    let mut env = Env::start().await;
    let mut held = env.store.newest_at(Access::LEAFS, Instant::now());
    env.link.delay_leafs(Duration::from_millis(200));
    for _ in 0..200 {
        env.store.advance(Access::LEAFS);
    }
    let newest = env.store.newest_at(Access::LEAFS, Instant::now());
    while held < newest {
        let update = timeout(RECOVERY_TIME, env.updates.recv()).await.unwrap();
        let update = update.unwrap();
        held = held.max(leafs(&update).unwrap_or_default());
        if let Update::Current(at) = update {
            let due = env.store.newest_at(Access::LEAFS, at);
            assert!(held >= due, "has leafs {held}, {due} were there by then");
        }
    }
}

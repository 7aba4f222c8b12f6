//! Tests of the in-memory leaf.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use rattanmast_fakes::{
    clock::Wall,
    data::Data,
    memory::Fleet,
    model::{Faults, Settings},
    records,
};
use rattanmast_model::{
    catalog::Snapshot,
    host::Incarnation,
    leaf::{self, Connection as _, Connector as _, Error, SearchReply, Searcher as _},
    preset::Preset,
    range::KEY_SPACE,
    rank::Rank,
    request,
};
use smol_str::SmolStr;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

const COLLECTION: &str = "blade-profile-registry";
const LONG: Duration = Duration::from_secs(60);

struct Env {
    data: Data,
    fleet: Fleet,
    ids: request::Generator,
    wall: Wall,
}

impl Env {
    fn new(seed: u64) -> Self {
        let data = Data::new(Preset::norway());
        let wall = Wall::simulated();
        Self {
            fleet: Fleet::new(&data, Settings::default(), wall, seed),
            data,
            ids: request::Generator::new("test", Incarnation(1)),
            wall,
        }
    }

    fn leaf(&self) -> &leaf::Leaf {
        &self.data.leafs.leafs[0]
    }

    fn model(&self) -> &rattanmast_fakes::model::Leaf {
        self.fleet.leaf(&self.leaf().name)
    }

    async fn open(&self) -> leaf::Result<rattanmast_fakes::memory::Connection> {
        let connector = self.fleet.connector("norway-1", "ostland");
        connector.open(self.leaf()).await
    }

    fn search(&self, snapshot: u64) -> leaf::Search {
        leaf::Search {
            id: self.ids.next(),
            collection: COLLECTION.into(),
            snapshot: Snapshot(snapshot),
            ranges: vec![KEY_SPACE],
            text: SmolStr::default(),
            rank: Rank::Routine,
            budget_ms: 1_000,
            trace: None,
        }
    }

    fn order(&self, key: &str) -> leaf::Order {
        leaf::Order {
            id: self.ids.next(),
            key: key.into(),
            collection: COLLECTION.into(),
            action: "sharpen".into(),
            record: "r-0001".into(),
            rank: Rank::Routine,
            not_after_ms: self.wall.now_ms() + 2_000,
            trace: None,
        }
    }
}

/// Guards against a catalog whose record counts differ from what leafs return.
#[tokio::test(start_paused = true)]
async fn counts_of_the_catalog_are_exact() {
    let env = Env::new(1);
    let part = env.data.newest(COLLECTION).parts[0].clone();
    let mut link = env.open().await.unwrap();
    let found = link.search(&env.search(1)).await.unwrap();
    assert_eq!(found.parts.len(), 1);
    assert_eq!(found.parts[0].range, part.range);
    assert_eq!(found.parts[0].records, part.records);
    assert_eq!(found.parts[0].rows.len() as u64, part.records);
    let whole = records::count(COLLECTION, Snapshot(1), KEY_SPACE);
    assert_eq!(env.data.newest(COLLECTION).records(), whole);
}

/// Guards against snapshots with identical records, and a `Gone` that lists the wrong snapshots.
#[tokio::test(start_paused = true)]
async fn snapshots_differ_and_old_ones_go() {
    let mut env = Env::new(1);
    let first = records::rows(COLLECTION, Snapshot(1), KEY_SPACE, "");
    let second = records::rows(COLLECTION, Snapshot(2), KEY_SPACE, "");
    assert_ne!(first.len(), second.len());
    env.data.publish(COLLECTION);
    env.data.publish(COLLECTION);
    env.fleet.load_holdings(&env.data);
    let mut link = env.open().await.unwrap();
    let error = link.search(&env.search(1)).await.unwrap_err();
    let Error::Gone { holds, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(holds, [Snapshot(2), Snapshot(3)]);
}

/// Guards against more concurrent work than slots, and an unbounded queue.
#[tokio::test(start_paused = true)]
async fn work_beyond_slots_and_queue_is_shed() {
    let env = Env::new(1);
    let mut links = Vec::new();
    for _ in 0..14 {
        links.push(env.open().await.unwrap());
    }
    let mut tasks = JoinSet::new();
    for mut link in links {
        let search = env.search(1);
        tasks.spawn(async move { link.search(&search).await });
    }
    let results: Vec<leaf::Result<SearchReply>> = tasks.join_all().await;
    let shed = results
        .iter()
        .filter(|r| matches!(r, Err(Error::Shed { .. })));
    assert_eq!(shed.count(), 4, "2 slots and 8 waiting of 14");
    assert_eq!(env.model().counters().searches, 10);
}

/// Guards against connections beyond the limit, and closed connections that still count.
#[tokio::test(start_paused = true)]
async fn connections_are_limited() {
    let env = Env::new(1);
    let mut links = Vec::new();
    for _ in 0..25 {
        links.push(env.open().await.unwrap());
    }
    assert_eq!(env.open().await.unwrap_err(), Error::Full);
    assert!(links.pop().unwrap().close(LONG).await);
    drop(links.pop());
    sleep(Duration::from_millis(10)).await;
    assert_eq!(env.model().connections(), 23);
}

/// Guards against a silent connection that answers, or stops counting before its timeout.
#[tokio::test(start_paused = true)]
async fn silent_connections_never_answer_and_still_count() {
    let env = Env::new(1);
    let mut old = env.open().await.unwrap();
    env.model().silence_connections();
    let search = env.search(1);
    assert!(timeout(LONG, old.search(&search)).await.is_err());
    env.model().silence_connections();
    let mut new = env.open().await.unwrap();
    new.search(&env.search(1)).await.unwrap();
    let mut old = env.open().await.unwrap();
    env.model().silence_connections();
    let order = env.order("never-arrives");
    assert!(
        timeout(Duration::from_secs(1), old.order(&order))
            .await
            .is_err()
    );
    assert!(!old.close(Duration::from_secs(1)).await);
    assert_eq!(env.model().connections(), 2);
    assert!(env.model().runs().is_empty());
    sleep(Settings::default().silent_timeout).await;
    assert_eq!(env.model().connections(), 0);
}

/// Guards against a search that continues after it was dropped or cancelled.
#[tokio::test(start_paused = true)]
async fn dropping_and_cancelling_free_the_slot() {
    let env = Env::new(1);
    let slow = Faults {
        factor: 100.0,
        ..Faults::default()
    };
    env.model().set_faults(slow);
    let (mut first, mut second) = (env.open().await.unwrap(), env.open().await.unwrap());
    let search = env.search(1);
    let short = Duration::from_millis(20);
    assert!(timeout(short, first.search(&search)).await.is_err());
    let search = env.search(1);
    let (result, cancelled) = tokio::join!(first.search(&search), async {
        sleep(short).await;
        second.cancel(search.id).await
    });
    assert!(matches!(result, Err(Error::Failed { .. })));
    cancelled.unwrap();
    assert_eq!(env.model().counters().cancelled, 2);
    assert!(env.model().counters().busy_us < 100_000);
}

/// Guards against an order that begins after its deadline, or is interrupted once it has begun.
#[tokio::test(start_paused = true)]
async fn orders_begin_in_time_and_run_to_the_end() {
    let env = Env::new(1);
    let mut link = env.open().await.unwrap();
    let late = env.order("late");
    sleep(Duration::from_secs(3)).await;
    let error = link.order(&late).await.unwrap_err();
    assert!(matches!(error, Error::Expired { .. }));
    let order = env.order("dropped");
    let short = Duration::from_millis(2);
    assert!(timeout(short, link.order(&order)).await.is_err());
    link.order(&env.order("whole")).await.unwrap();
    let lose = Faults {
        lose_reply: 1.0,
        ..Faults::default()
    };
    env.model().set_faults(lose);
    let error = link.order(&env.order("lost")).await.unwrap_err();
    assert!(matches!(error, Error::Broken { .. }));
    let runs = env.model().runs();
    let keys: Vec<_> = runs.iter().map(|(k, n)| (k.as_str(), *n)).collect();
    assert_eq!(keys, [("dropped", 1), ("lost", 1), ("whole", 1)]);
}

/// Guards against a draining or stopped leaf that accepts work, and a restart that keeps the
/// incarnation.
#[tokio::test(start_paused = true)]
async fn leaving_stopping_and_restarting() {
    let env = Env::new(1);
    let mut link = env.open().await.unwrap();
    let before = env.model().load().incarnation;
    env.model().set_draining(true);
    let error = link.search(&env.search(1)).await.unwrap_err();
    assert!(matches!(error, Error::Leaving { load } if load.draining));
    env.model().stop();
    let error = link.search(&env.search(1)).await.unwrap_err();
    assert!(matches!(error, Error::Broken { .. }));
    let error = env.open().await.unwrap_err();
    assert!(matches!(error, Error::Connect { .. }));
    env.model().restart();
    let found = env.open().await.unwrap().search(&env.search(1)).await;
    assert!(found.unwrap().load.incarnation > before);
}

/// Guards against runs that differ despite equal seeds.
#[tokio::test(start_paused = true)]
async fn equal_seeds_give_equal_times() {
    let mut traces = Vec::new();
    for seed in [7, 7, 8] {
        let env = Env::new(seed);
        let mut link = env.open().await.unwrap();
        let start = tokio::time::Instant::now();
        for _ in 0..20 {
            link.search(&env.search(1)).await.unwrap();
        }
        traces.push(start.elapsed());
    }
    assert_eq!(traces[0], traces[1]);
    assert_ne!(traces[0], traces[2]);
}

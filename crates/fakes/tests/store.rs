//! Tests of the in-memory object service and of the objects of an installation.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use rattanmast_fakes::{
    data::Data,
    memory::Store,
    store::{Calls, Faults},
};
use rattanmast_model::{
    preset::Preset,
    range::{KEY_SPACE, Set},
    store::{Error, Store as _, Version},
};
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(60);

/// Guards against lost updates and double creations.
#[tokio::test(start_paused = true)]
async fn writes_are_conditional() {
    let store = Store::new(1);
    let first = store.create("a", b"1").await.unwrap();
    let error = store.create("a", b"2").await.unwrap_err();
    assert!(matches!(error, Error::Conflict { .. }));
    let second = store.update("a", first, b"3").await.unwrap();
    assert!(second > first);
    let error = store.update("a", first, b"4").await.unwrap_err();
    assert!(matches!(error, Error::Conflict { .. }));
    assert_eq!(store.get("a").await.unwrap().value, b"3");
    store.delete("a").await.unwrap();
    let error = store.update("a", second, b"5").await.unwrap_err();
    assert!(matches!(error, Error::NotFound { .. }));
    assert!(store.create("a", b"6").await.unwrap() > second);
    let large = vec![0; (1 << 20) + 1];
    let error = store.create("b", &large).await.unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }));
}

/// Guards against a watch that misses a change or returns an outdated version.
#[tokio::test(start_paused = true)]
async fn watches_see_changes() {
    let store = Store::new(1);
    let version = store.write_now("a", b"1");
    let start = Instant::now();
    assert_eq!(store.watch("a", version, LONG).await.unwrap(), None);
    assert!(start.elapsed() >= LONG);
    let (seen, ()) = tokio::join!(store.watch("a", version, LONG), async {
        sleep(Duration::from_secs(1)).await;
        store.write_now("b", b"other");
        store.write_now("a", b"2");
    });
    assert_eq!(seen.unwrap().unwrap().value, b"2");
    let seen = store.watch("a", Version(0), LONG).await;
    assert_eq!(seen.unwrap().unwrap().value, b"2");
}

/// Guards against calls that succeed during an outage, and a lost response whose write is undone.
#[tokio::test(start_paused = true)]
async fn outages_and_lost_answers() {
    let store = Store::new(1);
    let faults = Faults {
        lose_next: 1,
        ..Faults::default()
    };
    store.set_faults(faults);
    let error = store.create("a", b"1").await.unwrap_err();
    assert!(matches!(error, Error::ResponseLost { .. }));
    let version = store.get("a").await.unwrap().version;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let (seen, ()) = tokio::join!(store.watch("a", version, LONG), async {
        sleep(Duration::from_secs(1)).await;
        store.set_faults(down);
    });
    assert!(matches!(seen, Err(Error::Unavailable { .. })));
    let error = store.update("a", version, b"2").await.unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }));
    store.set_faults(Faults::default());
    assert_eq!(store.get("a").await.unwrap().value, b"1");
    let cut = store.client("h1");
    store.set_cut("h1", true);
    assert!(matches!(cut.get("a").await, Err(Error::Unavailable { .. })));
    store.get("a").await.unwrap();
    let mine = Calls {
        get: 1,
        ..Calls::default()
    };
    assert_eq!(store.client_calls("h1"), mine);
    assert_eq!(store.calls().total(), 7);
}

/// Guards against a list that contains names without the prefix, or is not sorted.
#[tokio::test(start_paused = true)]
async fn lists_by_prefix() {
    let store = Store::new(1);
    for name in ["b/2", "b/1", "a", "c"] {
        store.write_now(name, name.as_bytes());
    }
    let listed = store.list("b/").await.unwrap();
    let names: Vec<_> = listed.into_iter().map(|o| o.name).collect();
    assert_eq!(names, ["b/1", "b/2"]);
}

/// Guards against overlaps, gaps or wrong record counts after parts are split, moved and merged.
#[test]
fn moved_data_covers_all_keys() {
    for preset in [Preset::norway(), Preset::switzerland()] {
        let collection = preset.search_collection;
        let mut data = Data::new(preset);
        let total = data.newest(collection).records();
        data.split_part(collection, 3);
        data.move_part(collection, 4, 0);
        data.merge_parts(collection, 9);
        let version = data.newest(collection);
        let mut keys = Set::new();
        for part in &version.parts {
            assert!(!keys.overlaps(part.range));
            keys.insert(part.range);
        }
        assert!(keys.covers(KEY_SPACE));
        assert_eq!(version.records(), total);
        assert_eq!(version.parts[4].service, 0);
        let objects = data.objects();
        assert_eq!(objects.len(), 8);
        assert!(objects.iter().all(|(_, value)| value.len() < 1 << 20));
    }
}

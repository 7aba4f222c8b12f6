//! Matching of replies to requests.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bolero::TypeGenerator;
use common::{Bench, each_paused_case, is_complete, stub::Connector};
use rattanmast_fakes::model;
use rattanmast_model::{
    catalog::Snapshot,
    host::Incarnation,
    leaf::{Load, Part, Search, SearchReply},
    peer::Cause,
    range::{KEY_SPACE, Range, Set},
    rank::Rank,
};
use tokio::time::sleep;

/// A reply that may be wrong.
#[derive(Clone, Debug, TypeGenerator)]
struct Reply {
    id: bool,
    snapshot: bool,
    /// First key and width of each part, in sixteenths of the key space; may lie outside it.
    parts: Vec<(u8, u8)>,
}

impl Reply {
    fn parts(&self) -> Vec<Range> {
        let unit = KEY_SPACE.end / 16;
        let range = |(start, width): &(u8, u8)| {
            let start = u64::from(start % 18) * unit;
            Range::new(start, start + u64::from(width % 8) * unit)
        };
        self.parts.iter().map(range).collect()
    }

    fn to(&self, search: &Search) -> SearchReply {
        let mut found = SearchReply {
            id: search.id,
            snapshot: search.snapshot,
            parts: Vec::new(),
            load: Load::default(),
        };
        found.id.sequence += u64::from(!self.id);
        found.snapshot.0 += u64::from(!self.snapshot);
        found.parts = self
            .parts()
            .into_iter()
            .map(|range| Part {
                range,
                records: 1,
                rows: Vec::new(),
            })
            .collect();
        found
    }
}

async fn check_reply(reply: &Reply) {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let answer = reply.clone();
    let connector = Connector::new(Duration::from_millis(1), move |s| Ok(answer.to(s)));
    let dispatcher = connector.dispatcher(&bench).await;
    let message = bench.subquery(Rank::Urgent, 100);
    let got = dispatcher.subquery(message.clone()).await;
    assert_eq!((got.id, got.snapshot), (message.id, message.snapshot));
    let mut accepted = Set::new();
    for part in &got.parts {
        assert!(KEY_SPACE.covers(part.range) && !accepted.overlaps(part.range));
        accepted.insert(part.range);
    }
    if reply.id && reply.snapshot {
        assert_eq!(got.misses.is_empty(), accepted.covers(KEY_SPACE));
        assert_eq!(connector.closed.load(Ordering::Relaxed), 0);
    } else {
        assert!(got.parts.is_empty() && got.begun);
        assert_eq!(got.misses[0].cause, Cause::Unreachable);
        sleep(Duration::from_millis(10)).await;
        assert_eq!(connector.closed.load(Ordering::Relaxed), 1);
        assert_eq!(dispatcher.stats().mismatches, 1);
    }
}

/// Guards against replies to other requests, of other snapshots, outside the requested ranges or
/// with overlapping parts, and against connections that are reused after a mismatch.
#[test]
fn only_matching_replies_are_accepted() {
    each_paused_case(500, async |reply: Reply| check_reply(&reply).await);
}

/// Guards against accepting misdirected replies under concurrent load.
#[tokio::test(start_paused = true)]
async fn misdirected_replies_are_dropped() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let faults = model::Faults {
        misdirect: 0.2,
        ..Default::default()
    };
    bench.leaf(0).set_faults(faults);
    let second = Duration::from_secs(1);
    let replies = bench
        .run_load(&dispatcher, Rank::Routine, 300.0, second)
        .await;
    assert!(dispatcher.stats().mismatches > 0);
    assert!(
        replies
            .iter()
            .all(|(r, _)| is_complete(r) || r.parts.is_empty())
    );
}

/// Guards against a missing snapshot that is reported without those that the leafs hold.
#[tokio::test(start_paused = true)]
async fn a_snapshot_that_is_gone_is_reported_with_those_held() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    let mut message = bench.subquery(Rank::Routine, 200);
    message.snapshot = Snapshot(9);
    let reply = dispatcher.subquery(message).await;
    assert_eq!(reply.misses[0].cause, Cause::Gone(vec![Snapshot(1)]));
    assert!(!reply.begun);
}

/// Guards against a replica without data that attracts all searches because it answers fastest.
#[tokio::test(start_paused = true)]
async fn what_one_replica_lacks_is_asked_of_another() {
    let bench = Bench::new(2, model::Settings::default(), 1);
    let dispatcher = bench.dispatcher(0).await;
    bench.leaf(0).set_holdings([(Snapshot(1), Set::new())]);
    for _ in 0..50 {
        let reply = dispatcher
            .subquery(bench.subquery(Rank::Routine, 200))
            .await;
        assert!(is_complete(&reply), "{reply:?}");
    }
    bench.leaf(1).set_holdings([(Snapshot(1), Set::new())]);
    let reply = dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    assert_eq!(reply.misses[0].cause, Cause::Moved);
    assert_eq!(reply.sent, 2);
}

/// Guards against a restarted leaf that gets the limit learned from its previous process.
#[tokio::test(start_paused = true)]
async fn a_restarted_leaf_starts_cold() {
    let bench = Bench::new(1, model::Settings::default(), 1);
    let run = Arc::new(AtomicU64::new(1));
    let shown = Arc::clone(&run);
    let connector = Connector::new(Duration::from_millis(4), move |search| {
        let (id, snapshot, parts) = (true, true, Vec::new());
        let mut found = Reply {
            id,
            snapshot,
            parts,
        }
        .to(search);
        found.load.incarnation = Incarnation(shown.load(Ordering::Relaxed));
        Ok(found)
    });
    let dispatcher = connector.dispatcher(&bench).await;
    dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    run.store(2, Ordering::Relaxed);
    dispatcher
        .subquery(bench.subquery(Rank::Routine, 200))
        .await;
    for _ in 0..8 {
        let (d, m) = (dispatcher.clone(), bench.subquery(Rank::Routine, 200));
        tokio::spawn(async move { d.subquery(m).await });
    }
    sleep(Duration::from_millis(2)).await;
    assert_eq!(dispatcher.stats().in_flight, 1);
}

//! Entries of leafs that expire while their source is unavailable.

use std::time::Duration;

use rattanmast_model::{catalog::Service, host::State, leaf::Leaf};
use rattanmast_state::listing::Listing;
use tokio::time::{Instant, advance};

fn leaf(name: &str) -> Leaf {
    Leaf {
        name: name.into(),
        addr: ([127, 0, 0, 1], 80).into(),
        domain: "east".into(),
        service: Service {
            collection: "registry".into(),
            index: 0,
        },
        state: State::Live,
    }
}

fn names(listing: &Listing) -> Vec<String> {
    let leafs = listing.leafs().leafs;
    leafs.iter().map(|l| l.name.to_string()).collect()
}

/// Guards against keeping a leaf whose entry is removed while the source answers.
#[tokio::test(start_paused = true)]
async fn a_removed_leaf_is_gone_at_once() {
    let mut listing = Listing::new();
    listing.replace(vec![leaf("a"), leaf("b")], Instant::now());
    listing.remove("a", Instant::now());
    assert_eq!(names(&listing), ["b"]);
    listing.replace(vec![leaf("c")], Instant::now());
    assert_eq!(names(&listing), ["c"]);
}

/// Guards against losing all leafs because their entries expired during an outage.
#[tokio::test(start_paused = true)]
async fn leafs_that_lapse_in_an_outage_may_come_back() {
    let mut listing = Listing::new();
    listing.replace(vec![leaf("a"), leaf("b")], Instant::now());
    listing.record_outage(Instant::now());
    assert!(!listing.is_current());
    advance(Duration::from_secs(60)).await;
    assert_eq!(
        listing.record_recovery(Instant::now()),
        Some(Duration::from_secs(60))
    );
    listing.replace(Vec::new(), Instant::now());
    assert_eq!(names(&listing), ["a", "b"]);
    advance(Duration::from_secs(1)).await;
    listing.put(leaf("a"));
    advance(Duration::from_secs(2)).await;
    assert!(listing.deadline().is_some_and(|due| due <= Instant::now()));
    assert_eq!(listing.drop_expired(Instant::now()), ["b"]);
    assert_eq!(names(&listing), ["a"]);
    assert_eq!(listing.deadline(), None);
}

/// Guards against keeping dead leafs after an outage that is too short for entries to expire.
#[tokio::test(start_paused = true)]
async fn a_short_cut_keeps_no_leaf() {
    let mut listing = Listing::new();
    listing.replace(vec![leaf("a")], Instant::now());
    listing.record_outage(Instant::now());
    advance(Duration::from_millis(300)).await;
    listing.record_recovery(Instant::now());
    listing.replace(Vec::new(), Instant::now());
    assert!(names(&listing).is_empty());
}

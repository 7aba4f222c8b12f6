//! Lookup of routes by authority and longest path prefix.

use std::time::Duration;

use rattanmast_model::{
    catalog::{Service, Snapshot},
    rank::Rank,
    route::{Destination, Route, Table, Target},
};

fn route(authority: &str, prefix: &str) -> Route {
    let service = Service {
        collection: "billing".into(),
        index: 0,
    };
    Route {
        name: prefix.into(),
        authority: authority.into(),
        prefix: prefix.into(),
        idempotent: true,
        max_attempts: 2,
        longest_wait: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        rank: Rank::Routine,
        target: Target::One(vec![Destination {
            service,
            weight: 1.0,
        }]),
    }
}

/// Guards against a route that shadows a more specific one, and against a match on the route of
/// another authority.
#[test]
fn the_longest_prefix_of_the_authority_is_found() {
    let routes = ["/a/", "/a/b/", "/"].map(|prefix| route("Shop.example", prefix));
    let table = Table::new(Snapshot(3), routes);
    let find = |authority, path| table.find(authority, path).map(|r| r.name.as_str());
    let found = [
        find("shop.example", "/a/b/c"),
        find("SHOP.example", "/a/bc"),
        find("shop.example", "/a"),
        find("other.example", "/a/b/c"),
    ];
    assert_eq!(found, [Some("/a/b/"), Some("/a/"), Some("/"), None]);
}

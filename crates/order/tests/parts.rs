//! Property tests of keys, tickets and the duplicate filter.

use std::{collections::BTreeSet, time::Duration};

use bolero::check;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rattanmast_model::{
    dedup,
    host::Incarnation,
    peer::{Order, Step},
    rank::Rank,
    request,
};
use rattanmast_order::{
    key,
    ticket::{Issuer, Ticket},
};

/// Calls `test` with generators of fixed seeds.
fn with_seeds(test: impl Fn(SmallRng) + std::panic::RefUnwindSafe) {
    let seeds = check!().exhaustive().with_generator(0..2_000u64).cloned();
    seeds.for_each(|seed| test(SmallRng::seed_from_u64(seed)));
}

/// Guards against keys that are parsed as another time, and input that makes the parser panic.
#[test]
fn keys_carry_their_time() {
    with_seeds(|mut rng| {
        let ms = rng.random::<u64>() >> 16;
        let (a, b) = (rng.random_range(0..0x1000), rng.random::<u64>() >> 16);
        let (high, low) = (ms >> 16, ms & 0xffff);
        let text = format!("{high:08x}-{low:04x}-7{a:03x}-a000-{b:012x}");
        assert_eq!(key::parse(&text), Ok(ms));
        assert_eq!(key::parse(&text.to_uppercase()), Ok(ms));
        let mut changed = text.clone();
        changed.replace_range(14..15, "4");
        assert_eq!(key::parse(&changed), Err(key::Error::Malformed));

        let mut garbage = text.into_bytes();
        let position = rng.random_range(0..garbage.len());
        garbage[position] = rng.random();
        garbage.truncate(rng.random_range(0..40));
        let garbage = String::from_utf8_lossy(&garbage);
        assert!(key::parse(&garbage).is_err() || garbage.len() == 36);
        let _ = Ticket::parse(&format!("ticket.{garbage}"));
    });
}

/// Guards against tickets that a caller forges or changes.
#[test]
fn changed_tickets_are_not_genuine() {
    let window = Duration::from_secs(600);
    with_seeds(|mut rng| {
        let mut issuer = Issuer::new("h.1".into(), Incarnation(7), rng.random());
        let text = issuer.issue("a");
        assert!(issuer.is_genuine("a", &text, window) && !issuer.is_genuine("b", &text, window));
        assert_eq!(Ticket::parse(&text).map(|t| t.host), Some("h.1".into()));
        let mut bytes = text.as_bytes().to_vec();
        let position = rng.random_range(0..bytes.len());
        bytes[position] = rng.random_range(0..128);
        let changed = String::from_utf8_lossy(&bytes);
        let genuine = issuer.is_genuine("a", &changed, window);
        assert_eq!(genuine, *changed == *text, "{changed}");
    });
}

/// Guards against a message that is accepted twice, in any order of arrival.
#[test]
fn messages_are_admitted_at_most_once() {
    let template = Order {
        id: request::Generator::new("root", Incarnation(1)).next(),
        target: Incarnation(5),
        step: Step::Claim,
        key: "k".into(),
        caller: "a".into(),
        collection: "c".into(),
        action: "x".into(),
        record: "r".into(),
        rank: Rank::Urgent,
        budget_ms: 1,
        not_after_ms: 1,
        trace: None,
    };
    with_seeds(|mut rng| {
        let mut filter = dedup::Filter::new(Incarnation(5));
        let mut admitted = BTreeSet::new();
        let sequence_range = 1 << rng.random_range(1..16);
        for _ in 0..200 {
            let mut message = template.clone();
            message.id.incarnation = Incarnation(rng.random_range(0..100) / 50);
            message.id.sequence = rng.random_range(1..=sequence_range);
            if filter.admit(&message).is_ok() {
                assert!(admitted.insert(message.id), "{:?}", message.id);
            }
        }
        assert!(!admitted.is_empty());
    });
}

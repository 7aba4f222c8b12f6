//! Storage of objects, differences between versions, and untrusted input.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use bincode::Options as _;
use rattanmast_model::{
    exchange::{Body, Digest, Fetch, Message, Piece, Reply, Update},
    store::Version,
};
use rattanmast_state::{
    delta, record,
    table::{Error, Table},
};

#[expect(dead_code, reason = "each test file uses its own part")]
mod support;

use support::Fleet;

fn bytes(version: u64) -> Vec<u8> {
    serde_json::to_vec(&support::config(&support::hosts(50, 3), version)).unwrap()
}

fn table(version: u64) -> Table {
    let mut table = Table::default();
    let object = Version(version * 10);
    table
        .offer(record::CURRENT_CONFIG, object, bytes(version))
        .unwrap();
    table
}

fn fetch(have: u64) -> Fetch {
    Fetch {
        wants: vec![(record::CURRENT_CONFIG.into(), Version(have))],
    }
}

/// Guards against differences that do not reproduce the new bytes.
#[test]
fn changes_make_the_new_bytes() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<u8>, Vec<u8>, u8)>()
        .for_each(|(old, new, mode)| {
            // A small alphabet with the end of entries, so that chunks repeat.
            let narrow = |b: &u8| b"ab}"[usize::from(*b) % 3];
            let old: Vec<u8> = old.iter().map(narrow).collect();
            let mut new: Vec<u8> = new.iter().map(narrow).collect();
            if mode % 2 == 0 {
                new = [&old[..old.len() / 2], &new, &old[old.len() / 2..]].concat();
            }
            let pieces = delta::diff(&old, &new);
            assert_eq!(delta::apply(&old, &pieces), Some(new));
        });
}

/// Guards against a panic or unbounded memory use on arbitrary pieces.
#[test]
fn any_pieces_are_applied_or_refused() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<u8>, Vec<(u32, u32, bool)>)>()
        .for_each(|(old, pieces)| {
            let piece = |(a, b, copy): &(u32, u32, bool)| match copy {
                true => Piece::Copy(*a, *b),
                false => Piece::Insert(a.to_le_bytes().to_vec()),
            };
            let pieces: Vec<Piece> = pieces.iter().map(piece).collect();
            delta::apply(old, &pieces);
        });
}

/// Guards against sending whole objects where differences suffice: a configuration of 2,200 hosts
/// has hundreds of kilobytes.
#[test]
fn small_change_is_sent_as_a_change() {
    let mut new = table(1);
    new.offer(record::CURRENT_CONFIG, Version(20), bytes(2))
        .unwrap();
    new.offer(record::CURRENT_CONFIG, Version(30), bytes(3))
        .unwrap();
    for (have, steps) in [(10, 2), (20, 1)] {
        let update = new.updates(&fetch(have)).remove(0);
        // A step replaces one entry: the version is in the same chunk as the first host.
        assert!(
            update.max_encoded_len() < steps * 250,
            "{}",
            update.max_encoded_len()
        );
        assert!(matches!(&update.body, Body::Steps(s) if s.len() == steps));
        let mut old = table(have / 10);
        assert!(old.receive(update).unwrap());
        assert_eq!(old.view().config.version.0, 3);
        assert_eq!(old.summary(), new.summary());
    }
    let update = new.updates(&fetch(5)).remove(0);
    assert!(matches!(update.body, Body::Whole(_)));
    assert!(new.updates(&fetch(30)).is_empty());
}

/// Guards against differences that are applied to another version than their base.
#[test]
fn unfit_change_is_refused() {
    let mut new = table(2);
    new.offer(record::CURRENT_CONFIG, Version(30), bytes(3))
        .unwrap();
    let update = new.updates(&fetch(20)).remove(0);
    let mut old = Table::default();
    let other = support::config(&support::hosts(40, 3), 1);
    let other = serde_json::to_vec(&other).unwrap();
    old.offer(record::CURRENT_CONFIG, Version(10), other)
        .unwrap();
    let error = old.receive(update).unwrap_err();
    assert!(matches!(error, Error::DeltaMismatch { .. }));
    assert_eq!(old.view().config.version.0, 1);
}

/// Guards against a configuration that reverts to an older version, in any way it can arrive.
#[test]
fn older_configuration_is_never_taken_over() {
    let mut held = table(5);
    assert!(
        !held
            .offer(record::CURRENT_CONFIG, Version(40), bytes(4))
            .unwrap()
    );
    let error = held
        .offer(record::CURRENT_CONFIG, Version(60), bytes(4))
        .unwrap_err();
    assert!(matches!(error, Error::Reverts { held: 5, new: 4 }));
    assert_eq!(held.view().config.version.0, 5);
    assert_eq!(held.version(record::CURRENT_CONFIG), Version(50));
}

/// Guards against peers that exhaust the memory with objects that this host does not read.
#[test]
fn unknown_objects_are_not_taken_over() {
    let mut held = table(1);
    for name in ["catalog/other", "claims/0/1", "catalog/", ""] {
        let theirs = [(name.into(), Version(99))];
        assert!(held.fetch_newer(&theirs).wants.is_empty());
        assert!(held.offer(name, Version(99), b"{}".to_vec()).is_err());
    }
}

/// Guards against a panic on corrupt objects from the platform.
#[test]
fn any_object_is_read_or_refused() {
    let good = bytes(2);
    bolero::check!()
        .with_iterations(1_000)
        .with_type::<(Vec<u8>, u16, u8)>()
        .for_each(|(noise, at, which)| {
            let at = usize::from(*at) % good.len();
            let spoilt = [
                &good[..at],
                noise,
                &good[(at + noise.len()).min(good.len())..],
            ]
            .concat();
            let value = if which % 2 == 0 {
                spoilt
            } else {
                noise.clone()
            };
            let names = [
                record::CURRENT_CONFIG,
                record::HOSTS,
                record::LEAFS,
                "catalog/club-billing",
            ];
            let name = names[usize::from(*which) / 2 % names.len()];
            let mut held = table(1);
            held.offer(name, Version(99), value).ok();
            assert!(held.view().config.version.0 >= 1);
        });
}

/// Guards against a panic on arbitrary messages of peers, and against a proof by a request, whose
/// network delay is unknown.
#[test]
fn any_message_is_answered() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let fleet = runtime.block_on(async { Fleet::started(1, 1) });
    let node = &fleet.nodes[0];
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(Vec<u8>, u8)>()
        .for_each(|(noise, at)| {
            let good = Message::Exchange(Digest {
                host: "host-0001".into(),
                rumors: vec![],
                ..Digest::default()
            });
            let good = bincode::options().serialize(&good).unwrap();
            let at = usize::from(*at) % good.len();
            for bytes in [noise.clone(), [&good[..at], noise, &good[at..]].concat()] {
                let Ok(message) = bincode::options().deserialize::<Message>(&bytes) else {
                    continue;
                };
                let exchange = matches!(message, Message::Exchange(_));
                let reply = runtime.block_on(node.handle(message));
                assert_eq!(exchange, matches!(reply, Reply::Digest(_)));
                assert!(!node.proof().serving());
            }
        });
    let update = Update {
        name: record::CURRENT_CONFIG.into(),
        version: Version(9),
        check: [0; 8],
        body: Body::Whole(b"{}".to_vec()),
    };
    assert!(Table::default().receive(update).is_err());
}

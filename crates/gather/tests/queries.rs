//! Whole queries under random faults, checked against the generated records.

mod common;

use std::time::Duration;

use common::{COLLECTION, Mode, World, check, query};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_model::{config::Priority, outcome::Outcome, rank::Rank};
use tokio::time::sleep;

/// Changes the layout of the data; the root's catalog may lag behind the leafs.
fn repartition(world: &mut World, random: &mut SmallRng) {
    let parts = world.data.newest(COLLECTION).parts.len();
    let index = random.random_range(0..parts);
    match random.random_range(0..4) {
        0 if parts < 24 => world.data.split_part(COLLECTION, index),
        1 if index + 1 < parts => world.data.merge_parts(COLLECTION, index),
        2 => world
            .data
            .move_part(COLLECTION, index, random.random_range(0..6)),
        _ => drop(world.data.publish(COLLECTION)),
    }
    world.fleet.load_holdings(&world.data);
    if random.random_bool(0.7) {
        world.apply();
    }
}

/// Guards against answers that mix snapshots, overclaim coverage, or lose or duplicate rows.
///
/// While queries run, data is split, merged, moved and published, and replies are duplicated,
/// late, reordered, or of another incarnation or snapshot.
#[test]
fn answers_are_true_under_random_faults() {
    let (mut answers, mut whole) = (0, 0);
    bolero::check!()
        .exhaustive()
        .with_generator(0..150u64)
        .cloned()
        .for_each(|seed| {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_time().start_paused(true).build();
            runtime.expect("the runtime has no I/O").block_on(async {
                let mut random = SmallRng::seed_from_u64(seed);
                let mut world = World::new(seed);
                for host in world.data.hosts.clone() {
                    if random.random_bool(0.4) {
                        world.net.mode(&host.name, Mode::Faulty);
                    }
                }
                let queries = (0..8).map(|i| {
                    let root = world.root.clone();
                    let wait = Duration::from_millis(random.random_range(0..40));
                    let priority = [Priority::Time, Priority::Coverage][i % 2];
                    let q = query(
                        Rank::ALL[i % 3],
                        random.random_range(10..200),
                        0.3,
                        priority,
                    );
                    tokio::spawn(async move {
                        sleep(wait).await;
                        root.query(q).await
                    })
                });
                let queries: Vec<_> = queries.collect();
                for _ in 0..6 {
                    sleep(Duration::from_millis(random.random_range(0..15))).await;
                    repartition(&mut world, &mut random);
                }
                for result in futures::future::join_all(queries).await {
                    match result.expect("no query panics") {
                        Ok(answer) => {
                            check(&answer);
                            answers += 1;
                            whole += usize::from(answer.missing.is_empty());
                        }
                        Err(Outcome::NotRun { .. } | Outcome::Unknown { .. }) => {}
                        Err(other) => panic!("{other:?} is no outcome of a query"),
                    }
                }
            });
        });
    // The test is meaningless if faults prevent most answers.
    assert!(
        answers > 300 && whole > 100,
        "{answers} answers, {whole} whole"
    );
}

//! Coverage, claims and matching of replies, without a fleet.

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rattanmast_gather::{
    claim::claim,
    cover::Cover,
    matching::{Matcher, Mismatch, OpenRequest},
};
use rattanmast_model::{
    catalog::{self, Snapshot},
    host::Incarnation,
    leaf::{self, Row},
    peer::{Report, Subreply},
    range::{self, KEY_SPACE, KEY_SPACE_END, Range, Set},
    request,
};
use smol_str::SmolStr;

/// Number of cells of equal width; the true records are counted per cell, so that all sums are
/// exact.
const CELLS: u64 = 64;

fn cells(start: u64, end: u64) -> Range {
    Range::new(
        start * (KEY_SPACE_END / CELLS),
        end * (KEY_SPACE_END / CELLS),
    )
}

/// Splits the cells at random into up to 8 adjacent runs.
fn random_split(random: &mut SmallRng) -> Vec<(u64, u64)> {
    let mut edges: Vec<u64> = (0..7).map(|_| random.random_range(0..=CELLS)).collect();
    edges.extend([0, CELLS]);
    edges.sort_unstable();
    edges.dedup();
    edges.windows(2).map(|w| (w[0], w[1])).collect()
}

fn part(range: Range, records: u64) -> leaf::Part {
    let rows = Vec::new();
    leaf::Part {
        range,
        records,
        rows,
    }
}

/// Guards against overclaimed coverage.
///
/// Compares claims with the true counts for random replies that are split, merged, overlapping or
/// duplicated, and for catalogs that are right, contradicted by replies, or implausible.
#[test]
fn claims_never_exceed_the_true_share() {
    let mut exact = 0;
    bolero::check!()
        .exhaustive()
        .with_generator(0..3_000u64)
        .cloned()
        .for_each(|seed| {
            let random = &mut SmallRng::seed_from_u64(seed);
            let even = seed % 3 == 2;
            let truth: Vec<u64> = (0..CELLS)
                .map(|_| if even { 50 } else { random.random_range(0..9) })
                .collect();
            let count = |(s, e): (u64, u64)| -> u64 { truth[s as usize..e as usize].iter().sum() };
            let layout = random_split(random);
            let mut cover = Cover::new(10);
            let mut keys = Set::new();
            for _ in 0..random.random_range(0..6) {
                for (s, e) in random_split(random) {
                    let range = cells(s, e);
                    let accepted = random.random_bool(0.4)
                        && cover.accept(part(range, count((s, e))), &Set::of([KEY_SPACE]));
                    if accepted {
                        assert!(!keys.overlaps(range), "{range:?} was accepted twice");
                        keys.insert(range);
                    }
                }
            }
            let found = cover.records();
            // A wrong count is detectable only where replies tile a part, or if it is far below
            // an even spread.
            let is_tiled = |range: Range| {
                let mut touching = cover
                    .accepted()
                    .iter()
                    .filter(|(r, _)| r.intersect(range).is_some());
                cover.keys().covers(range) && touching.all(|(r, _)| range.covers(*r))
            };
            let detectable = layout.iter().position(|(s, e)| is_tiled(cells(*s, *e)));
            let parts = layout.iter().enumerate().map(|(i, &(s, e))| catalog::Part {
                range: cells(s, e),
                records: match seed % 3 {
                    0 => count((s, e)),
                    1 if detectable == Some(i) => count((s, e)) + 1,
                    1 if detectable.is_some() => count((s, e)) / 2,
                    2 if found > 1_000 => count((s, e)) / 8,
                    _ => count((s, e)),
                },
                service: 0,
                leafs: Vec::new(),
            });
            let parts: Vec<_> = parts.collect();
            let claim = claim(&cover, &parts, true);
            let share = found as f64 / count((0, CELLS)).max(1) as f64;
            assert_eq!(claim.coverage == 1.0, keys.covers(KEY_SPACE));
            assert!(
                keys.covers(KEY_SPACE) || claim.coverage <= share,
                "{claim:?}, true share {share}"
            );
            exact += usize::from(!claim.contradicted && claim.coverage == share && found > 0);
        });
    assert!(
        exact > 500,
        "only {exact} exact claims from correct catalogs"
    );
}

/// Guards against accepting parts that were not requested, rows outside their part, and rows
/// beyond the limit.
#[test]
fn unsound_parts_are_not_accepted() {
    let asked = Set::of([cells(0, 8)]);
    let row = |key| Row {
        key,
        record: SmolStr::default(),
        text: SmolStr::default(),
    };
    let with = |range, records, keys: &[u64]| leaf::Part {
        range,
        records,
        rows: keys.iter().map(|k| row(*k)).collect(),
    };
    let mut cover = Cover::new(2);
    assert!(!cover.accept(part(cells(7, 9), 1), &asked), "not asked for");
    assert!(!cover.accept(part(cells(3, 3), 1), &asked), "empty");
    assert!(
        !cover.accept(with(cells(0, 1), 0, &[0]), &asked),
        "more rows than records"
    );
    assert!(
        !cover.accept(with(cells(1, 2), 1, &[0]), &asked),
        "row of another part"
    );
    assert!(
        !cover.accept(with(cells(0, 1), 3, &[0, 1, 2]), &asked),
        "too many rows"
    );
    assert!(cover.accept(with(cells(0, 1), 3, &[1, 0]), &asked));
    assert!(!cover.accept(part(cells(0, 8), 9), &asked), "overlaps");
    assert_eq!(
        cover.missing().ranges(),
        [Range::new(cells(1, 1).start, range::KEY_SPACE_END)]
    );
    assert_eq!(cover.into_rows(), [row(0), row(1)]);
}

/// Guards against mismatched replies: late, duplicated, reordered, or of another incarnation,
/// snapshot or query. Each request accepts one reply, and only its own.
#[test]
fn each_request_takes_its_own_reply_once() {
    let id = |sequence| request::Id {
        host: 1,
        incarnation: Incarnation(1),
        sequence,
    };
    let reply = |sequence, incarnation, snapshot| Subreply {
        id: id(sequence),
        incarnation: Incarnation(incarnation),
        snapshot: Snapshot(snapshot),
        parts: Vec::new(),
        misses: Vec::new(),
        begun: false,
        sent: 0,
        leaf_us: 0,
        report: Report::default(),
    };
    bolero::check!()
        .exhaustive()
        .with_generator(0..500u64)
        .cloned()
        .for_each(|seed| {
            let random = &mut SmallRng::seed_from_u64(seed);
            let mut matcher = Matcher::new(Snapshot(5));
            for n in 0..4 {
                let host = SmolStr::new_static("h");
                let incarnation = (n != 3).then_some(Incarnation(7));
                matcher.insert(
                    id(n),
                    OpenRequest {
                        host,
                        incarnation,
                        state: n,
                    },
                );
            }
            let mut accepted_ids = Vec::new();
            for _ in 0..30 {
                let n = random.random_range(0..6);
                let (incarnation, snapshot) =
                    (random.random_range(6..9), random.random_range(4..7));
                let matches = n < 4
                    && !accepted_ids.contains(&n)
                    && snapshot == 5
                    && (n == 3 || incarnation == 7);
                match matcher.accept(&reply(n, incarnation, snapshot)) {
                    Ok(request) => {
                        assert!(
                            matches && request.state == n,
                            "accepted {n} of incarnation {incarnation} at {snapshot}"
                        );
                        accepted_ids.push(n);
                    }
                    Err(Mismatch::Id) => assert!(n >= 4 || accepted_ids.contains(&n)),
                    Err(_) => assert!(!matches),
                }
            }
        });
}

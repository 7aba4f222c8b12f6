//! Tests of the budget for the memory of answers.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::convert::Infallible;

use bolero::TypeGenerator;
use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rattanmast_wire::{
    http::{self, Error},
    memory::{Budget, Reservation},
};

const TOTAL: usize = 1_000;

/// Guards against one answer that takes the memory of all others.
#[test]
fn one_answer_gets_half() {
    let budget = Budget::new(TOTAL);
    let mut reservation = budget.reserve();
    assert!(reservation.grow(501).is_err());
    assert_eq!(budget.held(), 0);
    reservation.grow(500).unwrap();
    reservation.grow(10).unwrap();
    assert_eq!(budget.held(), 500);
    drop(reservation);
    assert_eq!(budget.held(), 0);
}

/// Guards against large answers that together leave nothing for a small one.
#[test]
fn many_large_answers_leave_room_for_a_small_one() {
    let budget = Budget::new(1 << 20);
    let mut large: Vec<Reservation> = (0..200).map(|_| budget.reserve()).collect();
    let mut bytes = 1;
    while large.iter_mut().any(|answer| answer.grow(bytes).is_ok()) {
        bytes += 1;
    }
    assert!(budget.reserve().grow(4_000).is_ok());
}

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Grow(u8, u16),
    Drop(u8),
}

/// Guards against a count that drifts from what is held, or exceeds the total.
#[test]
fn what_is_held_is_what_was_reserved() {
    bolero::check!().with_type().for_each(|steps: &Vec<Step>| {
        let budget = Budget::new(TOTAL);
        let mut held: Vec<(Reservation, usize)> = Vec::new();
        for step in steps {
            match step {
                Step::Grow(index, bytes) => {
                    let index = usize::from(*index) % (held.len() + 1);
                    if index == held.len() {
                        held.push((budget.reserve(), 0));
                    }
                    let (reservation, size) = &mut held[index];
                    let bytes = usize::from(*bytes);
                    if reservation.grow(bytes).is_ok() {
                        *size = bytes.max(*size);
                    }
                }
                Step::Drop(index) if usize::from(*index) < held.len() => {
                    held.swap_remove(usize::from(*index));
                }
                Step::Drop(_) => {}
            }
            let total: usize = held.iter().map(|(_, size)| size).sum();
            assert_eq!(budget.held(), total);
            assert!(total <= TOTAL);
        }
    });
}

/// Returns a body of `parts` parts of `bytes` bytes each.
fn body(
    parts: usize,
    bytes: usize,
) -> StreamBody<impl stream::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let part = Bytes::from(vec![b'x'; bytes]);
    let frames = std::iter::repeat_n(part, parts).map(|part| Ok(Frame::data(part)));
    StreamBody::new(stream::iter(frames))
}

/// Guards against a body in small parts that costs far more memory than its bytes, and against memory that
/// is not returned.
#[tokio::test]
async fn a_body_counts_until_it_is_dropped() {
    let budget = Budget::new(TOTAL);
    let read = http::read_body_within(body(300, 1), 300, &budget)
        .await
        .unwrap();
    assert_eq!(read, vec![b'x'; 300]);
    assert!((300..=400).contains(&budget.held()), "{}", budget.held());
    let slice = read.slice(1..2);
    drop(read);
    assert!(budget.held() >= 300);
    drop(slice);
    assert_eq!(budget.held(), 0);
}

/// Guards against a limit that is off by one, or not kept without a budget.
#[tokio::test]
async fn a_body_over_a_limit_is_not_read() {
    let budget = Budget::new(TOTAL);
    let read = http::read_body_within(body(6, 100), 10_000, &budget).await;
    assert!(matches!(read, Err(Error::Memory { .. })), "{read:?}");
    let read = http::read_body_within(body(4, 100), 399, &budget).await;
    assert!(
        matches!(read, Err(Error::TooLarge { limit: 399 })),
        "{read:?}"
    );
    assert_eq!(budget.held(), 0);
    let read = http::read_body(body(4, 100), 399).await;
    assert!(
        matches!(read, Err(Error::TooLarge { limit: 399 })),
        "{read:?}"
    );
    assert_eq!(http::read_body(body(4, 100), 400).await.unwrap().len(), 400);
}

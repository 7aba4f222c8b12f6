//! Counts the requests that hosts send to leafs, independently of what hosts report.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rattanmast_model::{
    leaf::{Connection, Connector, Leaf, Order, OrderReply, Result, Search, SearchReply, Searcher},
    request,
};

/// Request counters by rank, in the order of `Rank::ALL`.
#[derive(Debug, Default)]
pub struct Meter {
    sent: [AtomicU64; 3],
    replied: [AtomicU64; 3],
}

/// Values of the counters of a [`Meter`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Searches sent to leafs.
    pub sent: [u64; 3],
    /// Searches that leafs replied to.
    pub replied: [u64; 3],
}

impl Meter {
    /// Returns the counts since the meter was created.
    pub fn read(&self) -> Counts {
        Counts {
            sent: [0, 1, 2].map(|i| self.sent[i].load(Ordering::Relaxed)),
            replied: [0, 1, 2].map(|i| self.replied[i].load(Ordering::Relaxed)),
        }
    }
}

impl Counts {
    /// Returns the difference from `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            sent: [0, 1, 2].map(|i| self.sent[i] - earlier.sent[i]),
            replied: [0, 1, 2].map(|i| self.replied[i] - earlier.replied[i]),
        }
    }
}

/// A connector, or one of its connections, that counts requests in a [`Meter`].
#[derive(Clone, Debug)]
pub struct Counted<C> {
    inner: C,
    meter: Arc<Meter>,
}

impl<C> Counted<C> {
    /// Wraps `inner`, counting its requests in `meter`.
    pub const fn new(inner: C, meter: Arc<Meter>) -> Self {
        Self { inner, meter }
    }
}

impl<C: Connector> Connector for Counted<C> {
    type Connection = Counted<C::Connection>;

    async fn open(&self, leaf: &Leaf) -> Result<Self::Connection> {
        let inner = self.inner.open(leaf).await?;
        Ok(Counted::new(inner, Arc::clone(&self.meter)))
    }
}

impl<L: Connection> Connection for Counted<L> {
    async fn cancel(&mut self, id: request::Id) -> Result<()> {
        self.inner.cancel(id).await
    }

    async fn close(self, wait: Duration) -> bool {
        self.inner.close(wait).await
    }
}

impl<L: Searcher> Searcher for Counted<L> {
    async fn search(&mut self, search: &Search) -> Result<SearchReply> {
        let rank = search.rank.index();
        self.meter.sent[rank].fetch_add(1, Ordering::Relaxed);
        let result = self.inner.search(search).await;
        self.meter.replied[rank].fetch_add(u64::from(result.is_ok()), Ordering::Relaxed);
        result
    }

    async fn order(&mut self, order: &Order) -> Result<OrderReply> {
        self.inner.order(order).await
    }
}

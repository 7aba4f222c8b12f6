//! In-memory connections to a leaf.

use rattanmast_model::{
    leaf::{Error, Order, OrderReply, Result, Search, SearchReply},
    request,
};
use tokio::{sync::watch, time::Instant};

use crate::model::{Leaf, broken};

/// An open connection to a leaf; closed on drop.
///
/// The leaf does not notice when a silent connection is closed.
#[derive(Debug)]
pub struct Connection {
    leaf: Leaf,
    id: u64,
    phase: watch::Receiver<Phase>,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Transfers requests and replies.
    Open,
    /// Has transferred nothing since the given instant.
    Silent(Instant),
    /// Closed by the leaf.
    Broken,
}

impl Connection {
    pub(crate) const fn new(leaf: Leaf, id: u64, phase: watch::Receiver<Phase>) -> Self {
        Self { leaf, id, phase }
    }

    /// Runs `search`; dropping the future cancels it.
    ///
    /// # Errors
    ///
    /// Returns the errors of the leaf. On a silent connection the future never resolves.
    pub async fn search(&self, search: &Search) -> Result<SearchReply> {
        self.run(self.leaf.search(search)).await
    }

    /// Runs `order`; dropping the future cancels the order if the leaf has not begun it.
    ///
    /// # Errors
    ///
    /// Returns the errors of the leaf. On a silent connection the future never resolves.
    pub async fn order(&self, order: &Order) -> Result<OrderReply> {
        self.run(self.leaf.order(order.clone())).await
    }

    /// Cancels the request `id`, which runs on another connection.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the connection is broken.
    pub async fn cancel(&self, id: request::Id) -> Result<()> {
        self.run(async {
            self.leaf.cancel(id);
            Ok(())
        })
        .await
    }

    /// Waits until the leaf has closed the connection.
    pub async fn broken(&self) {
        let mut phase = self.phase.clone();
        // An error means that the leaf has dropped the sender, which also closes the connection.
        let _ = phase.wait_for(|p| *p == Phase::Broken).await;
    }

    /// Returns whether the connection is open, so that the leaf would notice a close.
    pub fn is_open(&self) -> bool {
        *self.phase.borrow() == Phase::Open
    }

    async fn run<T>(&self, work: impl Future<Output = Result<T>>) -> Result<T> {
        if matches!(*self.phase.borrow(), Phase::Silent(_)) {
            std::future::pending::<()>().await;
        }
        let mut phase = self.phase.clone();
        let result = tokio::select! {
            biased;
            _ = phase.wait_for(|p| *p == Phase::Broken) => Err(broken("connection reset")),
            result = work => result,
        };
        // If the connection went silent after the request arrived, the leaf has done the work
        // and only the reply is lost.
        if matches!(*self.phase.borrow(), Phase::Silent(_)) {
            std::future::pending::<()>().await;
        }
        if matches!(result, Err(Error::Broken { .. })) {
            self.leaf.break_connection(self.id);
        }
        result
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_open() {
            self.leaf.remove_connection(self.id);
        }
    }
}

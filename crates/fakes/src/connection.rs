//! Connections to a leaf without sockets.

use rattanmast_model::{
    leaf::{Done, Error, Found, Order, Result, Search},
    request,
};
use tokio::{sync::watch, time::Instant};

use crate::model::{Leaf, broken};

/// An open connection to a leaf; dropping it closes it.
///
/// The leaf does not learn of the close of a connection that has gone silent.
#[derive(Debug)]
pub struct Connection {
    leaf: Leaf,
    id: u64,
    phase: watch::Receiver<Phase>,
}

/// What has become of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Carries requests and replies.
    Open,
    /// Carries nothing since the given instant.
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
    /// Those of a leaf; a silent connection never resolves.
    pub async fn search(&self, search: &Search) -> Result<Found> {
        self.run(self.leaf.search(search)).await
    }

    /// Runs `order`; dropping the future cancels it if it has not begun.
    ///
    /// # Errors
    ///
    /// Those of a leaf; a silent connection never resolves.
    pub async fn order(&self, order: &Order) -> Result<Done> {
        self.run(self.leaf.order(order.clone())).await
    }

    /// Gives up the request `id`, which runs on another connection.
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
        // The sender is dropped only together with the leaf.
        let _ = phase.wait_for(|p| *p == Phase::Broken).await;
    }

    /// Tells whether the leaf would learn of a close.
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
        // The request had arrived, so the leaf did the work; only the reply is lost.
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

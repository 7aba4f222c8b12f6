//! A leaf whose answers a test defines.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rattanmast_dispatch::{Dispatcher, Settings, policy::Adaptive};
use rattanmast_model::{
    leaf::{self, Order, OrderReply, Search, SearchReply},
    request,
};
use tokio::time::sleep;

use super::{Bench, INCARNATION};

type Answer = dyn Fn(&Search) -> leaf::Result<SearchReply> + Send + Sync;

/// Opens connections to leafs that all give the same answers.
#[derive(Clone)]
pub struct Connector {
    /// Time that a request takes.
    pub time: Duration,
    pub answer: Arc<Answer>,
    /// Number of orders that began.
    pub orders: Arc<AtomicU32>,
    /// Number of connections opened, and number of those closed.
    pub opened: Arc<AtomicU32>,
    pub closed: Arc<AtomicU32>,
}

impl Connector {
    pub fn new(
        time: Duration,
        answer: impl Fn(&Search) -> leaf::Result<SearchReply> + Send + Sync + 'static,
    ) -> Self {
        Self {
            time,
            answer: Arc::new(answer),
            orders: Arc::default(),
            opened: Arc::default(),
            closed: Arc::default(),
        }
    }

    /// Returns the dispatcher of the first candidate of `bench` in front of these leafs.
    pub async fn dispatcher(&self, bench: &Bench) -> Dispatcher<Self, Adaptive> {
        let name = bench.candidates[0].name.clone();
        let settings: Settings = bench.settings.clone();
        let dispatcher = Dispatcher::new(name, INCARNATION, self.clone(), settings, 1);
        let leafs = Arc::new(bench.data.leafs.clone());
        dispatcher.apply(Arc::clone(&bench.config), leafs);
        sleep(Duration::from_millis(50)).await;
        dispatcher
    }
}

impl leaf::Connector for Connector {
    type Connection = Connection;

    async fn open(&self, _leaf: &leaf::Leaf) -> leaf::Result<Connection> {
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(Connection(self.clone()))
    }
}

pub struct Connection(Connector);

impl leaf::Connection for Connection {
    async fn cancel(&mut self, _id: request::Id) -> leaf::Result<()> {
        Ok(())
    }

    async fn close(self, _wait: Duration) -> bool {
        true
    }
}

impl leaf::Searcher for Connection {
    async fn search(&mut self, search: &Search) -> leaf::Result<SearchReply> {
        sleep(self.0.time).await;
        (self.0.answer)(search)
    }

    async fn order(&mut self, order: &Order) -> leaf::Result<OrderReply> {
        self.0.orders.fetch_add(1, Ordering::Relaxed);
        sleep(self.0.time).await;
        Ok(OrderReply {
            id: order.id,
            result: order.action.clone(),
            load: leaf::Load::default(),
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.closed.fetch_add(1, Ordering::Relaxed);
    }
}

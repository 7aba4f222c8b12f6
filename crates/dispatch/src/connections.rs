//! Opens, closes and checks connections.

use std::{sync::Arc, time::Duration};

use rattanmast_model::{
    leaf::{self, Connection, Connector},
    rank::Rank,
    request,
};
use tokio::{runtime::Handle, sync::oneshot, time::Instant};

use crate::{latency::Quantile, policy::Policy, service::Service};

/// Bounds on the time after which a request without a reply is checked.
const REPLY_CHECK_DELAY_BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// Multiple of the median latency after which a request without a reply is checked. Stragglers take
/// about 10 times the median, and are not to be checked.
const REPLY_CHECK_DELAY_FACTOR: u32 = 20;
/// Bounds on the time to wait for the answer to a cancellation, and for the request to end after it.
const CANCEL_TIMEOUT_BOUNDS: [Duration; 2] =
    [Duration::from_millis(20), Duration::from_millis(250)];

/// Time within which a leaf that has not crashed accepts a connection; the latency between regions is
/// 12 ms.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(60);

impl<C: Connector, P: Policy> Service<C, P> {
    /// Opens a connection that the pool has reserved.
    pub(crate) fn connect(self: &Arc<Self>, replica: usize) {
        let service = Arc::clone(self);
        tokio::spawn(async move {
            if let Some(connection) = service.open_connection(replica).await {
                service.release(replica, connection, false, Instant::now());
            }
            service.schedule();
        });
    }

    async fn open_connection(self: &Arc<Self>, replica: usize) -> Option<C::Connection> {
        let leaf = self.lock().replicas[replica].leaf.clone();
        let start = Instant::now();
        let open = self.shared.connector.open(&leaf);
        let opened = tokio::time::timeout(self.shared.settings.open_timeout, open).await;
        match opened {
            Ok(Ok(connection)) => {
                self.shared.counters.opened.add(1);
                self.lock().replicas[replica].record_round_trip(start.elapsed());
                return Some(connection);
            }
            Ok(Err(error)) => {
                self.lock().replicas[replica].pool.record_gone();
                log::debug!("leaf {}: {error}", leaf.name);
            }
            // The leaf may have accepted the connection.
            Err(_) => self.abandon(replica),
        }
        self.shared.counters.failed_opens.add(1);
        let mut state = self.lock();
        let state = &mut *state;
        let replica = &mut state.replicas[replica];
        replica
            .health
            .record_unreachable(Instant::now(), &mut state.rng);
        None
    }

    /// Returns whether a leaf accepts connections, as one does that has ended a single connection but has
    /// not crashed.
    pub(crate) async fn is_accepting(&self, replica: usize) -> bool {
        let leaf = self.lock().replicas[replica].leaf.clone();
        let open = self.shared.connector.open(&leaf);
        let opened = tokio::time::timeout(ACCEPT_TIMEOUT, open).await;
        matches!(opened, Ok(Ok(_)))
    }

    /// Returns a connection to the pool, or closes it if it is not needed there.
    pub(crate) fn release(
        self: &Arc<Self>,
        replica: usize,
        connection: C::Connection,
        used: bool,
        now: Instant,
    ) {
        let active = self.is_active();
        let surplus = {
            let mut state = self.lock();
            let replica = &mut state.replicas[replica];
            if active && replica.listed && !replica.leaving.is_leaving(now) {
                replica.pool.release(connection, used, now)
            } else {
                Some(connection)
            }
        };
        if let Some(connection) = surplus {
            self.close(replica, connection, false);
        }
    }

    /// Closes connections that are already marked as closing.
    pub(crate) fn close_all(self: &Arc<Self>, connections: Vec<(usize, C::Connection)>) {
        for (replica, connection) in connections {
            self.close(replica, connection, true);
        }
    }

    /// Closes a connection, which counts against the share until the leaf is known to have closed
    /// it, or the abandon timeout has passed.
    ///
    /// `counted` is set if it is already marked as closing.
    pub(crate) fn close(
        self: &Arc<Self>,
        replica: usize,
        connection: C::Connection,
        counted: bool,
    ) {
        if !counted {
            self.lock().replicas[replica].pool.record_closing();
        }
        let service = Arc::clone(self);
        // Without a runtime the process is exiting, which closes its connections.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            let (start, settings) = (Instant::now(), &service.shared.settings);
            if !connection.close(settings.close_timeout).await {
                tokio::time::sleep_until(start + settings.abandon_timeout).await;
            }
            service.lock().replicas[replica].pool.record_closed();
            service.schedule();
        });
    }

    /// Closes a connection that went silent.
    pub(crate) fn close_silent(self: &Arc<Self>, replica: usize, connection: C::Connection) {
        self.shared.counters.silent_connections.add(1);
        self.close(replica, connection, false);
        self.check_idle(replica);
    }

    /// Counts a connection of unknown state as open until the abandon timeout has passed.
    pub(crate) fn abandon(self: &Arc<Self>, replica: usize) {
        self.lock().replicas[replica].pool.record_closing();
        let service = Arc::clone(self);
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            tokio::time::sleep(service.shared.settings.abandon_timeout).await;
            service.lock().replicas[replica].pool.record_closed();
            service.schedule();
        });
    }

    /// Checks the idle connections to a leaf, since the cause that silenced one may affect all.
    fn check_idle(self: &Arc<Self>, replica: usize) {
        let idle = self.lock().replicas[replica].pool.take_idle(u32::MAX);
        if !C::Connection::SUPPORTS_CANCEL {
            for connection in idle {
                self.close(replica, connection, false);
            }
            return;
        }
        for connection in idle {
            // The answer only decides what happens to the connection.
            let _answer = self.cancel(replica, connection, self.shared.ids.next());
        }
    }

    /// Cancels a request at a leaf on another connection.
    ///
    /// The receiver gets whether the leaf answered within the cancel timeout.
    pub(crate) fn cancel(
        self: &Arc<Self>,
        replica: usize,
        connection: C::Connection,
        id: request::Id,
    ) -> oneshot::Receiver<bool> {
        let (tx, answered) = oneshot::channel();
        tokio::spawn(Arc::clone(self).run_cancel(replica, connection, id, tx));
        answered
    }

    /// Sends a cancellation and decides whether its connection is silent.
    ///
    /// It is silent if the leaf answers later requests on other connections; a leaf that hangs as a
    /// whole keeps its connections.
    async fn run_cancel(
        self: Arc<Self>,
        replica: usize,
        mut connection: C::Connection,
        id: request::Id,
        tx: oneshot::Sender<bool>,
    ) {
        let (start, timeout) = (Instant::now(), self.cancel_timeout(replica));
        let mut tx = Some(tx);
        let answer = {
            let call = connection.cancel(id);
            tokio::pin!(call);
            loop {
                if let Ok(answer) = tokio::time::timeout(timeout, &mut call).await {
                    break Some(answer);
                }
                if let Some(tx) = tx.take() {
                    let _gone = tx.send(false);
                }
                let abandoned = start + self.shared.settings.abandon_timeout <= Instant::now();
                let answered_later = self.lock().replicas[replica].answered_since(start);
                if answered_later || abandoned || !self.is_active() {
                    break None;
                }
            }
        };
        match &answer {
            Some(Ok(())) => {
                self.lock().replicas[replica].record_cancel_answered(start);
                self.release(replica, connection, true, Instant::now());
            }
            Some(Err(leaf::Error::Broken { .. } | leaf::Error::Lost { .. })) => {
                drop(connection);
                self.lock().replicas[replica].pool.record_gone();
            }
            Some(Err(_)) => self.close(replica, connection, false),
            None => {
                self.shared.counters.silent_connections.add(1);
                self.close(replica, connection, false);
            }
        }
        if let Some(tx) = tx.take() {
            let _gone = tx.send(matches!(answer, Some(Ok(()))));
        }
        self.schedule();
    }

    /// Takes an idle connection, or opens one if `open` is set and the share allows it.
    pub(crate) async fn acquire_connection(
        self: &Arc<Self>,
        replica: usize,
        open: bool,
    ) -> Option<C::Connection> {
        let (active, now) = (self.is_active(), Instant::now());
        {
            let mut state = self.lock();
            let pool = &mut state.replicas[replica].pool;
            if let Some(connection) = pool.acquire(now) {
                return Some(connection);
            }
            if !open || !active || !pool.reserve(u32::MAX, now) {
                return None;
            }
        }
        // Runs in a task, so that the count stays correct if the caller is cancelled.
        let (tx, rx) = oneshot::channel();
        let service = Arc::clone(self);
        tokio::spawn(async move {
            let connection = service.open_connection(replica).await;
            if let Err(Some(connection)) = tx.send(connection) {
                service.release(replica, connection, false, Instant::now());
            }
        });
        rx.await.ok().flatten()
    }

    /// Returns the time after which a request without a reply is checked.
    pub(crate) fn reply_check_delay(&self, replica: usize) -> Duration {
        let [min, max] = REPLY_CHECK_DELAY_BOUNDS;
        self.median_latency(replica)
            .map_or(max / 4, |t| (t * REPLY_CHECK_DELAY_FACTOR).clamp(min, max))
    }

    /// Returns the time to wait for the answer to a cancellation.
    pub(crate) fn cancel_timeout(&self, replica: usize) -> Duration {
        let [min, max] = CANCEL_TIMEOUT_BOUNDS;
        self.median_latency(replica)
            .map_or(max, |t| (t * 4).clamp(min, max))
    }

    fn median_latency(&self, replica: usize) -> Option<Duration> {
        let state = self.lock();
        let latency = &state.replicas[replica].latency;
        latency.quantile(Rank::Routine, Quantile::P50)
    }
}

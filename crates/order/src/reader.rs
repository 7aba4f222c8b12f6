//! Reads the claim log for outcome look-ups.

use std::{sync::Arc, time::Duration};

use rattanmast_model::store::Store;
use tokio::{sync::Mutex, time::sleep};

use crate::{
    claim_log::{LogStore, Result},
    key::Identity,
    record::{Holder, State},
    table::Table,
};

/// Time for which a log that was read is used for look-ups.
///
/// A log holds up to tens of megabytes, so look-ups of unknown keys must not make a host
/// read it more often than once a second.
const TABLE_MAX_AGE: Duration = Duration::from_secs(1);

/// Reads the claim log of a partition, and caches it for [`TABLE_MAX_AGE`].
#[derive(Debug)]
pub struct Reader<S> {
    client: LogStore<S>,
    table: Option<Table>,
}

impl<S: Store> Reader<S> {
    /// Returns a reader with an empty cache.
    pub fn new(client: LogStore<S>) -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            client,
            table: None,
        }))
    }

    /// Returns the state of a key and its holder, at most [`TABLE_MAX_AGE`] old.
    pub async fn find(this: &Arc<Mutex<Self>>, id: Identity) -> Result<Option<(State, Holder)>> {
        let mut reader = this.lock().await;
        if reader.table.is_none() {
            let (_, table) = reader.client.load().await?;
            reader.table = Some(table);
            let this = Arc::clone(this);
            tokio::spawn(async move {
                sleep(TABLE_MAX_AGE).await;
                this.lock().await.table = None;
            });
        }
        let table = reader.table.as_ref();
        let entry = table.and_then(|t| Some((t, t.get(id)?)));
        Ok(entry.map(|(t, e)| (e.state.clone(), t.holder(e).clone())))
    }
}

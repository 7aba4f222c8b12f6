//! Reads the claim log for look-ups.

use std::{sync::Arc, time::Duration};

use rattanmast_model::store::Store;
use tokio::{sync::Mutex, time::sleep};

use crate::{
    key::Identity,
    log::{Access, Result},
    record::{Holder, State},
    table::Table,
};

/// How long a log that was read serves look-ups.
///
/// A log holds tens of megabytes at most; look-ups of unknown keys must not make
/// a host read it more often than once a second.
const FRESH: Duration = Duration::from_secs(1);

/// The claim log of a partition, for a short time after it was read.
#[derive(Debug)]
pub struct Reader<S> {
    access: Access<S>,
    table: Option<Table>,
}

impl<S: Store> Reader<S> {
    /// Returns a reader that has read nothing yet.
    pub fn new(access: Access<S>) -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            access,
            table: None,
        }))
    }

    /// Returns the state of a key and its holder, at most a second old.
    pub async fn find(this: &Arc<Mutex<Self>>, id: Identity) -> Result<Option<(State, Holder)>> {
        let mut reader = this.lock().await;
        if reader.table.is_none() {
            let (_, table) = reader.access.load().await?;
            reader.table = Some(table);
            let this = Arc::clone(this);
            tokio::spawn(async move {
                sleep(FRESH).await;
                this.lock().await.table = None;
            });
        }
        let table = reader.table.as_ref();
        let entry = table.and_then(|t| Some((t, t.get(id)?)));
        Ok(entry.map(|(t, e)| (e.state.clone(), t.holder(e).clone())))
    }
}

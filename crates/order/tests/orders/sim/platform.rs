//! The simulated platform store: with delays, outages, lost responses, and writes that take effect
//! late.

use std::time::Duration;

use rattanmast_model::store::{self, Error, MAX_VALUE_BYTES, Object, Result, Version};
use tokio::time::{Instant, sleep};

use super::{Fleet, ProcessId, State};

#[derive(Clone)]
pub struct Store {
    fleet: Fleet,
    id: ProcessId,
}

enum Write {
    Create,
    Update(Version),
    Delete,
}

impl Store {
    pub fn new(fleet: &Fleet, id: ProcessId) -> Self {
        let fleet = fleet.clone();
        Self { fleet, id }
    }

    async fn begin_call(&self, call: &'static str) -> Result<()> {
        *self.fleet.lock().calls.entry(call).or_default() += 1;
        self.fleet.wait_until_running(self.id).await;
        self.fleet.sleep_random(1..5).await;
        if self.fleet.fault_occurs(|f| f.hang) {
            self.fleet.sleep_random(500..20_000).await;
        }
        self.fleet.wait_until_running(self.id).await;
        let why = || "outage".to_owned();
        let outage = self.fleet.lock().outage;
        if outage {
            Err(Error::Unavailable { why: why() })
        } else {
            Ok(())
        }
    }

    async fn end_call(&self) {
        self.fleet.sleep_random(1..5).await;
        if self.fleet.fault_occurs(|f| f.hang) {
            self.fleet.sleep_random(500..20_000).await;
        }
        self.fleet.wait_until_running(self.id).await;
    }

    async fn write(
        &self,
        call: &'static str,
        name: &str,
        write: Write,
        value: &[u8],
    ) -> Result<Version> {
        self.begin_call(call).await?;
        assert!(
            value.len() <= MAX_VALUE_BYTES,
            "value of {name} is over the limit"
        );
        let lost = || Error::ResponseLost {
            why: "fault".into(),
        };
        if self.fleet.fault_occurs(|f| f.late_write) {
            let (fleet, name, value) = (self.fleet.clone(), name.to_owned(), value.to_vec());
            tokio::spawn(async move {
                fleet.sleep_random(0..8000).await;
                let _ = apply(&mut fleet.lock(), &name, &write, &value);
            });
            self.end_call().await;
            return Err(lost());
        }
        let result = apply(&mut self.fleet.lock(), name, &write, value);
        self.end_call().await;
        // A lost response hides whether the write succeeded or conflicted.
        if self.fleet.fault_occurs(|f| f.lose_answer) {
            Err(lost())
        } else {
            result
        }
    }
}

fn apply(state: &mut State, name: &str, write: &Write, value: &[u8]) -> Result<Version> {
    let current = state.objects.get(name).map(|(version, _)| *version);
    let name = name.to_owned();
    match (write, current) {
        (Write::Create, Some(_)) => return Err(Error::Conflict { name }),
        (Write::Update(_), None) => return Err(Error::NotFound { name }),
        (Write::Update(version), Some(now)) if *version != now => {
            return Err(Error::Conflict { name });
        }
        (Write::Delete, _) => {
            state.objects.remove(&name);
            return Ok(Version(0));
        }
        _ => {}
    }
    if name.starts_with("claims/") {
        record_claims(state, value);
    }
    state.version += 1;
    let version = Version(state.version);
    state.objects.insert(name, (version, value.to_vec()));
    Ok(version)
}

/// Records when each key was claimed.
fn record_claims(state: &mut State, value: &[u8]) {
    let batch: serde_json::Value = serde_json::from_slice(value).expect("a batch is JSON");
    for record in batch["records"].as_array().expect("a batch has records") {
        if record[6] == "c" {
            let word = |i: usize| record[0][i].as_u64().expect("an identity is two numbers");
            state.claims.insert([word(0), word(1)], Instant::now());
        }
    }
}

impl store::Store for Store {
    async fn get(&self, name: &str) -> Result<Object> {
        self.begin_call("get").await?;
        let found = self.fleet.lock().objects.get(name).cloned();
        self.end_call().await;
        let name = name.to_owned();
        match found {
            Some((version, value)) => Ok(Object {
                name,
                version,
                value,
            }),
            None => Err(Error::NotFound { name }),
        }
    }

    async fn create(&self, name: &str, value: &[u8]) -> Result<Version> {
        self.write("create", name, Write::Create, value).await
    }

    async fn update(&self, name: &str, version: Version, value: &[u8]) -> Result<Version> {
        self.write("update", name, Write::Update(version), value)
            .await
    }

    async fn delete(&self, name: &str) -> Result<()> {
        self.write("delete", name, Write::Delete, &[])
            .await
            .map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        self.begin_call("list").await?;
        let objects = {
            let state = self.fleet.lock();
            let from = state.objects.range(prefix.to_owned()..);
            from.take_while(|(name, _)| name.starts_with(prefix))
                .map(|(name, (version, value))| Object {
                    name: name.clone(),
                    version: *version,
                    value: value.clone(),
                })
                .collect()
        };
        self.end_call().await;
        Ok(objects)
    }

    async fn watch(&self, _: &str, _: Version, wait: Duration) -> Result<Option<Object>> {
        sleep(wait).await;
        Ok(None)
    }
}

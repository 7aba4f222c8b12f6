//! The difference between two configurations, in a form that operators read.

use std::fmt;

use rattanmast_model::config::{Caller, Config};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// Number of hexadecimal digits of a key's hash to display.
const KEY_HASH_PREFIX_LEN: usize = 8;

/// How an entry changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The entry is added.
    Add,
    /// The entry is removed.
    Remove,
    /// Some fields of the entry change.
    Alter,
}

/// The kind of a configuration entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A host in the roster.
    Host,
    /// A collection.
    Collection,
    /// A search.
    Search,
    /// A caller.
    Caller,
    /// The capacity floors of the ranks.
    Floors,
}

/// The value of a field before and after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The field's name.
    pub name: SmolStr,
    /// The value before the change; absent in an added entry.
    pub old: Option<String>,
    /// The value after the change; absent in a removed entry.
    pub new: Option<String>,
}

/// A changed entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// How the entry changes.
    pub action: Action,
    /// The kind of the entry.
    pub kind: Kind,
    /// The name of the entry.
    pub name: SmolStr,
    /// The changed fields; all fields if the entry is added or removed.
    pub fields: Vec<Field>,
    /// The affected callers; empty if all callers are affected, and the single entry `no caller` if
    /// none is.
    pub whom: Vec<SmolStr>,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Host => "host",
            Self::Collection => "collection",
            Self::Search => "search",
            Self::Caller => "caller",
            Self::Floors => "floors",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Add => '+',
            Action::Remove => '-',
            Action::Alter => '~',
        };
        write!(f, "{sign} {}", self.kind)?;
        if self.kind != Kind::Floors {
            write!(f, " {}", self.name)?;
        }
        for (i, field) in self.fields.iter().enumerate() {
            let separator = if i == 0 { " " } else { "; " };
            write!(f, "{separator}{}: ", field.name)?;
            match (&field.old, &field.new) {
                (Some(old), Some(new)) => write!(f, "{old} -> {new}")?,
                (None, Some(new)) => f.write_str(new)?,
                (Some(old), None) => write!(f, "was {old}")?,
                (None, None) => {}
            }
        }
        match self.whom.as_slice() {
            [] => f.write_str(" (for all callers)"),
            whom => write!(f, " (for {})", whom.join(", ")),
        }
    }
}

/// Returns the differences between `old` and `new`, ignoring the order of their entries.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_entries(&mut changes, Kind::Host, &old.hosts, &new.hosts, |h| {
        &h.name
    });
    compare_entries(
        &mut changes,
        Kind::Collection,
        &old.collections,
        &new.collections,
        |c| &c.name,
    );
    compare_entries(
        &mut changes,
        Kind::Search,
        &old.searches,
        &new.searches,
        |s| &s.name,
    );
    compare_entries(
        &mut changes,
        Kind::Caller,
        &old.callers,
        &new.callers,
        |c| &c.name,
    );
    let name = SmolStr::new_static("floors");
    let (o, n) = ((&name, &old.floors), (&name, &new.floors));
    compare_entries(&mut changes, Kind::Floors, &[o], &[n], |f| f.0);
    for change in &mut changes {
        change.whom = affected_callers(change, old, new);
    }
    changes
}

fn compare_entries<T: Serialize>(
    changes: &mut Vec<Change>,
    kind: Kind,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &SmolStr,
) {
    let index = |list: &[T]| -> std::collections::BTreeMap<SmolStr, Map<String, Value>> {
        list.iter()
            .map(|e| (name(e).clone(), flat_fields(e)))
            .collect()
    };
    let (old, new) = (index(old), index(new));
    let empty = Map::new();
    let mut push = |action, name: &SmolStr, old: &Map<_, _>, new: &Map<_, _>| {
        let fields = changed_fields(old, new);
        if !fields.is_empty() {
            changes.push(Change {
                action,
                kind,
                name: name.clone(),
                fields,
                whom: Vec::new(),
            });
        }
    };
    for (name, fields) in &old {
        match new.get(name) {
            Some(after) => push(Action::Alter, name, fields, after),
            None => push(Action::Remove, name, fields, &empty),
        }
    }
    for (name, fields) in new.iter().filter(|(n, _)| !old.contains_key(*n)) {
        push(Action::Add, name, &empty, fields);
    }
}

/// Returns the fields of `entry` as a flat map, including nested fields but not its name.
fn flat_fields<T: Serialize>(entry: &T) -> Map<String, Value> {
    let mut flat = Map::new();
    // Entries contain only text, numbers and lists, so serialization can't fail.
    flatten(
        serde_json::to_value(entry).unwrap_or_default(),
        "",
        &mut flat,
    );
    flat.remove("name");
    flat
}

fn flatten(value: Value, key: &str, flat: &mut Map<String, Value>) {
    match value {
        Value::Object(map) => map.into_iter().for_each(|(k, v)| flatten(v, &k, flat)),
        // The floors have no name field, so they are passed as a pair of name and value.
        Value::Array(list) if key.is_empty() => {
            list.into_iter().for_each(|v| flatten(v, "", flat));
        }
        Value::String(_) if key.is_empty() => {}
        other => {
            flat.insert(key.to_owned(), other);
        }
    }
}

fn changed_fields(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<Field> {
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Field {
            name: SmolStr::new(name),
            old: old.get(name).map(|v| display_value(name, v)),
            new: new.get(name).map(|v| display_value(name, v)),
        })
        .collect()
}

fn display_value(name: &str, value: &Value) -> String {
    match value {
        Value::String(hash) if name == "key_sha256" => {
            hash.chars().take(KEY_HASH_PREFIX_LEN).collect()
        }
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the callers that `change` affects under either configuration.
fn affected_callers(change: &Change, old: &Config, new: &Config) -> Vec<SmolStr> {
    let affects = |config: &Config, caller: &Caller| match change.kind {
        Kind::Caller => caller.name == change.name,
        Kind::Search => caller.searches.contains(&change.name),
        Kind::Collection => {
            let searched = |s: &SmolStr| {
                config
                    .search(s)
                    .is_some_and(|s| s.collection == change.name)
            };
            caller.orders.contains(&change.name) || caller.searches.iter().any(searched)
        }
        Kind::Host | Kind::Floors => false,
    };
    let mut names: Vec<SmolStr> = [old, new]
        .into_iter()
        .flat_map(|config| config.callers.iter().filter(move |c| affects(config, c)))
        .map(|c| c.name.clone())
        .collect();
    names.sort_unstable();
    names.dedup();
    if names.is_empty() && !matches!(change.kind, Kind::Host | Kind::Floors) {
        names.push(SmolStr::new_static("no caller"));
    }
    names
}

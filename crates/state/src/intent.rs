//! Parsing and validation of intents, TOML files that declare a complete configuration.

use std::{fmt, net::SocketAddr};

use rattanmast_model::{config, hash::Set, host, leaf, rank::Rank};
use serde::{Deserialize, de::IgnoredAny};
use smol_str::SmolStr;
use snafu::Snafu;
use toml::Spanned;

/// The result type of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A complete configuration as declared by an operator, without a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Intent {
    /// The hosts of the roster.
    pub hosts: Vec<host::Host>,
    /// The collections and the limits of their leafs.
    pub collections: Vec<config::Collection>,
    /// The searches that callers may run.
    pub searches: Vec<config::Search>,
    /// The callers and their permissions.
    pub callers: Vec<config::Caller>,
    /// The share of leaf slot time guaranteed to each rank under overload.
    pub floors: config::Floors,
}

/// An error in an intent, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {fault}"))]
pub struct Error {
    /// The path of the file, as given by the operator.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The fault at that location.
    pub fault: Fault,
}

/// A fault in an intent; its text includes the remedy.
///
/// No variant carries a value that could be a caller's key, because faults are printed and logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The file is not valid TOML, or has an unknown or missing field.
    Syntax(String),
    /// A caller has a plaintext key.
    PlaintextKey(SmolStr),
    /// The key hash of a caller is not 64 lower-case hexadecimal digits.
    InvalidHash(SmolStr),
    /// A name is empty, too long or contains characters other than `a-z`, `0-9` and `-`.
    InvalidName(&'static str),
    /// Two entries of the same kind have the same name.
    Duplicate(&'static str, SmolStr),
    /// An entry refers to another one that is not declared.
    Undeclared(&'static str, SmolStr),
    /// A number is out of bounds.
    OutOfBounds(&'static str, &'static str),
    /// An address has port 0 or is used more than once.
    InvalidAddress(SocketAddr),
    /// Two callers have the same key.
    DuplicateKey(SmolStr),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => {
                write!(f, "{message}; see docs/operators/intents.md for the fields")
            }
            Self::PlaintextKey(caller) => write!(
                f,
                "caller {caller} has a plain key, which is never stored; replace `key` by \
                 `key_sha256` with the output of `printf %s \"$KEY\" | sha256sum`"
            ),
            Self::InvalidHash(caller) => write!(
                f,
                "key_sha256 of caller {caller} is not 64 lower-case hexadecimal digits; use the \
                 output of `printf %s \"$KEY\" | sha256sum`"
            ),
            Self::InvalidName(kind) => write!(
                f,
                "name of this {kind} must have 1 to 63 characters from a-z, 0-9 and -; rename it"
            ),
            Self::Duplicate(kind, name) => {
                write!(f, "{kind} {name} is declared twice; remove or rename one")
            }
            Self::Undeclared(kind, name) => {
                write!(
                    f,
                    "{kind} {name} is not declared; declare it or remove the reference"
                )
            }
            Self::OutOfBounds(field, bounds) => {
                write!(f, "{field} is out of bounds; choose a value {bounds}")
            }
            Self::InvalidAddress(addr) => {
                write!(
                    f,
                    "address {addr} has port 0 or is used twice; choose another port"
                )
            }
            Self::DuplicateKey(caller) => write!(
                f,
                "caller {caller} has the same key as another caller; use a different key for each caller"
            ),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    floors: Option<Spanned<Floors>>,
    #[serde(default, rename = "host")]
    hosts: Vec<Spanned<Host>>,
    #[serde(default, rename = "collection")]
    collections: Vec<Spanned<Collection>>,
    #[serde(default, rename = "search")]
    searches: Vec<Spanned<Search>>,
    #[serde(default, rename = "caller")]
    callers: Vec<Spanned<Caller>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Floors {
    urgent: f64,
    routine: f64,
    intake: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Host {
    name: Spanned<SmolStr>,
    domain: Spanned<SmolStr>,
    http: Spanned<SocketAddr>,
    hop: Spanned<SocketAddr>,
    exchange: Spanned<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Collection {
    name: Spanned<SmolStr>,
    services: Spanned<u16>,
    leafs: Spanned<u16>,
    slots: Spanned<u32>,
    connections: Spanned<u32>,
    open_ms: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Search {
    name: Spanned<SmolStr>,
    collection: Spanned<SmolStr>,
    #[serde(default)]
    priority: config::Priority,
    least_coverage: Spanned<f64>,
    longest_wait_ms: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Caller {
    name: Spanned<SmolStr>,
    key: Option<Spanned<IgnoredAny>>,
    key_sha256: Option<Spanned<KeyHash>>,
    rank: Rank,
    #[serde(default)]
    searches: Vec<Spanned<SmolStr>>,
    #[serde(default)]
    orders: Vec<Spanned<SmolStr>>,
}

/// A key hash that accepts any value, so that parser errors don't quote what may be a key.
#[derive(Deserialize)]
#[serde(untagged)]
enum KeyHash {
    Text(SmolStr),
    Other(IgnoredAny),
}

/// Parses and validates the intent in `text`; `file` is the path to name in errors.
///
/// # Errors
///
/// Returns an error if the text is not a valid intent, refers to an undeclared entry, or contains
/// a plaintext key.
pub fn parse(file: &str, text: &str) -> Result<Intent> {
    let validator = Validator { file, text };
    let parsed: File = toml::from_str(text).map_err(|e| {
        let offset = e.span().map_or(0, |s| s.start);
        validator.error(offset, Fault::Syntax(e.message().replace('\n', " ")))
    })?;
    let hosts = validator.hosts(parsed.hosts)?;
    let collections = validator.collections(parsed.collections)?;
    let searches = validator.searches(parsed.searches, &collections)?;
    let callers = validator.callers(parsed.callers, &searches, &collections)?;
    let floors = parsed.floors.map(|f| validator.floors(f)).transpose()?;
    Ok(Intent {
        hosts,
        collections,
        searches,
        callers,
        floors: floors.unwrap_or_default(),
    })
}

struct Validator<'a> {
    file: &'a str,
    text: &'a str,
}

impl Validator<'_> {
    fn error(&self, offset: usize, fault: Fault) -> Error {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        Error {
            file: self.file.to_owned(),
            line: 1 + before.iter().filter(|b| **b == b'\n').count(),
            fault,
        }
    }

    /// Returns the value if `is_valid`, or else an error at its location.
    fn check<T>(
        &self,
        value: Spanned<T>,
        is_valid: bool,
        fault: impl FnOnce() -> Fault,
    ) -> Result<T> {
        if is_valid {
            return Ok(value.into_inner());
        }
        Err(self.error(value.span().start, fault()))
    }

    fn name(&self, kind: &'static str, name: Spanned<SmolStr>) -> Result<SmolStr> {
        let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let valid = (1..=63).contains(&name.get_ref().len()) && name.get_ref().bytes().all(allowed);
        self.check(name, valid, || Fault::InvalidName(kind))
    }

    fn unique(
        &self,
        kind: &'static str,
        name: Spanned<SmolStr>,
        seen: &mut Set<SmolStr>,
    ) -> Result<SmolStr> {
        let offset = name.span().start;
        let name = self.name(kind, name)?;
        if seen.insert(name.clone()) {
            return Ok(name);
        }
        Err(self.error(offset, Fault::Duplicate(kind, name)))
    }

    fn positive<T: Copy + Default + PartialOrd>(
        &self,
        field: &'static str,
        value: Spanned<T>,
    ) -> Result<T> {
        let valid = *value.get_ref() > T::default();
        self.check(value, valid, || Fault::OutOfBounds(field, "of at least 1"))
    }

    /// Returns `names` without duplicates if each of them is in `declared`.
    fn references(
        &self,
        kind: &'static str,
        names: Vec<Spanned<SmolStr>>,
        declared: &Set<SmolStr>,
    ) -> Result<Vec<SmolStr>> {
        let mut seen = Set::default();
        let mut list = Vec::with_capacity(names.len());
        for name in names {
            let value = name.get_ref().clone();
            let known = declared.contains(&value);
            let name = self.check(name, known, || Fault::Undeclared(kind, value))?;
            if seen.insert(name.clone()) {
                list.push(name);
            }
        }
        Ok(list)
    }

    fn hosts(&self, hosts: Vec<Spanned<Host>>) -> Result<Vec<host::Host>> {
        let (mut names, mut addrs) = (Set::default(), Set::default());
        let mut address = |addr: Spanned<SocketAddr>| {
            let value = *addr.get_ref();
            let valid = value.port() != 0 && addrs.insert(value);
            self.check(addr, valid, || Fault::InvalidAddress(value))
        };
        let mut list = Vec::with_capacity(hosts.len());
        for host in hosts {
            let host = host.into_inner();
            list.push(host::Host {
                name: self.unique("host", host.name, &mut names)?,
                domain: self.name("failure domain", host.domain)?,
                http: address(host.http)?,
                hop: address(host.hop)?,
                exchange: address(host.exchange)?,
                link_mbps: 0,
                cpu_millis: 0,
            });
        }
        Ok(list)
    }

    fn collections(&self, list: Vec<Spanned<Collection>>) -> Result<Vec<config::Collection>> {
        let mut names = Set::default();
        list.into_iter()
            .map(|c| {
                let c = c.into_inner();
                Ok(config::Collection {
                    name: self.unique("collection", c.name, &mut names)?,
                    services: self.positive("services", c.services)?,
                    leafs: self.positive("leafs", c.leafs)?,
                    limits: leaf::Limits {
                        slots: self.positive("slots", c.slots)?,
                        connections: self.positive("connections", c.connections)?,
                        open_ms: c.open_ms,
                    },
                })
            })
            .collect()
    }

    fn searches(
        &self,
        list: Vec<Spanned<Search>>,
        collections: &[config::Collection],
    ) -> Result<Vec<config::Search>> {
        let mut names = Set::default();
        list.into_iter()
            .map(|s| {
                let s = s.into_inner();
                let target = s.collection.get_ref().clone();
                let known = collections.iter().any(|c| c.name == target);
                let in_range = (0.0..=1.0).contains(s.least_coverage.get_ref());
                Ok(config::Search {
                    name: self.unique("search", s.name, &mut names)?,
                    collection: self.check(s.collection, known, || {
                        Fault::Undeclared("collection", target)
                    })?,
                    priority: s.priority,
                    least_coverage: self.check(s.least_coverage, in_range, || {
                        Fault::OutOfBounds("least_coverage", "from 0.0 to 1.0")
                    })?,
                    longest_wait_ms: self.positive("longest_wait_ms", s.longest_wait_ms)?,
                })
            })
            .collect()
    }

    fn callers(
        &self,
        list: Vec<Spanned<Caller>>,
        searches: &[config::Search],
        collections: &[config::Collection],
    ) -> Result<Vec<config::Caller>> {
        let searches: Set<SmolStr> = searches.iter().map(|s| s.name.clone()).collect();
        let collections: Set<SmolStr> = collections.iter().map(|c| c.name.clone()).collect();
        let (mut names, mut keys) = (Set::default(), Set::default());
        list.into_iter()
            .map(|c| {
                let offset = c.span().start;
                let c = c.into_inner();
                let name = self.unique("caller", c.name, &mut names)?;
                if let Some(key) = c.key {
                    return Err(self.error(key.span().start, Fault::PlaintextKey(name)));
                }
                let offset = c.key_sha256.as_ref().map_or(offset, |h| h.span().start);
                let key_sha256 = match c.key_sha256.map(Spanned::into_inner) {
                    Some(KeyHash::Text(text)) if is_sha256(&text) => text,
                    _ => return Err(self.error(offset, Fault::InvalidHash(name))),
                };
                if !keys.insert(key_sha256.clone()) {
                    return Err(self.error(offset, Fault::DuplicateKey(name)));
                }
                Ok(config::Caller {
                    name,
                    key_sha256,
                    rank: c.rank,
                    searches: self.references("search", c.searches, &searches)?,
                    orders: self.references("collection", c.orders, &collections)?,
                })
            })
            .collect()
    }

    fn floors(&self, floors: Spanned<Floors>) -> Result<config::Floors> {
        let offset = floors.span().start;
        let f = floors.into_inner();
        let shares = [("floors.urgent", f.urgent), ("floors.routine", f.routine)];
        for (field, value) in shares.into_iter().chain([("floors.intake", f.intake)]) {
            if !(0.0..=1.0).contains(&value) {
                return Err(self.error(offset, Fault::OutOfBounds(field, "from 0.0 to 1.0")));
            }
        }
        Ok(config::Floors {
            urgent: f.urgent,
            routine: f.routine,
            intake: f.intake,
        })
    }
}

/// Returns whether `text` has the form of a SHA-256 hash in lower-case hexadecimal.
fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

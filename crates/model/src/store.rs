//! The interface to the platform's versioned object store.

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// The maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The version of an object; it increases with each write, across all objects of the platform.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// A versioned object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name, such as `config/current`.
    pub name: String,
    /// The version that this value was written with.
    pub version: Version,
    /// The value, at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Vec<u8>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The write's precondition on the version did not hold; nothing was written.
    #[snafu(display("object {name} was modified concurrently; read it again and retry"))]
    Conflict {
        /// The name of the object.
        name: String,
    },
    /// The object does not exist.
    #[snafu(display("object {name} does not exist in the platform; create it first"))]
    NotFound {
        /// The name of the object.
        name: String,
    },
    /// The call did not reach the platform or was refused; nothing was written.
    #[snafu(display("platform does not answer ({why}); check its address and status"))]
    Unavailable {
        /// The error of the transport.
        why: String,
    },
    /// The response was lost; a write may have taken effect.
    #[snafu(display("platform's answer was lost ({why}); read the object back"))]
    ResponseLost {
        /// The error of the transport.
        why: String,
    },
    /// The value exceeds [`MAX_VALUE_BYTES`]; nothing was written.
    #[snafu(display("value of object {name} is over 1 MB; split it"))]
    TooLarge {
        /// The name of the object.
        name: String,
    },
}

/// A client of the platform's object store; each call counts against its rate limits.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Object>> + Send;

    /// Creates an object; fails with [`Error::Conflict`] if it exists.
    fn create(&self, name: &str, value: &[u8]) -> impl Future<Output = Result<Version>> + Send;

    /// Replaces an object; fails with [`Error::Conflict`] if its version is not `version`.
    fn update(
        &self,
        name: &str,
        version: Version,
        value: &[u8],
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object; succeeds if it does not exist.
    fn delete(&self, name: &str) -> impl Future<Output = Result<()>> + Send;

    /// Reads all objects whose name starts with `prefix`, in ascending order of name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Object>>> + Send;

    /// Waits up to `wait` for a version of the object that is newer than `after`.
    ///
    /// Returns `None` if there was none.
    fn watch(
        &self,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;
}

//! The platform's object service.

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// The largest value that the platform holds, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The version of an object; a later one is larger. Versions grow across all objects.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// An object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its name, such as `config/current`.
    pub name: String,
    /// Its version.
    pub version: Version,
    /// Its value; at most [`VALUE_LIMIT`] bytes.
    pub value: Vec<u8>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The condition did not hold; nothing was written.
    #[snafu(display("object {name} was changed by someone else; read it and try again"))]
    Conflict {
        /// The object.
        name: String,
    },
    /// The object does not exist.
    #[snafu(display("object {name} does not exist in the platform; create it first"))]
    Missing {
        /// The object.
        name: String,
    },
    /// The call did not reach the platform, or was refused; nothing was written.
    #[snafu(display("platform does not answer ({why}); check its address and status"))]
    Down {
        /// What the transport returned.
        why: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[snafu(display("platform's answer was lost ({why}); read the object back"))]
    Lost {
        /// What the transport returned.
        why: String,
    },
    /// The value is too large; nothing was written.
    #[snafu(display("value of object {name} is over 1 MB; split it"))]
    Large {
        /// The object.
        name: String,
    },
}

/// Calls to the platform; each counts against its rates.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, name: &str) -> impl Future<Output = Result<Object>> + Send;

    /// Writes an object that must not exist yet.
    fn create(&self, name: &str, value: &[u8]) -> impl Future<Output = Result<Version>> + Send;

    /// Writes an object whose version must be `version`.
    fn update(
        &self,
        name: &str,
        version: Version,
        value: &[u8],
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object; it is no error if it does not exist.
    fn delete(&self, name: &str) -> impl Future<Output = Result<()>> + Send;

    /// Reads all objects whose name starts with `prefix`, in ascending order of name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Object>>> + Send;

    /// Waits until the object is newer than `after`, for at most `wait`.
    ///
    /// Returns `None` if it did not change.
    fn watch(
        &self,
        name: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>>> + Send;
}

//! Identification of calls that ask for the same work.

use std::{fmt, num::ParseIntError, str::FromStr};

use http::header;
use sha2::{Digest as _, Sha256};

use crate::forward::Call;

/// Length of a fingerprint in bytes; long enough that no caller can make up a second call for one.
const LENGTH: usize = 16;

/// Identifies calls that ask for the same work: by authority, method, target, credentials and body.
///
/// The identifier of the attempt, the time left and what the caller says of itself do not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Returns the fingerprint of a call to `authority`.
    pub fn new(authority: &str, call: &Call) -> Self {
        let target = call.target.to_string();
        let credentials = call.headers.get(header::AUTHORIZATION);
        let parts = [
            authority.as_bytes(),
            call.method.as_str().as_bytes(),
            target.as_bytes(),
            credentials.map_or(&[][..], |value| value.as_bytes()),
            &call.body,
        ];
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut fingerprint = [0; LENGTH];
        fingerprint.copy_from_slice(&hasher.finalize()[..LENGTH]);
        Self(fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(|number| Self(number.to_be_bytes()))
    }
}

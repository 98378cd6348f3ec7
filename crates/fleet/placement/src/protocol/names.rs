//! Names and ids, validated when they are created.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes. Names of titles may be longer, see [`MAX_TITLE_BYTES`].
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a title's name in bytes.
pub const MAX_TITLE_BYTES: usize = 256;

/// An invalid name or digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NameError {
    /// The length or a character of a name is invalid.
    #[error("a name has 1 to {MAX_NAME_BYTES} letters, digits, '.', '-' or '_'")]
    Name,
    /// The length or a character of a title's name is invalid.
    #[error("a title's name has 1 to {MAX_TITLE_BYTES} bytes and no control characters")]
    Title,
    /// A digest is not 64 hexadecimal digits.
    #[error("a digest is 64 hexadecimal digits (SHA-256)")]
    Digest,
}

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

macro_rules! name {
    ($(#[$about:meta])* $name:ident, $fits:expr, $error:expr) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<$name, NameError> {
                let fits: fn(&str) -> bool = $fits;
                if fits(&text) { Ok($name(text.into())) } else { Err($error) }
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<$name, NameError> {
                $name::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A customer, which is a tenant of the endpoint list.
    Customer, is_valid_name, NameError::Name
);
name!(
    /// The name of a shard, unique among its customer's shards.
    ShardName, is_valid_name, NameError::Name
);
name!(
    /// The name of a region.
    Region, is_valid_name, NameError::Name
);
name!(
    /// The name of a zone.
    Zone, is_valid_name, NameError::Name
);
name!(
    /// An idempotency key: retries of a request carry the same key.
    Key, is_valid_name, NameError::Name
);
name!(
    /// The name of a title.
    Title,
    |t| !t.is_empty() && t.len() <= MAX_TITLE_BYTES && !t.chars().any(char::is_control),
    NameError::Title
);

/// The id of a shard: its customer and its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The customer that owns the shard.
    pub customer: Customer,
    /// Name of the shard.
    pub name: ShardName,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.name)
    }
}

macro_rules! number {
    ($(#[$about:meta])* $name:ident($of:ty)) => {
        $(#[$about])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub $of);
    };
}

number!(
    /// The id of a media server, as numbered in the endpoint list.
    ServerId(u32)
);
number!(
    /// The id of a rack, whose media servers share an uplink.
    RackId(u16)
);
number!(
    /// The id of a front's process, drawn at its start.
    FrontId(u64)
);
number!(
    /// The id of a media server's process, drawn at its start. A process refuses orders for another incarnation.
    Incarnation(u64)
);
number!(
    /// The id of a media server's disk, drawn when the disk was first written. A media server that returns with
    /// another disk has none of its former copies.
    DiskId(u64)
);
number!(
    /// A version of a shard's request. The first one is 1.
    Version(u64)
);
number!(
    /// The number of a record. It increases over all shards.
    Revision(u64)
);
number!(
    /// The number of an order to a media server. It increases over all media servers, and a media server accepts no
    /// order of a shard below the highest it has seen of that shard.
    OrderId(u64)
);
number!(
    /// The number of a customer's request, for later queries of its outcome.
    CustomerRequestId(u64)
);

/// The SHA-256 digest of a shard's content. Media servers don't receive it: one that has not read the content can't
/// report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl TryFrom<String> for Digest {
    type Error = NameError;

    fn try_from(text: String) -> Result<Digest, NameError> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(NameError::Digest);
        }
        for (into, from) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(from).map_err(|_| NameError::Digest)?;
            *into = u8::from_str_radix(pair, 16).map_err(|_| NameError::Digest)?;
        }
        Ok(Digest(bytes))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

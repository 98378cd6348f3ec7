//! Names and numbers, bounded and checked where they come in.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a name at most; of a title's name more, see [`MOST_TITLE`].
pub const MOST_NAME: usize = 64;
/// Bytes of a title's name at most.
pub const MOST_TITLE: usize = 256;

/// What is wrong with a name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NameError {
    /// Its length or its characters.
    #[error("a name has 1 to {MOST_NAME} letters, digits, '.', '-' or '_'")]
    Name,
    /// A title's.
    #[error("a title's name has 1 to {MOST_TITLE} bytes and no control characters")]
    Title,
    /// A digest.
    #[error("a digest is 64 hexadecimal digits (SHA-256)")]
    Digest,
}

fn plain(text: &str) -> bool {
    let fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.len() <= MOST_NAME && text.chars().all(fit)
}

macro_rules! name {
    ($(#[$about:meta])* $name:ident, $fits:expr, $error:expr) => {
        $(#[$about])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// As text.
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
    /// A customer: a tenant of the list.
    Customer, plain, NameError::Name
);
name!(
    /// A shard's name, its customer's own.
    ShardName, plain, NameError::Name
);
name!(
    /// A region.
    Region, plain, NameError::Name
);
name!(
    /// A zone.
    Zone, plain, NameError::Name
);
name!(
    /// What makes a request sent again known as the same.
    Key, plain, NameError::Name
);
name!(
    /// A title's name.
    Title,
    |t| !t.is_empty() && t.len() <= MOST_TITLE && !t.chars().any(char::is_control),
    NameError::Title
);

/// A shard: whose, and its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Whose.
    pub customer: Customer,
    /// Its name.
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
    /// A box, as the list numbers it.
    BoxId(u32)
);
number!(
    /// A rack: its boxes share an uplink.
    RackId(u16)
);
number!(
    /// One life of a front's process, drawn at its start.
    FrontId(u64)
);
number!(
    /// One life of a box's process, drawn at its start: orders for another life are refused.
    Life(u64)
);
number!(
    /// A box's disk, drawn when it was first written: a box that comes back with another has nothing of what it had.
    DiskId(u64)
);
number!(
    /// A version of a shard's request; the first is 1.
    Version(u64)
);
number!(
    /// The number of a record that fronts are told. It only rises, over all shards.
    Revision(u64)
);
number!(
    /// The number of an order to a box. It only rises, over all boxes; a box takes none below the highest it has seen of a shard.
    Order(u64)
);
number!(
    /// What a customer asked, for asking later what became of it.
    AskId(u64)
);

/// SHA-256 of a shard's content. Boxes are never told it: one that has not read the content can't repeat it.
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

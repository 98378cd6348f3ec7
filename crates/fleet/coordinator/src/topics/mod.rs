//! Topics for those who write and read them: a publisher and a follower, each on a thread of its own with its connection, so that
//! whoever uses one waits for nothing but a lock.

mod follower;
mod publisher;

pub use follower::{Follower, FollowerEvent};
pub use publisher::{PublishResult, Publisher, WriteMode};

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;

use crate::settings::FleetSettings;
use crate::wire::{self, Message};

const CONNECT: Duration = Duration::from_millis(300);
const WRITE: Duration = Duration::from_millis(500);
const STACK: usize = 256 << 10;
/// The longest that a thread waits before it looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);

/// What came over a connection, by its number: a word, or its end.
type Inbound = (u64, Option<Message>);

/// A connection to a keeper, with a thread that reads.
struct Conn {
    number: u64,
    stream: TcpStream,
    fleet: u64,
}

impl Conn {
    /// Connects to a keeper, by its place among those of the settings.
    fn open(set: &FleetSettings, keeper: usize, number: u64, came: Sender<Inbound>) -> Option<Conn> {
        let address = set.reach(*set.keepers.get(keeper)?);
        let stream = TcpStream::connect_timeout(&address, CONNECT).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_write_timeout(Some(WRITE)).ok()?;
        let (mut reads, fleet) = (stream.try_clone().ok()?, set.number());
        let read = move || {
            while let Ok(word) = wire::read(fleet, &mut reads) {
                if came.send((number, Some(word))).is_err() {
                    return;
                }
            }
            let _ = came.send((number, None));
        };
        thread::Builder::new().name("hears".into()).stack_size(STACK).spawn(read).ok()?;
        Some(Conn { number, stream, fleet })
    }

    /// Writes words together; false: it is of no more use.
    fn say<'a>(&mut self, words: impl IntoIterator<Item = &'a Message>) -> bool {
        let bytes: Vec<u8> =
            words.into_iter().filter_map(|w| wire::encode(self.fleet, w)).flatten().collect();
        self.stream.write_all(&bytes).is_ok()
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

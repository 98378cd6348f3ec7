//! Clients of topics: a publisher and a follower. Each has its own thread and connection, so that its user never waits for the
//! network.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
const STACK_BYTES: usize = 256 << 10;
/// Maximum wait of the threads before they check whether they must stop.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// A message from a connection, or the end of the connection.
struct Inbound {
    /// The id of the connection.
    connection: u64,
    /// The message, or `None` if the connection has ended.
    message: Option<Message>,
}

/// A connection to a replica. Its reader thread ends with it.
struct Connection {
    id: u64,
    stream: TcpStream,
    fleet: u64,
}

impl Connection {
    /// Connects to the replica with an index in the settings. Returns `None` if the connection or its thread can't be opened.
    fn open(
        settings: &FleetSettings,
        replica: usize,
        id: u64,
        sender: Sender<Inbound>,
    ) -> Option<Connection> {
        let address = settings.dial_address(*settings.replicas.get(replica)?);
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        let (mut reader, fleet) = (stream.try_clone().ok()?, settings.fleet_id());
        let read_messages = move || {
            while let Ok(message) = wire::read(fleet, &mut reader) {
                if sender.send(Inbound { connection: id, message: Some(message) }).is_err() {
                    return;
                }
            }
            let _ = sender.send(Inbound { connection: id, message: None });
        };
        thread::Builder::new().name("hears".into()).stack_size(STACK_BYTES).spawn(read_messages).ok()?;
        Some(Connection { id, stream, fleet })
    }

    /// Sends messages in one write. Returns `false` if the write fails and the connection is unusable.
    fn send<'a>(&mut self, messages: impl IntoIterator<Item = &'a Message>) -> bool {
        let bytes: Vec<u8> =
            messages.into_iter().filter_map(|message| wire::encode(self.fleet, message)).flatten().collect();
        self.stream.write_all(&bytes).is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

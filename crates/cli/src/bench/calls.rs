//! SIP client of `bench`: makes one call, by the same steps to a media server or to a front.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use beechloft_fakes::dice::Dice;
use beechloft_fakes::{caller, offer};
use beechloft_http::client::Pool;
use beechloft_sip::dialog::{Dialog, IdGenerator, LocalEndpoint};
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{Message, Method, Request, Response};

/// Makes a call, acknowledges the answer and hangs up. Returns the time to the answer. Each call has its own connection, as an
/// attempt of a front has.
pub fn run_call(_: &Pool, to: SocketAddr, dice: &mut Dice) -> io::Result<Duration> {
    let start = Instant::now();
    let mut connection = Connection::open(to)?;
    let (own, mut id_generator) =
        (connection.socket.local_addr()?.to_string(), IdGenerator::new(dice.number()));
    let (body, id, branch) =
        (offer::plain(&id_generator.tag(), None), id_generator.tag(), id_generator.branch());
    let local = LocalEndpoint { transport: "TCP", sent_by: own };
    let Some(invite) = caller::invite(&local, to, "asparagus", &id, &branch, &body) else {
        return Err(io::Error::other("can't build an INVITE for this address"));
    };
    connection.send(&invite)?;
    let answer = connection.read_final_response(Method::Invite)?;
    let answer_time = start.elapsed();
    if answer.status != 200 {
        connection.send(&invite.ack_for(&answer))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    let mut dialog = Dialog::as_client(&invite, &answer).map_err(io::Error::other)?;
    let no_target = || io::Error::other("invalid Contact address in the answer");
    connection.send(&dialog.ack(1, &local, &id_generator.branch()).ok_or_else(no_target)?)?;
    connection
        .send(&dialog.request(Method::Bye, &local, &id_generator.branch(), None).ok_or_else(no_target)?)?;
    connection.read_final_response(Method::Bye)?;
    Ok(answer_time)
}

/// SIP connection over TCP.
struct Connection {
    socket: TcpStream,
    framer: Framer,
    framed: Vec<Framed>,
}

impl Connection {
    fn open(to: SocketAddr) -> io::Result<Connection> {
        let socket = TcpStream::connect(to)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(4)))?;
        Ok(Connection { socket, framer: Framer::default(), framed: Vec::new() })
    }

    fn send(&mut self, request: &Request) -> io::Result<()> {
        self.socket.write_all(&request.encode())
    }

    /// Reads until the final response to the request with the given method.
    fn read_final_response(&mut self, method: Method) -> io::Result<Response> {
        let mut buf = [0; 4096];
        loop {
            for framed in self.framed.drain(..) {
                if let Framed::Message(message) = framed
                    && let Message::Response(response) = *message
                    && response.method == method
                    && response.is_final()
                {
                    return Ok(response);
                }
            }
            let length = self.socket.read(&mut buf)?;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.framer.push(&buf[..length], &mut self.framed).map_err(io::Error::other)?;
        }
    }
}

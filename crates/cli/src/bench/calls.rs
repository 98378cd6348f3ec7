//! One call, by the same steps to a box or to a front.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use beechloft_fakes::dice::Dice;
use beechloft_fakes::{caller, offer};
use beechloft_http::client::Pool;
use beechloft_sip::dialog::{Dialog, IdGenerator, LocalEndpoint};
use beechloft_sip::framing::{Framed, Framer};
use beechloft_sip::message::{Message, Method, Request, Response};

/// Calls, acknowledges and hangs up; the time to the answer. A connection of its own, as a front's attempt has.
pub fn one(_: &Pool, to: SocketAddr, dice: &mut Dice) -> io::Result<Duration> {
    let began = Instant::now();
    let mut stream = Stream::open(to)?;
    let (own, mut id_generator) = (stream.socket.local_addr()?.to_string(), IdGenerator::new(dice.number()));
    let (body, id, branch) =
        (offer::plain(&id_generator.tag(), None), id_generator.tag(), id_generator.branch());
    let at = LocalEndpoint { transport: "TCP", sent_by: own };
    let Some(invite) = caller::invite(&at, to, "asparagus", &id, &branch, &body) else {
        return Err(io::Error::other("an INVITE that makes no sense"));
    };
    stream.send(&invite)?;
    let answer = stream.answer(Method::Invite)?;
    let took = began.elapsed();
    if answer.status != 200 {
        stream.send(&invite.ack_for(&answer))?;
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    let mut dialog = Dialog::as_client(&invite, &answer).map_err(io::Error::other)?;
    let nothing = || io::Error::other("a box whose address makes no sense");
    stream.send(&dialog.ack(1, &at, &id_generator.branch()).ok_or_else(nothing)?)?;
    stream.send(&dialog.request(Method::Bye, &at, &id_generator.branch(), None).ok_or_else(nothing)?)?;
    stream.answer(Method::Bye)?;
    Ok(took)
}

struct Stream {
    socket: TcpStream,
    framer: Framer,
    framed: Vec<Framed>,
}

impl Stream {
    fn open(to: SocketAddr) -> io::Result<Stream> {
        let socket = TcpStream::connect(to)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(4)))?;
        Ok(Stream { socket, framer: Framer::default(), framed: Vec::new() })
    }

    fn send(&mut self, request: &Request) -> io::Result<()> {
        self.socket.write_all(&request.encode())
    }

    /// The final answer to the request of a method.
    fn answer(&mut self, method: Method) -> io::Result<Response> {
        let mut buf = [0; 4096];
        loop {
            for part in self.framed.drain(..) {
                if let Framed::Message(message) = part
                    && let Message::Response(response) = *message
                    && response.method == method
                    && response.is_final()
                {
                    return Ok(response);
                }
            }
            let n = self.socket.read(&mut buf)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.framer.push(&buf[..n], &mut self.framed).map_err(io::Error::other)?;
        }
    }
}

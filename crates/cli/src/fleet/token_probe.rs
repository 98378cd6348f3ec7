//! The command `lease act`: sends a lease's fencing token repeatedly to a server that checks tokens.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use crate::fail;

/// Time to connect, and time for each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code if the server refused the token because it had seen a higher one.
const STALE_TOKEN: u8 = 3;

/// Sends the token at the given interval until the process is stopped or the token is refused as stale.
pub fn run(address: SocketAddr, holder: &str, interval: Duration) -> ExitCode {
    let Some(token) = std::env::var("BEECHLOFT_FENCE").ok().and_then(|t| t.parse::<u64>().ok()) else {
        return fail(2, "BEECHLOFT_FENCE is not a token; run this command by `lease hold`");
    };
    if holder.is_empty() || holder.len() > 48 || holder.chars().any(char::is_control) {
        return fail(2, "--as must have 1 to 48 bytes and no control characters");
    }
    let line = format!("{token} {holder}\n");
    let mut connection: Option<BufReader<TcpStream>> = None;
    loop {
        if connection.is_none() {
            connection = connect(address).ok();
        }
        match connection.as_mut().map(|connection| send(connection, &line)) {
            Some(Ok(true)) => {}
            Some(Ok(false)) => return fail(STALE_TOKEN, format_args!("token {token} is stale")),
            // The server is unreachable or the connection broke. The request may have been performed; repeating it with the same
            // token is safe.
            Some(Err(_)) | None => connection = None,
        }
        std::thread::sleep(interval);
    }
}

fn connect(address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    Ok(BufReader::new(stream))
}

/// Sends one request. Returns `true` if it was performed and `false` if the token is stale.
fn send(connection: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<bool> {
    connection.get_mut().write_all(line.as_bytes())?;
    let mut answer = String::new();
    connection.read_line(&mut answer)?;
    match answer.as_str() {
        "done\n" => Ok(true),
        "stale\n" => Ok(false),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

//! `lease act`: whoever acts by a lease at something that checks tokens.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use crate::fail;

/// For a connection, and for an answer.
const WITHIN: Duration = Duration::from_secs(2);
/// The token was refused: a higher one had been seen.
const STALE: u8 = 3;

/// Acts until it is ended, or told that its token is an old one.
pub fn run(at: SocketAddr, holder: &str, every: Duration) -> ExitCode {
    let Some(token) = std::env::var("BEECHLOFT_FENCE").ok().and_then(|t| t.parse::<u64>().ok()) else {
        return fail(2, "BEECHLOFT_FENCE is no token: run it by `lease hold`");
    };
    if holder.is_empty() || holder.len() > 48 || holder.chars().any(char::is_control) {
        return fail(2, "--as: 1 to 48 bytes without control characters are needed");
    }
    let line = format!("{token} {holder}\n");
    let mut conn: Option<BufReader<TcpStream>> = None;
    loop {
        if conn.is_none() {
            conn = open(at).ok();
        }
        match conn.as_mut().map(|c| say(c, &line)) {
            Some(Ok(true)) => {}
            Some(Ok(false)) => return fail(STALE, format_args!("token {token} is an old one")),
            // It is away, or the connection broke: what was said may have been done, and is said again by the same token.
            Some(Err(_)) | None => conn = None,
        }
        std::thread::sleep(every);
    }
}

fn open(at: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&at, WITHIN)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(WITHIN))?;
    stream.set_write_timeout(Some(WITHIN))?;
    Ok(BufReader::new(stream))
}

/// Whether it was done.
fn say(conn: &mut BufReader<TcpStream>, line: &str) -> std::io::Result<bool> {
    conn.get_mut().write_all(line.as_bytes())?;
    let mut answer = String::new();
    conn.read_line(&mut answer)?;
    match answer.as_str() {
        "done\n" => Ok(true),
        "stale\n" => Ok(false),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

//! Reads batches on standard input and answers each on standard output.
#![forbid(unsafe_code)]

use std::io::{self, Read, Write};
use std::process::ExitCode;

use beechloft_simhost::host::Host;
use beechloft_simhost::wire::{self, HEADER, WireError};

/// Fills the buffer as far as the input goes and says how far.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    loop {
        let mut header = [0; HEADER];
        match fill(&mut input, &mut header)? {
            0 => return Ok(()),
            HEADER => {}
            got => return Err(WireError::Truncated { got, want: HEADER }.into()),
        }
        let len = wire::frame_len(&header)?;
        // Read through `take`, so that a wild length costs no more memory than the bytes that really came.
        let mut frame = header.to_vec();
        (&mut input).take((len - HEADER) as u64).read_to_end(&mut frame)?;
        let actions = host.handle(wire::decode(&frame)?)?;
        output.write_all(&wire::encode(&actions))?;
        output.flush()?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("beechloft-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}

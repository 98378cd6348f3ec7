//! Reads batches from standard input and writes the reply to each to standard output.
#![forbid(unsafe_code)]

use std::io::{self, Read, Write};
use std::process::ExitCode;

use beechloft_simhost::host::Host;
use beechloft_simhost::wire::{self, HEADER_SIZE, WireError};

/// Size of the input buffer in bytes.
const INPUT_BUFFER_SIZE: usize = 1 << 16;

/// Fills the buffer as far as the input goes and returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(count) => received += count,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(received)
}

/// Handles batches until the end of the input.
fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_SIZE, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    loop {
        let mut header = [0; HEADER_SIZE];
        match read_up_to(&mut input, &mut header)? {
            0 => return Ok(()),
            HEADER_SIZE => {}
            received => return Err(WireError::Truncated { received, expected: HEADER_SIZE }.into()),
        }
        let length = wire::frame_length(&header)?;
        // `take` limits the memory to the bytes that really arrive, whatever length the header announces.
        let body_length = (length - HEADER_SIZE) as u64;
        let mut frame = header.to_vec();
        (&mut input).take(body_length).read_to_end(&mut frame)?;
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

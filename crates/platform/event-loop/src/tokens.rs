//! Poll tokens, which map events of the poll to sockets.

use beechloft_front_node::ViewerConnection;
use mio::Token;

/// Token of the listener for viewers' connections.
pub(crate) const LISTENER: Token = Token(0);
/// Token of the pipe that receives SIGHUP.
pub(crate) const SIGHUP_PIPE: Token = Token(1);
/// Token of the pipe that receives SIGTERM.
pub(crate) const SIGTERM_PIPE: Token = Token(2);

/// First token that a connection can have.
const FIRST_CONNECTION: usize = 16;

/// Allocator of tokens for connections. Tokens increase and are never reused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenAllocator {
    next: usize,
}

impl Default for TokenAllocator {
    fn default() -> TokenAllocator {
        TokenAllocator { next: FIRST_CONNECTION }
    }
}

impl TokenAllocator {
    /// Returns a token that no other connection has had.
    pub fn allocate(&mut self) -> Token {
        let token = Token(self.next);
        self.next += 1;
        token
    }
}

/// Returns the identifier of a viewers' connection in the state machine.
pub(crate) fn viewer_connection(token: Token) -> ViewerConnection {
    ViewerConnection(token.0 as u64)
}

/// Returns the token of a viewers' connection from its identifier in the state machine.
#[expect(clippy::cast_possible_truncation, reason = "every ViewerConnection was made from a token")]
pub(crate) fn viewer_token(conn: ViewerConnection) -> Token {
    Token(conn.0 as usize)
}

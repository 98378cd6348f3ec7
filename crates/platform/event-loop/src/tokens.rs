//! Poll tokens: which socket an event of the poll belongs to.

use beechloft_front_node::ViewerConnection;
use mio::Token;

/// The listener for viewers' connections.
pub(crate) const LISTENER: Token = Token(0);
/// The pipe that receives SIGHUP.
pub(crate) const SIGHUP_PIPE: Token = Token(1);
/// The pipe that receives SIGTERM.
pub(crate) const SIGTERM_PIPE: Token = Token(2);

/// The first token of a connection.
const FIRST_CONNECTION: usize = 16;

/// Gives each connection its token. Tokens rise and are never used twice.
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
    /// A token that no connection has had before.
    pub fn allocate(&mut self) -> Token {
        let token = Token(self.next);
        self.next += 1;
        token
    }
}

/// The name that the state machine knows a viewers' connection by.
pub(crate) fn viewer_conn(token: Token) -> ViewerConnection {
    ViewerConnection(token.0 as u64)
}

/// The token of a viewers' connection that the state machine names.
#[expect(clippy::cast_possible_truncation, reason = "every ViewerConnection was made from a token")]
pub(crate) fn viewer_token(conn: ViewerConnection) -> Token {
    Token(conn.0 as usize)
}

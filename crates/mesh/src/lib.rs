//! Decisions of membership and distribution: messages and time in, actions out. No sockets.

//! Decisions on a request: routing, balancing, limits, retries, at-most-once and drain. No sockets.

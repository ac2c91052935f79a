//! Messages between daemons, their framing and their size limits.

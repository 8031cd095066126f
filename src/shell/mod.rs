//! Sockets, clocks and threads around the core.

//! The edges of the process: traits behind which the platform and the backend servers stand.
//!
//! The users' own protocols become new implementations of these: see `docs/edges.md`.

//! Small helpers that no library of this project brings.

pub mod hex;

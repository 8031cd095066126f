//! Options: command line and settings, merged into one struct.

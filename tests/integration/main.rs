//! Tests of whole daemons over real sockets, in one process.

#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod binaries;
mod callers;
mod failure;
mod files;
mod hostile;
mod operators;
mod outage;
mod path;
mod silence;
mod slow;

/// Runs a test's future with a runtime of its own.
fn run(future: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(future);
}

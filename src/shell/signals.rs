//! Signals that ask a daemon to leave.

use std::{
    io,
    sync::{
        atomic::Ordering,
        mpsc, //
    },
    thread,
};

use ntex::{
    rt::{
        DefaultRuntime,
        System, //
    },
    util::{
        Either,
        select, //
    },
};

use super::daemon::{
    Daemon,
    Left, //
};

impl Daemon {
    /// Runs until a signal asks the daemon to leave, and returns what was left.
    ///
    /// # Errors
    ///
    /// Where signals can't be caught.
    pub fn run_until_signal(&self) -> io::Result<Left> {
        let (first, is_first) = mpsc::channel();
        let shell = self.shell.clone();
        let logger = self.shell.logger.clone();
        thread::Builder::new()
            .name("signals".to_string())
            .spawn(move || {
                let system = System::new("signals", DefaultRuntime);
                system.block_on(async move {
                    if let Err(error) = next_signal().await {
                        slog::error!(logger, "no signals"; "error" => %error);
                        return;
                    }
                    let _ = first.send(());
                    // A second signal ends the wait for those who are unfinished.
                    if next_signal().await.is_ok() {
                        shell.hurry.store(true, Ordering::Release);
                    }
                });
            })?;
        if is_first.recv().is_err() {
            return Err(io::Error::other("signals can't be caught"));
        }
        Ok(self.leave())
    }
}

async fn next_signal() -> io::Result<()> {
    use tokio::signal::unix::{
        SignalKind,
        signal, //
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    match select(
        Box::pin(terminate.recv()),
        Box::pin(interrupt.recv()), //
    )
    .await
    {
        Either::Left(_) | Either::Right(_) => Ok(()),
    }
}

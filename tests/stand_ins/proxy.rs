//! A proxy that can turn its open connections silent for good, while new ones work.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
};

use super::free_port;

/// A proxy before one address.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections of an older age are silent.
    age: AtomicU64,
    /// Connections that were turned silent while open.
    pub silenced: AtomicU64,
}

impl Proxy {
    /// Starts a proxy, which runs as long as the program.
    pub fn spawn(target: SocketAddr) -> Arc<Self> {
        let (listener, address) = free_port();
        let proxy = Arc::new(Self {
            address,
            age: AtomicU64::new(0),
            silenced: AtomicU64::new(0),
        });
        let accepting = proxy.clone();
        thread::spawn(move || accepting.accept(&listener, target));
        proxy
    }

    /// Turns all open connections silent: nothing passes any more, and nothing is closed.
    pub fn silence(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, target: SocketAddr) {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let age = self.age.load(Ordering::SeqCst);
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let proxy = self.clone();
                thread::spawn(move || proxy.pass(age, from, to));
            }
        }
    }

    fn pass(&self, age: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 4_096];
        while let Ok(length) = from.read(&mut buffer) {
            if self.age.load(Ordering::SeqCst) != age {
                self.silenced.fetch_add(1, Ordering::SeqCst);
                // Both sockets stay open and mute, as when an appliance has forgotten them.
                loop {
                    thread::park();
                }
            }
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}

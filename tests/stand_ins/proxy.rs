//! A proxy that can turn its open connections silent for good, while new ones work.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        Arc, OnceLock,
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
    /// Where all goes that comes.
    target: OnceLock<SocketAddr>,
    /// Connections of an older age are silent.
    age: AtomicU64,
    /// Connections that were turned silent while open.
    pub silenced: AtomicU64,
}

impl Proxy {
    /// Starts a proxy, which runs as long as the program.
    pub fn spawn(target: SocketAddr) -> Arc<Self> {
        let (proxy, listener) = Self::bind();
        proxy.set_target(target);
        let accepting = proxy.clone();
        thread::spawn(move || accepting.accept(&listener));
        proxy
    }

    /// Starts a proxy for a host's frames, whose target is told later. Datagrams always pass.
    pub fn spawn_for_peer() -> Arc<Self> {
        let (proxy, listener, datagrams) = loop {
            let (proxy, listener) = Self::bind();
            // The port may be free for TCP alone.
            if let Ok(datagrams) = UdpSocket::bind(proxy.address) {
                break (proxy, listener, datagrams);
            }
        };
        let accepting = proxy.clone();
        thread::spawn(move || accepting.accept(&listener));
        let passing = proxy.clone();
        thread::spawn(move || passing.pass_datagrams(&datagrams));
        proxy
    }

    fn bind() -> (Arc<Self>, TcpListener) {
        let (listener, address) = free_port();
        let proxy = Arc::new(Self {
            address,
            target: OnceLock::new(),
            age: AtomicU64::new(0),
            silenced: AtomicU64::new(0),
        });
        (proxy, listener)
    }

    /// Tells where all goes that comes. Until then it is lost.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target).expect("the target is told once");
    }

    fn pass_datagrams(&self, datagrams: &UdpSocket) {
        let mut buffer = [0; 65_536];
        loop {
            // An error tells of an earlier datagram that nobody took.
            if let Ok((length, _)) = datagrams.recv_from(&mut buffer)
                && let Some(target) = self.target.get()
            {
                let _ = datagrams.send_to(&buffer[..length], target);
            }
        }
    }

    /// Turns all open connections silent: nothing passes any more, and nothing is closed.
    pub fn silence(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming().flatten() {
            let Some(target) = self.target.get() else {
                continue;
            };
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

//! Ports for the processes of a test, which nobody else is given meanwhile.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Socket, Type};

/// The addresses that this process has taken so far.
static COUNT: AtomicU32 = AtomicU32::new(1);

/// Ports on one loopback address, reserved for as long as this is kept.
///
/// What goes wrong with a port that is found by binding to it and released for the process that is to
/// have it: it is taken when that process starts, which ends with `Address already in use`, or the test
/// waits for it in vain. It is given to a socket that asks for any port; or the listener that was closed
/// is still open in a child that another thread has forked and that has not yet got as far as its own
/// program. So the socket that reserves a port stays open and never listens: the kernel gives its port to
/// nobody that asks for any, and lets another socket listen on it, whoever has a copy.
#[derive(Clone, Debug)]
pub struct Ports {
    ip: IpAddr,
    reserved: Arc<Mutex<Vec<Socket>>>,
}

impl Ports {
    /// Takes an address out of 127.64.0.0/10 that this process has not taken before. Another process may
    /// use the same one; its ports are others all the same.
    pub fn open() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let [.., count] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), low, count.max(1));
        Self { ip: ip.into(), reserved: Arc::default() }
    }

    /// Returns the address that all the ports are on.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Reserves a port for TCP and, since only its holder uses this address, for UDP.
    ///
    /// # Errors
    /// Where the kernel has no socket or no port left.
    pub fn reserve(&self) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // The holder's listener sets it too, as the usual libraries do; both must.
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(self.ip, 0).into())?;
        let address = socket.local_addr()?.as_socket();
        self.reserved.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
        address.ok_or_else(|| io::Error::other("a socket without an address"))
    }

    /// Reserves a port.
    ///
    /// # Panics
    /// Where the kernel has none left: a test can't go on.
    pub fn free(&self) -> SocketAddr {
        self.reserve().expect("loopback has a free port")
    }
}

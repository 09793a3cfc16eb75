//! Reserved ports for the processes of a test.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Socket, Type};

/// The number of the next loopback address that this process takes.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

/// Ports on one loopback address that stay reserved until this value and its clones are dropped.
///
/// A test could also find a free port by binding to it and releasing it for the process that needs
/// it. But that port may be taken again when the process starts: the process then fails with
/// `Address already in use`, or the test waits for it in vain. Either the kernel has given the port
/// to a socket that asked for any port, or the closed listener is still open in a child that another
/// thread has forked and that has not yet called `exec`.
///
/// Here, the socket that reserves a port stays open and never listens. The kernel then doesn't give
/// the port to sockets that ask for any port, but lets another socket listen on it, even if forked
/// children hold copies of the reserving socket.
#[derive(Clone, Debug)]
pub struct Ports {
    ip: IpAddr,
    reserved: Arc<Mutex<Vec<Socket>>>,
}

impl Ports {
    /// Takes an address out of 127.64.0.0/10 that this process has not taken before. Another process
    /// may use the same address, but is given other ports of it.
    pub fn open() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let [.., number] = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), low, number.max(1));
        Self { ip: ip.into(), reserved: Arc::default() }
    }

    /// Returns the IP address of all the ports.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Reserves a port for TCP. The holder can use it for UDP too, because only the holder uses this
    /// address.
    ///
    /// # Errors
    /// Returns an error if the kernel has no socket or no port left.
    pub fn try_reserve(&self) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Both sockets on the port need this option; the common libraries set it on listeners.
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(self.ip, 0).into())?;
        let address = socket.local_addr()?.as_socket();
        self.reserved.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
        address.ok_or_else(|| io::Error::other("the reserving socket has no IP address"))
    }

    /// Reserves a port like [`Ports::try_reserve`].
    ///
    /// # Panics
    /// Panics if the kernel has no socket or no port left, because the test can't continue.
    pub fn reserve(&self) -> SocketAddr {
        self.try_reserve().expect("a free port on the loopback address")
    }
}

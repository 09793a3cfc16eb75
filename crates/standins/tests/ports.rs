//! Ports that are reserved for the processes of a test.

use std::net::TcpListener;

use socket2::{Domain, Socket, Type};
use standins::Ports;

/// Symptom: a member of a test ends at its start with `bind operators' HTTP: Address already in use`, and
/// the test waits for it for a minute; 3 of some 350 runs beside load.
/// Sequence: the test listens on any port to find one that is free, closes the listener and starts the
/// member; another thread of the test has just forked a child, or binds to any port.
/// Cause: the child has a copy of the listener until it runs its own program; or the kernel gives the port,
/// which nobody holds, to the other socket. 40,000 members started one by one in this way failed 7 times,
/// 27,000 where no child was forked meanwhile did not.
#[test]
fn a_reserved_port_is_free_for_its_holder_alone() {
    let ports = Ports::open();
    let address = ports.free();
    // What asks for any port is given none that another socket could not take by name.
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let taken = other.bind(&address.into()).expect_err("the port is reserved");
    assert_eq!(taken.kind(), std::io::ErrorKind::AddrInUse);
    // All copies of the reserving socket stay open, as they do in a forked child.
    for _ in 0..2 {
        let listener = TcpListener::bind(address).expect("its holder listens");
        assert_eq!(listener.local_addr().expect("an address"), address);
    }
}

#[test]
fn no_port_is_given_twice() {
    let (one, other) = (Ports::open(), Ports::open());
    assert_ne!(one.ip(), other.ip());
    let mut given: Vec<_> = (0..200).map(|_| one.free()).collect();
    given.sort_unstable();
    given.dedup();
    assert_eq!(given.len(), 200);
}

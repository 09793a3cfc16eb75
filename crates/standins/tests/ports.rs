//! Tests of the ports that are reserved for the processes of tests.

use std::net::TcpListener;

use socket2::{Domain, Socket, Type};
use standins::Ports;

/// Guards against a member that fails at its start with `bind operators' HTTP: Address already in
/// use`, for which its test waited a minute in 3 of about 350 runs under load.
///
/// This happened when a test listened on any port to find a free one, closed the listener and
/// started the member on that port. If another thread had just forked a child, the child had a copy
/// of the listener until it called `exec`. Or the kernel gave the unused port to another socket that
/// asked for any port. Of 40,000 members started one after the other in this way, 7 failed; of
/// 27,000 started while no child was forked, none did.
#[test]
fn a_reserved_port_is_free_for_its_holder_alone() {
    let ports = Ports::open();
    let address = ports.reserve();
    // A socket that asks for any port gets only ports that it could also bind explicitly.
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let error = other.bind(&address.into()).expect_err("the port is reserved");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    // The reserving socket stays open meanwhile, as its copy does in a forked child.
    for _ in 0..2 {
        let listener = TcpListener::bind(address).expect("its holder listens");
        assert_eq!(listener.local_addr().expect("an address"), address);
    }
}

#[test]
fn no_port_is_given_twice() {
    let (one, other) = (Ports::open(), Ports::open());
    assert_ne!(one.ip(), other.ip());
    let mut addresses: Vec<_> = (0..200).map(|_| one.reserve()).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), 200);
}

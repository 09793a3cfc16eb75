//! Forwards datagrams between clients and the proxy's target.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::{CHUNK_BYTES, Inner};
use crate::http::Availability;

/// Forwards datagrams from clients to the target. Each client gets its own socket to the target, so
/// that replies can be sent back to it.
pub(super) async fn forward_requests(inner: Arc<Inner>, listener: Arc<UdpSocket>) {
    let mut availability = inner.availability.subscribe();
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut datagram = vec![0; CHUNK_BYTES];
    loop {
        let received = tokio::select! {
            _ = availability.wait_for(|it| *it == Availability::Stopped) => return,
            received = listener.recv_from(&mut datagram) => received,
        };
        let Ok((length, client)) = received else { continue };
        if inner.discards_datagram(length, |rule| rule.silent_up) {
            continue;
        }
        if let Some(socket) = clients.get(&client) {
            let _ = socket.send(&datagram[..length]).await;
            continue;
        }
        let Ok(socket) = connect(inner.target).await else { continue };
        let _ = socket.send(&datagram[..length]).await;
        tokio::spawn(forward_replies(inner.clone(), socket.clone(), listener.clone(), client));
        clients.insert(client, socket);
    }
}

async fn connect(target: SocketAddr) -> std::io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(target).await?;
    Ok(Arc::new(socket))
}

/// Forwards replies of the target to one client.
async fn forward_replies(
    inner: Arc<Inner>,
    socket: Arc<UdpSocket>,
    listener: Arc<UdpSocket>,
    client: SocketAddr,
) {
    let mut availability = inner.availability.subscribe();
    let mut datagram = vec![0; CHUNK_BYTES];
    loop {
        let received = tokio::select! {
            _ = availability.wait_for(|it| *it == Availability::Stopped) => return,
            received = socket.recv(&mut datagram) => received,
        };
        let Ok(length) = received else { continue };
        if !inner.discards_datagram(length, |rule| rule.silent_down) {
            let _ = listener.send_to(&datagram[..length], client).await;
        }
    }
}

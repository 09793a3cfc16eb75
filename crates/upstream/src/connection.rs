//! One connection to an upstream.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::write_counter::{CountedStream, WriteCounter};

/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A connection that carries one call at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) counter: Arc<WriteCounter>,
    /// When it last delivered a complete response, or when it was opened.
    pub(crate) last_success: Instant,
    task: AbortHandle,
}

impl Connection {
    /// Opens a connection. Its I/O runs in a task of the current runtime.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let counter = Arc::new(WriteCounter::default());
        let io = CountedStream::new(TokioIo::new(stream), Arc::clone(&counter));
        let mut builder = http1::Builder::new();
        builder.max_header_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.map_err(io::Error::other)?;
        let driver = async {
            if let Err(e) = driver.await {
                log::debug!("upstream connection ended: {e}");
            }
        };
        let task = tokio::spawn(driver).abort_handle();
        Ok(Self { sender, counter, last_success: Instant::now(), task })
    }

    /// Stops all writes, closes the socket and returns the number of bytes written.
    pub(crate) fn close(&self) -> u64 {
        let written = self.counter.close();
        self.task.abort();
        written
    }
}

//! The evidence of whether a call was sent.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;

use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, DuplexStream, duplex};
use upstream::{CountedStream, WriteCounter};

type Stream = CountedStream<TokioIo<DuplexStream>>;

async fn write(stream: &mut Stream, bytes: &[u8]) -> std::io::Result<usize> {
    poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, bytes)).await
}

/// Guards against reporting "not run" for a call whose bytes leave a moment later: a call is dropped
/// while its bytes still wait in the task of the connection, which then writes them. The count is
/// final only once later writes fail.
#[tokio::test]
async fn no_byte_passes_after_the_count_is_final() {
    let (near, mut far) = duplex(64);
    let counter = Arc::new(WriteCounter::default());
    let mut stream = CountedStream::new(TokioIo::new(near), Arc::clone(&counter));
    assert_eq!(write(&mut stream, b"abc").await.unwrap(), 3);
    assert_eq!(counter.written(), 3);
    assert_eq!(counter.close(), 3);
    let error = write(&mut stream, b"def").await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::BrokenPipe);
    assert_eq!(counter.written(), 3);
    drop(stream);
    let mut all = Vec::new();
    far.read_to_end(&mut all).await.unwrap();
    assert_eq!(all, b"abc");
}

/// Guards against treating a call as unsent although the kernel accepted the first bytes of a write.
#[tokio::test]
async fn a_partial_write_counts() {
    let (near, _far) = duplex(2);
    let counter = Arc::new(WriteCounter::default());
    let mut stream = CountedStream::new(TokioIo::new(near), Arc::clone(&counter));
    assert_eq!(write(&mut stream, b"abc").await.unwrap(), 2);
    assert_eq!(counter.close(), 2);
}

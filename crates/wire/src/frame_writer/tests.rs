use bytes::Bytes;
use futures_util::StreamExt;
use tokio::io::DuplexStream;
use tokio_util::codec::FramedRead;

use super::{FrameWriter, LARGE_FRAME_BYTES};
use crate::frame;

struct Case {
    name: &'static str,
    sizes: &'static [usize],
}

const CASES: &[Case] = &[
    Case { name: "an empty frame", sizes: &[0] },
    Case { name: "small frames", sizes: &[1, 2, 900, 3] },
    Case { name: "more small frames than are collected", sizes: &[3_000; 40] },
    Case { name: "at the limit", sizes: &[LARGE_FRAME_BYTES - 1, LARGE_FRAME_BYTES, 1] },
    Case { name: "large and small ones in turn", sizes: &[5, 3 << 20, 7, 1 << 20, 0] },
];

fn frames(sizes: &[usize]) -> Vec<Bytes> {
    let frame = |(number, size): (usize, &usize)| Bytes::from(vec![number as u8; *size]);
    sizes.iter().enumerate().map(frame).collect()
}

async fn write(to: DuplexStream, frames: Vec<Bytes>) -> FrameWriter<DuplexStream> {
    let mut writer = FrameWriter::new(to);
    for frame in &frames {
        writer.feed(frame).await.expect("a reader");
    }
    writer.flush().await.expect("a reader");
    writer
}

#[tokio::test]
async fn frames_arrive_whole_and_in_order() {
    for case in CASES {
        let (near, far) = tokio::io::duplex(1_000);
        let sent = frames(case.sizes);
        let writing = tokio::spawn(write(near, sent.clone()));
        let mut codec = frame::handshake_codec();
        frame::raise_limit(&mut codec);
        let mut reader = FramedRead::new(far, codec);
        for expected in &sent {
            let frame = reader.next().await.expect("a frame").expect("a sound one");
            assert_eq!(frame.freeze(), *expected, "{}", case.name);
        }
        writing.await.expect("all written");
    }
}

/// Guards against a member that runs out of memory: a list that goes to all entries was copied into
/// the buffer of each connection, which kept that size.
#[tokio::test]
async fn a_large_frame_takes_no_memory_of_its_connection() {
    let (near, far) = tokio::io::duplex(1_000);
    let reading = tokio::spawn(async move {
        let mut far = far;
        tokio::io::copy(&mut far, &mut tokio::io::sink()).await
    });
    let writer = write(near, frames(&[20, 2 << 20, 20, 4 << 20])).await;
    let kept = writer.collected.capacity();
    assert!(kept <= 2 * LARGE_FRAME_BYTES, "{kept} bytes are kept");
    drop(writer);
    reading.await.expect("a reader").expect("all read");
}

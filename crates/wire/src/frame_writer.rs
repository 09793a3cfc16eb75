//! Writes frames without a copy of the large ones.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncWrite, AsyncWriteExt};

#[cfg(test)]
mod tests;

/// The size from which a frame is written from its own bytes; smaller ones are collected into one
/// write.
const LARGE_FRAME_BYTES: usize = 8 << 10;

/// Writes frames, each after its length.
///
/// A frame that is sent on many connections exists once. A buffer that held a copy of it for each
/// connection, and kept its size from then on, would multiply the list of a whole fleet by the number
/// of its processes.
#[derive(Debug)]
pub(crate) struct FrameWriter<W> {
    io: W,
    collected: BytesMut,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    pub(crate) fn new(io: W) -> Self {
        Self { io, collected: BytesMut::new() }
    }

    /// Returns what the frames are written to.
    pub(crate) fn io(&self) -> &W {
        &self.io
    }

    /// Adds a frame. Up to [`LARGE_FRAME_BYTES`] wait until [`FrameWriter::flush`].
    ///
    /// # Errors
    /// Fails if the frame is too large for its length field, or as the writes fail.
    pub(crate) async fn feed(&mut self, frame: &Bytes) -> io::Result<()> {
        let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
        self.collected.put_u32(length);
        if frame.len() < LARGE_FRAME_BYTES {
            self.collected.extend_from_slice(frame);
            if self.collected.len() >= LARGE_FRAME_BYTES {
                self.write_collected().await?;
            }
            return Ok(());
        }
        self.write_collected().await?;
        self.io.write_all(frame).await
    }

    /// Writes everything that waits.
    ///
    /// # Errors
    /// As the writes fail.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.write_collected().await?;
        self.io.flush().await
    }

    /// Writes everything that waits, and ends the writing half.
    ///
    /// # Errors
    /// As the writes fail.
    pub(crate) async fn shutdown(&mut self) -> io::Result<()> {
        self.flush().await?;
        self.io.shutdown().await
    }

    async fn write_collected(&mut self) -> io::Result<()> {
        self.io.write_all(&self.collected).await?;
        self.collected.clear();
        Ok(())
    }
}

//! Length-delimited messages whose memory is accounted for while they arrive.

use super::{
    buffer_budget::{Buffer, BufferBudget},
    buffer_table::{BufferKind, CallerId},
};
use bytes::{Bytes, BytesMut};
use std::{io, net::IpAddr, sync::Arc};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Bytes up to which a message is part of the memory of its connection.
const FREE_BYTES: usize = 16 << 10;

/// The buffer of a message grows by this much at a time.
const STEP_BYTES: usize = 64 << 10;

/// A codec of messages that are preceded by their length.
///
/// A message for which there is no memory is an error, which closes the connection. The memory of a
/// message is released when it is handed out; who keeps parts of it accounts for them.
#[derive(Debug)]
pub struct FrameCodec {
    codec: LengthDelimitedCodec,
    /// `None` for messages that this process asked for.
    buffer: Option<Buffer>,
    held_bytes: usize,
}

impl FrameCodec {
    /// Creates a codec of messages of at most `frame_max_bytes` that this process asked for.
    pub fn new(frame_max_bytes: usize) -> Self {
        Self {
            codec: LengthDelimitedCodec::builder()
                .max_frame_length(frame_max_bytes)
                .new_codec(),
            buffer: None,
            held_bytes: 0,
        }
    }

    /// Accounts for the messages that `peer` sends.
    #[must_use]
    pub fn within(mut self, budget: &Arc<BufferBudget>, peer: IpAddr) -> Self {
        let caller = CallerId::of(peer.to_string().as_bytes());
        self.buffer = Some(budget.open(caller, BufferKind::Whole));
        self
    }

    /// Accounts for `bytes` that have arrived of the next message.
    fn hold(&mut self, bytes: usize) -> io::Result<()> {
        let Some(buffer) = &self.buffer else {
            return Ok(());
        };
        let wanted_bytes = if bytes > FREE_BYTES {
            bytes.next_multiple_of(STEP_BYTES)
        } else {
            0
        };
        if wanted_bytes > self.held_bytes {
            let more_bytes = wanted_bytes - self.held_bytes;
            buffer.grow_now(more_bytes).map_err(io::Error::other)?;
        } else if wanted_bytes < self.held_bytes {
            buffer.shrink(wanted_bytes);
        }
        self.held_bytes = wanted_bytes;
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        self.hold(src.len())?;
        let frame = self.codec.decode(src)?;
        if frame.is_some() {
            self.hold(src.len())?;
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(item, dst)
    }
}

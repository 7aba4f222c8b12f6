//! A stream that bounds the bytes that arrive on it for one answer.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::memory::{Budget, Reservation};

/// How many bytes an answer may take on the wire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// The size that the read buffer of the connection may grow to.
    pub(crate) buffer: usize,
    /// The bytes until the head is complete: interim answers, the head, and what is read with it.
    pub(crate) head: usize,
    /// The bytes of the whole answer, with its framing.
    pub(crate) answer: usize,
}

/// The bytes that arrive for one answer: head, interim answers, framing and body.
#[derive(Clone, Debug)]
pub(crate) struct Meter(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    limits: Limits,
    /// The bytes of the current answer so far.
    received: usize,
    /// Whether the head of the current answer is complete.
    has_head: bool,
    /// The memory of the read buffer.
    buffer: Reservation,
    /// Whether an answer had more bytes than are admitted.
    exceeded: bool,
}

impl Meter {
    /// Creates a meter; what the connection buffers of an answer is reserved from `budget`.
    pub(crate) fn new(limits: Limits, budget: &Budget) -> Self {
        Self(Arc::new(Mutex::new(State {
            limits,
            received: 0,
            has_head: false,
            buffer: budget.reserve(),
            exceeded: false,
        })))
    }

    /// Starts the count of the next answer.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.received = 0;
        state.has_head = false;
        state.buffer.clear();
    }

    /// Records that the head of the current answer is complete.
    pub(crate) fn record_head(&self) {
        self.lock().has_head = true;
    }

    /// Returns whether an answer had more bytes than are admitted.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.lock().exceeded
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error, which ends the connection, if the answer has too many bytes.
    fn record(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        let state = &mut *state;
        state.received = state.received.saturating_add(bytes);
        let buffered = state.received.min(state.limits.buffer);
        let limit = match state.has_head {
            true => state.limits.answer,
            false => state.limits.head,
        };
        let result = match state.buffer.grow(buffered) {
            Err(error) => Err(io::Error::other(error)),
            Ok(()) if state.received > limit => {
                let why = format!("answer is over {limit} bytes");
                Err(io::Error::other(why))
            }
            Ok(()) => Ok(()),
        };
        state.exceeded |= result.is_err();
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream whose received bytes are counted by a [`Meter`].
#[derive(Debug)]
pub(crate) struct Metered {
    pub(crate) stream: TcpStream,
    pub(crate) meter: Meter,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        Poll::Ready(self.meter.record(buffer.filled().len() - before))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

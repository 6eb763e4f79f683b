//! Decodes the response stream of a watch: one JSON object per line.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use reqwest::Response;

use super::wire::Streamed;
use super::wire_watch::WatchReply;
use crate::sources::store::WatchStream;
use crate::sources::store::error::{Result, StoreError};
use crate::sources::store::types::WatchEvent;

/// Size limit for a line, in bytes: room for several values of the largest size in base64.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

struct Reader {
    body: BoxStream<'static, reqwest::Result<Bytes>>,
    buf: BytesMut,
    ready: VecDeque<Result<WatchEvent>>,
    has_ended: bool,
}

pub(super) fn events(response: Response) -> WatchStream {
    let reader = Reader {
        body: response.bytes_stream().boxed(),
        buf: BytesMut::new(),
        ready: VecDeque::new(),
        has_ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        let event = reader.next().await?;
        Some((event, reader))
    })
    .boxed()
}

impl Reader {
    async fn next(&mut self) -> Option<Result<WatchEvent>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.has_ended |= event.is_err();
                return Some(event);
            }
            if self.has_ended {
                return None;
            }
            match self.take_line() {
                Some(line) => self.read_line(&line),
                None => self.fill().await,
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end);
        self.buf.advance(1);
        Some(line)
    }

    async fn fill(&mut self) {
        let failure = match self.body.next().await {
            Some(Ok(_)) if self.buf.len() > MAX_LINE_BYTES => "a line of the watch is too long",
            Some(Ok(chunk)) => return self.buf.extend_from_slice(&chunk),
            Some(Err(_)) => "the watch broke",
            None => "the watch was closed",
        };
        self.fail(failure);
    }

    fn read_line(&mut self, line: &[u8]) {
        if line.trim_ascii().is_empty() {
            return;
        }
        match serde_json::from_slice::<Streamed<WatchReply>>(line) {
            Ok(message) => self.read_reply(message.result),
            Err(_) => self.fail("the watch sent a malformed line"),
        }
    }

    fn read_reply(&mut self, reply: WatchReply) {
        if reply.compact_revision > 0 {
            let revision = reply.compact_revision.into();
            self.ready
                .push_back(Err(StoreError::Compacted { revision }));
            return;
        }
        if reply.canceled {
            let cause = reply.cancel_reason;
            self.ready.push_back(Err(StoreError::Refused { cause }));
            return;
        }
        if reply.created {
            let revision = reply.header.revision.into();
            self.ready.push_back(Ok(WatchEvent::Started { revision }));
        }
        self.ready
            .extend(reply.events.into_iter().map(TryInto::try_into));
    }

    fn fail(&mut self, cause: &str) {
        self.ready.push_back(Err(StoreError::AnswerLost {
            cause: cause.into(),
        }));
    }
}

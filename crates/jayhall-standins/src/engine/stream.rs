//! Readers of an attempt: streams of events and whole answers.

use std::io;
use std::sync::Arc;

use futures::stream::{self, StreamExt};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::Shared;
use super::job::{Job, JobKey, JobState, Progress};
use super::text::Script;
use crate::server::Chunks;

/// One reader; while there is none, the attempt goes on only for a while.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    key: JobKey,
    model: Box<str>,
    script: Script,
    prior: u32,
    rx: watch::Receiver<Progress>,
}

impl Reader {
    pub(crate) fn attach(shared: Arc<Shared>, job: &mut Job) -> Self {
        job.readers += 1;
        job.unread_since = None;
        Self {
            shared,
            key: job.key.clone(),
            model: job.model.clone(),
            script: job.script,
            prior: job.prior,
            rx: job.progress.subscribe(),
        }
    }

    /// Waits until the attempt has more tokens than `next`, or has ended.
    async fn wait_beyond(&mut self, next: u32) -> Progress {
        let ready = |p: &Progress| p.made > next || p.state.is_final();
        let seen = self.rx.wait_for(ready).await.ok().map(|p| *p);
        seen.unwrap_or_else(|| Progress {
            state: JobState::Died,
            ..*self.rx.borrow()
        })
    }

    /// Waits for the end and returns the whole answer, or how the attempt ended instead.
    pub(crate) async fn whole(mut self) -> Result<Value, Progress> {
        let progress = self.wait_beyond(u32::MAX).await;
        if progress.state != JobState::Finished {
            return Err(progress);
        }
        let tokens = self.prior..progress.made;
        let content: String = tokens.map(|offset| self.script.token(offset)).collect();
        let message = json!({"role": "assistant", "content": content});
        Ok(json!({
            "id": self.key.0, "object": "chat.completion", "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": self.reason(progress)}],
            "usage": self.usage(progress),
        }))
    }

    /// Streams the events from an offset on.
    pub(crate) fn events(self, from: u32) -> Chunks {
        let state = (self, from, false);
        stream::unfold(state, |(mut reader, next, ended)| async move {
            if ended {
                return None;
            }
            let holds_back = reader.shared.faults.get().reorder_tokens;
            let progress = reader.wait_beyond(next + u32::from(holds_back)).await;
            let end = progress.made;
            if progress.state == JobState::Died {
                let error = io::Error::from(io::ErrorKind::ConnectionAborted);
                return Some((Err(error), (reader, end, true)));
            }
            let mut text = reader.token_events(next, end);
            let ended = progress.state.is_final();
            if ended {
                text.push_str(&reader.last_events(progress));
            }
            Some((Ok(text), (reader, end.max(next), ended)))
        })
        .boxed()
    }

    fn token_events(&self, from: u32, to: u32) -> String {
        let faults = self.shared.faults.get();
        let mut offsets: Vec<u32> = (from..to).collect();
        if faults.reorder_tokens {
            // A hole in the offsets shows that the stream was out of order.
            offsets.reverse();
        }
        let mut text = String::new();
        for offset in offsets {
            let event = self.token_event(offset);
            text.push_str(&event);
            if faults.duplicate_tokens {
                text.push_str(&event);
            }
        }
        text
    }

    fn token_event(&self, offset: u32) -> String {
        let delta = json!({"content": self.script.token(offset)});
        let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
        format!("id: {offset}\ndata: {}\n\n", self.chunk(&choice, None))
    }

    fn last_events(&self, progress: Progress) -> String {
        let reason = self.reason(progress);
        let choice = json!({"index": 0, "delta": {}, "finish_reason": reason});
        let chunk = self.chunk(&choice, Some(self.usage(progress)));
        let id = progress.made;
        format!("id: {id}\ndata: {chunk}\n\ndata: [DONE]\n\n")
    }

    fn chunk(&self, choice: &Value, usage: Option<Value>) -> Value {
        let mut chunk = json!({
            "id": self.key.0, "object": "chat.completion.chunk", "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        chunk
    }

    fn reason(&self, progress: Progress) -> &'static str {
        match progress.state {
            JobState::Finished if self.script.is_cut => "length",
            JobState::Finished => "stop",
            JobState::Exported => "exported",
            JobState::Abandoned => "abandoned",
            _ => "cancelled",
        }
    }

    fn usage(&self, progress: Progress) -> Value {
        let made = progress.made - self.prior;
        json!({
            "prompt_tokens": progress.prompt_tokens,
            "cached_tokens": progress.cached_tokens,
            "completion_tokens": made,
            "total_tokens": progress.prompt_tokens + made,
        })
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shared.detach(&self.key);
    }
}

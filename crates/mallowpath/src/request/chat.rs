//! The parts of chat completion requests and responses that the fleet reads.

use serde::{Deserialize, Serialize, de};
use serde_json::{Map, Value};
use std::fmt;

/// Bytes of prompt text per reserved token, low enough for an upper estimate.
const RESERVED_BYTES_PER_TOKEN: u64 = 3;
/// The maximum number of tokens that a chat template adds to a message.
const TEMPLATE_TOKENS_PER_MESSAGE: u64 = 8;
/// The smallest number of prompt tokens reserved for a request: one message without text.
pub(crate) const MIN_RESERVED_PROMPT_TOKENS: u64 = TEMPLATE_TOKENS_PER_MESSAGE;

/// A caller's chat completion request.
#[derive(Debug)]
pub struct ChatRequest {
    /// The name of the base model.
    pub model: String,
    /// The name of the adapter, from a model name of the form `base:adapter`.
    pub adapter: Option<String>,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// The caller's limit on output tokens.
    pub max_tokens: Option<u64>,
    /// The concatenated text of all messages, from which prefix hashes are computed.
    pub prompt: String,
    /// The number of messages.
    pub messages: u64,
    fields: Map<String, Value>,
}

impl ChatRequest {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Fails with a message for the caller that names the invalid field.
    pub fn from_slice(body: &[u8]) -> Result<Self, String> {
        let fields: Map<String, Value> = match serde_json::from_slice(body) {
            Ok(fields) => fields,
            Err(error) => return Err(format!("the body is not a JSON object: {error}")),
        };
        let Some(name) = fields.get("model").and_then(Value::as_str) else {
            return Err("field \"model\" must be a text".into());
        };
        let (model, adapter) = match name.split_once(':') {
            Some((base, adapter)) => (base.to_owned(), Some(adapter.to_owned())),
            None => (name.to_owned(), None),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err("field \"stream\" must be true or false".into()),
        };
        let max_tokens = parse_max_tokens(&fields)?;
        let (prompt, messages) = parse_prompt(&fields)?;
        Ok(Self {
            model,
            adapter,
            stream,
            max_tokens,
            prompt,
            messages,
            fields,
        })
    }

    /// Returns an upper estimate of the prompt tokens, for the reservation.
    pub fn reserved_prompt_tokens(&self) -> u64 {
        let bytes = self.prompt.len() as u64;
        bytes.div_ceil(RESERVED_BYTES_PER_TOKEN) + self.messages * TEMPLATE_TOKENS_PER_MESSAGE
    }

    /// Returns the request body for the model engine: always streamed, with at most `cap_tokens`
    /// output tokens.
    ///
    /// # Panics
    ///
    /// Does not panic: a JSON object can always be serialized.
    pub fn engine_body(&self, cap_tokens: u64, priority: u32) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".into(), cap_tokens.into());
        fields.insert("stream".into(), true.into());
        fields.insert(
            "stream_options".into(),
            serde_json::json!({"include_usage": true}),
        );
        fields.insert("priority".into(), priority.into());
        serde_json::to_vec(&fields).expect("a JSON object can be serialized")
    }
}

fn parse_max_tokens(fields: &Map<String, Value>) -> Result<Option<u64>, String> {
    for name in ["max_completion_tokens", "max_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => match value.as_u64() {
                Some(tokens) if tokens > 0 => return Ok(Some(tokens)),
                _ => return Err(format!("field \"{name}\" must be a whole number above 0")),
            },
        }
    }
    Ok(None)
}

fn parse_prompt(fields: &Map<String, Value>) -> Result<(String, u64), String> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err("field \"messages\" must be a list".into());
    };
    if messages.is_empty() {
        return Err("field \"messages\" must not be empty".into());
    }
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(format!("message {index} has no \"role\""));
        }
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => push_text_parts(&mut prompt, parts),
            Some(Value::Null) => {}
            _ => return Err(format!("message {index} has no \"content\"")),
        }
    }
    Ok((prompt, messages.len() as u64))
}

fn push_text_parts(prompt: &mut String, parts: &[Value]) {
    for part in parts {
        if let Some(text) = part.get("text").and_then(Value::as_str) {
            prompt.push_str(text);
        }
    }
}

/// The token counts of a complete response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of output tokens.
    pub completion_tokens: u64,
}

/// The parts of one event of a model engine's stream that the fleet reads.
///
/// An event is parsed for each generated token, so its deserializer is written by hand and keeps
/// only the text, the finish reason and the usage.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The text of the event, if it has any.
    pub content: Option<String>,
    /// Why the model stopped, in the event that reports it.
    pub finish_reason: Option<String>,
    /// The token counts, in the last event.
    pub usage: Option<Usage>,
}

impl<'de> Deserialize<'de> for StreamEvent {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(StreamEventVisitor)
    }
}

struct StreamEventVisitor;

impl<'de> de::Visitor<'de> for StreamEventVisitor {
    type Value = StreamEvent;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an event of a chat completion stream")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut event = StreamEvent::default();
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "choices" => {
                    if let Some(choice) = map.next_value::<FirstChoice>()?.0 {
                        event.content = choice.delta.content;
                        event.finish_reason = choice.finish_reason;
                    }
                }
                "usage" => event.usage = map.next_value()?,
                _ => {
                    map.next_value::<de::IgnoredAny>()?;
                }
            }
        }
        Ok(event)
    }
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// The first element of a list of choices; the others are skipped.
struct FirstChoice(Option<Choice>);

impl<'de> Deserialize<'de> for FirstChoice {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FirstChoiceVisitor)
    }
}

struct FirstChoiceVisitor;

impl<'de> de::Visitor<'de> for FirstChoiceVisitor {
    type Value = FirstChoice;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of choices")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let first = seq.next_element()?;
        while seq.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(FirstChoice(first))
    }
}

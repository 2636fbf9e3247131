//! Deterministic completion text, a function of model, prompt and token position.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";

/// Returns the first `tokens` tokens of the engine's completion of `prompt`.
///
/// The prompt is the concatenation of the contents of the messages.
///
/// # Examples
///
/// ```
/// let short = mallowpath_standins::expected_text("m", "hello", 2);
/// let long = mallowpath_standins::expected_text("m", "hello", 3);
/// assert!(long.starts_with(&short));
/// ```
pub fn expected_text(model: &str, prompt: &str, tokens: u64) -> String {
    let seed = text_seed(model, prompt);
    let mut text = String::new();
    for index in 0..tokens {
        text.push_str(&token_text(seed, index));
    }
    text
}

/// Returns the seed from which all tokens of a completion are derived.
pub(crate) fn text_seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(model.as_bytes()))
}

/// Returns the token at `index`: two syllables and a space.
pub(crate) fn token_text(seed: u64, index: u64) -> String {
    let mut bits = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let mut word = String::with_capacity(5);
    for _ in 0..2 {
        word.push(char::from(CONSONANTS[(bits & 15) as usize]));
        word.push(char::from(VOWELS[(bits >> 4 & 3) as usize]));
        bits >>= 6;
    }
    word.push(' ');
    word
}

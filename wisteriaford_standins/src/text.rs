//! Generates answer texts that depend only on the prompt and the seed.

use std::fmt::Write;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];
const MIN_TOKENS: f64 = 24.0;
const PARETO_SHAPE: f64 = 1.2;
const MAX_TOKENS: f64 = 1_000_000.0;
const PREFIX_LEN_BYTES: usize = 64;

/// Answer to a prompt and seed, identical on every engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    key: u64,
    total_tokens: u32,
}

impl Answer {
    /// Creates the answer to a prompt, truncated to `max_tokens`.
    #[must_use]
    pub fn new(prompt: &str, seed: u64, max_tokens: u32) -> Self {
        let key = xxh3_64_with_seed(prompt.as_bytes(), seed);
        Self {
            key,
            total_tokens: sample_token_count(key).min(max_tokens),
        }
    }

    /// Returns the number of tokens in the complete answer.
    #[must_use]
    pub const fn total_tokens(self) -> u32 {
        self.total_tokens
    }

    /// Returns the text of the tokens in `from_token..to_token`.
    #[must_use]
    pub fn text(self, from_token: u32, to_token: u32) -> String {
        let mut text = String::new();
        for token in from_token..to_token.min(self.total_tokens) {
            let bits = xxh3_64_with_seed(&token.to_le_bytes(), self.key);
            let first = SYLLABLES[(bits % 16) as usize];
            let second = SYLLABLES[(bits / 16 % 16) as usize];
            let _ = write!(text, "{first}{second} ");
        }
        text
    }
}

/// Samples a length in tokens from a Pareto distribution by inverting its cumulative distribution
/// function.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is bounded and needs no exact precision"
)]
fn sample_token_count(key: u64) -> u32 {
    let bits = xxh3_64_with_seed(b"length", key) >> 11;
    let uniform = (bits as f64 + 1.0) / (1_u64 << 53) as f64;
    let tokens = MIN_TOKENS * uniform.powf(-1.0 / PARETO_SHAPE);
    tokens.min(MAX_TOKENS) as u32
}

/// Returns the complete text that every engine generates for a prompt and seed.
#[must_use]
pub fn expected_text(prompt: &str, seed: u64, max_tokens: u32) -> String {
    let answer = Answer::new(prompt, seed, max_tokens);
    answer.text(0, answer.total_tokens())
}

/// Returns the number of tokens that every engine generates for a prompt and seed.
#[must_use]
pub fn expected_tokens(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    Answer::new(prompt, seed, max_tokens).total_tokens()
}

/// Returns the scorer's score for a text, in thousandths from 0 to 1,000.
#[must_use]
pub fn expected_score_milli(text: &str) -> u32 {
    u32::try_from(xxh3_64(text.as_bytes()) % 1_001).unwrap_or(0)
}

/// Returns the hash that identifies a prompt's prefix in the engines' caches.
#[must_use]
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(PREFIX_LEN_BYTES)])
}

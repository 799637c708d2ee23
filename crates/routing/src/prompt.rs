//! What a request tells of its prompt: its segments in order and its token counts.

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Stands for the part's id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The segments that are looked at; more are left out, which only makes the estimate coarser.
const MAX_SEGMENTS: usize = 32;

/// A prompt as `Prompt-Prefix` and `Token-Counts` describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its segments in order; the last one is the request's own or its session's.
    pub segments: Vec<PromptSegment>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// The most tokens that are to be made.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Reads the values of the headers; what can't be read counts as absent.
    pub fn parse(prefix: Option<&str>, counts: Option<&str>) -> Prompt {
        let mut prompt =
            Prompt { segments: prefix.map(parse_segments).unwrap_or_default(), ..Prompt::default() };
        if let Some((input_tokens, max_output_tokens)) = counts.and_then(|counts| counts.split_once(',')) {
            prompt.input_tokens = input_tokens.trim().parse().unwrap_or(0);
            prompt.max_output_tokens = max_output_tokens.trim().parse().unwrap_or(0);
        }
        let segment_tokens =
            prompt.segments.iter().fold(0u32, |sum, segment| sum.saturating_add(segment.tokens));
        prompt.input_tokens = prompt.input_tokens.max(segment_tokens);
        prompt
    }

    /// The segments that are shared with other requests.
    pub fn shared_prefix(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }
}

fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some(PromptSegment { id: segment_id(id), tokens: tokens.trim().parse().ok()? })
    };
    text.split(',').take(MAX_SEGMENTS).map_while(segment).collect()
}

/// The id as a number where it is hex of at most 64 bits, else a hash of it.
fn segment_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| crate::rendezvous::hash(text.as_bytes()))
}

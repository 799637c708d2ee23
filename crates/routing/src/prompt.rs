//! Prompt segments and token counts, as stated by a request.

/// The maximum number of segments that are parsed. Further ones are ignored, which only makes the estimate of
/// cached tokens coarser.
const MAX_SEGMENTS: usize = 32;

/// A segment of a prompt, such as a system prompt, a document or one turn of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// The identity of the content: the id in the header as a number, or a hash of it.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// A prompt as the headers `Prompt-Prefix` and `Token-Counts` describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The segments in order. The last one is specific to this request or its session.
    pub segments: Vec<PromptSegment>,
    /// The number of tokens of the complete prompt.
    pub input_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Parses `Prompt-Prefix: ID:TOKENS,…` and `Token-Counts: INPUT,OUTPUT`. Values that can't be parsed are
    /// treated as absent. Segments after one that can't be parsed are ignored too, since a KV cache is only
    /// valid behind the same prefix.
    pub fn parse(prefix: Option<&str>, counts: Option<&str>) -> Prompt {
        let mut prompt =
            Prompt { segments: prefix.map(parse_segments).unwrap_or_default(), ..Prompt::default() };
        if let Some((input_tokens, max_output_tokens)) = counts.and_then(|counts| counts.split_once(',')) {
            prompt.input_tokens = input_tokens.trim().parse().unwrap_or(0);
            prompt.max_output_tokens = max_output_tokens.trim().parse().unwrap_or(0);
        }
        prompt.input_tokens = prompt.input_tokens.max(sum_tokens(&prompt.segments));
        prompt
    }

    /// Returns the segments that other requests may share: all but the last one.
    pub fn shared_prefix(&self) -> &[PromptSegment] {
        self.segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens of the segments that other requests may share.
    pub(crate) fn shared_prefix_tokens(&self) -> u32 {
        sum_tokens(self.shared_prefix())
    }
}

fn sum_tokens(segments: &[PromptSegment]) -> u32 {
    segments.iter().fold(0, |sum: u32, segment| sum.saturating_add(segment.tokens))
}

fn parse_segments(text: &str) -> Vec<PromptSegment> {
    let segment = |item: &str| {
        let (id, tokens) = item.trim().split_once(':')?;
        Some(PromptSegment { id: segment_id(id), tokens: tokens.trim().parse().ok()? })
    };
    text.split(',').take(MAX_SEGMENTS).map_while(segment).collect()
}

/// Returns the id as a number if it is hexadecimal with at most 64 bits, else a hash of it.
fn segment_id(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| crate::rendezvous::hash(text.as_bytes()))
}

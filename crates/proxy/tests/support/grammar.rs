//! Responses of a server, drawn from the grammar of RFC 9110 and RFC 9112: valid but unusual ones, ones with a
//! spoilt production, and ones that are cut off.

use fastrand::Rng;

/// Statuses that the proxy forwards. Those that say something about the execution are left out.
const STATUSES: [u16; 10] = [200, 201, 206, 299, 404, 418, 500, 599, 204, 304];
/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 300;
/// The characters of a token besides letters and digits (RFC 9110, section 5.6.2).
const TOKEN_SYMBOLS: &[u8] = b"!#$%&'*+-.^_`|~";

/// How the server ends the connection behind the bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The connection stays open.
    KeepAlive,
    /// FIN.
    Close,
    /// RST.
    Reset,
}

/// A complete response as the client has to receive it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    pub status: u16,
    pub body: Vec<u8>,
}

/// What the client may receive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The response.
    Forwarded(Content),
    /// An error of the proxy, or a response that is visibly incomplete.
    Refused,
    /// Either of them: the grammar leaves it to the recipient, or a reset may overtake the last bytes.
    Either(Content),
}

/// A drawn response, and what the client may receive for it.
#[derive(Clone, Debug)]
pub struct DrawnResponse {
    pub bytes: Vec<u8>,
    pub end: End,
    pub expected: Expected,
}

/// The framing of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
    /// The status allows no body.
    None,
}

/// The parts of a response before they are joined. A spoilt production replaces one of them.
struct Parts {
    interim: Vec<u8>,
    status_line: Vec<u8>,
    fields: Vec<Vec<u8>>,
    body: Vec<u8>,
}

impl Parts {
    fn head(&self) -> Vec<u8> {
        let fields: Vec<u8> = self.fields.iter().flat_map(|field| [field, &b"\r\n"[..]].concat()).collect();
        [&self.interim, &self.status_line, &b"\r\n"[..], &fields, b"\r\n"].concat()
    }
}

/// Draws a response to the request `id`. A third of the responses are whole and valid, a third have a spoilt
/// production, a third are cut off.
pub fn draw_response(rng: &mut Rng, id: &str) -> DrawnResponse {
    let status = *rng.choice(&STATUSES).expect("there are statuses");
    let framing = match status {
        204 | 304 => Framing::None,
        _ => *rng.choice(&[Framing::Length, Framing::Chunked, Framing::UntilClose]).expect("not empty"),
    };
    let content = Content { status, body: draw_body(rng, framing) };
    let parts = draw_parts(rng, id, framing, &content);
    match rng.u32(..3) {
        0 => whole(rng, framing, content, &parts),
        1 => spoilt(rng, framing, content, parts),
        _ => cut(rng, framing, content, &parts),
    }
}

fn draw_body(rng: &mut Rng, framing: Framing) -> Vec<u8> {
    let length = if framing == Framing::None { 0 } else { rng.usize(..MAX_BODY_BYTES) };
    (0..length).map(|_| rng.u8(..)).collect()
}

fn draw_parts(rng: &mut Rng, id: &str, framing: Framing, content: &Content) -> Parts {
    let version = if framing == Framing::UntilClose && rng.bool() { "1.0" } else { "1.1" };
    let reason = draw_text(rng, 12);
    let status_line = [format!("HTTP/{version} {} ", content.status).as_bytes(), &reason].concat();
    let mut fields = vec![
        field(rng, "Request-Id", id.as_bytes()),
        field(rng, "Server-Stamp", format!("stamp-{id}").as_bytes()),
    ];
    match framing {
        Framing::Length => {
            fields.push(field(rng, "Content-Length", content.body.len().to_string().as_bytes()))
        }
        Framing::Chunked => fields.push(field(rng, "Transfer-Encoding", b"chunked")),
        Framing::UntilClose | Framing::None => {}
    }
    for _ in 0..rng.usize(..5) {
        let name = draw_name(rng);
        let value = draw_text(rng, 30);
        fields.push(field(rng, &name, &value));
    }
    rng.shuffle(&mut fields);
    let body = if framing == Framing::Chunked { chunks(rng, &content.body) } else { content.body.clone() };
    Parts { interim: draw_interim(rng), status_line, fields, body }
}

/// Draws up to two interim responses.
fn draw_interim(rng: &mut Rng) -> Vec<u8> {
    let count = if rng.u32(..4) == 0 { rng.usize(1..3) } else { 0 };
    let interim = |_| format!("HTTP/1.1 {} Wait\r\nX-Interim: 1\r\n\r\n", [100, 102, 103][rng.usize(..3)]);
    (0..count).map(interim).collect::<String>().into_bytes()
}

/// Draws a name that means nothing.
fn draw_name(rng: &mut Rng) -> String {
    let symbol = |rng: &mut Rng| match rng.u32(..4) {
        0 => TOKEN_SYMBOLS[rng.usize(..TOKEN_SYMBOLS.len())] as char,
        _ => rng.alphanumeric(),
    };
    let length = rng.usize(..20);
    "x-".chars().chain((0..length).map(|_| symbol(rng))).collect()
}

/// Draws a text without leading and trailing blanks: visible characters, bytes above 0x7F, blanks and tabs.
fn draw_text(rng: &mut Rng, max_length: usize) -> Vec<u8> {
    let byte = |rng: &mut Rng| match rng.u32(..6) {
        0 => rng.u8(0x80..),
        1 => b' ',
        2 => b'\t',
        _ => rng.u8(0x21..0x7f),
    };
    let length = rng.usize(..max_length);
    let text: Vec<u8> = (0..length).map(|_| byte(rng)).collect();
    text.trim_ascii().to_vec()
}

fn field(rng: &mut Rng, name: &str, value: &[u8]) -> Vec<u8> {
    let mut blank = || *rng.choice(&["", " ", "\t", "  "]).expect("not empty");
    [name.as_bytes(), b":", blank().as_bytes(), value, blank().as_bytes()].concat()
}

/// Encodes a body in chunks, with extensions, zeros in front of sizes, and trailers.
fn chunks(rng: &mut Rng, body: &[u8]) -> Vec<u8> {
    let mut encoded = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, behind) = rest.split_at(rng.usize(1..=rest.len()));
        rest = behind;
        let zeros = "0".repeat(rng.usize(..3));
        let extension = if rng.u32(..4) == 0 { ";name=value" } else { "" };
        let size = if rng.bool() { format!("{:x}", chunk.len()) } else { format!("{:X}", chunk.len()) };
        encoded.extend_from_slice(format!("{zeros}{size}{extension}\r\n").as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    let trailer = if rng.u32(..4) == 0 { "X-Trailer: 1\r\n" } else { "" };
    encoded.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
    encoded
}

fn whole(rng: &mut Rng, framing: Framing, content: Content, parts: &Parts) -> DrawnResponse {
    let bytes = [parts.head(), parts.body.clone()].concat();
    let end = if framing == Framing::UntilClose || rng.bool() { End::Close } else { End::KeepAlive };
    DrawnResponse { bytes, end, expected: Expected::Forwarded(content) }
}

/// Cuts the response off behind a byte, in order or by a reset.
fn cut(rng: &mut Rng, framing: Framing, content: Content, parts: &Parts) -> DrawnResponse {
    let head = parts.head();
    let whole = [head.clone(), parts.body.clone()].concat();
    let at = rng.usize(..=whole.len());
    let end = if rng.bool() { End::Close } else { End::Reset };
    let is_reset = end == End::Reset;
    let expected = if at < head.len() {
        Expected::Refused
    } else if framing == Framing::UntilClose {
        // Whatever has arrived before an orderly close is the body.
        let body = content.body[..at - head.len()].to_vec();
        if is_reset { Expected::Refused } else { Expected::Forwarded(Content { body, ..content }) }
    } else if at < whole.len() {
        Expected::Refused
    } else if is_reset {
        Expected::Either(content)
    } else {
        Expected::Forwarded(content)
    };
    DrawnResponse { bytes: whole[..at].to_vec(), end, expected }
}

/// Spoils one production.
fn spoilt(rng: &mut Rng, framing: Framing, content: Content, mut parts: Parts) -> DrawnResponse {
    let mut expected = Expected::Refused;
    let status_line = String::from_utf8_lossy(&parts.status_line).into_owned();
    let code = content.status.to_string();
    let spoil_status = |with: &str| status_line.replacen(&code, with, 1).into_bytes();
    let control = *rng.choice(&[0x00, 0x01, 0x0b, 0x1f, 0x7f]).expect("not empty");
    match rng.u32(..12) {
        0 => {
            let codes = ["000", "099", "600", "999", "20", "2000", "2x0", "", "-20"];
            parts.status_line = spoil_status(rng.choice(&codes).expect("not empty"));
        }
        1 => {
            let versions = ["HTTP/2.0", "HTP/1.1", "http/1.1", "HTTP/1", "", "HTTP/1.12"];
            let version = rng.choice(&versions).expect("not empty");
            parts.status_line = [version.as_bytes(), &parts.status_line[8..]].concat();
        }
        2 => drop(parts.status_line.remove(8)),
        3 => insert_field(rng, &mut parts, b"X-Blank : v".to_vec()),
        4 => insert_field(rng, &mut parts, [b"X-C", &[control][..], b"ontrol: v"].concat()),
        5 => insert_field(rng, &mut parts, [b"X-Value: a", &[control][..], b"b"].concat()),
        6 => insert_field(rng, &mut parts, b"no colon".to_vec()),
        7 => insert_field(rng, &mut parts, b": no name".to_vec()),
        8 => insert_field(rng, &mut parts, b"X-A: 1\n\nX-B: 2".to_vec()),
        9 => replace_field(&mut parts, "Request-Id", "Request-Id: other"),
        10 if framing == Framing::Length => {
            let lengths = ["+5", "-1", "0x5", "5 5", "", "5,6", "99999999999999999999999"];
            let length = rng.choice(&lengths).expect("not empty");
            replace_field(&mut parts, "Content-Length", &format!("Content-Length: {length}"));
        }
        11 if framing == Framing::Chunked => {
            let sizes = [
                "g\r\n",
                "-1\r\n",
                "\r\n",
                "ffffffffffffffffff\r\n",
                "1\r\nxx\r\n0\r\n\r\n",
                "0x1\r\nx\r\n0\r\n\r\n",
            ];
            parts.body = rng.choice(&sizes).expect("not empty").as_bytes().to_vec();
        }
        _ => {
            // A folded line: a proxy may reject it or replace the fold by a blank (RFC 9112, section 5.2).
            insert_field(rng, &mut parts, b"X-Folded: a\r\n b".to_vec());
            expected = Expected::Either(content);
        }
    }
    let bytes = [parts.head(), parts.body].concat();
    DrawnResponse { bytes, end: End::Close, expected }
}

fn insert_field(rng: &mut Rng, parts: &mut Parts, line: Vec<u8>) {
    let at = rng.usize(..=parts.fields.len());
    parts.fields.insert(at, line);
}

fn replace_field(parts: &mut Parts, name: &str, line: &str) {
    let is_named = |field: &Vec<u8>| field.starts_with(name.as_bytes());
    let at = parts.fields.iter().position(is_named).unwrap_or_default();
    parts.fields.remove(at);
    parts.fields.push(line.as_bytes().to_vec());
}

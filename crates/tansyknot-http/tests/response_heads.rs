//! Tests of the heads of responses: one changed byte never yields another response than its lines say.

use tansyknot_http::response_head::{self, Framing, HeadError, Version};
use yare::parameterized;

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 120\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\nx-a: \tb c \r\n\r\n";
const CLOSED: &str = "HTTP/1.0 404 \r\nconnection: x, Close\r\n\r\n";

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_text(byte: u8) -> bool {
    matches!(byte, b'\t' | b' '..=0x7e | 0x80..)
}

struct Lines {
    version: Version,
    status: u16,
    headers: Vec<(String, String)>,
}

/// Returns what the lines of a whole head say, `None` if these are no head.
fn plain_lines(head: &[u8]) -> Option<Lines> {
    let mut lines: Vec<&[u8]> = head.split(|byte| *byte == b'\n').collect();
    for line in &mut lines {
        *line = line.strip_suffix(b"\r").unwrap_or(line);
    }
    let lines: Vec<&[u8]> = lines.into_iter().skip_while(|line| line.is_empty()).collect();
    let end = lines.iter().position(|line| line.is_empty())?;
    let (status_line, fields) = lines[..end].split_first()?;
    let rest = status_line.strip_prefix(b"HTTP/1.")?;
    let version = match rest.first()? {
        b'0' => Version::Http10,
        b'1' => Version::Http11,
        _ => return None,
    };
    let rest = rest[1..].strip_prefix(b" ")?;
    let digits = rest.get(..3).filter(|digits| digits.iter().all(u8::is_ascii_digit))?;
    let reason = &rest[3..];
    if !reason.iter().all(|byte| is_text(*byte)) || reason.first().is_some_and(|b| *b != b' ') {
        return None;
    }
    let status = std::str::from_utf8(digits).ok()?.parse().ok()?;
    let headers = fields.iter().map(|line| plain_field(line)).collect::<Option<_>>()?;
    Some(Lines { version, status, headers })
}

fn plain_field(line: &[u8]) -> Option<(String, String)> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    if name.is_empty() || !name.iter().all(|b| is_token(*b)) || !value.iter().all(|b| is_text(*b)) {
        return None;
    }
    let name = std::str::from_utf8(name).ok()?.to_ascii_lowercase();
    let value = std::str::from_utf8(value).ok()?.trim_matches([' ', '\t']).to_owned();
    Some((name, value))
}

#[parameterized(length = { LENGTH }, chunked = { CHUNKED }, closed = { CLOSED })]
fn head_with_one_changed_byte_is_no_other_head(head: &str) {
    for at in 0..head.len() {
        for byte in 0..=u8::MAX {
            let mut bytes = head.as_bytes().to_vec();
            bytes[at] = byte;
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let parsed = response_head::parse(&bytes);
            let Some(lines) = plain_lines(&bytes) else {
                assert!(!matches!(parsed, Ok(Some(_))), "{text:?}");
                continue;
            };
            let framing = response_head::framing(lines.version, lines.status, &lines.headers);
            let parsed = parsed.map(|parsed| parsed.expect("the head is whole").0);
            assert_eq!(
                parsed.as_ref().map(|head| head.framing),
                framing.as_ref().copied(),
                "{text:?}"
            );
            if let Ok(parsed) = parsed {
                assert_eq!(
                    (parsed.status, parsed.headers),
                    (lines.status, lines.headers),
                    "{text:?}"
                );
            }
        }
    }
}

#[test]
fn head_is_parsed_once_its_last_line_is_there() {
    for length in 0..LENGTH.len() {
        assert_eq!(response_head::parse(&LENGTH.as_bytes()[..length]), Ok(None), "{length}");
    }
    let (head, length) =
        response_head::parse(LENGTH.as_bytes()).expect("it is valid").expect("it is whole");
    assert_eq!((head.status, head.framing, length), (200, Framing::Length(120), LENGTH.len()));
}

#[parameterized(
    length = { 200, "content-length: 7", Ok(Framing::Length(7)) },
    same_length_twice = { 200, "content-length: 7\r\ncontent-length: 7", Ok(Framing::Length(7)) },
    signed_length = { 200, "content-length: +7", Err(HeadError::Framing) },
    chunks = { 200, "transfer-encoding: Chunked", Ok(Framing::Chunked) },
    chunks_beside_a_length = { 200, "transfer-encoding: chunked\r\ncontent-length: 7",
                               Err(HeadError::Framing) },
    nothing = { 200, "x-a: b", Err(HeadError::Framing) },
    until_close = { 200, "connection: close", Ok(Framing::UntilClose) },
    until_close_and_kept = { 200, "connection: keep-alive, close", Ok(Framing::UntilClose) },
    no_content = { 204, "x-a: b", Ok(Framing::Empty) },
    no_content_of_no_length = { 204, "content-length: 0", Ok(Framing::Empty) },
    no_content_with_a_length = { 204, "content-length: 7", Err(HeadError::Framing) },
    no_content_in_chunks = { 204, "transfer-encoding: chunked", Err(HeadError::Framing) },
    not_modified = { 304, "content-length: 7", Ok(Framing::Empty) },
    interim = { 103, "link: x", Ok(Framing::Empty) },
    interim_with_a_length = { 100, "content-length: 7", Err(HeadError::Framing) },
    switching_protocols = { 101, "connection: upgrade", Err(HeadError::Status) },
)]
fn framing_of_a_response(status: u16, lines: &str, expected: Result<Framing, HeadError>) {
    let head = format!("HTTP/1.1 {status} \r\n{lines}\r\n\r\n");
    let parsed = response_head::parse(head.as_bytes());
    assert_eq!(parsed.map(|parsed| parsed.expect("it is whole").0.framing), expected);
}

//! Splits JSON text into parts, which stay text.

/// Returns the value of a member of an object.
pub fn member<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    let mut members = split(inner).into_iter().filter_map(|part| {
        let end = string_end(part.trim_start())?;
        let part = part.trim_start();
        let value = part[end..].trim_start().strip_prefix(':')?;
        Some((&part[1..end - 1], value.trim()))
    });
    members
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// Returns a text without its quotes; escapes stay as they are.
pub fn unquoted(text: &str) -> &str {
    let inner = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'));
    inner.unwrap_or(text)
}

/// Returns the end of the string at the start of `text`.
fn string_end(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if at == 0 && byte != b'"' => return None,
            _ if at == 0 => {}
            _ if escaped => escaped = false,
            b'\\' => escaped = true,
            b'"' => return Some(at + 1),
            _ => {}
        }
    }
    None
}

/// Splits `text` at the commas outside of strings and brackets.
fn split(text: &str) -> Vec<&str> {
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0);
    let (mut quoted, mut escaped) = (false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth -= 1,
            b',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}

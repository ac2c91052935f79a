//! A small JSON reader and writer, enough for the messages of the platform.

use std::{collections::BTreeMap, fmt};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn num(&self) -> Option<f64> {
        match self {
            Self::Num(num) => Some(*num),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => write!(f, "null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Num(num) => write!(f, "{num}"),
            Self::Text(text) => quote(f, text),
            Self::List(list) => {
                write!(f, "[")?;
                for (idx, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if idx > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Self::Map(map) => {
                write!(f, "{{")?;
                for (idx, (name, value)) in map.iter().enumerate() {
                    write!(f, "{}", if idx > 0 { "," } else { "" })?;
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for c in text.chars() {
        match c {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    write!(f, "\"")
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, token: &str) -> Option<()> {
    bytes[*at..].starts_with(token.as_bytes()).then(|| *at += token.len())
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = read_text(bytes, at)?;
                        skip(bytes, at);
                        take(bytes, at, ":")?;
                        map.insert(name, read(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(read(bytes, at)?),
                }
            }
        }
        b'"' => read_text(bytes, at).map(Json::Text),
        b't' => take(bytes, at, "true").map(|()| Json::Bool(true)),
        b'f' => take(bytes, at, "false").map(|()| Json::Bool(false)),
        b'n' => take(bytes, at, "null").map(|()| Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn read_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, "\"")?;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for idx in 0..4 {
            if idx > chunk.len() {
                out.push('=');
            } else {
                out.push(ALPHABET[(word >> (18 - 6 * idx)) as usize & 63] as char);
            }
        }
    }
    out
}

//! A small JSON reader and writer.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn rows(&self) -> &[Json] {
        match self {
            Json::Arr(rows) => rows,
            _ => &[],
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        Some(value)
    }

    pub fn render(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(b) => b.to_string(),
            Json::Num(n) if n.fract() == 0.0 => format!("{}", *n as i64),
            Json::Num(n) => n.to_string(),
            Json::Str(text) => quote(text),
            Json::Arr(rows) => {
                let rows: Vec<_> = rows.iter().map(Json::render).collect();
                format!("[{}]", rows.join(","))
            }
            Json::Obj(fields) => {
                let fields: Vec<_> = fields
                    .iter()
                    .map(|(key, value)| format!("{}:{}", quote(key), value.render()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn blank(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    blank(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blank(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        blank(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                blank(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(rows));
                    }
                    b',' => *at += 1,
                    _ => rows.push(value(text, at)?),
                }
            }
        }
        b'"' => string(text, at).map(Json::Str),
        b't' => word(text, at, "true", Json::Bool(true)),
        b'f' => word(text, at, "false", Json::Bool(false)),
        b'n' => word(text, at, "null", Json::Null),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[start..*at]).ok()?;
            number.parse().ok().map(Json::Num)
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = text[*at..].starts_with(word.as_bytes());
    *at += word.len();
    found.then_some(value)
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    c => out.push(c),
                }
            }
            c => out.push(c),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes standard base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == c) else {
            continue;
        };
        n = (n << 6) | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_spaces();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Field of an object, `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Members of a list; none of any other value.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(members) => members,
            _ => &[],
        }
    }

    /// Text, empty for any other value.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Whole number, 0 for any other value.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Json::Text(text)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(members: Vec<Json>) -> Self {
        Json::List(members)
    }
}

/// Creates an object from names and values.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(number) if number.fract() == 0.0 => write!(out, "{}", *number as i64),
            Json::Number(number) => write!(out, "{number}"),
            Json::Text(text) => write_text(out, text),
            Json::List(members) => {
                write!(out, "[")?;
                for (index, member) in members.iter().enumerate() {
                    write!(out, "{}{member}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Object(fields) => {
                write!(out, "{{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            letter if (letter as u32) < 0x20 => write!(out, "\\u{:04x}", letter as u32)?,
            letter => write!(out, "{letter}")?,
        }
    }
    write!(out, "\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_spaces(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_spaces();
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_spaces();
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.members(),
            b'{' => self.fields(),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let begin = self.at;
        let is_part = |byte: u8| byte.is_ascii_digit() || b"+-.eE".contains(&byte);
        while self.peek().is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = self.peek()?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            text.extend(letter.to_string().bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }

    fn members(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut members = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(members));
        }
        loop {
            members.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(members));
            }
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_spaces();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }
}

//! The part of JSON that the bodies of calls need.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    /// Also what no call needs: `true`, `false` and lists.
    Null,
    Number(f64),
    Text(String),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Json {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let chars: Vec<char> = text.chars().collect();
        Parser { chars, at: 0 }.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> char {
        while self
            .chars
            .get(self.at)
            .is_some_and(|next| next.is_whitespace())
        {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            '{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                while self.peek() == '"' {
                    let key = self.string();
                    self.peek();
                    self.at += 1;
                    let value = self.value();
                    table.insert(key, value);
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(table)
            }
            '[' => {
                self.at += 1;
                while self.peek() != ']' && self.peek() != '\0' {
                    self.value();
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Null
            }
            '"' => Json::Text(self.string()),
            't' | 'n' => self.word(4),
            'f' => self.word(5),
            _ => {
                let start = self.at;
                while self
                    .chars
                    .get(self.at)
                    .is_some_and(|next| "+-.eE0123456789".contains(*next))
                {
                    self.at += 1;
                }
                if start == self.at {
                    self.at += 1;
                    return Json::Null;
                }
                let text: String = self.chars[start..self.at].iter().collect();
                text.parse().map_or(Json::Null, Json::Number)
            }
        }
    }

    fn word(&mut self, length: usize) -> Json {
        self.at += length;
        Json::Null
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut text = String::new();
        while let Some(next) = self.chars.get(self.at).copied() {
            self.at += 1;
            match next {
                '"' => break,
                '\\' => {
                    let escaped = self.chars.get(self.at).copied().unwrap_or('\0');
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'u' => {
                            let hex: String = self.chars.iter().skip(self.at).take(4).collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&hex, 16).unwrap_or(0);
                            text.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
        text
    }
}

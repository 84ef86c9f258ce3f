//! Typed access to the lines of one section. Each keyword that is read is recorded; the remaining keywords are
//! reported as unknown.

use crate::syntax::{Lexeme, Line, Position, Section, SettingsError};
use pepperhook::Time;
use std::str::FromStr;

/// Reads a section keyword by keyword and collects its errors.
pub struct SectionReader<'a> {
    section: &'a Section,
    /// Keywords that were read, as the error about an unknown keyword lists them.
    known: Vec<&'static str>,
    pub errors: Vec<SettingsError>,
}

/// Parses a time with its unit, such as `250ms`, `4s` or `2m`, into nanoseconds. The unit `ns` occurs in texts that a
/// program wrote.
pub fn parse_time(text: &str) -> Option<Time> {
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let scale = match unit {
        "ns" => 1.0,
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3600e9,
        _ => return None,
    };
    let value = number.parse::<f64>().ok()? * scale;
    (value.is_finite() && (0.0..=1e18).contains(&value)).then_some(value as Time)
}

impl<'a> SectionReader<'a> {
    pub fn new(section: &'a Section) -> Self {
        Self { section, known: Vec::new(), errors: Vec::new() }
    }

    pub fn error(&mut self, position: Position, message: impl Into<String>) {
        self.errors.push(SettingsError { position, message: message.into() });
    }

    /// All lines with this keyword that have between `min` and `max` values; the others are errors.
    pub fn lines(&mut self, keyword: &'static str, min: usize, max: usize) -> Vec<&'a Line> {
        self.known.push(keyword);
        let mut out = Vec::new();
        for line in self.section.lines.iter().filter(|l| l.keyword.text == keyword) {
            let n = line.values.len();
            if (min..=max).contains(&n) {
                out.push(line);
            } else {
                let wanted = if min == max { min.to_string() } else { format!("{min} to {max}") };
                let message = format!("'{keyword}' takes {wanted} value(s), {n} found");
                self.error(line.keyword.position, message);
            }
        }
        out
    }

    /// The value of a keyword that may occur once.
    pub fn value(&mut self, keyword: &'static str) -> Option<&'a Lexeme> {
        let lines = self.lines(keyword, 1, 1);
        if let Some(second) = lines.get(1) {
            self.error(second.keyword.position, format!("'{keyword}' is given twice"));
        }
        lines.first().map(|l| &l.values[0])
    }

    /// The value of a keyword, converted by `parse`; `expected` describes valid values in the error message.
    pub fn parse_with<T>(
        &mut self,
        keyword: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let given = self.value(keyword)?;
        let value = parse(&given.text);
        if value.is_none() {
            self.error(given.position, format!("'{}' is not valid; expected: {expected}", given.text));
        }
        value
    }

    pub fn parse<T: FromStr>(&mut self, keyword: &'static str, expected: &str) -> Option<T> {
        self.parse_with(keyword, expected, |t| t.parse().ok())
    }

    pub fn number(&mut self, keyword: &'static str) -> Option<f64> {
        self.parse_with(keyword, "number of 0 or more", |t| {
            t.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        })
    }

    pub fn time(&mut self, keyword: &'static str) -> Option<Time> {
        self.parse_with(keyword, "time such as 250ms, 4s or 2m", parse_time)
    }

    pub fn boolean(&mut self, keyword: &'static str) -> Option<bool> {
        self.parse_with(keyword, "yes or no", |t| match t {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// The value of a required keyword, or the default value and an error if the keyword is absent. A keyword that
    /// is present with an invalid value has been reported already.
    pub fn require<T: Default>(&mut self, keyword: &'static str, value: Option<T>) -> T {
        if value.is_none() && !self.section.lines.iter().any(|l| l.keyword.text == keyword) {
            let here = if self.section.kind.is_empty() {
                "the settings".into()
            } else {
                format!("section {}", self.section.kind)
            };
            self.error(self.section.position, format!("{here} lack '{keyword}'"));
        }
        value.unwrap_or_default()
    }

    /// All errors of the section, with one for each keyword that was not read.
    pub fn finish(mut self) -> Vec<SettingsError> {
        for line in &self.section.lines {
            if !self.known.contains(&line.keyword.text.as_str()) {
                let known = self.known.join(", ");
                let message = format!("unknown keyword '{}'; expected one of: {known}", line.keyword.text);
                self.errors.push(SettingsError { position: line.keyword.position, message });
            }
        }
        self.errors
    }
}

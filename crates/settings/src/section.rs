//! Typed reading of one block: each keyword asked for is ticked off, and what is left is unknown.

use crate::syntax::{Block, Fault, Line, Place, Word};
use pepperhook::Time;
use std::str::FromStr;

/// Reads a block keyword by keyword, and gathers its faults.
pub struct Fields<'a> {
    block: &'a Block,
    asked: Vec<&'static str>,
    pub faults: Vec<Fault>,
}

/// A time with its unit: `250ms`, `4s`, `2m`, and `1ns` for what a program writes; nanoseconds.
pub fn time(text: &str) -> Option<Time> {
    let cut = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(cut);
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

impl<'a> Fields<'a> {
    pub fn new(block: &'a Block) -> Self {
        Self { block, asked: Vec::new(), faults: Vec::new() }
    }

    pub fn fault(&mut self, place: Place, what: impl Into<String>) {
        self.faults.push(Fault { place, what: what.into() });
    }

    /// All lines with this keyword, each with a number of values within the bounds.
    pub fn lines(&mut self, keyword: &'static str, least: usize, most: usize) -> Vec<&'a Line> {
        self.asked.push(keyword);
        let mut out = Vec::new();
        for line in self.block.lines.iter().filter(|l| l.keyword.text == keyword) {
            let n = line.values.len();
            if (least..=most).contains(&n) {
                out.push(line);
            } else {
                let wanted = if least == most { least.to_string() } else { format!("{least} to {most}") };
                let what = format!("'{keyword}' takes {wanted} value(s), {n} found");
                self.fault(line.keyword.place, what);
            }
        }
        out
    }

    /// The one value of a keyword; given twice is a fault.
    pub fn word(&mut self, keyword: &'static str) -> Option<&'a Word> {
        let lines = self.lines(keyword, 1, 1);
        if let Some(second) = lines.get(1) {
            self.fault(second.keyword.place, format!("'{keyword}' is given twice"));
        }
        lines.first().map(|l| &l.values[0])
    }

    /// A value by a reader of its own; `wanted` says what it expects.
    pub fn with<T>(
        &mut self,
        keyword: &'static str,
        wanted: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let word = self.word(keyword)?;
        let value = read(&word.text);
        if value.is_none() {
            self.fault(word.place, format!("'{}' is no {wanted}", word.text));
        }
        value
    }

    pub fn parsed<T: FromStr>(&mut self, keyword: &'static str, wanted: &str) -> Option<T> {
        self.with(keyword, wanted, |t| t.parse().ok())
    }

    pub fn number(&mut self, keyword: &'static str) -> Option<f64> {
        self.with(keyword, "number of 0 or more", |t| {
            t.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        })
    }

    pub fn time(&mut self, keyword: &'static str) -> Option<Time> {
        self.with(keyword, "time such as 250ms, 4s or 2m", time)
    }

    pub fn yes(&mut self, keyword: &'static str) -> Option<bool> {
        self.with(keyword, "yes or no", |t| match t {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })
    }

    /// What must be there.
    pub fn need<T: Default>(&mut self, keyword: &'static str, value: Option<T>) -> T {
        if value.is_none() && !self.block.lines.iter().any(|l| l.keyword.text == keyword) {
            let here = if self.block.kind.is_empty() {
                "the settings".into()
            } else {
                format!("section {}", self.block.kind)
            };
            self.fault(self.block.place, format!("{here} lack '{keyword}'"));
        }
        value.unwrap_or_default()
    }

    /// Ends the block: keywords that nobody asked for are faults.
    pub fn end(mut self) -> Vec<Fault> {
        for line in &self.block.lines {
            if !self.asked.contains(&line.keyword.text.as_str()) {
                let known = self.asked.join(", ");
                let what = format!("unknown keyword '{}'; expected one of: {known}", line.keyword.text);
                self.faults.push(Fault { place: line.keyword.place, what });
            }
        }
        self.faults
    }
}

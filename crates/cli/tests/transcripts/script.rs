//! Transcript of an exchange: messages with sender and receiver; values that differ between runs are replaced
//! by aliases.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout for the messages that [`Transcript::flush_unordered`] waits for.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Aliases of values, numbered by kind in order of first appearance: the first session is `session-1`, and so
/// on.
#[derive(Default)]
pub struct Aliases {
    assigned: Vec<(String, String)>,
    counts: BTreeMap<String, usize>,
}

impl Aliases {
    /// Returns the alias of a token; assigns the next one of this kind if it has none.
    pub fn get_or_assign(&mut self, kind: &str, token: &str) -> String {
        if let Some((_, name)) = self.assigned.iter().find(|(known, _)| known == token) {
            return name.clone();
        }
        let n = self.counts.entry(kind.to_owned()).or_default();
        *n += 1;
        let name = format!("{kind}-{n}");
        self.assign(token, &name);
        name
    }

    /// Assigns an alias to a token. Longer tokens are replaced before shorter ones, which may be parts of
    /// them.
    pub fn assign(&mut self, token: &str, name: &str) {
        self.assigned.push((token.to_owned(), name.to_owned()));
        self.assigned.sort_by_key(|(token, _)| std::cmp::Reverse(token.len()));
    }

    /// Assigns aliases to all ids that follow `before` in the text; an id consists of ASCII letters, digits
    /// and hyphens.
    fn assign_all_after(&mut self, text: &str, before: &str, kind: &str) {
        for (start, _) in text.match_indices(before) {
            let rest = &text[start + before.len()..];
            let fits = |c: char| c.is_ascii_alphanumeric() || c == '-';
            let token = &rest[..rest.find(|c| !fits(c)).unwrap_or(rest.len())];
            let is_new = !token.is_empty() && !self.assigned.iter().any(|(_, name)| name == token);
            if is_new {
                self.get_or_assign(kind, token);
            }
        }
    }

    /// Replaces all known and newly found values in the text by their aliases.
    pub fn substitute(&mut self, text: &str) -> String {
        // A node's entity tag contains the session's id, so it needs its alias first.
        for line in text.lines().filter_map(|l| l.trim().strip_prefix("etag: \"")) {
            self.get_or_assign("etag", line.trim_end_matches('"'));
        }
        self.assign_all_after(text, "/session/", "session");
        self.assign_all_after(text, "/s/", "seat");
        let mut out = text.to_owned();
        for (token, name) in &self.assigned {
            out = out.replace(token, name);
        }
        out
    }
}

#[derive(Default)]
struct Inner {
    text: String,
    aliases: Aliases,
    /// Messages whose order is not deterministic, as (sort key, lines).
    unordered: Vec<(String, String)>,
    /// When the front opened its stream of a node's events, while it is open.
    event_stream_since: Option<Instant>,
}

/// A transcript under construction; clones append to the same text.
#[derive(Clone, Default)]
pub struct Transcript(Rc<RefCell<Inner>>);

impl Transcript {
    pub fn new(title: &str) -> Self {
        let new = Self::default();
        new.0.borrow_mut().text = format!("{title}\n");
        new
    }

    pub fn assign_alias(&self, token: impl ToString, name: &str) {
        self.0.borrow_mut().aliases.assign(&token.to_string(), name);
    }

    pub fn alias(&self, kind: &str, token: impl ToString) -> String {
        self.0.borrow_mut().aliases.get_or_assign(kind, &token.to_string())
    }

    /// Adds a heading that describes the next step.
    pub fn step(&self, words: &str) {
        let mut inner = self.0.borrow_mut();
        inner.text += &format!("\n# {words}\n");
    }

    /// Adds a message: its first line after sender and receiver, the other lines indented below.
    pub fn record(&self, from: &str, to: &str, words: &str) {
        let mut inner = self.0.borrow_mut();
        let words = inner.aliases.substitute(words);
        let (first, rest) = words.split_once('\n').unwrap_or((&words, ""));
        inner.text += &format!("{from} -> {to}: {first}\n");
        for line in rest.lines() {
            inner.text += format!("    {line}").trim_end();
            inner.text.push('\n');
        }
    }

    /// Keeps a message that may arrive at any time; [`Self::flush_unordered`] adds it to the text, sorted by
    /// `sort_key`.
    pub fn record_unordered(&self, from: &str, to: &str, words: &str, sort_key: &str) {
        let mut inner = self.0.borrow_mut();
        let words = inner.aliases.substitute(words);
        let words = words.lines().enumerate();
        let lines =
            words.map(
                |(i, line)| {
                    if i == 0 { format!("{from} -> {to}: {line}\n") } else { format!("    {line}\n") }
                },
            );
        let lines = lines.collect();
        inner.unordered.push((sort_key.to_owned(), lines));
    }

    /// Waits for exactly `n` messages without a deterministic order and adds them, sorted by their keys.
    pub async fn flush_unordered(&self, n: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.0.borrow().unordered.len() < n {
            assert!(
                Instant::now() < deadline,
                "expected {n} unordered messages, received only {:#?}",
                self.0.borrow().unordered
            );
            sleep(Duration::from_millis(3)).await;
        }
        let mut inner = self.0.borrow_mut();
        let mut unordered = std::mem::take(&mut inner.unordered);
        assert_eq!(unordered.len(), n, "expected {n} unordered messages: {unordered:#?}");
        unordered.sort_by(|a, b| a.0.cmp(&b.0));
        unordered.iter().for_each(|(_, lines)| inner.text += lines);
    }

    /// Notes that the front's stream of a node's events was opened or has ended.
    pub fn set_event_stream(&self, open: bool) {
        self.0.borrow_mut().event_stream_since = open.then(Instant::now);
    }

    /// When the front opened its current stream of a node's events.
    pub fn event_stream_since(&self) -> Option<Instant> {
        self.0.borrow().event_stream_since
    }

    /// The whole text. Panics if messages without a deterministic order were not flushed.
    pub fn text(&self) -> String {
        let inner = self.0.borrow();
        assert!(
            inner.unordered.is_empty(),
            "messages not flushed into the transcript: {:#?}",
            inner.unordered
        );
        inner.text.clone()
    }
}

/// Compares a transcript with the approved snapshot of this name.
pub fn assert_approved(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("snapshots");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, text));
}

//! What a transcript is made of: who says what to whom, with what differs from run to run called by a name.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Who waits for something of a transcript waits so long at most.
const PATIENCE: Duration = Duration::from_secs(20);

/// Names by first sight: the first session that is seen is `session-1`, and so on.
#[derive(Default)]
pub struct Names {
    known: Vec<(String, String)>,
    counts: BTreeMap<String, usize>,
}

impl Names {
    /// The name of a token, which is given one of this kind if it has none.
    pub fn of(&mut self, kind: &str, token: &str) -> String {
        if let Some((_, name)) = self.known.iter().find(|(t, _)| t == token) {
            return name.clone();
        }
        let n = self.counts.entry(kind.to_owned()).or_default();
        *n += 1;
        let name = format!("{kind}-{n}");
        self.fix(token, &name);
        name
    }

    /// Gives a token this name; longer tokens are replaced before shorter ones.
    pub fn fix(&mut self, token: &str, name: &str) {
        self.known.push((token.to_owned(), name.to_owned()));
        self.known.sort_by_key(|(t, _)| std::cmp::Reverse(t.len()));
    }

    /// Names what stands between `before` and the first character that fits no id, wherever it is found.
    fn learn(&mut self, text: &str, before: &str, kind: &str) {
        for (at, _) in text.match_indices(before) {
            let rest = &text[at + before.len()..];
            let fits = |c: char| c.is_ascii_alphanumeric() || c == '-';
            let token = &rest[..rest.find(|c| !fits(c)).unwrap_or(rest.len())];
            let plain = !token.is_empty() && !self.known.iter().any(|(_, name)| name == token);
            if plain {
                self.of(kind, token);
            }
        }
    }

    pub fn apply(&mut self, text: &str) -> String {
        // A node's entity tag is its session's id and a number: the tag is the longer one.
        for line in text.lines().filter_map(|l| l.trim().strip_prefix("etag: \"")) {
            self.of("etag", line.trim_end_matches('"'));
        }
        self.learn(text, "/session/", "session");
        self.learn(text, "/s/", "seat");
        let mut out = text.to_owned();
        for (token, name) in &self.known {
            out = out.replace(token, name);
        }
        out
    }
}

#[derive(Default)]
struct Inner {
    text: String,
    names: Names,
    aside: Vec<(String, String)>,
    followed: Option<Instant>,
}

/// A transcript as it grows; copies write to the same one.
#[derive(Clone, Default)]
pub struct Transcript(Rc<RefCell<Inner>>);

impl Transcript {
    pub fn new(title: &str) -> Self {
        let new = Self::default();
        new.0.borrow_mut().text = format!("{title}\n");
        new
    }

    pub fn fix(&self, token: impl ToString, name: &str) {
        self.0.borrow_mut().names.fix(&token.to_string(), name);
    }

    pub fn name(&self, kind: &str, token: impl ToString) -> String {
        self.0.borrow_mut().names.of(kind, &token.to_string())
    }

    /// What happens next, in words.
    pub fn step(&self, words: &str) {
        let mut inner = self.0.borrow_mut();
        inner.text += &format!("\n# {words}\n");
    }

    /// One says something to another: a first line, and lines below it.
    pub fn says(&self, from: &str, to: &str, words: &str) {
        let mut inner = self.0.borrow_mut();
        let words = inner.names.apply(words);
        let (first, rest) = words.split_once('\n').unwrap_or((&words, ""));
        inner.text += &format!("{from} -> {to}: {first}\n");
        for line in rest.lines() {
            inner.text += format!("    {line}").trim_end();
            inner.text.push('\n');
        }
    }

    /// Something that passes beside the rest, at no certain moment; it is told by `beside`.
    pub fn aside(&self, from: &str, to: &str, words: &str, rank: &str) {
        let mut inner = self.0.borrow_mut();
        let words = inner.names.apply(words);
        let words = words.lines().enumerate();
        let lines =
            words.map(|(i, l)| if i == 0 { format!("{from} -> {to}: {l}\n") } else { format!("    {l}\n") });
        let lines = lines.collect();
        inner.aside.push((rank.to_owned(), lines));
    }

    /// Waits until so much passed beside the rest, and tells it in an order of its own.
    pub async fn beside(&self, n: usize) {
        let end = Instant::now() + PATIENCE;
        while self.0.borrow().aside.len() < n {
            assert!(Instant::now() < end, "only {:#?}", self.0.borrow().aside);
            sleep(Duration::from_millis(3)).await;
        }
        let mut inner = self.0.borrow_mut();
        let mut aside = std::mem::take(&mut inner.aside);
        assert_eq!(aside.len(), n, "{aside:#?}");
        aside.sort_by(|a, b| a.0.cmp(&b.0));
        aside.iter().for_each(|(_, lines)| inner.text += lines);
    }

    /// The front's stream of a node's events was opened, or has ended.
    pub fn follows(&self, open: bool) {
        self.0.borrow_mut().followed = open.then(Instant::now);
    }

    /// Since when the front follows a node's events.
    pub fn followed(&self) -> Option<Instant> {
        self.0.borrow().followed
    }

    /// The whole text, once nothing is left over.
    pub fn text(&self) -> String {
        let inner = self.0.borrow();
        assert!(inner.aside.is_empty(), "not told: {:#?}", inner.aside);
        inner.text.clone()
    }
}

/// Compares a transcript with the approved one of this name.
pub fn approved(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("snapshots");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, text));
}

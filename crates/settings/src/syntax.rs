//! Lines, words and blocks of the settings' form: `keyword value ...`, `section kind [name]`, `#` comments,
//! `include FILE`, double quotes around words with spaces.

use std::fs;
use std::path::{Path, PathBuf};

/// A place in one of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index into [`Source::files`].
    pub file: usize,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

/// What is wrong, where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// What was found and what was expected.
    pub what: String,
}

/// A word with its place.
#[derive(Clone, Debug)]
pub struct Word {
    pub text: String,
    pub place: Place,
}

/// A line: its keyword and the words after it.
#[derive(Clone, Debug)]
pub struct Line {
    pub keyword: Word,
    pub values: Vec<Word>,
}

/// The lines of one section.
#[derive(Clone, Debug)]
pub struct Block {
    pub kind: String,
    pub name: Option<Word>,
    pub place: Place,
    pub lines: Vec<Line>,
}

/// All files that were read, for messages.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// Path and text of each file, in the order of reading.
    pub files: Vec<(PathBuf, String)>,
}

/// Files that one set of settings may be spread over, and bytes of each.
const MOST_FILES: usize = 32;
const MOST_BYTES: u64 = 4 << 20;

/// Cuts a line into words; a quote that does not end is a fault.
fn words(text: &str, file: usize, line: usize) -> Result<Vec<Word>, Fault> {
    let mut out = Vec::new();
    let mut chars = text.chars().enumerate().peekable();
    while let Some((i, c)) = chars.next() {
        let place = Place { file, line, column: i + 1 };
        match c {
            c if c.is_whitespace() => {}
            '#' => break,
            '"' => {
                let mut word = String::new();
                loop {
                    match chars.next() {
                        Some((_, '"')) => break,
                        Some((_, '\\')) => word.extend(chars.next().map(|(_, c)| c)),
                        Some((_, c)) => word.push(c),
                        None => {
                            return Err(Fault { place, what: "this quote does not end on its line".into() });
                        }
                    }
                }
                out.push(Word { text: word, place });
            }
            c => {
                let mut word = String::from(c);
                while let Some((_, c)) = chars.next_if(|(_, c)| !c.is_whitespace() && *c != '#') {
                    word.push(c);
                }
                out.push(Word { text: word, place });
            }
        }
    }
    Ok(out)
}

/// Reads a file and what it includes into blocks; the first block is the one before any section.
pub struct Loader {
    pub source: Source,
    pub blocks: Vec<Block>,
    pub faults: Vec<Fault>,
    /// The text stands alone: it may name no file.
    alone: bool,
}

impl Loader {
    /// Reads from the file system.
    pub fn file(path: &Path) -> Self {
        let mut loader = Self::empty();
        loader.include(path, None);
        loader
    }

    /// Reads from text, under a name for messages; `include` is looked up beside it.
    pub fn text(name: &str, text: &str) -> Self {
        let mut loader = Self::empty();
        loader.take(PathBuf::from(name), text.to_owned());
        loader
    }

    /// Reads from text that came from elsewhere: an `include` in it is a fault and reads nothing.
    pub fn alone(name: &str, text: &str) -> Self {
        let mut loader = Self { alone: true, ..Self::empty() };
        loader.take(PathBuf::from(name), text.to_owned());
        loader
    }

    fn empty() -> Self {
        let place = Place { file: 0, line: 1, column: 1 };
        let first = Block { kind: String::new(), name: None, place, lines: Vec::new() };
        Self { source: Source::default(), blocks: vec![first], faults: Vec::new(), alone: false }
    }

    fn include(&mut self, path: &Path, from: Option<Place>) {
        let place = from.unwrap_or(Place { file: self.source.files.len(), line: 1, column: 1 });
        let what = if self.source.files.len() >= MOST_FILES {
            Some(format!("more than {MOST_FILES} files, or one that includes itself"))
        } else {
            match fs::metadata(path) {
                Ok(m) if m.len() > MOST_BYTES => {
                    Some(format!("{}: longer than {MOST_BYTES} bytes", path.display()))
                }
                _ => None,
            }
        };
        let text = match what {
            Some(what) => Err(what),
            None => fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display())),
        };
        match text {
            Ok(text) => self.take(path.to_owned(), text),
            Err(what) => {
                if from.is_none() {
                    self.source.files.push((path.to_owned(), String::new()));
                }
                self.faults.push(Fault { place, what });
            }
        }
    }

    fn take(&mut self, path: PathBuf, text: String) {
        let file = self.source.files.len();
        let beside = path.parent().map(Path::to_owned).unwrap_or_default();
        self.source.files.push((path, text.clone()));
        for (n, line) in text.lines().enumerate() {
            let mut words = match words(line, file, n + 1) {
                Ok(words) => words.into_iter(),
                Err(fault) => {
                    self.faults.push(fault);
                    continue;
                }
            };
            let Some(keyword) = words.next() else { continue };
            let values: Vec<Word> = words.collect();
            match (keyword.text.as_str(), values.as_slice()) {
                ("include", _) if self.alone => {
                    let what = "this text stands alone: 'include' has no place in it".into();
                    self.faults.push(Fault { place: keyword.place, what });
                }
                ("include", [file]) => self.include(&beside.join(&file.text), Some(file.place)),
                ("section", [kind]) => self.open(&keyword, kind, None),
                ("section", [kind, name]) => self.open(&keyword, kind, Some(name.clone())),
                ("include" | "section", _) => {
                    let what = format!(
                        "'{}' takes a {}",
                        keyword.text,
                        if keyword.text == "include" { "file" } else { "kind and, for most kinds, a name" }
                    );
                    self.faults.push(Fault { place: keyword.place, what });
                }
                _ => {
                    if let Some(block) = self.blocks.last_mut() {
                        block.lines.push(Line { keyword, values });
                    }
                }
            }
        }
    }

    fn open(&mut self, keyword: &Word, kind: &Word, name: Option<Word>) {
        self.blocks.push(Block { kind: kind.text.clone(), name, place: keyword.place, lines: Vec::new() });
    }
}

//! Syntax of settings files: splits them into lines, lexemes and sections.
//!
//! The forms are `keyword value ...`, `section kind [name]`, `#` comments, `include FILE`, and double quotes around
//! values with spaces.

use std::fs;
use std::path::{Path, PathBuf};

/// A position in one of the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Index into [`SourceFiles::files`].
    pub file: usize,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

/// An error in the settings, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Position of the lexeme or section that is wrong.
    pub position: Position,
    /// What was found and what was expected.
    pub message: String,
}

/// A keyword or value, without its quotes, and its position.
#[derive(Clone, Debug)]
pub struct Lexeme {
    pub text: String,
    pub position: Position,
}

/// A line: a keyword and its values.
#[derive(Clone, Debug)]
pub struct Line {
    pub keyword: Lexeme,
    pub values: Vec<Lexeme>,
}

/// The lines of one section.
#[derive(Clone, Debug)]
pub struct Section {
    /// Kind of the section; empty for the lines before the first section.
    pub kind: String,
    pub name: Option<Lexeme>,
    pub position: Position,
    pub lines: Vec<Line>,
}

/// All files that were read, for error messages.
#[derive(Clone, Debug, Default)]
pub struct SourceFiles {
    /// Path and text of each file, in the order of reading.
    pub files: Vec<(PathBuf, String)>,
}

/// Largest number of files of one set of settings; it also ends an include that includes itself.
const MAX_FILES: usize = 32;
/// Largest size of one file, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Splits a line into lexemes; an unterminated quote is an error.
fn split_line(text: &str, file: usize, line: usize) -> Result<Vec<Lexeme>, SettingsError> {
    let mut out = Vec::new();
    let mut chars = text.chars().enumerate().peekable();
    while let Some((i, c)) = chars.next() {
        let position = Position { file, line, column: i + 1 };
        match c {
            c if c.is_whitespace() => {}
            '#' => break,
            '"' => {
                let mut text = String::new();
                loop {
                    match chars.next() {
                        Some((_, '"')) => break,
                        Some((_, '\\')) => text.extend(chars.next().map(|(_, c)| c)),
                        Some((_, c)) => text.push(c),
                        None => {
                            return Err(SettingsError {
                                position,
                                message: "this quote has no closing '\"' on its line".into(),
                            });
                        }
                    }
                }
                out.push(Lexeme { text, position });
            }
            c => {
                let mut text = String::from(c);
                while let Some((_, c)) = chars.next_if(|(_, c)| !c.is_whitespace() && *c != '#') {
                    text.push(c);
                }
                out.push(Lexeme { text, position });
            }
        }
    }
    Ok(out)
}

/// Reads a file and the files that it includes into sections; the first section has the lines before any
/// `section` line.
pub struct Loader {
    pub sources: SourceFiles,
    pub sections: Vec<Section>,
    pub errors: Vec<SettingsError>,
    /// `include` is an error.
    includes_forbidden: bool,
}

impl Loader {
    /// Reads from the file system.
    pub fn from_file(path: &Path) -> Self {
        let mut loader = Self::empty();
        loader.include(path, None);
        loader
    }

    /// Reads from text. `name` is its path in error messages; `include` paths are relative to that path's folder.
    pub fn from_text(name: &str, text: &str) -> Self {
        let mut loader = Self::empty();
        loader.parse(PathBuf::from(name), text.to_owned());
        loader
    }

    /// Reads from text that another process sent: an `include` in it is an error and reads no file.
    pub fn without_includes(name: &str, text: &str) -> Self {
        let mut loader = Self { includes_forbidden: true, ..Self::empty() };
        loader.parse(PathBuf::from(name), text.to_owned());
        loader
    }

    fn empty() -> Self {
        let position = Position { file: 0, line: 1, column: 1 };
        let first = Section { kind: String::new(), name: None, position, lines: Vec::new() };
        Self {
            sources: SourceFiles::default(),
            sections: vec![first],
            errors: Vec::new(),
            includes_forbidden: false,
        }
    }

    /// Reads a file; `from` is the position of the `include` line that names it, if any.
    fn include(&mut self, path: &Path, from: Option<Position>) {
        let position = from.unwrap_or(Position { file: self.sources.files.len(), line: 1, column: 1 });
        let refusal = if self.sources.files.len() >= MAX_FILES {
            Some(format!("more than {MAX_FILES} files, or a file that includes itself"))
        } else {
            match fs::metadata(path) {
                Ok(m) if m.len() > MAX_FILE_BYTES => Some(format!(
                    "{}: the file has {} bytes; at most {MAX_FILE_BYTES} are read",
                    path.display(),
                    m.len()
                )),
                _ => None,
            }
        };
        let text = match refusal {
            Some(message) => Err(message),
            None => fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display())),
        };
        match text {
            Ok(text) => self.parse(path.to_owned(), text),
            Err(message) => {
                if from.is_none() {
                    self.sources.files.push((path.to_owned(), String::new()));
                }
                self.errors.push(SettingsError { position, message });
            }
        }
    }

    fn parse(&mut self, path: PathBuf, text: String) {
        let file = self.sources.files.len();
        let folder = path.parent().map(Path::to_owned).unwrap_or_default();
        self.sources.files.push((path, text.clone()));
        for (n, line) in text.lines().enumerate() {
            let mut lexemes = match split_line(line, file, n + 1) {
                Ok(lexemes) => lexemes.into_iter(),
                Err(error) => {
                    self.errors.push(error);
                    continue;
                }
            };
            let Some(keyword) = lexemes.next() else { continue };
            let values: Vec<Lexeme> = lexemes.collect();
            match (keyword.text.as_str(), values.as_slice()) {
                ("include", _) if self.includes_forbidden => {
                    let message = "'include' is not allowed in this text".into();
                    self.errors.push(SettingsError { position: keyword.position, message });
                }
                ("include", [file]) => self.include(&folder.join(&file.text), Some(file.position)),
                ("section", [kind]) => self.open_section(&keyword, kind, None),
                ("section", [kind, name]) => self.open_section(&keyword, kind, Some(name.clone())),
                ("include" | "section", _) => {
                    let message = format!(
                        "'{}' takes {}; {} value(s) found",
                        keyword.text,
                        if keyword.text == "include" {
                            "one file"
                        } else {
                            "a kind and, for most kinds, a name"
                        },
                        values.len()
                    );
                    self.errors.push(SettingsError { position: keyword.position, message });
                }
                _ => {
                    if let Some(section) = self.sections.last_mut() {
                        section.lines.push(Line { keyword, values });
                    }
                }
            }
        }
    }

    fn open_section(&mut self, keyword: &Lexeme, kind: &Lexeme, name: Option<Lexeme>) {
        self.sections.push(Section {
            kind: kind.text.clone(),
            name,
            position: keyword.position,
            lines: Vec::new(),
        });
    }
}

//! Parser and writer for server-sent events (WHATWG HTML, 9.2).

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its type; `message` if the stream gives none.
    pub name: String,
    /// Its data lines, joined by line feeds.
    pub data: String,
}

/// Maximum size of a line and of an event's data, in bytes. Real events are far smaller; the limit keeps a faulty node
/// from exhausting a front's memory.
const MAX_EVENT_BYTES: usize = 16 * 1024;

/// Incremental parser: splits a stream into events, however it is divided into chunks.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    name: String,
    data: String,
    /// The last byte was a CR: a LF that follows belongs to the same line end.
    after_cr: bool,
}

impl EventReader {
    /// Parses received bytes and passes each event that they complete to `each`. A line of more than 16 KiB is
    /// truncated; data lines that would make the event's data longer than that are dropped.
    pub fn push(&mut self, bytes: &[u8], mut each: impl FnMut(ServerEvent)) {
        for &b in bytes {
            let lf_of_crlf = b == b'\n' && std::mem::take(&mut self.after_cr);
            match b {
                b'\n' if lf_of_crlf => {}
                b'\r' | b'\n' => {
                    self.after_cr = b == b'\r';
                    self.end_line(&mut each);
                }
                _ => {
                    self.after_cr = false;
                    if self.line.len() < MAX_EVENT_BYTES {
                        self.line.push(b);
                    }
                }
            }
        }
    }

    fn end_line(&mut self, each: &mut impl FnMut(ServerEvent)) {
        let line = String::from_utf8_lossy(&std::mem::take(&mut self.line)).into_owned();
        if line.is_empty() {
            if !self.data.is_empty() {
                let name = std::mem::take(&mut self.name);
                let name = if name.is_empty() { "message".to_owned() } else { name };
                each(ServerEvent { name, data: std::mem::take(&mut self.data) });
            }
            self.name.clear();
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" if self.data.len() + value.len() < MAX_EVENT_BYTES => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            _ => {}
        }
    }
}

/// Serialises an event; `data` must not contain line breaks.
#[must_use]
pub fn write_event(name: &str, data: &str) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parsing_does_not_depend_on_chunk_boundaries() {
        let stream = "event: a\r\ndata: 1\r\n\r\n: comment\ndata: x\ndata: y\n\nevent: lost\n\n";
        let stream = stream.to_owned() + &write_event("b", "{}");
        for chunk_bytes in [1, 2, 3, 7, 1000] {
            let (mut reader, mut parsed) = (EventReader::default(), Vec::new());
            stream
                .as_bytes()
                .chunks(chunk_bytes)
                .for_each(|c| reader.push(c, |e| parsed.push((e.name, e.data))));
            let expected = [("a", "1"), ("message", "x\ny"), ("b", "{}")];
            assert_eq!(
                parsed,
                expected.map(|(n, d)| (n.to_owned(), d.to_owned())),
                "in chunks of {chunk_bytes} bytes"
            );
        }
    }

    #[test]
    fn an_endless_line_is_truncated_at_the_limit() {
        let mut reader = EventReader::default();
        (0..100).for_each(|_| reader.push(&[b'x'; 4096], |_| {}));
        assert!(reader.line.len() <= MAX_EVENT_BYTES);
    }
}

//! Server-sent events (WHATWG HTML, 9.2) out of and into bytes.

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEvent {
    /// Its type, `message` where none is given.
    pub name: String,
    /// Its data lines, joined.
    pub data: String,
}

/// Bytes of one event at most: events here are small, and a node must not fill a front's memory.
const MOST: usize = 16 * 1024;

/// Cuts a stream into events, whatever the pieces it arrives in.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    name: String,
    data: String,
    after_cr: bool,
}

impl EventReader {
    /// Takes in bytes and hands out the events that they end. An event over 16 KiB is cut off there.
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
                    if self.line.len() < MOST {
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
            "data" if self.data.len() + value.len() < MOST => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            _ => {}
        }
    }
}

/// One event in the form of the stream; `data` holds no line breaks.
#[must_use]
pub fn write_event(name: &str, data: &str) -> String {
    format!("event: {name}\ndata: {data}\n\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_found_however_the_bytes_arrive() {
        let stream = "event: a\r\ndata: 1\r\n\r\n: comment\ndata: x\ndata: y\n\nevent: lost\n\n";
        let stream = stream.to_owned() + &write_event("b", "{}");
        for step in [1, 2, 3, 7, 1000] {
            let (mut reader, mut got) = (EventReader::default(), Vec::new());
            stream.as_bytes().chunks(step).for_each(|c| reader.push(c, |e| got.push((e.name, e.data))));
            let want = [("a", "1"), ("message", "x\ny"), ("b", "{}")];
            assert_eq!(got, want.map(|(n, d)| (n.to_owned(), d.to_owned())), "in pieces of {step}");
        }
    }

    #[test]
    fn a_line_without_end_stays_within_its_bound() {
        let mut reader = EventReader::default();
        (0..100).for_each(|_| reader.push(&[b'x'; 4096], |_| {}));
        assert!(reader.line.len() <= MOST);
    }
}

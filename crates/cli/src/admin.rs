//! Requests to a running front's admin address.

use crate::Exit;
use pepperhook_rehearse::wire::Connection;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The address and its key.
pub struct Admin {
    address: SocketAddr,
    bearer: String,
}

/// Text in a path or a query.
pub fn encoded(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}

impl Admin {
    /// With the key of a file, or of the environment.
    pub fn new(address: SocketAddr, key_file: Option<PathBuf>) -> Result<Self, Exit> {
        let key = match &key_file {
            Some(path) => std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display())),
            None => std::env::var("PEPPERHOOK_ADMIN_KEY")
                .map_err(|_| "give --key-file or PEPPERHOOK_ADMIN_KEY".into()),
        };
        let bearer = key.map(|key| format!("Bearer {}", key.trim())).map_err(|e| {
            eprintln!("pepperhook: {e}");
            Exit::Usage
        })?;
        Ok(Self { address, bearer })
    }

    /// Asks; the body of an answer, or why there is none.
    pub async fn ask(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        patience: Duration,
    ) -> Result<Vec<u8>, String> {
        let headers = [("authorization", self.bearer.as_str()), ("content-type", "application/json")];
        let asked = async {
            let mut c = Connection::open(self.address).await?;
            c.request(method, path, &headers, body, patience).await
        };
        match asked.await {
            Ok(reply) if reply.status < 300 => Ok(reply.body),
            Ok(reply) => {
                let problem: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                let say = |name: &str| problem.get(name).and_then(|v| v.as_str()).unwrap_or("").to_owned();
                Err(format!("{} {}: {}", reply.status, say("title"), say("detail")))
            }
            Err(e) => Err(format!("no answer from {}: {e:?}", self.address)),
        }
    }

    /// Prints what came of it.
    pub fn print(&self, answer: Result<Vec<u8>, String>) -> Exit {
        match answer {
            Ok(body) => {
                println!("{}", String::from_utf8_lossy(&body));
                Exit::Done
            }
            Err(why) => {
                eprintln!("pepperhook: {why}");
                Exit::Failed
            }
        }
    }
}

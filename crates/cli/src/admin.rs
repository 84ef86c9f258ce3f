//! Client for the admin address of a running front.

use crate::Exit;
use pepperhook_rehearse::wire::Connection;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The admin address of a front and the credentials for it.
pub struct AdminClient {
    address: SocketAddr,
    /// Value of the `authorization` header.
    bearer: String,
}

/// Percent-encodes text for use in a path segment or a query.
pub fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}

impl AdminClient {
    /// Reads the admin key from `key_file`, or from the environment if no file is given.
    pub fn new(address: SocketAddr, key_file: Option<PathBuf>) -> Result<Self, Exit> {
        let key = match &key_file {
            Some(path) => {
                std::fs::read_to_string(path).map_err(|e| format!("--key-file {}: {e}", path.display()))
            }
            None => std::env::var("PEPPERHOOK_ADMIN_KEY")
                .map_err(|_| "no admin key: pass --key-file or set PEPPERHOOK_ADMIN_KEY".into()),
        };
        let bearer = key.map(|key| format!("Bearer {}", key.trim())).map_err(|e| {
            eprintln!("pepperhook: {e}");
            Exit::Usage
        })?;
        Ok(Self { address, bearer })
    }

    /// Sends a request and returns the body of a successful reply, or a description of the failure.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, String> {
        let headers = [("authorization", self.bearer.as_str()), ("content-type", "application/json")];
        let exchange = async {
            let mut connection = Connection::open(self.address).await?;
            connection.request(method, path, &headers, body, timeout).await
        };
        match exchange.await {
            Ok(reply) if reply.status < 300 => Ok(reply.body),
            Ok(reply) => {
                let problem: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                let member = |name: &str| problem.get(name).and_then(|v| v.as_str()).unwrap_or("").to_owned();
                Err(format!("{} {}: {}", reply.status, member("title"), member("detail")))
            }
            Err(e) => Err(format!("no reply from admin address {}: {e:?}", self.address)),
        }
    }

    /// Prints the body of a reply, or the failure to standard error.
    pub fn print(&self, reply_body: Result<Vec<u8>, String>) -> Exit {
        match reply_body {
            Ok(body) => {
                println!("{}", String::from_utf8_lossy(&body));
                Exit::Done
            }
            Err(reason) => {
                eprintln!("pepperhook: {reason}");
                Exit::Failed
            }
        }
    }
}

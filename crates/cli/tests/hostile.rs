//! Bad input and bad manners: a clear error, bounded memory, others served.

mod common;

use common::*;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// One request, as text; its status and problem.
async fn one(
    cluster: &Cluster,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> (u16, String, Option<String>) {
    let mut c = cluster.connect().await;
    let reply = c.request(method, path, headers, body, PATIENCE).await.expect("an answer");
    let kind = if reply.status >= 400 { problem_type(&reply) } else { String::new() };
    (reply.status, kind, reply.header("allow").map(str::to_owned))
}

#[test]
fn each_wrong_request_has_its_status() {
    local(async {
        let cluster = Cluster::new(2).await;
        let good = offer(1);
        let sdp = good.as_bytes();
        let json = ("content-type", "application/json");
        for (method, path, headers, body, status, kind) in [
            ("POST", "/whep/none", &[SDP][..], sdp, 404, "title"),
            ("POST", "/whep/t", &[json][..], sdp, 415, "media-type"),
            ("POST", "/whep/t", &[][..], sdp, 415, "media-type"),
            ("POST", "/whep/t", &[SDP][..], &b"hello"[..], 400, "offer"),
            ("POST", "/whip/t", &[SDP][..], sdp, 400, "offer"),
            ("POST", "/whep/t?top=x", &[SDP][..], sdp, 400, "query"),
            ("POST", "/whep/t?class=x", &[SDP][..], sdp, 400, "query"),
            ("POST", "/whep/t?tenant=x", &[SDP][..], sdp, 400, "query"),
            ("GET", "/whep/t", &[][..], b"", 405, "method"),
            ("PUT", "/whip/t", &[][..], b"", 405, "method"),
            ("GET", "/session/x", &[][..], b"", 405, "method"),
            ("DELETE", "/session/x", &[][..], b"", 404, "session"),
            ("GET", "/session/x/events/stream", &[][..], b"", 404, "session"),
            ("POST", "/session/x/events", &[json][..], b"[]", 404, "session"),
            ("POST", "/session/x/events", &[json][..], b"{}", 400, "events"),
            ("PATCH", "/session/x", &[json][..], b"", 404, "session"),
            ("PATCH", "/session/x", &[FRAGMENT][..], b"a=mid:0\r\n", 404, "session"),
            ("PATCH", "/session/x", &[FRAGMENT, ("if-match", "*")][..], b"nonsense", 404, "session"),
            ("PATCH", "/session/x", &[FRAGMENT, ("if-match", "*")][..], b"a=mid:0\r\n", 404, "session"),
            ("GET", "/", &[][..], b"", 404, "path"),
        ] {
            let got = one(&cluster, method, path, headers, body).await;
            assert_eq!((got.0, got.1.as_str()), (status, kind), "{method} {path}");
            assert_eq!(got.2.is_some(), status == 405, "Allow with 405 alone");
        }
        assert_eq!(cluster.attempts(), 0, "no attempt goes out for what cannot be served");
        let mut c = cluster.connect().await;
        let reply = c.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("an answer");
        assert_eq!((reply.status, reply.header("accept-post")), (204, Some("application/sdp")));
        assert_eq!(reply.header("access-control-allow-origin"), Some("*"));
    });
}

#[test]
fn patches_are_carried_through_with_their_tags() {
    local(async {
        let cluster = Cluster::new(1).await;
        let (_, reply) = cluster.request_session("v", 1).await;
        let reply = reply.expect("an answer");
        let (session, tag) =
            (reply.header("location").expect("a session"), reply.header("etag").expect("a tag").to_owned());
        assert!(reply.headers.iter().any(|(n, v)| n == "link" && v.contains("ice-server")));
        let trickle =
            b"a=ice-ufrag:vwr1\r\na=ice-pwd:0123456789012345678901\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                        a=candidate:1 1 udp 1 192.0.2.1 61764 typ host\r\n";
        let patch = async |tag: &str, body: &[u8]| {
            let mut c = cluster.connect().await;
            c.request("PATCH", session, &[FRAGMENT, ("if-match", tag)], body, SECOND)
                .await
                .expect("an answer")
        };
        assert_eq!(patch(&tag, trickle).await.status, 204);
        let restarted = patch("*", trickle).await;
        assert_eq!(restarted.status, 200);
        assert!(String::from_utf8_lossy(&restarted.body).contains("ice-ufrag"));
        let new = restarted.header("etag").expect("a new tag").to_owned();
        assert_ne!(new, tag);
        assert_eq!(patch(&tag, trickle).await.status, 412, "the old ICE session is stale");
        assert_eq!(patch(&new, trickle).await.status, 204);
        let tag = ("if-match", new.as_str());
        for (headers, body, status, kind) in [
            (&[("content-type", "application/json"), tag][..], &trickle[..], 415, "media-type"),
            (&[FRAGMENT][..], b"a=mid:0\r\n", 428, "if-match"),
            (&[FRAGMENT, tag][..], b"nonsense", 422, "fragment"),
        ] {
            let got = one(&cluster, "PATCH", session, headers, body).await;
            assert_eq!((got.0, got.1.as_str()), (status, kind));
        }
    });
}

/// Players in the field trickle without the header that RFC 9725, 4.3.1 asks for.
#[test]
fn a_trickle_of_the_running_ice_session_needs_no_tag_where_settings_are_lenient() {
    local(async {
        for (lenient, status) in [("", 204), ("if-match strict\n", 428)] {
            let cluster = Cluster::with_options(1, lenient, |_| {}).await;
            let (_, reply) = cluster.request_session("v", 1).await;
            let reply = reply.expect("an answer");
            let session = reply.header("location").expect("a session").to_owned();
            let patch = async |headers: &[(&str, &str)], ufrag: &str| {
                let body = format!(
                    "a=ice-ufrag:{ufrag}\r\na=ice-pwd:0123456789012345678901\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n"
                );
                let mut c = cluster.connect().await;
                c.request("PATCH", &session, headers, body.as_bytes(), SECOND)
                    .await
                    .expect("an answer")
                    .status
            };
            // The offer's own credentials, then others, which would be a restart.
            assert_eq!(patch(&[FRAGMENT], "v000001").await, status);
            assert_eq!(patch(&[FRAGMENT], "other").await, 428, "a restart never goes without");
            assert_eq!(patch(&[FRAGMENT, ("if-match", "*")], "newer").await, 200);
            assert_eq!(patch(&[FRAGMENT], "v000001").await, 428, "that ICE session is over");
            assert_eq!(patch(&[FRAGMENT], "newer").await, status);
        }
    });
}

#[test]
fn tokens_are_asked_for_where_they_are_set() {
    local(async {
        let tokens = "section token viewers\nsecret abc\nsection token studio\nsecret def\npublish yes\n";
        let all = settings(1, "") + tokens;
        let recorder = pepperhook_playout::record::Recorder::disabled();
        let nodes = pepperhook_playout::start(vec![Default::default()], &recorder).await.expect("a node");
        let front = front_with(&all, &list(&node_addresses(&nodes), 0)).await;
        let ask = async |kind: &str, token: &str| {
            let mut c = Connection::open(front.address()).await.expect("a connection");
            let body = if kind == "whip" { offer(1).replace("recvonly", "sendonly") } else { offer(1) };
            let headers = [SDP, ("authorization", token)];
            c.request("POST", &format!("/{kind}/t"), &headers, body.as_bytes(), PATIENCE)
                .await
                .expect("an answer")
        };
        let refused = ask("whep", "Bearer wrong").await;
        assert_eq!((refused.status, refused.header("www-authenticate")), (401, Some("Bearer")));
        assert_eq!(ask("whep", "Basic abc").await.status, 401);
        assert_eq!(ask("whep", "Bearer abc").await.status, 201);
        assert_eq!(ask("whip", "Bearer abc").await.status, 403);
        assert_eq!(ask("whip", "bearer def").await.status, 201);
        let mut c = Connection::open(front.address()).await.expect("a connection");
        assert_eq!(c.request("DELETE", "/session/x", &[], b"", SECOND).await.expect("an answer").status, 401);
    });
}

#[test]
fn malformed_offers_by_the_hundred_are_told_why_and_others_are_served() {
    local(async {
        let cluster = Cluster::new(2).await;
        let mut runner = TestRunner::deterministic();
        let cuts = (0usize..400, proptest::collection::vec(proptest::num::u8::ANY, 0..40));
        let mut c = cluster.connect().await;
        let mut refused = 0;
        for i in 0..300u64 {
            let (at, junk) = cuts.new_tree(&mut runner).expect("a value").current();
            let mut body = offer(1_000 + i).into_bytes();
            let at = at.min(body.len());
            body.splice(at..(at + junk.len()).min(body.len()), junk);
            let reply = c.request("POST", "/whep/t", &[SDP], &body, PATIENCE).await.expect("an answer");
            assert!(matches!(reply.status, 201 | 400 | 503), "{}", reply.status);
            refused += u64::from(reply.status == 400);
            if i % 50 == 0 {
                cluster.set_up_session(&format!("good{i}"), i).await;
            }
        }
        assert!(refused > 100, "{refused} refused");
    });
}

#[test]
fn bodies_of_ten_megabytes_are_413_and_cost_no_memory() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let (front, address) = process(dir.path()).await;
        let pid = front.id().expect("a process");
        let before = memory_kb(pid);
        let body = vec![b'x'; 10 << 20];
        for _ in 0..10 {
            let mut c = Connection::open(address).await.expect("a connection");
            let reply = c.request("POST", "/whep/t", &[SDP], &body, PATIENCE).await.expect("an answer");
            assert_eq!((reply.status, problem_type(&reply).as_str()), (413, "body-too-large"));
        }
        let grown = memory_kb(pid).saturating_sub(before);
        assert!(grown < 8 << 10, "{grown} kB more");
    });
}

#[test]
fn a_header_block_of_a_megabyte_is_431() {
    local(async {
        let cluster = Cluster::new(1).await;
        let mut c = cluster.connect().await;
        let long = "x".repeat(1 << 20);
        // The front may close before all of it is sent.
        let _ = c.send_raw(format!("POST /whep/t HTTP/1.1\r\nhost: x\r\nx: {long}\r\n\r\n").as_bytes()).await;
        if let Ok(reply) = c.read_response(Instant::now() + SECOND).await {
            assert_eq!(reply.status, 431);
        }
        let mut c = cluster.connect().await;
        c.send_raw(format!("GET / HTTP/1.1\r\nx: {}\r\n", "y".repeat(17 << 10)).as_bytes())
            .await
            .expect("sent");
        assert_eq!(c.read_response(Instant::now() + SECOND).await.expect("an answer").status, 431);
        cluster.set_up_session("v", 1).await;
    });
}

#[test]
fn slow_senders_are_cut_off_and_others_served() {
    local(async {
        let cluster = Cluster::new(1).await;
        let mut slow_body = cluster.connect().await;
        let head = "POST /whep/t HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\ncontent-length: 500\r\n\r\nv=0";
        slow_body.send_raw(head.as_bytes()).await.expect("sent");
        let mut slow_head = cluster.connect().await;
        slow_head.send_raw(b"POST /whep/t HT").await.expect("sent");
        cluster.set_up_session("v", 1).await;
        let reply = slow_body.read_response(Instant::now() + SECOND).await.expect("an answer");
        assert_eq!((reply.status, problem_type(&reply).as_str()), (408, "body-slow"));
        // A head that does not come has no request to answer: its connection is closed.
        assert!(slow_head.read_response(Instant::now() + 2 * SECOND).await.is_err());
    });
}

#[test]
fn two_thousand_idle_connections_leave_room_for_others() {
    local(async {
        let dir = tempfile::tempdir().expect("a folder");
        let (front, address) = process(dir.path()).await;
        let pid = front.id().expect("a process");
        let before = memory_kb(pid);
        let mut idle = Vec::new();
        // The other side of the connections is this process, whose limit of open files may be low.
        while idle.len() < 2_000 {
            match tokio::net::TcpStream::connect(address).await {
                Ok(c) => idle.push(c),
                Err(_) if idle.len() > 900 => break,
                Err(e) => panic!("{e} after {}", idle.len()),
            }
        }
        idle.truncate(idle.len() - 8);
        sleep(Duration::from_millis(50)).await;
        let grown = memory_kb(pid).saturating_sub(before);
        let a_connection = grown as f64 / idle.len() as f64;
        assert!(a_connection < 64.0, "{a_connection:.1} kB a connection");
        let mut c = Connection::open(address).await.expect("a connection");
        let reply =
            c.request("POST", "/whep/t", &[SDP], offer(1).as_bytes(), PATIENCE).await.expect("an answer");
        assert_eq!(reply.status, 503, "the front answers; its one node is not there");
        drop(idle);
    });
}

/// A front of its own process; its node's address is one where nobody listens.
async fn process(dir: &std::path::Path) -> (tokio::process::Child, std::net::SocketAddr) {
    std::fs::write(dir.join("f.conf"), settings(1, "").replace("head-time 400ms", "head-time 20s"))
        .expect("written");
    let nobody = vec![("n".to_owned(), "127.0.0.1:1".parse().expect("an address"))];
    std::fs::write(dir.join("nodes.csv"), list(&nobody, 0)).expect("written");
    let (child, ready) = spawn(&["serve", "-c", "f.conf"], dir).await;
    (child, address(&ready))
}

fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a line");
    line.split_ascii_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

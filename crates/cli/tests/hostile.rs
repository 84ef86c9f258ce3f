//! Invalid requests, missing tokens, oversized and slow input, many idle connections. A front must answer
//! each with a specific error, keep its memory bounded and go on serving other viewers.

mod common;

use common::*;
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::Connection;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Sends one request on a new connection. Returns the status, the problem type (empty below 400) and the
/// `Allow` header.
async fn send_request(
    cluster: &Cluster,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> (u16, String, Option<String>) {
    let mut connection = cluster.connect().await;
    let reply = connection.request(method, path, headers, body, PATIENCE).await.expect("no answer");
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
            let (got_status, got_kind, allow) = send_request(&cluster, method, path, headers, body).await;
            assert_eq!((got_status, got_kind.as_str()), (status, kind), "{method} {path}");
            assert_eq!(
                allow.is_some(),
                status == 405,
                "{method} {path}: only 405 has an Allow header: {allow:?}"
            );
        }
        assert_eq!(cluster.attempts(), 0, "an invalid request caused an attempt");
        let mut connection = cluster.connect().await;
        let reply = connection.request("OPTIONS", "/whep/t", &[], b"", SECOND).await.expect("no answer");
        assert_eq!((reply.status, reply.header("accept-post")), (204, Some("application/sdp")));
        assert_eq!(reply.header("access-control-allow-origin"), Some("*"));
    });
}

#[test]
fn patches_with_a_current_etag_are_forwarded_and_stale_ones_are_rejected() {
    local(async {
        let cluster = Cluster::new(1).await;
        let (_, reply) = cluster.request_session("v", 1).await;
        let reply = reply.expect("no answer");
        let (session, tag) = (
            reply.header("location").expect("no Location header"),
            reply.header("etag").expect("no ETag header").to_owned(),
        );
        assert!(reply.headers.iter().any(|(n, v)| n == "link" && v.contains("ice-server")));
        let trickle =
            b"a=ice-ufrag:vwr1\r\na=ice-pwd:0123456789012345678901\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n\
                        a=candidate:1 1 udp 1 192.0.2.1 61764 typ host\r\n";
        let patch = async |tag: &str, body: &[u8]| {
            let mut connection = cluster.connect().await;
            connection
                .request("PATCH", session, &[FRAGMENT, ("if-match", tag)], body, SECOND)
                .await
                .expect("no answer")
        };
        assert_eq!(patch(&tag, trickle).await.status, 204);
        let restarted = patch("*", trickle).await;
        assert_eq!(restarted.status, 200);
        assert!(String::from_utf8_lossy(&restarted.body).contains("ice-ufrag"));
        let new = restarted.header("etag").expect("no ETag header").to_owned();
        assert_ne!(new, tag);
        assert_eq!(patch(&tag, trickle).await.status, 412, "the ETag of the former ICE session was accepted");
        assert_eq!(patch(&new, trickle).await.status, 204);
        let tag = ("if-match", new.as_str());
        for (headers, body, status, kind) in [
            (&[("content-type", "application/json"), tag][..], &trickle[..], 415, "media-type"),
            (&[FRAGMENT][..], b"a=mid:0\r\n", 428, "if-match"),
            (&[FRAGMENT, tag][..], b"nonsense", 422, "fragment"),
        ] {
            let (got_status, got_kind, _) = send_request(&cluster, "PATCH", session, headers, body).await;
            assert_eq!((got_status, got_kind.as_str()), (status, kind));
        }
    });
}

/// Some deployed players send trickle PATCHes without the If-Match header that RFC 9725, 4.3.1 requires.
#[test]
fn a_trickle_for_the_current_ice_session_needs_no_etag_if_settings_are_lenient() {
    local(async {
        for (lenient, status) in [("", 204), ("if-match strict\n", 428)] {
            let cluster = Cluster::with_options(1, lenient, |_| {}).await;
            let (_, reply) = cluster.request_session("v", 1).await;
            let reply = reply.expect("no answer");
            let session = reply.header("location").expect("no Location header").to_owned();
            let patch = async |headers: &[(&str, &str)], ufrag: &str| {
                let body = format!(
                    "a=ice-ufrag:{ufrag}\r\na=ice-pwd:0123456789012345678901\r\nm=audio 9 RTP/AVP 0\r\na=mid:0\r\n"
                );
                let mut connection = cluster.connect().await;
                connection
                    .request("PATCH", &session, headers, body.as_bytes(), SECOND)
                    .await
                    .expect("no answer")
                    .status
            };
            // The ICE credentials of the offer; other credentials would restart ICE.
            assert_eq!(patch(&[FRAGMENT], "v000001").await, status);
            assert_eq!(
                patch(&[FRAGMENT], "other").await,
                428,
                "an ICE restart without If-Match was accepted"
            );
            assert_eq!(patch(&[FRAGMENT, ("if-match", "*")], "newer").await, 200);
            assert_eq!(
                patch(&[FRAGMENT], "v000001").await,
                428,
                "a trickle for the former ICE session was accepted"
            );
            assert_eq!(patch(&[FRAGMENT], "newer").await, status);
        }
    });
}

#[test]
fn tokens_are_required_if_settings_define_them() {
    local(async {
        let tokens = "section token viewers\nsecret abc\nsection token studio\nsecret def\npublish yes\n";
        let all = settings(1, "") + tokens;
        let recorder = pepperhook_playout::record::Recorder::disabled();
        let nodes =
            pepperhook_playout::start(vec![Default::default()], &recorder).await.expect("no node matches");
        let front = front_with(&all, &list(&node_addresses(&nodes), 0)).await;
        let request = async |kind: &str, token: &str| {
            let mut connection = Connection::open(front.address()).await.expect("cannot connect");
            let body = if kind == "whip" { offer(1).replace("recvonly", "sendonly") } else { offer(1) };
            let headers = [SDP, ("authorization", token)];
            connection
                .request("POST", &format!("/{kind}/t"), &headers, body.as_bytes(), PATIENCE)
                .await
                .expect("no answer")
        };
        let refused = request("whep", "Bearer wrong").await;
        assert_eq!((refused.status, refused.header("www-authenticate")), (401, Some("Bearer")));
        assert_eq!(request("whep", "Basic abc").await.status, 401);
        assert_eq!(request("whep", "Bearer abc").await.status, 201);
        assert_eq!(request("whip", "Bearer abc").await.status, 403);
        assert_eq!(request("whip", "bearer def").await.status, 201);
        let mut connection = Connection::open(front.address()).await.expect("cannot connect");
        assert_eq!(
            connection.request("DELETE", "/session/x", &[], b"", SECOND).await.expect("no answer").status,
            401
        );
    });
}

#[test]
fn hundreds_of_malformed_offers_are_rejected_and_valid_ones_are_served() {
    local(async {
        let cluster = Cluster::new(2).await;
        let mut runner = TestRunner::deterministic();
        let cuts = (0usize..400, proptest::collection::vec(proptest::num::u8::ANY, 0..40));
        let mut connection = cluster.connect().await;
        let mut rejected = 0;
        for i in 0..300u64 {
            let (at, junk) = cuts.new_tree(&mut runner).expect("no value generated").current();
            let mut body = offer(1_000 + i).into_bytes();
            let at = at.min(body.len());
            body.splice(at..(at + junk.len()).min(body.len()), junk);
            let reply =
                connection.request("POST", "/whep/t", &[SDP], &body, PATIENCE).await.expect("no answer");
            assert!(matches!(reply.status, 201 | 400 | 503), "unexpected status {}", reply.status);
            rejected += u64::from(reply.status == 400);
            if i % 50 == 0 {
                cluster.set_up_session(&format!("good{i}"), i).await;
            }
        }
        assert!(rejected > 100, "only {rejected} of 300 malformed offers were rejected");
    });
}

#[test]
fn bodies_of_ten_megabytes_get_413_and_are_not_kept_in_memory() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let (front, address) = start_front_process(dir.path()).await;
        let pid = front.id().expect("the process has ended");
        let before_kb = memory_kb(pid);
        let body = vec![b'x'; 10 << 20];
        for _ in 0..10 {
            let mut connection = Connection::open(address).await.expect("cannot connect");
            let reply =
                connection.request("POST", "/whep/t", &[SDP], &body, PATIENCE).await.expect("no answer");
            assert_eq!((reply.status, problem_type(&reply).as_str()), (413, "body-too-large"));
        }
        let grown_kb = memory_kb(pid).saturating_sub(before_kb);
        assert!(grown_kb < 8 << 10, "ten bodies of 10 MiB left the front {grown_kb} kB larger");
    });
}

#[test]
fn a_header_block_of_a_megabyte_gets_431() {
    local(async {
        let cluster = Cluster::new(1).await;
        let mut connection = cluster.connect().await;
        let long = "x".repeat(1 << 20);
        // The front may close the connection before all of the header is sent.
        let _ = connection
            .send_raw(format!("POST /whep/t HTTP/1.1\r\nhost: x\r\nx: {long}\r\n\r\n").as_bytes())
            .await;
        if let Ok(reply) = connection.read_response(Instant::now() + SECOND).await {
            assert_eq!(reply.status, 431);
        }
        let mut connection = cluster.connect().await;
        connection
            .send_raw(format!("GET / HTTP/1.1\r\nx: {}\r\n", "y".repeat(17 << 10)).as_bytes())
            .await
            .expect("cannot send");
        assert_eq!(connection.read_response(Instant::now() + SECOND).await.expect("no answer").status, 431);
        cluster.set_up_session("v", 1).await;
    });
}

#[test]
fn slow_senders_are_disconnected_and_others_are_served() {
    local(async {
        let cluster = Cluster::new(1).await;
        let mut slow_body = cluster.connect().await;
        let head = "POST /whep/t HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\ncontent-length: 500\r\n\r\nv=0";
        slow_body.send_raw(head.as_bytes()).await.expect("cannot send");
        let mut slow_head = cluster.connect().await;
        slow_head.send_raw(b"POST /whep/t HT").await.expect("cannot send");
        cluster.set_up_session("v", 1).await;
        let reply = slow_body.read_response(Instant::now() + SECOND).await.expect("no answer");
        assert_eq!((reply.status, problem_type(&reply).as_str()), (408, "body-slow"));
        // Without a complete head there is no request to answer: the connection is closed.
        assert!(slow_head.read_response(Instant::now() + 2 * SECOND).await.is_err());
    });
}

#[test]
fn two_thousand_idle_connections_leave_room_for_others() {
    local(async {
        let dir = tempfile::tempdir().expect("cannot create a folder");
        let (front, address) = start_front_process(dir.path()).await;
        let pid = front.id().expect("the process has ended");
        let before_kb = memory_kb(pid);
        let mut idle = Vec::new();
        // This process holds the client side of the connections, and its limit of open files may be low.
        while idle.len() < 2_000 {
            match tokio::net::TcpStream::connect(address).await {
                Ok(c) => idle.push(c),
                Err(_) if idle.len() > 900 => break,
                Err(e) => panic!("cannot open a connection after {}: {e}", idle.len()),
            }
        }
        idle.truncate(idle.len() - 8);
        sleep(Duration::from_millis(50)).await;
        let grown_kb = memory_kb(pid).saturating_sub(before_kb);
        let kb_per_connection = grown_kb as f64 / idle.len() as f64;
        assert!(kb_per_connection < 64.0, "an idle connection takes {kb_per_connection:.1} kB");
        let mut connection = Connection::open(address).await.expect("cannot connect");
        let reply = connection
            .request("POST", "/whep/t", &[SDP], offer(1).as_bytes(), PATIENCE)
            .await
            .expect("no answer");
        assert_eq!(reply.status, 503, "expected 503: the only node is unreachable");
        drop(idle);
    });
}

/// Starts a front as a process. Its only node has an address without a listener.
async fn start_front_process(dir: &std::path::Path) -> (tokio::process::Child, std::net::SocketAddr) {
    std::fs::write(dir.join("f.conf"), settings(1, "").replace("head-time 400ms", "head-time 20s"))
        .expect("cannot write the file");
    let unreachable = vec![("n".to_owned(), "127.0.0.1:1".parse().expect("no valid address"))];
    std::fs::write(dir.join("nodes.csv"), list(&unreachable, 0)).expect("cannot write the file");
    let (child, ready) = spawn(&["serve", "-c", "f.conf"], dir).await;
    (child, address(&ready))
}

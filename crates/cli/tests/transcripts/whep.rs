//! WHEP and WHIP exchanges of viewers and publishers with a front whose simulated nodes are behind relays.

use crate::common::{FRAGMENT, SDP, list, local, settings};
use crate::script::{Transcript, assert_approved};
use crate::tap::{render_message, spawn_relay, status_line};
use pepperhook_front::Front;
use pepperhook_playout::record::Recorder;
use pepperhook_playout::{Faults, NodeHandle, Options, start};
use pepperhook_rehearse::viewers::offer;
use pepperhook_rehearse::wire::{Connection, HttpResponse, ReadError};
use pepperhook_settings::Config;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const JSON: (&str, &str) = ("content-type", "application/json");

/// A front, its nodes with a relay in front of each, and the transcript.
struct Fixture {
    front: Front,
    nodes: Vec<NodeHandle>,
    list: String,
    transcript: Transcript,
}

impl Fixture {
    async fn new(title: &str, n: usize) -> Self {
        Self::with(title, n, Faults::default()).await
    }

    /// All nodes have these faults.
    async fn with(title: &str, n: usize, faults: Faults) -> Self {
        let transcript = Transcript::new(title);
        let options = |i: usize| Options {
            name: format!("n{i}"),
            rack: (i % 2) as u32,
            seed: 1 + i as u64,
            ..Options::default()
        };
        let nodes = start((0..n).map(options).collect(), &Recorder::disabled())
            .await
            .expect("cannot start the nodes");
        let mut relays = Vec::new();
        for node in &nodes {
            node.set_faults(faults);
            relays.push((node.name.clone(), spawn_relay(&transcript, node.address).await));
        }
        let list = list(&relays, 0);
        let front = start_front(7, &settings_with_long_timeouts(n), &list).await;
        Self { front, nodes, list, transcript }
    }

    async fn connect(&self) -> Connection {
        Connection::open(self.front.address()).await.expect("cannot connect to the front")
    }

    /// The node that received a set-up, and the other nodes.
    fn split_by_set_up(&self) -> (&NodeHandle, Vec<&NodeHandle>) {
        let (asked, others): (Vec<_>, Vec<_>) = self.nodes.iter().partition(|node| node.state().attempts > 0);
        (asked.first().expect("no node received a set-up"), others)
    }

    /// Waits until the front receives the events of a node. The front closes and reopens a stream that is not
    /// established within a second, so an older one is established.
    async fn wait_for_event_stream(&self) {
        wait_until("the front receives events of a node", || {
            self.transcript
                .event_stream_since()
                .is_some_and(|since| since.elapsed() > Duration::from_millis(1_200))
        })
        .await;
    }

    async fn wait_for_set_up(&self) {
        wait_until("a node receives a set-up", || self.nodes.iter().any(|node| node.state().attempts > 0))
            .await;
    }

    fn assert_approved(&self, name: &str) {
        assert_approved(name, &self.transcript.text());
    }
}

/// Settings with long timeouts: none expires on a busy machine and changes the transcript.
fn settings_with_long_timeouts(n: usize) -> String {
    settings(n, "close-grace 300ms")
        .replace("body-time 300ms", "body-time 20s")
        .replace("head-time 400ms", "head-time 20s")
        .replace("aim 800ms", "aim 8s")
        .replace("patience 4s", "patience 24s")
}

/// Timeout for each condition and message; long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(3)).await;
    }
}

/// Starts a front with this seed of its random choices.
async fn start_front(seed: u64, settings: &str, list: &str) -> Front {
    let config = Config::parse("test.conf", settings).expect("invalid settings");
    let nodes = pepperhook_inventory::parse(list.as_bytes(), &config.names).expect("invalid list of nodes");
    Front::start(config, seed, nodes, None).await.expect("cannot start the front")
}

/// A viewer or publisher: its name in the transcript and its connection.
struct Client {
    name: &'static str,
    /// Name in the transcript of the front that it is connected to.
    front: &'static str,
    transcript: Transcript,
    connection: Connection,
}

impl Client {
    async fn connect(fixture: &Fixture, name: &'static str) -> Self {
        Self {
            name,
            front: "front",
            transcript: fixture.transcript.clone(),
            connection: fixture.connect().await,
        }
    }

    async fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        let owned: Vec<_> = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        self.transcript.record(
            self.name,
            self.front,
            &render_message(&format!("{method} {path}"), &owned, body),
        );
        self.connection.send(method, path, headers, body).await.expect("cannot send the request");
    }

    async fn reply(&mut self) -> HttpResponse {
        self.receive(true).await.expect("no answer from the front")
    }

    async fn receive(&mut self, record: bool) -> Result<HttpResponse, ReadError> {
        let reply = self.connection.read_response(Instant::now() + TIMEOUT).await?;
        if record {
            self.record(&reply);
        }
        Ok(reply)
    }

    fn record(&self, reply: &HttpResponse) {
        let words = render_message(&status_line(reply.status), &reply.headers, &reply.body);
        self.transcript.record(self.front, self.name, &words);
    }

    async fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> HttpResponse {
        self.send(method, path, headers, body).await;
        self.reply().await
    }

    async fn send_offer(&mut self, path: &str, n: u64) {
        let text =
            if path.starts_with("/whip") { offer(n).replace("recvonly", "sendonly") } else { offer(n) };
        self.send("POST", path, &[SDP], text.as_bytes()).await;
    }

    /// Sets a session up and waits until the front has set its rung at the node. Returns its path and entity
    /// tag.
    async fn start_session(&mut self, path: &str, n: u64) -> (String, String) {
        self.send_offer(path, n).await;
        let reply = self.reply().await;
        assert_eq!(reply.status, 201, "{}", self.transcript.text());
        self.transcript.flush_unordered(2).await;
        let field = |name: &str| reply.header(name).expect("the answer lacks a header").to_owned();
        (field("location"), field("etag"))
    }

    /// Opens an event stream of a session.
    async fn open_event_stream(&mut self, session: &str) {
        let path = format!("{session}/events");
        let wanted = b"[\"inactive\",\"urn:pepperhook:whep:event:move\"]";
        let made = self.exchange("POST", &path, &[JSON], wanted).await;
        let stream = made.header("location").expect("the answer has no location").to_owned();
        self.exchange("GET", &stream, &[], b"").await;
    }

    /// Waits for an event on the stream and records it.
    async fn expect_event(&mut self, event: &str) {
        let words = format!("event: {event}\ndata: ");
        let until = Instant::now() + TIMEOUT;
        let data = self.connection.wait_for_line(&words, until).await.expect("the event did not arrive");
        self.transcript.record(self.front, self.name, &format!("event: {event}\ndata: {data}"));
    }
}

/// Guards against a session that stays at the node after its viewer has left.
#[test]
fn a_viewer_plays_and_leaves() {
    local(async {
        let fixture = Fixture::new("A viewer asks for title t, plays it, and leaves.", 3).await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        fixture.transcript.step("The viewer offers; the front picks a node, and passes its answer on.");
        let (session, _) = viewer.start_session("/whep/t?viewer=anna", 1).await;
        fixture.transcript.step("The viewer leaves: the front ends the session at the node too.");
        viewer.exchange("DELETE", &session, &[], b"").await;
        fixture.transcript.flush_unordered(2).await;
        fixture.transcript.step("A second DELETE meets no session.");
        viewer.exchange("DELETE", &session, &[], b"").await;
        fixture.assert_approved("viewer_plays_and_leaves");
    });
}

/// Guards against a refusal without a time for the next attempt.
#[test]
fn nobody_has_room() {
    local(async {
        let full = Faults { refuse: 1.0, ..Faults::default() };
        let fixture = Fixture::with(
            "Both nodes are full: the viewer is refused, and told when to come again.",
            2,
            full,
        )
        .await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        viewer.reply().await;
        fixture.assert_approved("refusal");
    });
}

/// Guards against set-ups at nodes for requests that cannot be served, and errors that do not name the cause.
#[test]
fn a_title_that_nobody_holds() {
    local(async {
        let fixture =
            Fixture::new("Titles that nobody holds, and other requests that no node is asked for.", 1).await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        fixture.transcript.step("An unknown title.");
        viewer.send_offer("/whep/unknown?viewer=anna", 1).await;
        viewer.reply().await;
        fixture.transcript.step("A body that is no session description.");
        viewer.exchange("POST", "/whep/t?viewer=anna", &[("content-type", "text/plain")], b"hello").await;
        fixture.transcript.step("One that says it is, and is none.");
        viewer.exchange("POST", "/whep/t?viewer=anna", &[SDP], b"hello").await;
        fixture.transcript.step("An argument that cannot be read.");
        viewer.send_offer("/whep/t?viewer=anna&top=high", 1).await;
        viewer.reply().await;
        fixture.transcript.step("Another method, and another path.");
        viewer.exchange("PUT", "/whep/t", &[], b"").await;
        viewer.exchange("GET", "/t", &[], b"").await;
        fixture.assert_approved("requests_that_cannot_be_served");
    });
}

/// Guards against OPTIONS answers that lack a method or body type, without which browsers do not send the
/// request.
#[test]
fn what_is_allowed_where() {
    local(async {
        let fixture = Fixture::new("OPTIONS tells what a resource takes; no node is asked.", 1).await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.exchange("OPTIONS", "/whep/t", &[], b"").await;
        viewer.exchange("OPTIONS", "/whip/live", &[], b"").await;
        viewer.exchange("OPTIONS", "/session/any", &[], b"").await;
        fixture.assert_approved("options");
    });
}

/// Guards against fragments that are applied to another ICE session than the one they name.
#[test]
fn candidates_trickle_and_ice_restarts() {
    local(async {
        let fixture =
            Fixture::new("ICE candidates come one by one (trickle); then ICE is restarted.", 1).await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        let (session, etag) = viewer.start_session("/whep/t?viewer=anna", 1).await;
        let candidate =
            b"a=ice-ufrag:v000001\r\na=ice-pwd:0123456789012345678901\r\nm=video 9 RTP/AVP 0\r\na=mid:0\r\n\
            a=candidate:1 1 udp 2122260223 192.0.2.7 50000 typ host\r\n";
        fixture.transcript.step("A candidate under the entity tag that came with the 201.");
        viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", &etag)], candidate).await;
        fixture
            .transcript
            .step("One without If-Match, though with the credentials of the session that runs.");
        viewer.exchange("PATCH", &session, &[FRAGMENT], candidate).await;
        fixture.transcript.step("One without If-Match that names no ICE session at all.");
        viewer.exchange("PATCH", &session, &[FRAGMENT], b"a=mid:0\r\n").await;
        fixture.transcript.step("One under a tag that is not the session's.");
        viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", "\"old\"")], candidate).await;
        fixture.transcript.step("One of another type.");
        viewer.exchange("PATCH", &session, &[JSON, ("if-match", &etag)], b"{}").await;
        fixture
            .transcript
            .step("ICE restarts: new credentials, for any ICE session (*). The tag is another from now on.");
        let fresh = b"a=ice-ufrag:fresh001\r\na=ice-pwd:9876543210987654321098\r\n";
        let restarted = viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", "*")], fresh).await;
        let new = restarted.header("etag").expect("the answer has no entity tag").to_owned();
        fixture.transcript.step("The old tag counts no more, the new one does.");
        viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", &etag)], candidate).await;
        viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", &new)], candidate).await;
        fixture.assert_approved("trickle_and_restart");
    });
}

/// Guards against viewers that are not notified when the node ends their session.
#[test]
fn a_node_ends_a_session() {
    local(async {
        let fixture = Fixture::new("The node ends a session by itself, as when the title is over.", 1).await;
        let (mut viewer, mut stream) =
            (Client::connect(&fixture, "viewer-1").await, Client::connect(&fixture, "viewer-1").await);
        let (session, etag) = viewer.start_session("/whep/t?viewer=anna", 1).await;
        fixture.transcript.step("The viewer follows the events of its session.");
        stream.open_event_stream(&session).await;
        fixture.wait_for_event_stream().await;
        fixture
            .transcript
            .step("The node ends it, and says so on the stream of events that the front follows.");
        fixture.nodes[0].end_sessions();
        stream.expect_event("inactive").await;
        fixture.transcript.step("What comes for it later meets no session.");
        viewer.exchange("PATCH", &session, &[FRAGMENT, ("if-match", &etag)], b"a=mid:0\r\n").await;
        viewer.exchange("DELETE", &session, &[], b"").await;
        fixture.assert_approved("node_ends");
    });
}

/// Guards against viewers that are not notified when their node crashes, and a new set-up at the dead node.
#[test]
fn a_node_dies() {
    local(async {
        let fixture =
            Fixture::new("A node dies while a viewer plays from it; the viewer comes again.", 2).await;
        let (mut viewer, mut stream) =
            (Client::connect(&fixture, "viewer-1").await, Client::connect(&fixture, "viewer-1").await);
        let (session, _) = viewer.start_session("/whep/t?viewer=anna", 1).await;
        stream.open_event_stream(&session).await;
        fixture
            .transcript
            .step("The node is gone, and its connections with it. The front tells the viewer in its place.");
        fixture.split_by_set_up().0.crash();
        stream.expect_event("inactive").await;
        fixture.transcript.step("The viewer asks again, and plays from the other node.");
        viewer.start_session("/whep/t?viewer=anna", 2).await;
        fixture.assert_approved("node_dies");
    });
}

/// Guards against a stopping front that leaves its viewers without notice or their sessions at the nodes.
#[test]
fn a_front_moves_its_viewers() {
    local(async {
        let fixture = Fixture::new(
            "A front is drained: it tells its viewers to move, and they go on at another front.",
            2,
        )
        .await;
        let (mut viewer, mut stream) =
            (Client::connect(&fixture, "viewer-1").await, Client::connect(&fixture, "viewer-1").await);
        let (session, _) = viewer.start_session("/whep/t?viewer=anna", 1).await;
        stream.open_event_stream(&session).await;
        let Fixture { front, nodes: _nodes, list, transcript } = fixture;
        transcript.step(
            "The operator stops the front: who plays is told to move, and the node to end the session.",
        );
        let other =
            start_front(8, &settings_with_long_timeouts(2).replace("name front", "name other-front"), &list)
                .await;
        let stop = tokio::task::spawn_local(front.stop());
        stream.expect_event("urn:pepperhook:whep:event:move").await;
        transcript.flush_unordered(2).await;
        transcript.step("The viewer asks the other front, and plays on.");
        let connection = Connection::open(other.address()).await.expect("cannot connect to the front");
        let mut again =
            Client { name: "viewer-1", front: "other-front", transcript: transcript.clone(), connection };
        again.start_session("/whep/t?viewer=anna", 2).await;
        stop.await.expect("the stop of the front panicked");
        assert_approved("front_is_drained", &transcript.text());
    });
}

/// Guards against a second publisher of one title, and viewers that are not notified when the publisher
/// stops.
#[test]
fn a_publisher_and_its_viewer() {
    local(async {
        let fixture = Fixture::new("A publisher sends the title live, a viewer watches it.", 1).await;
        let (mut publisher, mut viewer) =
            (Client::connect(&fixture, "publisher-1").await, Client::connect(&fixture, "viewer-1").await);
        fixture.transcript.step("Before anybody publishes it there is nothing to watch.");
        viewer.send_offer("/whep/live?viewer=anna", 1).await;
        viewer.reply().await;
        fixture.transcript.step("The publisher offers to send.");
        let (publication, _) = publisher.start_session("/whip/live?viewer=studio", 2).await;
        fixture.transcript.step("Another publisher of the same title is turned away.");
        let mut rival = Client::connect(&fixture, "publisher-2").await;
        rival.send_offer("/whip/live?viewer=rival", 3).await;
        rival.reply().await;
        fixture.transcript.step("The viewer asks again, and plays.");
        let (watched, _) = viewer.start_session("/whep/live?viewer=anna", 4).await;
        let mut stream = Client::connect(&fixture, "viewer-1").await;
        stream.open_event_stream(&watched).await;
        fixture
            .transcript
            .step("The publisher stops. The viewer is told that nothing comes any more; its session stands.");
        publisher.exchange("DELETE", &publication, &[], b"").await;
        stream.expect_event("inactive").await;
        fixture.transcript.flush_unordered(2).await;
        fixture.transcript.step("The viewer leaves.");
        viewer.exchange("DELETE", &watched, &[], b"").await;
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("publisher_and_viewer");
    });
}

/// Guards against a node's error that reaches the viewer although another node can serve it.
#[test]
fn a_node_fails_and_another_is_tried() {
    local(async {
        let fixture = Fixture::with(
            "A node answers with an error: the front tries another one. The viewer has one answer.",
            2,
            Faults { error: 1.0, slow_ms: 600, ..Faults::default() },
        )
        .await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        for other in fixture.split_by_set_up().1 {
            other.set_faults(Faults::default());
        }
        let reply = viewer.reply().await;
        assert_eq!(reply.status, 201);
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("node_fails_then_another");
    });
}

/// Guards against a set-up that waits for a node that does not answer until the viewer's deadline is over.
#[test]
fn a_node_is_too_slow() {
    local(async {
        let silent = Faults { hang: 1.0, ..Faults::default() };
        let fixture = Fixture::with("A node takes the offer and says nothing. At half the class's aim (8 s) the front gives it up and tries another.", 2, silent).await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        for other in fixture.split_by_set_up().1 {
            other.set_faults(Faults::default());
        }
        assert_eq!(viewer.reply().await.status, 201);
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("node_too_slow");
    });
}

/// Guards against a viewer that is refused because its node begins to drain during the set-up.
#[test]
fn a_node_drains_under_a_set_up() {
    local(async {
        let slow = Faults { slow_ms: 600, ..Faults::default() };
        let fixture = Fixture::with(
            "A node begins to drain while it sets a session up: another one is tried.",
            2,
            slow,
        )
        .await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        fixture.split_by_set_up().0.set_faults(Faults { drain: true, ..slow });
        assert_eq!(viewer.reply().await.status, 201);
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("node_drains_under_a_set_up");
    });
}

/// Guards against a reload that leaves the earlier set-up at the node.
#[test]
fn a_newer_offer_of_the_same_viewer() {
    local(async {
        let slow = Faults { slow_ms: 600, ..Faults::default() };
        let fixture = Fixture::with(
            "A viewer offers anew while its first offer is being answered, as after a reload.",
            1,
            slow,
        )
        .await;
        let (mut viewer, mut second) = (
            Client::connect(&fixture, "viewer-1").await,
            Client::connect(&fixture, "viewer-1 (reloaded)").await,
        );
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        fixture
            .transcript
            .step("The newer offer takes the place of the first, which the front gives up at the node.");
        second.send_offer("/whep/t?viewer=anna", 2).await;
        viewer.reply().await;
        assert_eq!(second.reply().await.status, 201);
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("newer_offer");
    });
}

/// Guards against a retransmitted offer that sets up a second session.
#[test]
fn the_same_offer_twice() {
    local(async {
        let slow = Faults { slow_ms: 600, ..Faults::default() };
        let fixture = Fixture::with("A viewer sends the same offer once more, unsure whether it arrived. One node is asked once; both have one answer.", 2, slow).await;
        let (mut viewer, mut second) = (
            Client::connect(&fixture, "viewer-1").await,
            Client::connect(&fixture, "viewer-1 (again)").await,
        );
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        second.send_offer("/whep/t?viewer=anna", 1).await;
        viewer.reply().await;
        second.reply().await;
        fixture.transcript.flush_unordered(2).await;
        fixture.assert_approved("same_offer_twice");
    });
}

/// Guards against a set-up that continues at the node after the viewer has closed its connection.
#[test]
fn a_viewer_hangs_up() {
    local(async {
        let slow = Faults { hang: 1.0, ..Faults::default() };
        let fixture = Fixture::with(
            "A viewer closes its connection before the answer: the node is called off.",
            1,
            slow,
        )
        .await;
        let mut viewer = Client::connect(&fixture, "viewer-1").await;
        viewer.send_offer("/whep/t?viewer=anna", 1).await;
        fixture.wait_for_set_up().await;
        fixture.transcript.record("viewer-1", "front", "(closes the connection)");
        drop(viewer);
        wait_until("the set-up at the node is cancelled", || fixture.transcript.text().contains("given up"))
            .await;
        fixture.assert_approved("viewer_hangs_up");
    });
}

//! The relays on plain sockets: each fault judged from both ends.

use pepperhook_faults::net::{Net, Place, Unfit};
use pepperhook_faults::schedule::{ANY, Fault, Kind};
use std::future::Future;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};

const PATIENCE: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(Duration::from_secs(30), test).await.expect("in time") });
}

// ---- datagrams ---------------------------------------------------------------------------------

/// Three ends that know only each other's relays, and have found each other.
struct Ends {
    net: Net,
    sockets: Vec<UdpSocket>,
    places: Vec<Place>,
}

impl Ends {
    async fn new(seed: u64) -> Self {
        let net = Net::new(seed);
        let names = ["a", "b", "c"].map(String::from);
        let places = net.fronts(&names).await.expect("relays");
        let mut sockets = Vec::new();
        for place in &places {
            sockets.push(UdpSocket::bind(place.listen).await.expect("an end"));
        }
        let ends = Self { net, sockets, places };
        // A relay knows an end once it has sent something.
        for (x, y) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
            ends.send(x, y, 0).await;
            if x != 0 || y != 1 {
                let _ = timeout(Duration::from_millis(50), ends.next(y)).await;
            }
        }
        ends
    }

    async fn send(&self, from: usize, to: usize, n: u32) {
        let sent = self.sockets[from].send_to(&n.to_be_bytes(), self.places[to].advertise).await;
        assert_eq!(sent.expect("sent"), 4);
    }

    /// The next datagram at an end, and whose relay it came from.
    async fn next(&self, at: usize) -> (u32, usize) {
        let mut buffer = [0; 16];
        let (n, from) = self.sockets[at].recv_from(&mut buffer).await.expect("a datagram");
        let from = self.places.iter().position(|p| p.advertise == from).expect("a relay");
        (u32::from_be_bytes(buffer[..n].try_into().expect("four bytes")), from)
    }

    /// All that comes from `from` to `to` of so many, each sent after `gap`, up to the mark that follows them.
    async fn all(&self, from: usize, to: usize, n: u32, gap: Duration) -> Vec<u32> {
        let send = async {
            for i in 1..=n {
                self.send(from, to, i).await;
                tokio::time::sleep(gap).await;
            }
        };
        let mut got = Vec::new();
        let names = ["a", "b", "c"];
        let (from_name, to_name) = (names[from], names[to]);
        let before = self.net.counters(from_name, to_name).expect("a link");
        let listen = async {
            loop {
                if let Ok((i, x)) = timeout(Duration::from_millis(5), self.next(to)).await {
                    assert_eq!(x, from, "it comes from the relay of who sent it");
                    got.push(i);
                    continue;
                }
                // Nothing came for a moment: it is over once the link has dealt with all of them.
                let c = self.net.counters(from_name, to_name).expect("a link");
                let dealt = c.passed + c.lost + c.cut + c.overflowed;
                if c.offered - before.offered == u64::from(n) && dealt == c.offered + c.doubled {
                    break;
                }
            }
        };
        tokio::join!(send, listen);
        got
    }
}

#[test]
fn ends_see_each_other_at_their_relays_only() {
    run(async {
        let ends = Ends::new(1).await;
        for (x, y) in [(0, 1), (1, 0), (2, 1), (1, 2)] {
            ends.send(x, y, 7).await;
            assert_eq!(timeout(PATIENCE, ends.next(y)).await, Ok((7, x)));
        }
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        stranger.send_to(&[0; 4], ends.places[0].advertise).await.expect("sent");
        ends.send(1, 0, 8).await;
        assert_eq!(timeout(PATIENCE, ends.next(0)).await, Ok((8, 1)), "a stranger's goes nowhere");
    });
}

#[test]
fn an_end_that_started_again_at_another_port_is_found() {
    run(async {
        let mut ends = Ends::new(1).await;
        ends.sockets[1] = UdpSocket::bind(ends.places[1].listen).await.expect("another port");
        ends.send(1, 0, 3).await;
        assert_eq!(timeout(PATIENCE, ends.next(0)).await, Ok((3, 1)));
        ends.send(0, 1, 4).await;
        assert_eq!(timeout(PATIENCE, ends.next(1)).await, Ok((4, 0)));
    });
}

#[test]
fn a_cut_one_way_lets_the_other_way_pass_and_ends_when_it_is_healed() {
    run(async {
        let ends = Ends::new(1).await;
        ends.net.break_now("a", "b", false, Kind::Cut).expect("a link");
        assert_eq!(ends.all(0, 1, 20, Duration::ZERO).await, [0; 0]);
        assert_eq!(ends.all(1, 0, 20, Duration::ZERO).await.len(), 20);
        assert_eq!(ends.all(0, 2, 20, Duration::ZERO).await.len(), 20, "other links are whole");
        ends.net.break_now("a", "b", true, Kind::Cut).expect("a link");
        assert_eq!(ends.all(1, 0, 20, Duration::ZERO).await, [0; 0]);
        ends.net.heal();
        assert_eq!(ends.all(0, 1, 20, Duration::ZERO).await.len(), 20);
        assert_eq!(ends.all(1, 0, 20, Duration::ZERO).await.len(), 20);
    });
}

#[test]
fn loss_and_doubles_are_as_often_as_asked_and_the_same_by_seed() {
    run(async {
        let mut runs = Vec::new();
        for seed in [5, 5, 6] {
            let ends = Ends::new(seed).await;
            ends.net.break_now("a", "b", false, Kind::Lose { p: 0.3 }).expect("a link");
            let got = ends.all(0, 1, 400, Duration::from_micros(100)).await;
            assert!((230..=330).contains(&got.len()), "{} of 400", got.len());
            assert!(got.is_sorted(), "in order");
            runs.push(got);
        }
        assert_eq!(runs[0], runs[1]);
        assert_ne!(runs[0], runs[2]);
        let ends = Ends::new(5).await;
        ends.net.break_now("b", "a", false, Kind::Double { p: 0.5 }).expect("a link");
        let got = ends.all(1, 0, 200, Duration::from_micros(100)).await;
        assert!((260..=340).contains(&got.len()), "{} of 200", got.len());
        let mut once = got.clone();
        once.dedup();
        assert_eq!(once, (1..=200).collect::<Vec<u32>>(), "a double follows at once");
    });
}

#[test]
fn a_delay_keeps_the_order_and_its_time_and_reordering_does_not() {
    run(async {
        let ends = Ends::new(3).await;
        ends.net.break_now(ANY, "c", false, Kind::Delay { ms: 60, jitter_ms: 40 }).expect("links");
        let begin = Instant::now();
        ends.send(0, 2, 1).await;
        assert_eq!(timeout(PATIENCE, ends.next(2)).await, Ok((1, 0)));
        assert!(begin.elapsed() >= Duration::from_millis(60), "{:?}", begin.elapsed());
        let got = ends.all(0, 2, 50, Duration::from_millis(2)).await;
        assert_eq!(got, (1..=50).collect::<Vec<u32>>());
        ends.net.heal();
        ends.net.break_now("a", "c", false, Kind::Reorder { p: 0.3, ms: 25 }).expect("a link");
        let got = ends.all(0, 2, 100, Duration::from_millis(1)).await;
        assert!(got.len() == 100 && !got.is_sorted(), "{got:?}");
    });
}

#[test]
fn a_stall_holds_datagrams_back_until_it_is_over() {
    run(async {
        let ends = Ends::new(3).await;
        ends.net.break_now("a", "b", false, Kind::Stall).expect("a link");
        for i in 1..=10 {
            ends.send(0, 1, i).await;
        }
        assert!(timeout(Duration::from_millis(150), ends.next(1)).await.is_err());
        ends.net.heal();
        for i in 1..=10 {
            assert_eq!(timeout(PATIENCE, ends.next(1)).await, Ok((i, 0)));
        }
    });
}

#[test]
fn faults_by_the_clock_begin_and_end_and_those_that_fit_no_link_are_refused() {
    run(async {
        let ends = Ends::new(3).await;
        let fault =
            Fault { at_ms: 0, for_ms: 200, from: "a".into(), to: "b".into(), both: true, kind: Kind::Cut };
        ends.net.fault(&fault, ends.net.now_us()).expect("a link");
        let begin = Instant::now();
        let first = loop {
            ends.send(1, 0, 1).await;
            if timeout(Duration::from_millis(10), ends.next(0)).await.is_ok() {
                break begin.elapsed();
            }
        };
        assert!(first >= Duration::from_millis(190), "{first:?}");
        let refused = |from: &str, kind| ends.net.break_now(from, "b", false, kind).expect_err("unfit");
        assert!(matches!(refused("x", Kind::Cut), Unfit::NoLink(..)));
        assert!(matches!(refused("a", Kind::Reset), Unfit::Form(..)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        ends.net.stream("v", "b", listener.local_addr().ok()).await.expect("a relay");
        assert!(matches!(refused("v", Kind::Lose { p: 0.5 }), Unfit::Form(..)));
        assert!(ends.net.stream("v", "b", None).await.is_err(), "one relay a pair");
    });
}

// ---- connections -------------------------------------------------------------------------------

/// Both ends of a connection through a relay.
async fn connected(net: &Net) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let entrance = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
    let client = TcpStream::connect(entrance.address).await.expect("a connection");
    let (server, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    (client, server)
}

async fn word(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 64];
    match timeout(PATIENCE, stream.read(&mut buffer)).await.expect("in time") {
        Ok(n) => String::from_utf8_lossy(&buffer[..n]).into_owned(),
        Err(e) => format!("{:?}", e.kind()),
    }
}

#[test]
fn bytes_and_ends_pass_both_ways_and_much_passes_whole() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        client.write_all(b"hello").await.expect("sent");
        assert_eq!(word(&mut server).await, "hello");
        server.write_all(b"there").await.expect("sent");
        assert_eq!(word(&mut client).await, "there");
        let much: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
        let mut got = Vec::new();
        let write = async {
            client.write_all(&much).await.expect("sent");
            client.shutdown().await.expect("shut");
        };
        let (_, read) = tokio::join!(write, server.read_to_end(&mut got));
        read.expect("to the end");
        assert!(got == much);
        // The other way is open still.
        server.write_all(b"late").await.expect("sent");
        assert_eq!(word(&mut client).await, "late");
        drop(server);
        assert_eq!(word(&mut client).await, "");
    });
}

#[test]
fn a_stall_keeps_the_connection_open_and_loses_nothing() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        net.break_now("v", "f", false, Kind::Stall).expect("a link");
        client.write_all(b"held").await.expect("sent");
        client.shutdown().await.expect("shut");
        server.write_all(b"free").await.expect("sent");
        assert_eq!(word(&mut client).await, "free", "the other way passes");
        let early = timeout(Duration::from_millis(150), server.read(&mut [0; 8])).await;
        assert!(early.is_err(), "{early:?}");
        net.heal();
        assert_eq!(word(&mut server).await, "held");
        assert_eq!(word(&mut server).await, "", "and its end");
    });
}

#[test]
fn a_cut_holds_new_connections_too() {
    run(async {
        let net = Net::new(1);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let entrance = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
        net.break_now("f", "v", false, Kind::Cut).expect("a link");
        let mut client = TcpStream::connect(entrance.address).await.expect("the relay's own end");
        client.write_all(b"x").await.expect("sent");
        assert!(timeout(Duration::from_millis(150), listener.accept()).await.is_err());
        net.heal();
        let (mut server, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("one");
        assert_eq!(word(&mut server).await, "x");
    });
}

#[test]
fn a_drip_is_a_byte_at_a_time_and_a_delay_late() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        net.break_now("v", "f", false, Kind::Drip { every_ms: 10 }).expect("a link");
        let begin = Instant::now();
        client.write_all(b"slowly").await.expect("sent");
        let mut all = String::new();
        while all.len() < 6 {
            all += &word(&mut server).await;
        }
        assert_eq!(all, "slowly");
        assert!(begin.elapsed() >= Duration::from_millis(50), "{:?}", begin.elapsed());
        net.heal();
        net.break_now("f", "v", false, Kind::Delay { ms: 80, jitter_ms: 0 }).expect("a link");
        let begin = Instant::now();
        server.write_all(b"late").await.expect("sent");
        assert_eq!(word(&mut client).await, "late");
        assert!(begin.elapsed() >= Duration::from_millis(80), "{:?}", begin.elapsed());
    });
}

#[test]
fn a_reset_is_seen_at_both_ends_and_by_new_connections_until_it_is_over() {
    run(async {
        let net = Net::new(1);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let entrance = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
        let reset = format!("{:?}", ErrorKind::ConnectionReset);
        let mut client = TcpStream::connect(entrance.address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        net.break_now("v", "f", false, Kind::Reset).expect("a link");
        assert_eq!((word(&mut client).await, word(&mut server).await), (reset.clone(), reset.clone()));
        let mut late = TcpStream::connect(entrance.address).await.expect("the relay's own end");
        assert_eq!(word(&mut late).await, reset);
        net.heal();
        let mut client = TcpStream::connect(entrance.address).await.expect("a connection");
        let (mut server, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("one");
        client.write_all(b"again").await.expect("sent");
        assert_eq!(word(&mut server).await, "again");
        // Whoever resets is passed on as such, and who listens nowhere resets.
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
        drop(client);
        assert_eq!(word(&mut server).await, reset);
        entrance.lead(None);
        let mut nobody = TcpStream::connect(entrance.address).await.expect("the relay's own end");
        assert_eq!(word(&mut nobody).await, reset);
    });
}

/// What the relays add, with both ends on one thread and the relays on another:
/// `cargo test --release -p pepperhook-faults --test relays -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure() {
    use std::io::{Read, Write};
    let (tell, told) = std::sync::mpsc::channel();
    let (end, ended) = tokio::sync::oneshot::channel::<()>();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let at = listener.local_addr().expect("bound");
    let relays = std::thread::spawn(move || {
        run(async {
            let net = Net::new(1);
            let places = net.fronts(&["a", "b"].map(String::from)).await.expect("relays");
            let entrance = net.stream("v", "f", Some(at)).await.expect("a relay");
            tell.send((places, entrance.address)).expect("told");
            let _ = ended.await;
        });
    });
    let (places, entrance) = told.recv().expect("relays");
    let ends = [0, 1].map(|i: usize| std::net::UdpSocket::bind(places[i].listen).expect("an end"));
    let direct = std::net::UdpSocket::bind("127.0.0.1:0").expect("an end");
    let connect = |to| {
        let c = std::net::TcpStream::connect(to).expect("connected");
        let s = listener.accept().expect("a connection").0;
        (c.set_nodelay(true).expect("set"), c, s)
    };
    let mut pairs = [connect(entrance), connect(at)];
    let (mut buffer, mut took): ([u8; 8], [Vec<f64>; 4]) = Default::default();
    // The relay knows the second end once it has sent something.
    ends[1].send_to(&[1; 4], places[0].advertise).expect("sent");
    ends[0].set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    let _ = ends[0].recv_from(&mut buffer);
    for _ in 0..2_000 {
        let us = |begin: std::time::Instant| begin.elapsed().as_secs_f64() * 1e6;
        for (at, to, end) in
            [(0, places[1].advertise, &ends[1]), (1, direct.local_addr().expect("bound"), &direct)]
        {
            let begin = std::time::Instant::now();
            ends[0].send_to(&[0; 4], to).expect("sent");
            end.recv_from(&mut buffer).expect("came");
            took[at].push(us(begin));
        }
        for (i, (_, c, s)) in pairs.iter_mut().enumerate() {
            let begin = std::time::Instant::now();
            c.write_all(b"word").expect("sent");
            s.read_exact(&mut buffer[..4]).expect("came");
            took[2 + i].push(us(begin));
        }
    }
    end.send(()).expect("ended");
    relays.join().expect("in order");
    for (what, t) in
        ["datagram relayed", "datagram direct", "bytes relayed", "bytes direct"].iter().zip(&mut took)
    {
        t.sort_by(f64::total_cmp);
        println!("{what}: p50 {:.0} us, p99 {:.0} us, max {:.0} us", t[1_000], t[1_980], t[1_999]);
    }
}

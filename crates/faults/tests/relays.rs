//! The relays between plain sockets: the effect of each fault, checked at both endpoints.

use pepperhook_faults::net::{FrontAddresses, Net, Unfit};
use pepperhook_faults::schedule::{ANY, Fault, Kind};
use std::future::Future;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};

/// Limit for a delivery that must happen.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async { timeout(Duration::from_secs(30), test).await.expect("in time") });
}

// ---- datagrams ---------------------------------------------------------------------------------

/// Three endpoints that know only each other's relays, after each has sent to the others.
struct Endpoints {
    net: Net,
    sockets: Vec<UdpSocket>,
    addresses: Vec<FrontAddresses>,
}

impl Endpoints {
    async fn new(seed: u64) -> Self {
        let net = Net::new(seed);
        let names = ["a", "b", "c"].map(String::from);
        let addresses = net.fronts(&names).await.expect("relays");
        let mut sockets = Vec::new();
        for address in &addresses {
            sockets.push(UdpSocket::bind(address.listen).await.expect("an endpoint"));
        }
        let endpoints = Self { net, sockets, addresses };
        // A relay knows an endpoint once that has sent a datagram.
        for (x, y) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
            endpoints.send(x, y, 0).await;
            if x != 0 || y != 1 {
                let _ = timeout(Duration::from_millis(50), endpoints.receive(y)).await;
            }
        }
        endpoints
    }

    async fn send(&self, from: usize, to: usize, n: u32) {
        let sent = self.sockets[from].send_to(&n.to_be_bytes(), self.addresses[to].advertise).await;
        assert_eq!(sent.expect("sent"), 4);
    }

    /// The next datagram at an endpoint, and the endpoint whose relay it came from.
    async fn receive(&self, at: usize) -> (u32, usize) {
        let mut buffer = [0; 16];
        let (n, from) = self.sockets[at].recv_from(&mut buffer).await.expect("a datagram");
        let from = self.addresses.iter().position(|p| p.advertise == from).expect("a relay");
        (u32::from_be_bytes(buffer[..n].try_into().expect("four bytes")), from)
    }

    /// Sends `n` datagrams with a pause of `gap` after each; returns those that are delivered, once the link
    /// has handled all.
    async fn send_all(&self, from: usize, to: usize, n: u32, gap: Duration) -> Vec<u32> {
        let send = async {
            for i in 1..=n {
                self.send(from, to, i).await;
                tokio::time::sleep(gap).await;
            }
        };
        let mut received = Vec::new();
        let names = ["a", "b", "c"];
        let (from_name, to_name) = (names[from], names[to]);
        let before = self.net.counters(from_name, to_name).expect("a link");
        let listen = async {
            loop {
                if let Ok((i, x)) = timeout(Duration::from_millis(5), self.receive(to)).await {
                    assert_eq!(x, from, "it comes from the sender's relay");
                    received.push(i);
                    continue;
                }
                // Nothing arrived for a moment: the transfer is over once the link has handled all datagrams.
                let c = self.net.counters(from_name, to_name).expect("a link");
                let handled = c.delivered + c.lost + c.cut + c.overflowed;
                if c.offered - before.offered == u64::from(n) && handled == c.offered + c.duplicated {
                    break;
                }
            }
        };
        tokio::join!(send, listen);
        received
    }
}

#[test]
fn endpoints_see_each_other_only_at_their_relays() {
    run(async {
        let endpoints = Endpoints::new(1).await;
        for (x, y) in [(0, 1), (1, 0), (2, 1), (1, 2)] {
            endpoints.send(x, y, 7).await;
            assert_eq!(timeout(DELIVERY_TIMEOUT, endpoints.receive(y)).await, Ok((7, x)));
        }
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        stranger.send_to(&[0; 4], endpoints.addresses[0].advertise).await.expect("sent");
        endpoints.send(1, 0, 8).await;
        assert_eq!(
            timeout(DELIVERY_TIMEOUT, endpoints.receive(0)).await,
            Ok((8, 1)),
            "a stranger's datagram is dropped"
        );
    });
}

#[test]
fn an_endpoint_that_restarts_at_another_port_is_found() {
    run(async {
        let mut endpoints = Endpoints::new(1).await;
        endpoints.sockets[1] = UdpSocket::bind(endpoints.addresses[1].listen).await.expect("another port");
        endpoints.send(1, 0, 3).await;
        assert_eq!(timeout(DELIVERY_TIMEOUT, endpoints.receive(0)).await, Ok((3, 1)));
        endpoints.send(0, 1, 4).await;
        assert_eq!(timeout(DELIVERY_TIMEOUT, endpoints.receive(1)).await, Ok((4, 0)));
    });
}

#[test]
fn a_cut_in_one_direction_leaves_the_other_open_and_ends_with_heal() {
    run(async {
        let endpoints = Endpoints::new(1).await;
        endpoints.net.add_fault_now("a", "b", false, Kind::Cut).expect("a link");
        assert_eq!(endpoints.send_all(0, 1, 20, Duration::ZERO).await, [0; 0]);
        assert_eq!(endpoints.send_all(1, 0, 20, Duration::ZERO).await.len(), 20);
        assert_eq!(endpoints.send_all(0, 2, 20, Duration::ZERO).await.len(), 20, "other links work");
        endpoints.net.add_fault_now("a", "b", true, Kind::Cut).expect("a link");
        assert_eq!(endpoints.send_all(1, 0, 20, Duration::ZERO).await, [0; 0]);
        endpoints.net.heal();
        assert_eq!(endpoints.send_all(0, 1, 20, Duration::ZERO).await.len(), 20);
        assert_eq!(endpoints.send_all(1, 0, 20, Duration::ZERO).await.len(), 20);
    });
}

#[test]
fn loss_and_duplicates_have_the_given_probability_and_depend_on_the_seed() {
    run(async {
        let mut runs = Vec::new();
        for seed in [5, 5, 6] {
            let endpoints = Endpoints::new(seed).await;
            endpoints.net.add_fault_now("a", "b", false, Kind::Lose { p: 0.3 }).expect("a link");
            let got = endpoints.send_all(0, 1, 400, Duration::from_micros(100)).await;
            assert!((230..=330).contains(&got.len()), "{} of 400", got.len());
            assert!(got.is_sorted(), "in order");
            runs.push(got);
        }
        assert_eq!(runs[0], runs[1]);
        assert_ne!(runs[0], runs[2]);
        let endpoints = Endpoints::new(5).await;
        endpoints.net.add_fault_now("b", "a", false, Kind::Double { p: 0.5 }).expect("a link");
        let got = endpoints.send_all(1, 0, 200, Duration::from_micros(100)).await;
        assert!((260..=340).contains(&got.len()), "{} of 200", got.len());
        let mut once = got.clone();
        once.dedup();
        assert_eq!(once, (1..=200).collect::<Vec<u32>>(), "a duplicate follows immediately");
    });
}

#[test]
fn a_delay_keeps_the_order_and_reordering_does_not() {
    run(async {
        let endpoints = Endpoints::new(3).await;
        endpoints.net.add_fault_now(ANY, "c", false, Kind::Delay { ms: 60, jitter_ms: 40 }).expect("links");
        let started = Instant::now();
        endpoints.send(0, 2, 1).await;
        assert_eq!(timeout(DELIVERY_TIMEOUT, endpoints.receive(2)).await, Ok((1, 0)));
        assert!(started.elapsed() >= Duration::from_millis(60), "{:?}", started.elapsed());
        let got = endpoints.send_all(0, 2, 50, Duration::from_millis(2)).await;
        assert_eq!(got, (1..=50).collect::<Vec<u32>>());
        endpoints.net.heal();
        endpoints.net.add_fault_now("a", "c", false, Kind::Reorder { p: 0.3, ms: 25 }).expect("a link");
        let got = endpoints.send_all(0, 2, 100, Duration::from_millis(1)).await;
        assert!(got.len() == 100 && !got.is_sorted(), "{got:?}");
    });
}

#[test]
fn a_stall_holds_datagrams_back_until_it_ends() {
    run(async {
        let endpoints = Endpoints::new(3).await;
        endpoints.net.add_fault_now("a", "b", false, Kind::Stall).expect("a link");
        for i in 1..=10 {
            endpoints.send(0, 1, i).await;
        }
        assert!(timeout(Duration::from_millis(150), endpoints.receive(1)).await.is_err());
        endpoints.net.heal();
        for i in 1..=10 {
            assert_eq!(timeout(DELIVERY_TIMEOUT, endpoints.receive(1)).await, Ok((i, 0)));
        }
    });
}

#[test]
fn timed_faults_start_and_end_and_those_that_apply_to_no_link_are_refused() {
    run(async {
        let endpoints = Endpoints::new(3).await;
        let fault =
            Fault { at_ms: 0, for_ms: 200, from: "a".into(), to: "b".into(), both: true, kind: Kind::Cut };
        endpoints.net.add_fault(&fault, endpoints.net.now_us()).expect("a link");
        let started = Instant::now();
        let first = loop {
            endpoints.send(1, 0, 1).await;
            if timeout(Duration::from_millis(10), endpoints.receive(0)).await.is_ok() {
                break started.elapsed();
            }
        };
        assert!(first >= Duration::from_millis(190), "{first:?}");
        let refused = |from: &str, kind| {
            endpoints.net.add_fault_now(from, "b", false, kind).expect_err("does not apply")
        };
        assert!(matches!(refused("x", Kind::Cut), Unfit::NoLink(..)));
        assert!(matches!(refused("a", Kind::Reset), Unfit::Form(..)));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        endpoints.net.stream("v", "b", listener.local_addr().ok()).await.expect("a relay");
        assert!(matches!(refused("v", Kind::Lose { p: 0.5 }), Unfit::Form(..)));
        assert!(endpoints.net.stream("v", "b", None).await.is_err(), "one relay a pair");
    });
}

// ---- connections -------------------------------------------------------------------------------

/// Both endpoints of a connection through a relay.
async fn connected(net: &Net) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let relay = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
    let client = TcpStream::connect(relay.address).await.expect("a connection");
    let (server, _) =
        timeout(DELIVERY_TIMEOUT, listener.accept()).await.expect("in time").expect("a connection");
    (client, server)
}

/// The next bytes of a connection as text, or the kind of its error.
async fn read_text(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 64];
    match timeout(DELIVERY_TIMEOUT, stream.read(&mut buffer)).await.expect("in time") {
        Ok(n) => String::from_utf8_lossy(&buffer[..n]).into_owned(),
        Err(e) => format!("{:?}", e.kind()),
    }
}

#[test]
fn bytes_and_shutdowns_pass_in_both_directions_and_large_transfers_are_complete() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        client.write_all(b"hello").await.expect("sent");
        assert_eq!(read_text(&mut server).await, "hello");
        server.write_all(b"there").await.expect("sent");
        assert_eq!(read_text(&mut client).await, "there");
        let large: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
        let mut got = Vec::new();
        let write = async {
            client.write_all(&large).await.expect("sent");
            client.shutdown().await.expect("shut");
        };
        let (_, read) = tokio::join!(write, server.read_to_end(&mut got));
        read.expect("read to the end");
        assert!(got == large);
        // The other direction is still open.
        server.write_all(b"late").await.expect("sent");
        assert_eq!(read_text(&mut client).await, "late");
        drop(server);
        assert_eq!(read_text(&mut client).await, "");
    });
}

#[test]
fn a_stall_keeps_the_connection_open_and_loses_nothing() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        net.add_fault_now("v", "f", false, Kind::Stall).expect("a link");
        client.write_all(b"held").await.expect("sent");
        client.shutdown().await.expect("shut");
        server.write_all(b"free").await.expect("sent");
        assert_eq!(read_text(&mut client).await, "free", "the other direction passes");
        let early = timeout(Duration::from_millis(150), server.read(&mut [0; 8])).await;
        assert!(early.is_err(), "{early:?}");
        net.heal();
        assert_eq!(read_text(&mut server).await, "held");
        assert_eq!(read_text(&mut server).await, "", "and its end");
    });
}

#[test]
fn a_cut_also_delays_new_connections() {
    run(async {
        let net = Net::new(1);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let relay = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
        net.add_fault_now("f", "v", false, Kind::Cut).expect("a link");
        let mut client = TcpStream::connect(relay.address).await.expect("a connection to the relay");
        client.write_all(b"x").await.expect("sent");
        assert!(timeout(Duration::from_millis(150), listener.accept()).await.is_err());
        net.heal();
        let (mut server, _) =
            timeout(DELIVERY_TIMEOUT, listener.accept()).await.expect("in time").expect("one");
        assert_eq!(read_text(&mut server).await, "x");
    });
}

#[test]
fn a_drip_delivers_single_bytes_and_a_delay_applies() {
    run(async {
        let net = Net::new(1);
        let (mut client, mut server) = connected(&net).await;
        net.add_fault_now("v", "f", false, Kind::Drip { every_ms: 10 }).expect("a link");
        let started = Instant::now();
        client.write_all(b"slowly").await.expect("sent");
        let mut all = String::new();
        while all.len() < 6 {
            all += &read_text(&mut server).await;
        }
        assert_eq!(all, "slowly");
        assert!(started.elapsed() >= Duration::from_millis(50), "{:?}", started.elapsed());
        net.heal();
        net.add_fault_now("f", "v", false, Kind::Delay { ms: 80, jitter_ms: 0 }).expect("a link");
        let started = Instant::now();
        server.write_all(b"late").await.expect("sent");
        assert_eq!(read_text(&mut client).await, "late");
        assert!(started.elapsed() >= Duration::from_millis(80), "{:?}", started.elapsed());
    });
}

#[test]
fn a_reset_affects_both_ends_and_new_connections_until_it_ends() {
    run(async {
        let net = Net::new(1);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let relay = net.stream("v", "f", listener.local_addr().ok()).await.expect("a relay");
        let reset = format!("{:?}", ErrorKind::ConnectionReset);
        let mut client = TcpStream::connect(relay.address).await.expect("a connection");
        let (mut server, _) = listener.accept().await.expect("a connection");
        net.add_fault_now("v", "f", false, Kind::Reset).expect("a link");
        assert_eq!(
            (read_text(&mut client).await, read_text(&mut server).await),
            (reset.clone(), reset.clone())
        );
        let mut late = TcpStream::connect(relay.address).await.expect("a connection to the relay");
        assert_eq!(read_text(&mut late).await, reset);
        net.heal();
        let mut client = TcpStream::connect(relay.address).await.expect("a connection");
        let (mut server, _) =
            timeout(DELIVERY_TIMEOUT, listener.accept()).await.expect("in time").expect("one");
        client.write_all(b"again").await.expect("sent");
        assert_eq!(read_text(&mut server).await, "again");
        // A reset by one end is passed on, and without a target new connections are reset.
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
        drop(client);
        assert_eq!(read_text(&mut server).await, reset);
        relay.set_target(None);
        let mut without_target = TcpStream::connect(relay.address).await.expect("a connection to the relay");
        assert_eq!(read_text(&mut without_target).await, reset);
    });
}

/// Measures the latency that the relays add, with both endpoints on one thread and the relays on another:
/// `cargo test --release -p pepperhook-faults --test relays -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure() {
    use std::io::{Read, Write};
    let (sender, receiver) = std::sync::mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let direct_address = listener.local_addr().expect("bound");
    let relays = std::thread::spawn(move || {
        run(async {
            let net = Net::new(1);
            let addresses = net.fronts(&["a", "b"].map(String::from)).await.expect("relays");
            let relay = net.stream("v", "f", Some(direct_address)).await.expect("a relay");
            sender.send((addresses, relay.address)).expect("sent");
            let _ = stopped.await;
        });
    });
    let (addresses, relay_address) = receiver.recv().expect("relays");
    let endpoints =
        [0, 1].map(|i: usize| std::net::UdpSocket::bind(addresses[i].listen).expect("an endpoint"));
    let direct = std::net::UdpSocket::bind("127.0.0.1:0").expect("an endpoint");
    let connect = |to| {
        let c = std::net::TcpStream::connect(to).expect("connected");
        let s = listener.accept().expect("a connection").0;
        (c.set_nodelay(true).expect("set"), c, s)
    };
    let mut pairs = [connect(relay_address), connect(direct_address)];
    let (mut buffer, mut times_us): ([u8; 8], [Vec<f64>; 4]) = Default::default();
    // The relay knows the second endpoint once that has sent a datagram.
    endpoints[1].send_to(&[1; 4], addresses[0].advertise).expect("sent");
    endpoints[0].set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    let _ = endpoints[0].recv_from(&mut buffer);
    for _ in 0..2_000 {
        let us = |started: std::time::Instant| started.elapsed().as_secs_f64() * 1e6;
        for (at, to, end) in
            [(0, addresses[1].advertise, &endpoints[1]), (1, direct.local_addr().expect("bound"), &direct)]
        {
            let started = std::time::Instant::now();
            endpoints[0].send_to(&[0; 4], to).expect("sent");
            end.recv_from(&mut buffer).expect("received");
            times_us[at].push(us(started));
        }
        for (i, (_, c, s)) in pairs.iter_mut().enumerate() {
            let started = std::time::Instant::now();
            c.write_all(b"word").expect("sent");
            s.read_exact(&mut buffer[..4]).expect("received");
            times_us[2 + i].push(us(started));
        }
    }
    stop.send(()).expect("stopped");
    relays.join().expect("no panic");
    for (what, t) in
        ["datagram relayed", "datagram direct", "bytes relayed", "bytes direct"].iter().zip(&mut times_us)
    {
        t.sort_by(f64::total_cmp);
        println!("{what}: p50 {:.0} us, p99 {:.0} us, max {:.0} us", t[1_000], t[1_980], t[1_999]);
    }
}

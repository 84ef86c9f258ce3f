//! What is read ahead of a client.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A client's socket and the front's end of its connection.
async fn connected(total: &ByteTotal) -> (TcpStream, ClientStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind to a loopback port");
    let address = listener.local_addr().expect("no address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (stream, _) = accepted.expect("cannot accept");
    (client.expect("cannot connect"), ClientStream::new(stream, total.clone()))
}

#[tokio::test]
async fn hyper_gets_what_was_read_ahead_in_order_and_then_the_end() {
    let total = ByteTotal::default();
    let (mut client, mut stream) = connected(&total).await;
    let presence = stream.presence();
    let sent: Vec<u8> = (0..200_000u32).map(|n| n as u8).collect();
    let mut received = vec![0; 1_000];
    let ((), ()) = tokio::join!(
        async {
            client.write_all(&sent).await.expect("cannot write");
            drop(client);
        },
        async {
            // The close comes behind unread bytes, part of which the client's system held back.
            stream.read_exact(&mut received).await.expect("cannot read");
            tokio::time::timeout(Duration::from_secs(5), presence.left())
                .await
                .expect("the close was not seen");
        }
    );
    assert_eq!(total.get(), stream.ahead.borrow().bytes.len());
    stream.read_to_end(&mut received).await.expect("cannot read");
    assert!(received == sent, "bytes were lost or changed");
    assert_eq!(total.get(), 0);
}

#[tokio::test]
async fn a_reader_that_waits_gets_bytes_that_another_read_ahead() {
    let total = ByteTotal::default();
    let (mut client, mut stream) = connected(&total).await;
    let presence = stream.presence();
    let mut buffer = [0; 4];
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_exact(&mut buffer));
    let read_ahead = async {
        // The reader waits by now.
        tokio::task::yield_now().await;
        client.write_all(b"body").await.expect("cannot write");
        loop {
            assert!(!presence.has_left());
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        biased;
        () = read_ahead => {}
        read = read => {
            read.expect("the reader was not woken").expect("cannot read");
        }
    }
    assert_eq!(&buffer, b"body");
}

#[tokio::test]
async fn reading_ahead_is_bounded_alone_and_with_others() {
    let total = ByteTotal::default();
    let (mut client, stream) = connected(&total).await;
    let presence = stream.presence();
    let write = async { while client.write_all(&[0; 64 * 1024]).await.is_ok() {} };
    let fill = async {
        while total.get() < LIMITS.alone {
            assert!(!presence.has_left());
            tokio::task::yield_now().await;
        }
        for _ in 0..100 {
            assert!(!presence.has_left());
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = write => panic!("the connection is broken"),
        () = fill => {}
    }
    assert!(total.get() < LIMITS.alone + READ_BYTES);
    let (mut newcomer, other) = connected(&total).await;
    newcomer.write_all(b"a request").await.expect("cannot write");
    other.stream.0.readable().await.expect("the connection is broken");
    let mut others = ByteShare::new(total.clone());
    others.set(LIMITS.total);
    assert!(!other.presence().has_left());
    assert!(other.ahead.borrow().bytes.is_empty(), "bytes were read ahead beyond the total");
    drop((presence, stream, others));
    assert_eq!(total.get(), 0);
}

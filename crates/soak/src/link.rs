use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What is done to the connections that pass a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkFaults {
    /// How much later each chunk is passed on.
    pub(crate) delay: Duration,
    /// How often all connections that were open went silent for good; new ones work.
    pub(crate) silences: u32,
    /// How often all connections that were open were ended; new ones work.
    pub(crate) resets: u32,
}

/// A link on loopback whose connections can be disturbed.
#[derive(Debug)]
pub(crate) struct Link {
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<LinkFaults>,
}

impl Link {
    /// A link from an address to another.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(crate) async fn new(
        from: SocketAddr,
        to: SocketAddr,
        state: watch::Receiver<LinkFaults>,
    ) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(from).await?, to, state })
    }

    /// Passes connections on until the task is ended, and with it all of them.
    pub(crate) async fn run(self) {
        let mut conns = JoinSet::new();
        loop {
            let Ok((client, _)) = self.listener.accept().await else { continue };
            conns.spawn(proxy_connection(client, self.to, self.state.clone()));
            while conns.try_join_next().is_some() {}
        }
    }
}

/// Joins a connection with a new one to `to`; both end together.
async fn proxy_connection(client: TcpStream, to: SocketAddr, state: watch::Receiver<LinkFaults>) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    // Small messages are only slower without it.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let initial = *state.borrow();
    let mut reset = state.clone();
    let ((client_read, client_write), (server_read, server_write)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = forward(client_read, server_write, state.clone(), initial) => {}
        () = forward(server_read, client_write, state, initial) => {}
        // The sender lives as long as the link.
        _ = reset.wait_for(|now| now.resets != initial.resets) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<LinkFaults>,
    initial: LinkFaults,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let Ok(size @ 1..) = from.read(&mut buf).await else { return };
        let LinkFaults { delay, silences, .. } = *state.borrow();
        if silences != initial.silences {
            // What is sent is taken and lost.
            continue;
        }
        if delay > Duration::ZERO {
            sleep(delay).await;
        }
        if to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}

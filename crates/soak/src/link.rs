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

/// Most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// The faults that a link injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkFaults {
    /// Delay before each chunk is forwarded.
    pub(crate) delay: Duration,
    /// Counter whose change silences all open connections for good; new ones work.
    pub(crate) silences: u32,
    /// Counter whose change closes all open connections; new ones work.
    pub(crate) resets: u32,
}

/// A TCP proxy on loopback that can inject faults into its connections.
#[derive(Debug)]
pub(crate) struct Link {
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<LinkFaults>,
}

impl Link {
    /// Creates a link that listens on `from` and connects to `to`.
    ///
    /// # Errors
    /// The address `from` cannot be bound.
    pub(crate) async fn new(
        from: SocketAddr,
        to: SocketAddr,
        state: watch::Receiver<LinkFaults>,
    ) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(from).await?, to, state })
    }

    /// Proxies connections until the task is aborted, which closes all of them.
    pub(crate) async fn run(self) {
        let mut conns = JoinSet::new();
        loop {
            let Ok((client, _)) = self.listener.accept().await else { continue };
            conns.spawn(proxy_connection(client, self.to, self.state.clone()));
            while conns.try_join_next().is_some() {}
        }
    }
}

/// Proxies a connection over a new connection to `to`; both are closed together.
async fn proxy_connection(client: TcpStream, to: SocketAddr, state: watch::Receiver<LinkFaults>) {
    let Ok(server) = TcpStream::connect(to).await else { return };
    // A failure is ignored, because it only delays small messages.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let initial = *state.borrow();
    let mut reset = state.clone();
    let ((client_read, client_write), (server_read, server_write)) =
        (client.into_split(), server.into_split());
    tokio::select! {
        () = forward(client_read, server_write, state.clone(), initial) => {}
        () = forward(server_read, client_write, state, initial) => {}
        // The sender lives as long as the link, so the wait does not fail before the link ends.
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
            // A silenced connection discards everything that it receives.
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

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
const CHUNK: usize = 16 * 1024;

/// What is done to the connections that pass a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Disturbance {
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
    state: watch::Receiver<Disturbance>,
}

impl Link {
    /// A link from an address to another.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(crate) async fn new(
        from: SocketAddr,
        to: SocketAddr,
        state: watch::Receiver<Disturbance>,
    ) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(from).await?, to, state })
    }

    /// Passes connections on until the task is ended, and with it all of them.
    pub(crate) async fn run(self) {
        let mut conns = JoinSet::new();
        loop {
            let Ok((near, _)) = self.listener.accept().await else { continue };
            conns.spawn(join(near, self.to, self.state.clone()));
            while conns.try_join_next().is_some() {}
        }
    }
}

/// Joins a connection with a new one to `to`; both end together.
async fn join(near: TcpStream, to: SocketAddr, state: watch::Receiver<Disturbance>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    // Small messages are only slower without it.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let born = *state.borrow();
    let mut reset = state.clone();
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::select! {
        () = pass(near_in, far_out, state.clone(), born) => {}
        () = pass(far_in, near_out, state, born) => {}
        // The sender lives as long as the link.
        _ = reset.wait_for(|now| now.resets != born.resets) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: watch::Receiver<Disturbance>,
    born: Disturbance,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let Ok(size @ 1..) = from.read(&mut buf).await else { return };
        let Disturbance { delay, silences, .. } = *state.borrow();
        if silences != born.silences {
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

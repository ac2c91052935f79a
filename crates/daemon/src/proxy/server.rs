use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http2, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{Proxy, body::Payload};
use crate::tasks::Tasks;

/// The longest wait for the next request on a caller's HTTP/1.1 connection.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Interval of the pings to callers over HTTP/2, and the wait for each; their networks are slower.
const CALLER_PING: Duration = Duration::from_secs(20);

/// Interval of the pings to other daemons on the connections that they opened, and the wait for
/// each; a daemon that waits for a response pings more often itself.
const DAEMON_PING: Duration = Duration::from_secs(2);

/// Requests at the same time on one connection between daemons, which carries those of all
/// callers of a host.
const STREAMS: u32 = 2048;

/// The wait after a failed accept, such as with too many open files; without it the task spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections for the proxy.
#[derive(Clone)]
pub(crate) struct Server {
    /// Responds to requests.
    pub(crate) proxy: Arc<Proxy>,
    /// Runs connections.
    pub(crate) tasks: Tasks,
    /// Cancelled when the daemon starts to leave.
    pub(crate) drain: CancellationToken,
    /// Cancelled when no more connections are accepted.
    pub(crate) stop: CancellationToken,
    /// Cancelled when idle connections are closed.
    pub(crate) close_idle: CancellationToken,
    /// Tokens of the open connections.
    pub(crate) connections: TaskTracker,
}

impl Server {
    /// Accepts callers, HTTP/1.1 or HTTP/2.
    pub(crate) async fn serve_callers(self, listener: TcpListener) {
        self.accept(listener, |server, stream, from| server.caller(stream, from)).await;
    }

    /// Accepts other daemons, HTTP/2.
    pub(crate) async fn serve_daemons(self, listener: TcpListener) {
        self.accept(listener, |server, stream, _| server.daemon(stream)).await;
    }

    async fn accept<F>(
        self,
        listener: TcpListener,
        serve: impl Fn(Self, TcpStream, SocketAddr) -> F + Send,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let take = |accepted: io::Result<(TcpStream, SocketAddr)>| {
            let (stream, from) = accepted.ok()?;
            // Without the option small responses are only slower.
            let _ = stream.set_nodelay(true);
            self.tasks.spawn(serve(self.clone(), stream, from));
            Some(())
        };
        while let Some(accepted) = self.stop.run_until_cancelled(listener.accept()).await {
            if take(accepted).is_none() {
                sleep(ACCEPT_PAUSE).await;
            }
        }
        // What has connected by now is still answered; closing the listener would reset it. The
        // standard library's listener asks the system and not tokio's notion of readiness.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, from)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let _ = take(stream.map(|stream| (stream, from)));
        }
    }

    async fn caller(self, stream: TcpStream, from: SocketAddr) {
        let _open = self.connections.token();
        let proxy = self.proxy.clone();
        let service = service_fn(move |request| caller(proxy.clone(), request, from));
        let mut builder = auto::Builder::new(self.tasks.clone());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(KEEP_ALIVE);
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(CALLER_PING)
            .keep_alive_timeout(CALLER_PING)
            .max_concurrent_streams(STREAMS);
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(conn);
        // A failed connection concerns the caller only, who sees it too.
        tokio::select! {
            _ = conn.as_mut() => {}
            () = self.close_idle.cancelled() => {
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            }
        }
    }

    async fn daemon(self, stream: TcpStream) {
        let _open = self.connections.token();
        // A daemon that has not heard yet connects to a leaving one and has to be refused by a
        // response; its connection is closed at the end only.
        let stop = if self.drain.is_cancelled() { &self.close_idle } else { &self.drain };
        let proxy = self.proxy.clone();
        let service = service_fn(move |request| daemon(proxy.clone(), request));
        let conn = http2::Builder::new(self.tasks.clone())
            .timer(TokioTimer::new())
            .keep_alive_interval(DAEMON_PING)
            .keep_alive_timeout(DAEMON_PING)
            .max_concurrent_streams(STREAMS)
            // Daemons do not read it, and its bytes count.
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(conn);
        tokio::select! {
            _ = conn.as_mut() => {}
            () = stop.cancelled() => {
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            }
        }
    }
}

async fn caller(
    proxy: Arc<Proxy>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Result<Response<Payload>, Infallible> {
    Ok(proxy.serve_caller(request, from).await)
}

async fn daemon(
    proxy: Arc<Proxy>,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    Ok(proxy.serve_daemon(request).await)
}

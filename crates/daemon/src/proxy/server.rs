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

/// Maximum wait for the next request on a caller's HTTP/1.1 connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Interval and timeout of pings to HTTP/2 callers, whose networks are slower than those between
/// daemons.
const CALLER_PING_INTERVAL: Duration = Duration::from_secs(20);

/// Interval and timeout of pings on connections opened by other daemons. A daemon that waits for a
/// response sends pings more often itself.
const DAEMON_PING_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of concurrent requests on one connection. A connection between daemons carries
/// the requests of all callers of a host.
const MAX_STREAMS: u32 = 2048;

/// Delay after a failed accept, such as with too many open files; without it the task would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections for the proxy.
#[derive(Clone)]
pub(crate) struct Server {
    /// Serves the requests.
    pub(crate) proxy: Arc<Proxy>,
    /// Runs the connections.
    pub(crate) tasks: Tasks,
    /// Cancelled when the daemon starts to drain.
    pub(crate) drain: CancellationToken,
    /// Cancelled to stop accepting connections.
    pub(crate) stop: CancellationToken,
    /// Cancelled to close idle connections.
    pub(crate) close_idle: CancellationToken,
    /// Tracks the open connections.
    pub(crate) connections: TaskTracker,
}

impl Server {
    /// Accepts connections of callers, over HTTP/1.1 or HTTP/2.
    pub(crate) async fn serve_callers(self, listener: TcpListener) {
        self.accept(listener, |server, stream, from| server.serve_caller_connection(stream, from))
            .await;
    }

    /// Accepts connections of other daemons, over HTTP/2.
    pub(crate) async fn serve_daemons(self, listener: TcpListener) {
        self.accept(listener, |server, stream, _| server.serve_daemon_connection(stream)).await;
    }

    async fn accept<F>(
        self,
        listener: TcpListener,
        serve: impl Fn(Self, TcpStream, SocketAddr) -> F + Send,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let spawn_connection = |accepted: io::Result<(TcpStream, SocketAddr)>| {
            let (stream, from) = accepted.ok()?;
            // Without the option, small responses are only slower.
            let _ = stream.set_nodelay(true);
            self.tasks.spawn(serve(self.clone(), stream, from));
            Some(())
        };
        while let Some(accepted) = self.stop.run_until_cancelled(listener.accept()).await {
            if spawn_connection(accepted).is_none() {
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        // Connections that are already in the backlog are still served; closing the listener would
        // reset them. The std listener asks the kernel rather than tokio's cached readiness.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, from)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            let _ = spawn_connection(stream.map(|stream| (stream, from)));
        }
    }

    async fn serve_caller_connection(self, stream: TcpStream, from: SocketAddr) {
        let _connection = self.connections.token();
        let proxy = self.proxy.clone();
        let service = service_fn(move |request| respond_to_caller(proxy.clone(), request, from));
        let mut builder = auto::Builder::new(self.tasks.clone());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(KEEP_ALIVE_TIMEOUT);
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(CALLER_PING_INTERVAL)
            .keep_alive_timeout(CALLER_PING_INTERVAL)
            .max_concurrent_streams(MAX_STREAMS);
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(conn);
        // A failed connection concerns only the caller, who notices it as well.
        tokio::select! {
            _ = conn.as_mut() => {}
            () = self.close_idle.cancelled() => {
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            }
        }
    }

    async fn serve_daemon_connection(self, stream: TcpStream) {
        let _connection = self.connections.token();
        // A daemon that doesn't know yet that this one is leaving still connects, and needs a response
        // that refuses its requests. Its connection is closed only with the idle ones.
        let stop = if self.drain.is_cancelled() { &self.close_idle } else { &self.drain };
        let proxy = self.proxy.clone();
        let service = service_fn(move |request| respond_to_daemon(proxy.clone(), request));
        let conn = http2::Builder::new(self.tasks.clone())
            .timer(TokioTimer::new())
            .keep_alive_interval(DAEMON_PING_INTERVAL)
            .keep_alive_timeout(DAEMON_PING_INTERVAL)
            .max_concurrent_streams(MAX_STREAMS)
            // Daemons don't read this header, and traffic between failure domains is billed.
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

async fn respond_to_caller(
    proxy: Arc<Proxy>,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Result<Response<Payload>, Infallible> {
    Ok(proxy.serve_caller(request, from).await)
}

async fn respond_to_daemon(
    proxy: Arc<Proxy>,
    request: Request<Incoming>,
) -> Result<Response<Payload>, Infallible> {
    Ok(proxy.serve_daemon(request).await)
}

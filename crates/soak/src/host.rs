use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use http::Request;
use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    process::{Child, Command},
    time::{sleep, timeout},
};

use crate::net::{self, HostAddrs};

/// Longest wait for a daemon to end after SIGTERM; its grace period is shorter.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two checks of whether a daemon is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A host, whose daemon runs as a separate process.
#[derive(Debug)]
pub(crate) struct Host {
    addrs: HostAddrs,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings file of a host. Its daemon is not started yet.
    ///
    /// # Errors
    /// The settings file cannot be written.
    pub(crate) fn new(
        addrs: HostAddrs,
        service: &str,
        store: SocketAddr,
        program: &Path,
        folder: &Path,
    ) -> io::Result<Self> {
        let [inbound, outbound, ready, control, target] =
            [8624, 8629, 8625, 8620, 8628].map(|port| addrs.addr(port).to_string());
        let settings = format!(
            r#"[self]
node_name = "host-{idx}"
role = "sidecar"
zone = "domain-{domain}"
region = "soak"
bootstrap = true
app_addr = "{target}"
service = "{service}"
[self.limits]
cpu_share = 0.2
link_mbps = 1000.0
[network]
internal_ports = [7600,7615]
seeds = []
[network.listen_addrs]
inbound = "{inbound}"
outbound = "{outbound}"
ready = "{ready}"
control = "{control}"
[platform]
heartbeat_ms = 500
[platform.platform]
address = "{store}"
form = "kv"
[terms.bounds]
grace_s = 4
"#,
            idx = addrs.idx,
            domain = addrs.idx % 3,
        );
        fs::write(folder.join(format!("host-{}.toml", addrs.idx)), settings)?;
        Ok(Self { addrs, program: program.into(), folder: folder.into(), child: None })
    }

    /// Starts the daemon. Its output is appended to the host's log file.
    ///
    /// # Errors
    /// The program cannot be started.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        let file = |end: &str| self.folder.join(format!("host-{}.{end}", self.addrs.idx));
        let log = fs::File::options().create(true).append(true).open(file("log"))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(file("toml"))
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub(crate) async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has already ended.
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM and waits for the process to end; returns `false` if it had to be killed.
    pub(crate) async fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else { return true };
        match timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(_) => true,
            Err(_) => {
                let _ = child.kill().await;
                false
            }
        }
    }

    /// Suspends or resumes the process.
    pub(crate) fn pause(&self, pause: bool) {
        self.signal(if pause { Signal::STOP } else { Signal::CONT });
    }

    /// Waits until the daemon reports that it is ready for callers.
    pub(crate) async fn wait_ready(&self) {
        loop {
            let probe = net::send(
                self.addrs.ready_addr(),
                Request::builder().uri("/-/ready"),
                String::new(),
            );
            if probe.await.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // Fails if the process has already ended.
            let _ = kill_process(pid, signal);
        }
    }
}

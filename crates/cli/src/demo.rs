use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use dw_platform::HttpPlatform;
use dw_tables::{Millis, Name, Tables};
use serde_json::Value as Json;
use tokio::time::{Instant, sleep};

mod callers;
mod checks;
mod client;
mod deployment;
mod fleet;
mod report;
mod schedule;
mod version_monitor;

pub use callers::{Attempt, Reply};
pub use checks::{Check, Window, check_calls, check_idle, check_interruptions};
pub use deployment::{Deployment, UnknownDeployment};
pub use report::{CallStats, ControlTraffic, Convergence, Report};
pub use schedule::Schedule;

use crate::{
    Admin, ApplyArgs, Console, DemoArgs, Edit, Exit, Failure, HttpAdmin, apply::apply_tables,
};
use callers::Callers;
use fleet::{Fleet, demo_failure};
use report::ConvergenceStart;
use version_monitor::VersionMonitor;

/// Pause between two polls of the state of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the demo and prints its report.
///
/// # Errors
/// Fails if a promise was broken, or the demo cannot be run to its end.
pub async fn demo(args: &DemoArgs, console: &mut Console) -> Result<Json, Failure> {
    let report = run_demo(args.deployment, &Schedule::default(), console).await?;
    report.lines().iter().for_each(|line| console.print_line(line));
    let data = serde_json::to_value(&report).map_err(demo_failure)?;
    match report.broken().len() {
        0 => {
            console.print_line("every promise was kept");
            Ok(data)
        }
        count => {
            Err(Failure::new(Exit::Failed, format!("{count} promises were broken")).with_data(data))
        }
    }
}

/// Runs all steps of the demo and returns the report.
///
/// # Errors
/// Fails if the fleet does not start, or a step cannot be carried out.
pub async fn run_demo(
    deployment: Deployment,
    schedule: &Schedule,
    console: &mut Console,
) -> Result<Report, Failure> {
    let start = Instant::now();
    let fleet = Fleet::start(deployment).await?;
    let monitor = VersionMonitor::start(fleet.daemons.clone());
    let mut run = DemoRun {
        deployment,
        schedule,
        console,
        start,
        fleet,
        monitor,
        callers: None,
        tables: Tables::default(),
        number: 0,
        versions: Vec::new(),
        checks: Vec::new(),
        stops: Vec::new(),
    };
    run.run_steps().await?;
    run.report().await
}

/// A drained target or a graceful stop of a daemon, checked after the demo.
struct GracefulStop {
    promise: String,
    window: Window,
    target: Option<SocketAddr>,
    /// The time in which the target must get no new work.
    idle: Option<Window>,
}

/// The state of a running demo.
struct DemoRun<'a> {
    deployment: Deployment,
    schedule: &'a Schedule,
    console: &'a mut Console,
    start: Instant,
    fleet: Fleet,
    monitor: VersionMonitor,
    callers: Option<Callers>,
    tables: Tables,
    number: u64,
    versions: Vec<Convergence>,
    checks: Vec<Check>,
    stops: Vec<GracefulStop>,
}

impl DemoRun<'_> {
    fn print_line(&mut self, text: &str) {
        let line = format!("[{:5.1} s] {text}", self.start.elapsed().as_secs_f64());
        self.console.print_line(&line);
    }

    async fn run_steps(&mut self) -> Result<(), Failure> {
        let domains = self.deployment.domains().join(", ");
        let count = self.fleet.hosts.len();
        self.print_line(&format!("{count} hosts with a daemon and a target each run in {domains}"));
        let tables = self.deployment.tables()?;
        self.apply(tables, "the example tables").await?;
        self.wait_until("all daemons know all targets", |run| run.fleet.is_joined()).await?;
        self.callers = Some(Callers::start(self.deployment, &self.fleet, self.schedule.rate));
        self.fleet.start_measuring();
        self.print_line(&format!("callers send {} requests a second", self.schedule.rate));
        sleep(self.schedule.pause).await;
        self.refuse_bad_edits().await?;
        let edited = self.deployment.edited(self.tables.clone(), Millis::new(800));
        self.apply(edited, "a pool and a route that refers to it").await?;
        self.callers.iter().for_each(Callers::call_edited_route);
        sleep(self.schedule.pause).await;
        self.drain_target().await?;
        self.stop_daemon().await?;
        self.kill_relay().await
    }

    /// Tries edits that must be refused: tables with a finding, and a stale base.
    async fn refuse_bad_edits(&mut self) -> Result<(), Failure> {
        let refused = self.deployment.bad_tables().map_err(Failure::from);
        self.expect_exit("tables with a finding", refused.map(|_| ()), Exit::Refused);
        let edited = self.deployment.edited(self.tables.clone(), Millis::new(900));
        let stale = self.submit(edited, self.number - 1).await;
        self.expect_exit("an edit of an older version", stale.map(|_| ()), Exit::Stale);
        Ok(())
    }

    fn expect_exit(&mut self, what: &str, result: Result<(), Failure>, exit: Exit) {
        let (code, text) = match result {
            Ok(()) => (Exit::Ok, "accepted".to_owned()),
            Err(failure) => (failure.exit, failure.message),
        };
        let first = text.lines().next().unwrap_or_default();
        self.print_line(&format!("apply with {what}: exit code {}: {first}", code.code()));
        let cases = match code == exit {
            true => Vec::new(),
            false => vec![format!("exit code {} instead of {}", code.code(), exit.code())],
        };
        self.checks.push(Check::new(&format!("apply refuses {what}"), cases));
    }

    /// Publishes tables as the next version and waits until it is in force everywhere.
    async fn apply(&mut self, tables: Tables, edit: &str) -> Result<(), Failure> {
        let number = self.submit(tables.clone(), self.number).await?;
        let accepted = ConvergenceStart::new(number, edit, Instant::now());
        let version = dw_tables::Version::new(number, tables);
        self.monitor.record_accepted(number, version.hash);
        (self.tables, self.number) = (version.tables, number);
        self.print_line(&format!("version {number} is accepted: {edit}"));
        let times = self.monitor.wait_served(number, self.schedule.wait_limit).await;
        let is_reported = self.wait_reported(number).await;
        let convergence = accepted.end(times, is_reported);
        let text = match (convergence.all_ms, convergence.reported_ms) {
            (Some(ms), Some(_)) => format!("version {number} is in force everywhere after {ms} ms"),
            (Some(ms), None) => {
                format!("all daemons serve version {number} after {ms} ms, but do not report it")
            }
            (None, _) => format!("version {number} is not in force everywhere"),
        };
        self.print_line(&text);
        self.check_convergence(&convergence);
        self.versions.push(convergence);
        Ok(())
    }

    fn check_convergence(&mut self, convergence: &Convergence) {
        let (number, limit) = (convergence.version, self.schedule.convergence_limit);
        let missing = match (convergence.all_ms, convergence.reported_ms) {
            (None, _) => vec!["a daemon does not serve it".to_owned()],
            (_, None) => vec!["a domain does not report it".to_owned()],
            _ => Vec::new(),
        };
        let promise = format!("version {number} comes into force everywhere and is reported so");
        self.checks.push(Check::new(&promise, missing));
        let late = convergence.all_ms.filter(|ms| Duration::from_millis(*ms) > limit);
        let late = late.map(|ms| format!("it took {ms} ms")).into_iter().collect();
        let promise =
            format!("version {number} is in force everywhere within {} s", limit.as_secs());
        self.checks.push(Check::new(&promise, late).timed());
    }

    async fn submit(&mut self, tables: Tables, base: u64) -> Result<u64, Failure> {
        let edit = Edit {
            author: Name::new("demo"),
            change: Name::from(format!("{:032x}", rand::random::<u128>())),
            time: dw_fakes::unix_ms(Instant::now()),
        };
        let args = ApplyArgs {
            help: false,
            json: false,
            tables: Default::default(),
            platform: vec![self.fleet.standin.addr()],
            base,
            drop_workspaces: false,
            daemon: Vec::new(),
            author: None,
            limit: Millis::new(10_000),
        };
        let platform = HttpPlatform::new(args.platform.clone());
        let mut quiet = Console::new(true, Box::new(std::io::sink()), Box::new(std::io::sink()));
        apply_tables(&args, &edit, tables, &platform, &HttpAdmin, &mut quiet).await?;
        Ok(base + 1)
    }

    /// Waits until a daemon in each domain reports the version as in force everywhere. Returns
    /// `false` if that takes longer than the wait limit.
    async fn wait_reported(&self, number: u64) -> bool {
        let end = Instant::now() + self.schedule.wait_limit;
        while Instant::now() < end {
            let polls = self.fleet.admin_addrs().into_iter().map(|addr| HttpAdmin.status(addr));
            let polls = futures_util::future::join_all(polls).await;
            if polls.iter().all(|poll| matches!(poll, Ok(status) if status.in_force(number))) {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    async fn wait_until(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Result<(), Failure> {
        let end = Instant::now() + self.schedule.wait_limit;
        while !condition(self) {
            if Instant::now() >= end {
                let seconds = self.schedule.wait_limit.as_secs();
                return Err(demo_failure(format!(
                    "gave up after {seconds} s of waiting for: {what}"
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.print_line(what);
        Ok(())
    }

    /// Drains a target of the second service, then takes it back into use.
    async fn drain_target(&mut self) -> Result<(), Failure> {
        let (service, _) = self.deployment.services()[1];
        let host = self.host_of(service)?;
        let (name, target) =
            (self.fleet.hosts[host].name.clone(), self.fleet.hosts[host].target.addr());
        let from = Instant::now();
        self.fleet.daemons.get(host)?.drain_target(0, true).await;
        self.print_line(&format!("target {service} on {name} is draining"));
        let in_flight = self.fleet.hosts[host].target.counts().in_flight;
        sleep(self.schedule.drain_notice).await;
        let idle = Instant::now();
        sleep(self.schedule.drained_time).await;
        let to = Instant::now();
        self.fleet.daemons.get(host)?.drain_target(0, false).await;
        self.print_line(&format!(
            "target {service} on {name} takes work again; {in_flight} requests were in flight there \
             when it began to drain"
        ));
        self.stops.push(GracefulStop {
            promise: "draining a target interrupts no request".to_owned(),
            window: Window { from, to },
            target: Some(target),
            idle: Some(Window { from: idle, to }),
        });
        sleep(self.schedule.pause).await;
        Ok(())
    }

    /// Stops a daemon gracefully, as for a release, and starts a new one in its place.
    async fn stop_daemon(&mut self) -> Result<(), Failure> {
        let (service, _) = self.deployment.services()[2];
        let host = self.host_of(service)?;
        let name = self.fleet.hosts[host].name.clone();
        let from = Instant::now();
        self.fleet.stop(host).await?;
        let to = Instant::now();
        let took = to.duration_since(from).as_millis();
        self.print_line(&format!("daemon {name} has left in order in {took} ms"));
        self.fleet.start_daemon(host).await?;
        self.serves_again(host).await?;
        self.stops.push(GracefulStop {
            promise: "stopping a daemon in order interrupts no request".to_owned(),
            window: Window { from, to },
            target: Some(self.fleet.hosts[host].target.addr()),
            idle: None,
        });
        sleep(self.schedule.pause).await;
        Ok(())
    }

    /// Lets the host of a relay fail and the platform go down, replaces the host during the outage,
    /// and edits the tables after the platform is back.
    async fn kill_relay(&mut self) -> Result<(), Failure> {
        let host =
            self.fleet.find_relay(&[]).ok_or_else(|| demo_failure("no daemon is a relay"))?;
        let name = self.fleet.hosts[host].name.clone();
        self.fleet.kill(host).await?;
        self.print_line(&format!("host {name}, a relay, has failed with its target"));
        sleep(self.schedule.pause).await;
        self.fleet.standin.down().await;
        self.print_line("the platform is down");
        let edited = self.deployment.edited(self.tables.clone(), Millis::new(700));
        let down = self.submit(edited.clone(), self.number).await;
        self.expect_exit("a platform that is down", down.map(|_| ()), Exit::Unreachable);
        self.fleet.replace(host).await?;
        self.serves_again(host).await?;
        sleep(self.schedule.outage).await;
        self.fleet.standin.up().await;
        self.print_line("the platform is up");
        self.apply(edited, "another deadline of the new route").await?;
        sleep(self.schedule.pause).await;
        Ok(())
    }

    /// Waits until the new daemon of a host serves the newest version.
    async fn serves_again(&mut self, host: usize) -> Result<(), Failure> {
        let number = self.number;
        let text = format!("a new daemon on {} serves", self.fleet.hosts[host].name);
        let serves = move |run: &Self| {
            run.fleet.daemons.get(host).is_ok_and(|daemon| daemon.served().number >= number)
        };
        self.wait_until(&text, serves).await
    }

    fn host_of(&self, service: &str) -> Result<usize, Failure> {
        let host = self.fleet.hosts.iter().position(|host| host.service == service);
        host.ok_or_else(|| demo_failure(format!("no host has a target of {service}")))
    }

    async fn report(self) -> Result<Report, Failure> {
        let attempts = match self.callers {
            Some(callers) => callers.stop().await,
            None => Vec::new(),
        };
        let runs = self.fleet.ledger.runs();
        let mut checks = self.monitor.finish();
        checks.extend(self.checks);
        checks.extend(check_calls(&attempts, &runs));
        for stop in &self.stops {
            let GracefulStop { promise, window, target, idle } = stop;
            checks.push(check_interruptions(promise, window, *target, &attempts, &runs));
            if let (Some(idle), Some(target)) = (idle, target) {
                let seconds = self.schedule.drain_notice.as_secs();
                let promise = format!("a draining target gets no new work after {seconds} s");
                checks.push(check_idle(&promise, idle, *target, &runs));
            }
        }
        let seconds = self.start.elapsed().as_secs_f64();
        let daemons = self.fleet.daemons.lock().clone();
        let mut in_force = BTreeMap::new();
        for (host, daemon) in self.fleet.hosts.iter().zip(&daemons) {
            let number = daemon.as_ref().map(|daemon| daemon.served().number);
            in_force.insert(host.name.clone(), number);
        }
        drop(daemons);
        let report = Report {
            deployment: self.deployment,
            daemons: self.fleet.hosts.len(),
            seconds,
            versions: self.versions,
            in_force,
            calls: CallStats::new(&attempts),
            runs: runs.len(),
            control: self.fleet.control_traffic(),
            checks,
        };
        self.fleet.close().await;
        Ok(report)
    }
}

use std::{io, net::SocketAddr, time::Duration};

use dw_daemon::{Daemon, LogFormat, LogLevel, LogSettings, PresetName, Settings, TargetSettings};
use dw_fakes::{Standin, Target};
use dw_platform::HttpPlatform;
use dw_tables::{Tables, parse_pools, parse_routes};
use gumdrop::Options;
use http::Request;
use http_body_util::Full;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    fleet::BoxError,
    publish::publish,
    requests::{HttpClient, Reply},
    usage::Usage,
};

/// Slots of the target, enough for the request rate.
const SLOTS: u32 = 64;

/// Largest share that logging may add to the processor time of a request.
const MAX_OVERHEAD: f64 = 0.05;

/// Time for a daemon to start and to appear in its own member list.
const WARM_UP: Duration = Duration::from_millis(500);

const ROUTES: &str = r#"{"routes": [{"name": "lookup", "match": {"path": "/lookup"}, "pool": "shop",
  "repeat": "idempotent", "deadline": "1s"}]}"#;

const POOLS: &str = r#"{"pools": [{"name": "shop", "service": "shop"}]}"#;

/// Options of `log`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    /// Prints this help.
    #[options(help_flag)]
    help: bool,
    /// Rounds, each of which measures without a daemon, without logging and with it.
    #[options(default = "4", help = "rounds, each without daemon, without log and with it")]
    rounds: u32,
    /// Seconds of each part of a round.
    #[options(default = "5", help = "seconds of each part of a round")]
    seconds: u64,
    /// Requests a second.
    #[options(default = "400", help = "requests a second")]
    rate: u32,
}

/// How requests reach the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Setup {
    NoDaemon,
    LogOff,
    LogOn,
}

/// Measures the processor time of a request with and without logging, alternately in one process, and
/// compares the medians of the daemon's own share. Returns false if logging adds more than
/// `MAX_OVERHEAD`.
pub(crate) async fn run(args: Args) -> Result<bool, BoxError> {
    let mut costs: [Vec<f64>; 3] = Default::default();
    for _ in 0..args.rounds.max(1) {
        for (setup, values) in [Setup::NoDaemon, Setup::LogOff, Setup::LogOn].iter().zip(&mut costs)
        {
            values.push(measure(*setup, &args).await?);
        }
    }
    let [direct, silent, logging] = costs.map(median);
    let (off, on) = (silent - direct, logging - direct);
    let share = on / off - 1.0;
    #[allow(clippy::print_stdout, reason = "the result of the program")]
    {
        println!(
            "processor time of a request at {}/s: {direct:.1} us without daemon, {silent:.1} us without \
             log, {logging:.1} us with it; the log adds {:.1}% to the daemon's part (goal {:.0}%)",
            args.rate,
            share * 100.0,
            MAX_OVERHEAD * 100.0
        );
    }
    Ok(share <= MAX_OVERHEAD)
}

/// Processor time of one request in us, which includes caller, target and any daemon between them.
async fn measure(setup: Setup, args: &Args) -> Result<f64, BoxError> {
    let target = Target::new("shop").with_slots(SLOTS as usize).start().await?;
    if setup == Setup::NoDaemon {
        let cost = cpu_per_request(target.addr(), args).await?;
        target.close().await;
        return Ok(cost);
    }
    let standin = Standin::new().start().await?;
    let tables = Tables {
        routes: parse_routes("routes", ROUTES)?,
        pools: parse_pools("pools", POOLS)?,
        ..Tables::default()
    };
    publish(&HttpPlatform::new(vec![standin.addr()]), 1, tables).await?;
    let level = if setup == Setup::LogOn { LogLevel::Info } else { LogLevel::Off };
    let settings = Settings::new("host".into(), "domain".into(), "region".into())
        .with_platform(vec![standin.addr()])
        .with_preset(PresetName::Verband)
        .with_target(TargetSettings {
            service: "shop".into(),
            address: target.addr(),
            slots: SLOTS,
            connections: SLOTS,
            version: None,
        });
    let format = LogSettings { level, format: LogFormat::Json };
    let log = dw_log::Log::with_output(format, "host".into(), io::sink())?;
    let daemon = Daemon::new(settings).with_log(log).start().await?;
    daemon.wait_version(1).await;
    sleep(WARM_UP).await;
    let cost = cpu_per_request(daemon.addrs().callers, args).await;
    daemon.kill().await;
    target.close().await;
    standin.close().await;
    cost
}

async fn cpu_per_request(addr: SocketAddr, args: &Args) -> Result<f64, BoxError> {
    let client = HttpClient::default();
    let count = u64::from(args.rate) * args.seconds;
    let mut clock = interval(Duration::from_secs(1) / args.rate.max(1));
    clock.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let before = Usage::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..count {
        clock.tick().await;
        let client = client.clone();
        let request = Request::get("/lookup")
            .header("host", "shop")
            .header("x-request-id", format!("{number:016x}"))
            .body(Full::default())?;
        calls.spawn(async move { matches!(client.send(addr, request).await, Reply::Complete(_)) });
    }
    let whole = calls.join_all().await.into_iter().filter(|whole| *whole).count();
    if whole * 100 < usize::try_from(count).unwrap_or(usize::MAX) * 99 {
        return Err(format!("only {whole} of {count} requests were answered").into());
    }
    let cpu = Usage::now().cpu.saturating_sub(before.cpu);
    #[expect(clippy::cast_precision_loss, reason = "a few thousand requests")]
    let count = count.max(1) as f64;
    Ok(cpu.as_secs_f64() * 1e6 / count)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

use std::{fmt::Write as _, time::Duration};

use dw_fakes::{Report, Target};
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    account::Account,
    caller::{Caller, Shape},
    load::open_loop,
    testbed::{HOSTS, SERVICE_TIME, SLOTS, Side, Testbed},
};
use crate::fleet::BoxError;

/// Interval between faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Time until whatever failed is back.
const DOWNTIME: Duration = Duration::from_millis(400);
/// Interval between requests that crash their target.
const POISON_INTERVAL: Duration = Duration::from_millis(100);
/// Granularity of the runtime's timers, by which work takes longer than its service time: a service
/// time of 20 ms takes 21.3 ms.
const TIMER_GRANULARITY: Duration = Duration::from_millis(1);
/// One request in this many is not idempotent.
const ONCE_EVERY: usize = 5;
/// How long a restarted target is cold, and how many times slower it is meanwhile.
const COLD_START: (Duration, f64) = (Duration::from_secs(2), 4.0);

/// A fault that is injected while requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    ColdRestart,
    KillTarget,
    KillDaemon,
    Silence,
    Pause,
    Poison,
}

/// A load with a fault.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub name: &'static str,
    /// Request rate as a multiple of the capacity of all slots.
    load: f64,
    fault: Fault,
    build: fn(usize, Target) -> Target,
}

impl Scenario {
    /// All scenarios except `call-chain` and `latency`, which are measured differently.
    pub(crate) const ALL: [Self; 12] = [
        Self::new("load-0.5", 0.5, Fault::None),
        Self::new("load-1", 1.0, Fault::None),
        Self::new("load-2", 2.0, Fault::None),
        Self::new("load-4", 4.0, Fault::None),
        Self::new("slow-target", 0.5, Fault::None).with_build(slow),
        Self::new("shedding-target", 0.5, Fault::None).with_build(shedding),
        Self::new("cold-restart", 0.5, Fault::ColdRestart).with_build(cold),
        Self::new("target-kills", 0.5, Fault::KillTarget),
        Self::new("daemon-kills", 0.5, Fault::KillDaemon),
        Self::new("silence", 0.5, Fault::Silence),
        Self::new("pause-healthy", 0.5, Fault::Pause),
        Self::new("poison", 0.5, Fault::Poison),
    ];

    const fn new(name: &'static str, load: f64, fault: Fault) -> Self {
        Self { name, load, fault, build: plain }
    }

    const fn with_build(self, build: fn(usize, Target) -> Target) -> Self {
        Self { build, ..self }
    }

    /// Runs the scenario against one side.
    pub(crate) async fn run(self, side: Side, time: Duration) -> Result<Account, BoxError> {
        let mut testbed = Testbed::start(side, self.build).await?;
        let shape = Shape { once_every: ONCE_EVERY, ..Shape::default() };
        let caller = Caller::new(testbed.entries.clone(), shape);
        let rate = self.load * capacity();
        let (result, note) =
            tokio::join!(open_loop(&caller, rate, time), self.fault.inject(&mut testbed, time));
        let mut account = Account::new(self.name, side, &result?, &testbed.ledger);
        account.note = note?;
        for (reason, count) in testbed.not_retried().await {
            // Writing to a string cannot fail.
            let _ = write!(account.note, " [{reason} {count}]");
        }
        testbed.close().await;
        Ok(account)
    }
}

/// Requests per second that the slots of all targets can serve.
pub(crate) fn capacity() -> f64 {
    f64::from(SLOTS) * HOSTS as f64 / (SERVICE_TIME + TIMER_GRANULARITY).as_secs_f64()
}

impl Fault {
    async fn inject(self, testbed: &mut Testbed, time: Duration) -> Result<String, BoxError> {
        let end = Instant::now() + time;
        match self {
            Self::None => Ok(String::new()),
            Self::Poison => poison(testbed, end).await,
            Self::ColdRestart => {
                sleep(time / 4).await;
                for target in &testbed.targets {
                    target.restart().await;
                }
                Ok("all restarted once".to_owned())
            }
            _ => {
                let mut next = Instant::now() + FAULT_INTERVAL / 2;
                let mut count = 0;
                while next < end {
                    sleep_until(next).await;
                    next += FAULT_INTERVAL;
                    self.inject_once(testbed, count % HOSTS).await?;
                    count += 1;
                }
                Ok(format!("{count} faults"))
            }
        }
    }

    async fn inject_once(self, testbed: &mut Testbed, index: usize) -> Result<(), BoxError> {
        match self {
            Self::KillTarget => {
                testbed.targets[index].crash().await;
                sleep(DOWNTIME).await;
                testbed.targets[index].restart().await;
            }
            Self::KillDaemon => {
                testbed.kill_daemon(index).await;
                sleep(DOWNTIME).await;
                if !testbed.daemons.is_empty() {
                    testbed.restart_daemon(index).await?;
                }
            }
            Self::Silence => testbed.targets[index].silence(),
            Self::Pause => {
                let target = &testbed.targets[index];
                target.set_health(Report::Fixed(true));
                target.set_load(Report::Fixed(0.0));
                target.pause();
                sleep(DOWNTIME).await;
                target.resume();
            }
            Self::None | Self::ColdRestart | Self::Poison => {}
        }
        Ok(())
    }
}

/// Repeats a request that crashes its target, and restarts the targets that crashed.
async fn poison(testbed: &Testbed, end: Instant) -> Result<String, BoxError> {
    let shape = Shape {
        path: Some("/lookup/poison"),
        headers: vec![("x-crash", "0".to_owned())],
        ..Shape::default()
    };
    let caller = Caller::new(testbed.entries.clone(), shape);
    let mut sent = 0_usize;
    let mut crashes = 0;
    while Instant::now() < end {
        caller.call(sent, Instant::now()).await;
        sent += 1;
        sleep(POISON_INTERVAL).await;
        for target in &testbed.targets {
            if tokio::net::TcpStream::connect(target.addr()).await.is_err() {
                crashes += 1;
                target.restart().await;
            }
        }
    }
    let lost: u64 = testbed.targets.iter().map(|target| target.counts().crashed).sum();
    Ok(format!("sent {sent}, target crashes {crashes}, runs lost in them {lost}"))
}

fn plain(_: usize, target: Target) -> Target {
    target
}

fn slow(index: usize, target: Target) -> Target {
    if index == 0 { target.with_service_time(SERVICE_TIME * 10) } else { target }
}

fn shedding(index: usize, target: Target) -> Target {
    if index == 0 { target.with_slots(2) } else { target }
}

fn cold(_: usize, target: Target) -> Target {
    target.with_cold_start(COLD_START.0, COLD_START.1)
}

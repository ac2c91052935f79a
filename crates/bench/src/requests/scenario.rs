use std::{fmt::Write as _, time::Duration};

use dw_fakes::{Report, Target};
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    account::Account,
    caller::{Caller, Shape},
    load::open_loop,
    world::{HOSTS, SLOTS, Side, WORK, World},
};
use crate::fleet::Failure;

/// Time between two faults.
const FAULT_EVERY: Duration = Duration::from_secs(1);
/// Time until what failed is replaced.
const DOWN: Duration = Duration::from_millis(400);
/// Time between two of the requests that crash their target.
const POISON_EVERY: Duration = Duration::from_millis(100);
/// Granularity of the runtime's timers, by which work takes longer than asked for: 21.3 ms were
/// measured for 20 ms.
const TIMER: Duration = Duration::from_millis(1);
/// Every so many requests one is not idempotent.
const ONCE_EVERY: usize = 5;
/// How long a restarted target is cold, and by how much slower it is then.
const COLD: (Duration, f64) = (Duration::from_secs(2), 4.0);

/// What goes wrong while requests are sent.
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

/// A load, and what goes wrong meanwhile.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub name: &'static str,
    /// Requests a second, in multiples of what all slots can do.
    load: f64,
    fault: Fault,
    build: fn(usize, Target) -> Target,
}

impl Scenario {
    /// All of them but the call chain and the latency, which are measured differently.
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

    /// Runs it against one side.
    pub(crate) async fn run(self, side: Side, time: Duration) -> Result<Account, Failure> {
        let mut world = World::start(side, self.build).await?;
        let shape = Shape { once_every: ONCE_EVERY, ..Shape::default() };
        let caller = Caller::new(world.entries.clone(), shape);
        let rate = self.load * capacity();
        let (ran, note) =
            tokio::join!(open_loop(&caller, rate, time), self.fault.cause(&mut world, time));
        let mut account = Account::new(self.name, side, &ran?, &world.ledger);
        account.note = note?;
        for (reason, count) in world.not_retried().await {
            // Writing to a string cannot fail.
            let _ = write!(account.note, " [{reason} {count}]");
        }
        world.close().await;
        Ok(account)
    }
}

/// Requests a second that the slots of all targets can do.
pub(crate) fn capacity() -> f64 {
    f64::from(SLOTS) * HOSTS as f64 / (WORK + TIMER).as_secs_f64()
}

impl Fault {
    async fn cause(self, world: &mut World, time: Duration) -> Result<String, Failure> {
        let end = Instant::now() + time;
        match self {
            Self::None => Ok(String::new()),
            Self::Poison => poison(world, end).await,
            Self::ColdRestart => {
                sleep(time / 4).await;
                for target in &world.targets {
                    target.restart().await;
                }
                Ok("all restarted once".to_owned())
            }
            _ => {
                let mut next = Instant::now() + FAULT_EVERY / 2;
                let mut count = 0;
                while next < end {
                    sleep_until(next).await;
                    next += FAULT_EVERY;
                    self.once(world, count % HOSTS).await?;
                    count += 1;
                }
                Ok(format!("{count} faults"))
            }
        }
    }

    async fn once(self, world: &mut World, index: usize) -> Result<(), Failure> {
        match self {
            Self::KillTarget => {
                world.targets[index].crash().await;
                sleep(DOWN).await;
                world.targets[index].restart().await;
            }
            Self::KillDaemon => {
                world.kill_daemon(index).await;
                sleep(DOWN).await;
                if !world.daemons.is_empty() {
                    world.revive_daemon(index).await?;
                }
            }
            Self::Silence => world.targets[index].silence(),
            Self::Pause => {
                let target = &world.targets[index];
                target.set_health(Report::Fixed(true));
                target.set_load(Report::Fixed(0.0));
                target.pause();
                sleep(DOWN).await;
                target.resume();
            }
            Self::None | Self::ColdRestart | Self::Poison => {}
        }
        Ok(())
    }
}

/// Sends one request that crashes its target again and again; targets restart.
async fn poison(world: &World, end: Instant) -> Result<String, Failure> {
    let shape = Shape {
        path: Some("/lookup/poison"),
        headers: vec![("x-crash", "0".to_owned())],
        ..Shape::default()
    };
    let caller = Caller::new(world.entries.clone(), shape);
    let mut sent = 0_usize;
    let mut crashes = 0;
    while Instant::now() < end {
        caller.call(sent, Instant::now()).await;
        sent += 1;
        sleep(POISON_EVERY).await;
        for target in &world.targets {
            if tokio::net::TcpStream::connect(target.addr()).await.is_err() {
                crashes += 1;
                target.restart().await;
            }
        }
    }
    let lost: u64 = world.targets.iter().map(|target| target.counts().crashed).sum();
    Ok(format!("sent {sent}, target crashes {crashes}, runs lost in them {lost}"))
}

fn plain(_: usize, target: Target) -> Target {
    target
}

fn slow(index: usize, target: Target) -> Target {
    if index == 0 { target.with_service_time(WORK * 10) } else { target }
}

fn shedding(index: usize, target: Target) -> Target {
    if index == 0 { target.with_slots(2) } else { target }
}

fn cold(_: usize, target: Target) -> Target {
    target.with_cold_start(COLD.0, COLD.1)
}

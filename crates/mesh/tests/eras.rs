//! Restore drills on a durable platform, which loses nothing except when it is restored from an older copy.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use harness::{Faults, World};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Takes the platform down for a moment and restores it from a copy that is up to a few seconds old. Calls
/// `after_restore`, and later has the operator write the lost versions again.
fn restore_drill(world: &mut World, after_restore: impl Fn(&mut World)) {
    let copy = world.platform.backup();
    let age = 300 + world.random(3_000) as u64;
    world.apply();
    world.run(ms(age));
    world.apply();
    world.run(ms(200));
    world.set_platform_down(true);
    let downtime = 200 + world.random(800) as u64;
    world.run(ms(downtime));
    let leases = world.random(2) == 0;
    world.platform.restore(copy, leases);
    world.set_platform_down(false);
    after_restore(world);
    let pause = 100 + world.random(1_500) as u64;
    world.run(ms(pause));
    world.rewrite();
}

/// Guards against hosts that fall back to an older version with the platform, hosts that stay behind after the
/// operator has written the versions again, and domains that are left without a relay.
#[test]
fn no_host_goes_back_with_the_store() {
    for seed in 300..310 {
        let mut world = World::durable(seed, &[4, 3, 3]);
        for _ in 0..3 {
            restore_drill(&mut world, |_| ());
            world.run(ms(4_000));
            let newest = world.accepted.last().expect("version").number;
            for host in &world.hosts {
                assert_eq!(host.served.number, newest, "seed {seed}: {}", host.cfg.host);
            }
            world.run(ms(8_000));
            world.expect_converged();
        }
    }
}

/// Guards against a host that starts just after the platform was restored, reads an older configuration from it,
/// and serves a lower version than it did before.
#[test]
fn a_host_that_starts_as_the_store_went_back_serves_no_less_than_before() {
    for seed in 320..330 {
        let mut world = World::durable(seed, &[4, 3, 3]);
        restore_drill(&mut world, |world| {
            world.crash(1);
            world.start(1);
        });
        world.run(ms(10_000));
        world.expect_converged();
    }
}

/// Runs random restore drills, kills, cuts, message loss and new versions, followed by a time without faults.
fn run(seed: u64) {
    let mut world = World::durable(seed, &[5, 4, 3]);
    // A host that starts during a drill may serve a lower version; another test covers that.
    world.may_forget = true;
    let count = world.hosts.len();
    for _ in 0..25 {
        world.faults = Faults { loss: 0.03, duplicates: 0.03, delay: ms(100) };
        let (id, other) = (world.random(count), world.random(count));
        let down = (0..count).filter(|id| !world.running(*id)).count();
        match world.random(8) {
            0 => restore_drill(&mut world, |_| ()),
            1 if world.running(id) => restore_drill(&mut world, |world| world.crash(id)),
            2 if world.running(id) && down < count / 3 => world.crash(id),
            3 | 4 if !world.running(id) => world.start(id),
            5 => world.cut(&[id], &[other]),
            6 => world.cuts.clear(),
            _ => {
                world.apply();
            }
        }
        world.run(ms(1_000));
    }
    world.faults = Faults::default();
    world.cuts.clear();
    (0..count)
        .filter(|id| !world.running(*id))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|id| world.start(id));
    world.run(ms(20_000));
    world.apply();
    world.run(ms(15_000));
    world.expect_converged();
}

/// Guards against failures that only appear when drills are combined with other faults.
#[test]
fn random_drills() {
    let first = std::env::var("MESH_SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("MESH_SEEDS").ok().and_then(|count| count.parse().ok());
    let first = first.unwrap_or(400);
    (first..first + count.unwrap_or(4)).for_each(run);
}

//! A store that loses nothing, but for drills in which it comes back from an older copy.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use harness::{Faults, World};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The store is away for a moment and comes back from a copy that is some seconds old; some time later the
/// operator writes again.
fn drill(world: &mut World, between: impl Fn(&mut World)) {
    let copy = world.platform.backup();
    let age = 300 + world.random(3_000) as u64;
    world.apply();
    world.run(ms(age));
    world.apply();
    world.run(ms(200));
    world.set_platform_down(true);
    let away = 200 + world.random(800) as u64;
    world.run(ms(away));
    let leases = world.random(2) == 0;
    world.platform.restore(copy, leases);
    world.set_platform_down(false);
    between(world);
    let pause = 100 + world.random(1_500) as u64;
    world.run(ms(pause));
    world.rewrite();
}

/// Guards against hosts that go back with the store, that stay behind once the operator has written again, and
/// against a domain without a relay.
#[test]
fn no_host_goes_back_with_the_store() {
    for seed in 300..310 {
        let mut world = World::durable(seed, &[4, 3, 3]);
        for _ in 0..3 {
            drill(&mut world, |_| ());
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

/// Guards against a host that starts as the store has just gone back, reads an older configuration there, and
/// serves less than it did before.
#[test]
fn a_host_that_starts_as_the_store_went_back_serves_no_less_than_before() {
    for seed in 320..330 {
        let mut world = World::durable(seed, &[4, 3, 3]);
        drill(&mut world, |world| {
            world.crash(1);
            world.start(1);
        });
        world.run(ms(10_000));
        world.expect_converged();
    }
}

/// Random drills beside kills, cuts, lost messages and versions, then a time without faults.
fn run(seed: u64) {
    let mut world = World::durable(seed, &[5, 4, 3]);
    // A host that starts right then may serve less; another test is for that.
    world.may_forget = true;
    let count = world.hosts.len();
    for _ in 0..25 {
        world.faults = Faults { loss: 0.03, duplicates: 0.03, delay: ms(100) };
        let (id, other) = (world.random(count), world.random(count));
        let down = (0..count).filter(|id| !world.running(*id)).count();
        match world.random(8) {
            0 => drill(&mut world, |_| ()),
            1 if world.running(id) => drill(&mut world, |world| world.crash(id)),
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

/// Guards against drills in combination with other faults that the single tests do not show.
#[test]
fn random_drills() {
    let first = std::env::var("MESH_SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("MESH_SEEDS").ok().and_then(|count| count.parse().ok());
    let first = first.unwrap_or(400);
    (first..first + count.unwrap_or(4)).for_each(run);
}

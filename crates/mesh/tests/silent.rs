//! Versions behind connections that have fallen silent, while datagrams and new connections work.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::{Counter, Input};
use dw_wire::{Packet, PacketBody, Ping};
use harness::World;

/// The time in which a version is in force on each host after its acknowledgement.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// Share of the connections of a disturbed host that are silent, in percent.
const SILENT: usize = 80;

/// Applies a version to a fleet in which most connections of half of the hosts have just fallen silent,
/// names the hosts that serve it late, and counts the transfers.
fn play(world: &mut World) -> (Vec<String>, u64) {
    let count = world.hosts.len();
    for a in 0..count {
        if world.random(2) == 0 {
            continue;
        }
        for b in (0..count).filter(|b| *b != a) {
            if world.random(100) < SILENT {
                world.silence(a, b);
            }
        }
    }
    let sent = |world: &World| world.total(Counter::DeltaSent) + world.total(Counter::SnapshotSent);
    let before = sent(world);
    let number = world.apply();
    world.run(IN_FORCE);
    let late = world.hosts.iter().filter(|host| host.served.number < number);
    let late = late.map(|host| host.cfg.host.to_string()).collect();
    let transfers = sent(world) - before;
    world.silent.clear();
    world.run(Duration::from_secs(3));
    (late, transfers)
}

/// Starts fleets and plays several versions on each.
fn run(seeds: std::ops::Range<u64>, sizes: &[usize], plays: u64) {
    let mut failures = Vec::new();
    for seed in seeds {
        let mut world = World::sidecars(seed, sizes);
        // The cost of a check grows with the fleet.
        world.status_every =
            Duration::from_millis(10) * u32::try_from(world.hosts.len()).expect("size");
        world.apply();
        (0..world.hosts.len()).for_each(|id| world.start(id));
        world.run(Duration::from_secs(10));
        world.expect_converged();
        for play_no in 0..plays {
            let (late, transfers) = play(&mut world);
            if !late.is_empty() {
                failures.push(format!("seed {seed}, play {play_no}: late on {late:?}"));
            }
            let limit = 2 * world.hosts.len() as u64;
            if transfers > limit {
                failures.push(format!("seed {seed}, play {play_no}: {transfers} transfers"));
            }
        }
    }
    assert!(failures.is_empty(), "{} failures: {failures:#?}", failures.len());
}

/// Guards against hosts that ask one source after the other behind silent connections, and serve a
/// version later than its deadline.
#[test]
fn a_version_is_in_time_behind_silent_connections() {
    run(400..405, &[20, 20, 20], 4);
}

/// The same in a fleet of hundreds of hosts.
#[test]
fn a_version_is_in_time_behind_silent_connections_of_a_large_fleet() {
    run(500..501, &[50; 6], 2);
}

/// Guards against a host that asks for ever, each time over a new connection, for a version that a peer
/// announced and does not hold, as after a restart.
#[test]
fn a_version_that_nobody_holds_is_not_asked_for_without_end() {
    let mut world = World::sidecars(600, &[4]);
    world.apply();
    (0..4).for_each(|id| world.start(id));
    world.run(Duration::from_secs(10));
    let body = PacketBody::Ping(Ping { seq: 1 });
    let packet = Packet { host: "host-1".to_owned(), number: 9, ..Packet::new(body) };
    let (from, now) = (world.hosts[1].cfg.peer, world.now);
    let node = world.hosts[0].node.as_mut().expect("node");
    node.handle(Input::Packet { from, packet }, now);
    world.run(Duration::from_secs(60));
    let asked = world.total(Counter::PullTimeout);
    assert!((1..=4).contains(&asked), "asked {asked} times in vain");
    world.expect_converged();
}

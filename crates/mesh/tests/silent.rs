//! Distribution over connections that have silently stopped working, while datagrams and new connections work.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::{Counter, Input};
use dw_wire::{Packet, PacketBody, Ping};
use harness::World;

/// The time within which a version must be in force on each host after the platform acknowledged it.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// Share of an affected host's connections that are silent, in percent.
const SILENT_PERCENT: usize = 80;

/// Applies a version to a fleet in which most connections of about half of the hosts have just become silent.
/// Returns the hosts that serve it late, and the number of transfers.
fn apply_version(world: &mut World) -> (Vec<String>, u64) {
    let count = world.hosts.len();
    for a in 0..count {
        if world.random(2) == 0 {
            continue;
        }
        for b in (0..count).filter(|b| *b != a) {
            if world.random(100) < SILENT_PERCENT {
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

/// Starts a fleet for each seed and runs several rounds, each with a new version.
fn run(seeds: std::ops::Range<u64>, sizes: &[usize], rounds: u64) {
    let mut failures = Vec::new();
    for seed in seeds {
        let mut world = World::sidecars(seed, sizes);
        // The cost of a status check grows with the fleet, so larger fleets check less often.
        world.status_every =
            Duration::from_millis(10) * u32::try_from(world.hosts.len()).expect("size");
        world.apply();
        (0..world.hosts.len()).for_each(|id| world.start(id));
        world.run(Duration::from_secs(10));
        world.expect_converged();
        for round in 0..rounds {
            let (late, transfers) = apply_version(&mut world);
            if !late.is_empty() {
                failures.push(format!("seed {seed}, round {round}: late on {late:?}"));
            }
            let limit = 2 * world.hosts.len() as u64;
            if transfers > limit {
                failures.push(format!("seed {seed}, round {round}: {transfers} transfers"));
            }
        }
    }
    assert!(failures.is_empty(), "{} failures: {failures:#?}", failures.len());
}

/// Guards against hosts that ask one source after the other over silent connections, and therefore serve a
/// version after its deadline.
#[test]
fn a_version_is_in_time_despite_silent_connections() {
    run(400..405, &[20, 20, 20], 4);
}

/// Guards against a version that silent connections delay past its deadline in a fleet of hundreds of hosts.
#[test]
fn a_version_is_in_time_despite_silent_connections_in_a_large_fleet() {
    run(500..501, &[50; 6], 2);
}

/// Guards against a host that keeps asking, each time over a new connection, for a version that a peer
/// announced but does not have, as happens after a restart of that peer.
#[test]
fn a_version_that_nobody_has_is_not_requested_forever() {
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
    assert!((1..=4).contains(&asked), "{asked} requests without an answer");
    world.expect_converged();
}
